//! Requests that arrive at a replica's own process, answered by whichever replica leads.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::core::Core;
use super::handler::answer_peer;
use crate::collections::Name;
use crate::peer::Client;
use crate::peer::Reply;
use crate::peer::Request;

/// Time in which the leader must answer one call.
const CALL_LIMIT: Duration = Duration::from_millis(900);

/// Pause before the leader is looked for again.
const PAUSE: Duration = Duration::from_millis(50);

/// A replica as the rest of its process sees it; clones are the same replica.
#[derive(Clone)]
pub struct Handle {
    core: Rc<RefCell<Core>>,
    client: Client,
}

impl Handle {
    pub(super) fn new(core: Rc<RefCell<Core>>, client: Client) -> Self {
        Self { core, client }
    }

    /// The leader's peer address, where it is known.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.core.borrow().leader_address()
    }

    /// Asks the leader until it has replied or `limit` has passed. A request whose outcome stayed
    /// unknown is asked again: all that come here are idempotent.
    pub async fn ask(&self, request: Request, limit: Duration) -> Option<Reply> {
        tokio::time::timeout(limit, self.ask_on(request)).await.ok()
    }

    /// Asks the leader on behalf of an operator.
    pub async fn ask_for(&self, who: &Name, request: Request, limit: Duration) -> Option<Reply> {
        let request = Request::OnBehalf {
            who: who.clone(),
            request: Box::new(request),
        };
        self.ask(request, limit).await
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
        let reply = answer_peer(self.core.clone(), request.clone()).await;
        let Reply::NotLeader { leader } = reply else {
            return known(reply);
        };
        let reply = self.client.call(leader?, request, CALL_LIMIT).await;
        known(reply.ok()?)
    }
}

fn known(reply: Reply) -> Option<Reply> {
    match reply {
        Reply::NotLeader { .. } | Reply::Unknown => None,
        reply => Some(reply),
    }
}
