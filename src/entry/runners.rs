//! What an entry knows of each upstream's load and behaviour.

use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::policy::load_balancing::Candidate;
use crate::upstream;
use crate::upstream::Announcement;
use crate::upstream::Health;
use crate::upstream::LoadLevel;
use crate::upstream::LoadTable;

/// Mean time from an upstream's look at its load until an entry has the level: half a report
/// interval, and two renewals of which half has gone by.
const REPORT_TRANSIT: Duration = Duration::from_millis(650);

#[derive(Debug, Default)]
struct Runner {
    health: Health,
    own: upstream::InFlightHistory,
}

/// The table of upstreams.
#[derive(Debug, Default)]
pub(crate) struct Runners {
    loads: LoadTable,
    rows: HashMap<Name, Runner>,
}

impl Runners {
    /// Takes a reported level.
    pub(crate) fn set_level(
        &mut self,
        id: &Name,
        incarnation: u64,
        level: LoadLevel,
        now: Duration,
    ) {
        self.loads.update(id, incarnation, level, now);
    }

    /// Forgets upstreams that `keep` refuses and that nothing runs on.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.rows.retain(|id, row| row.own.count() > 0 || keep(id));
        self.loads.retain(keep);
    }

    /// An upstream as the choice sees it.
    pub(crate) fn candidate(
        &self,
        announced: &Announcement,
        data_centre: &Name,
        now: Duration,
    ) -> Candidate {
        let row = self.rows.get(&announced.id);
        let reported = self
            .loads
            .get(&announced.id)
            .map(|(level, at)| (level.fraction(), now.saturating_sub(at) + REPORT_TRANSIT));
        let sampled = reported.map_or(now, |(_, age)| now.saturating_sub(age));
        Candidate {
            id: announced.id.clone(),
            slots: announced.slots,
            reported,
            in_flight: row.map_or(0, |row| row.own.count()),
            in_flight_at_report: row.map_or(0, |row| row.own.count_at(sampled)),
            is_local: announced.data_centre == *data_centre,
            circuit: row.map_or(crate::upstream::Circuit::Closed, |row| {
                row.health.circuit(now)
            }),
            mean_latency_s: row.and_then(|row| row.health.mean_latency_s()),
        }
    }

    fn row(&mut self, id: &Name) -> &mut Runner {
        self.rows.entry(id.clone()).or_default()
    }
}

/// A request of this entry's that runs on an upstream. Dropping it without a result counts as
/// neither success nor failure.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) upstream: Arc<Announcement>,
    started: Duration,
    told: bool,
}

impl InFlight {
    pub(crate) fn start(shared: &Arc<Shared>, upstream: Arc<Announcement>) -> Self {
        let started = shared.now();
        let mut runners = shared.runners.lock();
        let row = runners.row(&upstream.id);
        row.own.increment(started);
        row.health.record_start();
        drop(runners);
        Self {
            shared: shared.clone(),
            upstream,
            started,
            told: false,
        }
    }

    /// The first token or byte has come.
    pub(crate) fn succeeded(&mut self) -> Duration {
        let first = self.shared.now().saturating_sub(self.started);
        if !self.told {
            self.told = true;
            let mut runners = self.shared.runners.lock();
            runners.row(&self.upstream.id).health.record_success(first);
        }
        first
    }

    /// The attempt failed by the upstream's fault.
    pub(crate) fn failed(&mut self) {
        self.told = true;
        let now = self.shared.now();
        let mut runners = self.shared.runners.lock();
        runners.row(&self.upstream.id).health.record_failure(now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut runners = self.shared.runners.lock();
        let row = runners.row(&self.upstream.id);
        row.own.decrement(now);
        if !self.told {
            row.health.record_wait(now.saturating_sub(self.started));
            row.health.record_cancelled();
        }
    }
}
