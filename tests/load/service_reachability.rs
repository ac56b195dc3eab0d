//! Requests leave a gateway that does not reach a service, and only such a gateway, and return to it
//! gradually.

use std::time::Duration;

use daisyquay::collections::Name;
use daisyquay::policy::service_reachability::Failure;
use daisyquay::policy::service_reachability::Path;
use daisyquay::policy::service_reachability::ServiceReachability;

const UPSTREAMS: usize = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Lets each upstream fail once from `at` on, and returns the state after it.
fn cut_off(service: &Name, at: Duration) -> ServiceReachability {
    let mut reached = ServiceReachability::default();
    for upstream in 0..UPSTREAMS as u64 {
        reached.record_failure(service, upstream, Failure::Connection, UPSTREAMS, 0.5, at);
    }
    assert!(reached.is_unreachable(service));
    reached
}

/// Guards against passing requests on because a single upstream fails.
#[test]
fn failures_of_a_single_upstream_do_not_make_its_service_unreachable() {
    let service: Name = "a".into();
    let mut reached = ServiceReachability::default();
    for i in 0..50 {
        assert!(!reached.record_failure(
            &service,
            7,
            Failure::Connection,
            UPSTREAMS,
            0.5,
            ms(10 * i)
        ));
    }
    assert!(!reached.is_unreachable(&service));
}

/// Guards against passing requests on though one upstream of the service responds.
#[test]
fn response_between_failures_shows_that_the_service_is_reachable() {
    let service: Name = "a".into();
    let mut reached = ServiceReachability::default();
    for i in 0..50 {
        let now = ms(10 * i);
        assert!(!reached.record_failure(&service, i, Failure::Connection, UPSTREAMS, 0.5, now));
        reached.record_response(&service, now);
    }
    assert_eq!(reached.path(&service, true, 0.0, ms(600)), Path::Own);
}

/// Guards against adding up failures that lie far apart.
#[test]
fn old_failures_do_not_count() {
    let service: Name = "a".into();
    let mut reached = ServiceReachability::default();
    for i in 0..20 {
        let now = Duration::from_secs(6 * i);
        assert!(!reached.record_failure(&service, i, Failure::Connection, UPSTREAMS, 0.5, now));
    }
}

/// Guards against a service with a single upstream that is never given up.
#[test]
fn only_upstream_of_a_service_must_fail_twice() {
    let service: Name = "a".into();
    let mut reached = ServiceReachability::default();
    assert!(!reached.record_failure(&service, 1, Failure::Connection, 1, 0.5, ms(0)));
    assert!(reached.record_failure(&service, 1, Failure::Connection, 1, 0.5, ms(400)));
}

/// Guards against giving up all services because one is unreachable.
#[test]
fn each_service_is_judged_by_its_own_upstreams() {
    let (lost, other): (Name, Name) = ("a".into(), "b".into());
    let mut reached = cut_off(&lost, ms(0));
    assert_eq!(reached.path(&lost, true, 0.0, ms(10)), Path::OtherGateway);
    assert_eq!(reached.path(&other, true, 0.0, ms(10)), Path::Own);
    assert!(!reached.is_unreachable(&other));
}

/// Guards against probing an unreachable service with many requests, or with one that must not be
/// lost while no upstream accepts a connection.
#[test]
fn unreachable_service_is_probed_by_connections_first_and_then_by_one_request() {
    let service: Name = "a".into();
    let mut reached = cut_off(&service, ms(0));
    let mut connections = 0;
    for i in 0..1000 {
        let now = ms(10 * i);
        if !reached.take_due_probes(now).is_empty() {
            connections += 1;
            reached.record_probe(&service, false, 0.5, now);
        }
        assert_eq!(reached.path(&service, true, 0.5, now), Path::OtherGateway);
    }
    assert!((10..=34).contains(&connections), "{connections} probes");
    let now = ms(20_000);
    assert_eq!(reached.take_due_probes(now), std::slice::from_ref(&service));
    reached.record_probe(&service, true, 0.5, now);
    assert_eq!(reached.path(&service, true, 0.5, now), Path::Probe);
    for i in 0..100 {
        assert_eq!(
            reached.path(&service, true, 0.5, now + ms(10 * i)),
            Path::OtherGateway,
            "a second request probes before the first has ended"
        );
    }
}

/// Guards against losing run-once requests of a service that accepts connections and answers nothing.
#[test]
fn run_once_requests_probe_rarely() {
    let service: Name = "a".into();
    let mut reached = cut_off(&service, ms(0));
    let mut probes = 0;
    for i in 0..3000 {
        let now = ms(10 * i);
        if !reached.take_due_probes(now).is_empty() {
            reached.record_probe(&service, true, 0.5, now);
        }
        if reached.path(&service, false, 0.5, now) == Path::Probe {
            probes += 1;
            reached.record_failure(&service, 1, Failure::Connection, UPSTREAMS, 0.5, now);
        }
    }
    assert!((1..=6).contains(&probes), "{probes} probes in 30 s");
}

/// Guards against the return of all requests in the moment in which a path works again.
#[test]
fn requests_return_gradually_after_an_outage() {
    let service: Name = "a".into();
    let mut reached = cut_off(&service, ms(0));
    let end = ms(10_000);
    assert_eq!(reached.record_response(&service, end), Some(end));
    assert!(!reached.is_unreachable(&service));
    let mut own_at = |at: Duration| {
        let draws = (0..100).map(|i| f64::from(i) / 100.0 + 0.005);
        draws
            .filter(|&draw| reached.path(&service, true, draw, at) == Path::Own)
            .count()
    };
    assert_eq!(own_at(end), 0);
    assert_eq!(own_at(end + ms(500)), 50);
    assert_eq!(own_at(end + ms(1000)), 100);
    assert_eq!(own_at(end + ms(9000)), 100);
}

/// Guards against a detour of requests after a misjudgement.
#[test]
fn requests_return_at_once_after_a_short_outage() {
    let service: Name = "a".into();
    let mut reached = cut_off(&service, ms(0));
    reached.record_response(&service, ms(300));
    assert_eq!(reached.path(&service, true, 0.99, ms(300)), Path::Own);
}

/// Guards against a detour of requests because upstreams are slow: two silent ones are no evidence.
#[test]
fn silent_upstreams_count_less_than_failed_connections() {
    let service: Name = "a".into();
    let mut reached = ServiceReachability::default();
    for i in 0..3 {
        let silence = Failure::Silence;
        assert!(!reached.record_failure(&service, i, silence, UPSTREAMS, 0.5, ms(300 * i)));
    }
    assert!(reached.record_failure(&service, 3, Failure::Silence, UPSTREAMS, 0.5, ms(900)));
}
