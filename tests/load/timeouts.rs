//! Upstreams that hang, and upstreams that are only busy.

use std::time::Duration;

use daisyquay::policy::timeouts;
use daisyquay::policy::timeouts::QueueProgress;

#[test]
fn a_busy_upstream_gets_more_time_and_an_idle_one_leaves_time_for_another() {
    let target = Duration::from_secs(4);
    let idle = timeouts::response_head(target, 0.1, None);
    let busy = timeouts::response_head(target, 0.9, None);
    assert!(idle < busy && busy < target);
    assert!(
        target - idle >= Duration::from_secs(1),
        "{idle:?} leaves too little time for another upstream"
    );
}

/// In a burst of retries after a restart, leaving an upstream during its prefill makes another
/// repeat it.
#[test]
fn an_upstream_with_a_prefill_backlog_does_not_count_as_hanging() {
    let target = Duration::from_secs(4);
    let prefill = Duration::from_secs(5);
    assert!(timeouts::response_head(target, 0.3, Some(prefill)) > prefill);
    let short = Duration::from_millis(50);
    assert_eq!(
        timeouts::response_head(target, 0.3, Some(short)),
        timeouts::response_head(target, 0.3, None)
    );
}

/// Leaving a slow upstream would repeat its work elsewhere, and count as its failure.
#[test]
fn a_slow_upstream_gets_more_time_but_one_that_hangs_is_left_by_the_target() {
    let target = Duration::from_secs(4);
    let usual = timeouts::response_head(target, 0.1, None);
    assert_eq!(timeouts::at_slow_upstream(usual, target, 1.0), usual);
    assert_eq!(timeouts::at_slow_upstream(usual, target, 0.5), usual);
    assert!(timeouts::at_slow_upstream(usual, target, 1.2) > usual);
    assert_eq!(timeouts::at_slow_upstream(usual, target, 4.0), target);
    let prefill = Duration::from_secs(9);
    assert_eq!(timeouts::at_slow_upstream(prefill, target, 4.0), prefill);
}

/// Right after the restart, no prefill rate is known, so only the order of responses tells a
/// backlog from a lost response.
#[test]
fn a_request_is_queued_while_the_queue_moves_and_lost_once_overtaken() {
    let target = Duration::from_secs(4);
    let at = Duration::from_secs;
    let mut progress = QueueProgress::default();
    progress.record_response(3, at(1), at(9));
    assert!(
        !progress.is_queued(3, at(10), target),
        "no response since it was sent: the upstream hangs"
    );
    progress.record_response(3, at(8), at(12));
    assert!(
        progress.is_queued(3, at(10), target),
        "earlier requests still get responses"
    );
    progress.record_response(0, at(12), at(13));
    assert!(
        progress.is_queued(3, at(10), target),
        "a more urgent request may overtake it"
    );
    progress.record_response(3, at(12), at(14));
    assert!(
        !progress.is_queued(3, at(10), target),
        "a later request has a response: the response to this one is lost"
    );
}

#[test]
fn a_stream_does_not_time_out_within_its_longest_gap() {
    let longest_gap = Duration::from_millis(1200);
    assert!(timeouts::stream_event(longest_gap).unwrap() > longest_gap);
    assert_eq!(timeouts::stream_event(Duration::ZERO), None);
}
