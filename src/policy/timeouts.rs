//! How long an upstream may be silent before a request that may be repeated goes elsewhere.
//!
//! Load patterns that this answers: an upstream that hangs while its health is good, one whose answers
//! are lost, a connection that has gone silent. Under load an upstream is silent because it is busy;
//! leaving it then throws away what it has read and makes another read it, so a full one, or one
//! with much to read, is given more time.

use std::time::Duration;

/// Part of the target in which the head of an answer should come.
const HEAD_PART: f64 = 0.7;

/// The same at an upstream that is known to be busy.
const BUSY_HEAD_PART: f64 = 0.85;

/// Load from which an upstream counts as busy, as a share of its slots.
const BUSY: f64 = 0.6;

/// Longest pauses on time after which a silent stream is taken for dead: it is late by then, and a
/// busy upstream's next event is nearer than another's first.
const GAP_PARTS: f64 = 1.5;

/// Times the forecast of the reading after which an upstream counts as hanging: what it has to read
/// may be told late, and other prompts go before.
const FORECAST_FACTOR: f64 = 2.0;

/// Ranks that requests at an upstream have; the most urgent is 0.
pub const RANK_COUNT: usize = 10;

/// Part of the target after which a request that is still queued at a busy upstream is checked again.
const RECHECK_PART: f64 = 0.2;

/// Part of the target by which an answered request must have been sent later to show that one before it
/// is lost: shorter prompts may overtake a long one.
const OVERTAKE_PART: f64 = 0.2;

/// Time in which the head of an answer should come from an upstream of that load, which needs
/// `reading` to read what it has, as far as that is known.
pub fn response_head(target: Duration, load: f64, reading: Option<Duration>) -> Duration {
    let part = if load < BUSY {
        HEAD_PART
    } else {
        BUSY_HEAD_PART
    };
    let forecast = reading.unwrap_or_default().mul_f64(FORECAST_FACTOR);
    target.mul_f64(part).max(forecast)
}

/// Time in which the next event of a stream should come; `None` where the route sets no pause.
pub fn stream_event(longest: Duration) -> Option<Duration> {
    (!longest.is_zero()).then(|| longest.mul_f64(GAP_PARTS))
}

/// Time until the next check of a request that is queued at a busy upstream.
pub fn recheck_interval(target: Duration) -> Duration {
    target.mul_f64(RECHECK_PART)
}

/// How an upstream gets on with the requests of one gateway.
#[derive(Clone, Debug, Default)]
pub struct QueueProgress {
    /// Last answer.
    answered: Option<Duration>,
    /// By rank, when the last sent of the answered requests was sent.
    sent: [Option<Duration>; RANK_COUNT],
}

impl QueueProgress {
    /// A request of that rank, sent at `sent`, is answered.
    pub fn record_response(&mut self, rank: usize, sent: Duration, now: Duration) {
        self.answered = Some(now);
        if let Some(last) = self.sent.get_mut(rank) {
            *last = (*last).max(Some(sent));
        }
    }

    /// Whether a request sent at `sent` that has no answer is still queued: the upstream has answered
    /// others since, and none that was sent clearly later and is no more urgent.
    pub fn is_queued(&self, rank: usize, sent: Duration, target: Duration) -> bool {
        let later = sent + target.mul_f64(OVERTAKE_PART);
        let overtaken = self.sent.iter().skip(rank).flatten().any(|&at| at > later);
        self.answered.is_some_and(|at| at > sent) && !overtaken
    }
}
