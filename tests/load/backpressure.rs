//! Upstreams in need whose requests many gateways limit together.

use std::time::Duration;

use daisyquay::policy::backpressure::Backpressure;
use daisyquay::policy::backpressure::LimitNotice;
use daisyquay::policy::backpressure::Sharing;

const UPSTREAM: u64 = 7;
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a limit allows in [`WINDOW`]: one and a half times the limit, and 5.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn notice(limit: Option<f64>, age: Duration) -> LimitNotice {
    LimitNotice {
        upstream: UPSTREAM,
        limit,
        age,
    }
}

/// One gateway of nine.
const SHARING: Sharing = Sharing {
    gateways: 9,
    phase: 0.5,
};

/// Returns when requests are sent to an upstream that all gateways know to be limited. Callers come
/// from `from` until `until`, `per_s` a second at each gateway.
fn send(gateways: usize, limit: f64, per_s: f64, from: Duration, until: Duration) -> Vec<Duration> {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut sent = Vec::new();
    for _ in 0..gateways {
        let sharing = Sharing {
            gateways,
            phase: rng.f64(),
        };
        let mut table = Backpressure::default();
        table.apply_limit(
            &notice(Some(limit), Duration::ZERO),
            &sharing,
            Duration::ZERO,
        );
        let mut now = from;
        while now < until {
            if table.wait(UPSTREAM, &sharing, now) == Some(Duration::ZERO) {
                table.record_sent(UPSTREAM, &sharing, now);
                sent.push(now);
            }
            now += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / per_s);
        }
    }
    sent.sort_unstable();
    sent
}

fn most_in_a_window(sent: &[Duration]) -> usize {
    let in_window = |start: Duration| {
        let window = start..start + WINDOW;
        sent.iter().filter(|at| window.contains(*at)).count()
    };
    sent.iter()
        .map(|&start| in_window(start))
        .max()
        .unwrap_or(0)
}

#[test]
fn gateways_together_stay_within_the_limit() {
    for gateways in [1, 9, 82, 300] {
        for limit in [0.5, 1.0, 1.4, 5.0, 40.0] {
            let sent = send(
                gateways,
                limit,
                10.0,
                Duration::from_secs(3),
                Duration::from_secs(60),
            );
            let most = most_in_a_window(&sent);
            assert!(
                most as f64 <= allowed(limit),
                "{gateways} gateways, {limit} a second: {most}"
            );
        }
    }
}

/// Guards against turns that all gateways save up while no callers are there.
#[test]
fn gateways_together_stay_within_the_limit_in_a_burst_after_an_idle_time() {
    for gateways in [9, 82, 300] {
        for limit in [1.0, 1.4, 5.0] {
            let idle = Duration::from_secs(600);
            let sent = send(gateways, limit, 50.0, idle, idle + Duration::from_secs(10));
            let most = most_in_a_window(&sent);
            assert!(
                most as f64 <= allowed(limit),
                "{gateways} gateways, {limit} a second: {most}"
            );
        }
    }
}

#[test]
fn limit_is_used_while_callers_keep_coming() {
    for gateways in [1, 9, 82] {
        let until = Duration::from_secs(203);
        let sent = send(gateways, 2.0, 10.0, Duration::from_secs(3), until);
        assert!(sent.len() >= 300, "{gateways} gateways: {}", sent.len());
    }
}

#[test]
fn extreme_limits_are_obeyed_within_bounds() {
    for limit in [0.0, 1e-300, 1e300] {
        let mut table = Backpressure::default();
        table.apply_limit(
            &notice(Some(limit), Duration::ZERO),
            &SHARING,
            Duration::ZERO,
        );
        let later = Duration::from_secs(1_000_000);
        let wait = table.wait(UPSTREAM, &SHARING, later);
        assert_eq!(
            wait == Some(Duration::ZERO),
            limit > 1.0,
            "{limit}: {wait:?}"
        );
        assert!(table.record_sent(UPSTREAM, &SHARING, later));
    }
}

#[test]
fn limit_is_lifted_by_a_later_response_without_one() {
    let now = Duration::from_secs(1);
    let mut table = Backpressure::default();
    table.apply_limit(&notice(Some(1.0), Duration::ZERO), &SHARING, now);
    assert_ne!(table.wait(UPSTREAM, &SHARING, now), Some(Duration::ZERO));
    // A response that was on its way when the limit was named.
    let soon = now + Duration::from_millis(20);
    assert!(!table.apply_limit(&notice(None, Duration::ZERO), &SHARING, soon));
    let later = now + Duration::from_secs(2);
    assert!(table.apply_limit(&notice(None, Duration::ZERO), &SHARING, later));
    assert_eq!(table.wait(UPSTREAM, &SHARING, later), Some(Duration::ZERO));
}

/// Guards against a limit that two gateways tell each other of for ever after it was lifted.
#[test]
fn late_news_of_a_limit_does_not_bring_it_back() {
    let now = Duration::from_secs(10);
    let mut table = Backpressure::default();
    table.apply_limit(&notice(Some(1.0), Duration::from_secs(4)), &SHARING, now);
    assert!(table.apply_limit(&notice(None, Duration::ZERO), &SHARING, now));
    let later = now + Duration::from_secs(1);
    let late = notice(Some(1.0), Duration::from_secs(2));
    assert!(!table.apply_limit(&late, &SHARING, later));
    assert_eq!(table.wait(UPSTREAM, &SHARING, later), Some(Duration::ZERO));
    assert_eq!(table.notices(later), [notice(None, Duration::from_secs(1))]);
}

#[test]
fn upstream_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let mut table = Backpressure::default();
    let at = Duration::from_secs(5);
    table.record_pause(UPSTREAM, Duration::from_millis(1500), at);
    let before_end = at + Duration::from_secs(1);
    let wait = table.wait(UPSTREAM, &SHARING, before_end);
    assert_eq!(wait, Some(Duration::from_millis(500)));
    let after_end = at + Duration::from_secs(2);
    assert_eq!(
        table.wait(UPSTREAM, &SHARING, after_end),
        Some(Duration::ZERO)
    );
}

#[test]
fn leaving_upstream_gets_nothing_until_it_is_forgotten() {
    let mut table = Backpressure::default();
    table.record_leaving(UPSTREAM);
    assert_eq!(table.wait(UPSTREAM, &SHARING, Duration::ZERO), None);
    table.retain(Duration::ZERO, |_| false);
    assert_eq!(
        table.wait(UPSTREAM, &SHARING, Duration::ZERO),
        Some(Duration::ZERO)
    );
}
