//! Memory of the state by its contents, size of its snapshot, and a restart after many changes and
//! claims.

use std::time::Duration;
use std::time::Instant;

use daisyquay::config;
use daisyquay::state::State;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::Command;
use daisyquay::state::command::Op;
use daisyquay::state::command::PinRequest;

use super::ledger::block_on;
use super::ledger::claim;
use super::ledger::client;
use super::ledger::send;
use super::ledger::settle;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::eventually;
use crate::support::resident_mb;

/// Changes and claims that are applied before the restart.
const CHANGES: usize = 10_000;
const CLAIMS: u128 = 1_000_000;

/// Claims in one call, each followed by its settlement.
const BATCH_SIZE: u128 = 250;

pub(crate) fn run() {
    println!("held              count     MB_resident  MB_snapshot  encode_ms  apply_us");
    for count in [10_000, 100_000, 1_000_000] {
        measure("pinned sessions", count, |i| {
            Op::Pin(PinRequest {
                organisation: "maple".into(),
                session: format!("session-{i:012}").into(),
                proposed: "notes@small".parse().unwrap(),
            })
        });
    }
    for count in [10_000, 100_000] {
        measure("open claims", count, |i| {
            Op::Ledger(vec![claim(u128::from(i))])
        });
    }
    measure("audited changes", 10_000, |i| change(&format!("c{i}")));
    measure_restart();
}

fn change(id: &str) -> Op {
    Op::Change(ChangeRequest {
        change_id: id.into(),
        who: "ann".into(),
        expected_revision: None,
        change: Change::Apply(config::parse(INVENTORY).unwrap().into()),
    })
}

/// Applies `count` operations to a new state and prints its size and the times.
fn measure(what: &str, count: u64, op: impl Fn(u64) -> Op) {
    let before = resident_mb(std::process::id());
    let mut state = State::default();
    let first = change("first");
    state.apply(
        1,
        Command {
            at_ms: 1,
            op: first,
        },
    );
    let mut apply_time = Duration::ZERO;
    for i in 0..count {
        let command = Command {
            at_ms: 1,
            op: op(i),
        };
        let started = Instant::now();
        state.apply(i + 2, command);
        apply_time += started.elapsed();
    }
    let resident = resident_mb(std::process::id()) - before;
    let started = Instant::now();
    let encoded = bincode::serde::encode_to_vec(&state, bincode::config::standard()).unwrap();
    let encode_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "{what:<17} {count:<9} {resident:>11.1}  {:>11.1}  {encode_ms:>9.1}  {:>8.2}",
        encoded.len() as f64 / 1e6,
        apply_time.as_secs_f64() * 1e6 / count as f64,
    );
}

/// Restarts all replicas after [`CHANGES`] changes and [`CLAIMS`] claims.
fn measure_restart() {
    let mut cluster = Cluster::start_with_inventory(3, 0);
    let leader = cluster.replica_addresses[cluster.leader()];
    let started = Instant::now();
    block_on(async {
        let client = client();
        for batch in 0..CLAIMS / BATCH_SIZE {
            let ops = (0..BATCH_SIZE)
                .flat_map(|i| {
                    [
                        claim(batch * BATCH_SIZE + i),
                        settle(batch * BATCH_SIZE + i),
                    ]
                })
                .collect();
            send(&client, leader, ops).await;
        }
    });
    let claims_s = started.elapsed().as_secs_f64();
    let started = Instant::now();
    // Changes are sent one after the other, in the same calls as those of the command line.
    let changes = apply_changes(&cluster, leader);
    let changes_s = started.elapsed().as_secs_f64();
    let resident = resident_mb(cluster.replicas[0].pid());
    let status = cluster.show("status");
    let disk_bytes = status["disk_bytes"].as_u64().unwrap();
    for replica in &mut cluster.replicas {
        replica.kill();
    }
    let started = Instant::now();
    for i in 0..3 {
        cluster.replicas[i] = cluster.start_replica(i);
    }
    let revision = eventually("the state replicas answer after the restart", || {
        cluster.show("status")["revision"].as_u64()
    });
    println!(
        "restart after {CLAIMS} claims ({:.0}/s settled) and {changes} changes ({:.0}/s): \
         {:.2} s until a leader answers with revision {revision}, {:.1} MB on disk, {resident:.1} \
         MB resident before",
        CLAIMS as f64 / claims_s,
        changes as f64 / changes_s,
        started.elapsed().as_secs_f64(),
        disk_bytes as f64 / 1e6,
    );
}

/// Applies [`CHANGES`] changes and returns their number.
fn apply_changes(cluster: &Cluster, leader: std::net::SocketAddr) -> usize {
    use daisyquay::peer::Client;
    use daisyquay::peer::OperatorChange;
    use daisyquay::peer::Request;
    let _ = cluster;
    block_on(async {
        let client = Client::new("key-of-ann");
        for i in 0..CHANGES {
            let operation = OperatorChange {
                change_id: format!("change-{i}").into(),
                expected_revision: None,
                change: Change::Drain {
                    vm: "nobody".into(),
                    draining: i % 2 == 0,
                },
                wait_ms: 0,
            };
            let request = Request::Change(operation);
            client
                .call(leader, &request, Duration::from_secs(10))
                .await
                .unwrap();
        }
    });
    CHANGES
}
