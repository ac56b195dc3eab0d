//! A sound upstream that falls silent for a second and goes on.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Program;
use crate::support::ReceivedRequest;
use crate::support::Upstream;
use crate::support::chunk;
use crate::support::eventually;
use crate::support::full_response;
use crate::support::ok_response;
use crate::support::send;
use crate::support::sse_event;
use crate::support::stream_response_head;
use crate::support::write;

/// Routes whose targets are shorter than the silence, and whose time limits are not.
const ROUTES: &str = r#"
[[routes]]
name = "lookup"
host = "previews.example"
prefix = "/lookup/"
timeout_ms = 4000
target_ms = 300
attempts = 3
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "hold"
host = "previews.example"
prefix = "/hold/"
repeat = "once"
timeout_ms = 4000
target_ms = 300
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "notes"
host = "previews.example"
prefix = "/notes/"
repeat = "stream"
timeout_ms = 8000
target_ms = 1000
gap_ms = 400
attempts = 3
resume = true
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "pair"
host = "previews.example"
prefix = "/pair/"
repeat = "stream"
timeout_ms = 8000
target_ms = 3000
gap_ms = 400
attempts = 2
resume = true
split = [{ service = "previews", weight = 1 }]
"#;

const KINDS: [&str; 3] = ["lookup", "hold", "notes"];

/// Time for which the upstream writes nothing.
const SILENCE: Duration = Duration::from_millis(1200);

/// Time from the silence within which the upstream must get requests again.
const RETURN_TIME: Duration = Duration::from_millis(1500);

/// Time that a request takes at the upstream, and between two events of a stream.
const WORK: Duration = Duration::from_millis(60);

const EVENTS: u64 = 6;

/// An upstream that can be told to write nothing for a while.
struct Pausing {
    upstream: Upstream,
    silent_until: Arc<Mutex<Instant>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Pausing {
    fn start() -> Self {
        let silent_until = Arc::new(Mutex::new(Instant::now()));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (gate, log) = (silent_until.clone(), arrivals.clone());
        let upstream = Upstream::start(move |seen, out| {
            log.lock().unwrap().push(Instant::now());
            answer(seen, out, &gate)
        });
        Self {
            upstream,
            silent_until,
            arrivals,
        }
    }

    fn fall_silent(&self) {
        *self.silent_until.lock().unwrap() = Instant::now() + SILENCE;
    }

    fn arrivals_from(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|&&at| at >= from).count()
    }
}

fn answer(seen: &ReceivedRequest, out: &mut TcpStream, silent_until: &Mutex<Instant>) -> bool {
    let work = || {
        thread::sleep(WORK);
        let until = *silent_until.lock().unwrap();
        thread::sleep(until.saturating_duration_since(Instant::now()));
    };
    work();
    if !seen.request_line.contains("/notes/") {
        return write(out, &ok_response(seen, "tile"));
    }
    let after = seen
        .header("last-event-id")
        .map_or(0, |id| id.parse().unwrap());
    write(out, &stream_response_head(seen))
        && (after + 1..=EVENTS).all(|id| {
            work();
            write(out, &chunk(&sse_event(id)))
        })
        && write(out, "0\r\n\r\n")
}

/// A request in flight; ends with its kind, how long it took, its status and its body.
type Call = JoinHandle<(&'static str, Duration, Option<(u16, String)>)>;

fn call(gateway: SocketAddr, kind: &'static str, id: String) -> Call {
    thread::spawn(move || {
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", &id),
            ("daisyquay-deadline-ms", "6000"),
        ];
        let started = Instant::now();
        let response = send("GET", gateway, &format!("/{kind}/a"), &headers, "");
        let response = response.map(|response| (response.status, response.body));
        (kind, started.elapsed(), response)
    })
}

fn start(upstreams: &[Pausing]) -> (Cluster, Program, SocketAddr) {
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|u| u.upstream.address).collect();
    start_at(&addresses)
}

/// Starts a gateway in front of the upstreams at `addresses`.
fn start_at(addresses: &[SocketAddr]) -> (Cluster, Program, SocketAddr) {
    let cluster = Cluster::start(1, 1);
    cluster.apply(&format!("{INVENTORY}{ROUTES}"), &["--change-id", "first"]);
    for (i, &address) in addresses.iter().enumerate() {
        announce(&cluster, &format!("u{i}"), address);
    }
    let (gateway, address) = cluster.start_gateway();
    eventually("the gateway has its routes", || {
        let (_, _, reply) = call(address, "nowhere", "probe".to_owned()).join().unwrap();
        (reply?.0 == 404).then_some(())
    });
    (cluster, gateway, address)
}

