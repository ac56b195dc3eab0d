//! Callers that take nothing of their responses.

use std::time::Duration;

use daisyquay::policy::stalled_callers;
use daisyquay::policy::stalled_callers::Connection;
use daisyquay::policy::stalled_callers::Progress;
use daisyquay::policy::stalled_callers::STALL_LIMIT;
use daisyquay::policy::stalled_callers::UNWRITTEN_LIMIT_BYTES;
use daisyquay::policy::stalled_callers::Unwritten;

fn connection(key: u64, bytes: usize, stalled_for: Duration) -> Connection {
    Connection {
        key,
        bytes,
        stalled_for,
    }
}

fn ended(connections: &[Connection]) -> Vec<u64> {
    let ended = stalled_callers::to_end(connections.to_vec(), UNWRITTEN_LIMIT_BYTES);
    ended.iter().map(|connection| connection.key).collect()
}

/// A limit on the whole delivery would cut the responses of callers that read slowly.
#[test]
fn a_caller_that_takes_a_byte_now_and_then_is_not_stalled() {
    let mut progress = Progress::new(Duration::ZERO);
    let step = STALL_LIMIT - Duration::from_secs(1);
    for i in 0..100u32 {
        let unwritten = Unwritten {
            bytes: 1000 - i as usize,
            position: i as usize,
        };
        let stalled_for = progress.observe(unwritten, step * i);
        assert!(stalled_for < STALL_LIMIT);
        assert!(ended(&[connection(1, 1000, stalled_for)]).is_empty());
    }
}

/// A stream is refilled as fast as its caller takes it, so that the number of bytes stays the same.
#[test]
fn a_stream_whose_unwritten_bytes_stay_as_many_makes_progress() {
    let mut progress = Progress::new(Duration::ZERO);
    for i in 0..100u32 {
        let unwritten = Unwritten {
            bytes: 1000,
            position: i as usize,
        };
        assert_eq!(progress.observe(unwritten, STALL_LIMIT * i), Duration::ZERO);
    }
}

/// A caller that never reads, but acknowledges, would hold its connection without end.
#[test]
fn a_caller_that_takes_nothing_is_given_up_at_the_limit() {
    let mut progress = Progress::new(Duration::ZERO);
    let unwritten = Unwritten {
        bytes: 1000,
        position: 7,
    };
    let began_at = Duration::from_secs(5);
    assert_eq!(progress.observe(unwritten, began_at), Duration::ZERO);
    let before = progress.observe(unwritten, began_at + STALL_LIMIT - Duration::from_millis(1));
    assert!(ended(&[connection(1, 1000, before)]).is_empty());
    let at_limit = progress.observe(unwritten, began_at + STALL_LIMIT);
    assert_eq!(ended(&[connection(1, 1000, at_limit)]), [1]);
}

/// An idle connection waits for its caller's next request, not the other way round.
#[test]
fn a_connection_with_nothing_to_write_is_never_stalled() {
    let mut progress = Progress::new(Duration::ZERO);
    for i in 0..10u32 {
        let stalled_for = progress.observe(Unwritten::default(), STALL_LIMIT * i);
        assert_eq!(stalled_for, Duration::ZERO);
    }
}

/// Callers that read nothing of large responses would use up the memory of a small VM.
#[test]
fn the_longest_stalled_end_first_while_too_much_is_unwritten() {
    let bytes = UNWRITTEN_LIMIT_BYTES / 4;
    let connections: Vec<_> = (1..=6)
        .map(|key| connection(key, bytes, Duration::from_secs(key)))
        .collect();
    assert_eq!(ended(&connections), [6, 5]);
    let moving: Vec<_> = (1..=6)
        .map(|key| connection(key, bytes, Duration::ZERO))
        .collect();
    assert!(ended(&moving).is_empty());
}

/// Guards against cutting a caller that lacks a few kB because others have just begun to receive.
#[test]
fn a_stalled_caller_that_holds_little_is_not_ended_for_the_memory_of_others() {
    let mut connections: Vec<_> = (1..=6)
        .map(|key| connection(key, UNWRITTEN_LIMIT_BYTES / 4, Duration::ZERO))
        .collect();
    connections.push(connection(7, 2_182, Duration::from_millis(502)));
    assert!(ended(&connections).is_empty());
}
