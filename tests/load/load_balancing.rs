//! Upstreams with few measurements, of which one is slow on its first response only, or always.

use std::time::Duration;

use daisyquay::policy::load_balancing::Candidate;
use daisyquay::policy::load_balancing::choose;
use daisyquay::upstream::Circuit;
use daisyquay::upstream::Health;

/// Returns how many of `n` sequential requests each of two idle upstreams serves. `latency` returns
/// the latency of a response by the upstream's index and the number of its request.
fn requests_served(n: u32, latency: impl Fn(usize, u32) -> Duration) -> [u32; 2] {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut healths = [Health::default(), Health::default()];
    let mut served = [0; 2];
    for _ in 0..n {
        let candidates: Vec<Candidate> = healths
            .iter()
            .enumerate()
            .map(|(i, health)| Candidate {
                id: format!("runner-{i}").into(),
                slots: 8,
                reported: None,
                in_flight: 0,
                in_flight_at_report: 0,
                is_local: true,
                circuit: Circuit::Closed,
                mean_latency_s: health.mean_latency_s(),
            })
            .collect();
        let i = choose(&candidates, None, &[], &mut rng).unwrap();
        served[i] += 1;
        healths[i].record_start();
        healths[i].record_success(latency(i, served[i]));
    }
    served
}

#[test]
fn ignores_the_latency_of_the_first_response() {
    for cold in 0..2 {
        let served = requests_served(400, |i, n| {
            let warm = Duration::from_millis(5);
            if i == cold && n == 1 { 6 * warm } else { warm }
        });
        assert!(
            served.iter().all(|&n| n > 100),
            "an upstream got too few requests: {served:?}"
        );
    }
}

#[test]
fn avoids_an_upstream_that_stays_slow() {
    let served = requests_served(400, |i, _| Duration::from_millis(5 + 45 * i as u64));
    assert!(
        served[1] < 20,
        "the slow upstream got too many requests: {served:?}"
    );
}