/// Lets the first upstream fall silent twice under requests of each kind, and checks that each is
/// served whole and no run-once request runs twice. Returns how long after the last silence began.
fn check_silences(upstreams: &[Pausing], gateway: SocketAddr) -> Instant {
    let mut calls = Vec::new();
    let mut silent_from = Instant::now();
    for round in 0..70 {
        if round == 10 || round == 40 {
            upstreams[0].fall_silent();
            silent_from = Instant::now();
        }
        for kind in KINDS {
            calls.push(call(gateway, kind, format!("{kind}-{round}")));
        }
        thread::sleep(Duration::from_millis(100));
    }
    let mut bad = Vec::new();
    for reply in calls {
        let (kind, took, response) = reply.join().unwrap();
        let whole: String = match kind {
            "notes" => (1..=EVENTS).map(sse_event).collect(),
            _ => "tile".to_owned(),
        };
        if response != Some((200, whole)) {
            bad.push(format!("{kind} after {took:?}: {response:?}"));
        }
    }
    assert!(bad.is_empty(), "{bad:#?}");
    let received = upstreams.iter().flat_map(|u| u.upstream.received());
    let mut held: Vec<_> = received
        .filter(|seen| seen.request_line.contains("/hold/"))
        .map(|seen| seen.attempt_id().to_owned())
        .collect();
    let all = held.len();
    held.sort_unstable();
    held.dedup();
    assert_eq!(held.len(), all, "a run-once request ran twice");
    silent_from
}

/// Guards against giving requests up because their only upstream is silent for longer than their
/// target.
#[test]
fn requests_survive_a_silence_of_the_only_upstream() {
    let upstreams = [Pausing::start()];
    let (_cluster, _gateway, address) = start(&upstreams);
    check_silences(&upstreams, address);
}

/// Guards against excluding an upstream for longer than its silence.
#[test]
fn upstream_gets_requests_again_soon_after_a_silence() {
    let upstreams = [Pausing::start(), Pausing::start()];
    let (_cluster, _gateway, address) = start(&upstreams);
    let silent_from = check_silences(&upstreams, address);
    let back = silent_from + SILENCE + RETURN_TIME;
    assert!(Instant::now() > back + WORK);
    let count = upstreams[0].arrivals_from(back);
    assert!(
        count > 0,
        "the upstream gets nothing {RETURN_TIME:?} after its silence"
    );
}

/// Starts upstreams whose streams fall silent after so many events, until the time that the test sets.
/// From when it is set until then they close new connections.
fn start_closing_upstreams(
    silent_until: &Arc<Mutex<Option<Instant>>>,
    silent_after: u64,
) -> Vec<Upstream> {
    let start = |_| {
        let gate = silent_until.clone();
        Upstream::start(move |seen, out| {
            let until = || *gate.lock().unwrap();
            if until().is_some_and(|until| Instant::now() < until) {
                return false;
            }
            let after = seen
                .header("last-event-id")
                .map_or(0, |id| id.parse().unwrap());
            write(out, &stream_response_head(seen))
                && (after + 1..=EVENTS).all(|id| {
                    if id == silent_after + 1 {
                        let end = eventually("the silence is set", until);
                        thread::sleep(end.saturating_duration_since(Instant::now()));
                    }
                    write(out, &chunk(&sse_event(id)))
                })
                && write(out, "0\r\n\r\n")
        })
    };
    (0..3).map(start).collect()
}

/// Checks that streams are whole whose upstreams fall silent after so many events, while no other
/// upstream takes them.
fn check_streams_without_another_upstream(silent_after: u64) {
    const STREAMS: usize = 6;
    let silent_until = Arc::default();
    let upstreams = start_closing_upstreams(&silent_until, silent_after);
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (_cluster, _gateway, gateway) = start_at(&addresses);
    let calls: Vec<Call> = (0..STREAMS)
        .map(|i| call(gateway, "notes", format!("notes-{i}")))
        .collect();
    let received = || upstreams.iter().map(|u| u.received().len()).sum::<usize>();
    eventually("all streams have begun", || {
        (received() >= STREAMS).then_some(())
    });
    *silent_until.lock().unwrap() = Some(Instant::now() + SILENCE);
    let whole: String = (1..=EVENTS).map(sse_event).collect();
    for reply in calls {
        let (_, took, response) = reply.join().unwrap();
        assert_eq!(response, Some((200, whole.clone())), "after {took:?}");
    }
    assert!(received() > STREAMS, "no stream was offered to another");
}

