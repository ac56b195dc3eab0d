//! Datagrams between the gateways, and the queue of updates to be forwarded.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use super::Update;
use crate::codec;
use crate::collections::HashMap;
use crate::log::event;
use crate::policy::demand;
use crate::policy::fanout::Fanout;
use crate::policy::fanout::Forward;

/// Size of the receive buffer, and so of the largest datagram that can be received.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// Size up to which updates are batched into one datagram, to avoid IP fragmentation.
const DATAGRAM_TARGET_BYTES: usize = 1_200;

/// Maximum number of updates in the forward queue. It fills up only while nothing can be sent, and
/// further updates are dropped.
const FORWARD_QUEUE_LIMIT: usize = 4_096;

/// Approximate encoded size of an update, and of each load, session, upstream number, limit,
/// brittle upstream, slowness and demand in it.
const UPDATE_BYTES_ESTIMATE: usize = 32;
const ROW_BYTES_ESTIMATE: usize = 24;
const SESSION_BYTES_ESTIMATE: usize = 10;
const NUMBER_BYTES_ESTIMATE: usize = 9;
const LIMIT_BYTES_ESTIMATE: usize = 24;
const BRITTLE_BYTES_ESTIMATE: usize = 32;
const SPEED_BYTES_ESTIMATE: usize = 5;
const DEMAND_BYTES_ESTIMATE: usize = 8;

/// Content of one datagram.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Datagram {
    pub(super) forward: Forward,
    pub(super) updates: Vec<Update>,
}

/// The UDP socket and the forward queue.
pub(super) struct Transport {
    socket: UdpSocket,
    buf: RefCell<Vec<u8>>,
    /// When the last datagram from each address arrived.
    last_received: RefCell<HashMap<SocketAddr, Duration>>,
    queue: RefCell<Vec<(Update, Forward)>>,
}

impl Transport {
    pub(super) fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            buf: RefCell::new(vec![0; RECEIVE_BUFFER_BYTES]),
            last_received: RefCell::default(),
            queue: RefCell::default(),
        }
    }

    /// Returns whether a datagram has arrived from `address` at `since` or later.
    pub(super) fn has_received_since(&self, address: SocketAddr, since: Duration) -> bool {
        let last_received = self.last_received.borrow();
        last_received.get(&address).is_some_and(|&at| at >= since)
    }

    /// Records the arrival of a datagram from `address`.
    pub(super) fn record_received(&self, address: SocketAddr, now: Duration) {
        self.last_received.borrow_mut().insert(address, now);
    }

    /// Receives the next datagram that can be decoded.
    pub(super) async fn receive(&self) -> io::Result<(SocketAddr, Datagram)> {
        loop {
            self.socket.readable().await?;
            let received = self.socket.try_recv_from(&mut self.buf.borrow_mut());
            let (n, from) = match received {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Err(e),
            };
            match codec::decode::<Datagram>(&self.buf.borrow()[..n]) {
                Ok(datagram) => return Ok((from, datagram)),
                Err(e) => event!(Debug, "update_unreadable", from = from, error = e),
            }
        }
    }

    /// Queues an update for the next [`Transport::forward`]; drops it if the queue is full.
    pub(super) fn queue(&self, update: Update, forward: Forward) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() < FORWARD_QUEUE_LIMIT {
            queue.push((update, forward));
        }
    }

    /// Sends an update of this gateway, and also queues it for forwarding if the gateway is a hub.
    pub(super) async fn publish(&self, update: Update, fanout: &Fanout) {
        for &(to, forward) in &fanout.direct {
            let updates = vec![update.clone()];
            self.send(to, &codec::encode(&Datagram { forward, updates }))
                .await;
        }
        if fanout.is_hub() {
            self.queue(update, Forward::Everywhere);
        }
    }

    /// Forwards the queued updates.
    pub(super) async fn forward(&self, fanout: &Fanout) {
        let queue = std::mem::take(&mut *self.queue.borrow_mut());
        let all = queue.iter().map(|(update, _)| update);
        let own = queue
            .iter()
            .filter(|(_, forward)| *forward == Forward::Everywhere)
            .map(|(update, _)| update);
        self.send_all(
            &fanout.local_members,
            &encode_datagrams(Forward::Nowhere, all),
        )
        .await;
        self.send_all(
            &fanout.remote_relays,
            &encode_datagrams(Forward::DataCentre, own),
        )
        .await;
    }

    async fn send_all(&self, to: &[SocketAddr], datagrams: &[Vec<u8>]) {
        for &to in to {
            for datagram in datagrams {
                self.send(to, datagram).await;
            }
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Err(e) = self.socket.send_to(datagram, to).await {
            // A later update makes up for the lost one.
            event!(Debug, "update_not_sent", to = to, error = e);
        }
    }
}

/// Batches updates into datagrams of up to about [`DATAGRAM_TARGET_BYTES`].
fn encode_datagrams<'a>(forward: Forward, all: impl Iterator<Item = &'a Update>) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut updates = Vec::new();
    let mut bytes = 0;
    for update in all {
        let rows = ROW_BYTES_ESTIMATE * update.rows.len();
        let more = UPDATE_BYTES_ESTIMATE
            + rows
            + SESSION_BYTES_ESTIMATE * update.sessions.len()
            + NUMBER_BYTES_ESTIMATE
                * (update.reachability.number_count() + update.unreachable.len())
            + LIMIT_BYTES_ESTIMATE * update.limits.len()
            + BRITTLE_BYTES_ESTIMATE * update.brittle.len()
            + SPEED_BYTES_ESTIMATE * update.speeds.row_count()
            + DEMAND_BYTES_ESTIMATE * update.demand.as_ref().map_or(0, demand::Notice::row_count)
            + NUMBER_BYTES_ESTIMATE * quarantine_numbers(update);
        if bytes + more > DATAGRAM_TARGET_BYTES && !updates.is_empty() {
            let updates = std::mem::take(&mut updates);
            datagrams.push(codec::encode(&Datagram { forward, updates }));
            bytes = 0;
        }
        updates.push(update.clone());
        bytes += more;
    }
    if !updates.is_empty() {
        datagrams.push(codec::encode(&Datagram { forward, updates }));
    }
    datagrams
}

/// Returns the number of numbers that the notices of an update on prompts and requests have.
fn quarantine_numbers(update: &Update) -> usize {
    let notices = update.quarantines.iter();
    let prompts: usize = notices.map(|(_, notice)| 4 + notice.id_count()).sum();
    prompts + update.crashing_requests.number_count()
}
