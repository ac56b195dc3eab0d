//! Time from `apply` to in force, and what a change costs on the wire.

use std::time::Instant;

use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::octets;

const SAMPLES: usize = 7;

pub(crate) fn run() {
    println!("case                     entries  min_s  median_s  max_s  bytes/change/entry");
    for entries in [4, 16, 48] {
        let cluster = Cluster::start_with_inventory(3, entries);
        sample("all up", &cluster, entries);
    }
    let cluster = Cluster::start_with_inventory(3, 4);
    cluster.entries[0].suspend();
    sample("an entry frozen", &cluster, 4);
    cluster.entries[0].resume();
    let mut cluster = Cluster::start_with_inventory(3, 4);
    let follower = (cluster.leader() + 1) % 3;
    cluster.replicas[follower].kill();
    sample("a replica down", &cluster, 4);
}

fn sample(case: &str, cluster: &Cluster, entries: usize) {
    let mut times = Vec::new();
    let before = octets();
    for _ in 0..SAMPLES {
        let started = Instant::now();
        cluster.apply(INVENTORY, &[]);
        times.push(started.elapsed().as_secs_f64());
    }
    let spent: f64 = times.iter().sum();
    let busy = (octets() - before) as f64;
    // Renewals go on meanwhile: what they take in the same time is not the change's.
    let quiet = octets();
    std::thread::sleep(std::time::Duration::from_secs(3));
    let quiet = (octets() - quiet) as f64 / 3.0 * spent;
    times.sort_by(f64::total_cmp);
    println!(
        "{case:<24} {entries:<8} {:>5.2}  {:>8.2}  {:>5.2}  {:>18.0}",
        times[0],
        times[SAMPLES / 2],
        times[SAMPLES - 1],
        (busy - quiet).max(0.0) / (SAMPLES * entries) as f64,
    );
}
