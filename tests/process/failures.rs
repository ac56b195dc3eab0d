//! What must hold while things fail. After each failure the counts are compared: every request
//! billed once, no call that may not be repeated run twice, no accepted revision lost.

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

/// Sends plain requests until told to stop; returns how many were served.
fn load(address: SocketAddr, stop: &Arc<AtomicBool>) -> JoinHandle<u64> {
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

fn withdraw(cluster: &Cluster, id: &str) -> Vec<u8> {
    let args = ["rollout", "pause", "notes@small", "--change-id", id];
    cluster.run_cli(&args).stdout
}

fn revision(cluster: &Cluster) -> u64 {
    eventually("the status can be read", || {
        cluster.show("status")["revision"].as_u64()
    })
}

#[test]
fn the_leaders_death_loses_no_change_and_no_bill() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, _) = cluster.start_announced_standin("runner-1", &SMALL);
    let stop = Arc::new(AtomicBool::new(false));
    let running: Vec<_> = cluster
        .entry_addresses
        .iter()
        .map(|&a| load(a, &stop))
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
    // A request that failed for its caller may have run and is billed too, at most once each.
    let billed = cluster.billed_requests("lagon");
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
fn a_frozen_leader_that_wakes_up_changes_nothing() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, runner) =
        cluster.start_announced_standin("runner-1", &["--versions", "notes@small,notes@large"]);
    let leader = cluster.leader();
    cluster.replicas[leader].suspend();
    let output = cluster.run_cli(&["rollout", "withdraw", "notes@large", "--wait", "40"]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let before = cluster.request_counts(runner)["versions"]["notes@large"].clone();
    cluster.replicas[leader].resume();
    for i in 0..20 {
        let body = chat_body("notes", "hello", 3, false);
        cluster.chat(i % 2, &[], &body);
    }
    assert_eq!(
        cluster.request_counts(runner)["versions"]["notes@large"],
        before
    );
    assert_eq!(revision(&cluster), 2);
}

#[test]
fn a_wiped_replica_is_repaired_and_then_a_second_one_may_fail() {
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
    eventually("the repaired replica votes under a new identity", || {
        let members = cluster.show("status")["members"].clone();
        let rows = members.as_array()?;
        let voters = rows.iter().filter(|row| row[2] == "voter").count();
        (rows.len() == 3 && voters == 3 && members != old).then_some(())
    });
    // The one that holds the changes and the repaired one must be enough.
    cluster.replicas[second].kill();
    cluster.apply(INVENTORY, &["--change-id", "after"]);
    assert_eq!(revision(&cluster), 7);
    cluster.replicas[leader].kill();
    cluster.replicas[second] = cluster.start_replica(second);
    assert_eq!(revision(&cluster), 7);
}

#[test]
fn a_corrupt_middle_is_refused_and_a_torn_tail_is_cut() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let follower = (cluster.leader() + 1) % 3;
    cluster.replicas[follower].kill();
    let path = cluster.data_folder(follower).join("log");
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() - 3]).unwrap();
    cluster.replicas[follower] = cluster.start_replica(follower);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(cluster.replicas[follower].try_exit_code(), None);
    cluster.replicas[follower].kill();
    let mut damaged = whole.clone();
    damaged[30] ^= 1;
    std::fs::write(&path, &damaged).unwrap();
    cluster.replicas[follower] = cluster.start_replica(follower);
    let code = eventually("it refuses", || cluster.replicas[follower].try_exit_code());
    assert_eq!(code, Some(3));
    let log = std::fs::read_to_string(cluster.folder.join(format!("state-{follower}.log")));
    assert!(log.unwrap().contains("not a torn tail"));
}

