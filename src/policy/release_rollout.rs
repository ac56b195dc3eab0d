//! Decides when the rollout of a service's new release advances and when it is rolled back.
//!
//! Handles a new release that fails a share of its requests or is many times slower: from the
//! start, on one route only, only under load, or only some time after its start.
//!
//! The new release gets a small share of the traffic in the trial stage, a larger one in the ramp
//! stage, and then all of it. Each stage lasts a fixed part of the rollout's period. The new
//! release is compared route by route with the stable release over the same time, so a problem of
//! both causes no rollback. A disruption of some upstreams is no problem of a release: the stable
//! release is judged by what is usual for its upstreams, and one upstream of the new release alone
//! causes no rollback for failures.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::collections::Name;
use crate::state::ServiceRollout;
use crate::state::Stage;

/// Share of the traffic in the trial stage. A release that is bad from the start then costs less
/// than half of a 15 % exposure allowance before there is enough evidence to roll it back.
pub const TRIAL_SHARE: f64 = 0.07;

/// Share of the traffic in the ramp stage. Both stages together cost half of a 15 % exposure
/// allowance; the rest is for the stage with all traffic.
const RAMP_SHARE: f64 = 0.1;

/// End of the trial stage, as a part of the period: sessions keep their release during the first
/// half of a rollout.
const TRIAL_END: f64 = 0.52;

/// End of the ramp stage, as a part of the period.
const RAMP_END: f64 = 0.91;

/// End of the stage in which the new release gets all traffic, as a part of the period. Only then
/// is the old release dropped, because its last requests need time to finish. A fault that shows
/// only with all traffic may show in a few responses, so this stage is short.
const WHOLE_END: f64 = 0.95;

/// Longest delay of a stage that the next one makes up for.
const MAX_CATCH_UP: Duration = Duration::from_millis(600);

/// Largest part of a stage that a new leader counts as elapsed by the wall clock alone.
const TRUSTED_PART: f64 = 0.8;

/// Timed responses of one route on a release below which its latency is not judged.
const MIN_REQUESTS: u64 = 6;

/// Failed requests on the new release, beyond those that the stable one would have, below which its
/// failure rate is not judged.
const MIN_EXCESS_FAILURES: f64 = 3.5;

/// Requests of one route on the stable release from which it is compared over all routes.
const MIN_COMPARED_REQUESTS: u64 = 2;

/// Upstreams of the new release on which requests of one route must have failed, unless only one
/// served any.
const MIN_FAILING_UPSTREAMS: usize = 2;

/// Excess of the new release's failure rate over the stable release's that causes a rollback.
const FAILURE_RATE_EXCESS: f64 = 0.12;

/// Factor between the mean latencies of the new and the stable release above which the new one is
/// rolled back.
const SLOW_FACTOR: f64 = 3.0;

/// The same factor for the mean over all routes. Many more responses take part, so it can be lower;
/// an empty KV cache makes a good release slower by less.
const OVERALL_SLOW_FACTOR: f64 = 1.8;

/// Timed responses of the new release over all routes below which that mean is not judged.
const OVERALL_MIN_REQUESTS: u64 = 24;

/// Timed responses of each release over all routes below which the logarithms of the latencies are
/// not compared.
const LOG_MIN_REQUESTS: u64 = 24;

/// Factor between the geometric means of the latencies above which a release is rolled back, if it
/// is significant. It shows a release that is slow in part of its responses only, which a mean with
/// a few very long prompts in it hides.
const GEOMETRIC_SLOW_FACTOR: f64 = 1.3;

/// Standard errors by which the logarithms must differ.
const SIGNIFICANT_ERRORS: f64 = 4.0;

/// Difference of the mean latencies up to which slowness is harmless, in seconds.
const MIN_SLOWDOWN_S: f64 = 0.1;

/// Shorter latencies count as this one in the logarithms, in seconds.
const MIN_LATENCY_S: f64 = 0.001;

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
    /// Sum of the natural logarithms of these times in seconds.
    pub log_sum: f64,
    /// Sum of the squares of these logarithms.
    pub log_square_sum: f64,
}

