//! Assumptions of the simulations about ratings and runners.
//!
//! *Ratings*: a version has a true mean score per class of task. A score is that mean plus noise,
//! uniform within [`SCORE_NOISE`] on either side, clamped to 0..1.
//!
//! *Runners*: a runner serves `slots` requests concurrently and queues the rest in order. A request
//! takes [`PREFILL`] to its first token, then [`TOKEN_INTERVAL`] per token, longer by a share of up
//! to [`BATCH_SLOWDOWN`] as the batch fills. A runner that is down refuses connections at once;
//! connections across a network partition time out.

use std::time::Duration;

/// Largest deviation of a score from its mean.
pub(super) const SCORE_NOISE: f64 = 0.15;

/// Time from the start of service to the first token.
pub(super) const PREFILL: Duration = Duration::from_millis(60);

/// Time between tokens in an empty batch.
pub(super) const TOKEN_INTERVAL: Duration = Duration::from_millis(15);

/// Share by which the token interval grows when the batch is full.
pub(super) const BATCH_SLOWDOWN: f64 = 0.6;

/// Minimum and maximum tokens of a response, uniformly distributed.
pub(super) const RESPONSE_TOKENS: (f64, f64) = (16.0, 112.0);

/// Draws a score around `mean`.
pub(super) fn draw_score(mean: f64, rng: &mut fastrand::Rng) -> f64 {
    (mean + SCORE_NOISE * (2.0 * rng.f64() - 1.0)).clamp(0.0, 1.0)
}

/// Returns the time that a request with `tokens` tokens holds its slot when `busy` of the runner's
/// `slots` are in use.
pub(super) fn service_time(tokens: f64, busy: u32, slots: u32) -> Duration {
    let slowdown = 1.0 + BATCH_SLOWDOWN * f64::from(busy) / f64::from(slots.max(1));
    PREFILL + TOKEN_INTERVAL.mul_f64(tokens * slowdown)
}

/// Returns the mean time that a request holds a slot of a full batch, in seconds.
pub(super) fn mean_service_s() -> f64 {
    service_time((RESPONSE_TOKENS.0 + RESPONSE_TOKENS.1) / 2.0, 1, 1).as_secs_f64()
}

/// Draws the time to the next arrival of a Poisson process with `rate` arrivals per second.
pub(super) fn draw_interarrival(rate: f64, rng: &mut fastrand::Rng) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
}
