//! Small stand-ins of what the platform gives: model runners, plain services and the rater, with
//! faults on demand. For tests and `daisyquay-dev`.

mod announce;
mod engine;
mod faults;
mod server;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use self::faults::Faults;

use self::server::Stand;
use crate::collections::Name;
use crate::config::VersionName;

/// What a stand-in is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where it takes requests.
    pub listen: SocketAddr,
    /// Entries to announce to; none means that it does not announce itself.
    pub entries: Vec<SocketAddr>,
    /// Key to announce with.
    pub upstream_key: String,
    /// Name of the upstream.
    pub id: Name,
    /// Upstreams to announce, all at the one address.
    pub count: u32,
    /// Data centre.
    pub data_centre: Name,
    /// Versions that it serves.
    pub versions: Vec<VersionName>,
    /// Plain service that it serves instead.
    pub service: Option<Name>,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Time to the first token.
    pub initial_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Time between load reports.
    pub report_interval: Duration,
    /// What the rater thinks of versions.
    pub quality: Vec<(VersionName, f64)>,
}

/// Runs a stand-in until it is told to stop; `ready` is told its address.
///
/// # Errors
///
/// Its address can't be listened on.
pub async fn run(cfg: Config, ready: impl FnOnce(SocketAddr)) -> std::io::Result<()> {
    let (address, stand, server) = start(cfg)?;
    ready(address);
    crate::signal::stop_requested().await;
    announce::leave(&stand).await;
    server.stop(true).await;
    Ok(())
}

/// Starts a stand-in on the current runtime.
pub(crate) fn start(
    cfg: Config,
) -> std::io::Result<(SocketAddr, Arc<Stand>, ntex::server::Server)> {
    let listener = std::net::TcpListener::bind(cfg.listen)?;
    let address = listener.local_addr()?;
    let stand = Arc::new(Stand::new(cfg));
    let server = server::serve(listener, stand.clone())?;
    if !stand.cfg.entries.is_empty() {
        tokio::task::spawn_local(announce::keep(stand.clone(), address));
    }
    Ok((address, stand, server))
}
