//! The guard of a roll-out: a sequential test that stays valid however often it is looked at.
//!
//! Each measure is a mean of values from 0 to 1. Around each mean stands a confidence sequence, the
//! normal-mixture boundary of Robbins for sub-Gaussian sums, which holds at all times together with
//! probability `1 - ALPHA`. The guard halts when the sequences of the new and the stable versions
//! are apart by more than a tolerance.

use serde::Deserialize;
use serde::Serialize;

/// Probability that one confidence sequence ever misses its mean.
const ALPHA: f64 = 0.0015;

/// Shape of the mixture; the boundary is tightest near 100 samples.
const MIXTURE: f64 = 0.15;

/// Standard deviation that bounds any value from 0 to 1.
const SIGMA: f64 = 0.5;

/// Loss of mean score that is put up with.
const SCORE_TOLERANCE: f64 = 0.02;

/// Rise of the share of failures that is put up with.
const FAILURE_TOLERANCE: f64 = 0.01;

/// Rise of the share of slow answers that is put up with.
const SLOW_TOLERANCE: f64 = 0.05;

/// An answer is slow when its first token takes longer than this many stable means.
const SLOW_FACTOR: f64 = 2.0;

/// Ended requests and rated answers that a stage needs before it may advance.
const STAGE_ENDED: u64 = 100;
const STAGE_RATED: f64 = 50.0;

/// Ended requests after which what was seen of a trusted new version is forgotten.
const EPOCH: f64 = 1000.0;

/// What is seen of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// It ended.
    Ended {
        /// Whether it failed.
        failed: bool,
        /// Time to the first token, in milliseconds.
        ttft_ms: u32,
    },
    /// Its answer was rated from 0 to 1.
    Rated(f64),
}

/// What the guard does.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Goes on.
    Continue,
    /// Lets the next stage begin.
    Advance,
    /// Stops the roll-out.
    Halt(String),
}

/// A running mean of values from 0 to 1.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Mean {
    /// Values taken.
    pub n: f64,
    /// Their sum.
    pub sum: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.n += 1.0;
        self.sum += value;
    }

    /// The mean, or 0 of no values.
    pub fn mean(&self) -> f64 {
        if self.n > 0.0 { self.sum / self.n } else { 0.0 }
    }

    /// Half the width of the confidence sequence.
    fn radius(&self) -> f64 {
        if self.n <= 0.0 {
            return f64::INFINITY;
        }
        let grown = self.n * MIXTURE + 1.0;
        let log = (grown / (ALPHA * ALPHA)).ln();
        SIGMA * (grown / (self.n * self.n * MIXTURE) * log).sqrt()
    }
}

/// What was seen of one side.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Measurements {
    /// Scores.
    pub score: Mean,
    /// Failures among ended requests.
    pub failed: Mean,
    /// Slow ones among ended requests.
    pub slow: Mean,
}

/// What was seen of the new version and of the other versions of its model.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// The new version.
    pub candidate: Measurements,
    /// The others.
    pub stable: Measurements,
    stable_first: Mean,
}

impl Evidence {
    /// Takes one sample.
    pub fn record(&mut self, candidate: bool, sample: Sample) {
        let usual_ms = self.stable_first.mean();
        let side = if candidate {
            &mut self.candidate
        } else {
            &mut self.stable
        };
        match sample {
            Sample::Rated(score) => side.score.add(score),
            Sample::Ended {
                failed,
                ttft_ms: first_ms,
            } => {
                side.failed.add(if failed { 1.0 } else { 0.0 });
                let first_ms = f64::from(first_ms);
                if self.stable_first.n >= 20.0 {
                    let slow = first_ms > SLOW_FACTOR * usual_ms.max(1.0);
                    side.slow.add(if slow { 1.0 } else { 0.0 });
                }
                if !candidate && !failed {
                    self.stable_first.add(first_ms);
                }
            }
        }
    }

    /// Forgets what was seen of the new version once it is much, so that a version that turns bad
    /// late is not covered by what it was. What was seen of the others stays: after the last stage
    /// they serve hardly anything any more.
    pub fn reset_after_epoch(&mut self) {
        if self.candidate.failed.n >= EPOCH {
            self.candidate = Measurements::default();
        }
    }

    /// Whether there is evidence that the new version is about as good as the others, so that its
    /// exposure no longer counts against the budget.
    pub fn is_trusted(&self) -> bool {
        let candidate = &self.candidate;
        let stable = &self.stable;
        candidate.failed.n >= STAGE_ENDED as f64
            && candidate.score.n >= STAGE_RATED
            && candidate.score.mean() >= stable.score.mean() - 2.0 * SCORE_TOLERANCE
            && candidate.failed.mean() <= stable.failed.mean() + 2.0 * FAILURE_TOLERANCE
    }
}

/// Judges a roll-out whose current stage has seen `in_stage` requests.
pub fn evaluate(evidence: &Evidence, in_stage: u64) -> Verdict {
    let candidate = &evidence.candidate;
    let stable = &evidence.stable;
    // A fall in score is a rise of what is missing to 1.
    let missing = |mean: Mean| Mean {
        n: mean.n,
        sum: mean.n - mean.sum,
    };
    let tests = [
        (
            "score",
            missing(candidate.score),
            missing(stable.score),
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
    if evidence.is_trusted() && in_stage >= STAGE_ENDED {
        return Verdict::Advance;
    }
    Verdict::Continue
}
