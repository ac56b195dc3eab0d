//! Load and health of each upstream as this entry knows them.

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

/// Mean age of a level when it reaches an entry, counted from the upstream's sample of its load:
/// half a report interval, and half a renewal interval for each of the two renewals on the way, to
/// the leader and from it.
const REPORT_DELAY: Duration = Duration::from_millis(650);

#[derive(Debug, Default)]
struct UpstreamStats {
    health: Health,
    in_flight: upstream::InFlightHistory,
}

/// Reported load, own requests and health of all upstreams, by id.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    loads: LoadTable,
    rows: HashMap<Name, UpstreamStats>,
}

impl UpstreamTable {
    /// Records a reported level.
    pub(crate) fn set_level(
        &mut self,
        id: &Name,
        incarnation: u64,
        level: LoadLevel,
        now: Duration,
    ) {
        self.loads.update(id, incarnation, level, now);
    }

    /// Removes upstreams for which `keep` returns false, except those with requests in flight.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.rows
            .retain(|id, row| row.in_flight.count() > 0 || keep(id));
        self.loads.retain(keep);
    }

    /// Returns an upstream as a candidate for [`crate::policy::load_balancing`].
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
            .map(|(level, at)| (level.fraction(), now.saturating_sub(at) + REPORT_DELAY));
        let sampled_at = reported.map_or(now, |(_, age)| now.saturating_sub(age));
        Candidate {
            id: announced.id.clone(),
            slots: announced.slots,
            reported,
            in_flight: row.map_or(0, |row| row.in_flight.count()),
            in_flight_at_report: row.map_or(0, |row| row.in_flight.count_at(sampled_at)),
            is_local: announced.data_centre == *data_centre,
            circuit: row.map_or(crate::upstream::Circuit::Closed, |row| {
                row.health.circuit(now)
            }),
            mean_latency_s: row.and_then(|row| row.health.mean_latency_s()),
        }
    }

    fn row(&mut self, id: &Name) -> &mut UpstreamStats {
        self.rows.entry(id.clone()).or_default()
    }
}

/// A request of this entry in flight at an upstream. Dropped without a recorded result, it counts
/// as neither success nor failure.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) upstream: Arc<Announcement>,
    started: Duration,
    /// Whether the latency has been recorded.
    has_latency: bool,
    /// Whether a success or a failure has been recorded.
    is_recorded: bool,
}

impl InFlight {
    /// Counts a request that starts now.
    pub(crate) fn start(shared: &Arc<Shared>, upstream: Arc<Announcement>) -> Self {
        let started = shared.now();
        let mut upstreams = shared.upstreams.lock();
        let row = upstreams.row(&upstream.id);
        row.in_flight.increment(started);
        row.health.record_start();
        drop(upstreams);
        Self {
            shared: shared.clone(),
            upstream,
            started,
            has_latency: false,
            is_recorded: false,
        }
    }

    /// Returns the time since the start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.shared.now().saturating_sub(self.started)
    }

    /// Records that a stream has begun soundly. It counts as a success only once it is whole.
    pub(crate) fn record_progress(&mut self) {
        if std::mem::replace(&mut self.has_latency, true) {
            return;
        }
        let elapsed = self.elapsed();
        let mut upstreams = self.shared.upstreams.lock();
        let health = &mut upstreams.row(&self.upstream.id).health;
        health.record_latency(elapsed);
        health.record_progress(self.started);
    }

    /// Records a whole response; returns the time since the start.
    pub(crate) fn record_success(&mut self) -> Duration {
        let elapsed = self.elapsed();
        if !self.is_recorded {
            self.is_recorded = true;
            let mut upstreams = self.shared.upstreams.lock();
            let health = &mut upstreams.row(&self.upstream.id).health;
            if self.has_latency {
                health.record_whole();
            } else {
                health.record_success(elapsed);
            }
        }
        elapsed
    }

    /// Records a failure that the upstream caused.
    pub(crate) fn record_failure(&mut self) {
        self.is_recorded = true;
        let now = self.shared.now();
        let mut upstreams = self.shared.upstreams.lock();
        let health = &mut upstreams.row(&self.upstream.id).health;
        health.record_failure(self.started, now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut upstreams = self.shared.upstreams.lock();
        let row = upstreams.row(&self.upstream.id);
        row.in_flight.decrement(now);
        if !self.is_recorded {
            if !self.has_latency {
                row.health.record_wait(now.saturating_sub(self.started));
            }
            row.health.record_cancelled(self.started);
        }
    }
}
