//! Requests of callers and upstreams, end to end through real processes.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use crate::support::AUTH_HEADER;
use crate::support::Caller;
use crate::support::Cluster;
use crate::support::chat_body;
use crate::support::get;
use crate::support::post;
use crate::support::send;
use crate::support::stream_text;

const SMALL: [&str; 2] = ["--versions", "notes@small"];
const BOTH: [&str; 2] = ["--versions", "notes@small,notes@large"];

#[test]
fn serves_and_bills_chat_requests_through_each_entry() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, runner) = cluster.start_announced_standin("runner-1", &BOTH);
    for entry in 0..2 {
        let plain = cluster
            .chat(entry, &[], &chat_body("notes", "hello", 5, false))
            .unwrap();
        assert_eq!(plain.status, 200, "{}", plain.body);
        assert!(plain.header("daisyquay-version").starts_with("notes@"));
        assert_eq!(plain.header("daisyquay-request-id").len(), 32);
        assert_eq!(plain.json()["usage"]["completion_tokens"], 5);
        let streamed = cluster
            .chat(entry, &[], &chat_body("notes", "hello", 5, true))
            .unwrap();
        let text = plain.json()["choices"][0]["message"]["content"].clone();
        assert_eq!(Value::from(stream_text(&streamed).unwrap()), text);
        assert!(streamed.body.contains("\"usage\":{\"completion_tokens\":5"));
    }
    cluster.wait_until_settled();
    assert_eq!(cluster.billed_requests("maple"), 4);
    assert_eq!(cluster.total_requests(runner, "runs"), 4);
}

#[test]
fn serves_service_calls_and_runs_a_repeated_key_once() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_app, app) = cluster.start_announced_standin("app-1", &["--service", "previews"]);
    let entry = cluster.entry_addresses[1];
    let read = get(entry, "/app/previews/covers/7?size=2", &[AUTH_HEADER]).unwrap();
    assert_eq!(read.status, 200, "{}", read.body);
    assert_eq!(read.json()["path"], "/covers/7?size=2");
    let keyed = [AUTH_HEADER, ("idempotency-key", "hold-1")];
    let first = post(entry, "/app/previews/holds/9", &keyed, "seat 9").unwrap();
    assert_eq!(first.status, 200, "{}", first.body);
    cluster.wait_until_settled();
    let repeated = post(
        cluster.entry_addresses[0],
        "/app/previews/holds/9",
        &keyed,
        "seat 9",
    );
    let repeated = repeated.unwrap();
    assert_eq!(
        (repeated.status, repeated.header("daisyquay-ran")),
        (409, "yes")
    );
    assert_eq!(cluster.request_counts(app)["bodies"]["seat 9"], 1);
}

#[test]
fn address_response_lists_all_entries() {
    let cluster = Cluster::start_with_inventory(3, 2);
    let response = crate::support::eventually("the address response lists both entries", || {
        let response = get(cluster.entry_addresses[0], "/v1/address", &[])?.json();
        (response["addresses"].as_array()?.len() == 2).then_some(response)
    });
    // Entries in the queried entry's data centre come first.
    let own = cluster.entry_addresses[0].to_string();
    assert_eq!(response["addresses"][0]["address"], own);
}

#[test]
fn caller_that_is_still_sending_too_large_a_body_receives_the_refusal() {
    let cluster = Cluster::start_with_inventory(1, 1);
    let mut stream = TcpStream::connect(cluster.entry_addresses[0]).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let body = vec![b'x'; 5 << 20];
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer dev-maple-key\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    let (first, rest) = body.split_at(body.len() - (512 << 10));
    stream.write_all(first).unwrap();
    // The entry has read more than it accepts, and the caller does not look for a response yet.
    std::thread::sleep(Duration::from_millis(300));
    stream.write_all(rest).unwrap();
    let mut response = [0; 12];
    stream.read_exact(&mut response).unwrap();
    assert_eq!(std::str::from_utf8(&response).unwrap(), "HTTP/1.1 413");
}

/// Guards against refusals that are lost in a reset because their caller was still sending its body.
#[test]
fn entry_refusals_reach_callers_that_still_send_their_body() {
    let cluster = Cluster::start_with_inventory(1, 1);
    let body = "x".repeat(4_000_000);
    let headers = [("host", "a"), ("authorization", "Bearer nobody")];
    let refused = |path: &str| {
        let mut caller = Caller::connect(cluster.entry_addresses[0]).unwrap();
        let is_sent = caller.send_slowly("POST", path, &headers, &body);
        (is_sent, caller.receive().map(|reply| reply.status))
    };
    let chat = "/v1/chat/completions";
    for (path, status) in [
        (chat, 401),
        ("/app/previews/a", 401),
        ("/upstream/announce", 401),
        ("/nowhere", 404),
    ] {
        assert_eq!(refused(path), (true, Some(status)), "{path}");
    }
}

