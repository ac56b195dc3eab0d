//! Pattern: an upstream that hangs, beside one that is only busy.

use std::time::Duration;

use daisyquay::policy::patience;

#[test]
fn a_hanging_upstream_is_left_with_time_for_another_and_a_busy_one_later() {
    let target = Duration::from_secs(4);
    let idle = patience::head(target, 0.1);
    let busy = patience::head(target, 0.9);
    assert!(idle < busy && busy < target);
    assert!(target - idle >= Duration::from_secs(1), "{idle:?}");
}

#[test]
fn a_stream_is_not_taken_for_dead_within_the_pause_it_may_make() {
    let longest = Duration::from_millis(1200);
    assert!(patience::gap(longest).unwrap() > longest);
    assert_eq!(patience::gap(Duration::ZERO), None);
}
