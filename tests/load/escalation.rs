//! Pattern: most requests are easy, a few are hard, and nobody says which.

use std::time::Duration;

use daisyquay::policy::escalation;
use daisyquay::policy::escalation::TtftForecast;

/// A request's hardness and the small model's opinion of its own answer, which is rough.
fn requests(n: usize) -> Vec<(f64, f64)> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut draw = || {
        let hardness = rng.f64() * 1.1;
        let noise = (rng.f64() - 0.5) * 40.0;
        let confidence = (50.0 + 120.0 * (0.58 - hardness) + noise).clamp(0.0, 100.0);
        (hardness, confidence)
    };
    (0..n).map(|_| draw()).collect()
}

/// Worth less cost of a policy that returns the models that ran.
fn outcome(requests: &[(f64, f64)], policy: impl Fn(f64) -> Vec<usize>) -> f64 {
    const QUALITY: [f64; 3] = [0.58, 0.67, 1.0];
    const COST: [f64; 3] = [0.008, 0.06, 0.12];
    const POOR: f64 = 0.05;
    requests
        .iter()
        .map(|&(hardness, confidence)| {
            let ran = policy(confidence);
            let good = QUALITY[*ran.last().unwrap()] >= hardness;
            let cost: f64 = ran.iter().map(|&model| COST[model]).sum();
            if good { 1.0 - cost } else { POOR - cost }
        })
        .sum::<f64>()
        / requests.len() as f64
}

#[test]
fn asking_the_small_model_first_beats_always_one_model() {
    let requests = requests(20_000);
    let cascade = outcome(&requests, |confidence| {
        let first = escalation::first_model(3).unwrap();
        match escalation::next_model(3, first, Some(confidence), |_| None) {
            Some(larger) => vec![first, larger],
            None => vec![first],
        }
    });
    let smallest = outcome(&requests, |_| vec![0]);
    let largest = outcome(&requests, |_| vec![2]);
    assert!(cascade > smallest + 0.2, "{cascade} {smallest}");
    assert!(cascade > largest, "{cascade} {largest}");
}

#[test]
fn the_largest_model_and_a_silent_one_are_not_doubted() {
    assert_eq!(escalation::next_model(3, 2, Some(0.0), |_| None), None);
    assert_eq!(escalation::next_model(3, 0, None, |_| None), None);
    assert_eq!(escalation::next_model(1, 0, Some(0.0), |_| None), None);
    assert_eq!(escalation::first_model(0), None);
}

fn outlook(queue_ms: u64, reading_ms: u64) -> Option<TtftForecast> {
    Some(TtftForecast {
        target: Duration::from_secs(4),
        elapsed: Duration::from_millis(300),
        queue: Duration::from_millis(queue_ms),
        prefill: Duration::from_millis(reading_ms),
    })
}

/// Pattern: a crowd that comes back at once. A second reading would be late and delay the others.
#[test]
fn a_doubtful_answer_is_kept_where_a_larger_model_is_late_for_the_crowd() {
    let ask = |queue_ms, reading_ms| {
        escalation::next_model(3, 0, Some(20.0), |_| outlook(queue_ms, reading_ms))
    };
    assert_eq!(ask(200, 600), Some(2), "in time");
    assert_eq!(ask(3_500, 600), None, "late behind others");
    assert_eq!(ask(0, 6_000), Some(2), "late by its own length alone");
}

/// Pattern: a surge on few upstreams. Each escalation takes the room of many first answers.
#[test]
fn in_a_surge_more_first_answers_are_in_time_than_with_escalation_at_any_load() {
    let in_time = |look: bool| {
        let requests = requests(3_000);
        let (mut queue, mut good) = (0.0_f64, 0);
        for (_, confidence) in requests {
            // One arrives each 20 ms; a first answer takes 15 ms, a second one 150 ms.
            queue = (queue - 20.0).max(0.0) + 15.0;
            good += u32::from(queue < 4_000.0);
            let seen = outlook(queue as u64, 150);
            if escalation::next_model(3, 0, Some(confidence), |_| seen.filter(|_| look)).is_some() {
                queue += 150.0;
            }
        }
        good
    };
    assert!(in_time(true) > 2_900, "{}", in_time(true));
    assert!(in_time(false) < 1_000, "{}", in_time(false));
}
