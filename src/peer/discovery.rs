//! Exchanges between processes which replicas there are.
//!
//! The settings of a process name a few VMs. Some of these may be gone, or run a process without a
//! replica. A process that finds no replica asks others; one that hears of a leader tells the VMs of
//! its settings. So knowledge flows in both directions between a process and the VMs that its settings
//! name. A process passes on only what a leader or a member of the log has told it: processes that
//! name each other do not keep a list alive whose replicas have been replaced.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;

use super::Client;
use super::Reply;
use super::Request;
use crate::log::event;
use crate::policy::replica_discovery;
use crate::policy::replica_discovery::Reports;

/// Time within which a process must reply, once connected.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks some of the processes at `addresses` which replicas there are. Returns what they list,
/// without duplicates; none if no process that replies in time hears of a leader.
pub(crate) async fn ask_for_replicas(
    key: &str,
    addresses: Vec<SocketAddr>,
    rng: &mut fastrand::Rng,
) -> Vec<SocketAddr> {
    let asked = replica_discovery::choose_asked(addresses, rng);
    let mut listed = Vec::new();
    for (address, reply) in call_all(key, asked, &Request::Replicas).await {
        if let Reply::Replicas(replicas) = reply
            && !replicas.is_empty()
        {
            log_report(address, &replicas);
            listed.extend(replicas);
        }
    }
    listed.sort_unstable();
    listed.dedup();
    listed
}

/// Logs which replicas a process has named.
fn log_report(by: SocketAddr, replicas: &[SocketAddr]) {
    event!(
        Info,
        "replicas_reported",
        by = by,
        replicas = format!("{replicas:?}")
    );
}

/// Tells the processes at `targets` which replicas there are, at intervals and for as long as the
/// process runs. `current` returns the replicas; none while no leader is heard of.
pub(crate) async fn report_replicas(
    key: &str,
    targets: &[SocketAddr],
    mut reports: Reports,
    current: impl Fn() -> Vec<SocketAddr>,
) {
    loop {
        let replicas = current();
        let report = reports.next(&replicas, targets, fastrand::f64());
        report_once(key, report.to, replicas).await;
        tokio::time::sleep(report.delay).await;
    }
}

/// Tells the processes at `targets` once which replicas there are.
pub(crate) async fn report_once(key: &str, targets: Vec<SocketAddr>, replicas: Vec<SocketAddr>) {
    if !targets.is_empty() {
        let _ = call_all(key, targets, &Request::ReportReplicas(replicas)).await;
    }
}

/// Calls several processes at once, on connections that close with this call. Returns the replies.
async fn call_all(
    key: &str,
    addresses: Vec<SocketAddr>,
    request: &Request,
) -> Vec<(SocketAddr, Reply)> {
    let client = Client::new(key);
    let mut calls = JoinSet::new();
    for address in addresses {
        let (client, request) = (client.clone(), request.clone());
        calls.spawn_local(async move {
            let reply = client.call(address, &request, REPLY_TIMEOUT).await;
            (address, reply)
        });
    }
    let mut replies = Vec::new();
    while let Some(call) = calls.join_next().await {
        if let Ok((address, Ok(reply))) = call {
            replies.push((address, reply));
        }
    }
    replies
}
