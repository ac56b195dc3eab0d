//! Requests that offer another protocol on their connection, which a server may ignore, and request
//! bodies that do not arrive whole.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::framing::Setup;
use crate::support::AUTH_HEADER;
use crate::support::Caller;
use crate::support::Cluster;
use crate::support::Response;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::write;

/// What a client sends that could speak HTTP/2 on the connection.
const OFFER: &str =
    "connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABk\r\n";

/// Time within which a response must come that waits for nothing.
const PROMPT: Duration = Duration::from_secs(2);

/// Time after the limit of a request within which it must be refused.
const LATENESS: Duration = Duration::from_millis(500);

/// Returns a request for a gateway up to its headers; the caller adds a blank line and the body.
fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let (name, key) = AUTH_HEADER;
    format!(
        "{method} {path} HTTP/1.1\r\nhost: previews.example\r\n{name}: {key}\r\n\
         daisyquay-attempt: {id}\r\ndaisyquay-deadline-ms: {deadline_ms}\r\n"
    )
}

/// Returns a gateway in front of an upstream that returns the body which it receives.
fn start_echo() -> (Setup, Upstream) {
    let upstream = Upstream::start(|seen, out| {
        let body = format!("{}:{}", seen.attempt_id(), seen.body);
        write(out, &ok_response(seen, &body))
    });
    (Setup::new(&[&upstream]), upstream)
}

/// Sends `text` on a new connection and receives as many responses as `ids` has; their bodies start
/// with these ids.
fn exchange(address: SocketAddr, text: &str, ids: &[&str]) -> Vec<Response> {
    let mut caller = Caller::connect(address).unwrap();
    let start = Instant::now();
    assert!(caller.send_text(text));
    let replies: Vec<Response> = ids
        .iter()
        .map(|id| {
            let reply = caller
                .receive()
                .unwrap_or_else(|| panic!("{id}: no response"));
            assert_eq!(reply.status, 200, "{id}: {}", reply.body);
            assert!(reply.body.starts_with(&format!("{id}:")), "{}", reply.body);
            assert_eq!(reply.header("connection"), "", "{id}");
            reply
        })
        .collect();
    assert!(start.elapsed() < PROMPT, "after {:?}", start.elapsed());
    // The connection is still used.
    let next = format!("{}\r\n", request("GET", "/lookup/a", "next", 6000));
    assert!(caller.send_text(&next));
    assert_eq!(caller.receive().map(|reply| reply.status), Some(200));
    replies
}

/// Guards against requests that wait for a body without an end, and against offers that reach an
/// upstream, which another connection could not keep.
#[test]
fn requests_that_offer_an_upgrade_are_answered_on_a_connection_that_stays_open() {
    let (setup, upstream) = start_echo();
    let first = format!(
        "{}{OFFER}\r\n",
        request("GET", "/lookup/a?b=%20c", "first", 6000)
    );
    let second = format!(
        "{}{OFFER}\r\n",
        request("DELETE", "/hold/a", "second", 6000)
    );
    let plain = format!("{}\r\n", request("GET", "/lookup/b", "third", 6000));
    exchange(setup.address, &first, &["first"]);
    let pipelined = format!("{first}{second}{plain}{first}");
    exchange(
        setup.address,
        &pipelined,
        &["first", "second", "third", "first"],
    );
    // The offer alone, without the header that names it.
    let bare = format!(
        "{}upgrade: h2c\r\n\r\n",
        request("GET", "/lookup/a", "bare", 6000)
    );
    exchange(setup.address, &bare, &["bare"]);
    // Options that contain the name of another.
    let odd = request("GET", "/lookup/a", "odd", 6000);
    let odd =
        format!("{odd}connection: x-upgrade, keep-alive\r\nx-upgrade: 1\r\nupgrade: a\r\n\r\n");
    exchange(setup.address, &odd, &["odd"]);
    for seen in upstream.received() {
        for name in ["upgrade", "http2-settings", "connection"] {
            assert_eq!(seen.header(name), None, "{name} of {}", seen.attempt_id());
        }
        if seen.attempt_id() == "first" {
            assert_eq!(seen.request_line, "GET /lookup/a?b=%20c HTTP/1.1\r\n");
        }
    }
}

