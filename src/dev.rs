//! A state replica, an entry, stand-ins and the sample inventory in one process on loopback, for
//! development.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::Settings;
use crate::clock::System;
use crate::collections::HashMap;
use crate::config;
use crate::config::KeyHash;
use crate::entry;
use crate::peer::Client;
use crate::peer::OperatorChange;
use crate::peer::Reply;
use crate::peer::Request;
use crate::replica;
use crate::standin;
use crate::state::command::Change;

/// The sample inventory, as TOML.
const SAMPLE_INVENTORY: &str = include_str!("../examples/inventory.toml");

/// Keys of the sample inventory, for use on loopback only.
const PEER_KEY: &str = "dev-peer-key";
const OPERATOR_KEY: &str = "dev-operator-key";
const UPSTREAM_KEY: &str = "dev-upstream-key";
const CALLER_KEY: &str = "dev-maple-key";

/// Time in which the sample inventory must be applied at the entry.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of `daisyquay-dev`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address on which the entry listens for callers.
    pub listen: SocketAddr,
}

/// Runs all parts until the process is asked to stop.
///
/// # Errors
///
/// Returns a message for the user if a part can't be started or the entry fails.
pub async fn run(cfg: Config) -> Result<(), String> {
    let state_address = free_address()?;
    let data_folder = std::env::temp_dir().join(format!("daisyquay-dev-{}", std::process::id()));
    let replica = replica::Config {
        listen: state_address,
        advertise: state_address,
        admin_listen: free_address()?,
        replicas: vec![state_address],
        data: data_folder.clone(),
        peer_key: PEER_KEY.to_owned(),
        operators: vec![("dev".into(), KeyHash::of(OPERATOR_KEY))],
        may_bootstrap: true,
        target_voters: 1,
        contacts: Vec::new(),
        snapshot_every: 20_000,
        order_resend_time: replica::DEFAULT_ORDER_RESEND_TIME,
        data_centres: BTreeSet::new(),
        settings: Settings::default(),
        address_flags: replica::AddressFlags::default(),
    };
    let rater = start_standin(
        &cfg,
        "rater",
        None,
        &[],
        &[("notes@small", 0.7), ("notes@large", 0.9)],
    )?;
    let entry = entry::Config {
        listen: cfg.listen,
        advertise: None,
        admin_listen: free_address()?,
        vm: "dev".into(),
        data_centre: "dc1".into(),
        regions: HashMap::default(),
        state: vec![state_address],
        peer_key: PEER_KEY.to_owned(),
        rater: Some(rater),
        rating_cost: 0.0,
        workers: 2,
        connections: 1024,
        body_limit: 4 << 20,
        address_ttl: Duration::ZERO,
    };
    let admin = entry.admin_listen;
    let entry_task = tokio::task::spawn_local(entry::run(entry, Arc::new(System::new())));
    let replica_task = tokio::task::spawn_local(replica::run(replica, Arc::new(System::new())));
    apply_sample_inventory(state_address).await?;
    for (id, versions) in [
        ("runner-1", &["notes@small"][..]),
        ("runner-2", &["notes@small", "notes@large"]),
    ] {
        start_standin(&cfg, id, None, versions, &[])?;
    }
    start_standin(&cfg, "app-1", Some("previews"), &[], &[])?;
    print_help(&cfg, admin, state_address);
    let result = entry_task.await;
    replica_task.abort();
    let _ = std::fs::remove_dir_all(&data_folder);
    match result {
        Ok(Ok(())) => Ok(()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(e) => Err(e.to_string()),
    }
}

/// Returns a loopback address with a port that is free now.
fn free_address() -> Result<SocketAddr, String> {
    std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .map_err(|e| format!("can't bind a free port on 127.0.0.1: {e}"))
}

/// Starts a stand-in and returns its address; one without a service or versions is a rater, which
/// doesn't announce itself.
fn start_standin(
    cfg: &Config,
    id: &str,
    service: Option<&str>,
    versions: &[&str],
    quality: &[(&str, f64)],
) -> Result<SocketAddr, String> {
    let is_announced = service.is_some() || !versions.is_empty();
    let standin = standin::Config {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        entries: if is_announced {
            vec![cfg.listen]
        } else {
            Vec::new()
        },
        upstream_key: UPSTREAM_KEY.to_owned(),
        id: id.into(),
        count: 1,
        data_centre: "dc1".into(),
        versions: versions
            .iter()
            .filter_map(|name| name.parse().ok())
            .collect(),
        service: service.map(Into::into),
        slots: 8,
        initial_delay: Duration::from_millis(20),
        token_interval: Duration::from_millis(5),
        report_interval: Duration::from_millis(500),
        quality: quality
            .iter()
            .filter_map(|(name, quality)| Some((name.parse().ok()?, *quality)))
            .collect(),
    };
    let (address, _, _) =
        standin::start(standin).map_err(|e| format!("can't start stand-in {id}: {e}"))?;
    Ok(address)
}

/// Applies the sample inventory and waits until it is in force at the entry.
async fn apply_sample_inventory(state: SocketAddr) -> Result<(), String> {
    let inventory = config::parse(SAMPLE_INVENTORY)?;
    let client = Client::new(OPERATOR_KEY);
    let operation = OperatorChange {
        change_id: "dev-sample".into(),
        expected_revision: None,
        change: Change::Apply(Arc::new(inventory)),
        wait_ms: 10_000,
    };
    let apply = async {
        loop {
            let request = Request::Change(operation.clone());
            let reply = client.call(state, &request, APPLY_TIMEOUT).await;
            if let Ok(Reply::Change(reply)) = reply
                && reply.in_force == Some(true)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(APPLY_TIMEOUT, apply)
        .await
        .map_err(|_| {
            "the sample inventory was not in force at the entry before the timeout; see the log"
                .to_owned()
        })
}

fn print_help(cfg: &Config, admin: SocketAddr, state: SocketAddr) {
    println!(
        "daisyquay listens on http://{}; metrics on http://{admin}/metrics",
        cfg.listen
    );
    println!("try:");
    println!(
        "  curl -s http://{}/v1/chat/completions -H 'Authorization: Bearer {CALLER_KEY}' -d \
         '{{\"model\":\"notes\",\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        cfg.listen
    );
    println!("  daisyquay --state {state} --operator-key {OPERATOR_KEY} show status");
}
