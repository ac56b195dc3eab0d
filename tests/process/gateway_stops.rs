//! Planned stops of a gateway: what its callers get between SIGTERM and the exit.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::support::AUTH_HEADER;
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
use crate::support::send;
use crate::support::sse_event;
use crate::support::stream_response_head;
use crate::support::write;

/// Routes whose time limits lie beyond the stop limit.
const ROUTES: &str = r#"
[[services]]
name = "archive"

[[routes]]
name = "tile"
host = "previews.example"
prefix = "/tile/"
timeout_ms = 30000
target_ms = 1000
attempts = 1
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "hold"
host = "previews.example"
prefix = "/hold/"
repeat = "once"
timeout_ms = 30000
target_ms = 1000
attempts = 1
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "notes"
host = "previews.example"
prefix = "/notes/"
repeat = "stream"
timeout_ms = 30000
target_ms = 30000
gap_ms = 30000
attempts = 2
resume = true
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "archive"
host = "previews.example"
prefix = "/archive/"
repeat = "stream"
timeout_ms = 30000
target_ms = 30000
split = [{ service = "archive", weight = 1 }]
"#;

/// `--stop-limit` of the gateways.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// Body of a response that fits into no buffer of a socket.
const LARGE_BODY_BYTES: usize = 7_900_000;

struct Setup {
    _cluster: Cluster,
    gateway: Program,
    address: SocketAddr,
    upstream: Upstream,
    /// The upstream with a single slot.
    archive: Upstream,
    /// Ids of the requests that have ended at the upstream.
    ended: Arc<Mutex<Vec<String>>>,
}

/// Serves a request as its path says.
fn serve(seen: &ReceivedRequest, out: &mut TcpStream) -> bool {
    let path = seen.request_line.split(' ').nth(1).unwrap_or_default();
    if path.ends_with("/hang") {
        // Until the gateway closes the connection.
        out.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let _ = out.read(&mut [0]);
        return false;
    }
    if path.ends_with("/endless") {
        write(out, &stream_response_head(seen));
        return (1..).all(|id| {
            thread::sleep(Duration::from_millis(100));
            write(out, &chunk(&sse_event(id)))
        });
    }
    if path.ends_with("/large") {
        return write(out, &ok_response(seen, &"x".repeat(LARGE_BODY_BYTES)));
    }
    write(out, &ok_response(seen, "small"))
}

impl Setup {
    fn new() -> Self {
        let mut cluster = Cluster::start(1, 1);
        cluster.gateway_flags = vec!["--admission".to_owned(), "on".to_owned()];
        let inventory = format!("{INVENTORY}{ROUTES}");
        cluster.apply(&inventory, &["--change-id", "first"]);
        let ended: Arc<Mutex<Vec<String>>> = Arc::default();
        let log = ended.clone();
        let upstream = Upstream::start(move |seen, out| {
            let keeps_connection = serve(seen, out);
            log.lock().unwrap().push(seen.attempt_id().to_owned());
            keeps_connection
        });
        let archive = Upstream::start(serve);
        announce(&cluster, "u0", "previews", 64, upstream.address);
        announce(&cluster, "u1", "archive", 1, archive.address);
        let (gateway, address) = cluster.start_gateway();
        eventually("the gateway has its routes", || {
            let reply = send("GET", address, "/nowhere/", &headers("probe"), "")?;
            (reply.status == 404).then_some(())
        });
        Self {
            _cluster: cluster,
            gateway,
            address,
            upstream,
            archive,
            ended,
        }
    }

    /// Sends a request on a new connection.
    fn start(&self, method: &str, path: &str, id: &str) -> Caller {
        let mut caller = Caller::connect(self.address).unwrap();
        assert!(caller.send(method, path, &headers(id), ""));
        caller
    }

    fn wait_for_arrival(&self, id: &str) {
        eventually("the request has reached the upstream", || {
            let received = self.upstream.received();
            received
                .iter()
                .any(|seen| seen.attempt_id() == id)
                .then_some(())
        });
    }
}

