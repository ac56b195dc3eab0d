//! Gateways that return after the leader has forgotten them, while all VMs of their settings are down.

use std::net::SocketAddr;
use std::time::Duration;

use daisyquay::policy::absent_gateways::ABSENT_TTL;
use daisyquay::policy::absent_gateways::AbsentGateways;
use daisyquay::policy::absent_gateways::MAX_ABSENT;
use daisyquay::policy::absent_gateways::MAX_RECIPIENTS;
use daisyquay::policy::absent_gateways::ROUND_INTERVAL;

/// The platform's limit for the recovery.
const RECOVERY: Duration = Duration::from_secs(15);

/// Calls on new connections per second that a small VM may get for the exchange of the replicas.
const MAX_CALLS_PER_S: usize = 60;

/// Sizes of a fleet: listed gateways, of which some have restarted and remember nothing, and absent ones.
const FLEETS: [(usize, usize, usize); 6] = [
    (1, 0, 1),
    (4, 0, 4),
    (4, 2, 1),
    (200, 0, 1),
    (100, 0, 100),
    (200, 100, 60),
];

const SEEDS: std::ops::Range<u64> = 0..20;

fn address(i: usize) -> SocketAddr {
    let [high, low] = u16::try_from(i).unwrap().to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7343))
}

/// Reports of the gateways of a fleet to the absent ones.
struct Reports {
    /// Number to each absent gateway, by round.
    counts: Vec<Vec<usize>>,
    /// Most that one gateway sent in a round.
    most_by_one: usize,
}

/// Plays the rounds of [`RECOVERY`], during which all absent gateways are back.
fn play((listed, restarted, absent): (usize, usize, usize), seed: u64) -> Reports {
    let mut rng = fastrand::Rng::with_seed(seed);
    let former: Vec<SocketAddr> = (0..listed + absent).map(address).collect();
    let current = &former[..listed];
    let mut gateways = vec![AbsentGateways::default(); listed];
    for gateway in &mut gateways[restarted..] {
        gateway.record_list(&former, current, Duration::ZERO);
    }
    let rounds = RECOVERY.as_millis() / (ROUND_INTERVAL.as_millis() * 5 / 4);
    let mut reports = Reports {
        counts: Vec::new(),
        most_by_one: 0,
    };
    for round in 0..u32::try_from(rounds).unwrap() {
        let mut counts = vec![0; absent];
        for gateway in &mut gateways {
            let chosen = gateway.draw_recipients(listed, ROUND_INTERVAL * round, &mut rng);
            reports.most_by_one = reports.most_by_one.max(chosen.len());
            for (i, address) in former[listed..].iter().enumerate() {
                counts[i] += usize::from(chosen.contains(address));
            }
        }
        reports.counts.push(counts);
    }
    reports
}

/// Guards against a VM that gets no report of the replicas once the leader has forgotten its former run.
#[test]
fn absent_gateway_gets_a_report_within_the_recovery_time() {
    for fleet in FLEETS {
        for seed in SEEDS {
            let reports = play(fleet, seed);
            for i in 0..fleet.2 {
                let is_reached = reports.counts.iter().any(|counts| counts[i] > 0);
                assert!(is_reached, "{fleet:?}, seed {seed}: no report to {i}");
            }
        }
    }
}

#[test]
fn reports_to_absent_gateways_are_few_at_both_sides() {
    for fleet in FLEETS {
        for seed in SEEDS {
            let reports = play(fleet, seed);
            let most = reports.counts.iter().flatten().max().unwrap();
            let limit = MAX_CALLS_PER_S * ROUND_INTERVAL.as_secs() as usize;
            assert!(*most <= limit, "{fleet:?}: {most} reports in a round");
            assert!(reports.most_by_one <= MAX_RECIPIENTS);
        }
    }
}

#[test]
fn gateway_that_is_listed_again_or_was_away_for_long_gets_no_report() {
    let mut rng = fastrand::Rng::with_seed(1);
    let all: Vec<SocketAddr> = (0..3).map(address).collect();
    let mut absent = AbsentGateways::default();
    let unlisted = absent.record_list(&all, &all[..1], Duration::ZERO);
    assert_eq!(unlisted, all[1..]);
    assert_eq!(absent.count(), 2);
    absent.record_list(&all[..1], &all[..2], Duration::from_secs(5));
    assert_eq!(
        absent.draw_recipients(1, Duration::from_secs(5), &mut rng),
        all[2..]
    );
    assert!(absent.draw_recipients(1, ABSENT_TTL, &mut rng).is_empty());
    assert_eq!(absent.count(), 0);
}

#[test]
fn gateways_absent_for_the_longest_are_forgotten_beyond_the_limit() {
    let mut absent = AbsentGateways::default();
    for i in 0..=MAX_ABSENT {
        let now = Duration::from_millis(i as u64);
        absent.record_list(&[address(i)], &[], now);
    }
    assert_eq!(absent.count(), MAX_ABSENT);
    // The first one is gone, so that listing all others leaves none.
    let others: Vec<SocketAddr> = (1..=MAX_ABSENT).map(address).collect();
    absent.record_list(&[], &others, Duration::from_secs(1));
    assert_eq!(absent.count(), 0);
}
