//! Builds the updates that this gateway publishes.

use std::time::Duration;

use super::FULL_INTERVAL;
use super::Load;
use super::Update;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::gateway::Gateway;
use crate::policy::sessions::Assignment;

/// Tracks what has been published, to send only what has changed.
#[derive(Default)]
pub(super) struct Publisher {
    seq: u64,
    published: HashMap<Index, Load>,
    last_full_at: Option<Duration>,
    /// Whether the last update had receivers.
    has_peers: bool,
    /// Unreachable services of the last update.
    unreachable: Vec<u64>,
    /// Sessions published since the last full update; the next one repeats them.
    sessions: Vec<Assignment>,
}

impl Publisher {
    /// Returns whether the next update is the first that has receivers, as after a start: they must
    /// not wait for a change to learn of this gateway's requests.
    pub(super) fn finds_peers(&self, peer_count: usize) -> bool {
        !self.has_peers && peer_count > 0
    }

    /// Returns the next update; `None` if nothing has changed.
    pub(super) fn next_update(&mut self, gateway: &Gateway, peer_count: usize) -> Option<Update> {
        let now = gateway.now();
        let is_full = self.finds_peers(peer_count)
            || self.last_full_at.is_none_or(|at| now >= at + FULL_INTERVAL);
        self.has_peers = peer_count > 0;
        let loads = gateway.upstreams.borrow().own_loads();
        let rows = {
            let managed = gateway.managed_upstreams.borrow();
            let brittle = gateway.brittle.borrow();
            let each_counts =
                |number| managed.is_of_small_service(number) || brittle.contains(number);
            self.rows_to_publish(&loads, is_full, each_counts)
        };
        let new_sessions = gateway.sessions.borrow_mut().take_unpublished();
        let reachability = gateway.reachability.borrow_mut().next_notice(is_full, now);
        let unreachable = gateway.unreachable_services();
        let limits = gateway.limit_notices(is_full);
        let brittle = gateway.brittle_notices(is_full);
        let quarantines = gateway.quarantine_notices(is_full);
        let crashing_requests = gateway.crash_notice(is_full);
        let speeds = gateway.speed_notice(is_full, peer_count);
        let demand = gateway.demand_notice();
        let demand_is_due = demand.as_ref().is_some_and(|(_, is_due)| *is_due);
        let has_news = !(rows.is_empty()
            && new_sessions.is_empty()
            && reachability.is_empty()
            && unreachable == self.unreachable
            && limits.is_empty()
            && brittle.is_empty()
            && quarantines.is_empty()
            && crashing_requests.is_empty()
            && speeds.is_empty()
            && !demand_is_due);
        if !has_news && !is_full {
            return None;
        }
        self.seq += 1;
        self.unreachable.clone_from(&unreachable);
        self.sessions.extend_from_slice(&new_sessions);
        let sessions = if is_full {
            self.last_full_at = Some(now);
            std::mem::take(&mut self.sessions)
        } else {
            new_sessions
        };
        let demand = demand.map(|(notice, _)| notice);
        if let Some(notice) = &demand {
            gateway.record_published_demand(notice.clone());
        }
        Some(Update {
            run_id: gateway.run_id,
            address: gateway.info.address,
            unreachable,
            seq: self.seq,
            is_full,
            rows,
            sessions,
            reachability,
            limits,
            brittle,
            quarantines,
            crashing_requests,
            speeds,
            demand,
        })
    }

    /// Returns the rows to publish and records them as published. `each_counts` is whether each
    /// request at an upstream is published.
    fn rows_to_publish(
        &mut self,
        loads: &HashMap<Index, Load>,
        is_full: bool,
        each_counts: impl Fn(Index) -> bool,
    ) -> Vec<(Index, Load)> {
        if is_full {
            self.published.clone_from(loads);
            return loads
                .iter()
                .map(|(&number, &load)| (number, load))
                .collect();
        }
        let mut rows = Vec::new();
        for (&number, load) in loads {
            let published = self.published.entry(number).or_default();
            if load.differs_enough(published, each_counts(number)) {
                *published = *load;
                rows.push((number, *load));
            }
        }
        for (&number, published) in &mut self.published {
            if !loads.contains_key(&number) && *published != Load::default() {
                *published = Load::default();
                rows.push((number, Load::default()));
            }
        }
        rows
    }
}
