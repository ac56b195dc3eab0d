//! Upstreams that send the head of a stream and break off within its first event, or are quiet
//! before it.

use std::collections::BTreeSet;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::ROUTES;
use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::CONDITION_TIMEOUT;
use crate::support::Caller;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Program;
use crate::support::ReceivedRequest;
use crate::support::Response;
use crate::support::Upstream;
use crate::support::chunk;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::post;
use crate::support::sse_event;
use crate::support::write;

/// A route whose streams may not be repeated, beside those of [`ROUTES`].
const DRAFTS: &str = r#"
[[routes]]
name = "drafts"
host = "previews.example"
prefix = "/drafts/"
repeat = "stream"
timeout_ms = 8000
target_ms = 2000
gap_ms = 400
attempts = 3
split = [{ service = "previews", weight = 1 }]
"#;

/// Events of a complete stream.
const EVENTS: u64 = 5;

/// Attempts that a route of the tests allows.
const ATTEMPTS: usize = 3;

/// Failures in a row that open the circuit of an upstream. A request that may not run again does not
/// probe it after that.
const FAILURES_TO_OPEN: usize = 3;

/// Requests that earn the budget for the retries of a test.
const EARNING_REQUESTS: u32 = 60;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    ConnectionEnd,
}

/// A cluster with one gateway in front of scripted upstreams.
struct Setup {
    upstreams: Vec<Upstream>,
    address: SocketAddr,
    _gateway: Program,
    _cluster: Cluster,
}

impl Setup {
    fn new(upstreams: Vec<Upstream>) -> Self {
        let cluster = Cluster::start(1, 1);
        let inventory = format!("{INVENTORY}{ROUTES}{DRAFTS}");
        cluster.apply(&inventory, &["--change-id", "first"]);
        for (i, upstream) in upstreams.iter().enumerate() {
            announce(&cluster, &format!("u{i}"), upstream.address);
        }
        let (gateway, address) = cluster.start_gateway();
        let setup = Self {
            upstreams,
            address,
            _gateway: gateway,
            _cluster: cluster,
        };
        eventually("the gateway has its routes", || {
            let reply = setup.call("/nowhere/", "probe", &[])?;
            (reply.status == 404).then_some(())
        });
        setup
    }

    fn call(&self, path: &str, id: &str, more: &[(&str, &str)]) -> Option<Response> {
        let mut headers = headers(id).to_vec();
        headers.extend_from_slice(more);
        post(self.address, path, &headers, "")
    }

    fn earn_retries(&self) {
        for i in 0..EARNING_REQUESTS {
            let reply = self.call("/lookup/a", &format!("lookup-{i}"), &[]).unwrap();
            assert_eq!(reply.status, 200);
        }
    }

    /// Returns the number of upstreams that received the request.
    fn runs(&self, id: &str) -> usize {
        let received = self.upstreams.iter().flat_map(Upstream::received);
        received.filter(|seen| seen.attempt_id() == id).count()
    }
}

fn headers(id: &str) -> [(&str, &str); 4] {
    [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", "6000"),
    ]
}

/// Returns the head of a stream, whose signature names the upstream.
fn stream_head(seen: &ReceivedRequest, upstream: &str, framing: Framing) -> String {
    let framing = match framing {
        Framing::Chunked => "transfer-encoding: chunked",
        Framing::ConnectionEnd => "connection: close",
    };
    format!(
        "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: {upstream}\r\n\
         content-type: text/event-stream\r\n{framing}\r\n\r\n",
        seen.attempt_id()
    )
}

fn piece(text: &str, framing: Framing) -> String {
    match framing {
        Framing::Chunked => chunk(text),
        Framing::ConnectionEnd => text.to_owned(),
    }
}

/// Returns the events after the one with id `after`.
fn events_after(after: u64) -> String {
    (after + 1..=EVENTS).map(sse_event).collect()
}

/// Returns the id of the last event that the caller has.
fn last_event_id(seen: &ReceivedRequest) -> u64 {
    seen.header("last-event-id")
        .map_or(0, |id| id.parse().unwrap())
}

