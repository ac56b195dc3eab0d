//! The state daemon's shell: it feeds the pure state machines and carries out their effects.
//!
//! Everything runs on one thread over one `core::Core`; only the writer, which syncs files, has
//! a thread of its own. No borrow of the core is held across an `.await`.

mod admission;
mod control;
mod core;
mod formation;
mod handle;
mod handler;
mod keeper;
mod outbox;
mod published;
mod reaper;
mod writer;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use self::core::Core;
pub use self::handle::Handle;
use crate::agreement::ReplicaId;
use crate::agreement::Settings;
use crate::clock::Clock;
use crate::collections::Name;
use crate::config::KeyHash;
use crate::log::event;
use crate::peer;
use crate::storage;
use crate::storage::DataFolder;

/// What a state replica is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where its peer listener is.
    pub listen: SocketAddr,
    /// Where the other processes reach that listener; one of `replicas`.
    pub advertise: SocketAddr,
    /// Where the admin listener is.
    pub admin_listen: SocketAddr,
    /// Peer listeners of all replicas, this one's included.
    pub replicas: Vec<SocketAddr>,
    /// Folder for everything that must survive.
    pub data: PathBuf,
    /// Key that our own processes show each other.
    pub peer_key: String,
    /// Operators and the hashes of their keys.
    pub operators: Vec<(Name, KeyHash)>,
    /// Log entries after which a snapshot is made.
    pub snapshot_every: u64,
    /// Timing of elections.
    pub settings: Settings,
    /// Whether this is the first start of the whole system, so that a new log may be formed.
    pub may_bootstrap: bool,
    /// Replicas that should vote; further ones stand by as learners.
    pub target_voters: usize,
}

/// Why the daemon stopped.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Storage {
        /// Reason.
        source: storage::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}; choose another with --listen"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Reason.
        source: std::io::Error,
    },
}

/// A replica that runs on the current thread.
pub struct Server {
    core: Rc<RefCell<Core>>,
    admin: ntex::server::Server,
    handle: Handle,
}

impl Server {
    /// For requests that arrive in this process.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Waits until the process is told to stop, then lets what is under way end.
    pub async fn wait_for_shutdown(self) {
        crate::signal::stop_requested().await;
        event!(Info, "replica_stop", id = self.core.borrow().node.id());
        keeper::drain(&self.core).await;
        self.admin.stop(true).await;
    }
}

/// Runs a state replica until it is told to stop.
///
/// # Errors
///
/// The folder or the listener can't be used.
pub async fn run(cfg: Config, clock: Arc<dyn Clock>) -> Result<(), Error> {
    start(cfg, clock).await?.wait_for_shutdown().await;
    Ok(())
}

/// Starts a state replica.
///
/// # Errors
///
/// The folder or the listener can't be used.
pub async fn start(cfg: Config, clock: Arc<dyn Clock>) -> Result<Server, Error> {
    let fresh = ReplicaId(fastrand::u64(1..));
    let opened = DataFolder::open(&cfg.data, fresh).context(StorageSnafu)?;
    if opened.truncated_bytes > 0 {
        event!(Warn, "torn_tail_cut", bytes = opened.truncated_bytes);
    }
    let address = cfg.listen;
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    event!(Info, "replica_start", id = opened.id, listen = address);
    let (synced_tx, synced_rx) = mpsc::unbounded_channel();
    let writer = writer::Writer::start(Box::new(opened.data_folder), synced_tx);
    let client = peer::Client::new(&cfg.peer_key);
    let core = Core::new(
        &cfg,
        opened.id,
        opened.restored,
        writer,
        client.clone(),
        clock,
    );
    let core = Rc::new(RefCell::new(core));
    let keys = Rc::new(peer::Keys {
        peer: KeyHash::of(&cfg.peer_key),
        operators: cfg.operators.clone(),
    });
    let handler = Rc::new(handler::ReplicaHandler::new(core.clone()));
    tokio::task::spawn_local(peer::serve(listener, keys, handler));
    tokio::task::spawn_local(keeper::follow_writer(core.clone(), synced_rx));
    tokio::task::spawn_local(keeper::tick(core.clone()));
    tokio::task::spawn_local(keeper::keep(core.clone()));
    tokio::task::spawn_local(formation::form(core.clone(), client.clone(), cfg.clone()));
    tokio::task::spawn_local(reaper::reap(core.clone()));
    let shown = core.borrow().shown();
    let address = cfg.admin_listen;
    let admin = crate::admin::serve(address, shown).context(ListenSnafu { address })?;
    let handle = Handle::new(core.clone(), client);
    Ok(Server {
        core,
        admin,
        handle,
    })
}
