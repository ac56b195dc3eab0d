//! Patterns: runners that were just met, one of them slow in truth.

use std::time::Duration;

use daisyquay::policy::load_balancing::Candidate;
use daisyquay::policy::load_balancing::choose;
use daisyquay::upstream::Circuit;
use daisyquay::upstream::Health;

/// Requests that each of two idle runners gets of `n`, one after the other, where `first` says how
/// long a runner's answer takes, by its place and the number of its request.
fn served(n: u32, first: impl Fn(usize, u32) -> Duration) -> [u32; 2] {
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
        healths[i].record_success(first(i, served[i]));
    }
    served
}

#[test]
fn a_first_answer_over_a_new_connection_keeps_no_work_away() {
    for cold in 0..2 {
        let served = served(400, |i, n| {
            let warm = Duration::from_millis(5);
            if i == cold && n == 1 { 6 * warm } else { warm }
        });
        assert!(served.iter().all(|&n| n > 100), "{served:?}");
    }
}

#[test]
fn a_runner_that_stays_slow_is_avoided() {
    let served = served(400, |i, _| Duration::from_millis(5 + 45 * i as u64));
    assert!(served[1] < 20, "{served:?}");
}
