//! Pattern: short sessions begin all the time, each over several gateways, while a release is tried.

use std::collections::BTreeMap;
use std::time::Duration;

use daisyquay::policy::release_rollout::TRIAL_SHARE;
use daisyquay::policy::sessions::Sessions;

const GATEWAYS: usize = 9;

/// Requests of all sessions, half of them before the trial.
const STEPS: usize = 20_000;

/// Sessions that are open at once.
const LIVE: usize = 600;

/// Plays sessions before and during a trial; returns how many changed sides, and the share of the
/// sessions begun in the trial that are on the new release.
fn play(told: bool) -> (usize, f64) {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut gateways: Vec<Sessions> = (0..GATEWAYS).map(|_| Sessions::default()).collect();
    let mut live: Vec<(u64, u8)> = Vec::new();
    let mut sides: BTreeMap<u64, bool> = BTreeMap::new();
    let mut begun: BTreeMap<u64, usize> = BTreeMap::new();
    let (mut changed, mut chosen, mut total) = (0_usize, 0_usize, 0_usize);
    for step in 0..STEPS {
        let now = Duration::from_millis(step as u64);
        let in_trial = step >= STEPS / 2;
        while live.len() < LIVE {
            let session = rng.u64(..);
            begun.insert(session, step);
            live.push((session, rng.u8(1..6)));
        }
        let at = rng.usize(..live.len());
        let (session, left) = &mut live[at];
        let draw = *session as f64 / u64::MAX as f64;
        let share = in_trial.then_some(TRIAL_SHARE);
        let gateway = rng.usize(..GATEWAYS);
        let side = gateways[gateway].assign(*session, draw, share, in_trial, now);
        let former = sides.insert(*session, side);
        changed += usize::from(former.is_some_and(|former| former != side));
        if former.is_none() && begun[session] > STEPS / 2 {
            total += 1;
            chosen += usize::from(side);
        }
        let news = gateways[gateway].take_unpublished();
        if told {
            for other in &mut gateways {
                other.merge(&news, now);
            }
        }
        *left -= 1;
        if *left == 0 {
            live.swap_remove(at);
        }
    }
    (changed, chosen as f64 / total as f64)
}

#[test]
fn no_session_changes_sides_in_a_trial() {
    let (changed, share) = play(true);
    assert_eq!(changed, 0);
    assert!((share - TRIAL_SHARE).abs() < 0.02, "{share}");
}

#[test]
fn without_telling_each_other_sessions_would_change() {
    assert!(play(false).0 > 3);
}

#[test]
fn a_trial_that_has_passed_takes_sessions_along() {
    let mut sessions = Sessions::default();
    let now = Duration::from_secs(1);
    assert!(!sessions.assign(1, 0.01, None, false, now));
    assert!(!sessions.assign(1, 0.01, Some(TRIAL_SHARE), true, now));
    assert!(sessions.assign(1, 0.01, Some(0.3), false, now));
    assert!(sessions.assign(2, 0.2, Some(0.3), false, now));
}
