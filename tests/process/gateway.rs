//! Runs the gateway process between test callers and upstreams whose responses are scripted byte by
//! byte.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

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
use crate::support::post;
use crate::support::send;
use crate::support::sse_event;
use crate::support::stream_response_head;
use crate::support::write;

pub(crate) const ROUTES: &str = r#"
[[routes]]
name = "lookup"
host = "previews.example"
prefix = "/lookup/"
timeout_ms = 4000
target_ms = 500
attempts = 3
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "hold"
host = "previews.example"
prefix = "/hold/"
repeat = "once"
timeout_ms = 1500
target_ms = 500
attempts = 3
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "notes"
host = "previews.example"
prefix = "/notes/"
repeat = "stream"
timeout_ms = 8000
target_ms = 2000
gap_ms = 400
attempts = 3
resume = true
split = [{ service = "previews", weight = 1 }]
"#;

/// A cluster with one gateway in front of scripted upstreams.
struct Setup {
    cluster: Cluster,
    gateway: Program,
    address: SocketAddr,
}

impl Setup {
    fn new(upstreams: &[&Upstream]) -> Self {
        let cluster = Cluster::start(1, 1);
        let inventory = format!("{INVENTORY}{ROUTES}");
        cluster.apply(&inventory, &["--change-id", "first"]);
        for (i, upstream) in upstreams.iter().enumerate() {
            announce(&cluster, &format!("u{i}"), upstream.address);
        }
        let (gateway, address) = cluster.start_gateway();
        let setup = Self {
            cluster,
            gateway,
            address,
        };
        eventually("the gateway has its routes", || {
            let reply = setup.call("GET", "/nowhere/", "probe", "")?;
            (reply.status == 404).then_some(())
        });
        setup
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        id: &str,
        body: &str,
    ) -> Option<crate::support::Response> {
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", id),
            ("daisyquay-deadline-ms", "6000"),
            ("daisyquay-organisation", "forged"),
        ];
        send(method, self.address, path, &headers, body)
    }
}

pub(crate) fn announce(cluster: &Cluster, id: &str, address: SocketAddr) {
    announce_in(cluster, "dc1", id, address);
}

pub(crate) fn announce_in(cluster: &Cluster, data_centre: &str, id: &str, address: SocketAddr) {
    eventually("the upstream is announced", || {
        let entry = cluster.entry_addresses[0];
        send_heartbeat(entry, data_centre, id, address).then_some(())
    });
}

/// Announces an upstream once; returns whether that was accepted.
pub(crate) fn send_heartbeat(
    entry: SocketAddr,
    data_centre: &str,
    id: &str,
    address: SocketAddr,
) -> bool {
    let body = json!({
        "id": id,
        "incarnation": 1,
        "address": address.to_string(),
        "data_centre": data_centre,
        "serves": { "service": "previews" },
        "slots": 8,
    });
    let headers = [("authorization", "Bearer dev-upstream-key")];
    post(entry, "/upstream/announce", &headers, &body.to_string())
        .is_some_and(|reply| reply.status == 204)
}

#[test]
fn forwards_request_unchanged_and_returns_complete_response() {
    let upstream = Upstream::start(|seen, out| write(out, &ok_response(seen, "tile")));
    let setup = Setup::new(&[&upstream]);
    let reply = setup
        .call("POST", "/lookup/a?b=%20c", "id-1", "body")
        .unwrap();
    assert_eq!((reply.status, &*reply.body), (200, "tile"));
    assert_eq!(reply.header("daisyquay-signature"), "s-id-1");
    let seen = upstream.received();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request_line, "POST /lookup/a?b=%20c HTTP/1.1\r\n");
    assert_eq!(seen[0].body, "body");
    assert_eq!(seen[0].header("daisyquay-organisation"), Some("maple"));
    assert_eq!(seen[0].header("daisyquay-upstream"), Some("u0"));
    assert_eq!(seen[0].header("authorization"), None);
    let deadline_ms: u64 = seen[0]
        .header("daisyquay-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        deadline_ms <= 4000,
        "the deadline exceeds the timeout of the route: {deadline_ms} ms"
    );
    let headers = [("host", "previews.example"), ("daisyquay-attempt", "id-2")];
    let reply = send("GET", setup.address, "/lookup/a", &headers, "").unwrap();
    assert_eq!(reply.status, 401, "a caller without a key is not refused");
    assert_eq!(upstream.received().len(), 1);
}

