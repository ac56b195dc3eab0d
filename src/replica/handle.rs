//! Requests that arrive at one process and are answered by whichever replica leads.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::core::Core;
use super::handler::answer_peer;
use crate::collections::Name;
use crate::peer::Client;
use crate::peer::LeaderClient;
use crate::peer::Reply;
use crate::peer::Request;

/// Time in which the leader must answer one call.
const CALL_LIMIT: Duration = Duration::from_millis(900);

/// Pause before the leader is looked for again.
const PAUSE: Duration = Duration::from_millis(50);

/// The way to the leader; clones share it.
#[derive(Clone)]
pub struct Handle {
    way: Way,
}

#[derive(Clone)]
enum Way {
    /// Through the replica of this process, which may lead itself.
    Replica {
        core: Rc<RefCell<Core>>,
        client: Client,
    },
    /// From a process without a replica.
    Remote(LeaderClient),
}

impl Handle {
    pub(super) fn new(core: Rc<RefCell<Core>>, client: Client) -> Self {
        Self {
            way: Way::Replica { core, client },
        }
    }

    /// A way to the leader from a process without a replica, such as one on a VM without a disk.
    /// `replicas` are some of the replicas, one at least.
    pub fn remote(peer_key: &str, replicas: Vec<SocketAddr>) -> Self {
        Self {
            way: Way::Remote(LeaderClient::new(Client::new(peer_key), replicas)),
        }
    }

    /// The leader's peer address, where it is known.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        match &self.way {
            Way::Replica { core, .. } => core.borrow().leader_address(),
            Way::Remote(leader) => leader.leader_address(),
        }
    }

    /// Asks the leader until it has replied or `limit` has passed. A request whose outcome stayed
    /// unknown is asked again: all that come here are idempotent.
    pub async fn call(&self, request: Request, limit: Duration) -> Option<Reply> {
        tokio::time::timeout(limit, self.ask_on(request)).await.ok()
    }

    /// Asks the leader on behalf of an operator.
    pub async fn call_as_operator(
        &self,
        who: &Name,
        request: Request,
        limit: Duration,
    ) -> Option<Reply> {
        let request = Request::OnBehalf {
            who: who.clone(),
            request: Box::new(request),
        };
        self.call(request, limit).await
    }

    async fn ask_on(&self, request: Request) -> Reply {
        loop {
            match self.ask_once(&request).await {
                Some(reply) => return reply,
                None => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    async fn ask_once(&self, request: &Request) -> Option<Reply> {
        match &self.way {
            Way::Replica { core, client } => {
                let reply = answer_peer(core.clone(), request.clone()).await;
                let Reply::NotLeader { leader } = reply else {
                    return known(reply);
                };
                let reply = client.call(leader?, request, CALL_LIMIT).await;
                known(reply.ok()?)
            }
            Way::Remote(leader) => leader.try_call(request).await,
        }
    }
}

fn known(reply: Reply) -> Option<Reply> {
    match reply {
        Reply::NotLeader { .. } | Reply::OutcomeUnknown => None,
        reply => Some(reply),
    }
}
