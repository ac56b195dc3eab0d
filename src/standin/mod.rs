//! Stand-ins for model runners, plain services and the rater, with faults that tests inject. Used
//! by tests and by `daisyquay-dev`.

mod announce;
mod engine;
mod faults;
mod server;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use self::faults::Faults;

use self::server::StandIn;
use crate::collections::Name;
use crate::config::VersionName;

/// Settings of a stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address on which it listens for requests.
    pub listen: SocketAddr,
    /// Entries to which it announces itself; if empty, it announces itself to none.
    pub entries: Vec<SocketAddr>,
    /// Key with which it authenticates to the entries.
    pub upstream_key: String,
    /// Id of the upstream; with a `count` above 1, the prefix of the ids.
    pub id: Name,
    /// Number of upstreams that it announces, all at the same address.
    pub count: u32,
    /// Data centre that it announces.
    pub data_centre: Name,
    /// Model versions that it serves.
    pub versions: Vec<VersionName>,
    /// Plain service that it serves; `None` if it serves `versions`.
    pub service: Option<Name>,
    /// Concurrent requests of each announced upstream; the upstreams share all slots.
    pub slots: u32,
    /// Time to the first token; for a plain service, to the response.
    pub initial_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Time between load reports.
    pub report_interval: Duration,
    /// Mean scores that the rater gives to model versions.
    pub quality: Vec<(VersionName, f64)>,
}

/// Runs a stand-in until the process is asked to stop; `ready` is called with its address.
///
/// # Errors
///
/// Returns an error if it can't listen on its address.
pub async fn run(cfg: Config, ready: impl FnOnce(SocketAddr)) -> std::io::Result<()> {
    let (address, standin, server) = start(cfg)?;
    ready(address);
    crate::signal::stop_requested().await;
    announce::leave(&standin).await;
    server.stop(true).await;
    Ok(())
}

/// Starts a stand-in on the current runtime.
pub(crate) fn start(
    cfg: Config,
) -> std::io::Result<(SocketAddr, Arc<StandIn>, ntex::server::Server)> {
    let listener = std::net::TcpListener::bind(cfg.listen)?;
    let address = listener.local_addr()?;
    let standin = Arc::new(StandIn::new(cfg));
    let server = server::serve(listener, standin.clone())?;
    if !standin.cfg.entries.is_empty() {
        tokio::task::spawn_local(announce::announce_and_report(standin.clone(), address));
    }
    Ok((address, standin, server))
}
