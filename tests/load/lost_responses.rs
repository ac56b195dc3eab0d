//! A rollout while some gateways are partitioned from upstreams.

use std::time::Duration;

use daisyquay::policy::lost_responses::LostResponses;
use daisyquay::policy::lost_responses::Reached;
use daisyquay::policy::release_rollout::Evidence;
use daisyquay::policy::release_rollout::RouteStats;
use daisyquay::policy::release_rollout::Verdict;
use daisyquay::policy::release_rollout::evaluate;
use daisyquay::state::ServiceRollout;
use daisyquay::state::Stage;

const GATEWAYS: u64 = 9;
const UPSTREAMS: u64 = 18;
const STEP: Duration = Duration::from_millis(100);

/// How the requests of a partitioned gateway end.
#[derive(Clone, Copy)]
enum Cut {
    /// Nothing answers.
    Silent,
    /// Connections are reset, and new ones are refused.
    Refused,
}

/// Plays 12 s of the trial stage. The first `partitioned` gateways are cut off from every upstream of
/// the new release, and from the stable ones too if `is_whole`. The new release fails `failure_rate`
/// of its requests without a response.
fn verdict(seed: u64, partitioned: u64, cut: Cut, is_whole: bool, failure_rate: f64) -> Verdict {
    let rollout = ServiceRollout {
        target: "v2".into(),
        period_ms: 24_000,
        stage: Stage::Trial,
        since_ms: 0,
    };
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut evidence = Evidence::default();
    let mut lost: Vec<LostResponses<(bool, u64)>> = Vec::new();
    lost.resize_with(GATEWAYS as usize, LostResponses::default);
    let record = |evidence: &mut Evidence, is_new: bool, upstream: u64, is_failure: bool| {
        let stats = RouteStats {
            requests: 1,
            failed: u64::from(is_failure),
            ..RouteStats::default()
        };
        evidence.record(&"a".into(), is_new, upstream, &stats);
    };
    let mut now = Duration::from_secs(60);
    for _ in 0..120 {
        now += STEP;
        for gateway in 0..GATEWAYS {
            let is_new = rng.f64() < 0.2;
            let upstream = rng.u64(..UPSTREAMS) + if is_new { UPSTREAMS } else { 0 };
            let is_cut = gateway < partitioned && (is_new || is_whole);
            let is_lost = is_cut || is_new && rng.f64() < failure_rate;
            if !is_lost {
                record(&mut evidence, is_new, upstream, false);
                continue;
            }
            let reached = match cut {
                _ if !is_cut => Reached::Accepted,
                Cut::Silent => Reached::Silent,
                Cut::Refused => Reached::Refused,
            };
            let lost = &mut lost[gateway as usize];
            if let Some((is_new, upstream)) =
                lost.record((is_new, upstream), upstream, reached, now)
            {
                record(&mut evidence, is_new, upstream, true);
            }
        }
        for lost in &mut lost {
            // The other gateways have responses of all upstreams.
            for (is_new, upstream) in lost.take_due(now, |_, _| true) {
                record(&mut evidence, is_new, upstream, true);
            }
        }
        let verdict = evaluate(&rollout, &evidence, Duration::ZERO, true);
        if verdict != Verdict::Wait {
            return verdict;
        }
    }
    Verdict::Wait
}

/// Guards against the rollback of a good release because gateways are cut off from its upstreams.
#[test]
fn partition_of_gateways_does_not_roll_back_a_good_release() {
    for seed in 0..5 {
        for partitioned in [1, 3, 6] {
            for cut in [Cut::Silent, Cut::Refused] {
                for is_whole in [false, true] {
                    let verdict = verdict(seed, partitioned, cut, is_whole, 0.0);
                    assert_eq!(verdict, Verdict::Wait, "seed {seed}, {partitioned} cut off");
                }
            }
        }
    }
}

/// Guards against a bad release being kept because the partition makes as many requests to the
/// stable one fail.
#[test]
fn partition_of_gateways_does_not_hide_a_bad_release() {
    for seed in 0..5 {
        for cut in [Cut::Silent, Cut::Refused] {
            let verdict = verdict(seed, 6, cut, true, 0.5);
            assert!(
                matches!(verdict, Verdict::RollBack { .. }),
                "seed {seed}: {verdict:?}"
            );
        }
    }
}

/// Guards against a release being kept whose upstreams crash under its requests.
#[test]
fn refused_connections_count_unless_the_upstream_responds_to_another_gateway() {
    let start = Duration::from_secs(60);
    let mut lost = LostResponses::default();
    assert_eq!(lost.record("a", 7, Reached::Refused, start), None);
    assert_eq!(lost.record("b", 8, Reached::Refused, start), None);
    assert!(lost.take_due(start + STEP, |_, _| false).is_empty());
    let later = start + Duration::from_secs(2);
    let due = lost.take_due(later, |upstream, at| (upstream, at) == (7, start));
    assert_eq!(due, ["b"]);
    assert!(lost.take_due(later, |_, _| false).is_empty());
}
