//! The load that requests put on the state replicas, through entries and as claims alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use daisyquay::peer::Client;
use daisyquay::peer::Reply;
use daisyquay::peer::Request;
use daisyquay::state::Claim;
use daisyquay::state::RequestId;
use daisyquay::state::Target;
use daisyquay::state::command::Ending;
use daisyquay::state::command::LedgerOp;
use daisyquay::state::command::Settlement;

use crate::support::Cluster;
use crate::support::cpu_time;
use crate::support::quantile;
use crate::support::received_bytes;
use crate::support::resident_mb;

/// Time for which each request rate is kept up.
const MEASURED_TIME: Duration = Duration::from_secs(8);

/// Peer key of the clusters that the test helpers start.
const PEER_KEY: &str = "test-peer-key";

/// Prints the costs of chat requests at several rates through four entries.
pub(crate) fn run_requests() {
    println!(
        "asked_req/s  served_req/s  entry_us/req  leader_us/req  follower_us/req  bytes/req  \
         leader_MB"
    );
    for rate in [100, 400, 1600] {
        measure_rate(rate);
    }
}

fn measure_rate(rate: u64) {
    let mut cluster = Cluster::start_with_inventory(3, 4);
    let flags = [
        "--versions",
        "notes@small",
        "--slots",
        "4000",
        "--token",
        "0",
    ];
    let (_runner, _) = cluster.start_announced_standin("runner-1", &flags);
    let leader = cluster.leader();
    let pids = [
        cluster.replicas[leader].pid(),
        cluster.replicas[(leader + 1) % 3].pid(),
    ];
    let entry_pids: Vec<u32> = cluster.entries.iter().map(|entry| entry.pid()).collect();
    let entries_cpu = || {
        entry_pids
            .iter()
            .map(|&pid| cpu_time(pid))
            .sum::<Duration>()
    };
    let served = Arc::new(AtomicU64::new(0));
    let before = (
        entries_cpu(),
        cpu_time(pids[0]),
        cpu_time(pids[1]),
        received_bytes(),
    );
    let started = Instant::now();
    let threads: Vec<_> = (0..32)
        .map(|i| {
            let address = cluster.entry_addresses[i % 4];
            let served = served.clone();
            thread::spawn(move || send_at_rate(address, rate as f64 / 32.0, &served))
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let seconds = started.elapsed().as_secs_f64();
    let count = served.load(Ordering::SeqCst) as f64;
    let after = (
        entries_cpu(),
        cpu_time(pids[0]),
        cpu_time(pids[1]),
        received_bytes(),
    );
    let us_per_request = |from: Duration, to: Duration| (to - from).as_secs_f64() * 1e6 / count;
    println!(
        "{rate:<12} {:<13.0} {:>11.0}  {:>13.0}  {:>15.0}  {:>9.0}  {:>9.1}",
        count / seconds,
        us_per_request(before.0, after.0),
        us_per_request(before.1, after.1),
        us_per_request(before.2, after.2),
        (after.3 - before.3) as f64 / count,
        resident_mb(pids[0]),
    );
}

/// Sends chat requests at `rate` per second and counts the served ones.
fn send_at_rate(address: SocketAddr, rate: f64, served: &AtomicU64) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{address}/v1/chat/completions");
    let body = "{\"model\":\"notes\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\
                \"content\":\"hello\"}]}";
    let started = Instant::now();
    for i in 0.. {
        let due = Duration::from_secs_f64(f64::from(i) / rate);
        if due >= MEASURED_TIME {
            return;
        }
        thread::sleep(due.saturating_sub(started.elapsed()));
        let request = agent
            .post(&url)
            .header("authorization", "Bearer dev-maple-key");
        if let Ok(mut reply) = request.send(body)
            && reply.status() == 200
        {
            let _ = reply.body_mut().read_to_string();
            served.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Returns the claim of a request.
pub(crate) fn claim(request: u128) -> LedgerOp {
    LedgerOp::Claim(Claim {
        request: RequestId(request),
        organisation: "maple".into(),
        target: Target::Version("notes@small".parse().unwrap()),
        upstream: "runner-1".into(),
        entry: 7,
        idempotency_key: None,
        session: None,
        at_most_once: false,
    })
}

/// Returns the settlement of a claim.
pub(crate) fn settle(request: u128) -> LedgerOp {
    LedgerOp::Settle(Settlement {
        request: RequestId(request),
        tokens_in: 100,
        tokens_out: 200,
        ending: Ending::Whole,
        ttft_ms: 100,
        earlier_steps: Vec::new(),
        final_target: None,
    })
}

/// Runs a future that uses the peer client.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Sends ledger operations to the leader until it accepts them.
pub(crate) async fn send(client: &Client, leader: SocketAddr, ops: Vec<LedgerOp>) {
    let request = Request::Ledger(ops);
    loop {
        let reply = client.call(leader, &request, Duration::from_secs(10)).await;
        if let Ok(Reply::Ledger(_)) = reply {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a client with the peer key of the clusters that the test helpers start.
pub(crate) fn client() -> Client {
    Client::new(PEER_KEY)
}

/// Prints the throughput and latency of claims by the number of concurrent calls, with one claim in
/// each call.
pub(crate) fn run_claims() {
    println!("under_way  claims/s  p50_ms  p99_ms  leader_us/claim");
    let cluster = Cluster::start_with_inventory(3, 0);
    let index = cluster.leader();
    let leader = cluster.replica_addresses[index];
    let pid = cluster.replicas[index].pid();
    let mut next_id = 0;
    for concurrent_calls in [1, 32, 256, 1024] {
        let total = 40 * concurrent_calls.max(25) as u128;
        let before = cpu_time(pid);
        let started = Instant::now();
        let mut times = block_on(async {
            let client = client();
            let tasks: Vec<_> = (0..concurrent_calls as u128)
                .map(|i| {
                    let client = client.clone();
                    let per_task = total / concurrent_calls as u128;
                    tokio::task::spawn_local(async move {
                        let mut times = Vec::new();
                        for j in 0..per_task {
                            let started = Instant::now();
                            send(&client, leader, vec![claim(next_id + i * per_task + j)]).await;
                            times.push(started.elapsed().as_secs_f64() * 1e3);
                        }
                        times
                    })
                })
                .collect();
            let mut times = Vec::new();
            for task in tasks {
                times.extend(task.await.unwrap());
            }
            times
        });
        let seconds = started.elapsed().as_secs_f64();
        let us_per_claim = (cpu_time(pid) - before).as_secs_f64() * 1e6 / times.len() as f64;
        next_id += total;
        times.sort_by(f64::total_cmp);
        println!(
            "{concurrent_calls:<10} {:>8.0}  {:>6.2}  {:>6.2}  {us_per_claim:>15.0}",
            times.len() as f64 / seconds,
            quantile(&times, 0.5),
            quantile(&times, 0.99),
        );
    }
}
