//! Guarantees under failures, checked by comparing counts after each failure: every request is
//! billed once, no call that must run at most once runs twice, and no accepted revision is lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::PartitionProxy;
use crate::support::chat_body;
use crate::support::eventually;
use crate::support::post;

const SMALL: [&str; 4] = ["--versions", "notes@small", "--slots", "64"];

/// Sends requests until `stop` is set; returns the number of responses with status 200.
fn start_load(address: SocketAddr, stop: &Arc<AtomicBool>) -> JoinHandle<u64> {
    let stop = stop.clone();
    thread::spawn(move || {
        let mut served = 0;
        while !stop.load(Ordering::SeqCst) {
            let body = chat_body("notes", "load", 3, false);
            let reply = post(address, "/v1/chat/completions", &[AUTH_HEADER], &body);
            served += u64::from(reply.is_some_and(|reply| reply.status == 200));
        }
        served
    })
}

fn pause_rollout(cluster: &Cluster, id: &str) -> Vec<u8> {
    let args = ["rollout", "pause", "notes@small", "--change-id", id];
    cluster.run_cli(&args).stdout
}

fn revision(cluster: &Cluster) -> u64 {
    eventually("the status has a revision", || {
        cluster.show("status")["revision"].as_u64()
    })
}

#[test]
fn keeps_changes_and_bills_after_leader_crashes() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, _) = cluster.start_announced_standin("runner-1", &SMALL);
    let stop = Arc::new(AtomicBool::new(false));
    let running: Vec<_> = cluster
        .entry_addresses
        .iter()
        .map(|&a| start_load(a, &stop))
        .collect();
    for round in 0..3 {
        let leader = cluster.leader();
        let before = revision(&cluster);
        cluster.replicas[leader].kill();
        cluster.apply(INVENTORY, &["--change-id", &format!("round-{round}")]);
        assert_eq!(revision(&cluster), before + 1);
        cluster.replicas[leader] = cluster.start_replica(leader);
    }
    stop.store(true, Ordering::SeqCst);
    let served: u64 = running
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    assert!(served > 0);
    cluster.wait_until_settled();
    // A request that failed for its caller may have run: it is billed too, at most once.
    let billed = cluster.billed_requests("maple");
    assert!(billed >= served, "{billed} billed, {served} served");
    let bill = cluster.show("bill");
    let failed: u64 = bill
        .as_array()
        .unwrap()
        .iter()
        .map(|r| r["failed"].as_u64().unwrap())
        .sum();
    assert_eq!(billed - failed, served, "{bill}");
}

#[test]
fn resumed_former_leader_does_not_undo_withdrawal() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, runner_address) =
        cluster.start_announced_standin("runner-1", &["--versions", "notes@small,notes@large"]);
    let leader = cluster.leader();
    cluster.replicas[leader].suspend();
    let output = cluster.run_cli(&["rollout", "withdraw", "notes@large", "--wait", "40"]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let before = cluster.request_counts(runner_address)["versions"]["notes@large"].clone();
    cluster.replicas[leader].resume();
    for i in 0..20 {
        let body = chat_body("notes", "hello", 3, false);
        cluster.chat(i % 2, &[], &body);
    }
    assert_eq!(
        cluster.request_counts(runner_address)["versions"]["notes@large"],
        before
    );
    assert_eq!(revision(&cluster), 2);
}

#[test]
fn tolerates_second_crash_after_wiped_replica_rejoins() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let leader = cluster.leader();
    let wiped = (leader + 1) % 3;
    let second = (leader + 2) % 3;
    for i in 0..5 {
        cluster.apply(INVENTORY, &["--change-id", &format!("before-{i}")]);
    }
    cluster.replicas[wiped].kill();
    std::fs::remove_dir_all(cluster.data_folder(wiped)).unwrap();
    let old = cluster.show("status")["members"].clone();
    cluster.replicas[wiped] = cluster.start_replica(wiped);
    eventually("the wiped replica votes under a new identity", || {
        let members = cluster.show("status")["members"].clone();
        let rows = members.as_array()?;
        let voters = rows.iter().filter(|row| row[2] == "voter").count();
        (rows.len() == 3 && voters == 3 && members != old).then_some(())
    });
    // The leader and the rejoined replica must form a quorum with all changes.
    cluster.replicas[second].kill();
    cluster.apply(INVENTORY, &["--change-id", "after"]);
    assert_eq!(revision(&cluster), 7);
    cluster.replicas[leader].kill();
    cluster.replicas[second] = cluster.start_replica(second);
    assert_eq!(revision(&cluster), 7);
}