#[test]
fn refuses_invalid_requests_without_running_them() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let (_runner, runner) = cluster.start_announced_standin("runner-1", &SMALL);
    let entry = cluster.entry_addresses[0];
    let chat = "/v1/chat/completions";
    let castles_key = ("authorization", "Bearer dev-castles-key");
    let hello = chat_body("notes", "hello", 3, false);
    let small_only = chat_body("notes@small", "hello", 3, false);
    let unknown_model = chat_body("poems", "hello", 3, false);
    let huge = "x".repeat(5 << 20);
    let cases = [
        (
            "unknown key",
            Some(("authorization", "Bearer nobody")),
            hello.as_str(),
        ),
        ("no key", None, hello.as_str()),
        (
            "truncated",
            Some(AUTH_HEADER),
            "{\"model\":\"notes\",\"mess",
        ),
        (
            "no messages",
            Some(AUTH_HEADER),
            "{\"model\":\"notes\",\"messages\":[]}",
        ),
        ("not allowed", Some(castles_key), small_only.as_str()),
        ("unknown model", Some(AUTH_HEADER), unknown_model.as_str()),
        ("too large", Some(AUTH_HEADER), huge.as_str()),
        ("not served", Some(castles_key), hello.as_str()),
    ];
    let mut report = String::new();
    for (name, key, body) in cases {
        let headers: Vec<_> = key.into_iter().collect();
        let reply =
            post(entry, chat, &headers, body).unwrap_or_else(|| panic!("{name}: no response"));
        let error = &reply.json()["error"];
        report.push_str(&format!(
            "{name}: {} ran={} retry={:?}\n  {} {}: {}\n",
            reply.status,
            reply.header("daisyquay-ran"),
            reply.header("retry-after"),
            error["type"].as_str().unwrap_or("?"),
            error["code"].as_str().unwrap_or("?"),
            error["message"].as_str().unwrap_or("?"),
        ));
    }
    let announcements = [
        r#"{"id":"x","incarnation":1,"address":"127.0.0.1:9","data_centre":"dc1","serves":{"versions":["notes@none"]},"slots":1}"#,
        r#"{"id":"x","incarnation":1,"address":"127.0.0.1:9","data_centre":"dc1","serves":{"versions":["notes@small"]},"slots":4294967295}"#,
        r#"{"id":"x","incarnation":-1,"address":"127.0.0.1:9","data_centre":"dc1","serves":{"service":"previews"},"slots":1}"#,
        r#"{"id":"x","incarnation":1,"address":"0.0.0.0:0","data_centre":"dc1","serves":{"service":"previews"},"slots":1}"#,
    ];
    for body in announcements {
        let key = ("authorization", "Bearer dev-upstream-key");
        let reply = post(entry, "/upstream/announce", &[key], body).unwrap();
        let message = reply.json()["error"]["message"].clone();
        report.push_str(&format!("announce: {} {message}\n", reply.status));
    }
    // The messages in the snapshot say what was wrong and, unless it is plain, what to do.
    insta::assert_snapshot!(report);
    assert_eq!(cluster.total_requests(runner, "runs"), 0);
}

#[test]
fn lists_only_models_the_organisation_may_use() {
    let cluster = Cluster::start_with_inventory(1, 1);
    let castles_key = ("authorization", "Bearer dev-castles-key");
    let reply = get(cluster.entry_addresses[0], "/v1/models", &[castles_key]).unwrap();
    let ids: Vec<Value> = reply.json()["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|row| row["id"].clone())
        .collect();
    assert_eq!(ids, ["notes", "notes@large"]);
    let unknown_path = send("GET", cluster.entry_addresses[0], "/nowhere", &[], "").unwrap();
    assert_eq!(unknown_path.status, 404);
}

#[test]
fn opens_no_io_uring_descriptors() {
    let cluster = Cluster::start_with_inventory(1, 1);
    for program in cluster.replicas.iter().chain(&cluster.entries) {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", program.pid())).unwrap();
        for fd in fds.flatten() {
            let target = std::fs::read_link(fd.path()).unwrap_or_default();
            assert!(
                !target.display().to_string().contains("io_uring"),
                "a process has an io_uring descriptor open: {}",
                target.display()
            );
        }
    }
}
