//! Decides when the rollout of a model version advances and when it is halted.
//!
//! Handles a new version whose responses score lower, fail more often or start later than those of
//! the stable versions of its model. The comparison is a sequential test, which stays valid however
//! often it is evaluated.
//!
//! Each measure is a mean of values from 0 to 1. Each mean has a confidence sequence, Robbins'
//! normal-mixture boundary for sub-Gaussian sums, which covers it at all times together with
//! probability `1 - ALPHA`. The rollout is halted when the confidence sequences of the new version
//! and the stable versions are apart by more than a tolerance.

use serde::Deserialize;
use serde::Serialize;

/// Probability that one confidence sequence ever misses its mean.
const ALPHA: f64 = 0.0015;

/// Parameter of the mixture, with which the boundary is tightest near 100 samples.
const MIXTURE: f64 = 0.15;

/// Upper bound of the standard deviation of values from 0 to 1.
const SIGMA: f64 = 0.5;

/// Tolerated decrease of the mean score.
const SCORE_TOLERANCE: f64 = 0.02;

/// Tolerated increase of the failure rate.
const FAILURE_TOLERANCE: f64 = 0.01;

/// Tolerated increase of the share of slow responses.
const SLOW_TOLERANCE: f64 = 0.05;

/// A response is slow if its time to first token exceeds the stable versions' mean by this factor.
const SLOW_FACTOR: f64 = 2.0;

/// Least number of requests before the rollout may advance. It applies to the ended requests of the
/// new version and to the requests sent to it in the current stage.
const MIN_STAGE_REQUESTS: u64 = 100;

/// Rated responses that the new version needs before the rollout may advance.
const MIN_RATED: f64 = 50.0;

/// Ended requests after which the evidence on a trusted new version is reset.
const EPOCH_REQUESTS: f64 = 1000.0;

/// One observation of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// The request ended.
    Ended {
        /// Whether it failed.
        failed: bool,
        /// Time to first token, in milliseconds.
        ttft_ms: u32,
    },
    /// The response was rated, from 0 to 1.
    Rated(f64),
}

/// What happens to the rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It stays in its stage.
    Continue,
    /// It may enter the next stage.
    Advance,
    /// It is halted, for that reason.
    Halt(String),
}

/// A running mean. Its confidence sequence holds for values from 0 to 1 only.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Mean {
    /// Number of values.
    pub n: f64,
    /// Sum of the values.
    pub sum: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.n += 1.0;
        self.sum += value;
    }

    /// Returns the mean; 0 without values.
    pub fn mean(&self) -> f64 {
        if self.n > 0.0 { self.sum / self.n } else { 0.0 }
    }

    /// Returns half the width of the confidence sequence.
    fn radius(&self) -> f64 {
        if self.n <= 0.0 {
            return f64::INFINITY;
        }
        let scaled = self.n * MIXTURE + 1.0;
        let log = (scaled / (ALPHA * ALPHA)).ln();
        SIGMA * (scaled / (self.n * self.n * MIXTURE) * log).sqrt()
    }
}

/// Measurements of the new version, or of the stable versions together.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Measurements {
    /// Scores of rated responses.
    pub score: Mean,
    /// Share of ended requests that failed.
    pub failed: Mean,
    /// Share of ended requests that were slow.
    pub slow: Mean,
}

/// Evidence on the new version and on the other versions of its model.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// The new version.
    pub candidate: Measurements,
    /// The other versions.
    pub stable: Measurements,
    /// Time to first token of the other versions, in milliseconds.
    stable_first: Mean,
}

impl Evidence {
    /// Records a sample of the new version or of the other versions.
    pub fn record(&mut self, is_candidate: bool, sample: Sample) {
        let stable_ttft_ms = self.stable_first.mean();
        let measurements = if is_candidate {
            &mut self.candidate
        } else {
            &mut self.stable
        };
        match sample {
            Sample::Rated(score) => measurements.score.add(score),
            Sample::Ended { failed, ttft_ms } => {
                measurements.failed.add(if failed { 1.0 } else { 0.0 });
                let ttft_ms = f64::from(ttft_ms);
                if self.stable_first.n >= 20.0 {
                    let is_slow = ttft_ms > SLOW_FACTOR * stable_ttft_ms.max(1.0);
                    measurements.slow.add(if is_slow { 1.0 } else { 0.0 });
                }
                if !is_candidate && !failed {
                    self.stable_first.add(ttft_ms);
                }
            }
        }
    }

    /// Resets the evidence on the new version after many requests, so that good results of the past
    /// don't hide a later regression. The evidence on the other versions stays: after the last
    /// stage they serve almost no requests.
    pub fn reset_after_epoch(&mut self) {
        if self.candidate.failed.n >= EPOCH_REQUESTS {
            self.candidate = Measurements::default();
        }
    }

    /// Returns whether the new version has proved about as good as the others, so that its exposure
    /// no longer counts against the budget.
    pub fn is_trusted(&self) -> bool {
        let candidate = &self.candidate;
        let stable = &self.stable;
        candidate.failed.n >= MIN_STAGE_REQUESTS as f64
            && candidate.score.n >= MIN_RATED
            && candidate.score.mean() >= stable.score.mean() - 2.0 * SCORE_TOLERANCE
            && candidate.failed.mean() <= stable.failed.mean() + 2.0 * FAILURE_TOLERANCE
    }
}

/// Evaluates a rollout whose current stage has sent `in_stage` requests to the new version.
pub fn evaluate(evidence: &Evidence, in_stage: u64) -> Verdict {
    let candidate = &evidence.candidate;
    let stable = &evidence.stable;
    // The test is for an increase, so it takes the shortfall of the score from 1.
    let shortfall = |mean: Mean| Mean {
        n: mean.n,
        sum: mean.n - mean.sum,
    };
    let tests = [
        (
            "score",
            shortfall(candidate.score),
            shortfall(stable.score),
            SCORE_TOLERANCE,
        ),
        (
            "failures",
            candidate.failed,
            stable.failed,
            FAILURE_TOLERANCE,
        ),
        ("first token", candidate.slow, stable.slow, SLOW_TOLERANCE),
    ];
    for (measure, new, old, tolerance) in tests {
        if new.mean() - new.radius() > old.mean() + old.radius() + tolerance {
            return Verdict::Halt(format!(
                "{measure}: {:.3} over {} samples against {:.3} over {}",
                new.mean(),
                new.n,
                old.mean(),
                old.n
            ));
        }
    }
    if evidence.is_trusted() && in_stage >= MIN_STAGE_REQUESTS {
        return Verdict::Advance;
    }
    Verdict::Continue
}
