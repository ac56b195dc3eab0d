//! Pattern: prompts of any length on upstreams whose speed nobody states.

use std::time::Duration;

use daisyquay::policy::prefill::RateEstimator;

#[test]
fn the_forecast_follows_the_speed_that_was_seen() {
    let mut pace = RateEstimator::default();
    for i in 1..=200_u64 {
        let reading = 5_000 + i % 7 * 10_000;
        // 100 tokens a ms, and a first step of 15 ms.
        pace.record_sample(reading, Duration::from_millis(15 + reading / 100));
    }
    let forecast = pace.predict(100_000).unwrap();
    assert!(
        forecast > Duration::from_millis(950) && forecast < Duration::from_millis(1_150),
        "{forecast:?}"
    );
    // Half as fast from now on.
    for _ in 0..100 {
        pace.record_sample(20_000, Duration::from_millis(415));
    }
    assert!(pace.predict(100_000).unwrap() > Duration::from_millis(1_900));
}

#[test]
fn nothing_is_forecast_from_short_prompts_or_few_samples() {
    let mut pace = RateEstimator::default();
    for _ in 0..100 {
        pace.record_sample(300, Duration::from_millis(30));
    }
    assert_eq!(pace.predict(10_000), None);
    pace.record_sample(10_000, Duration::from_millis(100));
    assert_eq!(pace.predict(10_000), None);
}
