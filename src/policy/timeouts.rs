//! Decides how long a gateway waits for an upstream before it sends a request elsewhere. Only
//! requests that may be retried or resumed have these timeouts.
//!
//! Handles an upstream that hangs while its health is good, one whose responses are lost, and a
//! connection that stalls. A loaded upstream is slow to respond as well, and leaving it discards
//! its prefill and makes another upstream repeat it. An upstream that is busy or has a long prefill
//! backlog therefore gets more time.

use std::time::Duration;

/// Timeout of the response head, as a share of the target.
const HEAD_SHARE: f64 = 0.7;

/// Timeout of the response head at a busy upstream, as a share of the target.
const BUSY_HEAD_SHARE: f64 = 0.85;

/// Load from which an upstream counts as busy, as a share of its slots.
const BUSY_LOAD: f64 = 0.6;

/// Timeout of a stream's next event, as a multiple of the longest gap that counts as on time. The
/// stream is late by then, but a shorter timeout would leave a busy upstream whose next event is
/// nearer than the first event of another.
const GAP_FACTOR: f64 = 1.5;

/// Least timeout of the response head, as a multiple of the predicted prefill time: reports of the
/// prefill backlog lag, and other prompts may be scheduled first.
const PREFILL_FACTOR: f64 = 2.0;

/// Timeout of the response head of a cold upstream, as a multiple of that of a warm one: it is slow,
/// and a request that leaves it costs another upstream the same work.
const COLD_FACTOR: u32 = 2;

/// Longest time for which a sound upstream may be silent. A request that has no other upstream waits
/// for so much longer.
pub const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// Number of scheduling ranks of requests at an upstream; rank 0 is the most urgent.
pub const RANK_COUNT: usize = 10;

/// Time between checks of a request that is queued at a busy upstream, as a share of the target.
const RECHECK_SHARE: f64 = 0.2;

/// A request counts as lost once there is a response to another that was sent later by more than
/// this share of the target. The margin allows short prompts to overtake a long one.
const OVERTAKE_SHARE: f64 = 0.2;

/// Returns whether a body, or a stream without an event, on which its deadline came after `body_time` tells
/// of a faulty upstream: one that responds in time has the whole target for its head, and gets as long
/// again.
pub fn is_body_overdue(body_time: Duration, target: Duration) -> bool {
    body_time >= target
}

/// Returns the timeout of the response head.
///
/// `load` is the upstream's load as a share of its slots. `prefill` is the time in which it clears
/// its prefill backlog, `None` while that is unknown.
pub fn response_head(target: Duration, load: f64, prefill: Option<Duration>) -> Duration {
    let share = if load < BUSY_LOAD {
        HEAD_SHARE
    } else {
        BUSY_HEAD_SHARE
    };
    let prefill_timeout = prefill.unwrap_or_default().mul_f64(PREFILL_FACTOR);
    target.mul_f64(share).max(prefill_timeout)
}

/// Returns the timeout of the response head of a cold upstream, given that of a warm one.
pub fn cold_response_head(warm: Duration) -> Duration {
    warm * COLD_FACTOR
}

/// Returns the timeout of the response head at an upstream whose work takes `slowness` times as long
/// as usual. It does not exceed the target for the slowness alone: the response would be late, and
/// an upstream that hangs may also have been slow.
pub fn at_slow_upstream(timeout: Duration, target: Duration, slowness: f64) -> Duration {
    if slowness <= 1.0 {
        return timeout;
    }
    timeout.max(timeout.mul_f64(slowness).min(target))
}

/// Returns the predicted prefill time at an upstream of that slowness. An upstream that looks fast
/// does not get less time: it may be so for a moment only, or report false figures, and leaving it
/// discards its prefill.
pub fn prefill_at_slow_upstream(prefill: Duration, slowness: f64) -> Duration {
    prefill.mul_f64(slowness.max(1.0))
}

/// Returns the timeout of a stream's next event; `None` if the route's longest gap is zero, which
/// sets no limit.
pub fn stream_event(longest_gap: Duration) -> Option<Duration> {
    (!longest_gap.is_zero()).then(|| longest_gap.mul_f64(GAP_FACTOR))
}

/// Returns the time until the next check of a request that is queued at a busy upstream.
pub fn recheck_interval(target: Duration) -> Duration {
    target.mul_f64(RECHECK_SHARE)
}

/// Progress of an upstream through the requests of one gateway.
#[derive(Clone, Debug, Default)]
pub struct QueueProgress {
    /// Time of the last response.
    last_response: Option<Duration>,
    /// By rank, the latest send time of a request that has a response.
    latest_sent: [Option<Duration>; RANK_COUNT],
}

impl QueueProgress {
    /// Records a response to a request of that rank, sent at `sent`.
    pub fn record_response(&mut self, rank: usize, sent: Duration, now: Duration) {
        self.last_response = Some(now);
        if let Some(latest) = self.latest_sent.get_mut(rank) {
            *latest = (*latest).max(Some(sent));
        }
    }

    /// Returns whether an unanswered request, sent at `sent`, is still queued: the upstream has
    /// responded since, and to no equally or less urgent request that was sent clearly later.
    pub fn is_queued(&self, rank: usize, sent: Duration, target: Duration) -> bool {
        let clearly_later = sent + target.mul_f64(OVERTAKE_SHARE);
        let is_overtaken = self
            .latest_sent
            .iter()
            .skip(rank)
            .flatten()
            .any(|&at| at > clearly_later);
        self.last_response.is_some_and(|at| at > sent) && !is_overtaken
    }
}
