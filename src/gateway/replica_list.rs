//! Tells the other processes which replicas the leader has listed, and asks the other gateways for
//! them while no replica that is known leads to the leader.
//!
//! The peer listener has the address of the UDP socket for load updates, on TCP.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::Gateway;
use super::LEADER_SILENCE_LIMIT;
use crate::config::KeyHash;
use crate::log::event;
use crate::peer;
use crate::peer::Caller;
use crate::peer::Client;
use crate::peer::Handler;
use crate::peer::Reply;
use crate::peer::Request;

/// Number of gateways asked at a time.
const ASKED_GATEWAYS: usize = 3;

/// Most connections of other processes that are open at a time.
const MAX_CONNECTIONS: usize = 64;

/// Time within which one of them must reply, once connected.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Answers the other processes, for as long as this one runs.
pub(super) async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let keys = Rc::new(peer::Keys {
        peer: KeyHash::of(&gateway.cfg.peer_key),
        operators: Vec::new(),
    });
    let handler = Rc::new(ListHandler { gateway });
    peer::serve(listener, MAX_CONNECTIONS, keys, handler, Rc::default()).await;
}

struct ListHandler {
    gateway: Rc<Gateway>,
}

impl Handler for ListHandler {
    fn call(&self, _: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        let reply = match request {
            Request::Replicas => Reply::Replicas(self.gateway.current_replicas()),
            _ => Reply::Refused("a gateway answers only which replicas there are".into()),
        };
        Box::pin(async move { reply })
    }
}

impl Gateway {
    /// Returns the replicas of the leader's last list; none where the leader was not heard of for a
    /// while.
    fn current_replicas(&self) -> Vec<SocketAddr> {
        let is_recent =
            |(_, received_at): (u64, Duration)| self.now() <= received_at + LEADER_SILENCE_LIMIT;
        if self.leader_revision.get().is_some_and(is_recent) {
            self.replicas.borrow().clone()
        } else {
            Vec::new()
        }
    }

    /// Asks some of the other gateways for the replicas. Returns the first list; none if no gateway
    /// that replies in time hears of the leader.
    pub(super) async fn ask_for_replicas(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = {
            let routing = self.routing.borrow();
            let others = routing.entries.iter();
            let others = others.filter(|info| info.address != self.info.address);
            others.filter_map(|info| info.loads_address).collect()
        };
        self.rng.borrow_mut().shuffle(&mut addresses);
        addresses.truncate(ASKED_GATEWAYS);
        // Its connections close with it: in an outage of all replicas every gateway asks others.
        let client = Client::new(&self.cfg.peer_key);
        let mut calls = JoinSet::new();
        for address in addresses {
            let client = client.clone();
            calls.spawn_local(async move {
                let call = client.call(address, &Request::Replicas, REPLY_TIMEOUT);
                (address, call.await)
            });
        }
        while let Some(call) = calls.join_next().await {
            if let Ok((address, Ok(Reply::Replicas(replicas)))) = call
                && !replicas.is_empty()
            {
                event!(
                    Info,
                    "replicas_reported",
                    by = address,
                    replicas = format!("{replicas:?}")
                );
                return replicas;
            }
        }
        Vec::new()
    }
}