#[test]
fn of_two_operators_with_equal_numbers_one_wins_and_a_resend_gets_its_answer() {
    let cluster = Cluster::start_with_inventory(3, 1);
    let start = ["rollout", "start", "notes@large", "--expect-revision", "1"];
    let outputs: Vec<_> = thread::scope(|scope| {
        let one = |who, id| {
            let cluster = &cluster;
            scope.spawn(move || {
                let mut args = vec!["--json"];
                args.extend(start);
                args.extend(["--change-id", id]);
                cluster.run_cli_as(who, &args)
            })
        };
        [one("ann", "a"), one("bob", "b")]
            .map(|racer| racer.join().unwrap())
            .into()
    });
    let codes: Vec<_> = outputs
        .iter()
        .map(|output| output.status.code().unwrap())
        .collect();
    assert!(codes == [0, 5] || codes == [5, 0], "{codes:?}");
    let winner = if codes[0] == 0 { "a" } else { "b" };
    let loser: Value = serde_json::from_slice(&outputs[usize::from(codes[0] == 0)].stdout).unwrap();
    assert_eq!(loser["outcome"]["conflict"]["winner"], winner);
    // A resend with the same id gets the first answer and changes nothing.
    let who = if winner == "a" { "ann" } else { "bob" };
    let mut args = vec!["--json"];
    args.extend(start);
    args.extend(["--change-id", winner]);
    let again = cluster.run_cli_as(who, &args);
    assert_eq!(again.stdout, outputs[usize::from(codes[0] != 0)].stdout);
    assert_eq!(revision(&cluster), 2);
    let _ = withdraw(&cluster, "c");
    let audit = cluster.run_cli(&["--json", "audit"]);
    let lines = String::from_utf8(audit.stdout).unwrap().lines().count();
    assert_eq!(
        lines, 4,
        "refused changes are in the trail, resends are not"
    );
}

#[test]
fn a_cut_off_entry_starts_nothing_once_the_change_is_in_force() {
    let mut cluster = Cluster::start(3, 1);
    let relays: Vec<PartitionProxy> = cluster
        .replica_addresses
        .iter()
        .map(|&address| PartitionProxy::start(address))
        .collect();
    cluster.configured_replicas = relays.iter().map(|relay| relay.address).collect();
    let cut_off = cluster.add_entry("dc2");
    cluster.apply(INVENTORY, &["--change-id", "first"]);
    let (_runner, runner) =
        cluster.start_announced_standin("runner-1", &["--versions", "notes@small,notes@large"]);
    let body = chat_body("notes@large", "hello", 3, false);
    eventually("the entry serves", || {
        (cluster.chat(cut_off, &[], &body)?.status == 200).then_some(())
    });
    for relay in &relays {
        relay.set_partitioned(true);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let address = cluster.entry_addresses[cut_off];
    // A short deadline keeps requests coming while the state can't be asked.
    let asking: Vec<_> = (0..4)
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
    let before = cluster.request_counts(runner)["versions"]["notes@large"].clone();
    thread::sleep(Duration::from_secs(2));
    for relay in &relays {
        relay.set_partitioned(false);
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for caller in asking {
        caller.join().unwrap();
    }
    assert_eq!(
        cluster.request_counts(runner)["versions"]["notes@large"],
        before
    );
    assert_eq!(cluster.chat(cut_off, &[], &body).unwrap().status, 410);
}

#[test]
fn a_call_that_may_not_be_repeated_runs_once_through_crash_and_resend() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_app, app) =
        cluster.start_announced_standin("app-1", &["--service", "previews", "--first", "0.5"]);
    let keyed = [AUTH_HEADER, ("idempotency-key", "hold-7")];
    let [first, second] = [cluster.entry_addresses[0], cluster.entry_addresses[1]];
    let caller = thread::spawn(move || post(first, "/app/previews/holds", &keyed, "seat 7"));
    eventually("the hold has reached the service", || {
        (cluster.request_counts(app)["bodies"]["seat 7"] == 1).then_some(())
    });
    cluster.entries[0].kill();
    let leader = cluster.leader();
    cluster.replicas[leader].kill();
    let _ = caller.join().unwrap();
    let resent = eventually("the resend is answered", || {
        let reply = post(second, "/app/previews/holds", &keyed, "seat 7")?;
        (reply.status == 409).then_some(reply)
    });
    assert_ne!(resent.header("daisyquay-ran"), "no");
    assert_eq!(cluster.request_counts(app)["bodies"]["seat 7"], 1);
}

#[test]
fn a_refusal_that_says_not_run_is_true_and_frees_the_key() {
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
    let (_app, app) = cluster.start_announced_standin("app-2", &["--service", "previews"]);
    let served = eventually("the freed key is used", || {
        let reply = post(entry, "/app/previews/holds", &keyed, "seat 8")?;
        (reply.status != 503).then_some(reply)
    });
    assert_eq!(served.status, 200, "{}", served.body);
    assert_eq!(cluster.request_counts(app)["bodies"]["seat 8"], 1);
}