/// Starts an upstream that sends a head and a part of the first event, and closes the connection.
fn start_breaking(framing: Framing) -> Upstream {
    Upstream::start(move |seen, out| {
        if seen.request_line.contains("/lookup/") {
            return write(out, &ok_response(seen, "tile"));
        }
        write(out, &stream_head(seen, "breaking", framing));
        write(out, &piece("id: 1\ndata: pie", framing));
        // The head arrives before the end.
        thread::sleep(Duration::from_millis(30));
        false
    })
}

/// Starts an upstream that sends its first event `delay` after the head.
fn start_sound(name: &'static str, framing: Framing, delay: Duration) -> Upstream {
    Upstream::start(move |seen, out| {
        if seen.request_line.contains("/lookup/") {
            return write(out, &ok_response(seen, "tile"));
        }
        write(out, &stream_head(seen, name, framing));
        thread::sleep(delay);
        let events = events_after(last_event_id(seen));
        let has_sent = write(out, &piece(&events, framing));
        match framing {
            Framing::Chunked => has_sent && write(out, "0\r\n\r\n"),
            Framing::ConnectionEnd => false,
        }
    })
}

/// Returns one upstream that breaks its streams off and three sound ones.
fn one_breaking(framing: Framing) -> Vec<Upstream> {
    let mut upstreams = vec![start_breaking(framing)];
    for name in ["sound-1", "sound-2", "sound-3"] {
        upstreams.push(start_sound(name, framing, Duration::ZERO));
    }
    upstreams
}

/// Returns the requests of one kind that the first upstream has received.
fn arrivals_at_first(setup: &Setup, path: &str) -> usize {
    let received = setup.upstreams[0].received();
    let mine = received
        .iter()
        .filter(|seen| seen.request_line.contains(path));
    mine.count()
}

/// Returns the upstream's signature of a whole stream after the event with id `after`.
fn whole_from(reply: Option<&Response>, id: &str, after: u64) -> Option<String> {
    let reply = reply?;
    let is_whole = reply.status == 200
        && !reply.is_truncated
        && reply.header("daisyquay-attempt") == id
        && reply.body == events_after(after);
    is_whole.then(|| reply.header("daisyquay-signature").to_owned())
}

/// Guards against a caller whose stream is cut because its upstream broke off before there was any
/// event, although another upstream could have served it, and against a head of one upstream before
/// the events of another.
#[test]
fn stream_that_breaks_off_within_its_first_event_is_repeated_elsewhere() {
    for framing in [Framing::Chunked, Framing::ConnectionEnd] {
        let setup = Setup::new(one_breaking(framing));
        setup.earn_retries();
        let mut sent = 0;
        // Its circuit opens after some failures; the next request there is a probe.
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while arrivals_at_first(&setup, "/notes/") < 4 {
            assert!(
                Instant::now() < deadline,
                "the breaking upstream gets no requests"
            );
            sent += 1;
            let id = format!("id-{sent}");
            // Every second caller has the first events already.
            let (after, more): (u64, &[(&str, &str)]) = match sent % 2 {
                0 => (2, &[("last-event-id", "2")]),
                _ => (0, &[]),
            };
            let reply = setup.call("/notes/a", &id, more);
            let signature = whole_from(reply.as_ref(), &id, after);
            let is_sound = signature.is_some_and(|name| name.starts_with("sound"));
            assert!(is_sound, "{framing:?}, {id}: {reply:?}");
            assert!(setup.runs(&id) <= ATTEMPTS);
        }
    }
}

/// Guards against a caller whose stream is cut without a status where the request may not be sent
/// again, and against a second run of it.
#[test]
fn stream_that_breaks_off_within_its_first_event_and_may_not_run_again_is_answered_502() {
    for framing in [Framing::Chunked, Framing::ConnectionEnd] {
        let setup = Setup::new(one_breaking(framing));
        let (mut sent, mut lost) = (0, 0);
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while arrivals_at_first(&setup, "/drafts/") < FAILURES_TO_OPEN {
            assert!(
                Instant::now() < deadline,
                "the breaking upstream gets no requests"
            );
            sent += 1;
            let id = format!("id-{sent}");
            let reply = setup.call("/drafts/a", &id, &[]);
            let is_lost = reply.as_ref().is_some_and(|reply| reply.status == 502);
            let is_whole = whole_from(reply.as_ref(), &id, 0).is_some();
            assert!(is_lost || is_whole, "{framing:?}, {id}: {reply:?}");
            lost += usize::from(is_lost);
            assert_eq!(setup.runs(&id), 1);
        }
        assert_eq!(lost, arrivals_at_first(&setup, "/drafts/"));
    }
}

