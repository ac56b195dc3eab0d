//! Pattern: a crash makes every request repeat at once, or streams break in a burst after calm.

use std::time::Duration;

use daisyquay::policy::retry_budget::Limits;
use daisyquay::policy::retry_budget::SlidingWindow;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const TERMS: Limits = Limits {
    ratio: 0.9,
    slack: 6.0,
    window: Duration::from_secs(10),
};

#[derive(Clone, Copy, Debug)]
enum Step {
    First,
    Repeat,
    Wait(u8),
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::First,
            3..=6 => Self::Repeat,
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

/// In every window, repeats stay within what the first attempts of that window allow.
fn windows_hold(steps: Vec<Step>) -> bool {
    let mut budget = SlidingWindow::default();
    let mut now = Duration::from_secs(100);
    let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
    for step in steps {
        match step {
            Step::First => {
                budget.record_first_attempt(&TERMS, now);
                firsts.push(now);
            }
            Step::Repeat => {
                if budget.try_retry(&TERMS, now) {
                    repeats.push(now);
                }
            }
            Step::Wait(n) => now += Duration::from_millis(u64::from(n) * 40),
        }
    }
    repeats.iter().all(|&end| {
        let start = end.saturating_sub(TERMS.window);
        let in_window = |at: &&Duration| **at >= start && **at <= end;
        let repeats = repeats.iter().filter(in_window).count() as f64;
        let firsts = firsts.iter().filter(in_window).count() as f64;
        repeats <= firsts * TERMS.ratio + TERMS.slack
    })
}

#[test]
fn repeats_never_exceed_the_bound_of_any_window() {
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(windows_hold as fn(Vec<Step>) -> bool);
}

#[test]
fn calm_leaves_enough_for_every_stream_to_break_at_once() {
    let mut budget = SlidingWindow::default();
    let mut now = Duration::from_secs(100);
    for _ in 0..100 {
        budget.record_first_attempt(&TERMS, now);
        now += Duration::from_millis(50);
    }
    let resumed = (0..60).filter(|_| budget.try_retry(&TERMS, now)).count();
    assert_eq!(resumed, 60);
}

#[test]
fn choices_leave_a_part_for_failures() {
    let mut budget = SlidingWindow::default();
    let now = Duration::from_secs(100);
    for _ in 0..100 {
        budget.record_first_attempt(&TERMS, now);
    }
    let chosen = (0..200)
        .filter(|_| budget.try_escalation(&TERMS, now))
        .count();
    let repeated = (0..200).filter(|_| budget.try_retry(&TERMS, now)).count();
    assert_eq!((chosen, repeated), (72, 24));
}
