//! Which model of a ladder answers.
//!
//! Load pattern that this answers: most requests are easy, a few are hard, and nobody says which.
//! A small model is asked first; its own opinion comes with the head of its answer, before the
//! caller has seen anything, so that asking a larger one costs a second reading of the prompt.
//!
//! Under load a second reading comes late, and makes the prompts behind it late too: an answer in
//! doubt is then better than none in time.

use std::time::Duration;

/// Confidence below which a small model's answer is dropped, 0 to 100.
const CONFIDENCE_LEAST: f64 = 55.0;

/// Part of the target from which a wait behind other prompts counts as a crowd: about the time in which
/// a small model reads one long prompt.
const CROWD_PART: f64 = 0.05;

/// When a larger model would answer.
#[derive(Clone, Copy, Debug)]
pub struct TtftForecast {
    /// Target of the route, from the arrival of the request.
    pub target: Duration,
    /// Time since then.
    pub elapsed: Duration,
    /// Time in which the prompts before it are read.
    pub queue: Duration,
    /// Time in which its own prompt is read.
    pub prefill: Duration,
}

impl TtftForecast {
    /// Whether the answer would be late because of others. One that is late by its own length alone
    /// makes nobody wait who came before it.
    fn is_crowded(&self) -> bool {
        let first = self.elapsed + self.queue + self.prefill;
        first > self.target && self.queue > self.target.mul_f64(CROWD_PART)
    }
}

/// The model to ask first.
pub fn first_model(ladder: usize) -> Option<usize> {
    (ladder > 0).then_some(0)
}

/// The model to ask instead of `model`, whose answer came with `confidence`; `outlook` tells when a
/// model would answer, as far as that is known.
pub fn next_model(
    ladder: usize,
    model: usize,
    confidence: Option<f64>,
    outlook: impl Fn(usize) -> Option<TtftForecast>,
) -> Option<usize> {
    let largest = ladder.checked_sub(1)?;
    let doubtful = confidence.is_some_and(|confidence| confidence < CONFIDENCE_LEAST);
    if model >= largest || !doubtful {
        return None;
    }
    let crowded = outlook(largest).is_some_and(|outlook| outlook.is_crowded());
    (!crowded).then_some(largest)
}
