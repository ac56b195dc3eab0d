//! The state daemon: it calls the state machines and does the I/O that they ask for.
//!
//! All tasks share one `core::Core` on one thread. Only the writer, which syncs files, has its own
//! thread. No borrow of the core is held across an `.await`.

mod bootstrap;
mod config_history;
mod core;
mod directory_history;
mod folder;
mod forwarder;
mod handle;
mod handler;
mod heartbeats;
mod housekeeping;
mod leader_state;
mod membership;
mod outbox;
mod quality_publisher;
mod reaper;
mod release_orders;
mod usage;
mod writer;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;

pub use self::config_history::ConfigHistory;
use self::core::Core;
pub use self::forwarder::ForwarderConfig;
pub use self::forwarder::start_forwarder;
pub use self::handle::Evacuation;
pub use self::handle::Handle;
use crate::agreement::ReplicaId;
use crate::agreement::Settings;
use crate::clock::Clock;
use crate::collections::Name;
use crate::config::KeyHash;
use crate::listen;
use crate::listen::BoundSockets;
use crate::listen::Endpoint;
use crate::listen::Sockets;
use crate::log::event;
use crate::peer;
use crate::random;
use crate::storage;

/// Settings of a state replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of its peer listener.
    pub listen: SocketAddr,
    /// Address at which other processes reach the peer listener. A replica whose address is not in
    /// `replicas` can join a log but not create one.
    pub advertise: SocketAddr,
    /// Address of the admin listener.
    pub admin_listen: SocketAddr,
    /// Peer addresses of the configured replicas.
    pub replicas: Vec<SocketAddr>,
    /// Peer addresses of other processes, such as gateways, that may know the replicas. They are asked
    /// while no replica with a log is found.
    pub contacts: Vec<SocketAddr>,
    /// Data folder: the log, the snapshot and the replica's identity.
    pub data: PathBuf,
    /// Key with which the processes of the system authenticate to each other.
    pub peer_key: String,
    /// Operators by name, with the hashes of their keys.
    pub operators: Vec<(Name, KeyHash)>,
    /// Applied log entries after which the next snapshot is taken.
    pub snapshot_every: u64,
    /// Timing of elections, heartbeats and the leader lease.
    pub settings: Settings,
    /// Whether this replica may create a new log; true only at the first start of the whole system.
    /// The permission is kept in the data folder for later starts, until the replica knows of a log.
    pub may_bootstrap: bool,
    /// Data centres that can be evacuated although the directory has no upstream in them.
    pub data_centres: BTreeSet<Name>,
    /// Longest time for which an operator sends an order without an id again. The same order later
    /// is one of its own.
    pub order_resend_time: Duration,
    /// Number of voters to aim at; further replicas stay learners.
    pub target_voters: usize,
    /// Flags that set the addresses, for messages.
    pub address_flags: AddressFlags,
}

/// Flags that set the addresses of a replica.
#[derive(Clone, Copy, Debug)]
pub struct AddressFlags {
    /// Flag of [`Config::listen`].
    pub listen: &'static str,
    /// Flag of [`Config::admin_listen`].
    pub admin_listen: &'static str,
}

impl Default for AddressFlags {
    fn default() -> Self {
        Self {
            listen: "--listen",
            admin_listen: "--admin-listen",
        }
    }
}

/// [`Config::order_resend_time`] of a replica that is not told another one.
pub const DEFAULT_ORDER_RESEND_TIME: Duration = Duration::from_secs(5);

