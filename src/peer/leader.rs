//! Finds the leading replica and calls it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Client;
use super::Reply;
use super::Request;
use crate::log::event;

/// Time in which a replica must answer one call.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Pause before another replica is tried while there is no leader.
const PAUSE: Duration = Duration::from_millis(40);

#[derive(Debug)]
struct Known {
    replicas: Vec<SocketAddr>,
    leader: SocketAddr,
    /// Whether that replica has answered as the leader.
    found: bool,
}

/// Calls the leader among the replicas that are known; clones share what they found.
#[derive(Clone)]
pub struct LeaderClient {
    client: Client,
    known: Rc<RefCell<Known>>,
}

impl LeaderClient {
    /// Looks for the leader among `replicas`, of which there is one at least.
    pub fn new(client: Client, replicas: Vec<SocketAddr>) -> Self {
        let leader = replicas[fastrand::usize(..replicas.len())];
        Self {
            client,
            known: Rc::new(RefCell::new(Known {
                replicas,
                leader,
                found: false,
            })),
        }
    }

    /// The leader, where the last call found it.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let known = self.known.borrow();
        known.found.then_some(known.leader)
    }

    /// Looks among other replicas from now on.
    pub fn set_replicas(&self, replicas: Vec<SocketAddr>) {
        if !replicas.is_empty() {
            self.known.borrow_mut().replicas = replicas;
        }
    }

    /// Calls the replica believed to lead; `None` where another must be tried.
    pub async fn try_call(&self, request: &Request) -> Option<Reply> {
        let leader = self.known.borrow().leader;
        let reply = self.call_at(leader, request).await;
        self.known.borrow_mut().found = reply.is_some();
        reply
    }

    async fn call_at(&self, leader: SocketAddr, request: &Request) -> Option<Reply> {
        match self.client.call(leader, request, CALL_LIMIT).await {
            Ok(Reply::NotLeader { leader: known }) => {
                match known.filter(|&address| address != leader) {
                    Some(address) => self.known.borrow_mut().leader = address,
                    None => self.rotate(leader),
                }
                None
            }
            Ok(Reply::OutcomeUnknown) => None,
            Ok(reply) => Some(reply),
            Err(e) => {
                event!(Debug, "call_failed", error = e);
                self.rotate(leader);
                None
            }
        }
    }

    /// Tries the next replica, unless another call has found a leader meanwhile.
    fn rotate(&self, tried: SocketAddr) {
        let mut known = self.known.borrow_mut();
        if known.leader != tried {
            return;
        }
        let at = known.replicas.iter().position(|&address| address == tried);
        let next = at.map_or(0, |at| (at + 1) % known.replicas.len());
        known.leader = known.replicas[next];
    }

    /// Waits a little before the next try.
    pub async fn wait_before_retry(&self) {
        tokio::time::sleep(PAUSE).await;
    }

    /// Calls until there is a reply or `limit` has passed.
    pub async fn call_with_timeout(&self, request: Request, limit: Duration) -> Option<Reply> {
        let repeat = async {
            loop {
                if let Some(reply) = self.try_call(&request).await {
                    return reply;
                }
                self.wait_before_retry().await;
            }
        };
        tokio::time::timeout(limit, repeat).await.ok()
    }
}
