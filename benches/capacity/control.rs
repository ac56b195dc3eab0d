//! The cost of control messages while no requests run: renewals, load reports and heartbeats.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::cpu_time;
use crate::support::received_bytes;
use crate::support::resident_mb;

/// Time over which each configuration is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Time before the measurement, in which entries and upstreams become known everywhere.
const WARM_UP_TIME: Duration = Duration::from_secs(5);

/// Size of the cluster under measurement.
struct ClusterSize {
    entries: usize,
    upstreams: u32,
    versions: usize,
    organisations: usize,
}

/// The size from which each row of the table differs in one field.
const BASE: ClusterSize = ClusterSize {
    entries: 8,
    upstreams: 40,
    versions: 2,
    organisations: 2,
};

pub(crate) fn run() {
    println!(
        "entries  upstreams  versions  organisations  entry_cpu_%  entry_B/s  entry_MB  \
         leader_cpu_%  leader_MB  follower_cpu_%"
    );
    for entries in [4, 16, 48, 96] {
        measure(&ClusterSize { entries, ..BASE });
    }
    for upstreams in [10, 200, 830] {
        measure(&ClusterSize { upstreams, ..BASE });
    }
    for versions in [20, 100] {
        measure(&ClusterSize { versions, ..BASE });
    }
    for organisations in [100, 1000] {
        measure(&ClusterSize {
            organisations,
            ..BASE
        });
    }
}

/// Returns the sample inventory, extended to the versions and organisations of `size`.
fn inventory(size: &ClusterSize) -> String {
    let mut text = INVENTORY.to_owned();
    for i in 2..size.versions {
        text.push_str(&format!(
            "\n[[models]]\nname = \"m{i}\"\n[[models.versions]]\nname = \"1\"\ncost_in = 1.0\n\
             cost_out = 2.0\n"
        ));
    }
    for i in 2..size.organisations {
        text.push_str(&format!(
            "\n[[organisations]]\nname = \"org-{i}\"\nkey_sha256 = [\"{i:064x}\"]\n\
             quality_target = 0.5\nallowed = [\"notes\"]\n"
        ));
    }

    text
}

fn measure(size: &ClusterSize) {
    let mut cluster = Cluster::start(3, size.entries);
    cluster.apply(&inventory(size), &[]);
    let count = size.upstreams.to_string();
    let flags = [
        "--versions",
        "notes@small",
        "--count",
        &count,
        "--report",
        "1",
    ];
    let (standin, _) = cluster.start_standin("runner", &flags);
    crate::support::eventually("all upstreams are known", || {
        let rows = cluster.show("upstreams");
        (rows.as_array()?.len() == size.upstreams as usize).then_some(())
    });
    thread::sleep(WARM_UP_TIME);
    let leader = cluster.leader();
    let leader_pid = cluster.replicas[leader].pid();
    let follower_pid = cluster.replicas[(leader + 1) % 3].pid();
    let entry_pids: Vec<u32> = cluster.entries.iter().map(|entry| entry.pid()).collect();
    let entries_cpu = || {
        entry_pids
            .iter()
            .map(|&pid| cpu_time(pid))
            .sum::<Duration>()
    };
    let before = (
        entries_cpu(),
        cpu_time(leader_pid),
        cpu_time(follower_pid),
        received_bytes(),
    );
    let started = Instant::now();
    thread::sleep(MEASURED_TIME);
    let seconds = started.elapsed().as_secs_f64();
    let after = (
        entries_cpu(),
        cpu_time(leader_pid),
        cpu_time(follower_pid),
        received_bytes(),
    );
    // The upstreams' load reports use loopback too, so the bytes are measured again without them.
    drop(standin);
    let before_idle = received_bytes();
    thread::sleep(Duration::from_secs(3));
    let idle_bytes_per_s = (received_bytes() - before_idle) as f64 / 3.0;
    let percent = |from: Duration, to: Duration| (to - from).as_secs_f64() / seconds * 100.0;
    let entries = size.entries as f64;
    let entry_mb = entry_pids.iter().map(|&pid| resident_mb(pid)).sum::<f64>() / entries;
    let bytes_per_s = (after.3 - before.3) as f64 / seconds;
    println!(
        "{:<8} {:<10} {:<9} {:<14} {:>10.3}  {:>9.0}  {entry_mb:>8.1}  {:>12.2}  {:>9.1}  {:>14.2}  \
         (with reports {:.0} B/s an entry)",
        size.entries,
        size.upstreams,
        size.versions,
        size.organisations,
        percent(before.0, after.0) / entries,
        idle_bytes_per_s / entries,
        percent(before.1, after.1),
        resident_mb(leader_pid),
        percent(before.2, after.2),
        bytes_per_s / entries,
    );
}
