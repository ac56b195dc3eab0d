//! Upstreams whose response heads are sound and whose bodies fail.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::framing::Setup;
use crate::support::AUTH_HEADER;
use crate::support::Caller;
use crate::support::ReceivedRequest;
use crate::support::Response;
use crate::support::Upstream;
use crate::support::chunk;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::sse_event;
use crate::support::stream_response_head;
use crate::support::write;

/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Failures in a row that open a circuit.
const FAILURES_TO_OPEN: usize = 3;

/// Probes that an open circuit permits in [`LOAD_TIME`]: 0.5, 1.5 and 3.5 s after the first failures,
/// as the delay doubles with each.
const PROBES: usize = 3;

/// How the body of a faulty upstream fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// A body that is shorter than its length.
    Short,
    /// Chunks that break off.
    Chunks,
    /// A chunk whose length is none.
    Malformed,
    /// A body that is longer than permitted.
    TooLarge,
    /// A stream that breaks off within its first event.
    FirstEvent,
    /// A stream that breaks off after some events.
    LaterEvent,
    /// An event without end.
    EndlessEvent,
}

impl Fault {
    fn path(self) -> &'static str {
        match self {
            Self::Short | Self::Chunks | Self::Malformed | Self::TooLarge => "/lookup/a",
            Self::FirstEvent | Self::LaterEvent | Self::EndlessEvent => "/notes/a",
        }
    }

    /// Writes the response.
    fn respond(self, seen: &ReceivedRequest, out: &mut TcpStream) {
        let head = |line: &str| {
            format!(
                "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: s\r\n{line}\r\n\r\n",
                seen.attempt_id()
            )
        };
        let after: u64 = seen
            .header("last-event-id")
            .map_or(0, |id| id.parse().unwrap());
        let begin = match self {
            Self::Short => head("content-length: 100") + "a part",
            Self::Chunks => head("transfer-encoding: chunked") + &chunk("a part"),
            Self::Malformed => head("transfer-encoding: chunked") + "no length\r\n",
            Self::TooLarge => head("content-length: 9000000"),
            Self::FirstEvent => stream_response_head(seen) + &chunk("id: 1\nda"),
            Self::LaterEvent => {
                let events: String = (after + 1..=after + 3).map(sse_event).collect();
                stream_response_head(seen) + &chunk(&events) + &chunk("id: ")
            }
            Self::EndlessEvent => stream_response_head(seen) + &chunk("id: 1\ndata: "),
        };
        write(out, &begin);
        let piece = chunk(&"x".repeat(16 * 1024));
        while self == Self::EndlessEvent && write(out, &piece) {}
    }
}

/// Writes a whole response, a stream if that was asked for.
fn respond_soundly(seen: &ReceivedRequest, out: &mut TcpStream) -> bool {
    if !seen.request_line.contains("/notes/") {
        return write(out, &ok_response(seen, "tile"));
    }
    let after: u64 = seen
        .header("last-event-id")
        .map_or(0, |id| id.parse().unwrap());
    let events: String = (after + 1..=after.max(5)).map(sse_event).collect();
    write(out, &stream_response_head(seen)) && write(out, &chunk(&events)) && write(out, &chunk(""))
}

fn start_sound() -> Upstream {
    Upstream::start(|seen, out| {
        // As long as a short piece of work; a faulty upstream is free sooner.
        thread::sleep(Duration::from_millis(10));
        respond_soundly(seen, out)
    })
}

/// Starts an upstream whose bodies fail while the flag is set.
fn start_faulty(fault: Fault) -> (Upstream, Arc<AtomicBool>) {
    let is_faulty = Arc::new(AtomicBool::new(true));
    let flag = is_faulty.clone();
    let upstream = Upstream::start(move |seen, out| {
        if flag.load(Ordering::SeqCst) {
            fault.respond(seen, out);
            return false;
        }
        respond_soundly(seen, out)
    });
    (upstream, is_faulty)
}

fn call(gateway: SocketAddr, path: &str, id: &str) -> Option<Response> {
    let headers = [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", "6000"),
    ];
    crate::support::send("GET", gateway, path, &headers, "")
}

/// Sends requests from `callers` at once until `time` has passed; returns how many were served and how
/// many were not.
fn send_for(
    time: Duration,
    gateway: SocketAddr,
    path: &'static str,
    callers: usize,
) -> (usize, usize) {
    let end = Instant::now() + time;
    let callers: Vec<_> = (0..callers)
        .map(|caller| {
            thread::spawn(move || {
                let (mut served, mut not_served) = (0, 0);
                while Instant::now() < end {
                    let id = format!("c{caller}-{}", served + not_served);
                    let reply = call(gateway, path, &id);
                    if reply.is_some_and(|reply| reply.status == 200 && !reply.is_truncated) {
                        served += 1;
                    } else {
                        not_served += 1;
                    }
                }
                (served, not_served)
            })
        })
        .collect();
    callers.into_iter().fold((0, 0), |sum, caller| {
        let (served, not_served) = caller.join().unwrap();
        (sum.0 + served, sum.1 + not_served)
    })
}

