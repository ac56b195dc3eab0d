//! Decides which responses are given up when all that are being read hold too much memory together.
//!
//! Each response is bounded by itself, but a faulty upstream may send bytes without end to as many
//! callers as there are. Such responses grow until they are given up, while sound ones end: the largest
//! goes first, and one that says how long it is comes after those that may have no end.

use std::cmp::Reverse;

use crate::collections::HashMap;

/// Part of the limit, as a divisor, below which a response that may have no end is no more likely to be
/// faulty than another: it may be a stream that has just received a part of an event.
const SMALL_DIVISOR: usize = 256;

/// Memory that a response holds.
#[derive(Clone, Copy, Debug)]
struct Row {
    bytes: usize,
    has_length: bool,
}

/// The memory of responses that are being read, by a number for each response.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    used: usize,
    rows: HashMap<u64, Row>,
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
    pub fn open(&mut self, has_length: bool) -> u64 {
        self.next += 1;
        let row = Row {
            bytes: 0,
            has_length,
        };
        self.rows.insert(self.next, row);
        self.next
    }

    /// Records that a response holds `bytes`; returns the numbers of those that are given up for it,
    /// which may include its own. They no longer count.
    pub fn hold(&mut self, number: u64, bytes: usize) -> Vec<u64> {
        let Some(row) = self.rows.get_mut(&number) else {
            return Vec::new();
        };
        self.used = self.used - row.bytes + bytes;
        row.bytes = bytes;
        let mut given_up = Vec::new();
        while self.used > self.limit {
            let rows = self.rows.iter();
            let largest = rows.max_by_key(|(number, row)| {
                let is_small = row.bytes <= self.limit / SMALL_DIVISOR;
                (!row.has_length && !is_small, row.bytes, Reverse(**number))
            });
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
        if let Some(row) = self.rows.remove(&number) {
            self.used -= row.bytes;
        }
    }

    /// Returns the bytes that all responses hold.
    pub fn used(&self) -> usize {
        self.used
    }
}
