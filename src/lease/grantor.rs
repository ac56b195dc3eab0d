//! The leader's side.

use std::time::Duration;

use super::DRIFT_MARGIN;
use super::TTL;
use crate::collections::HashMap;
use crate::collections::Name;

/// A holder that has not acknowledged a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lagging {
    /// This entry VM.
    Holder(Name),
    /// Holders that a former leader may have granted leases to.
    Unknown,
}

#[derive(Clone, Debug)]
struct Lease {
    vm: Name,
    acked: u64,
    until: Duration,
}

/// Leases granted in this term of office.
#[derive(Clone, Debug)]
pub struct Grantor {
    leases: HashMap<u64, Lease>,
    /// Until then, leases of the former leader may be alive.
    unknown_until: Duration,
}

impl Grantor {
    /// A leader that took office at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            leases: HashMap::default(),
            unknown_until: now + TTL + DRIFT_MARGIN,
        }
    }

    /// Grants or renews the lease of `entry`, which has acknowledged revision `acked`.
    pub fn grant(&mut self, entry: u64, vm: &Name, acked: u64, now: Duration) {
        let lease = self.leases.entry(entry).or_insert_with(|| Lease {
            vm: vm.clone(),
            acked,
            until: now,
        });
        lease.acked = lease.acked.max(acked);
        lease.until = now + TTL + DRIFT_MARGIN;
    }

    /// The holder gave its lease back.
    pub fn release(&mut self, entry: u64) {
        self.leases.remove(&entry);
    }

    /// Drops leases that have run out and returns their holders.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let gone: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(&entry, _)| entry)
            .collect();
        for entry in &gone {
            self.leases.remove(entry);
        }
        gone
    }

    /// Whether a lease of `entry` may be alive.
    pub fn may_hold(&self, entry: u64, now: Duration) -> bool {
        now < self.unknown_until
            || self
                .leases
                .get(&entry)
                .is_some_and(|lease| lease.until > now)
    }

    /// Who may still work under a revision before `revision`; none means that it is in force.
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
