//! Decides how long work waits that costs processor time and serves nobody.
//!
//! The work of all callers shares one rate. Each piece of it waits for those before it, so that callers that
//! ask for much without a pause get equal parts.

use std::time::Duration;

/// Pieces that each body may have.
const FREE_PIECES: u64 = 256;

/// Size from which pieces are not limited in number. Full packets are larger.
const LARGE_PIECE_BYTES: u64 = 256;

/// Longest wait. Callers that go away while they wait do not give their turn back.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A rate at which work is done.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Units of work that are done at once.
    pub burst: u32,
    /// Units of work a second.
    pub per_s: u32,
}

/// Work that shares a rate.
#[derive(Debug)]
pub struct Pace {
    limits: Limits,
    /// When all work so far would be done at the rate.
    done_at: Duration,
}

impl Pace {
    /// Starts without any work.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            done_at: Duration::ZERO,
        }
    }

    /// Adds `units` of work; returns how long its caller waits.
    pub fn add(&mut self, units: u32, now: Duration) -> Duration {
        let unit = Duration::from_secs(1) / self.limits.per_s;
        let burst = unit * self.limits.burst;
        let done_at = self.done_at.max(now) + unit * units;
        self.done_at = done_at.min(now + burst + MAX_WAIT);
        self.done_at.saturating_sub(now).saturating_sub(burst)
    }
}

/// The pieces of a body that is being read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pieces {
    count: u64,
    bytes: u64,
}

impl Pieces {
    /// Adds a piece; returns whether it is one too many for the size of the body.
    pub fn add(&mut self, bytes: usize) -> bool {
        self.count += 1;
        self.bytes += bytes as u64;
        self.count > FREE_PIECES + self.bytes / LARGE_PIECE_BYTES
    }
}