/// Guards against bodies of requests with an offer that lose their end, or take in the next request.
#[test]
fn bodies_of_requests_that_offer_an_upgrade_end_with_their_length() {
    let (setup, _upstream) = start_echo();
    let next = format!("{}\r\n", request("GET", "/lookup/b", "next", 6000));
    let websocket = "connection: Upgrade\r\nupgrade: websocket\r\n";
    let cases = [
        ("length", format!("content-length: 5\r\n{OFFER}\r\nhello")),
        (
            "chunks",
            format!("transfer-encoding: chunked\r\n{OFFER}\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"),
        ),
        (
            "socket",
            format!("content-length: 5\r\n{websocket}\r\nhello"),
        ),
    ];
    for (id, rest) in &cases {
        let text = format!("{}{rest}{next}", request("POST", "/lookup/a", id, 6000));
        let replies = exchange(setup.address, &text, &[id, "next"]);
        assert_eq!(replies[0].body, format!("{id}:hello"));
    }
    let text = request("POST", "/lookup/a", "empty", 6000);
    let text = format!("{text}content-length: 0\r\n{OFFER}\r\n{next}");
    exchange(setup.address, &text, &["empty", "next"]);
    // The caller waits for the interim response before it sends the body.
    let mut caller = Caller::connect(setup.address).unwrap();
    let head = request("POST", "/lookup/a", "expected", 6000);
    assert!(caller.send_text(&format!(
        "{head}expect: 100-continue\r\ncontent-length: 5\r\n{OFFER}\r\n"
    )));
    assert_eq!(caller.receive().map(|reply| reply.status), Some(100));
    assert!(caller.send_text("hello"));
    let reply = caller.receive().unwrap();
    assert_eq!((reply.status, &*reply.body), (200, "expected:hello"));
}

/// Guards against a tunnel that is never opened and never refused.
#[test]
fn connect_request_is_refused_at_once() {
    let (setup, upstream) = start_echo();
    for offer in ["", OFFER] {
        let mut caller = Caller::connect(setup.address).unwrap();
        let start = Instant::now();
        let text = format!(
            "CONNECT previews.example:443 HTTP/1.1\r\nhost: previews.example:443\r\n{offer}\r\n"
        );
        assert!(caller.send_text(&text));
        assert_eq!(caller.receive().map(|reply| reply.status), Some(405));
        assert!(caller.is_closed());
        assert!(start.elapsed() < PROMPT);
    }
    assert!(upstream.received().is_empty());
}

/// Guards against entries that wait for the end of a body which ends with its connection only.
#[test]
fn entries_answer_requests_that_offer_an_upgrade() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let (_app, _) = cluster.start_announced_standin("app-1", &["--service", "previews"]);
    let entry = cluster.entry_addresses[0];
    let (name, key) = AUTH_HEADER;
    for (path, status) in [
        ("/app/previews/covers/7", 200),
        ("/v1/models", 200),
        ("/nowhere", 404),
    ] {
        eventually("the entry answers as usual", || {
            let mut caller = Caller::connect(entry)?;
            let start = Instant::now();
            let text = format!("GET {path} HTTP/1.1\r\nhost: a\r\n{name}: {key}\r\n{OFFER}\r\n");
            assert!(caller.send_text(&text));
            let reply = caller.receive()?;
            assert!(start.elapsed() < PROMPT, "{path}: {:?}", start.elapsed());
            (reply.status == status).then_some(())
        });
    }
}

/// Guards against requests that are held beyond their time limit because their body stops halfway.
#[test]
fn request_whose_body_stops_halfway_is_refused_at_its_time_limit() {
    let (setup, upstream) = start_echo();
    // The route's own limit is 1.5 s.
    for (id, deadline_ms, limit_ms) in [("route", 6000, 1500), ("deadline", 600, 600)] {
        for rest in [
            "content-length: 9\r\n\r\nhalf",
            "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        ] {
            let limit = Duration::from_millis(limit_ms);
            let mut caller = Caller::connect(setup.address).unwrap();
            let start = Instant::now();
            let text = format!("{}{rest}", request("POST", "/hold/a", id, deadline_ms));
            assert!(caller.send_text(&text));
            let reply = caller.receive().unwrap();
            let elapsed = start.elapsed();
            assert_eq!(reply.status, 408, "{}", reply.body);
            assert_eq!(reply.header("connection"), "close");
            assert_eq!(reply.json()["error"]["code"], "body_late");
            assert!(
                elapsed >= limit && elapsed < limit + LATENESS,
                "{id}: after {elapsed:?}"
            );
            assert!(caller.is_closed());
            assert!(start.elapsed() < limit + LATENESS);
        }
    }
    assert!(upstream.received().is_empty());
}
