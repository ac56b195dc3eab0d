//! Decides which requests without a response count as failures of the release that their upstream
//! runs.
//!
//! Handles a rollout while gateways are partitioned from upstreams. The requests that are lost on the
//! way say nothing of the release: they must neither cause a rollback nor hide a bad release behind a
//! stable one that seems to fail as often. A connection that is opened after the loss tells the link
//! from the upstream. If it is refused, the upstream has crashed or the link resets connections; then
//! a later response of the upstream to any gateway tells.

use std::collections::VecDeque;
use std::time::Duration;

use crate::agreement::Index;

/// Time in which a response to another gateway may show that a refused connection is not the
/// upstream's doing.
const REFUTATION_TIME: Duration = Duration::from_millis(1200);

/// Maximum number of failures that wait for it.
const PENDING_LIMIT: usize = 1024;

/// Result of opening a connection to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reached {
    /// The connection was accepted.
    Accepted,
    /// The connection was refused.
    Refused,
    /// There was no answer.
    Silent,
}

/// Failures with refused connections, as `T`, that may not count.
#[derive(Debug)]
pub struct LostResponses<T> {
    /// Each with the number of the upstream and the time of the refusal, the oldest first.
    pending: VecDeque<(T, Index, Duration)>,
}

impl<T> Default for LostResponses<T> {
    fn default() -> Self {
        Self {
            pending: VecDeque::new(),
        }
    }
}

impl<T> LostResponses<T> {
    /// Records a request without a response, after which a connection to its upstream was opened.
    /// Returns it if it counts now.
    pub fn record(
        &mut self,
        failure: T,
        upstream: Index,
        reached: Reached,
        now: Duration,
    ) -> Option<T> {
        match reached {
            Reached::Accepted => Some(failure),
            Reached::Silent => None,
            Reached::Refused if self.pending.len() >= PENDING_LIMIT => Some(failure),
            Reached::Refused => {
                self.pending.push_back((failure, upstream, now));
                None
            }
        }
    }

    /// Returns the failures that count by now. `was_alive` is whether an upstream is known to have
    /// been alive at a time.
    pub fn take_due(
        &mut self,
        now: Duration,
        was_alive: impl Fn(Index, Duration) -> bool,
    ) -> Vec<T> {
        let is_due = |at: Duration| now >= at + REFUTATION_TIME;
        let mut due = Vec::new();
        while self.pending.front().is_some_and(|(.., at)| is_due(*at)) {
            let Some((failure, upstream, at)) = self.pending.pop_front() else {
                break;
            };
            if !was_alive(upstream, at) {
                due.push(failure);
            }
        }
        due
    }
}
