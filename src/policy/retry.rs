//! Decides whether an entry retries a failed attempt.
//!
//! Handles upstreams that fail before or after a request may have run there. A request that must
//! run at most once is retried only if the failed attempt can't have run. A token bucket limits an
//! organisation's retries, so that an outage does not become a retry storm.

use std::time::Duration;

/// Tokens that the first attempt of a request adds.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Capacity of the bucket, so that a quiet period does not pay for a retry storm.
const CAPACITY: f64 = 10.0;

/// Attempts of one request, the first one included.
const ATTEMPT_LIMIT: u32 = 3;

/// Shortest time to the deadline in which a retry is worth starting.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// Whether a failed attempt may have run on its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// No connection was made, so the upstream has not seen the request.
    NotStarted,
    /// The upstream may have run the request.
    MaybeStarted,
}

/// A token bucket from which each retry takes one token; it starts full.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { tokens: CAPACITY }
    }
}

impl TokenBucket {
    /// Adds tokens for the first attempt of a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(CAPACITY);
    }

    /// Takes the token of one retry and returns `true`, or `false` if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A request whose last attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Attempts so far, the first one included.
    pub attempts: u32,
    /// Whether the last attempt may have run.
    pub execution: Execution,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Time left to the deadline.
    pub time_left: Duration,
}

/// Returns whether the request itself allows a retry; a [`TokenBucket`] must allow it as well.
pub fn may_retry(failed: &FailedAttempt) -> bool {
    let is_safe = !failed.at_most_once || failed.execution == Execution::NotStarted;
    is_safe && failed.attempts < ATTEMPT_LIMIT && failed.time_left >= MIN_TIME_LEFT
}
