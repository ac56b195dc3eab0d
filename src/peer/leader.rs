//! Finds the leader among the state replicas and calls it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Client;
use super::Reply;
use super::Request;
use crate::log::event;

/// Time within which a replica must reply to one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two attempts while no leader is found.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// The replicas, and the one to call next.
#[derive(Debug)]
struct Candidates {
    replicas: Vec<SocketAddr>,
    leader: SocketAddr,
    /// Whether the last call got a reply of the leader.
    is_confirmed: bool,
}

/// Calls the leader of the state replicas; clones share the replicas and the leader found.
#[derive(Clone)]
pub struct LeaderClient {
    client: Client,
    candidates: Rc<RefCell<Candidates>>,
}

impl LeaderClient {
    /// Creates a client that looks for the leader among `replicas`, starting with a random one.
    ///
    /// # Panics
    ///
    /// `replicas` is empty.
    pub fn new(client: Client, replicas: Vec<SocketAddr>) -> Self {
        let leader = replicas[fastrand::usize(..replicas.len())];
        Self {
            client,
            candidates: Rc::new(RefCell::new(Candidates {
                replicas,
                leader,
                is_confirmed: false,
            })),
        }
    }

    /// Returns the leader's address, or `None` where the last call did not reach the leader.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let candidates = self.candidates.borrow();
        candidates.is_confirmed.then_some(candidates.leader)
    }

    /// Replaces the replicas among which the leader is looked for; an empty list is ignored.
    pub fn set_replicas(&self, replicas: Vec<SocketAddr>) {
        if !replicas.is_empty() {
            self.candidates.borrow_mut().replicas = replicas;
        }
    }

    /// Calls the presumed leader once, and the one that it names instead. Returns `None` where the
    /// call must be retried: the replica does not reply or is not the leader, or the outcome is
    /// unknown.
    pub async fn try_call(&self, request: &Request) -> Option<Reply> {
        let leader = self.candidates.borrow().leader;
        let mut reply = self.call_replica(leader, request).await;
        if let Err(Some(named)) = reply {
            reply = self.call_replica(named, request).await;
        }
        self.candidates.borrow_mut().is_confirmed = reply.is_ok();
        reply.ok()
    }

    /// Calls one replica. The error is the leader that it names, if it names another one.
    async fn call_replica(
        &self,
        leader: SocketAddr,
        request: &Request,
    ) -> Result<Reply, Option<SocketAddr>> {
        match self.client.call(leader, request, CALL_TIMEOUT).await {
            Ok(Reply::NotLeader { leader: hint }) => {
                let named = hint.filter(|&address| address != leader);
                match named {
                    Some(address) => self.candidates.borrow_mut().leader = address,
                    None => self.try_next_replica(leader),
                }
                Err(named)
            }
            Ok(Reply::OutcomeUnknown) => Err(None),
            Ok(reply) => Ok(reply),
            Err(e) => {
                event!(Debug, "call_failed", error = e);
                self.try_next_replica(leader);
                Err(None)
            }
        }
    }

    /// Calls one of the replicas once, leader or not: the one at position `index`, counted over the
    /// replicas again and again. Returns `None` where it does not reply.
    pub async fn call_replica_at(&self, index: usize, request: &Request) -> Option<Reply> {
        let replica = {
            let candidates = self.candidates.borrow();
            candidates.replicas[index % candidates.replicas.len()]
        };
        match self.client.call(replica, request, CALL_TIMEOUT).await {
            Ok(reply) => Some(reply),
            Err(e) => {
                event!(Debug, "call_failed", error = e);
                None
            }
        }
    }

    /// Presumes the next replica to be the leader, unless another call has changed the presumed
    /// leader meanwhile.
    fn try_next_replica(&self, tried: SocketAddr) {
        let mut candidates = self.candidates.borrow_mut();
        if candidates.leader != tried {
            return;
        }
        let at = candidates
            .replicas
            .iter()
            .position(|&address| address == tried);
        let next = at.map_or(0, |at| (at + 1) % candidates.replicas.len());
        candidates.leader = candidates.replicas[next];
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
