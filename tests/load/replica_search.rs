//! The search for the leader while replicas are replaced, cut off or removed.

use std::net::SocketAddr;
use std::time::Duration;

use daisyquay::policy::replica_search::Search;
use daisyquay::policy::replica_search::Silence;

/// Time until a call of an address without a process is given up.
const SILENCE: Duration = Duration::from_millis(500);

/// Time of a call that gets a reply, and between two calls.
const ROUND_TRIP: Duration = Duration::from_millis(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Longest search that leaves a configuration 2 s to be fetched, after 3 s of contact.
const SEARCH_LIMIT: Duration = Duration::from_secs(3);

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7500))
}

fn addresses(range: impl IntoIterator<Item = u8>) -> Vec<SocketAddr> {
    range.into_iter().map(address).collect()
}

/// What an address does when it is called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Process {
    /// There is none, or its packets are lost.
    Gone,
    /// Not the leader; names one.
    Follower(Option<u8>),
    Leader,
}

/// Calls addresses until the leader replies. Returns the time taken; `None` after a minute. Other
/// processes report `reported` 10 ms after the search has become wide.
fn search(
    search: &mut Search,
    process: impl Fn(SocketAddr) -> Process,
    reported: &[SocketAddr],
) -> Option<Duration> {
    let mut now = Duration::from_secs(100);
    let start = now;
    let mut named = None;
    while now < start + Duration::from_secs(60) {
        let called = named.take().unwrap_or_else(|| search.next());
        match process(called) {
            Process::Gone => {
                now += SILENCE;
                search.record_silence(called, Silence::Unreachable, now);
            }
            Process::Follower(leader) => {
                now += ROUND_TRIP;
                named = search.record_follower(called, leader.map(address), now);
            }
            Process::Leader => {
                search.record_leader(called);
                return Some(now - start + ROUND_TRIP);
            }
        }
        if named.is_none() {
            if search.is_wide(now) && search.next() != address(0) {
                search.add_reported(reported.to_vec());
            }
            now += RETRY_INTERVAL;
        }
    }
    None
}

/// Guards against a process that is lost once all replicas of the leader's last list are gone.
#[test]
fn finds_replicas_that_others_report_when_all_that_are_known_are_gone() {
    let mut known = Search::new(addresses(1..=3), 0).unwrap();
    known.set_listed(addresses(4..=6));
    let process = |called| match called {
        _ if called == address(8) => Process::Leader,
        _ if called == address(7) || called == address(9) => Process::Follower(Some(8)),
        _ => Process::Gone,
    };
    let time = search(&mut known, process, &addresses(7..=9));
    assert!(time.is_some_and(|time| time < SEARCH_LIMIT), "{time:?}");
}

/// Guards against hundreds of processes that receive the same list and all call its first replica.
#[test]
fn processes_with_the_same_report_begin_with_different_replicas() {
    let begin = |first| {
        let mut known = Search::new(addresses(1..=3), first).unwrap();
        known.add_reported(addresses(4..=8));
        known.next()
    };
    let begun: Vec<SocketAddr> = (0..5).map(begin).collect();
    assert_eq!(begun, addresses(4..=8));
}

/// Guards against a process that no longer knows the addresses of its settings.
#[test]
fn finds_configured_replicas_when_all_that_are_listed_are_gone() {
    let mut known = Search::new(addresses(1..=3), 1).unwrap();
    known.set_listed(addresses(4..=6));
    let process = |called| match called {
        _ if called == address(3) => Process::Leader,
        _ => Process::Gone,
    };
    let time = search(&mut known, process, &[]);
    assert!(time.is_some_and(|time| time < 2 * SEARCH_LIMIT), "{time:?}");
}

/// Guards against a search that goes back and forth between a replica that was removed from the log
/// and the leader that it followed, which is gone.
#[test]
fn does_not_rely_on_a_removed_replica_that_names_a_dead_leader() {
    for first in 0..3 {
        let mut known = Search::new(addresses(1..=3), first).unwrap();
        let process = |called| match called {
            _ if called == address(1) => Process::Follower(Some(9)),
            _ if called == address(2) => Process::Follower(Some(9)),
            _ if called == address(3) => Process::Leader,
            _ => Process::Gone,
        };
        let time = search(&mut known, process, &[]);
        assert!(time.is_some_and(|time| time < SEARCH_LIMIT), "{time:?}");
    }
}

