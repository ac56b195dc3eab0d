//! The entry daemon: serves callers over HTTP, answers address queries, accepts announcements of
//! upstreams, and holds a lease from the state replicas.
//!
//! The control thread runs the link to the replicas. Worker threads serve HTTP; all of them share
//! the tables in `shared::Shared`.

pub(crate) mod admission;
mod handlers;
mod ledger;
mod link;
mod open_requests;
mod refusal;
mod shared;
mod stop;
mod upstreams;
mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use ntex::http::HttpServiceConfig;
use ntex::io::IoConfig;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpServer;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;

pub(crate) use self::admission::Slot;
pub(crate) use self::open_requests::Unwritten;
pub(crate) use self::refusal::Ran;
pub(crate) use self::refusal::Refusal;
pub(crate) use self::shared::Shared;
pub(crate) use self::shared::Worker;
pub(crate) use self::upstreams::InFlight;
pub(crate) use self::view::View;

use self::open_requests::Tracking;

use crate::clock::Clock;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::engine::HttpEngine;
use crate::http_client;
use crate::listen;
use crate::listen::Endpoint;
use crate::listen::Sockets;
use crate::log::event;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Largest request head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Longest wait for a complete request head.
const HEAD_TIMEOUT: Seconds = Seconds(10);

/// Longest time in which the rest of a response is written to a connection that is being closed.
const CLOSE_TIMEOUT: Seconds = Seconds(60);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the listener for callers and upstreams.
    pub listen: SocketAddr,
    /// Address given to callers; `None` means `listen`.
    pub advertise: Option<SocketAddr>,
    /// Address of the admin listener.
    pub admin_listen: SocketAddr,
    /// This VM's name.
    pub vm: Name,
    /// This VM's data centre.
    pub data_centre: Name,
    /// Region of each data centre; one that is not listed is a region of its own name.
    pub regions: HashMap<Name, Name>,
    /// Peer listeners of the state replicas.
    pub state: Vec<SocketAddr>,
    /// Shared secret that authenticates daisyquay's processes to each other.
    pub peer_key: String,
    /// Address of the rater; `None` turns off ratings.
    pub rater: Option<SocketAddr>,
    /// Cost of rating one response, in price units.
    pub rating_cost: f64,
    /// Number of worker threads.
    pub workers: usize,
    /// Most open connections per worker.
    pub connections: usize,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// How long callers may cache an address response.
    pub address_ttl: Duration,
}

/// Why the daemon stopped.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A socket can't be opened.
    #[snafu(transparent)]
    Listen {
        /// Reason.
        source: listen::Error,
    },
    /// A listener can't be served.
    #[snafu(display("can't serve a listener: {source}"))]
    Serve {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs an entry until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// A listener can't be started.
pub async fn run(cfg: Config, clock: Arc<dyn Clock>) -> Result<(), Error> {
    let endpoints = [
        Endpoint::tcp("--listen", cfg.listen),
        Endpoint::tcp("--admin-listen", cfg.admin_listen),
    ];
    let open = Sockets::open(&endpoints, &*clock);
    let Some(opened) = crate::signal::unless_stopped(open).await else {
        return Ok(());
    };
    let mut sockets = opened?;
    let listener = sockets.next_tcp().into_std().context(ServeSnafu)?;
    let admin = sockets.next_tcp().into_std().context(ServeSnafu)?;
    let local_address = listener.local_addr().unwrap_or(cfg.listen);
    let (link_tx, link_rx) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(cfg.clone(), local_address, clock, link_tx));
    let status = crate::admin::Status {
        metrics: shared.metrics.clone(),
        ready: shared.ready.clone(),
    };
    let _admin = crate::admin::serve(admin, status).context(ServeSnafu)?;
    let server = serve(&cfg, listener, shared.clone()).context(ServeSnafu)?;
    event!(
        Info,
        "entry_start",
        vm = cfg.vm,
        listen = local_address,
        entry = shared.entry_id
    );
    let releasing = Arc::new(AtomicBool::new(false));
    let link = tokio::task::spawn_local(link::run(shared.clone(), link_rx, releasing.clone()));
    tokio::task::spawn_local(admission::run_expiry(shared.clone()));
    stop::drain(&shared).await;
    stop::finish_requests(&shared).await;
    // Nothing is open, and a graceful stop may wait for a worker that has nothing to do.
    server.stop(false).await;
    stop::release(&shared, &releasing, link).await;
    event!(
        Info,
        "entry_stop",
        vm = cfg.vm,
        open = shared.open_requests()
    );
    Ok(())
}

fn serve(
    cfg: &Config,
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
) -> std::io::Result<ntex::server::Server> {
    let http = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_client_timeout(HEAD_TIMEOUT);
    let io = IoConfig::new().set_disconnect_timeout(CLOSE_TIMEOUT);
    http_client::configure_accepted_socket(&listener);
    let address = listener.local_addr()?;
    let server = HttpServer::new(async move || {
        let engine = HttpEngine::new(shared.cfg.rater);
        let worker = Worker::new(shared.clone(), engine);
        worker.callers.set_metrics(shared.metrics.clone());
        let clock = shared.clone();
        tokio::task::spawn_local(listen::end_stalled(
            worker.callers.clone(),
            address,
            move || clock.now(),
            usize::MAX,
        ));
        tokio::task::spawn_local(worker.unwritten.clone().watch());
        App::new()
            .middleware(Tracking::new(worker.clone()))
            .state(worker)
            .route("/v1/chat/completions", web::post().to(handlers::chat))
            .route("/v1/models", web::get().to(handlers::models))
            .route("/v1/address", web::get().to(handlers::address))
            .route("/app/{service}", web::route().to(handlers::app))
            .route("/app/{service}/{path}*", web::route().to(handlers::app))
            .route("/upstream/announce", web::post().to(handlers::announce))
            .route("/upstream/load", web::post().to(handlers::load))
            .route("/upstream/leave", web::post().to(handlers::leave))
            .default_service(web::route().to(handlers::not_found))
    })
    .workers(cfg.workers)
    .maxconn(cfg.connections)
    .disable_signals()
    .config(ntex::SharedCfg::new("entry").add(http).add(io))
    .listen(listener)?
    .run();
    Ok(server)
}