#[test]
fn truncates_torn_tail_and_rejects_corrupt_log() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let follower = (cluster.leader() + 1) % 3;
    cluster.replicas[follower].kill();
    let path = cluster.data_folder(follower).join("log");
    let intact = std::fs::read(&path).unwrap();
    std::fs::write(&path, &intact[..intact.len() - 3]).unwrap();
    cluster.replicas[follower] = cluster.start_replica(follower);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(cluster.replicas[follower].try_exit_code(), None);
    cluster.replicas[follower].kill();
    // A flipped bit before the end of the log is corruption, not a torn tail.
    let mut damaged = intact.clone();
    damaged[30] ^= 1;
    std::fs::write(&path, &damaged).unwrap();
    cluster.replicas[follower] = cluster.start_replica(follower);
    let code = eventually("the replica exits", || {
        cluster.replicas[follower].try_exit_code()
    });
    assert_eq!(code, Some(3));
    let log = std::fs::read_to_string(cluster.folder.join(format!("state-{follower}.log")));
    assert!(log.unwrap().contains("not a torn tail"));
}

#[test]
fn accepts_one_of_two_changes_to_one_revision_and_answers_resend_alike() {
    let cluster = Cluster::start_with_inventory(3, 1);
    let start = ["rollout", "start", "notes@large", "--expect-revision", "1"];
    let outputs: Vec<_> = thread::scope(|scope| {
        let start_rollout = |who, id| {
            let cluster = &cluster;
            scope.spawn(move || {
                let mut args = vec!["--json"];
                args.extend(start);
                args.extend(["--change-id", id]);
                cluster.run_cli_as(who, &args)
            })
        };
        [start_rollout("ann", "a"), start_rollout("bob", "b")]
            .map(|operator| operator.join().unwrap())
            .into()
    });
    let codes: Vec<_> = outputs
        .iter()
        .map(|output| output.status.code().unwrap())
        .collect();
    // Exit code 5 reports the conflict.
    assert!(codes == [0, 5] || codes == [5, 0], "{codes:?}");
    let winner = if codes[0] == 0 { "a" } else { "b" };
    let loser: Value = serde_json::from_slice(&outputs[usize::from(codes[0] == 0)].stdout).unwrap();
    assert_eq!(loser["outcome"]["conflict"]["winner"], winner);
    // A resend with the same change id gets the first outcome and changes nothing.
    let who = if winner == "a" { "ann" } else { "bob" };
    let mut args = vec!["--json"];
    args.extend(start);
    args.extend(["--change-id", winner]);
    let again = cluster.run_cli_as(who, &args);
    assert_eq!(again.stdout, outputs[usize::from(codes[0] != 0)].stdout);
    assert_eq!(revision(&cluster), 2);
    let _ = pause_rollout(&cluster, "c");
    let audit = cluster.run_cli(&["--json", "audit"]);
    let lines = String::from_utf8(audit.stdout).unwrap().lines().count();
    assert_eq!(
        lines, 4,
        "the audit trail must list refused changes and no resends"
    );
}