/// Guards against a list that is wrong, not only old: its replicas reply, and follow no leader.
#[test]
fn looks_beyond_listed_replicas_that_reply_and_know_no_leader() {
    let mut known = Search::new(addresses(1..=3), 0).unwrap();
    known.set_listed(addresses(4..=6));
    let process = |called| match called {
        _ if called == address(7) => Process::Leader,
        _ if addresses(4..=6).contains(&called) => Process::Follower(None),
        _ => Process::Gone,
    };
    let time = search(&mut known, process, &addresses(7..=9));
    assert!(time.is_some_and(|time| time < SEARCH_LIMIT), "{time:?}");
}

#[test]
fn calls_only_listed_replicas_in_an_election() {
    let mut known = Search::new(addresses(1..=3), 0).unwrap();
    known.set_listed(addresses(4..=6));
    let mut now = Duration::from_secs(1);
    known.record_leader(address(4));
    known.record_silence(address(4), Silence::Unreachable, now);
    while !known.is_wide(now) {
        let called = known.next();
        assert!(addresses(4..=6).contains(&called), "{called}");
        now += RETRY_INTERVAL;
        if called == address(4) {
            known.record_silence(called, Silence::Unreachable, now);
        } else {
            known.record_follower(called, Some(address(4)), now);
        }
    }
    assert!(now >= Duration::from_millis(2500), "{now:?}");
}

#[test]
fn updates_are_fetched_from_replicas_that_reply() {
    let now = Duration::from_secs(1);
    let mut known = Search::new(addresses(1..=3), 0).unwrap();
    known.record_unanswered(address(2), Silence::Unreachable, now);
    let asked: Vec<SocketAddr> = (0..4).map(|i| known.responsive_at(i, now)).collect();
    assert_eq!(asked, addresses([1, 3, 1, 3]));
    let later = now + Duration::from_secs(5);
    assert_eq!(known.responsive_at(1, later), address(2));
}

/// Guards against a search that spends most of its time on addresses of the settings at which
/// nothing runs any more, while the listed replicas are back after an outage.
#[test]
fn finds_listed_replicas_soon_after_an_outage_though_all_configured_are_gone() {
    for outage_ms in (5000..10_000).step_by(100) {
        let mut known = Search::new(addresses(1..=5), 0).unwrap();
        known.set_listed(addresses(11..=15));
        let start = Duration::from_secs(100);
        let back_at = start + Duration::from_millis(outage_ms);
        let mut now = start;
        let mut named = None;
        let found_at = loop {
            let called = named.take().unwrap_or_else(|| known.next());
            // The operating system repeats a connection's first packet, so a call reaches a replica
            // that is back before the call is given up.
            let is_back = now + SILENCE > back_at;
            if is_back && called == address(13) {
                break now.max(back_at) + ROUND_TRIP;
            }
            if is_back && (called == address(14) || called == address(15)) {
                now = now.max(back_at) + ROUND_TRIP;
                named = known.record_follower(called, Some(address(13)), now);
            } else {
                now += SILENCE;
                known.record_silence(called, Silence::Unreachable, now);
            }
            if named.is_none() {
                now += RETRY_INTERVAL;
            }
        };
        let time = found_at - back_at;
        assert!(time < SEARCH_LIMIT, "{time:?} after {outage_ms} ms");
    }
}

/// Guards against a search that does not call the leader again on a new connection after the old one
/// has fallen silent.
#[test]
fn follows_to_a_leader_whose_connection_was_dead() {
    let now = Duration::from_secs(1);
    let mut known = Search::new(addresses(1..=3), 0).unwrap();
    known.record_leader(address(1));
    known.record_silence(address(1), Silence::NoReply, now);
    let follower = known.next();
    assert_ne!(follower, address(1));
    let named = known.record_follower(follower, Some(address(1)), now);
    assert_eq!(named, Some(address(1)));
    known.record_silence(address(1), Silence::NoReply, now);
    let follower = known.next();
    assert_eq!(known.record_follower(follower, Some(address(1)), now), None);
}
