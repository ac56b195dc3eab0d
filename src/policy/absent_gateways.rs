//! Decides which gateways get reports of the replicas because the leader no longer lists them.
//!
//! Handles VMs that start again while all VMs of their settings are down, after the leader has
//! forgotten their former run. Only the gateways that ran meanwhile still have their addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::HashSet;

/// Interval between two rounds in which a gateway reports to absent ones.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Mean number of gateways that report to an absent one in a round. Each draws for itself, because none
/// knows which others have restarted and remember nothing.
const MEAN_REPORTERS: f64 = 4.0;

/// Most gateways that one reports to in a round.
pub const MAX_RECIPIENTS: usize = 16;

/// Time for which an absent gateway is remembered. Most of those that return do so sooner; the others
/// are VMs that were removed.
pub const ABSENT_TTL: Duration = Duration::from_mins(15);

/// Most absent gateways that are remembered. Beyond it, those absent for the longest are forgotten.
pub const MAX_ABSENT: usize = 512;

/// The gateways that were in the leader's list and no longer are.
#[derive(Clone, Debug, Default)]
pub struct AbsentGateways {
    /// When the list without each of them was received.
    absent_since: BTreeMap<SocketAddr, Duration>,
}

impl AbsentGateways {
    /// Records that the leader's list `current` has replaced `former`. Returns those that are only in
    /// `former`.
    pub fn record_list(
        &mut self,
        former: &[SocketAddr],
        current: &[SocketAddr],
        now: Duration,
    ) -> Vec<SocketAddr> {
        let listed: HashSet<&SocketAddr> = current.iter().collect();
        let unlisted = former.iter().filter(|address| !listed.contains(address));
        let unlisted: Vec<SocketAddr> = unlisted.copied().collect();
        self.absent_since
            .retain(|address, since| !listed.contains(address) && now < *since + ABSENT_TTL);
        for &address in &unlisted {
            self.absent_since.insert(address, now);
        }
        let excess = self.absent_since.len().saturating_sub(MAX_ABSENT);
        if excess > 0 {
            let mut by_age: Vec<(Duration, SocketAddr)> = self
                .absent_since
                .iter()
                .map(|(&address, &since)| (since, address))
                .collect();
            by_age.sort_unstable();
            for (_, address) in &by_age[..excess] {
                self.absent_since.remove(address);
            }
        }
        unlisted
    }

    /// Returns how many are remembered.
    pub fn count(&self) -> usize {
        self.absent_since.len()
    }

    /// Returns the gateways that this one, of `listed` in the leader's list, reports to in this round.
    pub fn draw_recipients(
        &mut self,
        listed: usize,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Vec<SocketAddr> {
        self.absent_since
            .retain(|_, since| now < *since + ABSENT_TTL);
        let listed = u32::try_from(listed.max(1)).unwrap_or(u32::MAX);
        let chance = MEAN_REPORTERS / f64::from(listed);
        let absent = self.absent_since.keys().copied();
        let mut recipients: Vec<SocketAddr> = absent.filter(|_| rng.f64() < chance).collect();
        rng.shuffle(&mut recipients);
        recipients.truncate(MAX_RECIPIENTS);
        recipients
    }
}
