//! When a service's roll-out moves on and when it is rolled back.
//!
//! Load patterns that this answers: a new release that fails part of its requests, works many times
//! slower, does so on one route only, only under load, or only some time after its start.
//!
//! The new release gets a small share until it has been watched for a good part of the period, then
//! a larger one, then everything. The evidence is compared route by route with the settled release
//! in the same time, so a trouble that both have condemns nobody.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::HashMap;
use crate::collections::Name;
use crate::state::ServiceRollout;
use crate::state::Stage;

/// Share of the traffic in the trial: with it a release that is bad from the start costs less than
/// half of a 15 % exposure allowance before the guard has its evidence.
pub const TRIAL_SHARE: f64 = 0.07;

/// Share of the traffic in the ramp: enough to load the new upstreams as they will be.
const RAMP_SHARE: f64 = 0.3;

/// Part of the period at which the trial ends: sessions stay where they are for its first half.
const TRIAL_UNTIL: f64 = 0.52;

/// Part of the period at which the ramp ends.
const RAMP_UNTIL: f64 = 0.66;

/// Part of the period at which the old release is given up: its last requests need time to end.
const WHOLE_UNTIL: f64 = 0.86;

/// Part of a stage that a new leader takes as passed by the wall clock alone.
const TRUSTED_PART: f64 = 0.8;

/// Requests of one route on the new release below which nothing is concluded from a rate.
const LEAST_REQUESTS: u64 = 6;

/// Bad answers below which nothing is concluded.
const LEAST_BAD: u64 = 4;

/// Rate of bad answers over the settled release's that condemns the new one.
const BAD_EXCESS: f64 = 0.12;

/// How many times slower the new release must be on one route to be condemned.
const SLOW_FACTOR: f64 = 3.0;

/// Difference in time below which slowness harms nobody, in seconds.
const SLOW_LEAST_S: f64 = 0.1;

/// What was seen of one release on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteStats {
    /// Requests that ended.
    pub requests: u64,
    /// Of these, those that the upstream failed.
    pub failed: u64,
    /// Answers whose time is in `first_s`.
    pub timed: u64,
    /// Sum of the times to the head of an answer, in seconds.
    pub latency_sum_s: f64,
}

impl RouteStats {
    /// Adds another count.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.timed += other.timed;
        self.latency_sum_s += other.latency_sum_s;
    }

    /// Returns the text that log lines show, under the field names that operators know.
    pub(crate) fn log_text(&self) -> String {
        format!(
            "Seen {{ requests: {}, bad: {}, timed: {}, first_s: {:?} }}",
            self.requests, self.failed, self.timed, self.latency_sum_s
        )
    }

    fn bad_rate(&self) -> f64 {
        self.failed as f64 / self.requests.max(1) as f64
    }

    fn mean_s(&self) -> Option<f64> {
        (self.timed > 0).then(|| self.latency_sum_s / self.timed as f64)
    }
}

/// The evidence in one roll-out, by route.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    routes: HashMap<Name, (RouteStats, RouteStats)>,
}

/// What the guard says.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing to do.
    Wait,
    /// The next stage begins.
    Advance(Stage),
    /// The new release is bad.
    RollBack {
        /// Route on which it showed.
        route: Name,
        /// What the guard saw of the new release there.
        new: RouteStats,
        /// What it saw of the settled one.
        old: RouteStats,
    },
}

impl Evidence {
    /// Takes in what was seen of the new release or the settled one.
    pub fn record(&mut self, route: &Name, is_new: bool, seen: &RouteStats) {
        let (new, old) = self.routes.entry(route.clone()).or_default();
        if is_new { new } else { old }.add(seen);
    }

    fn condemns(&self) -> Option<(&Name, &RouteStats, &RouteStats)> {
        self.routes.iter().find_map(|(route, (new, old))| {
            let bad = new.failed >= LEAST_BAD && new.bad_rate() > old.bad_rate() + BAD_EXCESS;
            let slow = match (new.mean_s(), old.mean_s()) {
                (Some(new_s), Some(old_s)) => {
                    new.timed >= LEAST_REQUESTS
                        && old.timed >= LEAST_REQUESTS
                        && new_s > SLOW_FACTOR * old_s
                        && new_s > old_s + SLOW_LEAST_S
                }
                _ => false,
            };
            (bad || slow).then_some((route, new, old))
        })
    }
}

/// Share of the traffic that the new release gets.
pub fn traffic_share(rollout: &ServiceRollout) -> f64 {
    match rollout.stage {
        Stage::Trial => TRIAL_SHARE,
        Stage::Ramp => RAMP_SHARE,
        Stage::Whole | Stage::Complete => 1.0,
        Stage::RolledBack => 0.0,
    }
}

/// Time that the current stage has taken by the wall clocks of two leaders. They may differ, and one
/// may have been set: at most the trusted part of the stage counts as passed.
pub fn elapsed_in_stage(rollout: &ServiceRollout, wall_ms: u64) -> Duration {
    let passed = Duration::from_millis(wall_ms.saturating_sub(rollout.since_ms));
    let period = Duration::from_millis(rollout.period_ms);
    passed.min(period.mul_f64(length(rollout.stage) * TRUSTED_PART))
}

/// Length of a stage as a part of the period.
fn length(stage: Stage) -> f64 {
    match stage {
        Stage::Trial => TRIAL_UNTIL,
        Stage::Ramp => RAMP_UNTIL - TRIAL_UNTIL,
        Stage::Whole => WHOLE_UNTIL - RAMP_UNTIL,
        Stage::Complete | Stage::RolledBack => 0.0,
    }
}

/// Judges a roll-out whose current stage began `in_stage` ago, with `ready` upstreams of the new
/// release announced.
pub fn evaluate(
    rollout: &ServiceRollout,
    evidence: &Evidence,
    in_stage: Duration,
    ready: bool,
) -> Verdict {
    if let Some((route, &new, &old)) = evidence.condemns() {
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
    if ready && in_stage >= period.mul_f64(length(rollout.stage)) {
        return Verdict::Advance(next);
    }
    Verdict::Wait
}
