//! Prompts of any length on upstreams that don't report their prefill rate.

use std::time::Duration;

use daisyquay::policy::prefill::RateEstimator;

#[test]
fn predicts_from_the_observed_rate_and_follows_its_change() {
    let mut estimator = RateEstimator::default();
    for i in 1..=200_u64 {
        let tokens = 5_000 + i % 7 * 10_000;
        // 100 tokens per millisecond, after a first batch step of 15 ms.
        estimator.record_sample(tokens, Duration::from_millis(15 + tokens / 100));
    }
    let prediction = estimator.predict(100_000).unwrap();
    assert!(
        prediction > Duration::from_millis(950) && prediction < Duration::from_millis(1_150),
        "predicted {prediction:?}"
    );
    // The rate halves.
    for _ in 0..100 {
        estimator.record_sample(20_000, Duration::from_millis(415));
    }
    assert!(estimator.predict(100_000).unwrap() > Duration::from_millis(1_900));
}

#[test]
fn predicts_nothing_from_short_prompts_or_few_samples() {
    let mut estimator = RateEstimator::default();
    for _ in 0..100 {
        estimator.record_sample(300, Duration::from_millis(30));
    }
    assert_eq!(estimator.predict(10_000), None);
    estimator.record_sample(10_000, Duration::from_millis(100));
    assert_eq!(estimator.predict(10_000), None);
}
