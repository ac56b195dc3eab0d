//! Whether an order without an id repeats an earlier one, by what its leader knows of that.

use std::time::Duration;

use daisyquay::policy::repetition::Earlier;
use daisyquay::policy::repetition::MAX_TRANSIT;
use daisyquay::policy::repetition::Relation;
use daisyquay::policy::repetition::relate;

const RESEND_TIME: Duration = Duration::from_secs(4);

/// What a leader may know of an order at one age.
#[derive(Clone, Copy, Debug)]
enum Knowledge {
    /// It accepted the order itself.
    Own,
    /// It applied the order as a follower that lagged behind by this time.
    Follower(Duration),
    /// It restored its state, with the order, at this age of it.
    Restarted(Duration),
}

/// Returns what the leader knows of an order of `age`, if its wall clock is ahead of the one that
/// the order was stamped with.
fn earlier(age: Duration, knowledge: Knowledge, ahead_ms: i64) -> Option<Earlier> {
    let (known_for, is_own) = match knowledge {
        Knowledge::Own => (age, true),
        Knowledge::Follower(lag) => (age.checked_sub(lag)?, false),
        Knowledge::Restarted(at) => (age.checked_sub(at)?, false),
    };
    let wall_ms = i64::try_from(age.as_millis()).ok()? + ahead_ms;
    Some(Earlier {
        known_for,
        is_own,
        wall_age: u64::try_from(wall_ms).ok().map(Duration::from_millis),
    })
}

const KNOWLEDGE: [Knowledge; 5] = [
    Knowledge::Own,
    Knowledge::Follower(Duration::ZERO),
    Knowledge::Follower(Duration::from_millis(700)),
    Knowledge::Restarted(Duration::from_millis(1500)),
    Knowledge::Restarted(Duration::from_secs(30)),
];

fn ages() -> impl Iterator<Item = Duration> {
    (0..400).map(|i| Duration::from_millis(100 * i))
}

/// Guards against a repetition that is carried out a second time, also where wall clocks were set.
#[test]
fn order_within_the_resend_time_is_never_a_new_one() {
    for ahead_ms in [-2_400_000, -3_000, 0, 3_000, 2_400_000] {
        for knowledge in KNOWLEDGE {
            for age in ages().take_while(|age| *age <= RESEND_TIME + MAX_TRANSIT) {
                let Some(earlier) = earlier(age, knowledge, ahead_ms) else {
                    continue;
                };
                let relation = relate(&earlier, RESEND_TIME);
                assert_ne!(relation, Relation::New, "{age:?} {knowledge:?} {ahead_ms}");
            }
        }
    }
}

/// Guards against a new order that is dropped as a repetition, while the wall clocks are right or were
/// set far.
#[test]
fn order_after_the_resend_time_is_never_a_repetition() {
    for ahead_ms in [-2_400_000, 0, 2_400_000] {
        for knowledge in KNOWLEDGE {
            for age in ages().skip_while(|age| *age <= RESEND_TIME) {
                let Some(earlier) = earlier(age, knowledge, ahead_ms) else {
                    continue;
                };
                let relation = relate(&earlier, RESEND_TIME);
                assert_ne!(
                    relation,
                    Relation::Repetition,
                    "{age:?} {knowledge:?} {ahead_ms}"
                );
            }
        }
    }
}

/// Guards against orders that stay without a clear reply.
#[test]
fn relation_is_known_soon_after_the_leader_learnt_of_the_earlier_order() {
    for ahead_ms in [-2_400_000, -3_000, 0, 3_000, 2_400_000] {
        for knowledge in KNOWLEDGE {
            for age in ages() {
                let Some(earlier) = earlier(age, knowledge, ahead_ms) else {
                    continue;
                };
                if earlier.known_for > RESEND_TIME + MAX_TRANSIT {
                    assert_eq!(relate(&earlier, RESEND_TIME), Relation::New);
                }
            }
        }
    }
    for age in ages().take_while(|age| *age <= RESEND_TIME) {
        for knowledge in KNOWLEDGE {
            // With clocks that are right, a repetition is acknowledged whoever leads.
            if let Some(earlier) = earlier(age, knowledge, 0) {
                assert_eq!(relate(&earlier, RESEND_TIME), Relation::Repetition);
            }
        }
        // The leader that accepted it needs no wall clock.
        let earlier = earlier(age, Knowledge::Own, 2_400_000).unwrap();
        assert_eq!(relate(&earlier, RESEND_TIME), Relation::Repetition);
    }
}
