//! Responses reach the caller complete or end with an error, whatever faults the upstreams have.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::Upstream;
use crate::support::chat_body;
use crate::support::chunk;
use crate::support::eventually;
use crate::support::post;
use crate::support::stream_response_head;
use crate::support::stream_text;
use crate::support::write;

const SMALL: [&str; 2] = ["--versions", "notes@small"];
const SLOW: [&str; 4] = ["--versions", "notes@small", "--token", "0.01"];

/// Returns the text that every stand-in generates for `prompt`.
fn expected_text(cluster: &Cluster, prompt: &str, tokens: u32) -> String {
    let body = chat_body("notes@small", prompt, tokens, false);
    let reply = cluster.chat(0, &[], &body).unwrap();
    let text = reply.json()["choices"][0]["message"]["content"].clone();
    text.as_str()
        .unwrap_or_else(|| panic!("{}", reply.body))
        .to_owned()
}

#[test]
fn resumes_broken_stream_at_its_token_offset() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let (_a, a) = cluster.start_announced_standin("runner-1", &SMALL);
    let (_b, b) = cluster.start_announced_standin("runner-2", &SMALL);
    let text = expected_text(&cluster, "resume me", 40);
    cluster.set_faults(a, r#"{"die_after_tokens":13}"#);
    // The runner is chosen at random, so requests are sent until one stream has broken: a resumed
    // request runs twice. The first of `sent` is the request of `expected_text`.
    let runs = || cluster.total_requests(a, "runs") + cluster.total_requests(b, "runs");
    let mut sent = 1;
    while sent < 7 || runs() <= sent {
        assert!(
            sent < 70,
            "no stream broke in {sent} requests; runs: {} at the faulty runner, {} at the other",
            cluster.total_requests(a, "runs"),
            cluster.total_requests(b, "runs")
        );
        sent += 1;
        let body = chat_body("notes@small", "resume me", 40, true);
        let reply = cluster.chat(0, &[], &body).unwrap();
        assert_eq!(
            stream_text(&reply).as_deref(),
            Some(text.as_str()),
            "{}",
            reply.body
        );
        assert!(
            !reply.body.contains("-1\""),
            "the id of a later attempt reached the caller: {}",
            reply.body
        );
    }
    cluster.wait_until_settled();
    assert_eq!(cluster.billed_requests("maple"), sent);
}

#[test]
fn ends_unresumable_stream_with_error_event() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let (_a, a) = cluster.start_announced_standin("runner-1", &SMALL);
    let expected = expected_text(&cluster, "p", 40);
    for fault in [
        r#"{"die_after_tokens":5}"#,
        r#"{"short":true}"#,
        r#"{"hasty":true}"#,
        r#"{"crossed":true}"#,
        r#"{"wrong_id":true}"#,
    ] {
        cluster.set_faults(a, fault);
        let reply = cluster
            .chat(0, &[], &chat_body("notes", "p", 40, true))
            .unwrap();
        assert_eq!(stream_text(&reply), None, "{fault}: {}", reply.body);
        assert!(reply.body.contains("\"error\""), "{fault}: {}", reply.body);
        let text = expected
            .split_inclusive(' ')
            .take_while(|word| reply.body.contains(*word));
        let words = reply.body.matches("\"content\":\"w").count();
        assert_eq!(
            text.count(),
            words,
            "{fault}: the stream has words of another response: {}",
            reply.body
        );
        assert!(!reply.body.contains("[DONE]"), "{fault}: {}", reply.body);
        cluster.set_faults(a, "{}");
        // The circuit breaker may be open for a moment.
        eventually("the upstream serves requests again", || {
            let reply = cluster.chat(0, &[], &chat_body("notes", "p", 4, true))?;
            stream_text(&reply)
        });
    }
}

#[test]
fn never_relays_a_response_with_another_requests_id() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let (_a, a) = cluster.start_announced_standin("runner-1", &SMALL);
    let (_b, _) = cluster.start_announced_standin("runner-2", &SMALL);
    let text = expected_text(&cluster, "whose", 20);
    for fault in [r#"{"wrong_id":true}"#, r#"{"crossed":true}"#] {
        for streamed in [true, false] {
            cluster.set_faults(a, fault);
            // The circuit breaker may be open after earlier faults: send requests until the faulty
            // runner gets one.
            let before = cluster.total_requests(a, "runs");
            eventually("the faulty runner gets a request", || {
                let body = chat_body("notes@small", "whose", 20, streamed);
                let reply = cluster.chat(0, &[], &body).unwrap();
                let received = if streamed {
                    stream_text(&reply)
                } else {
                    let content = &reply.json()["choices"][0]["message"]["content"];
                    content.as_str().map(ToOwned::to_owned)
                };
                assert_eq!(
                    received.as_deref(),
                    Some(text.as_str()),
                    "{fault}: {}",
                    reply.body
                );
                (cluster.total_requests(a, "runs") > before).then_some(())
            });
            cluster.set_faults(a, "{}");
        }
    }
}

