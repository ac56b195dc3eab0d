//! Finds the leader among the state replicas and calls it.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::CallError;
use super::Client;
use super::Reply;
use super::Request;
use crate::clock::Clock;
use crate::log::event;
use crate::policy::replica_search::Search;
use crate::policy::replica_search::Silence;

/// Time within which a replica must reply to one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two attempts while no leader is found.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Calls the leader of the state replicas; clones share the replicas and the leader found.
#[derive(Clone)]
pub struct LeaderClient {
    client: Client,
    clock: Arc<dyn Clock>,
    search: Rc<RefCell<Search>>,
    /// Whether the last call got a reply of the leader.
    is_confirmed: Rc<Cell<bool>>,
}

impl LeaderClient {
    /// Creates a client that looks for the leader among `replicas`, starting with a random one.
    ///
    /// # Panics
    ///
    /// `replicas` is empty.
    pub fn new(client: Client, replicas: Vec<SocketAddr>, clock: Arc<dyn Clock>) -> Self {
        let search =
            Search::new(replicas, fastrand::usize(..)).expect("the settings name a replica");
        Self {
            client,
            clock,
            search: Rc::new(RefCell::new(search)),
            is_confirmed: Rc::default(),
        }
    }

    /// Returns the leader's address, or `None` where the last call did not reach the leader.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.is_confirmed.get().then(|| self.search.borrow().next())
    }

    /// Returns whether the replicas known have led nowhere for a while, so that other processes
    /// should be asked for them.
    pub fn needs_replicas(&self) -> bool {
        self.search.borrow().is_wide(self.clock.now())
    }

    /// Returns the replicas called and what came of it, for the log.
    pub fn log_text(&self) -> String {
        self.search.borrow().log_text()
    }

    /// Adds replicas that another process has named; ignored while the leader replies.
    pub fn add_reported(&self, replicas: Vec<SocketAddr>) {
        self.search.borrow_mut().add_reported(replicas);
    }

    /// Returns the address to call next: the presumed leader.
    pub(crate) fn presumed_leader(&self) -> SocketAddr {
        self.search.borrow().next()
    }

    /// Asks the presumed leader which replicas there are. Returns them if it is a member of the log
    /// that follows a leader, or the leader.
    pub(crate) async fn fetch_replicas(&self) -> Option<Vec<SocketAddr>> {
        let address = self.search.borrow().next();
        let result = self.client.call(address, &Request::Replicas, CALL_TIMEOUT);
        let result = result.await;
        let now = self.clock.now();
        let mut search = self.search.borrow_mut();
        match result {
            Ok(Reply::Replicas(replicas)) if replicas.contains(&address) => {
                search.record_list(address, replicas.clone());
                return Some(replicas);
            }
            Ok(Reply::Replicas(replicas)) => {
                search.record_follower(address, None, now);
                search.add_reported(replicas);
            }
            Ok(_) => search.record_refusal(address, now),
            Err(e) => {
                let silence = self.handle_failure(&e);
                search.record_silence(address, silence, now);
            }
        }
        None
    }

    /// Replaces the replicas among which the leader is looked for first; an empty list is ignored.
    pub fn set_listed(&self, replicas: Vec<SocketAddr>) {
        self.search.borrow_mut().set_listed(replicas);
    }

    /// Calls the presumed leader once, and the one that it names instead. Returns `None` where the
    /// call must be retried: the replica does not reply or is not the leader, or the outcome is
    /// unknown. Takes the replicas that a grant lists.
    pub async fn try_call(&self, request: &Request) -> Option<Reply> {
        let leader = self.search.borrow().next();
        let mut reply = self.call_replica(leader, request).await;
        if let Err(Some(named)) = reply {
            reply = self.call_replica(named, request).await;
        }
        self.is_confirmed.set(reply.is_ok());
        if let Ok(Reply::Grant(grant)) = &reply
            && let Some(replicas) = &grant.replicas
        {
            event!(Info, "replicas_known", replicas = format!("{replicas:?}"));
            self.set_listed(replicas.clone());
        }
        reply.ok()
    }

    /// Calls one replica. The error is the leader that it names, if it names another one.
    async fn call_replica(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Reply, Option<SocketAddr>> {
        let result = self.client.call(address, request, CALL_TIMEOUT).await;
        let now = self.clock.now();
        let mut search = self.search.borrow_mut();
        match result {
            Ok(Reply::NotLeader { leader }) => Err(search.record_follower(address, leader, now)),
            Ok(Reply::OutcomeUnknown) => Err(None),
            // Any process refuses what is not meant for it, so this says nothing of the leader.
            Ok(reply @ Reply::Refused(_)) => {
                search.record_refusal(address, now);
                Ok(reply)
            }
            Ok(reply) => {
                search.record_leader(address);
                Ok(reply)
            }
            Err(e) => {
                let silence = self.handle_failure(&e);
                search.record_silence(address, silence, now);
                Err(None)
            }
        }
    }

    /// Calls one of the replicas once, leader or not: the one at position `index`, counted over the
    /// replicas again and again. Returns `None` where it does not reply.
    pub async fn call_replica_at(&self, index: usize, request: &Request) -> Option<Reply> {
        let replica = self.search.borrow().responsive_at(index, self.clock.now());
        let result = self.client.call(replica, request, CALL_TIMEOUT).await;
        let mut search = self.search.borrow_mut();
        match result {
            Ok(reply) => {
                search.record_reply(replica);
                Some(reply)
            }
            Err(e) => {
                let silence = self.handle_failure(&e);
                search.record_unanswered(replica, silence, self.clock.now());
                None
            }
        }
    }

    /// Logs a failed call and returns how it ended. A connection that has fallen silent is rarely the
    /// only one, so the next call of each replica opens a new one.
    fn handle_failure(&self, e: &CallError) -> Silence {
        event!(Debug, "call_failed", error = e);
        match e {
            CallError::NoReply { .. } => {
                self.client.drop_connections();
                Silence::NoReply
            }
            CallError::NotListening { .. } => Silence::NotListening,
            _ => Silence::Unreachable,
        }
    }

    /// Waits between two attempts.
    pub async fn wait_before_retry(&self) {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }

    /// Calls the leader until it has replied, or returns `None` after `timeout`.
    pub async fn call_with_timeout(&self, request: Request, timeout: Duration) -> Option<Reply> {
        let retries = async {
            loop {
                if let Some(reply) = self.try_call(&request).await {
                    return reply;
                }
                self.wait_before_retry().await;
            }
        };
        tokio::time::timeout(timeout, retries).await.ok()
    }
}