#[test]
fn does_not_retry_run_once_request_after_lost_response() {
    let upstream = Upstream::start(|_, _| false);
    let setup = Setup::new(&[&upstream]);
    let reply = setup.call("POST", "/hold/seat", "id-1", "").unwrap();
    assert_eq!(reply.status, 502, "{}", reply.body);
    assert_eq!(upstream.received().len(), 1);
}

#[test]
fn retries_run_once_request_that_an_upstream_refused() {
    let full = Upstream::start(|seen, out| {
        let response = format!(
            "HTTP/1.1 503 Full\r\ndaisyquay-attempt: {}\r\ndaisyquay-not-run: 1\r\n\
             content-length: 0\r\n\r\n",
            seen.attempt_id()
        );
        write(out, &response)
    });
    let free = Upstream::start(|seen, out| write(out, &ok_response(seen, "held")));
    let setup = Setup::new(&[&full, &free]);
    for i in 0..10 {
        let reply = setup.call("POST", "/hold/seat", &format!("id-{i}"), "");
        assert_eq!(reply.unwrap().status, 200);
    }
    assert_eq!(free.received().len(), 10);
}

#[test]
fn never_returns_response_to_another_request() {
    let request_count = Arc::new(AtomicU32::new(0));
    let counter = request_count.clone();
    let upstream = Upstream::start(move |seen, out| {
        let mut response = ok_response(seen, "mine");
        if counter.fetch_add(1, Ordering::SeqCst) == 0 {
            // Sends a second response, which a reused connection would return to the next request.
            response.push_str(&ok_response(&ReceivedRequest::default(), "stranger's"));
        }
        write(out, &response)
    });
    let setup = Setup::new(&[&upstream]);
    for i in 0..5 {
        let reply = setup
            .call("GET", "/lookup/a", &format!("id-{i}"), "")
            .unwrap();
        assert_eq!((reply.status, &*reply.body), (200, "mine"));
    }
}

#[test]
fn retries_request_after_truncated_response() {
    let request_count = Arc::new(AtomicU32::new(0));
    let counter = request_count.clone();
    let upstream = Upstream::start(move |seen, out| {
        if counter.fetch_add(1, Ordering::SeqCst) == 0 {
            let response = ok_response(seen, "the whole tile");
            write(out, &response[..response.len() - 4]);
            return false;
        }
        write(out, &ok_response(seen, "the whole tile"))
    });
    let other = Upstream::start(|seen, out| write(out, &ok_response(seen, "the whole tile")));
    let setup = Setup::new(&[&upstream, &other]);
    for i in 0..6 {
        let reply = setup
            .call("GET", "/lookup/a", &format!("id-{i}"), "")
            .unwrap();
        assert_eq!((reply.status, &*reply.body), (200, "the whole tile"));
    }
}

#[test]
fn fails_over_from_unresponsive_upstream_before_deadline() {
    let unresponsive = Upstream::start(|_, _| {
        thread::sleep(Duration::from_secs(20));
        false
    });
    let healthy = Upstream::start(|seen, out| write(out, &ok_response(seen, "tile")));
    let setup = Setup::new(&[&unresponsive, &healthy]);
    for i in 0..6 {
        let started = Instant::now();
        let reply = setup
            .call("GET", "/lookup/a", &format!("id-{i}"), "")
            .unwrap();
        assert_eq!(reply.status, 200);
        assert!(started.elapsed() < Duration::from_secs(3));
    }
}