fn headers(id: &str) -> [(&str, &str); 4] {
    [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", "30000"),
    ]
}

fn announce(cluster: &Cluster, id: &str, service: &str, slots: u32, address: SocketAddr) {
    let body = json!({
        "id": id,
        "incarnation": 1,
        "address": address.to_string(),
        "data_centre": "dc1",
        "serves": { "service": service },
        "slots": slots,
    });
    let headers = [("authorization", "Bearer dev-upstream-key")];
    eventually("the upstream is announced", || {
        let entry = cluster.entry_addresses[0];
        let reply = post(entry, "/upstream/announce", &headers, &body.to_string())?;
        (reply.status == 204).then_some(())
    });
}

/// Returns the status of a response that is complete.
fn whole_status(response: Option<Response>) -> Option<u16> {
    response
        .filter(|response| !response.is_truncated)
        .map(|response| response.status)
}

/// Guards against an exit that cuts off requests without a response head instead of answering them.
#[test]
fn requests_without_a_response_are_answered_truthfully_before_the_stop_limit() {
    let mut setup = Setup::new();
    let mut stream = setup.start("POST", "/notes/hang", "stream");
    let mut begun = setup.start("POST", "/notes/endless", "begun");
    // The slot and one request more are in use, so the third one waits at the gateway.
    let _occupying =
        [1, 2].map(|i| setup.start("POST", "/archive/hang", &format!("occupying-{i}")));
    eventually("the slot is in use", || {
        (setup.archive.received().len() == 2).then_some(())
    });
    let mut queued = setup.start("POST", "/archive/hang", "queued");
    setup.wait_for_arrival("stream");
    setup.wait_for_arrival("begun");
    thread::sleep(Duration::from_millis(200));
    setup.gateway.terminate();
    let stopping_since = Instant::now();
    // A caller that has sent only a part of its body.
    let mut sending = Caller::connect(setup.address).unwrap();
    let mut incomplete = headers("sending").to_vec();
    incomplete.push(("transfer-encoding", "chunked"));
    assert!(sending.send_head("POST", "/hold/a", &incomplete));
    let mut hold = setup.start("POST", "/hold/hang", "hold");
    let mut tile = setup.start("GET", "/tile/hang", "tile");
    setup.wait_for_arrival("hold");
    setup.wait_for_arrival("tile");
    assert_eq!(setup.archive.received().len(), 2);
    // They may have run.
    assert_eq!(whole_status(stream.receive()), Some(502), "stream");
    assert_eq!(whole_status(hold.receive()), Some(502), "hold");
    assert_eq!(whole_status(tile.receive()), Some(502), "tile");
    eventually("the upstream has stopped the work", || {
        let ended = setup.ended.lock().unwrap();
        let has_ended = |id: &&str| ended.iter().any(|known| known == id);
        ["stream", "hold", "tile"]
            .iter()
            .all(has_ended)
            .then_some(())
    });
    // These have not run.
    let refusal = queued.receive();
    assert_eq!(
        refusal
            .as_ref()
            .map(|refusal| refusal.header("retry-after")),
        Some("0.00")
    );
    assert_eq!(whole_status(refusal), Some(503), "queued");
    assert_eq!(whole_status(sending.receive()), Some(503), "sending");
    assert!(stopping_since.elapsed() < STOP_LIMIT);
    // A stream that has begun goes on until the exit, and does not look complete.
    let reply = begun.receive().unwrap();
    assert!(reply.is_truncated);
    assert!(stopping_since.elapsed() > STOP_LIMIT.mul_f64(0.9));
    let events = reply.body.matches("id: ").count() as u64;
    let expected: String = (1..=events).map(sse_event).collect();
    assert_eq!(reply.body, expected);
    let code = eventually("the gateway exits", || setup.gateway.try_exit_code());
    assert_eq!(code, Some(0));
}

