//! Decides which responses are given up when those that may have no end hold too much memory together.
//!
//! Each response is bounded by itself, but a faulty upstream may send bytes without end to as many
//! callers as there are. Such responses grow until they are given up, while sound ones end, so the
//! largest goes first.

use std::cmp::Reverse;

use crate::collections::HashMap;

/// The memory of responses that are being read, by a number for each response.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    used: usize,
    /// Bytes that each response holds.
    rows: HashMap<u64, usize>,
    next: u64,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            rows: HashMap::default(),
            next: 0,
        }
    }

    /// Adds a response that holds nothing yet and returns its number.
    pub fn open(&mut self) -> u64 {
        self.next += 1;
        self.rows.insert(self.next, 0);
        self.next
    }

    /// Records that a response holds `bytes`; returns the numbers of those that are given up for it,
    /// which may include its own. They no longer count.
    pub fn hold(&mut self, number: u64, bytes: usize) -> Vec<u64> {
        let Some(held) = self.rows.get_mut(&number) else {
            return Vec::new();
        };
        self.used = self.used - *held + bytes;
        *held = bytes;
        let mut given_up = Vec::new();
        while self.used > self.limit {
            let rows = self.rows.iter();
            let largest = rows.max_by_key(|(number, bytes)| (**bytes, Reverse(**number)));
            let Some(number) = largest.map(|(&number, _)| number) else {
                break;
            };
            self.close(number);
            given_up.push(number);
        }
        given_up
    }

    /// Removes a response.
    pub fn close(&mut self, number: u64) {
        if let Some(bytes) = self.rows.remove(&number) {
            self.used -= bytes;
        }
    }

    /// Returns the bytes that all responses hold.
    pub fn used(&self) -> usize {
        self.used
    }
}