#[test]
fn resumes_interrupted_stream_without_lost_or_duplicate_events() {
    let script = |cut_at: Option<u64>| {
        move |seen: &ReceivedRequest, out: &mut TcpStream| {
            let after: u64 = seen
                .header("last-event-id")
                .map_or(0, |id| id.parse().unwrap());
            write(out, &stream_response_head(seen));
            for id in after + 1..=9 {
                if cut_at == Some(id) {
                    // Sends part of an event, then closes the connection.
                    write(out, &chunk(&sse_event(id)[..7]));
                    return false;
                }
                write(out, &chunk(&sse_event(id)));
            }
            write(out, "0\r\n\r\n")
        }
    };
    let expected: String = (1..=9).map(sse_event).collect();
    let interrupted = Upstream::start(script(Some(4)));
    let complete = Upstream::start(script(None));
    let setup = Setup::new(&[&interrupted, &complete]);
    for i in 0..8 {
        let reply = setup
            .call("POST", "/notes/a", &format!("id-{i}"), "")
            .unwrap();
        assert!(!reply.is_truncated);
        assert_eq!(reply.body, expected);
    }
    assert!(
        !interrupted.received().is_empty(),
        "no stream was interrupted"
    );
}

/// Guards against ending a stream whose upstream is only silent, because the others are full.
#[test]
fn stream_goes_on_after_a_silence_though_other_upstreams_refuse_it() {
    const EVENTS: u64 = 20;
    const SILENT_FROM: u64 = 8;
    let silent = Upstream::start(|seen, out| {
        let after: u64 = seen
            .header("last-event-id")
            .map_or(0, |id| id.parse().unwrap());
        write(out, &stream_response_head(seen));
        for id in after + 1..=EVENTS {
            // Twice the longest gap of the route, in the first run only.
            let gap = if id == SILENT_FROM && after == 0 {
                800
            } else {
                50
            };
            thread::sleep(Duration::from_millis(gap));
            if !write(out, &chunk(&sse_event(id))) {
                return false;
            }
        }
        write(out, "0\r\n\r\n")
    });
    let full = Upstream::start(|seen, out| write(out, &full_response(seen)));
    let setup = Setup::new(&[&silent, &full]);
    let expected: String = (1..=EVENTS).map(sse_event).collect();
    let refusals = || full.received().len();
    for i in 0..4 {
        let reply = setup
            .call("POST", "/notes/a", &format!("id-{i}"), "")
            .unwrap();
        assert!(!reply.is_truncated, "cut off after {:?}", reply.body);
        assert_eq!(reply.body, expected);
    }
    assert!(refusals() > 0, "no upstream refused the stream");
}

#[test]
fn leaves_response_incomplete_when_stream_cannot_resume() {
    let interrupted = Upstream::start(|seen, out| {
        write(out, &stream_response_head(seen));
        write(out, &chunk(&sse_event(1)));
        false
    });
    let setup = Setup::new(&[&interrupted]);
    let reply = setup.call("POST", "/notes/a", "id-1", "");
    assert!(reply.is_none_or(|reply| reply.is_truncated));
}

