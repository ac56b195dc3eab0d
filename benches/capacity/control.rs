//! What control costs while no request runs: renewals, load reports, heartbeats.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::cpu;
use crate::support::octets;
use crate::support::resident_mb;

/// Time over which each point is measured.
const WINDOW: Duration = Duration::from_secs(10);

/// Time before it, in which new entries and upstreams become known.
const SETTLE: Duration = Duration::from_secs(5);

/// What is varied.
struct Point {
    entries: usize,
    upstreams: u32,
    versions: usize,
    organisations: usize,
}

const BASE: Point = Point {
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
        measure(&Point { entries, ..BASE });
    }
    for upstreams in [10, 200, 830] {
        measure(&Point { upstreams, ..BASE });
    }
    for versions in [20, 100] {
        measure(&Point { versions, ..BASE });
    }
    for organisations in [100, 1000] {
        measure(&Point {
            organisations,
            ..BASE
        });
    }
}

fn inventory(point: &Point) -> String {
    let mut text = INVENTORY.to_owned();
    for i in 2..point.versions {
        text.push_str(&format!(
            "\n[[models]]\nname = \"m{i}\"\n[[models.versions]]\nname = \"1\"\ncost_in = 1.0\n\
             cost_out = 2.0\n"
        ));
    }
    for i in 2..point.organisations {
        text.push_str(&format!(
            "\n[[organisations]]\nname = \"org-{i}\"\nkey_sha256 = [\"{i:064x}\"]\n\
             quality_target = 0.5\nallowed = [\"notes\"]\n"
        ));
    }

    text
}

fn measure(point: &Point) {
    let mut cluster = Cluster::start(3, point.entries);
    cluster.apply(&inventory(point), &[]);
    let count = point.upstreams.to_string();
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
        (rows.as_array()?.len() == point.upstreams as usize).then_some(())
    });
    thread::sleep(SETTLE);
    let leader = cluster.leader();
    let leader_pid = cluster.replicas[leader].pid();
    let follower_pid = cluster.replicas[(leader + 1) % 3].pid();
    let entry_pids: Vec<u32> = cluster.entries.iter().map(|entry| entry.pid()).collect();
    // The upstreams' own reports come over loopback too; they are counted apart.
    let entries_cpu = || entry_pids.iter().map(|&pid| cpu(pid)).sum::<Duration>();
    let before = (entries_cpu(), cpu(leader_pid), cpu(follower_pid), octets());
    let started = Instant::now();
    thread::sleep(WINDOW);
    let seconds = started.elapsed().as_secs_f64();
    let after = (entries_cpu(), cpu(leader_pid), cpu(follower_pid), octets());
    drop(standin);
    let quiet = octets();
    thread::sleep(Duration::from_secs(3));
    let quiet = (octets() - quiet) as f64 / 3.0;
    let percent = |from: Duration, to: Duration| (to - from).as_secs_f64() / seconds * 100.0;
    let entries = point.entries as f64;
    let entry_mb = entry_pids.iter().map(|&pid| resident_mb(pid)).sum::<f64>() / entries;
    let with_reports = (after.3 - before.3) as f64 / seconds;
    println!(
        "{:<8} {:<10} {:<9} {:<14} {:>10.3}  {:>9.0}  {entry_mb:>8.1}  {:>12.2}  {:>9.1}  {:>14.2}  \
         (with reports {:.0} B/s an entry)",
        point.entries,
        point.upstreams,
        point.versions,
        point.organisations,
        percent(before.0, after.0) / entries,
        quiet / entries,
        percent(before.1, after.1),
        resident_mb(leader_pid),
        percent(before.2, after.2),
        with_reports / entries,
    );
}
