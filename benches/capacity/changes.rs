//! Time from `apply` until the change is in force, and the bytes that a change sends.

use std::time::Instant;

use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::received_bytes;

/// Changes that are applied in each case.
const SAMPLES: usize = 7;

pub(crate) fn run() {
    println!("case                     entries  min_s  median_s  max_s  bytes/change/entry");
    for entries in [4, 16, 48] {
        let cluster = Cluster::start_with_inventory(3, entries);
        measure("all up", &cluster, entries);
    }
    let cluster = Cluster::start_with_inventory(3, 4);
    cluster.entries[0].suspend();
    measure("an entry frozen", &cluster, 4);
    cluster.entries[0].resume();
    let mut cluster = Cluster::start_with_inventory(3, 4);
    let follower = (cluster.leader() + 1) % 3;
    cluster.replicas[follower].kill();
    measure("a replica down", &cluster, 4);
}

fn measure(case: &str, cluster: &Cluster, entries: usize) {
    let mut times = Vec::new();
    let before = received_bytes();
    for _ in 0..SAMPLES {
        let started = Instant::now();
        cluster.apply(INVENTORY, &[]);
        times.push(started.elapsed().as_secs_f64());
    }
    let total_s: f64 = times.iter().sum();
    let bytes = (received_bytes() - before) as f64;
    // Renewals send bytes at the same time: measures them alone and subtracts them.
    let before_idle = received_bytes();
    std::thread::sleep(std::time::Duration::from_secs(3));
    let idle_bytes = (received_bytes() - before_idle) as f64 / 3.0 * total_s;
    times.sort_by(f64::total_cmp);
    println!(
        "{case:<24} {entries:<8} {:>5.2}  {:>8.2}  {:>5.2}  {:>18.0}",
        times[0],
        times[SAMPLES / 2],
        times[SAMPLES - 1],
        (bytes - idle_bytes).max(0.0) / (SAMPLES * entries) as f64,
    );
}
