//! Numbers at the ends of their types, as upstreams, callers and announcements send them.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use serde_json::json;

use crate::framing::Setup;
use crate::support::AUTH_HEADER;
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

/// Requests of one test: several for each of its header lines.
const REQUESTS: usize = 120;

/// Header lines with numbers that no sound upstream sends.
const RESPONSE_HEADERS: &[&str] = &[
    "keep-alive: timeout=18446744073709551615",
    "keep-alive: timeout=9223372036854775808",
    "keep-alive: timeout=9223372036854775807",
    "keep-alive: max=1, timeout=18446744073709551615",
    "keep-alive: timeout=99999999999999999999999999",
    "keep-alive: timeout=0",
    "keep-alive: timeout=-1",
    "keep-alive: timeout=1e308",
    "retry-after: 18446744073709551615",
    "retry-after: 1e308",
    "retry-after: inf",
    "retry-after: nan",
    "daisyquay-rate-limit: inf",
    "daisyquay-rate-limit: nan",
    "daisyquay-rate-limit: 1e308",
    "daisyquay-rate-limit: 18446744073709551615",
    "daisyquay-brittle: inf",
    "daisyquay-brittle: 1e308",
    "daisyquay-brittle: 1e-320",
    "daisyquay-cold-ms: 18446744073709551615",
    "daisyquay-load: 4294967295,4294967295,4294967295",
    "daisyquay-load: 18446744073709551615,0,0",
    "daisyquay-confidence: 18446744073709551615",
    "daisyquay-confidence: nan",
];

/// Headers of callers with such numbers.
const REQUEST_HEADERS: &[(&str, &str)] = &[
    ("daisyquay-deadline-ms", "18446744073709551615"),
    ("daisyquay-deadline-ms", "1e308"),
    (
        "daisyquay-tokens",
        "18446744073709551615,18446744073709551615",
    ),
    ("daisyquay-length-hint", "18446744073709551615"),
    (
        "daisyquay-prompt",
        "ffffffffffffffff:18446744073709551615,1:18446744073709551615,2:1",
    ),
    ("last-event-id", "18446744073709551615"),
    ("keep-alive", "timeout=18446744073709551615"),
];

impl Setup {
    fn call_with(&self, path: &str, id: &str, extra: &[(&str, &str)]) -> Option<Response> {
        let mut headers = vec![
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", id),
        ];
        headers.extend(extra);
        send("GET", self.address, path, &headers, "")
    }

    /// Panics if a process has ended by itself.
    fn check_running(&mut self, cause: &str) {
        assert_eq!(self.gateway.try_exit_code(), None, "gateway, after {cause}");
        for program in &mut self.cluster.entries {
            assert_eq!(program.try_exit_code(), None, "entry, after {cause}");
        }
        for program in &mut self.cluster.replicas {
            assert_eq!(program.try_exit_code(), None, "replica, after {cause}");
        }
    }
}

