//! Datagrams between the gateways, and what waits to be passed on.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use super::Telling;
use crate::codec;
use crate::collections::HashMap;
use crate::log::event;
use crate::policy::spread::Pass;
use crate::policy::spread::Routes;

/// Most bytes of a datagram that is received.
const DATAGRAM_LIMIT: usize = 8 * 1024;

/// Bytes up to which tellings share a datagram, so that links need not cut it.
const PACKET_BYTES: usize = 1_200;

/// Tellings that wait to be passed on; more than these come only while nothing is sent.
const QUEUE_LIMIT: usize = 4_096;

/// Bytes of a telling, and of each upstream and session in it, at most.
const TELLING_BYTES: usize = 24;
const ROW_BYTES: usize = 24;
const SESSION_BYTES: usize = 10;

/// What one datagram carries.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Packet {
    pub(super) pass: Pass,
    pub(super) tellings: Vec<Telling>,
}

/// The socket and the tellings to be passed on.
pub(super) struct Mail {
    socket: UdpSocket,
    buf: RefCell<Vec<u8>>,
    heard: RefCell<HashMap<SocketAddr, Duration>>,
    queue: RefCell<Vec<(Telling, Pass)>>,
    turn: Cell<usize>,
}

impl Mail {
    pub(super) fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            buf: RefCell::new(vec![0; DATAGRAM_LIMIT]),
            heard: RefCell::default(),
            queue: RefCell::default(),
            turn: Cell::new(0),
        }
    }

    /// Whether something came from there at `since` or later.
    pub(super) fn heard_since(&self, address: SocketAddr, since: Duration) -> bool {
        let heard = self.heard.borrow();
        heard.get(&address).is_some_and(|&at| at >= since)
    }

    /// A number that grows from call to call.
    pub(super) fn next_turn(&self) -> usize {
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        turn
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
                Err(e) => event!(Debug, "telling_unreadable", from = from, error = e),
            }
        }
    }

    /// Keeps a telling until the next [`Mail::pass_on`].
    pub(super) fn queue(&self, telling: Telling, pass: Pass) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() < QUEUE_LIMIT {
            queue.push((telling, pass));
        }
    }

    /// Sends what this gateway has to tell itself.
    pub(super) async fn tell(&self, telling: Telling, routes: &Routes) {
        for &(to, pass) in &routes.own {
            let tellings = vec![telling.clone()];
            self.send(to, &codec::encode(&Packet { pass, tellings }))
                .await;
        }
        if routes.is_head {
            self.queue(telling, Pass::Everywhere);
        }
    }

    /// Passes on what has come to be passed on.
    pub(super) async fn pass_on(&self, routes: &Routes) {
        let queue = std::mem::take(&mut *self.queue.borrow_mut());
        let all = queue.iter().map(|(telling, _)| telling);
        let own = queue
            .iter()
            .filter(|(_, pass)| *pass == Pass::Everywhere)
            .map(|(telling, _)| telling);
        self.send_all(&routes.here, &packets(Pass::Nowhere, all))
            .await;
        self.send_all(&routes.far, &packets(Pass::Here, own)).await;
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
            // A later telling makes good for it.
            event!(Debug, "loads_not_told", to = to, error = e);
        }
    }
}

/// Encodes tellings into as few datagrams as hold them.
fn packets<'a>(pass: Pass, all: impl Iterator<Item = &'a Telling>) -> Vec<Vec<u8>> {
    let mut packets = Vec::new();
    let mut tellings = Vec::new();
    let mut bytes = 0;
    for telling in all {
        let rows = ROW_BYTES * telling.rows.len();
        let more = TELLING_BYTES + rows + SESSION_BYTES * telling.sessions.len();
        if bytes + more > PACKET_BYTES && !tellings.is_empty() {
            let tellings = std::mem::take(&mut tellings);
            packets.push(codec::encode(&Packet { pass, tellings }));
            bytes = 0;
        }
        tellings.push(telling.clone());
        bytes += more;
    }
    if !tellings.is_empty() {
        packets.push(codec::encode(&Packet { pass, tellings }));
    }
    packets
}