/// Guards against requests that are taken late in a stop, passed on, and cut off without an answer at
/// its end, those that may run only once among them.
#[test]
fn requests_taken_late_in_a_stop_are_answered_before_the_exit() {
    let mut setup = Setup::new();
    setup.gateway.terminate();
    thread::sleep(STOP_LIMIT / 2);
    let callers: Vec<(String, Caller)> = (0..16)
        .map(|i| {
            let path = if i % 2 == 0 { "hold" } else { "tile" };
            let id = format!("late-{path}-{i}");
            let caller = setup.start("GET", &format!("/{path}/hang"), &id);
            thread::sleep(STOP_LIMIT / 40);
            (id, caller)
        })
        .collect();
    let answers: Vec<(String, Option<u16>)> = callers
        .into_iter()
        .map(|(id, mut caller)| (id, whole_status(caller.receive())))
        .collect();
    let received = setup.upstream.received();
    let was_sent = |id: &str| received.iter().any(|seen| seen.attempt_id() == id);
    for (id, status) in &answers {
        // One that was passed on may have run.
        let expected = if was_sent(id) { 502 } else { 503 };
        assert_eq!(*status, Some(expected), "{id}");
    }
    let passed_on = answers.iter().filter(|(id, _)| was_sent(id)).count();
    assert!((2..answers.len()).contains(&passed_on), "{passed_on}");
    let code = eventually("the gateway exits", || setup.gateway.try_exit_code());
    assert_eq!(code, Some(0));
}

/// Guards against an exit while a response is still in the process's own buffers.
#[test]
fn exit_waits_until_callers_that_read_late_have_the_whole_response() {
    let mut setup = Setup::new();
    setup.gateway.terminate();
    let stopping_since = Instant::now();
    thread::sleep(Duration::from_secs(4));
    let mut late = setup.start("GET", "/tile/large", "late");
    thread::sleep(Duration::from_millis(3300));
    let reply = late.receive().unwrap();
    assert!(
        !reply.is_truncated,
        "cut off after {} of {LARGE_BODY_BYTES} bytes",
        reply.body.len()
    );
    assert_eq!(reply.body.len(), LARGE_BODY_BYTES);
    eventually("the gateway exits", || setup.gateway.try_exit_code());
    assert!(stopping_since.elapsed() < STOP_LIMIT + Duration::from_secs(1));
}

