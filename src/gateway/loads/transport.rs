//! Datagrams between the gateways, and updates that wait to be forwarded.

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
use crate::policy::fanout::Fanout;
use crate::policy::fanout::Forward;

/// Most bytes of a datagram that is received.
const DATAGRAM_LIMIT: usize = 8 * 1024;

/// Bytes up to which updates share a datagram, so that links need not cut it.
const PACKET_BYTES: usize = 1_200;

/// Updates that wait to be forwarded; more than these come only while nothing is sent.
const QUEUE_LIMIT: usize = 4_096;

/// Bytes of an update, and of each upstream and session in it, about.
const UPDATE_BYTES: usize = 24;
const ROW_BYTES: usize = 24;
const SESSION_BYTES: usize = 10;

/// What one datagram carries.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Packet {
    pub(super) forward: Forward,
    pub(super) updates: Vec<Update>,
}

/// The socket and the updates to be forwarded.
pub(super) struct Transport {
    socket: UdpSocket,
    buf: RefCell<Vec<u8>>,
    heard: RefCell<HashMap<SocketAddr, Duration>>,
    queue: RefCell<Vec<(Update, Forward)>>,
}

impl Transport {
    pub(super) fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            buf: RefCell::new(vec![0; DATAGRAM_LIMIT]),
            heard: RefCell::default(),
            queue: RefCell::default(),
        }
    }

    /// Whether something came from there at `since` or later.
    pub(super) fn heard_since(&self, address: SocketAddr, since: Duration) -> bool {
        let heard = self.heard.borrow();
        heard.get(&address).is_some_and(|&at| at >= since)
    }

    /// Notes that something came from there.
    pub(super) fn note_heard(&self, address: SocketAddr, now: Duration) {
        self.heard.borrow_mut().insert(address, now);
    }

    /// The next packet that can be read.
    pub(super) async fn receive(&self) -> io::Result<(SocketAddr, Packet)> {
        loop {
            self.socket.readable().await?;
            let received = self.socket.try_recv_from(&mut self.buf.borrow_mut());
            let (n, from) = match received {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Err(e),
            };
            match codec::decode::<Packet>(&self.buf.borrow()[..n]) {
                Ok(packet) => return Ok((from, packet)),
                Err(e) => event!(Debug, "update_unreadable", from = from, error = e),
            }
        }
    }

    /// Keeps an update until the next [`Transport::forward`].
    pub(super) fn queue(&self, update: Update, forward: Forward) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() < QUEUE_LIMIT {
            queue.push((update, forward));
        }
    }

    /// Sends an update of this gateway.
    pub(super) async fn publish(&self, update: Update, fanout: &Fanout) {
        for &(to, forward) in &fanout.direct {
            let updates = vec![update.clone()];
            self.send(to, &codec::encode(&Packet { forward, updates }))
                .await;
        }
        if fanout.is_hub() {
            self.queue(update, Forward::Everywhere);
        }
    }

    /// Forwards what has come to be forwarded.
    pub(super) async fn forward(&self, fanout: &Fanout) {
        let queue = std::mem::take(&mut *self.queue.borrow_mut());
        let all = queue.iter().map(|(update, _)| update);
        let own = queue
            .iter()
            .filter(|(_, forward)| *forward == Forward::Everywhere)
            .map(|(update, _)| update);
        self.send_all(&fanout.local_members, &packets(Forward::Nowhere, all))
            .await;
        self.send_all(&fanout.remote_relays, &packets(Forward::DataCentre, own))
            .await;
    }

    async fn send_all(&self, to: &[SocketAddr], packets: &[Vec<u8>]) {
        for &to in to {
            for packet in packets {
                self.send(to, packet).await;
            }
        }
    }

    async fn send(&self, to: SocketAddr, packet: &[u8]) {
        if let Err(e) = self.socket.send_to(packet, to).await {
            // A later update makes good for it.
            event!(Debug, "update_not_sent", to = to, error = e);
        }
    }
}

/// Encodes updates into as few datagrams as hold them.
fn packets<'a>(forward: Forward, all: impl Iterator<Item = &'a Update>) -> Vec<Vec<u8>> {
    let mut packets = Vec::new();
    let mut updates = Vec::new();
    let mut bytes = 0;
    for update in all {
        let rows = ROW_BYTES * update.rows.len();
        let more = UPDATE_BYTES + rows + SESSION_BYTES * update.sessions.len();
        if bytes + more > PACKET_BYTES && !updates.is_empty() {
            let updates = std::mem::take(&mut updates);
            packets.push(codec::encode(&Packet { forward, updates }));
            bytes = 0;
        }
        updates.push(update.clone());
        bytes += more;
    }
    if !updates.is_empty() {
        packets.push(codec::encode(&Packet { forward, updates }));
    }
    packets
}
