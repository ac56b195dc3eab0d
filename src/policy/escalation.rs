//! Decides which model of a route's ladder serves a request, the smallest first.
//!
//! Handles traffic in which most prompts are easy, a few are hard and no request says which. The
//! small model runs first. Its confidence comes with the response head, before the caller has
//! received anything, so that an escalation to a larger model costs only a second prefill.
//!
//! Under load, a second prefill finishes late and delays the prompts behind it. A response with low
//! confidence is then better than a late one, so it is kept.
//!
//! A prefill on the largest model takes the capacity of many first responses. When bursts or
//! crashes leave every upstream with a backlog, escalations would take it from the least urgent
//! requests, which then get no response at all. So escalations are given up first, those of the
//! least urgent requests before the others.

use std::time::Duration;

/// Confidence below which the response of a smaller model is discarded, from 0 to 100.
const MIN_CONFIDENCE: f64 = 55.0;

/// Queueing delay, as a share of the target, above which an upstream counts as backlogged: about
/// the time in which a small model prefills one long prompt.
const BACKLOG_SHARE: f64 = 0.05;

/// Median prefill backlog of the upstreams, as a share of the target, up to which the most urgent
/// requests escalate. A first response that waits for as long still has time to be retried.
const MAX_BACKLOG_SHARE: f64 = 0.4;

/// Factor of that share for each further scheduling rank.
const RANK_FACTOR: f64 = 0.8;

/// Forecast of the time to first token of a model.
#[derive(Clone, Copy, Debug)]
pub struct TtftForecast {
    /// Target of the route, counted from the arrival of the request.
    pub target: Duration,
    /// Time since the arrival.
    pub elapsed: Duration,
    /// Time in which the upstream prefills the prompts ahead of this one.
    pub queue: Duration,
    /// Time in which it prefills this prompt.
    pub prefill: Duration,
}

impl TtftForecast {
    /// Returns whether the first token would be late because of other prompts. A prompt that is
    /// late by its own length alone delays no prompt that came before it.
    fn is_late_by_backlog(&self) -> bool {
        let ttft = self.elapsed + self.queue + self.prefill;
        ttft > self.target && self.queue > self.target.mul_f64(BACKLOG_SHARE)
    }
}

/// Returns the index of the model to run first; `None` if the ladder is empty.
pub fn first_model(ladder: usize) -> Option<usize> {
    (ladder > 0).then_some(0)
}

/// Returns whether the upstreams have the capacity for an escalation of a request of that scheduling
/// rank, 0 for the most urgent. `backlog` is the time in which the larger model prefills the median
/// backlog of the upstreams: it is zero while most of them are idle, however long single prompts
/// are.
pub fn is_affordable(rank: u32, backlog: Duration, target: Duration) -> bool {
    let rank = i32::try_from(rank).unwrap_or(i32::MAX);
    backlog <= target.mul_f64(MAX_BACKLOG_SHARE * RANK_FACTOR.powi(rank))
}

/// Returns the index of the model to escalate to; `None` if the response of `model` is kept.
///
/// `ladder` is the number of models and `confidence` came with the response. `forecast` returns the
/// time to first token of a model, or `None` while it is unknown.
pub fn next_model(
    ladder: usize,
    model: usize,
    confidence: Option<f64>,
    forecast: impl Fn(usize) -> Option<TtftForecast>,
) -> Option<usize> {
    let largest = ladder.checked_sub(1)?;
    let is_doubtful = confidence.is_some_and(|confidence| confidence < MIN_CONFIDENCE);
    if model >= largest || !is_doubtful {
        return None;
    }
    let is_late = forecast(largest).is_some_and(|forecast| forecast.is_late_by_backlog());
    (!is_late).then_some(largest)
}
