//! Decides which upstreams to avoid because they refuse connections.
//!
//! Handles a crash of many upstreams in front of many gateways. If each gateway learned of each
//! crash by its own failed connections, a request would try one dead upstream after the other. An
//! upstream that refuses a connection has no process that listens, so one gateway's observation
//! holds for all. It expires soon, because the limit on an upstream's connections may show in the
//! same way. A restarted upstream is another incarnation with another number.

use std::time::Duration;

use crate::agreement::Index;
use crate::collections::HashMap;

/// Time for which an upstream is avoided after it refused a connection of this process.
const OWN_REFUSAL_TTL: Duration = Duration::from_secs(1);

/// Time for which it is avoided after it refused a connection of another process. It is longer, so
/// that the few processes that observed the refusal try again before the others.
const REPORTED_REFUSAL_TTL: Duration = Duration::from_secs(2);

/// Upstreams that refused a connection, by the number of their incarnation.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    avoided_until: HashMap<Index, Duration>,
    /// This process's own observations that others have not been told of yet.
    unpublished: Vec<Index>,
}

impl Reachability {
    /// Records that an upstream refused a connection of this process.
    pub fn record_refusal(&mut self, upstream: Index, now: Duration) {
        if !self.is_avoided(upstream, now) {
            self.unpublished.push(upstream);
        }
        self.avoided_until.insert(upstream, now + OWN_REFUSAL_TTL);
    }

    /// Records that an upstream refused a connection of another process.
    pub fn record_reported_refusal(&mut self, upstream: Index, now: Duration) {
        self.avoided_until
            .insert(upstream, now + REPORTED_REFUSAL_TTL);
    }

    /// Records a response of an upstream, which proves that it can be reached.
    pub fn record_response(&mut self, upstream: Index) {
        self.avoided_until.remove(&upstream);
    }

    /// Returns whether an upstream is to be avoided.
    pub fn is_avoided(&self, upstream: Index, now: Duration) -> bool {
        self.avoided_until
            .get(&upstream)
            .is_some_and(|&until| now < until)
    }

    /// Returns the upstreams that the other processes are to be told of, and marks them as told.
    pub fn take_unpublished(&mut self) -> Vec<Index> {
        std::mem::take(&mut self.unpublished)
    }

    /// Forgets the upstreams that are no longer avoided.
    pub fn remove_expired(&mut self, now: Duration) {
        self.avoided_until.retain(|_, until| now < *until);
    }
}
