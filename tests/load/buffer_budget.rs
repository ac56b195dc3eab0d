//! Which responses are given up when all hold too much memory together.

use daisyquay::policy::buffer_budget::BufferBudget;

const LIMIT: usize = 1_000;

/// Guards against sound responses that are given up for one that grows without end.
#[test]
fn the_largest_response_is_given_up_first() {
    let mut budget = BufferBudget::new(LIMIT);
    let sound: Vec<u64> = (0..8).map(|_| budget.open()).collect();
    for number in &sound {
        assert!(budget.hold(*number, 50).is_empty());
    }
    let endless = budget.open();
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

/// Guards against a sum that drifts from what the responses hold.
#[test]
fn memory_is_free_again_when_responses_end() {
    let mut budget = BufferBudget::new(LIMIT);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut open: Vec<(u64, usize)> = Vec::new();
    for _ in 0..20_000 {
        if open.len() < 20 && rng.bool() {
            open.push((budget.open(), 0));
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
