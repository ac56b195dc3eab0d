//! Counts a process's requests in flight at an upstream, now and in the recent past.
//!
//! Load reports arrive late. The count at the time of a report tells which requests it includes.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which past counts are kept.
const RETENTION: Duration = Duration::from_secs(10);

/// A count with its recent history.
#[derive(Clone, Debug, Default)]
pub struct InFlightHistory {
    count: u32,
    /// Times of changes, each with the count before it.
    changes: VecDeque<(Duration, u32)>,
}

impl InFlightHistory {
    /// Returns the current count.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Adds a request.
    pub fn increment(&mut self, now: Duration) {
        self.change(now, self.count + 1);
    }

    /// Removes a request.
    pub fn decrement(&mut self, now: Duration) {
        self.change(now, self.count.saturating_sub(1));
    }

    /// Returns the count at `time`, or the oldest known count if that is longer ago.
    pub fn count_at(&self, time: Duration) -> u32 {
        let later = self.changes.iter().rev().take_while(|(at, _)| *at > time);
        later.last().map_or(self.count, |&(_, before)| before)
    }

    fn change(&mut self, now: Duration, count: u32) {
        self.changes.push_back((now, self.count));
        self.count = count;
        while self
            .changes
            .front()
            .is_some_and(|(at, _)| *at + RETENTION < now)
        {
            self.changes.pop_front();
        }
    }
}
