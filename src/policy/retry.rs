//! Whether a failed attempt is tried again.

use std::time::Duration;

/// Retries that a budget earns with each first attempt.
const EARNED: f64 = 0.1;

/// Retries that a budget may save up, so that a quiet time does not pay for a storm.
const SAVED_LIMIT: f64 = 10.0;

/// Attempts of one request, at most.
const ATTEMPT_LIMIT: u32 = 3;

/// Least time left to the deadline in which an attempt is worth making.
const TIME_LEAST: Duration = Duration::from_millis(50);

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// No connection was made: the upstream has seen nothing.
    NotStarted,
    /// It may have run.
    MaybeStarted,
}

/// A budget of retries: a share of the first attempts.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    saved: f64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { saved: SAVED_LIMIT }
    }
}

impl TokenBucket {
    /// A request makes its first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED_LIMIT);
    }

    /// Takes one retry, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// What is known of a request whose attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Attempts made.
    pub attempts: u32,
    /// How far the last one came.
    pub execution: Execution,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Time left to the deadline.
    pub time_left: Duration,
}

/// Whether the request may be tried again, as far as it is its own affair; the budget decides then.
pub fn may_retry(failed: &FailedAttempt) -> bool {
    let repeatable = !failed.at_most_once || failed.execution == Execution::NotStarted;
    repeatable && failed.attempts < ATTEMPT_LIMIT && failed.time_left >= TIME_LEAST
}
