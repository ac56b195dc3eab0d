//! Upstreams that write an old response once more, cut off a response's head, or answer with an
//! error where a stream is to be resumed. Each case goes through the gateway and through an entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

use crate::gateway::ROUTES;
use crate::models::ROUTE as LADDER_ROUTE;
use crate::support::AUTH_HEADER;
use crate::support::CONDITION_TIMEOUT;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Program;
use crate::support::ReceivedRequest;
use crate::support::Response;
use crate::support::Upstream;
use crate::support::chat_body;
use crate::support::chunk;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::post;
use crate::support::send;
use crate::support::sse_event;
use crate::support::stream_response_head;
use crate::support::write;

/// Part of the text of an error that no caller may find in its stream.
const ERROR_TEXT: &str = "no tokens left";

/// A cluster with a gateway and an entry in front of scripted upstreams.
struct Setup {
    cluster: Cluster,
    _gateway: Program,
    gateway: SocketAddr,
    entry: SocketAddr,
}

impl Setup {
    /// Announces `upstreams`, each with what it serves.
    fn new(inventory: &str, upstreams: &[(&Upstream, serde_json::Value)]) -> Self {
        Self::with_entries(1, inventory, upstreams)
    }

    fn with_entries(
        entries: usize,
        inventory: &str,
        upstreams: &[(&Upstream, serde_json::Value)],
    ) -> Self {
        let cluster = Cluster::start(1, entries);
        cluster.apply(inventory, &["--change-id", "first"]);
        for (i, (upstream, serves)) in upstreams.iter().enumerate() {
            let body = json!({
                "id": format!("u{i}"),
                "incarnation": 1,
                "address": upstream.address.to_string(),
                "data_centre": "dc1",
                "serves": serves,
                "slots": 8,
            });
            let key = [("authorization", "Bearer dev-upstream-key")];
            eventually("the upstream is announced", || {
                let entry = cluster.entry_addresses[0];
                let reply = post(entry, "/upstream/announce", &key, &body.to_string())?;
                (reply.status == 204).then_some(())
            });
        }
        eventually("the upstreams are announced", || {
            let rows = cluster.show("upstreams");
            (rows.as_array()?.len() == upstreams.len()).then_some(())
        });
        let (program, gateway) = cluster.start_gateway();
        let entry = cluster.entry_addresses[0];
        let setup = Self {
            cluster,
            _gateway: program,
            gateway,
            entry,
        };
        eventually("the gateway has its routes", || {
            let reply = setup.call("/nowhere/", "probe")?;
            (reply.status == 404).then_some(())
        });
        // Entries learn of the upstreams with their next renewal.
        thread::sleep(Duration::from_secs(1));
        setup
    }

    /// Sends a request through the gateway.
    fn call(&self, path: &str, id: &str) -> Option<Response> {
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", id),
            ("daisyquay-deadline-ms", "6000"),
            ("daisyquay-model", "*"),
        ];
        post(self.gateway, path, &headers, "")
    }

    /// Calls the plain service through the entry.
    fn call_service(&self, method: &str, path: &str) -> Response {
        let path = format!("/app/previews{path}");
        send(method, self.entry, &path, &[AUTH_HEADER], "").unwrap()
    }
}

fn previews() -> serde_json::Value {
    json!({ "service": "previews" })
}

fn notes() -> serde_json::Value {
    json!({ "versions": ["notes@small"] })
}

/// The connections that an upstream has answered on.
#[derive(Default)]
struct Connections(Mutex<BTreeSet<u16>>);

impl Connections {
    /// Returns whether an earlier request came on the connection.
    fn is_kept(&self, out: &TcpStream) -> bool {
        let port = out.peer_addr().unwrap().port();
        !self.0.lock().unwrap().insert(port)
    }
}

/// Returns the number of upstreams that received a request to `path`.
fn received_at(upstreams: &[&Upstream], path: &str) -> usize {
    let received = upstreams.iter().flat_map(|upstream| upstream.received());
    let mine = received.filter(|seen| seen.request_line.contains(path));
    mine.count()
}

