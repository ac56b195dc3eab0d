//! Small models of the interfaces.
//!
//! *Ratings*: a version has a true mean score per class of task; a score is that mean plus noise
//! that is uniform over [`NOISE`] on either side, cut to 0..1.
//!
//! *Runners*: a runner serves `slots` requests at once and queues the rest in order. A request
//! takes [`PREFILL`] to its first token, then [`GAP`] a token, stretched by up to [`BATCHING`] when
//! the batch is full. A dead runner refuses connections at once; a runner behind a cut lets them
//! time out.

use std::time::Duration;

/// Half the width of the noise of a score.
pub(super) const NOISE: f64 = 0.15;

/// Time to the first token of a request that need not wait.
pub(super) const PREFILL: Duration = Duration::from_millis(60);

/// Time between tokens in an empty batch.
pub(super) const GAP: Duration = Duration::from_millis(15);

/// How much longer the tokens of a full batch take, as a share.
pub(super) const BATCHING: f64 = 0.6;

/// Tokens of an answer, at least and at most; uniform in between.
pub(super) const TOKENS: (f64, f64) = (16.0, 112.0);

/// A draw of a score around `mean`.
pub(super) fn score(mean: f64, rng: &mut fastrand::Rng) -> f64 {
    (mean + NOISE * (2.0 * rng.f64() - 1.0)).clamp(0.0, 1.0)
}

/// Time that a request with so many tokens holds its slot when `busy` of `slots` are taken.
pub(super) fn service(tokens: f64, busy: u32, slots: u32) -> Duration {
    let stretch = 1.0 + BATCHING * f64::from(busy) / f64::from(slots.max(1));
    PREFILL + GAP.mul_f64(tokens * stretch)
}

/// Mean time that a request holds a slot of a full batch, in seconds.
pub(super) fn mean_service_s() -> f64 {
    service((TOKENS.0 + TOKENS.1) / 2.0, 1, 1).as_secs_f64()
}

/// Time between arrivals of a Poisson stream of `rate` a second.
pub(super) fn next_arrival(rate: f64, rng: &mut fastrand::Rng) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
}
