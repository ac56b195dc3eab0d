//! Gateways that return after the leader has forgotten them, while all VMs of their settings are down.

use std::net::SocketAddr;
use std::time::Duration;

use daisyquay::policy::absent_gateways::ABSENT_TTL;
use daisyquay::policy::absent_gateways::AbsentGateways;
use daisyquay::policy::absent_gateways::MAX_ABSENT;
use daisyquay::policy::absent_gateways::MAX_TOLD;
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

/// What the gateways of a fleet have told the absent ones.
struct Told {
    /// How often each absent gateway was told, by round.
    times: Vec<Vec<usize>>,
    /// Most that one gateway told in a round.
    most_by_one: usize,
}

/// Plays the rounds of [`RECOVERY`], during which all absent gateways are back.
fn play((listed, restarted, absent): (usize, usize, usize), seed: u64) -> Told {
    let mut rng = fastrand::Rng::with_seed(seed);
    let former: Vec<SocketAddr> = (0..listed + absent).map(address).collect();
    let current = &former[..listed];
    let mut gateways = vec![AbsentGateways::default(); listed];
    for gateway in &mut gateways[restarted..] {
        gateway.record_list(&former, current, Duration::ZERO);
    }
    let rounds = RECOVERY.as_millis() / (ROUND_INTERVAL.as_millis() * 5 / 4);
    let mut told = Told {
        times: Vec::new(),
        most_by_one: 0,
    };
    for round in 0..u32::try_from(rounds).unwrap() {
        let mut times = vec![0; absent];
        for gateway in &mut gateways {
            let chosen = gateway.draw_told(listed, ROUND_INTERVAL * round, &mut rng);
            told.most_by_one = told.most_by_one.max(chosen.len());
            for (i, address) in former[listed..].iter().enumerate() {
                times[i] += usize::from(chosen.contains(address));
            }
        }
        told.times.push(times);
    }
    told
}

/// Guards against a VM that nobody tells of the replicas once the leader has forgotten its former run.
#[test]
fn absent_gateway_is_told_within_the_recovery_time() {
    for fleet in FLEETS {
        for seed in SEEDS {
            let told = play(fleet, seed);
            for i in 0..fleet.2 {
                let is_told = told.times.iter().any(|times| times[i] > 0);
                assert!(is_told, "{fleet:?}, seed {seed}: {i} was not told");
            }
        }
    }
}

#[test]
fn telling_absent_gateways_is_cheap_for_both_sides() {
    for fleet in FLEETS {
        for seed in SEEDS {
            let told = play(fleet, seed);
            let most = told.times.iter().flatten().max().unwrap();
            let limit = MAX_CALLS_PER_S * ROUND_INTERVAL.as_secs() as usize;
            assert!(*most <= limit, "{fleet:?}: told {most} times in a round");
            assert!(told.most_by_one <= MAX_TOLD);
        }
    }
}

#[test]
fn gateway_that_is_listed_again_or_was_away_for_long_is_not_told() {
    let mut rng = fastrand::Rng::with_seed(1);
    let all: Vec<SocketAddr> = (0..3).map(address).collect();
    let mut absent = AbsentGateways::default();
    absent.record_list(&all, &all[..1], Duration::ZERO);
    assert_eq!(absent.count(), 2);
    absent.record_list(&all[..1], &all[..2], Duration::from_secs(5));
    assert_eq!(
        absent.draw_told(1, Duration::from_secs(5), &mut rng),
        all[2..]
    );
    assert!(absent.draw_told(1, ABSENT_TTL, &mut rng).is_empty());
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
