//! The entry's side.

use std::time::Duration;

use super::DISPATCH_TIMEOUT;
use super::TTL;

/// An entry's lease and the revision that it works under.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    until: Option<Duration>,
    revision: u64,
    acked: u64,
    taken_at: Duration,
}

impl Holder {
    /// A request sent at `sent_at` was granted.
    pub fn record_grant(&mut self, sent_at: Duration) {
        self.until = self.until.max(Some(sent_at + TTL));
    }

    /// The configuration of `revision` was put in place at `now`; an older one is not taken.
    pub fn apply_revision(&mut self, revision: u64, now: Duration) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.taken_at = now;
        true
    }

    /// Whether work may start at `now`.
    pub fn is_live(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Revision in place.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision to acknowledge at `now`: one under which every decision made before it was taken
    /// in has reached the wire or was given up.
    pub fn acked_revision(&mut self, now: Duration) -> u64 {
        if now >= self.taken_at + DISPATCH_TIMEOUT {
            self.acked = self.revision;
        }
        self.acked
    }
}
