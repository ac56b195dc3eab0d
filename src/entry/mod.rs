//! The entry daemon: callers' HTTP, the address answer, upstream announcements, and the link to
//! the state.
//!
//! The control thread holds the link; a pool of workers serves HTTP over the tables of
//! `shared::Shared`.

pub(crate) mod admit;
mod handlers;
mod ledger;
mod link;
mod refusal;
mod runners;
mod shared;
mod stop;
mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpServer;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;

pub(crate) use self::admit::Slot;
pub(crate) use self::refusal::Ran;
pub(crate) use self::refusal::Refusal;
pub(crate) use self::runners::InFlight;
pub(crate) use self::shared::Shared;
pub(crate) use self::shared::Worker;
pub(crate) use self::view::View;

use crate::clock::Clock;
use crate::collections::Name;
use crate::engine::HttpEngine;
use crate::log::event;

/// Most headers of a request.
const HEADER_LIMIT: usize = 64;

/// Most bytes of a request's head.
const HEAD_LIMIT: usize = 32 * 1024;

/// Time in which a caller must send its head.
const HEAD_TIME: Seconds = Seconds(10);

/// Time that a stopping entry gives open requests after the last kept address answer ran out.
const STOP_LIMIT: Seconds = Seconds(600);

/// What an entry is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where callers and upstreams connect.
    pub listen: SocketAddr,
    /// Where callers are told to connect; `None` means `listen`.
    pub advertise: Option<SocketAddr>,
    /// Where the admin listener is.
    pub admin_listen: SocketAddr,
    /// This VM's name.
    pub vm: Name,
    /// This VM's data centre.
    pub data_centre: Name,
    /// Peer listeners of the state replicas.
    pub state: Vec<SocketAddr>,
    /// Key that our own processes show each other.
    pub peer_key: String,
    /// The service that rates answers; `None` means that nothing is rated.
    pub rater: Option<SocketAddr>,
    /// Cost of rating one answer, in the unit of prices.
    pub rating_cost: f64,
    /// Worker threads.
    pub workers: usize,
    /// Connections that one worker keeps open, at most.
    pub connections: usize,
    /// Most bytes of a request's body.
    pub body_limit: usize,
    /// How long callers may keep an address answer.
    pub address_ttl: Duration,
}

/// Why the daemon stopped.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}; choose another with {flag}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Flag that sets it.
        flag: &'static str,
        /// Reason.
        source: std::io::Error,
    },
}

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// A listener can't be opened.
pub async fn run(cfg: Config, clock: Arc<dyn Clock>) -> Result<(), Error> {
    let listener = std::net::TcpListener::bind(cfg.listen).context(ListenSnafu {
        address: cfg.listen,
        flag: "--listen",
    })?;
    let local = listener.local_addr().unwrap_or(cfg.listen);
    let (link_tx, link_rx) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(cfg.clone(), local, clock, link_tx));
    let shown = crate::admin::Status {
        metrics: shared.metrics.clone(),
        ready: shared.ready.clone(),
    };
    let admin = crate::admin::serve(cfg.admin_listen, shown).context(ListenSnafu {
        address: cfg.admin_listen,
        flag: "--admin-listen",
    })?;
    let server = serve(&cfg, listener, shared.clone()).context(ListenSnafu {
        address: cfg.listen,
        flag: "--listen",
    })?;
    event!(
        Info,
        "entry_start",
        vm = cfg.vm,
        listen = local,
        entry = shared.entry
    );
    let released = Arc::new(AtomicBool::new(false));
    let link = tokio::task::spawn_local(link::run(shared.clone(), link_rx, released.clone()));
    tokio::task::spawn_local(admit::expire(shared.clone()));
    stop::wait(&shared).await;
    server.stop(true).await;
    stop::release(&shared, &released, link).await;
    admin.stop(true).await;
    event!(Info, "entry_stop", vm = cfg.vm);
    Ok(())
}

fn serve(
    cfg: &Config,
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
) -> std::io::Result<ntex::server::Server> {
    let http = HttpServiceConfig::new()
        .set_max_headers(HEADER_LIMIT)
        .set_max_buf_size(HEAD_LIMIT)
        .set_client_timeout(HEAD_TIME);
    let server = HttpServer::new(async move || {
        let engine = HttpEngine::new(shared.cfg.rater).await;
        let worker = Worker::new(shared.clone(), engine);
        App::new()
            .state(worker)
            .route("/v1/chat/completions", web::post().to(handlers::chat))
            .route("/v1/models", web::get().to(handlers::models))
            .route("/v1/address", web::get().to(handlers::address))
            .route("/app/{service}", web::route().to(handlers::app))
            .route("/app/{service}/{path}*", web::route().to(handlers::app))
            .route("/upstream/announce", web::post().to(handlers::announce))
            .route("/upstream/load", web::post().to(handlers::load))
            .route("/upstream/leave", web::post().to(handlers::leave))
            .default_service(web::route().to(handlers::unknown))
    })
    .workers(cfg.workers)
    .maxconn(cfg.connections)
    .shutdown_timeout(STOP_LIMIT)
    .disable_signals()
    .config(ntex::SharedCfg::new("entry").add(http))
    .listen(listener)?
    .run();
    Ok(server)
}
