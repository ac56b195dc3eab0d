//! How long an upstream may be silent before a request that may be repeated goes elsewhere.
//!
//! Load patterns that this answers: an upstream that hangs while its health is good, one whose answers
//! are lost, a connection that has gone silent. Under load an upstream is silent because it is busy;
//! leaving it then only adds to the load, so a full one is given more time.

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

/// Time in which the head of an answer should come from an upstream of that load.
pub fn head(target: Duration, load: f64) -> Duration {
    let part = if load < BUSY {
        HEAD_PART
    } else {
        BUSY_HEAD_PART
    };
    target.mul_f64(part)
}

/// Time in which the next event of a stream should come; `None` where the route sets no pause.
pub fn gap(longest: Duration) -> Option<Duration> {
    (!longest.is_zero()).then(|| longest.mul_f64(GAP_PARTS))
}