/// Returns a response with a further header line.
fn with_header(response: &str, line: &str) -> String {
    response.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

fn sound_upstream() -> Upstream {
    Upstream::start(|seen, out| write(out, &response(seen)))
}

fn response(seen: &ReceivedRequest) -> String {
    if !seen.request_line.contains("/notes/") {
        return ok_response(seen, "tile");
    }
    let head = stream_response_head(seen);
    format!("{head}{}0\r\n\r\n", chunk(&sse_event(1)))
}

/// Guards against a number in one response that ends the gateway, and with it all its requests: a
/// large `Keep-Alive` overflowed the instant at which the connection expires.
#[test]
fn gateway_outlives_extreme_numbers_in_response_headers() {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let spoiled = Upstream::start(|seen, out| {
        let line = RESPONSE_HEADERS[NEXT.fetch_add(1, Ordering::SeqCst) % RESPONSE_HEADERS.len()];
        write(out, &with_header(&response(seen), line))
    });
    let sound = sound_upstream();
    let mut setup = Setup::new(&[&spoiled, &sound]);
    for path in ["/lookup/a", "/hold/a", "/notes/a"] {
        let id = path.replace('/', "-");
        for i in 0..REQUESTS {
            let reply = setup.call_with(path, &format!("{id}-{i}"), &[]);
            setup.check_running(path);
            let reply = reply.unwrap_or_else(|| panic!("no response to {id}-{i}"));
            assert!(!reply.is_truncated, "{id}-{i}");
        }
    }
    assert!(NEXT.load(Ordering::SeqCst) >= RESPONSE_HEADERS.len());
    // What the spoiled upstream asked for keeps nothing from the sound one.
    let reply = setup.call_with("/lookup/a", "last", &[]).unwrap();
    assert_eq!((reply.status, &*reply.body), (200, "tile"));
}

/// Guards against the same in an entry, whose connections to engines use the same pool.
#[test]
fn entry_outlives_extreme_numbers_in_response_headers() {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let spoiled = Upstream::start(|seen, out| {
        let line = RESPONSE_HEADERS[NEXT.fetch_add(1, Ordering::SeqCst) % RESPONSE_HEADERS.len()];
        let response = crate::support::chat_response(seen);
        write(out, &with_header(&response, line))
    });
    let sound = sound_upstream();
    let mut setup = Setup::new(&[&sound]);
    let entry = setup.cluster.entry_addresses[0];
    let announcement = json!({
        "id": "engine", "incarnation": 1, "address": spoiled.address.to_string(),
        "data_centre": "dc1", "serves": { "versions": ["notes@large"] }, "slots": 8,
    });
    let headers = [("authorization", "Bearer dev-upstream-key")];
    let reply = post(
        entry,
        "/upstream/announce",
        &headers,
        &announcement.to_string(),
    )
    .unwrap();
    assert_eq!(reply.status, 204, "{}", reply.body);
    eventually("the engine is used", || {
        let _ = setup
            .cluster
            .chat(0, &[], &chat_body("notes@large", "hello", 4, false));
        (NEXT.load(Ordering::SeqCst) > 0).then_some(())
    });
    for _ in 0..RESPONSE_HEADERS.len() {
        let reply = setup
            .cluster
            .chat(0, &[], &chat_body("notes@large", "hello", 4, false));
        setup.check_running("a chat request");
        assert!(reply.is_some());
    }
}

/// Guards against a number of a caller that ends the gateway.
#[test]
fn gateway_outlives_extreme_numbers_of_callers() {
    let (first, second) = (sound_upstream(), sound_upstream());
    let mut setup = Setup::new(&[&first, &second]);
    for (i, header) in REQUEST_HEADERS.iter().enumerate() {
        for path in ["/lookup/a", "/hold/a", "/notes/a"] {
            let id = format!("{i}{}", path.replace('/', "-"));
            let reply = setup.call_with(path, &id, &[*header]);
            setup.check_running(header.0);
            assert!(reply.is_some(), "no response to {id}");
        }
    }
}

/// Guards against a number of an announcement that ends a replica or the processes that it tells.
#[test]
fn processes_outlive_extreme_numbers_in_announcements() {
    let sound = sound_upstream();
    let mut setup = Setup::new(&[&sound]);
    let entry = setup.cluster.entry_addresses[0];
    let headers = [("authorization", "Bearer dev-upstream-key")];
    for (i, (field, value)) in [
        ("cold_ms", json!(u64::MAX)),
        ("slots", json!(u32::MAX)),
        ("started_ms", json!(u64::MAX)),
        ("incarnation", json!(u64::MAX)),
        ("incarnation", json!(0)),
    ]
    .into_iter()
    .enumerate()
    {
        let mut announcement = json!({
            "id": format!("x{i}"), "incarnation": 1, "address": sound.address.to_string(),
            "data_centre": "dc1", "serves": { "service": "previews" }, "slots": 8,
        });
        announcement[field] = value;
        // It may be rejected, with a reason.
        let reply = post(
            entry,
            "/upstream/announce",
            &headers,
            &announcement.to_string(),
        );
        assert!(reply.is_some(), "{field}");
        let leave = json!({ "id": format!("x{i}"), "incarnation": u64::MAX });
        for round in 0..10 {
            let reply = setup.call_with("/lookup/a", &format!("{i}-{round}"), &[]);
            setup.check_running(field);
            assert!(reply.is_some(), "no response after {field}");
        }
        let _ = post(entry, "/upstream/leave", &headers, &leave.to_string());
        setup.check_running(field);
    }
}