#[test]
fn bills_stream_of_killed_entry_once_from_usage_record() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, runner) = cluster.start_announced_standin("runner-1", &SLOW);
    let address = cluster.entry_addresses[0];
    let caller = std::thread::spawn(move || {
        let body = chat_body("notes", "long", 400, true);
        crate::support::post(
            address,
            "/v1/chat/completions",
            &[crate::support::AUTH_HEADER],
            &body,
        )
    });
    eventually("the request is claimed", || {
        (cluster.show("status")["open_claims"] == 1).then_some(())
    });
    std::thread::sleep(std::time::Duration::from_millis(500));
    cluster.entries[0].kill();
    let reply = caller.join().unwrap();
    assert!(reply.is_none_or(|reply| stream_text(&reply).is_none()));
    cluster.wait_until_settled();
    assert_eq!(cluster.billed_requests("maple"), 1);
    let bill = cluster.show("bill");
    let tokens = bill[0]["tokens_out"].as_u64().unwrap();
    assert!((1..400).contains(&tokens), "{bill}");
    assert_eq!(cluster.total_requests(runner, "runs"), 1);
}

/// Starts a cluster with one entry and announces the engines.
fn start_with_engines(engines: &[Upstream]) -> Cluster {
    let cluster = Cluster::start_with_inventory(1, 1);
    for (i, engine) in engines.iter().enumerate() {
        let body = json!({
            "id": format!("u{i}"),
            "incarnation": 1,
            "address": engine.address.to_string(),
            "data_centre": "dc1",
            "serves": { "versions": ["notes@small"] },
            "slots": 8,
        });
        let key = [("authorization", "Bearer dev-upstream-key")];
        eventually("the engine is announced", || {
            let entry = cluster.entry_addresses[0];
            let reply = post(entry, "/upstream/announce", &key, &body.to_string())?;
            (reply.status == 204).then_some(())
        });
    }
    cluster
}

/// Guards against ending a stream whose engine is only silent, because no other engine takes it.
#[test]
fn chat_stream_goes_on_after_a_silence_though_the_other_engine_closes_connections() {
    /// Longer than the idle timeout of an entry.
    const SILENCE: Duration = Duration::from_secs(7);
    let has_stream: Arc<AtomicBool> = Arc::default();
    let start = || {
        let has_stream = has_stream.clone();
        Upstream::start(move |seen, out| {
            if has_stream.swap(true, Ordering::SeqCst) {
                return false;
            }
            let event = |choice: Value| {
                let event = json!({ "id": seen.attempt_id(), "choices": [choice] });
                chunk(&format!("data: {event}\n\n"))
            };
            let token = |text| event(json!({ "index": 0, "delta": { "content": text } }));
            write(out, &stream_response_head(seen));
            write(out, &token("before "));
            thread::sleep(SILENCE);
            write(out, &token("after"));
            let finish = json!({ "index": 0, "delta": {}, "finish_reason": "stop" });
            write(out, &event(finish));
            write(out, &chunk("data: [DONE]\n\n")) && write(out, "0\r\n\r\n")
        })
    };
    let engines = [start(), start()];
    let cluster = start_with_engines(&engines);
    let reply = eventually("the entry has an engine", || {
        let reply = cluster.chat(0, &[], &chat_body("notes@small", "p", 2, true))?;
        (reply.status == 200).then_some(reply)
    });
    assert_eq!(
        stream_text(&reply).as_deref(),
        Some("before after"),
        "{}",
        reply.body
    );
}

/// Guards against running a request whose caller has left, for as long as its engine is silent.
#[test]
fn caller_that_leaves_a_silent_chat_stream_cancels_it_at_the_engine() {
    let has_ended: Arc<AtomicBool> = Arc::default();
    let ended = has_ended.clone();
    let engine = Upstream::start(move |seen, out| {
        let choice = json!({ "index": 0, "delta": { "content": "first" } });
        let event = json!({ "id": seen.attempt_id(), "choices": [choice] });
        write(out, &stream_response_head(seen));
        write(out, &chunk(&format!("data: {event}\n\n")));
        ended.store(out.read(&mut [0]).is_ok_and(|n| n == 0), Ordering::SeqCst);
        false
    });
    let engines = [engine];
    let cluster = start_with_engines(&engines);
    eventually("the stream has begun", || {
        let mut caller = TcpStream::connect(cluster.entry_addresses[0]).ok()?;
        let body = chat_body("notes@small", "p", 2, true);
        let (name, key) = AUTH_HEADER;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n{name}: {key}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        caller.write_all((head + &body).as_bytes()).ok()?;
        let mut received = [0; 4096];
        let mut length = 0;
        while memchr::memmem::find(&received[..length], b"first").is_none() {
            let n = caller.read(&mut received[length..]).ok()?;
            length += n;
            (n > 0).then_some(())?;
        }
        Some(())
    });
    eventually("the request is cancelled at the engine", || {
        has_ended.load(Ordering::SeqCst).then_some(())
    });
}
