//! Replacement of a permanently lost replica by a new one at another address.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use daisyquay::agreement::ReplicaId;
use daisyquay::clock::System;
use daisyquay::peer::BootstrapStatus;
use daisyquay::peer::Caller;
use daisyquay::peer::Client;
use daisyquay::peer::Handler;
use daisyquay::peer::Reply;
use daisyquay::peer::Request;
use daisyquay::replica::ForwarderConfig;
use daisyquay::replica::start_forwarder;
use daisyquay::state::query::Query;

use crate::support::Cluster;
use crate::support::PEER_KEY;
use crate::support::Program;
use crate::support::eventually;
use crate::support::run;
use crate::support::start_stub_replica;

/// Returns the peer addresses of the voters, or `None` where the status lists no members.
fn voters(cluster: &Cluster) -> Option<BTreeSet<String>> {
    let status = cluster.show("status");
    let members = status["members"].as_array()?;
    let voters = members.iter().filter(|member| member[2] == "voter");
    Some(voters.map(|m| m[0].as_str().unwrap().to_owned()).collect())
}

#[test]
fn replacement_at_new_address_becomes_voter_without_operator() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let lost = cluster.leader();
    let address = cluster.replica_addresses[lost].to_string();
    cluster.replicas[lost].kill();
    let replacement = cluster.start_replacement();
    let new = cluster.replica_addresses[3].to_string();
    eventually("the replacement is a voter, the lost one removed", || {
        let voters = voters(&cluster)?;
        (voters.len() == 3 && voters.contains(&new) && !voters.contains(&address)).then_some(())
    });
    // The accepted change must survive the loss of a second replica right after the promotion.
    let second = (0..3).find(|&i| i != lost).unwrap();
    cluster.replicas[second].kill();
    eventually("two of three replicas serve the revision", || {
        (cluster.show("status")["revision"] == 1).then_some(())
    });
    drop(replacement);
}

/// Guards against a replica with the leader's address that blocks all changes of the membership,
/// because the leader can't remove itself.
#[test]
fn join_from_the_leaders_own_address_is_refused() {
    let cluster = Cluster::start_with_inventory(1, 0);
    let address = cluster.replica_addresses[0];
    let request = Request::Join {
        id: ReplicaId(1),
        address,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let timeout = std::time::Duration::from_secs(5);
    let client = Client::new(PEER_KEY);
    let call = client.call(address, &request, timeout);
    let reply = tokio::task::LocalSet::new().block_on(&runtime, call);
    assert!(matches!(reply, Ok(Reply::Refused(_))), "{reply:?}");
}

/// Returns the identity under which replica `i` is a member of the log.
fn member_id(cluster: &Cluster, i: usize) -> Option<String> {
    let address = cluster.replica_addresses[i].to_string();
    let status = cluster.show("status");
    let members = status["members"].as_array()?;
    let member = members.iter().find(|member| member[0] == address)?;
    member[1].as_str().map(str::to_owned)
}

/// Replaces a lost replica, so that it is removed from the log; returns its position and the
/// replacement.
fn remove_lost_replica(cluster: &mut Cluster) -> (usize, Program) {
    let lost = cluster.leader();
    cluster.replicas[lost].kill();
    let replacement = cluster.start_replacement();
    let new = cluster.replica_addresses[3].to_string();
    let old = cluster.replica_addresses[lost].to_string();
    eventually("the replacement is a voter, the lost one removed", || {
        let voters = voters(cluster)?;
        (voters.contains(&new) && !voters.contains(&old)).then_some(())
    });
    (lost, replacement)
}

/// Guards against a replica that is removed while it has no power, finds itself in its own old log
/// after the restart, and so is missing when further disks are lost.
#[test]
fn removed_replica_that_comes_back_with_its_disk_joins_again() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let (lost, replacement) = remove_lost_replica(&mut cluster);
    cluster.replicas[lost] = cluster.start_replica(lost);
    eventually("the former member is a member again", || {
        member_id(&cluster, lost)
    });
    drop(replacement);
}

/// A replica that has a log and follows no leader.
struct Leaderless;

