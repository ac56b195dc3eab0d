//! The holder's side of a lease, in an entry.

use std::time::Duration;

use super::DISPATCH_TIMEOUT;
use super::TTL;

/// An entry's lease and the configuration revision that it has applied.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    until: Option<Duration>,
    revision: u64,
    acked: u64,
    applied_at: Duration,
}

impl Holder {
    /// Extends the lease after the leader granted a renewal that was sent at `sent_at`.
    pub fn record_grant(&mut self, sent_at: Duration) {
        self.until = self.until.max(Some(sent_at + TTL));
    }

    /// Records that the configuration of `revision` is applied at `now`. Returns `false` and
    /// changes nothing if the revision is not newer than the current one.
    pub fn apply_revision(&mut self, revision: u64, now: Duration) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.applied_at = now;
        true
    }

    /// Returns whether the lease is live at `now`, so that work may start.
    pub fn is_live(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the revision that is applied; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision to acknowledge at `now`: the newest one for which every dispatch that
    /// was decided before it was applied has been sent or aborted.
    pub fn acked_revision(&mut self, now: Duration) -> u64 {
        if now >= self.applied_at + DISPATCH_TIMEOUT {
            self.acked = self.revision;
        }
        self.acked
    }
}
