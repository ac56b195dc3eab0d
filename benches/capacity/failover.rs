//! Time without service after the leader is killed or suspended: the longest time between two
//! served requests, for requests that may be retried and for those that must be claimed first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support::Cluster;

/// Failovers in each case.
const SAMPLES: usize = 5;

pub(crate) fn run() {
    println!("case           request       min_s  median_s  max_s");
    for suspend in [false, true] {
        let mut gaps: Vec<[f64; 2]> = (0..SAMPLES).map(|_| measure_gaps(suspend)).collect();
        for (i, kind) in ["repeatable", "claimed first"].into_iter().enumerate() {
            gaps.sort_by(|a, b| a[i].total_cmp(&b[i]));
            println!(
                "{:<14} {kind:<13} {:>5.2}  {:>8.2}  {:>5.2}",
                if suspend {
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

/// Runs one failover and returns the longest gap of each kind of request, in seconds.
fn measure_gaps(suspend: bool) -> [f64; 2] {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, _) = cluster.start_announced_standin("runner-1", &["--versions", "notes@small"]);
    let (_app, _) = cluster.start_announced_standin("app-1", &["--service", "previews"]);
    let leader = cluster.leader();
    let stop = Arc::new(AtomicBool::new(false));
    let threads = [
        ("GET", "/app/previews/covers"),
        ("POST", "/app/previews/holds"),
    ]
    .map(|(method, path)| spawn_caller(cluster.entry_addresses[0], method, path, &stop));
    thread::sleep(Duration::from_secs(1));
    if suspend {
        cluster.replicas[leader].suspend();
    } else {
        cluster.replicas[leader].kill();
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    let gaps = threads.map(|thread| thread.join().unwrap());
    if suspend {
        cluster.replicas[leader].resume();
    }
    gaps
}

/// Sends requests until `stop` is set and returns the longest time between two responses with
/// status 200, in seconds.
fn spawn_caller(
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
        let mut last_served = Instant::now();
        let mut longest_s = 0.0_f64;
        while !stop.load(Ordering::SeqCst) {
            let request = ureq::http::Request::builder()
                .method(method)
                .uri(&url)
                .header("authorization", "Bearer dev-maple-key");
            let response = agent.run(request.body(()).unwrap());
            if response.is_ok_and(|response| response.status() == 200) {
                longest_s = longest_s.max(last_served.elapsed().as_secs_f64());
                last_served = Instant::now();
            }
            thread::sleep(Duration::from_millis(10));
        }
        longest_s
    })
}