impl Handler for Leaderless {
    fn call(&self, _: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        Box::pin(async move {
            match request {
                Request::BootstrapStatus => Reply::BootstrapStatus(BootstrapStatus {
                    id: ReplicaId(1),
                    has_log: true,
                }),
                _ => Reply::NotLeader { leader: None },
            }
        })
    }
}

/// Guards against a replica with a new disk that asks only the first address with a log, which may
/// be one that follows no leader.
#[test]
fn replica_with_a_new_disk_joins_although_the_first_address_follows_no_leader() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let leader = cluster.leader();
    let wiped = (0..3).find(|&i| i != leader).unwrap();
    let old_id = member_id(&cluster, wiped);
    assert!(old_id.is_some());
    cluster.replicas[wiped].kill();
    std::fs::remove_dir_all(cluster.data_folder(wiped)).unwrap();
    let mut known = vec![start_stub_replica(Leaderless)];
    known.extend(&cluster.replica_addresses);
    cluster.replicas[wiped] = cluster.start_replica_among(wiped, &known);
    eventually("the replica is a member under its new identity", || {
        member_id(&cluster, wiped).filter(|id| Some(id) != old_id.as_ref())
    });
}

/// Guards against a process without a replica that keeps only the addresses of its settings, and
/// reaches no leader once all of these are gone.
#[test]
fn process_without_a_replica_follows_replacements() {
    let mut cluster = Cluster::start_with_inventory(3, 0);
    let configured = cluster.replica_addresses.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let tasks = tokio::task::LocalSet::new();
    let handle = tasks.block_on(&runtime, async {
        let cfg = ForwarderConfig {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            listen_flag: "--listen",
            replicas: configured,
            contacts: Vec::new(),
            peer_key: PEER_KEY.to_owned(),
        };
        let started = start_forwarder(cfg, &[], Arc::new(System::new())).await;
        started.unwrap().0
    });
    // Long enough for the handle to have asked for the replicas after each replacement.
    let wait = || {
        tasks.block_on(&runtime, async {
            tokio::time::sleep(Duration::from_secs(6)).await;
        });
    };
    for i in 0..3 {
        cluster.replace_replica(i);
        wait();
    }
    let query = Request::Query(Query::Status);
    let operator = "ann".into();
    let call = handle.call_as_operator(&operator, query, Duration::from_secs(5));
    let reply = tasks.block_on(&runtime, call);
    assert!(matches!(reply, Some(Reply::Report(_))), "{reply:?}");
}

/// Guards against a command line that gives up on a leader that is not in `--state`.
#[test]
fn command_line_follows_to_a_leader_that_it_was_not_told_of() {
    let cluster = Cluster::start_with_inventory(3, 0);
    let leader = cluster.leader();
    let follower = cluster.replica_addresses[(leader + 1) % 3].to_string();
    let output = show_status(&follower, "key-of-ann");
    assert!(output.status.success(), "{output:?}");
}

/// Runs the command line's `show status` with some addresses and a key.
fn show_status(state: &str, key: &str) -> std::process::Output {
    run(std::process::Command::new(env!("CARGO_BIN_EXE_daisyquay"))
        .args(["--state", state, "--operator-key", key])
        .args(["--json", "show", "status"]))
}

/// Guards against a command line that gives up at a process without a replica, which has no operators,
/// although another address of `--state` has a replica.
#[test]
fn command_line_passes_over_an_address_that_knows_no_operators() {
    let cluster = Cluster::start_with_inventory(3, 0);
    let without_operators = start_stub_replica(Leaderless);
    let state = format!("{without_operators},{}", cluster.replica_addresses[0]);
    let output = show_status(&state, "key-of-ann");
    assert!(output.status.success(), "{output:?}");
}

/// Guards against a command line that looks for an address that accepts a wrong key until its time
/// limit.
#[test]
fn command_line_with_a_wrong_key_fails_once_every_address_has_rejected_it() {
    let cluster = Cluster::start_with_inventory(3, 0);
    let state: Vec<String> = cluster
        .replica_addresses
        .iter()
        .map(ToString::to_string)
        .collect();
    let started_at = Instant::now();
    let output = show_status(&state.join(","), "wrong-key");
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("rejected the key"), "{output:?}");
    assert!(started_at.elapsed() < Duration::from_secs(5), "{output:?}");
}