/// Guards against a stream that is given up although an upstream has room for it a moment later.
#[test]
fn stream_that_broke_off_is_offered_again_to_an_upstream_that_was_full() {
    let broken_ids: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let ids = broken_ids.clone();
    let breaking_once = Upstream::start(move |seen, out| {
        if seen.request_line.contains("/lookup/") {
            return write(out, &ok_response(seen, "tile"));
        }
        write(out, &stream_head(seen, "breaking-once", Framing::Chunked));
        if ids.lock().unwrap().insert(seen.attempt_id().to_owned()) {
            write(out, &chunk("id: 1\ndata: pie"));
            return false;
        }
        write(out, &chunk(&events_after(0))) && write(out, "0\r\n\r\n")
    });
    let refused_ids: Mutex<BTreeSet<String>> = Mutex::default();
    let full_once = Upstream::start(move |seen, out| {
        if seen.request_line.contains("/lookup/") {
            return write(out, &ok_response(seen, "tile"));
        }
        let id = seen.attempt_id();
        let has_broken = broken_ids.lock().unwrap().contains(id);
        if has_broken && refused_ids.lock().unwrap().insert(id.to_owned()) {
            let head = format!("HTTP/1.1 503 Full\r\ndaisyquay-attempt: {id}\r\n");
            let rest = "daisyquay-not-run: 1\r\ncontent-length: 0\r\n\r\n";
            return write(out, &format!("{head}{rest}"));
        }
        write(out, &stream_head(seen, "full-once", Framing::Chunked));
        write(out, &chunk(&events_after(0))) && write(out, "0\r\n\r\n")
    });
    let setup = Setup::new(vec![breaking_once, full_once]);
    setup.earn_retries();
    for sent in 0.. {
        assert!(sent < 200, "the breaking upstream gets no requests");
        let id = format!("id-{sent}");
        let reply = setup.call("/notes/a", &id, &[]);
        let signature = whole_from(reply.as_ref(), &id, 0);
        assert!(signature.is_some(), "{id}: {reply:?}");
        if setup.runs(&id) == 3 {
            break;
        }
    }
}

/// Guards against callers without a status, and against more attempts than a route allows, where
/// all upstreams break off within the first event.
#[test]
fn every_caller_gets_a_status_where_all_streams_break_off_within_their_first_event() {
    for framing in [Framing::Chunked, Framing::ConnectionEnd] {
        let setup = Setup::new((0..4).map(|_| start_breaking(framing)).collect());
        setup.earn_retries();
        for (path, most) in [("/notes/a", ATTEMPTS), ("/drafts/a", 1)] {
            for i in 0..10 {
                let id = format!("{path}-{i}");
                let reply = setup.call(path, &id, &[]);
                let status = reply.as_ref().map(|reply| reply.status);
                let runs = setup.runs(&id);
                // An open circuit may leave no upstream.
                let is_truthful = status == Some(502) || status == Some(503) && runs == 0;
                assert!(is_truthful, "{framing:?}, {id}: {reply:?}, {runs} runs");
                assert!(runs <= most, "{runs} runs");
            }
        }
    }
}

