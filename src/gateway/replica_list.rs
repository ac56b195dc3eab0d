//! Reports the replicas that the leader has listed to other processes, among them gateways that it no
//! longer lists, and asks other processes for them while no replica that is known leads to the leader.
//!
//! The peer listener has the address of the UDP socket for load updates, on TCP.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use super::Gateway;
use super::LEADER_SILENCE_LIMIT;
use crate::config::KeyHash;
use crate::log::event;
use crate::peer;
use crate::peer::Caller;
use crate::peer::EntryInfo;
use crate::peer::Handler;
use crate::peer::Reply;
use crate::peer::Request;
use crate::peer::discovery;
use crate::policy::absent_gateways;
use crate::policy::replica_discovery::Reports;
use crate::policy::replica_search::merge_addresses;

/// Most connections of other processes that are open at a time.
const MAX_CONNECTIONS: usize = 64;

/// Most addresses of gateways in one log line.
const MAX_LOGGED: usize = 8;

/// Answers the other processes, for as long as this one runs.
pub(super) async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let keys = Rc::new(peer::Keys {
        peer: KeyHash::of(&gateway.cfg.peer_key),
        operators: Vec::new(),
    });
    let handler = Rc::new(ListHandler { gateway });
    peer::serve(listener, MAX_CONNECTIONS, keys, handler, Rc::default()).await;
}

/// Tells the VMs of the settings which replicas there are; never returns.
pub(super) async fn report(gateway: Rc<Gateway>) {
    let current = || gateway.current_replicas();
    discovery::report_replicas(
        &gateway.cfg.peer_key,
        &gateway.cfg.state,
        Reports::spread(),
        current,
    )
    .await;
}

/// Reports the replicas to gateways that the leader no longer lists; never returns.
pub(super) async fn report_to_absent_gateways(gateway: Rc<Gateway>) {
    loop {
        let delay = absent_gateways::ROUND_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0);
        tokio::time::sleep(delay).await;
        let replicas = gateway.current_replicas();
        if !replicas.is_empty() {
            let recipients = gateway.draw_absent_gateways();
            discovery::report_once(&gateway.cfg.peer_key, recipients, replicas).await;
        }
    }
}

struct ListHandler {
    gateway: Rc<Gateway>,
}

impl Handler for ListHandler {
    fn call(&self, _: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        let reply = match request {
            Request::Replicas => Reply::Replicas(self.gateway.current_replicas()),
            Request::ReportReplicas(replicas) => {
                self.gateway.add_reported(replicas);
                Reply::Done
            }
            _ => {
                Reply::Refused("a gateway only lists the replicas and takes reports of them".into())
            }
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

    /// Adds replicas that another process has reported; ignored while the leader replies.
    fn add_reported(&self, replicas: Vec<SocketAddr>) {
        if self.leader.leader_address().is_none() {
            event!(Info, "report_received", replicas = format!("{replicas:?}"));
        }
        self.leader.add_reported(replicas);
    }

    /// Records and logs which gateways of the present list are not in the next one.
    pub(super) fn record_absent_gateways(&self, next: &[EntryInfo]) {
        let addresses = |entries: &[EntryInfo]| -> Vec<SocketAddr> {
            let addresses = entries.iter().filter_map(|info| info.loads_address);
            addresses.collect()
        };
        let mut former = addresses(&self.routing().entries);
        former.retain(|&address| address != self.cfg.loads_listen);
        let mut absent = self.absent_gateways.borrow_mut();
        let unlisted = absent.record_list(&former, &addresses(next), self.now());
        if !unlisted.is_empty() {
            event!(
                Info,
                "gateways_unlisted",
                count = unlisted.len(),
                absent = absent.count(),
                first = format!("{:?}", &unlisted[..unlisted.len().min(MAX_LOGGED)])
            );
        }
    }

    /// Draws the absent gateways that this one reports to now.
    fn draw_absent_gateways(&self) -> Vec<SocketAddr> {
        let listed = self.routing().entries.len();
        let mut absent = self.absent_gateways.borrow_mut();
        absent.draw_recipients(listed, self.now(), &mut self.rng.borrow_mut())
    }

    /// Records the sender of a load update until the leader has granted a renewal.
    pub(super) fn record_update_sender(&self, sender: SocketAddr) {
        if self.leader_revision.get().is_none() {
            merge_addresses(&mut self.update_senders.borrow_mut(), vec![sender]);
        }
    }

    /// Asks some of the other gateways, contacts and senders of load updates for the replicas. Returns
    /// what they list; none if no process that replies in time hears of the leader.
    pub(super) async fn ask_for_replicas(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = {
            let routing = self.routing.borrow();
            let others = routing.entries.iter();
            let others = others.filter(|info| info.address != self.info.address);
            others.filter_map(|info| info.loads_address).collect()
        };
        addresses.extend(&self.cfg.contacts);
        addresses.extend(&*self.update_senders.borrow());
        let mut rng = self.rng.borrow_mut().fork();
        discovery::ask_for_replicas(&self.cfg.peer_key, addresses, &mut rng).await
    }
}
