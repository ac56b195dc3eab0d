//! Long prompts among short ones, prompts that share long prefixes, and upstreams that are suspect
//! or have an open circuit.

use daisyquay::policy::placement::Candidate;
use daisyquay::policy::placement::Prefill;
use daisyquay::policy::placement::place;
use daisyquay::policy::placement::stable_hash;
use daisyquay::upstream::Circuit;

fn candidates(n: usize) -> Vec<Candidate> {
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
            is_blocked: false,
            slowness: 1.0,
        })
        .collect()
}

fn prefix(id: u64, tokens: u64) -> Option<Prefill> {
    Some(Prefill {
        prefix_id: Some(id),
        prefix_tokens: tokens,
        own_tokens: 0,
        tokens_to_target: None,
    })
}

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(1)
}

/// Returns the longest prefill backlog ahead of a short prompt if one in ten prompts is long, with
/// or without reports of the backlogs.
fn longest_wait(has_reports: bool) -> u64 {
    let mut rng = rng();
    let mut candidates = candidates(12);
    let mut backlogs = vec![0_u64; candidates.len()];
    let mut longest = 0;
    for i in 0..4_000_u64 {
        let is_long = rng.f64() < 0.1;
        let tokens = if is_long { 500_000 } else { 2_000 };
        for (candidate, &backlog) in candidates.iter_mut().zip(&backlogs) {
            candidate.prefill_tokens = if has_reports { backlog } else { 0 };
        }
        let at = place(&candidates, prefix(i % 300, 200), true, &mut rng).unwrap();
        if !is_long {
            longest = longest.max(backlogs[at]);
        }
        backlogs[at] += tokens;
        for backlog in &mut backlogs {
            *backlog = backlog.saturating_sub(6_000);
        }
    }
    longest
}

#[test]
fn short_prompts_do_not_wait_behind_long_ones() {
    let (with_reports, without) = (longest_wait(true), longest_wait(false));
    assert!(
        10 * with_reports < without,
        "a short prompt waited for {with_reports} tokens with reports, {without} without"
    );
}

#[test]
fn all_gateways_place_a_shared_prefix_on_the_same_upstream() {
    let mut shuffled = candidates(18);
    shuffled.reverse();
    let mut used = std::collections::BTreeSet::new();
    for id in 0..200 {
        let straight = place(&candidates(18), prefix(id, 5_000), true, &mut rng()).unwrap();
        let reversed = place(&shuffled, prefix(id, 5_000), true, &mut rng()).unwrap();
        assert_eq!(candidates(18)[straight].id, shuffled[reversed].id);
        used.insert(straight);
    }
    assert_eq!(used.len(), 18, "the prefixes don't use all upstreams");
}

#[test]
fn leaves_the_upstream_of_a_prefix_only_if_a_repeated_prefill_costs_less_than_the_wait() {
    let mut candidates = candidates(6);
    let cached_at = place(&candidates, prefix(9, 5_000), true, &mut rng()).unwrap();
    candidates[cached_at].prefill_tokens = 10_000;
    assert_eq!(
        place(&candidates, prefix(9, 5_000), true, &mut rng()),
        Some(cached_at)
    );
    candidates[cached_at].prefill_tokens = 20_000;
    assert_ne!(
        place(&candidates, prefix(9, 5_000), true, &mut rng()),
        Some(cached_at)
    );
}

/// Each data centre has its own traffic, and bytes between data centres are paid for.
#[test]
fn short_prompts_stay_in_their_data_centre_until_it_is_backlogged() {
    let mut candidates = candidates(12);
    let placed_locally = |candidates: &[Candidate], tokens| {
        let placed = (0..300).map(|id| place(candidates, prefix(id, tokens), true, &mut rng()));
        placed.flatten().filter(|&i| candidates[i].is_local).count()
    };
    assert_eq!(placed_locally(&candidates, 500), 300);
    assert!(
        placed_locally(&candidates, 5_000) < 200,
        "too few long prefixes went to their upstream in another data centre"
    );
    for candidate in candidates.iter_mut().filter(|candidate| candidate.is_local) {
        candidate.prefill_tokens = 20_000;
    }
    assert_eq!(placed_locally(&candidates, 500), 0);
}

#[test]
fn a_full_upstream_gets_requests_only_if_all_are_full() {
    let mut candidates = candidates(4);
    for full in &mut candidates[..2] {
        full.load = 1.2;
    }
    candidates[2].kv_cache_use = 0.95;
    for id in 0..50 {
        assert_eq!(
            place(&candidates, prefix(id, 100), true, &mut rng()),
            Some(3)
        );
    }
    candidates[3].load = 1.0;
    assert!(place(&candidates, prefix(1, 100), true, &mut rng()).is_some());
}

#[test]
fn a_suspect_or_open_upstream_is_used_only_if_no_other_is_left() {
    let mut candidates = candidates(3);
    candidates[0].is_suspect = true;
    candidates[1].circuit = Circuit::Open;
    for _ in 0..30 {
        assert_eq!(place(&candidates, None, true, &mut rng()), Some(2));
    }
    candidates[2].was_tried = true;
    assert_eq!(place(&candidates, None, true, &mut rng()), Some(0));
    candidates[0].was_tried = true;
    assert_eq!(place(&candidates, None, true, &mut rng()), Some(1));
    candidates[1].was_tried = true;
    assert_eq!(place(&candidates, None, true, &mut rng()), None);
}

#[test]
fn a_request_that_can_not_be_retried_is_no_probe() {
    let mut candidates = candidates(3);
    candidates[0].circuit = Circuit::HalfOpen;
    assert_eq!(place(&candidates, None, true, &mut rng()), Some(0));
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        assert_ne!(place(&candidates, None, false, &mut rng), Some(0));
    }
}

/// Long prompts with one shared prefix arrive faster than one upstream prefills them. Returns the
/// share of the prompts that are late, and the share for which the prefix was prefilled again.
fn hot_prefix(knows_target: bool) -> (f64, f64) {
    const PROMPTS: u32 = 2_000;
    const TARGET_TOKENS: u64 = 900_000;
    let mut rng = rng();
    let mut candidates = candidates(12);
    let (mut late, mut repeated) = (0, 0);
    let mut prefix_is_at = None;
    for _ in 0..PROMPTS {
        let prefill = Prefill {
            prefix_id: Some(7),
            prefix_tokens: 300_000,
            own_tokens: 100_000,
            tokens_to_target: knows_target.then_some(TARGET_TOKENS),
        };
        let at = place(&candidates, Some(prefill), true, &mut rng).unwrap();
        let home = *prefix_is_at.get_or_insert(at);
        let tokens = prefill.own_tokens + if at == home { 0 } else { prefill.prefix_tokens };
        repeated += u32::from(at != home);
        late += u32::from(candidates[at].prefill_tokens + tokens > TARGET_TOKENS);
        candidates[at].prefill_tokens += tokens;
        for candidate in &mut candidates {
            candidate.prefill_tokens = candidate.prefill_tokens.saturating_sub(60_000);
        }
    }
    (
        f64::from(late) / f64::from(PROMPTS),
        f64::from(repeated) / f64::from(PROMPTS),
    )
}

#[test]
fn prompts_leave_the_upstream_of_a_hot_prefix_before_they_are_late() {
    let (late, repeated) = hot_prefix(true);
    let (late_without, _) = hot_prefix(false);
    assert_eq!(late, 0.0, "late: {late_without} without the target");
    assert!(late_without > 0.5, "{late_without}");
    assert!(repeated < 0.5, "{repeated}");
}