/// Returns the variant of a test's request: the end of its path, or its chat message.
fn variant(seen: &ReceivedRequest) -> String {
    let path = seen.request_line.split(' ').nth(1).unwrap();
    if path.ends_with("/completions") {
        let body: serde_json::Value = serde_json::from_str(&seen.body).unwrap();
        let prompt = &body["messages"][0]["content"];
        return prompt.as_str().unwrap().to_owned();
    }
    path.split('/').nth(2).unwrap().to_owned()
}

/// Guards against a request that is reported as not run, is run twice or gets a stranger's answer
/// because an old response without an id came on a kept connection.
#[test]
fn old_response_on_a_kept_connection_does_not_pass_as_the_next_requests() {
    const REQUESTS: u32 = 8;
    let old_count: Arc<AtomicU32> = Arc::default();
    let script = || {
        let (kept, count) = (Connections::default(), old_count.clone());
        move |seen: &ReceivedRequest, out: &mut TcpStream| {
            if kept.is_kept(out) {
                let (status, not_run) = match &*variant(seen) {
                    "200" => ("200 OK", ""),
                    "503" => ("503 Full", "daisyquay-not-run: 1\r\n"),
                    "429" => ("429 Later", "daisyquay-not-run: 1\r\n"),
                    "421" => ("421 Other", "daisyquay-not-run: 1\r\n"),
                    // Tells of the load of another request's time, besides.
                    "other-id" => (
                        "503 Full",
                        "daisyquay-not-run: 1\r\ndaisyquay-attempt: stranger\r\nretry-after: 30\r\n",
                    ),
                    variant => panic!("unknown variant {variant}"),
                };
                count.fetch_add(1, Ordering::SeqCst);
                write(
                    out,
                    &format!("HTTP/1.1 {status}\r\n{not_run}content-length: 3\r\n\r\nold"),
                );
                thread::sleep(Duration::from_millis(50));
            }
            write(out, &ok_response(seen, "own"))
        }
    };
    let (a, b) = (Upstream::start(script()), Upstream::start(script()));
    let inventory = format!("{INVENTORY}{ROUTES}");
    let setup = Setup::new(&inventory, &[(&a, previews()), (&b, previews())]);
    let mut faults = Vec::new();
    for case in ["503", "429", "421", "200", "other-id"] {
        let before = old_count.load(Ordering::SeqCst);
        for i in 0..REQUESTS {
            let path = format!("/hold/{case}/gateway-{i}");
            let reply = setup.call(&path, &format!("{case}-{i}")).unwrap();
            let is_own = reply.status == 200 && reply.body == "own";
            let runs = received_at(&[&a, &b], &path);
            if runs != 1 || !is_own && reply.status != 502 {
                faults.push(format!(
                    "{path}: {} {}, {runs} runs",
                    reply.status, reply.body
                ));
            }
        }
        let after = old_count.load(Ordering::SeqCst);
        assert!(after > before, "{case}: the gateway kept no connection");
        for i in 0..REQUESTS {
            let path = format!("/holds/{case}/entry-{i}");
            let reply = setup.call_service("POST", &path);
            let is_own = reply.status == 200 && reply.body == "own";
            let runs = received_at(&[&a, &b], &path);
            let may_have_run = reply.header("daisyquay-ran") == "unknown";
            if runs != 1 || !is_own && !may_have_run {
                faults.push(format!(
                    "{path}: {} {}, {runs} runs",
                    reply.status, reply.body
                ));
            }
        }
        let last = old_count.load(Ordering::SeqCst);
        assert!(last > after, "{case}: the entry kept no connection");
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against bytes that follow a response as part of the response to the next request.
#[test]
fn bytes_after_a_response_close_its_connection() {
    const REQUESTS: u32 = 5;
    let kept_count: Arc<AtomicU32> = Arc::default();
    let (kept, count) = (Connections::default(), kept_count.clone());
    let upstream = Upstream::start(move |seen, out| {
        if kept.is_kept(out) {
            count.fetch_add(1, Ordering::SeqCst);
        }
        let own = ok_response(seen, "own");
        let more = match &*variant(seen) {
            "none" => "",
            "same-segment-bytes" | "later-bytes" => "\0\0\0",
            "same-segment-response" | "later-response" => {
                "HTTP/1.1 503 Full\r\ndaisyquay-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            }
            variant => panic!("unknown variant {variant}"),
        };
        if variant(seen).starts_with("later") {
            write(out, &own);
            thread::sleep(Duration::from_millis(50));
            return write(out, more);
        }
        write(out, &format!("{own}{more}"))
    });
    let inventory = format!("{INVENTORY}{ROUTES}");
    let setup = Setup::new(&inventory, &[(&upstream, previews())]);
    for case in [
        "none",
        "same-segment-bytes",
        "later-bytes",
        "same-segment-response",
        "later-response",
    ] {
        for is_gateway in [true, false] {
            let before = kept_count.load(Ordering::SeqCst);
            for i in 0..REQUESTS {
                let reply = if is_gateway {
                    let id = format!("{case}-{i}");
                    setup.call(&format!("/hold/{case}"), &id).unwrap()
                } else {
                    setup.call_service("POST", &format!("/holds/{case}"))
                };
                assert_eq!((reply.status, &*reply.body), (200, "own"), "{case}");
                if case.starts_with("later") {
                    thread::sleep(Duration::from_millis(200));
                }
            }
            let kept = kept_count.load(Ordering::SeqCst) - before;
            // Each worker of the entry has connections of its own, and its first request may come on
            // one of the case before.
            let workers = if is_gateway { 1 } else { 2 };
            let expected = if case == "none" {
                REQUESTS - workers..=REQUESTS
            } else {
                0..=workers
            };
            assert!(
                expected.contains(&kept),
                "{case}: {kept} reused connections"
            );
        }
    }
}

/// Guards against a request that is reported as not run, or is run twice, after its upstream closed
/// the connection before the end of the response's head, and against a 2xx of part of a head.
#[test]
fn response_that_ends_within_its_head_is_no_answer_and_may_have_run() {
    const HEADS: [&str; 5] = [
        "",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ndaisyquay-signature: s\r\ncontent-length: 0\r\n",
    ];
    let script = |seen: &ReceivedRequest, out: &mut TcpStream| {
        write(out, HEADS[variant(seen).parse::<usize>().unwrap()]);
        false
    };
    // Enough of them that circuit breakers leave some.
    let services: Vec<Upstream> = (0..8).map(|_| Upstream::start(script)).collect();
    let engines: Vec<Upstream> = (0..8).map(|_| Upstream::start(script)).collect();
    let services_row = services.iter().map(|upstream| (upstream, previews()));
    let engines_row = engines.iter().map(|upstream| (upstream, notes()));
    let announced: Vec<_> = services_row.chain(engines_row).collect();
    let setup = Setup::new(&format!("{INVENTORY}{ROUTES}"), &announced);
    let services: Vec<&Upstream> = services.iter().collect();
    let mut faults = Vec::new();
    for (i, head) in HEADS.iter().enumerate() {
        for route in ["lookup", "hold", "notes"] {
            let path = format!("/{route}/{i}/gateway");
            let reply = setup.call(&path, &format!("{route}-{i}")).unwrap();
            let runs = received_at(&services, &path);
            let most = if route == "hold" { 1 } else { 3 };
            if reply.status != 502 || !(1..=most).contains(&runs) {
                faults.push(format!(
                    "{path} {head:?}: {} {}, {runs} runs",
                    reply.status, reply.body
                ));
            }
        }
        for (method, most) in [("POST", 1), ("GET", 3)] {
            let path = format!("/holds/{i}/entry-{method}");
            let reply = setup.call_service(method, &path);
            let runs = received_at(&services, &path);
            let ran = reply.header("daisyquay-ran");
            if reply.status < 500 || ran != "unknown" || !(1..=most).contains(&runs) {
                faults.push(format!(
                    "{method} {path} {head:?}: {} ran={ran}, {runs} runs",
                    reply.status
                ));
            }
        }
        for is_streaming in [false, true] {
            let body = chat_body("notes@small", &i.to_string(), 4, is_streaming);
            let reply = setup.cluster.chat(0, &[], &body).unwrap();
            let ran = reply.header("daisyquay-ran");
            if reply.status < 500 || ran != "unknown" {
                faults.push(format!("chat {head:?}: {} ran={ran}", reply.status));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Sends a request and returns all bytes that come back until the connection ends.
fn exchange(address: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let (name, value) = AUTH_HEADER;
    let request = format!(
        "POST {head}\r\n{name}: {value}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8(received).unwrap()
}

/// Answers a request to resume a stream with an error in the form that the request asks for.
fn write_error(seen: &ReceivedRequest, out: &mut TcpStream) -> bool {
    let id = seen.attempt_id();
    let error = json!({ "error": { "message": ERROR_TEXT } });
    let (status, content_type, body) = match &*variant(seen) {
        "500" => ("500 Failed", "text/event-stream", ERROR_TEXT.to_owned()),
        "200-text" => ("200 OK", "text/plain", ERROR_TEXT.to_owned()),
        "200-json" => ("200 OK", "application/json", error.to_string()),
        "206" => (
            "206 Part",
            "text/event-stream",
            format!("id: 2\ndata: {ERROR_TEXT}\n\n"),
        ),
        "error-event" => (
            "200 OK",
            "text/event-stream",
            format!("data: {error}\n\ndata: [DONE]\n\n"),
        ),
        "error-event-with-id" => (
            "200 OK",
            "text/event-stream",
            format!("data: {{\"id\":\"{id}\",\"error\":\"{ERROR_TEXT}\"}}\n\ndata: [DONE]\n\n"),
        ),
        "event-without-id" => (
            "200 OK",
            "text/event-stream",
            format!("data: {ERROR_TEXT}\n\n"),
        ),
        "earlier-event" => (
            "200 OK",
            "text/event-stream",
            format!("id: 1\ndata: {ERROR_TEXT}\n\n"),
        ),
        "refused" => (
            "503 Full\r\ndaisyquay-not-run: 1",
            "text/event-stream",
            ERROR_TEXT.to_owned(),
        ),
        variant => panic!("unknown variant {variant}"),
    };
    write(
        out,
        &format!(
            "HTTP/1.1 {status}\r\ndaisyquay-attempt: {id}\r\ndaisyquay-signature: s\r\n\
             content-type: {content_type}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ),
    )
}

/// Guards against an error of the upstream that is to resume a stream in the middle of the stream,
/// and against a stream that ends there as if it were complete.
#[test]
fn error_where_a_stream_is_resumed_never_reaches_the_stream_or_ends_it_as_complete() {
    let script = |seen: &ReceivedRequest, out: &mut TcpStream| {
        let is_chat = seen.request_line.contains("/completions");
        if seen.header("last-event-id").is_some() || seen.header("daisyquay-resume-at").is_some() {
            return write_error(seen, out);
        }
        if seen.request_line.contains("/lookup/") {
            return write(out, &ok_response(seen, "tile"));
        }
        write(out, &stream_response_head(seen));
        let first = if is_chat {
            token_event(seen.attempt_id(), "first ")
        } else {
            sse_event(1)
        };
        write(out, &chunk(&first));
        false
    };
    let services: Vec<Upstream> = (0..8).map(|_| Upstream::start(script)).collect();
    let engines: Vec<Upstream> = (0..8).map(|_| Upstream::start(script)).collect();
    let services_row = services.iter().map(|upstream| (upstream, previews()));
    let engines_row = engines.iter().map(|upstream| (upstream, notes()));
    let announced: Vec<_> = services_row.chain(engines_row).collect();
    // Each entry has a budget for retries, which one entry would spend on a few cases.
    let setup = Setup::with_entries(3, &format!("{INVENTORY}{ROUTES}"), &announced);
    let resumed = |upstreams: &[Upstream], case: &str| {
        let received = upstreams.iter().flat_map(|upstream| upstream.received());
        let resumed = received.filter(|seen| {
            let is_resume = seen.header("last-event-id").is_some()
                || seen.header("daisyquay-resume-at").is_some();
            is_resume && variant(seen) == case
        });
        resumed.count()
    };
    // Requests that succeed earn the budget of the retries.
    for i in 0..40 {
        setup.call("/lookup/a", &format!("lookup-{i}"));
    }
    let cases = ["500", "200-text", "200-json", "206", "refused"];
    let mut faults = Vec::new();
    for case in cases.iter().chain(&["event-without-id", "earlier-event"]) {
        let head = format!(
            "/notes/{case} HTTP/1.1\r\nhost: previews.example\r\ndaisyquay-attempt: {case}"
        );
        let received = exchange(setup.gateway, &head, "");
        let body = received.split_once("\r\n\r\n").map(|(_, body)| body);
        if !received.starts_with("HTTP/1.1 200") || body != Some(&*chunk(&sse_event(1))) {
            faults.push(format!("gateway, {case}: {received}"));
        }
        assert!(
            resumed(&services, case) > 0,
            "{case}: nothing was resumed: {received}"
        );
    }
    let event_cases = ["error-event", "error-event-with-id"];
    for (i, case) in cases.iter().chain(&event_cases).enumerate() {
        let entry = setup.cluster.entry_addresses[i % 3];
        let head = "/v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json";
        let body = chat_body("notes@small", case, 4, true);
        let received = exchange(entry, head, &body);
        let is_marked = received.contains("\"code\":\"stream_broken\"");
        let has_stranger = received.contains(ERROR_TEXT)
            || received.contains("[DONE]")
            || received.matches("HTTP/1.1").count() != 1;
        if !received.contains("\"first \"") || !is_marked || has_stranger {
            faults.push(format!("entry, {case}: {received}"));
        }
        assert!(resumed(&engines, case) > 0, "{case}: nothing was resumed");
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Returns the ids that came more than once on one connection.
fn repeated(received: &Mutex<BTreeMap<(u16, String), u32>>) -> Vec<String> {
    let received = received.lock().unwrap();
    let repeated = received.iter().filter(|(_, count)| **count > 1);
    repeated.map(|((_, id), _)| id.clone()).collect()
}

/// Guards against an old response to the first attempt of a request that passes as the response to
/// a later one: both have the same id, so only their connections tell them apart.
#[test]
fn second_attempt_at_an_upstream_does_not_use_the_connection_of_the_first() {
    let received: Arc<Mutex<BTreeMap<(u16, String), u32>>> = Arc::default();
    let visits: Arc<AtomicU32> = Arc::default();
    let record = {
        let received = received.clone();
        move |seen: &ReceivedRequest, out: &TcpStream| {
            let key = (
                out.peer_addr().unwrap().port(),
                seen.attempt_id().to_owned(),
            );
            *received.lock().unwrap().entry(key).or_default() += 1;
        }
    };
    let log = record.clone();
    let count = visits.clone();
    let refusing = Upstream::start(move |seen, out| {
        log(seen, out);
        if seen.header("daisyquay-model") == Some("large") {
            count.fetch_add(1, Ordering::SeqCst);
            let body = sse_event(1);
            return write(out, &event_stream(seen, 90, &body));
        }
        let id = seen.attempt_id();
        write(
            out,
            &format!(
                "HTTP/1.1 503 Full\r\ndaisyquay-attempt: {id}\r\ndaisyquay-not-run: 1\r\n\
                 content-length: 0\r\n\r\n"
            ),
        )
    });
    let doubtful = Upstream::start(move |seen, out| {
        record(seen, out);
        let body = sse_event(1);
        write(out, &event_stream(seen, 0, &body))
    });
    let (before_keys, _) = INVENTORY.split_once("[[upstream_keys]]").unwrap();
    let inventory = format!("{before_keys}{LADDER_ROUTE}");
    let setup = Setup::new(
        &inventory,
        &[(&refusing, previews()), (&doubtful, previews())],
    );
    let (mut sent, start) = (0, Instant::now());
    // A gateway that has just started has budget for few escalations.
    while visits.load(Ordering::SeqCst) < 12 {
        let has_time = start.elapsed() < CONDITION_TIMEOUT;
        assert!(has_time, "the refusing upstream was not visited again");
        sent += 1;
        setup.call("/chat/a", &format!("id-{sent}"));
    }
    assert_eq!(repeated(&received), Vec::<String>::new());
}

/// Returns a stream of one event that states the model's confidence.
fn event_stream(seen: &ReceivedRequest, confidence: u32, event: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: s\r\n\
         daisyquay-confidence: {confidence}\r\ncontent-type: text/event-stream\r\n\
         content-length: {}\r\n\r\n{event}",
        seen.attempt_id(),
        event.len()
    )
}

/// Guards against the rating of one response that passes as the rating of another.
#[test]
fn rating_without_an_id_never_comes_on_a_reused_connection() {
    const RATINGS: usize = 5;
    let kept_count: Arc<AtomicU32> = Arc::default();
    let rater = |echoes: bool| {
        let (kept, count) = (Connections::default(), kept_count.clone());
        Upstream::start(move |seen, out| {
            if kept.is_kept(out) {
                count.fetch_add(1, Ordering::SeqCst);
            }
            let echo = if echoes {
                format!("daisyquay-attempt: {}\r\n", seen.attempt_id())
            } else {
                String::new()
            };
            let body = "{\"score\":0.5}";
            let head = format!(
                "HTTP/1.1 200 OK\r\n{echo}content-type: application/json\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            );
            write(out, &format!("{head}{body}"))
        })
    };
    let raters = [rater(false), rater(true)];
    let mut cluster = Cluster::start(1, 0);
    for rater in &raters {
        cluster.entry_flags = vec!["--rater".to_owned(), rater.address.to_string()];
        cluster.add_entry("dc1");
    }
    let inventory = INVENTORY.replace("rating_share = 0.1", "rating_share = 1.0");
    cluster.apply(&inventory, &["--change-id", "first"]);
    let (_runner, _) = cluster.start_announced_standin("runner-1", &["--versions", "notes@small"]);
    let mut kept = Vec::new();
    for (i, rater) in raters.iter().enumerate() {
        for rated in 1..=RATINGS {
            let body = chat_body("notes@small", "hello", 2, false);
            let reply = cluster.chat(i, &[], &body).unwrap();
            assert_eq!(reply.status, 200, "{}", reply.body);
            eventually("the response is rated", || {
                (rater.received().len() == rated).then_some(())
            });
        }
        kept.push(kept_count.swap(0, Ordering::SeqCst) > 0);
    }
    assert_eq!(kept, [false, true], "reuse without and with an id");
}

/// Guards against an old response to the first attempt of a chat request that passes as the response
/// to a later one at the same upstream.
#[test]
fn attempts_of_a_chat_request_at_one_upstream_have_different_ids() {
    let failing_first = Upstream::start(move |seen, out| {
        let id = seen.attempt_id();
        if seen.header("daisyquay-resume-at").is_none() {
            return write(
                out,
                &format!(
                    "HTTP/1.1 500 Failed\r\ndaisyquay-attempt: {id}\r\ncontent-length: 0\r\n\r\n"
                ),
            );
        }
        let choice = json!({ "index": 0, "delta": {}, "finish_reason": "stop" });
        let finish = json!({ "id": id, "choices": [choice] });
        write(out, &stream_response_head(seen));
        write(out, &chunk(&format!("data: {finish}\n\ndata: [DONE]\n\n")));
        write(out, "0\r\n\r\n")
    });
    let breaking = Upstream::start(|seen, out| {
        write(out, &stream_response_head(seen));
        write(out, &chunk(&token_event(seen.attempt_id(), "first ")));
        false
    });
    let upstreams = [(&failing_first, notes()), (&breaking, notes())];
    let setup = Setup::with_entries(3, &format!("{INVENTORY}{ROUTES}"), &upstreams);
    let is_resumed = || {
        let received = failing_first.received();
        let mut resumed = received
            .iter()
            .filter(|seen| seen.header("daisyquay-resume-at").is_some());
        resumed.any(|seen| {
            let (request, _) = seen.attempt_id().rsplit_once('-').unwrap();
            let mine = received
                .iter()
                .filter(|seen| seen.attempt_id().starts_with(request));
            mine.count() > 1
        })
    };
    let mut sent = 0;
    while !is_resumed() {
        assert!(sent < 30, "no stream was resumed where it had failed");
        let body = chat_body("notes@small", "hello", 4, true);
        let _ = setup.cluster.chat(sent % 3, &[], &body);
        sent += 1;
    }
    let received = failing_first.received();
    let ids: BTreeSet<&str> = received.iter().map(|seen| seen.attempt_id()).collect();
    assert_eq!(ids.len(), received.len(), "{ids:?}");
}

/// Returns the event of a chat stream with one token.
fn token_event(id: &str, text: &str) -> String {
    let choice = json!({ "index": 0, "delta": { "content": text }, "finish_reason": null });
    let event = json!({ "id": id, "choices": [choice] });
    format!("data: {event}\n\n")
}
