//! Decides which connections are ended because their callers take nothing of a response.
//!
//! A caller that pauses still acknowledges what it is sent, so that the operating system keeps the
//! connection for as long as the pause lasts.

use std::time::Duration;

/// Longest time for which a caller may take nothing. The operating system buffers some MB, and takes
/// more from this process only when a good part of them has been sent.
pub const STALL_LIMIT: Duration = Duration::from_secs(60);

/// Most memory of unwritten responses of all connections together, in bytes. Above it, the
/// connections that have stalled for the longest time end before the limit.
pub const UNWRITTEN_LIMIT_BYTES: usize = 24 * 1024 * 1024;

/// Least time after which a connection counts as stalled. One that is written to at this moment
/// does not.
pub const MIN_STALL: Duration = Duration::from_millis(500);

/// Least memory for which a connection is ended before the limit on the time.
const MIN_FREED_BYTES: usize = 64 * 1024;

/// Unwritten bytes of a connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Unwritten {
    /// Number of bytes.
    pub bytes: usize,
    /// Position of the first byte, which changes whenever the caller takes some.
    pub position: usize,
}

/// Progress of a caller in taking responses.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    unwritten: Unwritten,
    since: Duration,
}

impl Progress {
    /// Starts with nothing to write.
    pub fn new(now: Duration) -> Self {
        Self {
            unwritten: Unwritten::default(),
            since: now,
        }
    }

    /// Records what is left to write now; returns for how long the caller has taken nothing.
    pub fn observe(&mut self, unwritten: Unwritten, now: Duration) -> Duration {
        let is_stalled = unwritten.bytes > 0 && unwritten == self.unwritten;
        if !is_stalled {
            self.unwritten = unwritten;
            self.since = now;
        }
        now.saturating_sub(self.since)
    }

    /// Records that this process has moved the bytes that are left.
    pub fn record_move(&mut self, unwritten: Unwritten) {
        self.unwritten = unwritten;
    }
}

/// A connection with unwritten bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Connection {
    /// Identifies the connection.
    pub key: u64,
    /// Memory of the responses that are not written yet.
    pub bytes: usize,
    /// For how long the caller has taken nothing.
    pub stalled_for: Duration,
}

/// Returns the connections to end, the one that has stalled for the longest time first. Together they
/// may have `limit_bytes` unwritten; ending one that holds little does not help with that.
pub fn to_end(mut connections: Vec<Connection>, limit_bytes: usize) -> Vec<Connection> {
    let mut unwritten: usize = connections.iter().map(|connection| connection.bytes).sum();
    connections.sort_by_key(|connection| std::cmp::Reverse(connection.stalled_for));
    connections
        .into_iter()
        .filter(|connection| {
            let frees_memory = unwritten > limit_bytes
                && connection.stalled_for >= MIN_STALL
                && connection.bytes >= MIN_FREED_BYTES;
            let is_ended = frees_memory || connection.stalled_for >= STALL_LIMIT;
            if is_ended {
                unwritten -= connection.bytes;
            }
            is_ended
        })
        .collect()
}