/// Guards against a resumption by the caller that is taken for one by the gateway, because an upstream
/// refused the request before: the events of a sound upstream were given up.
#[test]
fn resumption_by_the_caller_that_was_refused_once_may_begin_with_a_comment() {
    const COMMENT: &str = ": ping\n\n";
    let full = Upstream::start(|seen, out| {
        if seen.request_line.contains("/lookup/") {
            return write(out, &ok_response(seen, "tile"));
        }
        let head = format!(
            "HTTP/1.1 503 Full\r\ndaisyquay-attempt: {}\r\n",
            seen.attempt_id()
        );
        let rest = "daisyquay-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        write(out, &format!("{head}{rest}"))
    });
    let sound = Upstream::start(|seen, out| {
        if seen.request_line.contains("/lookup/") {
            return write(out, &ok_response(seen, "tile"));
        }
        let events = events_after(last_event_id(seen));
        write(out, &stream_head(seen, "sound", Framing::Chunked))
            && write(out, &chunk(&format!("{COMMENT}{events}")))
            && write(out, "0\r\n\r\n")
    });
    let setup = Setup::new(vec![full, sound]);
    setup.earn_retries();
    let whole = format!("{COMMENT}{}", events_after(2));
    for i in 0..20 {
        let id = format!("id-{i}");
        let reply = setup.call("/notes/a", &id, &[("last-event-id", "2")]);
        let body = reply.as_ref().map(|reply| (reply.status, &*reply.body));
        assert_eq!(body, Some((200, &*whole)), "{reply:?}");
    }
    assert!(arrivals_at_first(&setup, "/notes/") > 0);
}

/// Guards against a deadline that cuts a stream of which the caller has nothing, in place of a 504.
#[test]
fn stream_without_an_event_at_the_deadline_is_answered_504() {
    let setup = Setup::new(vec![start_sound(
        "late",
        Framing::Chunked,
        Duration::from_secs(4),
    )]);
    for path in ["/notes/a", "/drafts/a"] {
        let reply = setup.call(path, path, &[]);
        assert_eq!(whole_from(reply.as_ref(), path, 0).as_deref(), Some("late"));
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", "late"),
            ("daisyquay-deadline-ms", "1000"),
        ];
        let start = Instant::now();
        let reply = post(setup.address, path, &headers, "");
        let status = reply.as_ref().map(|reply| reply.status);
        assert_eq!(status, Some(504), "{path}: {reply:?}");
        assert!(start.elapsed() >= Duration::from_millis(900));
    }
}

/// Guards against a time limit before the first event of a sound stream, which would discard the
/// work of its upstream.
#[test]
fn stream_whose_first_event_comes_late_arrives_whole_from_its_upstream() {
    for framing in [Framing::Chunked, Framing::ConnectionEnd] {
        let delay = Duration::from_millis(2500);
        let setup = Setup::new(vec![start_sound("quiet", framing, delay)]);
        for path in ["/notes/a", "/drafts/a"] {
            let reply = setup.call(path, path, &[]);
            let signature = whole_from(reply.as_ref(), path, 0);
            assert_eq!(signature.as_deref(), Some("quiet"), "{path}: {reply:?}");
            assert_eq!(setup.runs(path), 1);
        }
    }
}

/// Guards against an upstream that works on for a caller who left before the first event.
#[test]
fn caller_that_leaves_before_the_first_event_cancels_the_request_at_the_upstream() {
    let has_ended: Arc<AtomicBool> = Arc::default();
    let ended = has_ended.clone();
    let upstream = Upstream::start(move |seen, out: &mut TcpStream| {
        write(out, &stream_head(seen, "quiet", Framing::Chunked));
        let mut buf = [0; 1];
        let is_end = !matches!(out.read(&mut buf), Ok(n) if n > 0);
        ended.store(is_end, Ordering::SeqCst);
        false
    });
    let setup = Setup::new(vec![upstream]);
    let mut caller = Caller::connect(setup.address).unwrap();
    assert!(caller.send("POST", "/notes/a", &headers("left"), ""));
    eventually("the request arrives", || {
        (setup.runs("left") == 1).then_some(())
    });
    thread::sleep(Duration::from_millis(300));
    assert!(!has_ended.load(Ordering::SeqCst));
    drop(caller);
    let left_at = Instant::now();
    eventually("the request is cancelled", || {
        has_ended.load(Ordering::SeqCst).then_some(())
    });
    assert!(left_at.elapsed() < Duration::from_secs(2));
}