/// Guards against losing what an even reader has not taken at the exit, but the system would deliver.
#[test]
fn even_readers_get_whole_responses_that_take_longer_than_the_stop() {
    let mut setup = Setup::new();
    let started_at = Instant::now();
    let readers: Vec<_> = [7.5, 9.0, 10.5]
        .into_iter()
        .map(|seconds| {
            let mut caller = setup.start("GET", "/tile/large", &format!("even-{seconds}"));
            thread::spawn(move || {
                let per_byte = Duration::from_secs_f64(seconds) / LARGE_BODY_BYTES as u32;
                let reply = caller.receive_at(|received| {
                    let due = per_byte * received as u32;
                    thread::sleep(due.saturating_sub(started_at.elapsed()));
                });
                let reply = reply.unwrap();
                (seconds, reply.is_truncated, reply.body.len())
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    setup.gateway.terminate();
    for reader in readers {
        let (seconds, is_truncated, length) = reader.join().unwrap();
        assert!(!is_truncated, "{seconds} s: cut off after {length} bytes");
    }
    eventually("the gateway exits", || setup.gateway.try_exit_code());
}

/// Guards against closed connections in place of a refusal at a stopping gateway that has no routes.
#[test]
fn stopping_gateway_without_a_configuration_refuses_requests() {
    let cluster = Cluster::start(1, 1);
    let (mut gateway, address) = cluster.start_gateway();
    eventually("the gateway listens", || Caller::connect(address));
    thread::sleep(Duration::from_millis(300));
    gateway.terminate();
    let stopping_since = Instant::now();
    // A request every 150 ms, until the exit.
    let callers: Vec<_> = (0..18)
        .map(|i: u64| {
            thread::spawn(move || {
                let at = Duration::from_millis(5_000 + 150 * i);
                thread::sleep(at.saturating_sub(stopping_since.elapsed()));
                let mut caller = Caller::connect(address)?;
                let sent_at = Instant::now();
                caller.send("POST", "/tile/a", &headers("early"), "");
                let status = whole_status(caller.receive());
                Some((at, status, sent_at.elapsed()))
            })
        })
        .collect();
    for caller in callers {
        let Some((at, status, waited)) = caller.join().unwrap() else {
            continue;
        };
        // One that crosses the close is not read.
        let has_crossed = status.is_none() && waited < Duration::from_millis(200);
        assert!(
            has_crossed || status == Some(503),
            "{at:?}: {status:?} after {waited:?}"
        );
    }
    eventually("the gateway exits", || gateway.try_exit_code());
}

/// Guards against requests on kept connections that are read and end without an answer.
#[test]
fn kept_connections_get_whole_responses_until_the_process_is_gone() {
    const CALLERS: u64 = 8;
    let mut setup = Setup::new();
    let address = setup.address;
    let violations = Mutex::new(Vec::new());
    let unanswered = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for i in 0..CALLERS {
            let (violations, unanswered) = (&violations, &unanswered);
            scope.spawn(move || {
                // A connection that is idle for longer and longer before its next request.
                let mut idle = Duration::from_millis(i + 1);
                let mut caller = Caller::connect(address);
                let mut n = 0;
                while let Some(kept) = &mut caller {
                    n += 1;
                    let id = format!("kept-{i}-{n}");
                    let path = ["/tile/small", "/hold/small"][n as usize % 2];
                    let sent = kept.send("POST", path, &headers(&id), "");
                    let reply = kept.receive();
                    match reply {
                        None => unanswered.lock().unwrap().push((id, sent)),
                        Some(reply) if reply.is_truncated => {
                            violations.lock().unwrap().push(format!("{id}: truncated"));
                        }
                        Some(reply) if !matches!(reply.status, 200 | 503) => {
                            let text = format!("{id}: {} {}", reply.status, reply.body);
                            violations.lock().unwrap().push(text);
                        }
                        Some(reply) if reply.header("connection") != "close" => {
                            thread::sleep(idle);
                            idle = idle.mul_f64(1.2).min(Duration::from_millis(400));
                            continue;
                        }
                        Some(_) => {}
                    }
                    caller = Caller::connect(address);
                }
            });
        }
        thread::sleep(Duration::from_millis(500));
        setup.gateway.terminate();
        eventually("the gateway exits", || setup.gateway.try_exit_code());
    });
    let mut violations = violations.into_inner().unwrap();
    let arrivals = setup.upstream.received();
    // A request that crosses the close may have no response, but then it has not run.
    for (id, _) in unanswered.into_inner().unwrap() {
        if arrivals.iter().any(|seen| seen.attempt_id() == id) {
            violations.push(format!("{id}: reached the upstream and has no response"));
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against refusals that are lost in a reset because their caller was still sending its body.
#[test]
fn refusals_reach_callers_that_still_send_their_body() {
    let mut setup = Setup::new();
    let body = "x".repeat(6_000_000);
    let unknown_key = [
        ("authorization", "Bearer nobody"),
        ("host", "previews.example"),
        ("daisyquay-attempt", "unknown-key"),
    ];
    let refused = |path: &str, headers: &[(&str, &str)]| {
        let mut caller = Caller::connect(setup.address).unwrap();
        let is_sent = caller.send_slowly("POST", path, headers, &body);
        let reply = whole_status(caller.receive());
        (is_sent, reply)
    };
    assert_eq!(
        refused("/nowhere/a", &headers("no-route")),
        (true, Some(404))
    );
    assert_eq!(refused("/tile/a", &unknown_key), (true, Some(401)));
    setup.gateway.terminate();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(refused("/notes/a", &headers("stopping")), (true, Some(503)));
    eventually("the gateway exits", || setup.gateway.try_exit_code());
}
