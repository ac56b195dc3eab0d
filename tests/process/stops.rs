//! Graceful shutdown: stopping processes break no stream, and leaving upstreams get no new
//! requests.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::chat_body;
use crate::support::eventually;
use crate::support::get;
use crate::support::post;
use crate::support::stream_text;

const SLOW: [&str; 6] = [
    "--versions",
    "notes@small",
    "--token",
    "0.01",
    "--slots",
    "64",
];

/// Starts callers that fetch an entry's address before each streamed request. Each returns the
/// number of complete streams and a description of each failure.
fn callers(
    cluster: &Cluster,
    count: usize,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<(u64, Vec<String>)>> {
    (0..count)
        .map(|i| {
            let stop = stop.clone();
            let seeds = cluster.entry_addresses.clone();
            thread::spawn(move || {
                let mut served = 0;
                let mut failures = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let response =
                        seeds
                            .iter()
                            .cycle()
                            .skip(i)
                            .take(seeds.len())
                            .find_map(|&seed| {
                                get(seed, "/v1/address", &[]).filter(|reply| reply.status == 200)
                            });
                    let response = response.unwrap().json();
                    let rows = response["addresses"].as_array().unwrap();
                    let row = &rows[i % rows.len()];
                    let address = row["address"].as_str().unwrap().parse().unwrap();
                    let body = chat_body("notes", &format!("caller {i}"), 60, true);
                    match post(address, "/v1/chat/completions", &[AUTH_HEADER], &body) {
                        Some(reply) if stream_text(&reply).is_some() => served += 1,
                        other => failures.push(format!("{address}: {other:?}")),
                    }
                }
                (served, failures)
            })
        })
        .collect()
}

#[test]
fn breaks_no_stream_while_two_entries_and_the_leader_stop() {
    let mut cluster = Cluster::start_with_inventory(3, 3);
    let (_runner, _) = cluster.start_announced_standin("runner-1", &SLOW);
    let stop = Arc::new(AtomicBool::new(false));
    let running = callers(&cluster, 6, &stop);
    thread::sleep(Duration::from_secs(1));
    cluster.entries[0].terminate();
    cluster.entries[1].terminate();
    let leader = cluster.leader();
    cluster.replicas[leader].terminate();
    for i in [0, 1] {
        let code = eventually("the entry has stopped", || {
            cluster.entries[i].try_exit_code()
        });
        assert_eq!(code, Some(0));
    }
    let code = eventually("the replica has stopped", || {
        cluster.replicas[leader].try_exit_code()
    });
    assert_eq!(code, Some(0));
    stop.store(true, Ordering::SeqCst);
    let mut total = 0;
    for caller in running {
        let (served, failures) = caller.join().unwrap();
        assert_eq!(failures, Vec::<String>::new());
        total += served;
    }
    cluster.wait_until_settled();
    assert_eq!(cluster.billed_requests("maple"), total);
}

#[test]
fn leaving_upstream_gets_no_request_and_its_late_load_report_is_rejected() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (leaving, leaving_address) =
        cluster.start_announced_standin("runner-1", &["--versions", "notes@small"]);
    let (_stays, _) = cluster.start_announced_standin("runner-2", &["--versions", "notes@small"]);
    let upstreams = cluster.show("upstreams");
    let row = upstreams
        .as_array()
        .unwrap()
        .iter()
        .find(|row| row["id"] == "runner-1")
        .unwrap();
    let incarnation = row["incarnation"].clone();
    let key = ("authorization", "Bearer dev-upstream-key");
    let leave = serde_json::json!({ "id": "runner-1", "incarnation": incarnation }).to_string();
    let leave_response = post(
        cluster.entry_addresses[0],
        "/upstream/leave",
        &[key],
        &leave,
    )
    .unwrap();
    assert_eq!(leave_response.status, 204);
    // The guarantee holds after a few seconds: by then every entry has received the update or has
    // lost its lease.
    thread::sleep(Duration::from_secs(3));
    let runs_before = cluster.total_requests(leaving_address, "runs");
    let report = serde_json::json!({ "id": "runner-1", "incarnation": incarnation, "running": 0 });
    for entry in 0..2 {
        let address = cluster.entry_addresses[entry];
        let load_response = post(address, "/upstream/load", &[key], &report.to_string()).unwrap();
        assert_eq!(load_response.status, 404);
        for i in 0..10 {
            let body = chat_body("notes@small", &format!("{i}"), 3, false);
            assert_eq!(cluster.chat(entry, &[], &body).unwrap().status, 200);
        }
    }
    assert_eq!(cluster.total_requests(leaving_address, "runs"), runs_before);
    drop(leaving);
}
