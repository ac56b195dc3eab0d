//! Retry storms after a crash, and bursts of broken streams after normal operation.

use std::time::Duration;

use daisyquay::policy::retry_budget::Limits;
use daisyquay::policy::retry_budget::Share;
use daisyquay::policy::retry_budget::SlidingWindow;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const LIMITS: Limits = Limits::new(0.9, 6.0, Duration::from_secs(10));

#[derive(Clone, Copy, Debug)]
enum Step {
    FirstAttempt,
    Retry,
    Escalation,
    Wait(u8),
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::FirstAttempt,
            3..=5 => Self::Retry,
            6 => Self::Escalation,
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

/// Returns whether the retries in every window stay within what its first attempts allow.
fn stays_within_limits(steps: Vec<Step>) -> bool {
    let mut budget = SlidingWindow::default();
    let mut now = Duration::from_secs(100);
    let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
    for step in steps {
        match step {
            Step::FirstAttempt => {
                budget.record_first_attempt(&LIMITS, now);
                first_attempts.push(now);
            }
            Step::Retry => {
                if budget.try_retry(&LIMITS, now) {
                    retries.push(now);
                }
            }
            Step::Escalation => {
                if budget.try_escalation(&LIMITS, now) {
                    retries.push(now);
                }
            }
            Step::Wait(n) => now += Duration::from_millis(u64::from(n) * 40),
        }
    }
    retries.iter().all(|&end| {
        let start = end.saturating_sub(LIMITS.window);
        let in_window = |at: &&Duration| **at >= start && **at <= end;
        let retries = retries.iter().filter(in_window).count() as f64;
        let first_attempts = first_attempts.iter().filter(in_window).count() as f64;
        retries <= first_attempts * LIMITS.ratio + LIMITS.slack
    })
}

#[test]
fn keeps_retries_within_the_limits_of_every_window() {
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(stays_within_limits as fn(Vec<Step>) -> bool);
}

#[test]
fn allows_a_burst_of_retries_after_normal_operation() {
    let mut budget = SlidingWindow::default();
    let mut now = Duration::from_secs(100);
    for _ in 0..100 {
        budget.record_first_attempt(&LIMITS, now);
        now += Duration::from_millis(50);
    }
    let resumed = (0..60).filter(|_| budget.try_retry(&LIMITS, now)).count();
    assert_eq!(resumed, 60, "some broken streams could not be retried");
}

#[test]
fn escalations_leave_part_of_the_budget_for_failures() {
    let mut budget = SlidingWindow::default();
    let now = Duration::from_secs(100);
    for _ in 0..100 {
        budget.record_first_attempt(&LIMITS, now);
    }
    let left = budget.escalations_left(&LIMITS, now);
    let escalated = (0..200)
        .filter(|_| budget.try_escalation(&LIMITS, now))
        .count();
    assert_eq!((left, budget.escalations_left(&LIMITS, now)), (1.0, 0.0));
    let retried = (0..200).filter(|_| budget.try_retry(&LIMITS, now)).count();
    assert_eq!((escalated, retried), (72, 24));
}

/// Half of the responses of a steady load are doubtful. A crash breaks a third of a window's
/// requests, which are retried at once. The escalations go on beside the retries.
#[test]
fn crash_does_not_keep_hard_prompts_on_the_smallest_model() {
    let mut budget = SlidingWindow::default();
    let mut now = Duration::from_secs(100);
    let (mut doubtful, mut escalated) = (0, 0);
    for second in 0..20 {
        if second == 10 {
            let retried = (0..33).filter(|_| budget.try_retry(&LIMITS, now)).count();
            assert_eq!(
                retried, 33,
                "some requests that the crash broke were not retried"
            );
        }
        for i in 0..10 {
            budget.record_first_attempt(&LIMITS, now);
            if i % 2 == 0 {
                let is_escalated = budget.try_escalation(&LIMITS, now);
                if second >= 10 {
                    doubtful += 1;
                    escalated += u32::from(is_escalated);
                }
            }
            now += Duration::from_millis(100);
        }
    }
    assert_eq!(escalated, doubtful);
}

const DEPLOYMENT: Limits = Limits::new(0.9, 200.0, Duration::from_secs(10));

fn slack_of(share: &mut Share, now: Duration) -> f64 {
    share.limits(now).slack
}

/// Guards against gateways that each take the whole slack before they know of each other, or a large
/// part of it while most of them are not in the list yet.
#[test]
fn gateways_that_learn_of_each_other_share_no_more_than_the_slack() {
    let now = Duration::from_secs(100);
    let mut shares: Vec<Share> = (0..100).map(|_| Share::new(DEPLOYMENT, now)).collect();
    assert!(shares.iter_mut().all(|share| slack_of(share, now) == 0.0));
    // The first lists of a new leader have a quarter of the gateways and more.
    for (known, share) in shares.iter_mut().enumerate() {
        share.set_gateways(known.max(25), false, now);
    }
    let sum = |shares: &mut [Share], now| -> f64 {
        shares.iter_mut().map(|share| slack_of(share, now)).sum()
    };
    assert!(sum(&mut shares, now) < DEPLOYMENT.slack);
    for share in &mut shares {
        share.set_gateways(100, true, now);
    }
    // Each of them may be followed by another process within a window.
    let total = sum(&mut shares, now) + sum(&mut shares, now + DEPLOYMENT.window);
    assert!(total > 0.9 * DEPLOYMENT.slack && total < DEPLOYMENT.slack);
}

/// Guards against gateways that divide the slack anew as soon as others have left the list: what
/// these have spent still counts in the window.
#[test]
fn slack_of_gateways_that_have_left_is_not_used_within_the_window() {
    let start = Duration::from_secs(100);
    let mut share = Share::new(DEPLOYMENT, Duration::ZERO);
    share.set_gateways(10, true, start);
    let of_ten = slack_of(&mut share, start);
    let left_at = start + Duration::from_secs(30);
    share.set_gateways(5, true, left_at);
    assert_eq!(slack_of(&mut share, left_at), of_ten);
    let last = left_at + DEPLOYMENT.window - Duration::from_millis(1);
    assert_eq!(slack_of(&mut share, last), of_ten);
    assert_eq!(
        slack_of(&mut share, left_at + DEPLOYMENT.window),
        2.0 * of_ten
    );
}