impl RouteStats {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.timed += other.timed;
        self.latency_sum_s += other.latency_sum_s;
        self.log_sum += other.log_sum;
        self.log_square_sum += other.log_square_sum;
    }

    /// Counts the time to the head of a successful response.
    pub fn record_latency(&mut self, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        let log = latency_s.max(MIN_LATENCY_S).ln();
        self.timed += 1;
        self.latency_sum_s += latency_s;
        self.log_sum += log;
        self.log_square_sum += log * log;
    }

    /// Returns the mean of the logarithms and the square of its standard error.
    fn log_mean(&self) -> Option<(f64, f64)> {
        if self.timed < 2 {
            return None;
        }
        let n = self.timed as f64;
        let mean = self.log_sum / n;
        let variance = (self.log_square_sum / n - mean * mean).max(0.0) * n / (n - 1.0);
        Some((mean, variance / n))
    }

    /// Returns the text for log lines. Its field names are fixed: operators' tools match them.
    pub(crate) fn log_text(&self) -> String {
        format!(
            "Seen {{ requests: {}, bad: {}, timed: {}, first_s: {:?} }}",
            self.requests, self.failed, self.timed, self.latency_sum_s
        )
    }

    fn mean_latency_s(&self) -> Option<f64> {
        (self.timed > 0).then(|| self.latency_sum_s / self.timed as f64)
    }
}

/// Results of one release on one route.
#[derive(Clone, Debug, Default)]
struct ReleaseResults {
    total: RouteStats,
    /// Requests and failures by the number of the upstream.
    by_upstream: HashMap<Index, (u64, u64)>,
}

impl ReleaseResults {
    fn add(&mut self, upstream: Index, stats: &RouteStats) {
        self.total.add(stats);
        let (requests, failed) = self.by_upstream.entry(upstream).or_default();
        *requests += stats.requests;
        *failed += stats.failed;
    }

    /// Returns the failure rate that a third of the upstreams do not exceed. A disruption of some
    /// upstreams hardly changes it, even if they fail fast and so get most of the requests.
    fn typical_failure_rate(&self) -> f64 {
        let mut rates: Vec<f64> = self
            .by_upstream
            .values()
            .filter(|(requests, _)| *requests > 0)
            .map(|&(requests, failed)| failed as f64 / requests as f64)
            .collect();
        rates.sort_unstable_by(f64::total_cmp);
        rates.get(rates.len() / 3).copied().unwrap_or_default()
    }

    /// Returns whether failures are not those of a single upstream among several.
    fn has_spread_failures(&self) -> bool {
        let failing = self.by_upstream.values().filter(|(_, failed)| *failed > 0);
        failing.count() >= MIN_FAILING_UPSTREAMS.min(self.by_upstream.len())
    }
}