/// Why the daemon stopped.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Storage {
        /// Reason.
        source: storage::Error,
    },
    /// A socket can't be opened.
    #[snafu(transparent)]
    Listen {
        /// Reason.
        source: listen::Error,
    },
    /// The admin listener can't be served.
    #[snafu(display("can't serve the admin listener: {source}"))]
    Serve {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// A replica running on the current thread.
pub struct Server {
    core: Rc<RefCell<Core>>,
    /// Runs until the process ends: a leader must not wait for it, because it accepts no commands
    /// while it stops, and no other replica takes over.
    _admin: ntex::server::Server,
    handle: Handle,
}

impl Server {
    /// Returns a handle for requests from this process.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Waits for SIGTERM or SIGINT, then until the open calls have ended.
    pub async fn wait_for_shutdown(self) {
        crate::signal::stop_requested().await;
        event!(
            Info,
            "replica_leaving",
            id = self.core.borrow().node.id(),
            open = self.handle.open_calls(),
            pending = self.core.borrow().pending_commands()
        );
        tokio::join!(housekeeping::drain(&self.core), self.handle.finish_calls());
        event!(
            Info,
            "replica_stop",
            id = self.core.borrow().node.id(),
            open = self.handle.open_calls(),
            pending = self.core.borrow().pending_commands()
        );
    }
}

/// Runs a state replica until SIGTERM or SIGINT.
///
/// # Errors
///
/// The folder or the listener can't be used.
pub async fn run(cfg: Config, clock: Arc<dyn Clock>) -> Result<(), Error> {
    let Some(started) = crate::signal::unless_stopped(start(cfg, &[], clock)).await else {
        return Ok(());
    };
    let (server, _) = started?;
    server.wait_for_shutdown().await;
    Ok(())
}

/// Starts a state replica; waits for addresses that are in use and for a locked data folder. Returns
/// the sockets for `others`, which the process listens on beside the replica.
///
/// # Errors
///
/// The folder or an address can't be had.
pub async fn start(
    cfg: Config,
    others: &[Endpoint],
    clock: Arc<dyn Clock>,
) -> Result<(Server, Sockets), Error> {
    let flags = cfg.address_flags;
    let mut endpoints = vec![
        Endpoint::tcp(flags.listen, cfg.listen),
        Endpoint::tcp(flags.admin_listen, cfg.admin_listen),
    ];
    endpoints.extend_from_slice(others);
    let new_id = ReplicaId(random::identity());
    // An error of either ends the wait for the other.
    let (bound, (opened, permission)) = tokio::try_join!(
        async { Ok(BoundSockets::bind(&endpoints, &*clock).await?) },
        async {
            folder::open(&cfg, new_id, &*clock)
                .await
                .context(StorageSnafu)
        },
    )?;
    if opened.truncated_bytes > 0 {
        event!(Warn, "torn_tail_cut", bytes = opened.truncated_bytes);
    }
    let mut sockets = bound.listen().await?;
    let listener = sockets.next_tcp();
    let admin = sockets.next_tcp();
    let address = cfg.listen;
    event!(Info, "replica_start", id = opened.id, listen = address);
    let (synced_tx, synced_rx) = mpsc::unbounded_channel();
    let writer = writer::Writer::start(Box::new(opened.data_folder), synced_tx);
    let client = peer::Client::new(&cfg.peer_key);
    let mut core = Core::new(
        &cfg,
        opened.id,
        opened.restored,
        writer,
        client.clone(),
        clock,
    );
    core.bootstrap_permission = permission;
    let core = Rc::new(RefCell::new(core));
    let keys = Rc::new(peer::Keys {
        peer: KeyHash::of(&cfg.peer_key),
        operators: cfg.operators.clone(),
    });
    let handler = Rc::new(handler::ReplicaHandler::new(core.clone()));
    let traffic = Rc::new(peer::Traffic::default());
    tokio::task::spawn_local(peer::serve(
        listener,
        peer::MAX_CONNECTIONS,
        keys,
        handler,
        traffic.clone(),
    ));
    tokio::task::spawn_local(housekeeping::process_synced(core.clone(), synced_rx));
    tokio::task::spawn_local(housekeeping::tick(core.clone()));
    tokio::task::spawn_local(housekeeping::run_housekeeping(core.clone()));
    tokio::task::spawn_local(usage::report(core.clone(), traffic));
    tokio::task::spawn_local(bootstrap::bootstrap(
        core.clone(),
        client.clone(),
        cfg.clone(),
    ));
    tokio::task::spawn_local(bootstrap::report_replicas(core.clone(), cfg.clone()));
    tokio::task::spawn_local(reaper::settle_orphans(core.clone()));
    tokio::task::spawn_local(heartbeats::forward(core.clone(), client.clone()));
    let admin_status = core.borrow().admin_status();
    let admin = admin.into_std().context(ServeSnafu)?;
    let admin = crate::admin::serve(admin, admin_status).context(ServeSnafu)?;
    let handle = Handle::new(core.clone(), client);
    let server = Server {
        core,
        _admin: admin,
        handle,
    };
    Ok((server, sockets))
}
