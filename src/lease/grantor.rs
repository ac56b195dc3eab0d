//! The grantor's side of leases, in the leader.

use std::time::Duration;

use super::DRIFT_MARGIN;
use super::TTL;
use crate::collections::HashMap;
use crate::collections::Name;

/// A holder that may have a live lease and has not acknowledged a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lagging {
    /// The entry on this VM.
    Holder(Name),
    /// Any entry to which an earlier leader may have granted a lease.
    Unknown,
}

#[derive(Clone, Debug)]
struct Lease {
    vm: Name,
    acked: u64,
    until: Duration,
}

/// Leases granted by this leader, and the time until which leases of earlier leaders may be live.
#[derive(Clone, Debug)]
pub struct Grantor {
    leases: HashMap<u64, Lease>,
    /// Leases granted by earlier leaders may be live until this time.
    unknown_until: Duration,
}

impl Grantor {
    /// Starts without known leases for a replica that became leader at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            leases: HashMap::default(),
            unknown_until: now + TTL + DRIFT_MARGIN,
        }
    }

    /// Grants or renews the lease of `entry` on `vm`, which has acknowledged revision `acked`.
    pub fn grant(&mut self, entry: u64, vm: &Name, acked: u64, now: Duration) {
        let lease = self.leases.entry(entry).or_insert_with(|| Lease {
            vm: vm.clone(),
            acked,
            until: now,
        });
        lease.acked = lease.acked.max(acked);
        lease.until = now + TTL + DRIFT_MARGIN;
    }

    /// Removes the lease of `entry`, which has released it.
    pub fn release(&mut self, entry: u64) {
        self.leases.remove(&entry);
    }

    /// Removes expired leases and returns the entries that held them.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(&entry, _)| entry)
            .collect();
        for entry in &expired {
            self.leases.remove(entry);
        }
        expired
    }

    /// Returns whether `entry` may hold a live lease, from this leader or an earlier one.
    pub fn may_hold(&self, entry: u64, now: Duration) -> bool {
        now < self.unknown_until
            || self
                .leases
                .get(&entry)
                .is_some_and(|lease| lease.until > now)
    }

    /// Returns who may still route under a revision older than `revision`. An empty list means that
    /// the revision is in force.
    pub fn lagging(&self, revision: u64, now: Duration) -> Vec<Lagging> {
        let mut lagging: Vec<Lagging> = self
            .leases
            .values()
            .filter(|lease| lease.until > now && lease.acked < revision)
            .map(|lease| Lagging::Holder(lease.vm.clone()))
            .collect();
        if now < self.unknown_until {
            lagging.push(Lagging::Unknown);
        }
        lagging
    }
}