/// Results of the new and the stable release during one rollout, by route.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    routes: HashMap<Name, (ReleaseResults, ReleaseResults)>,
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
    /// Adds results of an upstream of the new release or the stable one.
    pub fn record(&mut self, route: &Name, is_new: bool, upstream: Index, stats: &RouteStats) {
        let (new, old) = self.routes.entry(route.clone()).or_default();
        if is_new { new } else { old }.add(upstream, stats);
    }

    /// Iterates over the routes with the results of the new and of the stable release.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, &RouteStats, &RouteStats)> + '_ {
        self.routes
            .iter()
            .map(|(route, (new, old))| (route, &new.total, &old.total))
    }

    /// Returns a route on which the new release is clearly worse, with the results of both.
    fn regression(&self, stage: Stage) -> Option<(&Name, &RouteStats, &RouteStats)> {
        // Without requests to the stable release, a change of the load would look like one of the
        // release.
        let is_compared = matches!(stage, Stage::Trial | Stage::Ramp);
        if is_compared && (self.overall_slowdown() > OVERALL_SLOW_FACTOR || self.is_slow_in_part())
        {
            return self.slowest_route();
        }
        if is_compared && self.is_failing_overall() {
            return self.most_failing_route();
        }
        self.routes.iter().find_map(|(route, (new, old))| {
            let expected = new.total.requests as f64 * old.typical_failure_rate();
            let is_failing = new.has_spread_failures()
                && has_excess_failures(new.total.failed, expected, new.total.requests);
            let (new, old) = (&new.total, &old.total);
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

impl Evidence {
    /// Iterates over the routes that are served often enough by the stable release, with the factor
    /// between the mean latencies of the releases.
    fn slowdowns(&self) -> impl Iterator<Item = (&Name, &RouteStats, &RouteStats, f64)> + '_ {
        self.iter().filter_map(|(route, new, old)| {
            let slowdown = new.mean_latency_s()? / old.mean_latency_s()?;
            (old.timed >= MIN_REQUESTS).then_some((route, new, old, slowdown))
        })
    }

    /// Returns the mean of the routes' slowdowns, weighted by the new release's responses; 1 if
    /// there are too few.
    fn overall_slowdown(&self) -> f64 {
        let (mut responses, mut sum) = (0, 0.0);
        for (_, new, _, slowdown) in self.slowdowns() {
            responses += new.timed;
            sum += slowdown * new.timed as f64;
        }
        if responses < OVERALL_MIN_REQUESTS {
            return 1.0;
        }
        sum / responses as f64
    }

    /// Returns whether the new release fails more often over all routes than the stable one would
    /// on the same routes. Few requests of each of many routes show it where no route alone does.
    fn is_failing_overall(&self) -> bool {
        let (mut requests, mut failed, mut expected) = (0, 0, 0.0);
        let mut failing = HashSet::default();
        for (new, old) in self.routes.values() {
            // Without requests to the stable release, the failures may be the route's.
            if old.total.requests < MIN_COMPARED_REQUESTS {
                continue;
            }
            requests += new.total.requests;
            failed += new.total.failed;
            expected += new.total.requests as f64 * old.typical_failure_rate();
            let upstreams = new.by_upstream.iter();
            failing.extend(upstreams.filter(|(_, (_, n))| *n > 0).map(|(&u, _)| u));
        }
        failing.len() >= MIN_FAILING_UPSTREAMS && has_excess_failures(failed, expected, requests)
    }

    fn most_failing_route(&self) -> Option<(&Name, &RouteStats, &RouteStats)> {
        self.iter().max_by_key(|(_, new, _)| new.failed)
    }

    /// Returns whether the logarithms of the latencies, compared route by route, are significantly
    /// higher on the new release.
    fn is_slow_in_part(&self) -> bool {
        let (mut responses, mut sum, mut square_error) = (0, 0.0, 0.0);
        for (_, new, old) in self.iter() {
            let (Some((new_mean, new_error)), Some((old_mean, old_error))) =
                (new.log_mean(), old.log_mean())
            else {
                continue;
            };
            let weight = new.timed as f64;
            responses += new.timed;
            sum += weight * (new_mean - old_mean);
            square_error += weight * weight * (new_error + old_error);
        }
        if responses < LOG_MIN_REQUESTS {
            return false;
        }
        let weight = responses as f64;
        let difference = sum / weight;
        difference > GEOMETRIC_SLOW_FACTOR.ln()
            && difference > SIGNIFICANT_ERRORS * square_error.sqrt() / weight
    }

    fn slowest_route(&self) -> Option<(&Name, &RouteStats, &RouteStats)> {
        self.slowdowns()
            .max_by(|a, b| a.3.total_cmp(&b.3))
            .map(|(route, new, old, _)| (route, new, old))
    }
}

/// Returns whether clearly more requests failed than expected.
fn has_excess_failures(failed: u64, expected: f64, requests: u64) -> bool {
    let excess = failed as f64 - expected;
    excess >= MIN_EXCESS_FAILURES && excess > FAILURE_RATE_EXCESS * requests as f64
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

/// Returns when a stage begins that follows one which began at `since`, seen at `now`. The rounds
/// of the evaluation delay each stage a little; counted from its due time, the delays don't add up.
pub fn next_stage_since(
    previous: Stage,
    since: Duration,
    period: Duration,
    now: Duration,
) -> Duration {
    let due = since + period.mul_f64(stage_length(previous));
    due.clamp(now.saturating_sub(MAX_CATCH_UP), now)
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
    if let Some((route, &new, &old)) = evidence.regression(rollout.stage) {
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
