//! How many requests may be repeated, over a sliding window.
//!
//! Load pattern that this answers: a crash or a slow upstream makes every request repeat at once, and
//! the repeats are what keeps it down. Repeats in any window stay below a share of the first attempts
//! in it; what ordinary times leave unused is there when many streams break at one moment.

use std::collections::VecDeque;
use std::time::Duration;

/// Slices of a window. Of the oldest one, which the window covers in part, only the repeats count.
const SLICES: u32 = 20;

/// Part of the budget that asking a larger model may use; the rest is for failures.
const CHOICE_PART: f64 = 0.75;

/// Bounds of the repeats of one service at one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeats for each first attempt.
    pub ratio: f64,
    /// Repeats beyond that in one window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u128,
    firsts: u32,
    repeats: u32,
}

/// First attempts and repeats of the last window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    slices: VecDeque<Slice>,
}

impl SlidingWindow {
    /// A request makes its first attempt.
    pub fn record_first_attempt(&mut self, terms: &Limits, now: Duration) {
        self.slice(terms, now).firsts += 1;
    }

    /// Takes a repeat after a failure, if there is one left.
    pub fn try_retry(&mut self, terms: &Limits, now: Duration) -> bool {
        self.take(terms, now, 1.0)
    }

    /// Takes a repeat that the request could do without.
    pub fn try_escalation(&mut self, terms: &Limits, now: Duration) -> bool {
        self.take(terms, now, CHOICE_PART)
    }

    fn take(&mut self, terms: &Limits, now: Duration, part: f64) -> bool {
        let newest = self.slice(terms, now).number;
        let is_whole = |slice: &&Slice| slice.number + u128::from(SLICES) > newest;
        let firsts: u32 = self
            .slices
            .iter()
            .filter(is_whole)
            .map(|slice| slice.firsts)
            .sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let allowed = f64::from(firsts) * terms.ratio + terms.slack;
        if f64::from(repeats) + 1.0 > allowed * part {
            return false;
        }
        self.slice(terms, now).repeats += 1;
        true
    }

    /// The slice of `now`, with those that have left the window dropped.
    fn slice(&mut self, terms: &Limits, now: Duration) -> &mut Slice {
        let length = (terms.window / SLICES).as_nanos().max(1);
        let number = now.as_nanos() / length;
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number + u128::from(SLICES) < number)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
