//! Decides which model of a route's ladder serves a request, the smallest first.
//!
//! Handles traffic in which most prompts are easy, a few are hard and no request says which. The
//! small model runs first. Its confidence comes with the response head, before the caller has
//! received anything, so that an escalation to a larger model costs only a second prefill.
//!
//! Under load, a second prefill finishes late and delays the prompts behind it. A response with low
//! confidence is then better than a late one, so it is kept.

use std::time::Duration;

/// Confidence below which the response of a smaller model is discarded, from 0 to 100.
const MIN_CONFIDENCE: f64 = 55.0;

/// Queueing delay, as a share of the target, above which an upstream counts as backlogged: about
/// the time in which a small model prefills one long prompt.
const BACKLOG_SHARE: f64 = 0.05;

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
