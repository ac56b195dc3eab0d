//! Decides when the rollout of a service's new release advances and when it is rolled back.
//!
//! Handles a new release that fails a share of its requests or is many times slower: from the
//! start, on one route only, only under load, or only some time after its start.
//!
//! The new release gets a small share of the traffic in the trial stage, a larger one in the ramp
//! stage, and then all of it. Each stage lasts a fixed part of the rollout's period. The new
//! release is compared route by route with the stable release over the same time, so a problem of
//! both causes no rollback.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::HashMap;
use crate::collections::Name;
use crate::state::ServiceRollout;
use crate::state::Stage;

/// Share of the traffic in the trial stage. A release that is bad from the start then costs less
/// than half of a 15 % exposure allowance before there is enough evidence to roll it back.
pub const TRIAL_SHARE: f64 = 0.07;

/// Share of the traffic in the ramp stage. Both stages together cost half of a 15 % exposure
/// allowance, so that a fault which shows only with all traffic leaves time to roll back.
const RAMP_SHARE: f64 = 0.1;

/// End of the trial stage, as a part of the period: sessions keep their release during the first
/// half of a rollout.
const TRIAL_END: f64 = 0.52;

/// End of the ramp stage, as a part of the period.
const RAMP_END: f64 = 0.78;

/// End of the stage in which the new release gets all traffic, as a part of the period. Only then
/// is the old release dropped, because its last requests need time to finish.
const WHOLE_END: f64 = 0.86;

/// Largest part of a stage that a new leader counts as elapsed by the wall clock alone.
const TRUSTED_PART: f64 = 0.8;

/// Timed responses of one route on a release below which its latency is not judged.
const MIN_REQUESTS: u64 = 6;

/// Failed requests of one route on the new release below which its failure rate is not judged.
const MIN_FAILURES: u64 = 4;

/// Excess of the new release's failure rate over the stable release's that causes a rollback.
const FAILURE_RATE_EXCESS: f64 = 0.12;

/// Factor between the mean latencies of the new and the stable release above which the new one is
/// rolled back.
const SLOW_FACTOR: f64 = 3.0;

/// Difference of the mean latencies up to which slowness is harmless, in seconds.
const MIN_SLOWDOWN_S: f64 = 0.1;

/// Results of one release on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteStats {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed by the upstream's fault.
    pub failed: u64,
    /// Responses that `latency_sum_s` includes.
    pub timed: u64,
    /// Sum of the times to the response head, in seconds.
    pub latency_sum_s: f64,
}

impl RouteStats {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.timed += other.timed;
        self.latency_sum_s += other.latency_sum_s;
    }

    /// Returns the text for log lines. Its field names are fixed: operators' tools match them.
    pub(crate) fn log_text(&self) -> String {
        format!(
            "Seen {{ requests: {}, bad: {}, timed: {}, first_s: {:?} }}",
            self.requests, self.failed, self.timed, self.latency_sum_s
        )
    }

    fn failure_rate(&self) -> f64 {
        self.failed as f64 / self.requests.max(1) as f64
    }

    fn mean_latency_s(&self) -> Option<f64> {
        (self.timed > 0).then(|| self.latency_sum_s / self.timed as f64)
    }
}

/// Results of the new and the stable release during one rollout, by route.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    routes: HashMap<Name, (RouteStats, RouteStats)>,
}

/// What happens to the rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It stays in its stage.
    Wait,
    /// It enters that stage.
    Advance(Stage),
    /// The new release is rolled back.
    RollBack {
        /// Route on which it failed or was slow.
        route: Name,
        /// Results of the new release there.
        new: RouteStats,
        /// Results of the stable release there.
        old: RouteStats,
    },
}

impl Evidence {
    /// Adds results of the new release or the stable one.
    pub fn record(&mut self, route: &Name, is_new: bool, stats: &RouteStats) {
        let (new, old) = self.routes.entry(route.clone()).or_default();
        if is_new { new } else { old }.add(stats);
    }

    /// Iterates over the routes with the results of the new and of the stable release.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, &RouteStats, &RouteStats)> + '_ {
        self.routes
            .iter()
            .map(|(route, (new, old))| (route, new, old))
    }

    /// Returns a route on which the new release is clearly worse, with the results of both.
    fn regression(&self) -> Option<(&Name, &RouteStats, &RouteStats)> {
        self.routes.iter().find_map(|(route, (new, old))| {
            let is_failing = new.failed >= MIN_FAILURES
                && new.failure_rate() > old.failure_rate() + FAILURE_RATE_EXCESS;
            let is_slow = match (new.mean_latency_s(), old.mean_latency_s()) {
                (Some(new_s), Some(old_s)) => {
                    new.timed >= MIN_REQUESTS
                        && old.timed >= MIN_REQUESTS
                        && new_s > SLOW_FACTOR * old_s
                        && new_s > old_s + MIN_SLOWDOWN_S
                }
                _ => false,
            };
            (is_failing || is_slow).then_some((route, new, old))
        })
    }
}

/// Returns the new release's share of the traffic.
pub fn traffic_share(rollout: &ServiceRollout) -> f64 {
    match rollout.stage {
        Stage::Trial => TRIAL_SHARE,
        Stage::Ramp => RAMP_SHARE,
        Stage::Whole | Stage::Complete => 1.0,
        Stage::RolledBack => 0.0,
    }
}

/// Returns how long the current stage has lasted by the wall clock of a new leader.
///
/// The stage began by the previous leader's clock. The clocks may differ or may have been set, so
/// only a trusted part of the stage's length counts.
pub fn elapsed_in_stage(rollout: &ServiceRollout, wall_ms: u64) -> Duration {
    let elapsed = Duration::from_millis(wall_ms.saturating_sub(rollout.since_ms));
    let period = Duration::from_millis(rollout.period_ms);
    elapsed.min(period.mul_f64(stage_length(rollout.stage) * TRUSTED_PART))
}

/// Returns the length of a stage as a part of the period.
fn stage_length(stage: Stage) -> f64 {
    match stage {
        Stage::Trial => TRIAL_END,
        Stage::Ramp => RAMP_END - TRIAL_END,
        Stage::Whole => WHOLE_END - RAMP_END,
        Stage::Complete | Stage::RolledBack => 0.0,
    }
}

/// Evaluates a rollout whose current stage began `in_stage` ago. `is_ready` is whether enough
/// upstreams of the new release are available for the next stage.
pub fn evaluate(
    rollout: &ServiceRollout,
    evidence: &Evidence,
    in_stage: Duration,
    is_ready: bool,
) -> Verdict {
    if let Some((route, &new, &old)) = evidence.regression() {
        let route = route.clone();
        return Verdict::RollBack { route, new, old };
    }
    let period = Duration::from_millis(rollout.period_ms);
    let next = match rollout.stage {
        Stage::Trial => Stage::Ramp,
        Stage::Ramp => Stage::Whole,
        Stage::Whole => Stage::Complete,
        Stage::Complete | Stage::RolledBack => return Verdict::Wait,
    };
    if is_ready && in_stage >= period.mul_f64(stage_length(rollout.stage)) {
        return Verdict::Advance(next);
    }
    Verdict::Wait
}