#[test]
fn cancels_upstream_request_when_caller_disconnects() {
    let disconnected_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let recorded = disconnected_at.clone();
    let upstream = Upstream::start(move |seen, out| {
        write(out, &stream_response_head(seen));
        let mut id = 0;
        loop {
            id += 1;
            if !write(out, &chunk(&sse_event(id))) {
                *recorded.lock().unwrap() = Some(Instant::now());
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    let setup = Setup::new(&[&upstream]);
    let mut caller = TcpStream::connect(setup.address).unwrap();
    let (name, key) = AUTH_HEADER;
    let request = format!(
        "POST /notes/a HTTP/1.1\r\nhost: previews.example\r\n{name}: {key}\r\n\
         daisyquay-attempt: id-1\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).unwrap();
    let mut buf = [0; 256];
    assert!(caller.read(&mut buf).unwrap() > 0);
    drop(caller);
    let disconnect_time = Instant::now();
    let noticed = eventually("the upstream sees the connection close", || {
        *disconnected_at.lock().unwrap()
    });
    assert!(noticed.saturating_duration_since(disconnect_time) < Duration::from_secs(5));
}

#[test]
fn finishes_open_streams_and_refuses_new_ones_on_shutdown() {
    let upstream = Upstream::start(|seen, out| {
        write(out, &stream_response_head(seen));
        for id in 1..=20 {
            write(out, &chunk(&sse_event(id)));
            thread::sleep(Duration::from_millis(100));
        }
        write(out, "0\r\n\r\n")
    });
    let mut setup = Setup::new(&[&upstream]);
    thread::scope(|scope| {
        let stream = scope.spawn(|| setup.call("POST", "/notes/a", "id-1", ""));
        eventually("the stream has started", || {
            (!upstream.received().is_empty()).then_some(())
        });
        setup.gateway.terminate();
        let refused = eventually("new streams are refused", || {
            let reply = setup.call("POST", "/notes/a", "id-2", "")?;
            (reply.status == 503).then_some(reply)
        });
        assert_eq!(refused.header("retry-after"), "0.00");
        let reply = stream.join().unwrap().unwrap();
        assert!(!reply.is_truncated);
        assert_eq!(reply.body, (1..=20).map(sse_event).collect::<String>());
    });
    eventually("the gateway exits", || setup.gateway.try_exit_code());
    drop(setup.cluster);
}

#[test]
fn gateway_that_may_lag_behind_the_replicas_refuses_unknown_routes_and_keys_temporarily() {
    let upstream = Upstream::start(|seen, out| write(out, &ok_response(seen, "tile")));
    let mut setup = Setup::new(&[&upstream]);
    let unknown_key = [
        ("authorization", "Bearer nobody"),
        ("host", "previews.example"),
        ("daisyquay-attempt", "id-1"),
    ];
    let address = setup.address;
    let with_unknown_key = || send("POST", address, "/lookup/a", &unknown_key, "");
    assert_eq!(with_unknown_key().unwrap().status, 401);
    setup.cluster.replicas[0].kill();
    eventually("an unknown route may be in a newer configuration", || {
        let reply = setup.call("GET", "/nowhere/", "id-2", "")?;
        (reply.status == 503 && !reply.header("retry-after").is_empty()).then_some(())
    });
    assert_eq!(with_unknown_key().unwrap().status, 503);
    // Requests of the configuration that is held are served as before.
    let reply = setup.call("POST", "/lookup/a", "id-3", "").unwrap();
    assert_eq!(reply.status, 200);
    setup.cluster.replicas[0] = setup.cluster.start_replica(0);
    eventually("the route is known not to exist", || {
        let reply = setup.call("GET", "/nowhere/", "id-4", "")?;
        (reply.status == 404).then_some(())
    });
}

#[test]
fn gateway_without_routes_refuses_requests_temporarily() {
    let cluster = Cluster::start(1, 1);
    // The first revision, without a route.
    cluster.apply(INVENTORY, &["--change-id", "first"]);
    let (_gateway, address) = cluster.start_gateway();
    let headers = [("host", "previews.example"), ("daisyquay-attempt", "id-1")];
    for _ in 0..10 {
        let reply = eventually("the gateway listens", || {
            send("GET", address, "/lookup/a", &headers, "")
        });
        assert_eq!(reply.status, 503, "{}", reply.body);
    }
}

#[test]
fn serves_run_once_requests_while_most_upstreams_refuse_connections() {
    let upstream = Upstream::start(|seen, out| write(out, &ok_response(seen, "tile")));
    let setup = Setup::new(&[&upstream]);
    // Nothing listens at the addresses of the others.
    for i in 1..8 {
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        announce(
            &setup.cluster,
            &format!("u{i}"),
            closed.local_addr().unwrap(),
        );
    }
    std::thread::sleep(Duration::from_secs(1));
    for i in 0..30 {
        let reply = setup
            .call("POST", "/hold/a", &format!("id-{i}"), "")
            .unwrap();
        assert_eq!(reply.status, 200, "request {i}: {}", reply.body);
    }
    assert_eq!(upstream.received().len(), 30);
}
