//! Patterns: long prompts among short ones, prompts that share long parts, upstreams in doubt.

use daisyquay::policy::placement::Candidate;
use daisyquay::policy::placement::SharedPrefix;
use daisyquay::policy::placement::place;
use daisyquay::policy::placement::stable_hash;
use daisyquay::upstream::Circuit;

fn spots(n: usize) -> Vec<Candidate> {
    (0..n)
        .map(|i| Candidate {
            id: stable_hash(&format!("upstream-{i}")),
            load: 0.0,
            prefill_tokens: 0,
            kv_cache_use: 0.0,
            is_local: i % 3 == 0,
            circuit: Circuit::Closed,
            was_tried: false,
            is_suspect: false,
        })
        .collect()
}

fn need(part: u64, tokens: u64) -> Option<SharedPrefix> {
    Some(SharedPrefix {
        id: Some(part),
        prefill_tokens: tokens,
    })
}

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(1)
}

/// Longest wait of short prompts when one in ten prompts is long, with and without knowledge of what
/// the upstreams have still to read.
fn longest_wait(told: bool) -> u64 {
    let mut rng = rng();
    let mut spots = spots(12);
    let mut left = vec![0_u64; spots.len()];
    let mut longest = 0;
    for i in 0..4_000_u64 {
        let long = rng.f64() < 0.1;
        let tokens = if long { 500_000 } else { 2_000 };
        for (spot, &left) in spots.iter_mut().zip(&left) {
            spot.prefill_tokens = if told { left } else { 0 };
        }
        let at = place(&spots, need(i % 300, 200), true, &mut rng).unwrap();
        if !long {
            longest = longest.max(left[at]);
        }
        left[at] += tokens;
        for left in &mut left {
            *left = left.saturating_sub(6_000);
        }
    }
    longest
}

#[test]
fn short_prompts_do_not_wait_behind_long_ones() {
    let (told, blind) = (longest_wait(true), longest_wait(false));
    assert!(10 * told < blind, "told {told}, blind {blind}");
}

#[test]
fn all_gateways_send_a_shared_part_to_the_same_upstream() {
    let mut shuffled = spots(18);
    shuffled.reverse();
    let mut used = std::collections::BTreeSet::new();
    for part in 0..200 {
        let straight = place(&spots(18), need(part, 5_000), true, &mut rng()).unwrap();
        let reversed = place(&shuffled, need(part, 5_000), true, &mut rng()).unwrap();
        assert_eq!(spots(18)[straight].id, shuffled[reversed].id);
        used.insert(straight);
    }
    assert_eq!(used.len(), 18, "parts spread over all upstreams");
}

#[test]
fn the_holder_of_a_part_is_left_only_for_a_wait_longer_than_reading_it_again() {
    let mut spots = spots(6);
    let holder = place(&spots, need(9, 5_000), true, &mut rng()).unwrap();
    spots[holder].prefill_tokens = 10_000;
    assert_eq!(
        place(&spots, need(9, 5_000), true, &mut rng()),
        Some(holder)
    );
    spots[holder].prefill_tokens = 20_000;
    assert_ne!(
        place(&spots, need(9, 5_000), true, &mut rng()),
        Some(holder)
    );
}

/// Pattern: each data centre has traffic of its own, and bytes between them are paid for.
#[test]
fn short_prompts_stay_in_their_data_centre_until_it_is_busier() {
    let mut spots = spots(12);
    let near = |spots: &[Candidate], tokens| {
        let placed = (0..300).map(|part| place(spots, need(part, tokens), true, &mut rng()));
        placed.flatten().filter(|&i| spots[i].is_local).count()
    };
    assert_eq!(near(&spots, 500), 300);
    assert!(near(&spots, 5_000) < 200, "long parts go to who holds them");
    for spot in spots.iter_mut().filter(|spot| spot.is_local) {
        spot.prefill_tokens = 20_000;
    }
    assert_eq!(near(&spots, 500), 0);
}

#[test]
fn a_full_upstream_gets_work_only_when_all_are_full() {
    let mut spots = spots(4);
    for full in &mut spots[..2] {
        full.load = 1.2;
    }
    spots[2].kv_cache_use = 0.95;
    for part in 0..50 {
        assert_eq!(place(&spots, need(part, 100), true, &mut rng()), Some(3));
    }
    spots[3].load = 1.0;
    assert!(place(&spots, need(1, 100), true, &mut rng()).is_some());
}

#[test]
fn doubts_only_matter_while_there_are_others() {
    let mut spots = spots(3);
    spots[0].is_suspect = true;
    spots[1].circuit = Circuit::Open;
    for _ in 0..30 {
        assert_eq!(place(&spots, None, true, &mut rng()), Some(2));
    }
    spots[2].was_tried = true;
    assert_eq!(place(&spots, None, true, &mut rng()), Some(0));
    spots[0].was_tried = true;
    assert_eq!(place(&spots, None, true, &mut rng()), Some(1));
    spots[1].was_tried = true;
    assert_eq!(place(&spots, None, true, &mut rng()), None);
}

#[test]
fn a_call_that_can_not_be_repeated_is_no_probe() {
    let mut spots = spots(3);
    spots[0].circuit = Circuit::HalfOpen;
    assert_eq!(place(&spots, None, true, &mut rng()), Some(0));
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        assert_ne!(place(&spots, None, false, &mut rng), Some(0));
    }
}
