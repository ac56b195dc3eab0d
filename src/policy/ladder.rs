//! Which model of a ladder answers.
//!
//! Load pattern that this answers: most requests are easy, a few are hard, and nobody says which.
//! A small model is asked first; its own opinion comes with the head of its answer, before the
//! caller has seen anything, so that asking a larger one costs a second reading of the prompt.

/// Confidence below which a small model's answer is dropped, 0 to 100.
const CONFIDENCE_LEAST: f64 = 50.0;

/// The model to ask first.
pub fn first(ladder: usize) -> Option<usize> {
    (ladder > 0).then_some(0)
}

/// The model to ask instead of `model`, whose answer came with `confidence`.
pub fn escalate(ladder: usize, model: usize, confidence: Option<f64>) -> Option<usize> {
    let largest = ladder.checked_sub(1)?;
    let doubtful = confidence.is_some_and(|confidence| confidence < CONFIDENCE_LEAST);
    (model < largest && doubtful).then_some(largest)
}
