//! How many requests of one's own ran at an upstream, now and a little while ago.

use std::collections::VecDeque;
use std::time::Duration;

/// How far back one can ask.
const KEPT: Duration = Duration::from_secs(10);

/// A count that remembers its past.
#[derive(Clone, Debug, Default)]
pub struct InFlightHistory {
    count: u32,
    /// When the count changed, and what it was before.
    changes: VecDeque<(Duration, u32)>,
}

impl InFlightHistory {
    /// The count now.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// One more.
    pub fn increment(&mut self, now: Duration) {
        self.change(now, self.count + 1);
    }

    /// One less.
    pub fn decrement(&mut self, now: Duration) {
        self.change(now, self.count.saturating_sub(1));
    }

    /// The count at `then`.
    pub fn count_at(&self, then: Duration) -> u32 {
        self.changes
            .iter()
            .find(|(at, _)| *at > then)
            .map_or(self.count, |&(_, before)| before)
    }

    fn change(&mut self, now: Duration, count: u32) {
        self.changes.push_back((now, self.count));
        self.count = count;
        while self.changes.front().is_some_and(|(at, _)| *at + KEPT < now) {
            self.changes.pop_front();
        }
    }
}
