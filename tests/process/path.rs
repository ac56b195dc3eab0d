//! The whole path with three replicas and two entries.

use serde_json::Value;

use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::chat_body;
use crate::support::get;
use crate::support::post;
use crate::support::send;
use crate::support::stream_text;

const SMALL: [&str; 2] = ["--versions", "notes@small"];
const BOTH: [&str; 2] = ["--versions", "notes@small,notes@large"];

#[test]
fn a_request_is_served_and_billed_through_any_entry() {
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
    assert_eq!(cluster.billed_requests("lagon"), 4);
    assert_eq!(cluster.total_requests(runner, "runs"), 4);
}

#[test]
fn a_service_call_takes_the_same_path() {
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
    let again = post(
        cluster.entry_addresses[0],
        "/app/previews/holds/9",
        &keyed,
        "seat 9",
    );
    let again = again.unwrap();
    assert_eq!((again.status, again.header("daisyquay-ran")), (409, "yes"));
    assert_eq!(cluster.request_counts(app)["bodies"]["seat 9"], 1);
}

#[test]
fn the_address_answer_names_all_entries() {
    let cluster = Cluster::start_with_inventory(3, 2);
    let answer = crate::support::eventually("both entries are named", || {
        let answer = get(cluster.entry_addresses[0], "/v1/address", &[])?.json();
        (answer["addresses"].as_array()?.len() == 2).then_some(answer)
    });
    // The entry's own data centre comes first.
    let own = cluster.entry_addresses[0].to_string();
    assert_eq!(answer["addresses"][0]["address"], own);
}

#[test]
fn bad_requests_are_refused_with_a_remedy_and_did_not_run() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let (_runner, runner) = cluster.start_announced_standin("runner-1", &SMALL);
    let entry = cluster.entry_addresses[0];
    let chat = "/v1/chat/completions";
    let castles = ("authorization", "Bearer dev-castles-key");
    let hello = chat_body("notes", "hello", 3, false);
    let only_small = chat_body("notes@small", "hello", 3, false);
    let no_model = chat_body("poems", "hello", 3, false);
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
        ("not allowed", Some(castles), only_small.as_str()),
        ("unknown model", Some(AUTH_HEADER), no_model.as_str()),
        ("too large", Some(AUTH_HEADER), huge.as_str()),
        ("not served", Some(castles), hello.as_str()),
    ];
    let mut shown = String::new();
    for (name, key, body) in cases {
        let headers: Vec<_> = key.into_iter().collect();
        let reply = post(entry, chat, &headers, body).unwrap();
        let error = &reply.json()["error"];
        shown.push_str(&format!(
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
        shown.push_str(&format!("announce: {} {message}\n", reply.status));
    }
    insta::assert_snapshot!(shown);
    assert_eq!(cluster.total_requests(runner, "runs"), 0);
}

#[test]
fn models_show_only_what_is_allowed() {
    let cluster = Cluster::start_with_inventory(1, 1);
    let castles = ("authorization", "Bearer dev-castles-key");
    let reply = get(cluster.entry_addresses[0], "/v1/models", &[castles]).unwrap();
    let ids: Vec<Value> = reply.json()["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|row| row["id"].clone())
        .collect();
    assert_eq!(ids, ["notes", "notes@large"]);
    let unknown = send("GET", cluster.entry_addresses[0], "/nowhere", &[], "").unwrap();
    assert_eq!(unknown.status, 404);
}

#[test]
fn no_io_uring_descriptor_is_open() {
    let cluster = Cluster::start_with_inventory(1, 1);
    for program in cluster.replicas.iter().chain(&cluster.entries) {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", program.pid())).unwrap();
        for fd in fds.flatten() {
            let target = std::fs::read_link(fd.path()).unwrap_or_default();
            assert!(!target.display().to_string().contains("io_uring"));
        }
    }
}
