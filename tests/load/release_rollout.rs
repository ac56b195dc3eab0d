//! Pattern: a new release that is bad at once, on one route, by slowness, only later, or not at all.

use std::time::Duration;

use daisyquay::policy::release_rollout::Evidence;
use daisyquay::policy::release_rollout::RouteStats;
use daisyquay::policy::release_rollout::Verdict;
use daisyquay::policy::release_rollout::elapsed_in_stage;
use daisyquay::policy::release_rollout::evaluate;
use daisyquay::policy::release_rollout::traffic_share;
use daisyquay::state::ServiceRollout;
use daisyquay::state::Stage;

const PERIOD_MS: u64 = 24_000;
const STEP: Duration = Duration::from_millis(200);

/// Requests of one route in each step.
const REQUESTS: f64 = 4.0;

fn rollout() -> ServiceRollout {
    ServiceRollout {
        target: "v2".into(),
        period_ms: PERIOD_MS,
        stage: Stage::Trial,
        since_ms: 0,
    }
}

/// How a release behaves on a route at a time: its share of bad answers and its mean time.
type Behaviour = dyn Fn(usize, Duration) -> (f64, f64);

struct Outcome {
    stage: Stage,
    at: Duration,
    /// Requests on the new release, and on the service, up to the end.
    exposed: f64,
    total: f64,
}

fn play(new: &Behaviour) -> Outcome {
    let mut rollout = rollout();
    let mut evidence = Evidence::default();
    let mut since = Duration::ZERO;
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut exposed, mut total) = (0.0, 0.0);
    let mut now = Duration::ZERO;
    while now < Duration::from_millis(PERIOD_MS) {
        for (route, name) in ["a", "b", "c"].into_iter().enumerate() {
            for is_new in [true, false] {
                let part = traffic_share(&rollout);
                let part = if is_new { part } else { 1.0 - part };
                let mean = REQUESTS * part;
                let n = mean.floor() as u64 + u64::from(rng.f64() < mean.fract());
                let (bad, mean_s) = if is_new { new(route, now) } else { (0.01, 0.1) };
                let bad = (0..n).filter(|_| rng.f64() < bad).count() as u64;
                let seen = RouteStats {
                    requests: n,
                    failed: bad,
                    timed: n - bad,
                    latency_sum_s: mean_s * (n - bad) as f64,
                };
                evidence.record(&name.into(), is_new, &seen);
                total += n as f64;
                exposed += if is_new { n as f64 } else { 0.0 };
            }
        }
        now += STEP;
        match evaluate(&rollout, &evidence, now - since, true) {
            Verdict::Wait => continue,
            Verdict::Advance(stage) => rollout.stage = stage,
            Verdict::RollBack { .. } => rollout.stage = Stage::RolledBack,
        }
        since = now;
        if rollout.stage >= Stage::Complete {
            break;
        }
    }
    Outcome {
        stage: rollout.stage,
        at: now,
        exposed,
        total,
    }
}

fn assert_caught(new: &Behaviour) {
    let outcome = play(new);
    assert_eq!(outcome.stage, Stage::RolledBack);
    let of_period = outcome.total * PERIOD_MS as f64 / outcome.at.as_millis() as f64;
    let allowed = 0.0975 * of_period + 30.0;
    assert!(
        outcome.exposed < allowed,
        "{} of {allowed}",
        outcome.exposed
    );
}

#[test]
fn a_good_release_is_complete_in_time() {
    let outcome = play(&|_, _| (0.01, 0.1));
    assert_eq!(outcome.stage, Stage::Complete);
    assert!(outcome.at < Duration::from_millis(PERIOD_MS * 9 / 10));
}

#[test]
fn a_release_that_fails_at_once_is_rolled_back() {
    assert_caught(&|_, _| (0.5, 0.1));
}

#[test]
fn a_release_that_fails_on_one_route_is_rolled_back() {
    assert_caught(&|route, _| (if route == 2 { 0.5 } else { 0.01 }, 0.1));
}

#[test]
fn a_slow_release_is_rolled_back() {
    assert_caught(&|_, _| (0.01, 0.8));
}

#[test]
fn a_release_that_turns_bad_after_a_while_is_rolled_back() {
    for after_s in [3, 6, 10] {
        assert_caught(&move |_, now| {
            (
                if now > Duration::from_secs(after_s) {
                    0.5
                } else {
                    0.01
                },
                0.1,
            )
        });
    }
}

#[test]
fn a_trouble_that_both_releases_have_condemns_nobody() {
    let mut evidence = Evidence::default();
    let seen = RouteStats {
        requests: 100,
        failed: 40,
        timed: 60,
        latency_sum_s: 6.0,
    };
    evidence.record(&"a".into(), true, &seen);
    evidence.record(&"a".into(), false, &seen);
    let verdict = evaluate(&rollout(), &evidence, Duration::ZERO, true);
    assert_eq!(verdict, Verdict::Wait);
}

#[test]
fn a_new_leader_trusts_the_wall_clock_only_so_far() {
    let rollout = rollout();
    assert_eq!(elapsed_in_stage(&rollout, 5_000), Duration::from_secs(5));
    let stepped = elapsed_in_stage(&rollout, 3_600_000);
    let trial = Duration::from_millis(PERIOD_MS).mul_f64(0.52);
    assert!(stepped < trial, "{stepped:?}");
    let verdict = evaluate(&rollout, &Evidence::default(), stepped, true);
    assert_eq!(verdict, Verdict::Wait);
}
