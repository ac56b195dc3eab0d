//! Which responses are given up when all hold too much memory together.

use daisyquay::policy::buffer_budget::BufferBudget;

const LIMIT: usize = 1_000;

/// Guards against sound responses that are given up for one that grows without end.
#[test]
fn the_largest_response_is_given_up_first() {
    let mut budget = BufferBudget::new(LIMIT);
    let sound: Vec<u64> = (0..8).map(|_| budget.open(false)).collect();
    for number in &sound {
        assert!(budget.hold(*number, 50).is_empty());
    }
    let endless = budget.open(false);
    let mut bytes = 0;
    let given_up = loop {
        bytes += 10;
        let given_up = budget.hold(endless, bytes);
        if !given_up.is_empty() {
            break given_up;
        }
    };
    assert_eq!((given_up, bytes), (vec![endless], 610));
    assert_eq!(budget.used(), 400);
    // It counts no longer, whatever its reader still says.
    assert!(budget.hold(endless, 5_000).is_empty());
    assert_eq!(budget.used(), 400);
}

/// Guards against a large response with a length that is given up for smaller ones without an end.
#[test]
fn response_with_a_length_is_given_up_last() {
    let mut budget = BufferBudget::new(LIMIT);
    let large = budget.open(true);
    assert!(budget.hold(large, 700).is_empty());
    let endless: Vec<u64> = (0..4).map(|_| budget.open(false)).collect();
    for number in &endless[..3] {
        assert!(budget.hold(*number, 100).is_empty());
    }
    assert_eq!(budget.hold(endless[3], 1), [endless[0]]);
    // With none left that may have no end, the largest goes.
    for number in &endless {
        budget.close(*number);
    }
    let second = budget.open(true);
    assert_eq!(budget.hold(second, 400), [large]);
    assert_eq!(budget.hold(second, 1_001), [second]);
    assert_eq!(budget.used(), 0);
}

/// Guards against streams that are given up for large responses, which hold all the memory.
#[test]
fn response_that_holds_little_is_not_given_up_for_large_ones() {
    let mut budget = BufferBudget::new(LIMIT);
    let streams: Vec<u64> = (0..20).map(|_| budget.open(false)).collect();
    for number in &streams {
        assert!(budget.hold(*number, 3).is_empty());
    }
    let (first, second) = (budget.open(true), budget.open(true));
    assert!(budget.hold(first, 600).is_empty());
    assert_eq!(budget.hold(second, 500), [first]);
    assert_eq!(budget.used(), 560);
}

/// Guards against a sum that drifts from what the responses hold.
#[test]
fn memory_is_free_again_when_responses_end() {
    let mut budget = BufferBudget::new(LIMIT);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut open: Vec<(u64, usize)> = Vec::new();
    for _ in 0..20_000 {
        if open.len() < 20 && rng.bool() {
            open.push((budget.open(rng.bool()), 0));
        }
        if let Some(i) = (!open.is_empty()).then(|| rng.usize(..open.len())) {
            if rng.u8(..) < 40 {
                budget.close(open.swap_remove(i).0);
                continue;
            }
            open[i].1 = rng.usize(..300);
            let given_up = budget.hold(open[i].0, open[i].1);
            open.retain(|(number, _)| !given_up.contains(number));
        }
        let held: usize = open.iter().map(|(_, bytes)| bytes).sum();
        assert_eq!(budget.used(), held);
        assert!(held <= LIMIT);
    }
}