/// Guards against cutting off a stream whose upstream is only silent, because the others close the
/// connections on which it is offered to them.
#[test]
fn stream_goes_on_after_a_silence_though_other_upstreams_close_connections() {
    check_streams_without_another_upstream(1);
}

/// Guards against answering 502 for a stream whose upstream is silent before the first event, because
/// the others close the connections on which it is offered to them.
#[test]
fn stream_begins_after_a_silence_though_other_upstreams_close_connections() {
    check_streams_without_another_upstream(0);
}

/// What a silent upstream does once its stream has been offered to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Then {
    BreaksOff,
    StaysSilent,
}

/// Checks that a stream which may run twice is whole, whose first upstream falls silent after an event
/// and whose second one takes it.
fn check_silent_stream_moves(then: Then) {
    let runs: Arc<Mutex<Vec<u64>>> = Arc::default();
    let has_ended: Arc<Mutex<bool>> = Arc::default();
    let start = |_| {
        let (runs, has_ended) = (runs.clone(), has_ended.clone());
        Upstream::start(move |seen, out| {
            let after = seen
                .header("last-event-id")
                .map_or(0, |id| id.parse().unwrap());
            let run = {
                let mut runs = runs.lock().unwrap();
                runs.push(after);
                runs.len()
            };
            if run == 1 {
                write(out, &stream_response_head(seen));
                write(out, &chunk(&sse_event(1)));
                eventually("the stream is offered to another upstream", || {
                    (runs.lock().unwrap().len() > 1).then_some(())
                });
                if then == Then::StaysSilent {
                    let end = out.read(&mut [0]).unwrap_or_default();
                    *has_ended.lock().unwrap() = end == 0;
                }
                return false;
            }
            // Long enough for the first one to break off before.
            thread::sleep(SILENCE / 2);
            write(out, &stream_response_head(seen))
                && (after + 1..=EVENTS).all(|id| write(out, &chunk(&sse_event(id))))
                && write(out, "0\r\n\r\n")
        })
    };
    let upstreams: Vec<Upstream> = (0..2).map(start).collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (_cluster, _gateway, gateway) = start_at(&addresses);
    let (_, took, response) = call(gateway, "pair", "pair-1".to_owned()).join().unwrap();
    let whole: String = (1..=EVENTS).map(sse_event).collect();
    assert_eq!(response, Some((200, whole)), "after {took:?}");
    assert_eq!(*runs.lock().unwrap(), [0, 1]);
    if then == Then::StaysSilent {
        eventually("the silent upstream's request is cancelled", || {
            has_ended.lock().unwrap().then_some(())
        });
    }
}

/// Guards against losing a stream whose silent upstream breaks off while another one, the last that it
/// may run at, has not responded yet.
#[test]
fn silent_stream_that_breaks_off_goes_on_at_the_upstream_that_it_was_offered_to() {
    check_silent_stream_moves(Then::BreaksOff);
}

/// Guards against leaving a stream with an upstream that stays silent, and against two runs of it.
#[test]
fn stream_of_an_upstream_that_stays_silent_moves_and_is_cancelled_there() {
    check_silent_stream_moves(Then::StaysSilent);
}

/// Guards against answering 502 for a request that may run again, because its upstream was silent and
/// the others were full at that moment.
#[test]
fn request_of_a_silent_upstream_is_served_though_the_others_are_full_for_a_moment() {
    let first: Arc<Mutex<Option<Instant>>> = Arc::default();
    let start = |_| {
        let first = first.clone();
        Upstream::start(move |seen, out| {
            let (end, is_first) = {
                let mut first = first.lock().unwrap();
                let is_first = first.is_none();
                (*first.get_or_insert(Instant::now()) + SILENCE, is_first)
            };
            let silence = end.saturating_duration_since(Instant::now());
            if is_first {
                thread::sleep(silence);
            } else if !silence.is_zero() {
                return write(out, &full_response(seen));
            }
            write(out, &ok_response(seen, "tile"))
        })
    };
    let upstreams: Vec<Upstream> = (0..3).map(start).collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (_cluster, _gateway, gateway) = start_at(&addresses);
    let (_, took, response) = call(gateway, "lookup", "lookup-1".to_owned())
        .join()
        .unwrap();
    assert_eq!(response, Some((200, "tile".to_owned())), "after {took:?}");
}
