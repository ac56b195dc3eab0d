//! Pattern: most requests are easy, a few are hard, and nobody says which.

use daisyquay::policy::ladder;

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
        let first = ladder::first(3).unwrap();
        match ladder::escalate(3, first, Some(confidence)) {
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
    assert_eq!(ladder::escalate(3, 2, Some(0.0)), None);
    assert_eq!(ladder::escalate(3, 0, None), None);
    assert_eq!(ladder::escalate(1, 0, Some(0.0)), None);
    assert_eq!(ladder::first(0), None);
}
