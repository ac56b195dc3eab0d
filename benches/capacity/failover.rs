//! Time without service after the leader is killed or frozen: the longest gap between requests
//! that were served, plain ones and ones that must be claimed first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support::Cluster;

const SAMPLES: usize = 5;

pub(crate) fn run() {
    println!("case           request       min_s  median_s  max_s");
    for freeze in [false, true] {
        let mut gaps: Vec<[f64; 2]> = (0..SAMPLES).map(|_| one(freeze)).collect();
        for (i, kind) in ["repeatable", "claimed first"].into_iter().enumerate() {
            gaps.sort_by(|a, b| a[i].total_cmp(&b[i]));
            println!(
                "{:<14} {kind:<13} {:>5.2}  {:>8.2}  {:>5.2}",
                if freeze {
                    "leader frozen"
                } else {
                    "leader killed"
                },
                gaps[0][i],
                gaps[SAMPLES / 2][i],
                gaps[SAMPLES - 1][i],
            );
        }
    }
}

fn one(freeze: bool) -> [f64; 2] {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, _) = cluster.start_announced_standin("runner-1", &["--versions", "notes@small"]);
    let (_app, _) = cluster.start_announced_standin("app-1", &["--service", "previews"]);
    let leader = cluster.leader();
    let stop = Arc::new(AtomicBool::new(false));
    let watched = [
        ("GET", "/app/previews/covers"),
        ("POST", "/app/previews/holds"),
    ]
    .map(|(method, path)| watch(cluster.entry_addresses[0], method, path, &stop));
    thread::sleep(Duration::from_secs(1));
    if freeze {
        cluster.replicas[leader].suspend();
    } else {
        cluster.replicas[leader].kill();
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    let gaps = watched.map(|thread| thread.join().unwrap());
    if freeze {
        cluster.replicas[leader].resume();
    }
    gaps
}

fn watch(
    address: SocketAddr,
    method: &'static str,
    path: &'static str,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<f64> {
    let stop = stop.clone();
    thread::spawn(move || {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let url = format!("http://{address}{path}");
        let mut last = Instant::now();
        let mut longest = 0.0_f64;
        while !stop.load(Ordering::SeqCst) {
            let head = ureq::http::Request::builder()
                .method(method)
                .uri(&url)
                .header("authorization", "Bearer dev-lagon-key");
            let reply = agent.run(head.body(()).unwrap());
            if reply.is_ok_and(|reply| reply.status() == 200) {
                longest = longest.max(last.elapsed().as_secs_f64());
                last = Instant::now();
            }
            thread::sleep(Duration::from_millis(10));
        }
        longest
    })
}
