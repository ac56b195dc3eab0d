//! Short sessions that begin all the time, each over several gateways, during the trial of a
//! release.

use std::collections::BTreeMap;
use std::time::Duration;

use daisyquay::policy::release_rollout::TRIAL_SHARE;
use daisyquay::policy::sessions::Sessions;

const GATEWAYS: usize = 9;

/// Requests of all sessions, half of them before the trial.
const STEPS: usize = 20_000;

/// Sessions that are open at the same time.
const OPEN_SESSIONS: usize = 600;

/// Simulates sessions before and during a trial, with or without updates between the gateways.
/// Returns how often a session changed releases, and the share of the sessions that began in the
/// trial and use the new release.
fn simulate(has_updates: bool) -> (usize, f64) {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut gateways: Vec<Sessions> = (0..GATEWAYS).map(|_| Sessions::default()).collect();
    let mut open: Vec<(u64, u8)> = Vec::new();
    let mut assigned: BTreeMap<u64, bool> = BTreeMap::new();
    let mut began: BTreeMap<u64, usize> = BTreeMap::new();
    let (mut changes, mut new_count, mut total) = (0_usize, 0_usize, 0_usize);
    for step in 0..STEPS {
        let now = Duration::from_millis(step as u64);
        let in_trial = step >= STEPS / 2;
        while open.len() < OPEN_SESSIONS {
            let session = rng.u64(..);
            began.insert(session, step);
            open.push((session, rng.u8(1..6)));
        }
        let at = rng.usize(..open.len());
        let (session, requests_left) = &mut open[at];
        let draw = *session as f64 / u64::MAX as f64;
        let share = in_trial.then_some(TRIAL_SHARE);
        let gateway = rng.usize(..GATEWAYS);
        let is_new = gateways[gateway].assign(*session, draw, share, in_trial, now);
        let previous = assigned.insert(*session, is_new);
        changes += usize::from(previous.is_some_and(|previous| previous != is_new));
        if previous.is_none() && began[session] > STEPS / 2 {
            total += 1;
            new_count += usize::from(is_new);
        }
        let update = gateways[gateway].take_unpublished();
        if has_updates {
            for other in &mut gateways {
                other.merge(&update, now);
            }
        }
        *requests_left -= 1;
        if *requests_left == 0 {
            open.swap_remove(at);
        }
    }
    (changes, new_count as f64 / total as f64)
}

#[test]
fn no_session_changes_releases_in_a_trial() {
    let (changes, share) = simulate(true);
    assert_eq!(changes, 0, "sessions changed releases");
    assert!(
        (share - TRIAL_SHARE).abs() < 0.02,
        "share of sessions on the new release: {share}"
    );
}

#[test]
fn sessions_change_releases_without_updates_between_gateways() {
    assert!(simulate(false).0 > 3);
}

#[test]
fn a_session_moves_to_the_new_release_after_its_trial() {
    let mut sessions = Sessions::default();
    let now = Duration::from_secs(1);
    assert!(!sessions.assign(1, 0.01, None, false, now));
    assert!(!sessions.assign(1, 0.01, Some(TRIAL_SHARE), true, now));
    // A query gives the same result without an assignment.
    sessions.take_unpublished();
    assert!(!sessions.would_use_new(1, 0.01, Some(0.3), true, now));
    assert!(sessions.would_use_new(3, 0.01, Some(0.3), true, now));
    assert!(sessions.take_unpublished().is_empty());
    assert!(sessions.assign(1, 0.01, Some(0.3), false, now));
    assert!(sessions.assign(2, 0.2, Some(0.3), false, now));
}
