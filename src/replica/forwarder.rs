//! A process without a replica, such as one on a VM without a disk. It passes calls on to the leader,
//! and tells other processes which replicas there are: their settings may name its VM.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::handle::Handle;
use super::handler::LEADER_SEARCH_LIMIT;
use crate::clock::Clock;
use crate::config::KeyHash;
use crate::listen;
use crate::listen::Endpoint;
use crate::listen::Sockets;
use crate::log::event;
use crate::peer;
use crate::peer::Caller;
use crate::peer::Client;
use crate::peer::Handler;
use crate::peer::LeaderClient;
use crate::peer::Reply;
use crate::peer::Request;
use crate::peer::discovery;
use crate::policy::replica_discovery::LIST_TTL;
use crate::policy::replica_discovery::QUESTION_INTERVAL;
use crate::policy::replica_discovery::REFRESH_INTERVAL;
use crate::policy::replica_discovery::Reports;
use crate::policy::replica_discovery::SEARCH_INTERVAL;
use crate::wait_notice::WaitNotice;

/// Most connections of other processes that are open at a time: gateways of hundreds of VMs may
/// have this one in their settings.
const MAX_CONNECTIONS: usize = 512;

/// Settings of a process without a replica.
#[derive(Clone, Debug)]
pub struct ForwarderConfig {
    /// Address of its peer listener.
    pub listen: SocketAddr,
    /// Flag that sets it, for messages.
    pub listen_flag: &'static str,
    /// Peer addresses of some replicas, or of other processes without one; at least one.
    pub replicas: Vec<SocketAddr>,
    /// Peer addresses of other processes, such as gateways, that may know the replicas.
    pub contacts: Vec<SocketAddr>,
    /// Key with which the processes of the system authenticate to each other.
    pub peer_key: String,
}

/// Starts a process without a replica; waits for addresses that are in use. Returns its handle and the
/// sockets for `others`, which the process listens on as well. Runs in a `LocalSet`.
///
/// # Errors
///
/// An address can't be had.
pub async fn start_forwarder(
    cfg: ForwarderConfig,
    others: &[Endpoint],
    clock: Arc<dyn Clock>,
) -> Result<(Handle, Sockets), listen::Error> {
    let mut endpoints = vec![Endpoint::tcp(cfg.listen_flag, cfg.listen)];
    endpoints.extend_from_slice(others);
    let mut sockets = Sockets::open(&endpoints, &*clock).await?;
    let client = Client::new(&cfg.peer_key);
    let leader = LeaderClient::new(client, cfg.replicas.clone(), clock.clone());
    let forwarder = Rc::new(Forwarder {
        cfg,
        clock,
        leader: leader.clone(),
        list: RefCell::default(),
        list_expires_at: Cell::default(),
        list_found: Notify::new(),
    });
    let keys = Rc::new(peer::Keys {
        peer: KeyHash::of(&forwarder.cfg.peer_key),
        operators: Vec::new(),
    });
    let handler = Rc::new(ForwarderHandler(forwarder.clone()));
    let listener = sockets.next_tcp();
    tokio::task::spawn_local(peer::serve(
        listener,
        MAX_CONNECTIONS,
        keys,
        handler,
        Rc::default(),
    ));
    tokio::task::spawn_local(forwarder.clone().follow_replicas());
    tokio::task::spawn_local(forwarder.report_replicas());
    Ok((Handle::remote(leader), sockets))
}

struct Forwarder {
    cfg: ForwarderConfig,
    clock: Arc<dyn Clock>,
    leader: LeaderClient,
    /// The members of the log, as one of them has listed them.
    list: RefCell<Vec<SocketAddr>>,
    /// When `list` is too old to be passed on.
    list_expires_at: Cell<Duration>,
    /// Notified when a list has been received.
    list_found: Notify,
}

impl Forwarder {
    /// Returns the members of the log; none where no replica is known that follows a leader.
    fn current_replicas(&self) -> Vec<SocketAddr> {
        if self.clock.now() >= self.list_expires_at.get() {
            return Vec::new();
        }
        self.list.borrow().clone()
    }

    /// Keeps the list of replicas current; never returns.
    async fn follow_replicas(self: Rc<Self>) {
        let mut search = WaitNotice::default();
        let mut next_question_at = Duration::ZERO;
        loop {
            if let Some(mut replicas) = self.leader.fetch_replicas().await {
                // A former member may have had the address of this process.
                replicas.retain(|&replica| replica != self.cfg.listen);
                *self.list.borrow_mut() = replicas;
                self.list_expires_at.set(self.clock.now() + LIST_TTL);
                self.list_found.notify_waiters();
                if search.end() {
                    event!(Info, "state_found");
                }
                tokio::time::sleep(REFRESH_INTERVAL).await;
                continue;
            }
            let now = self.clock.now();
            if search.is_due(now) {
                event!(Warn, "state_lost", called = self.leader.log_text());
            }
            if self.leader.needs_replicas() && now >= next_question_at {
                next_question_at = now + QUESTION_INTERVAL;
                tokio::task::spawn_local(self.clone().ask_contacts());
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    async fn ask_contacts(self: Rc<Self>) {
        let key = &self.cfg.peer_key;
        let contacts = self.cfg.contacts.clone();
        let listed = discovery::ask_for_replicas(key, contacts, &mut fastrand::Rng::new()).await;
        self.leader.add_reported(listed);
    }

    /// Tells the VMs of the settings which replicas there are; never returns.
    async fn report_replicas(self: Rc<Self>) {
        let mut targets = self.cfg.replicas.clone();
        targets.retain(|&target| target != self.cfg.listen);
        discovery::report_replicas(&self.cfg.peer_key, &targets, Reports::spread(), || {
            self.current_replicas()
        })
        .await;
    }

    /// Refuses a request for the leader, and names the replica that may be it or know it.
    fn redirect(&self) -> Reply {
        let replicas = self.current_replicas();
        let presumed = self.leader.presumed_leader();
        let leader = Some(presumed).filter(|presumed| replicas.contains(presumed));
        Reply::NotLeader {
            leader: leader.or_else(|| fastrand::choice(replicas)),
        }
    }
}

struct ForwarderHandler(Rc<Forwarder>);

impl Handler for ForwarderHandler {
    fn call(&self, _: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        let forwarder = self.0.clone();
        Box::pin(async move { forwarder.handle(request).await })
    }
}

impl Forwarder {
    async fn handle(&self, request: Request) -> Reply {
        match request {
            Request::Replicas => Reply::Replicas(self.current_replicas()),
            Request::ReportReplicas(replicas) => {
                self.leader.add_reported(replicas);
                Reply::Done
            }
            Request::Renew(_) => {
                // As a replica does: so that gateways don't ask again and again.
                if self.current_replicas().is_empty() {
                    let found = self.list_found.notified();
                    let _ = tokio::time::timeout(LEADER_SEARCH_LIMIT, found).await;
                }
                self.redirect()
            }
            Request::Ledger(_)
            | Request::Pin(_)
            | Request::Heartbeats(_)
            | Request::Announce(_)
            | Request::Leave { .. }
            | Request::Change(_)
            | Request::Query(_)
            | Request::OnBehalf { .. } => self.redirect(),
            // Above all, it must not look like a replica without a log.
            Request::Agreement { .. }
            | Request::BootstrapStatus
            | Request::Join { .. }
            | Request::ConfigUpdate { .. }
            | Request::DirectoryUpdate { .. }
            | Request::BootstrapPermission(_) => {
                Reply::Refused("this process has no replica; ask one that Replicas lists".into())
            }
        }
    }
}