/// Sends requests to one faulty upstream and three sound ones; panics if the faulty one gets more than
/// its circuit permits, or if it isn't used once it is sound.
fn check_avoidance(fault: Fault, callers: usize) {
    let (faulty, is_faulty) = start_faulty(fault);
    let sound: Vec<_> = (0..3).map(|_| start_sound()).collect();
    let setup = Setup::new(&[&faulty, &sound[0], &sound[1], &sound[2]]);
    let (served, not_served) = send_for(LOAD_TIME, setup.address, fault.path(), callers);
    let arrived = faulty.received().len();
    let all: usize = sound.iter().map(|sound| sound.received().len()).sum();
    println!(
        "{fault:?}, {callers} callers: {served} served, {not_served} not; {arrived} of {} requests at \
         the faulty upstream",
        all + arrived
    );
    // Requests are in flight there while the circuit opens.
    let permitted = FAILURES_TO_OPEN + callers + PROBES;
    assert!(arrived > 0, "{fault:?}");
    assert!(
        arrived <= permitted,
        "{fault:?}: {arrived}, {permitted} permitted"
    );
    is_faulty.store(false, Ordering::SeqCst);
    let mut round = 0;
    eventually("the upstream is used again", || {
        round += 1;
        for i in 0..8 {
            call(setup.address, fault.path(), &format!("again-{round}-{i}"));
        }
        // More than a circuit that fails each probe permits until the wait ends.
        (faulty.received().len() > arrived + 30).then_some(())
    });
}

/// Guards against an upstream that draws more than its share for good, because its heads count as
/// successes and its bodies, which break off, are too long or malformed, count as nothing.
#[test]
fn upstream_whose_plain_bodies_fail_gets_what_an_open_circuit_permits() {
    for fault in [
        Fault::Short,
        Fault::Chunks,
        Fault::Malformed,
        Fault::TooLarge,
    ] {
        check_avoidance(fault, 12);
    }
}

/// Guards against the same for streams that break off, at their start and later.
#[test]
fn upstream_whose_streams_break_off_gets_what_an_open_circuit_permits() {
    for fault in [Fault::FirstEvent, Fault::LaterEvent] {
        check_avoidance(fault, 12);
    }
}

/// Guards against the same for events without end that reach their own limit.
#[test]
fn upstream_with_events_beyond_their_limit_gets_what_an_open_circuit_permits() {
    check_avoidance(Fault::EndlessEvent, 8);
}

/// Guards against the same for events without end to so many callers that the bound over all
/// responses gives them up before.
#[test]
fn upstream_with_events_without_end_to_many_gets_what_an_open_circuit_permits() {
    check_avoidance(Fault::EndlessEvent, 150);
}

/// Guards against callers that go away within a body and make the gateway avoid a sound upstream.
#[test]
fn callers_that_leave_within_a_body_open_no_circuit() {
    let slow = Upstream::start(|seen, out| {
        write(out, &stream_response_head(seen));
        write(out, &chunk(&sse_event(1)));
        write(out, &chunk("id: 2\nda"));
        // Until the gateway closes the connection.
        let _ = out.read(&mut [0; 1]);
        false
    });
    let sound = start_sound();
    let setup = Setup::new(&[&slow, &sound]);
    let mut sent = 0;
    // Several times as many as a circuit permits that each of them would open for longer.
    while slow.received().len() < 30 {
        sent += 1;
        assert!(
            sent < 200,
            "{} of {sent} requests at the slow upstream",
            slow.received().len()
        );
        let id = format!("leaves-{sent}");
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-deadline-ms", "6000"),
            ("daisyquay-attempt", &id),
        ];
        let mut caller = Caller::connect(setup.address).unwrap();
        assert!(caller.send("GET", "/notes/a", &headers, ""));
        thread::sleep(Duration::from_millis(60));
    }
}

/// Guards against a sound upstream that is avoided because the bound over all responses has given up
/// its bodies.
#[test]
fn bodies_given_up_for_memory_open_no_circuit() {
    const CALLS: usize = 60;
    let large = Upstream::start(|seen, out| {
        let head = format!(
            "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: s\r\n\r\n",
            seen.attempt_id()
        );
        write(out, &head);
        for _ in 0..24 {
            write(out, &"x".repeat(64 * 1024));
            thread::sleep(Duration::from_millis(10));
        }
        false
    });
    let sound = start_sound();
    let setup = Setup::new(&[&large, &sound]);
    let address = setup.address;
    let send_round = |round: usize| {
        let before = large.received().len();
        let calls: Vec<_> = (0..CALLS)
            .map(|i| {
                let id = format!("r{round}-{i}");
                thread::spawn(move || call(address, "/hold/a", &id))
            })
            .collect();
        let replies: Vec<_> = calls.into_iter().map(|call| call.join().unwrap()).collect();
        let lost = replies.iter().flatten().filter(|reply| reply.status == 502);
        (lost.count(), large.received().len() - before)
    };
    let (mut given_up, mut arrived) = (0, 0);
    for round in 0..4 {
        let (lost, at_large) = send_round(round);
        println!("round {round}: {lost} given up of {at_large} at the upstream with large bodies");
        if given_up >= FAILURES_TO_OPEN {
            arrived += at_large;
        }
        given_up += lost;
    }
    assert!(
        given_up >= FAILURES_TO_OPEN && arrived > 0,
        "the bound was not reached"
    );
    // An open circuit permits a probe a round.
    assert!(arrived > CALLS / 4, "{arrived} after {given_up} given up");
}
