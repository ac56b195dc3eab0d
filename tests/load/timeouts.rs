//! Pattern: an upstream that hangs, beside one that is only busy.

use std::time::Duration;

use daisyquay::policy::timeouts;
use daisyquay::policy::timeouts::QueueProgress;

#[test]
fn a_hanging_upstream_is_left_with_time_for_another_and_a_busy_one_later() {
    let target = Duration::from_secs(4);
    let idle = timeouts::response_head(target, 0.1, None);
    let busy = timeouts::response_head(target, 0.9, None);
    assert!(idle < busy && busy < target);
    assert!(target - idle >= Duration::from_secs(1), "{idle:?}");
}

/// Pattern: a crowd that comes back at once after a restart. Leaving an upstream that is still reading
/// makes another read the same prompt.
#[test]
fn an_upstream_with_much_to_read_is_not_taken_for_a_hanging_one() {
    let target = Duration::from_secs(4);
    let reading = Duration::from_secs(5);
    assert!(timeouts::response_head(target, 0.3, Some(reading)) > reading);
    let short = Duration::from_millis(50);
    assert_eq!(
        timeouts::response_head(target, 0.3, Some(short)),
        timeouts::response_head(target, 0.3, None)
    );
}

/// Pattern: the same crowd, in the first moments in which nobody knows the upstreams' pace.
#[test]
fn a_request_in_a_moving_queue_waits_and_one_whose_answer_is_lost_does_not() {
    let target = Duration::from_secs(4);
    let at = Duration::from_secs;
    let mut progress = QueueProgress::default();
    progress.record_response(3, at(1), at(9));
    assert!(
        !progress.is_queued(3, at(10), target),
        "nothing has been heard since: it hangs"
    );
    progress.record_response(3, at(8), at(12));
    assert!(
        progress.is_queued(3, at(10), target),
        "those before it come"
    );
    progress.record_response(0, at(12), at(13));
    assert!(
        progress.is_queued(3, at(10), target),
        "a more urgent one may pass it"
    );
    progress.record_response(3, at(12), at(14));
    assert!(
        !progress.is_queued(3, at(10), target),
        "one that came later is answered: ours is lost"
    );
}

#[test]
fn a_stream_is_not_taken_for_dead_within_the_pause_it_may_make() {
    let longest = Duration::from_millis(1200);
    assert!(timeouts::stream_event(longest).unwrap() > longest);
    assert_eq!(timeouts::stream_event(Duration::ZERO), None);
}