#[test]
fn partitioned_entry_sends_no_request_once_withdrawal_is_in_force() {
    let mut cluster = Cluster::start(3, 1);
    let proxies: Vec<PartitionProxy> = cluster
        .replica_addresses
        .iter()
        .map(|&address| PartitionProxy::start(address))
        .collect();
    cluster.configured_replicas = proxies.iter().map(|proxy| proxy.address).collect();
    let cut_off = cluster.add_entry("dc2");
    cluster.apply(INVENTORY, &["--change-id", "first"]);
    let (_runner, runner_address) =
        cluster.start_announced_standin("runner-1", &["--versions", "notes@small,notes@large"]);
    let body = chat_body("notes@large", "hello", 3, false);
    eventually("the entry serves a request", || {
        (cluster.chat(cut_off, &[], &body)?.status == 200).then_some(())
    });
    for proxy in &proxies {
        proxy.set_partitioned(true);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let address = cluster.entry_addresses[cut_off];
    // A short deadline keeps the request rate up while the state replicas are unreachable.
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let (stop, body) = (stop.clone(), body.clone());
            thread::spawn(move || {
                let headers = [AUTH_HEADER, ("daisyquay-deadline-ms", "200")];
                while !stop.load(Ordering::SeqCst) {
                    post(address, "/v1/chat/completions", &headers, &body);
                }
            })
        })
        .collect();
    let output = cluster.run_cli(&["rollout", "withdraw", "notes@large", "--wait", "30"]);
    assert!(output.status.success());
    let before = cluster.request_counts(runner_address)["versions"]["notes@large"].clone();
    thread::sleep(Duration::from_secs(2));
    for proxy in &proxies {
        proxy.set_partitioned(false);
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().unwrap();
    }
    assert_eq!(
        cluster.request_counts(runner_address)["versions"]["notes@large"],
        before
    );
    assert_eq!(cluster.chat(cut_off, &[], &body).unwrap().status, 410);
}

#[test]
fn non_repeatable_call_runs_once_despite_crashes_and_resend() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_app, app_address) =
        cluster.start_announced_standin("app-1", &["--service", "previews", "--first", "0.5"]);
    let keyed = [AUTH_HEADER, ("idempotency-key", "hold-7")];
    let [first, second] = [cluster.entry_addresses[0], cluster.entry_addresses[1]];
    let caller = thread::spawn(move || post(first, "/app/previews/holds", &keyed, "seat 7"));
    eventually("the call has reached the service", || {
        (cluster.request_counts(app_address)["bodies"]["seat 7"] == 1).then_some(())
    });
    cluster.entries[0].kill();
    let leader = cluster.leader();
    cluster.replicas[leader].kill();
    let _ = caller.join().unwrap();
    let resent = eventually("the resend is rejected as a conflict", || {
        let reply = post(second, "/app/previews/holds", &keyed, "seat 7")?;
        (reply.status == 409).then_some(reply)
    });
    assert_ne!(resent.header("daisyquay-ran"), "no");
    assert_eq!(cluster.request_counts(app_address)["bodies"]["seat 7"], 1);
}

#[test]
fn refused_call_did_not_run_and_its_idempotency_key_is_reusable() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let (mut app, _) = cluster.start_announced_standin("app-1", &["--service", "previews"]);
    app.kill();
    let keyed = [AUTH_HEADER, ("idempotency-key", "hold-8")];
    let entry = cluster.entry_addresses[0];
    let refused = post(entry, "/app/previews/holds", &keyed, "seat 8").unwrap();
    assert_eq!(
        (refused.status, refused.header("daisyquay-ran")),
        (503, "no")
    );
    let (_app, app_address) = cluster.start_announced_standin("app-2", &["--service", "previews"]);
    let served = eventually("the call with the same key is no longer refused", || {
        let reply = post(entry, "/app/previews/holds", &keyed, "seat 8")?;
        (reply.status != 503).then_some(reply)
    });
    assert_eq!(served.status, 200, "{}", served.body);
    assert_eq!(cluster.request_counts(app_address)["bodies"]["seat 8"], 1);
}

#[test]
fn retried_change_takes_no_space_in_the_log() {
    let cluster = Cluster::start(3, 0);
    let mut inventory = INVENTORY.to_owned();
    for i in 0..2000 {
        inventory.push_str(&format!("\n[[services]]\nname = \"service-{i}\"\n"));
    }
    let disk_bytes = || cluster.show("status")["disk_bytes"].as_u64().unwrap();
    cluster.apply(&inventory, &["--change-id", "large"]);
    let after_first = disk_bytes();
    for _ in 0..5 {
        cluster.apply(&inventory, &["--change-id", "large"]);
    }
    let grown = disk_bytes() - after_first;
    assert!(grown < inventory.len() as u64 / 2, "{grown} bytes");
}
