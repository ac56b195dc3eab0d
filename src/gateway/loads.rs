//! What the gateways tell each other: their own requests at the upstreams, and sessions that a
//! roll-out could choose.
//!
//! Reports of the upstreams are late, and every gateway reads the same ones. So each gateway tells
//! the others how much of its own work lies where, in datagrams that say the state and not the change:
//! one that is lost is made good by the next.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use super::Gateway;
use crate::agreement::Index;
use crate::codec;
use crate::collections::HashMap;
use crate::log::event;
use crate::policy::sessions::Side;

/// Least time between two tellings of one gateway.
const TELL_LEAST: Duration = Duration::from_millis(10);

/// Time for each other gateway between two tellings, so that many gateways send no more together
/// than few do.
const TELL_PER_PEER: Duration = Duration::from_millis(2);

/// Time after which everything is told again: a datagram may have been lost.
const TELL_ALL: Duration = Duration::from_secs(1);

/// Time after which a gateway that says nothing counts as gone, with all its requests.
const FORGET_AFTER: Duration = Duration::from_millis(3500);

/// Change of one upstream's work that is worth a telling, in tokens of the smallest model: less is
/// read within milliseconds.
const CHANGE_LEAST: u64 = 6_000;

/// Most bytes of one datagram.
const DATAGRAM_LIMIT: usize = 8 * 1024;

/// Upstreams in one datagram.
const ROWS_LIMIT: usize = 256;

/// Work of one gateway at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Work {
    /// Requests there.
    pub(super) requests: u32,
    /// Prompt tokens that are still to be read, as many as the smallest model reads in that time.
    pub(super) reading: u64,
    /// Tokens that its requests take in memory.
    pub(super) held: u64,
}

impl Work {
    fn differs(&self, told: &Self) -> bool {
        self.reading.abs_diff(told.reading) >= CHANGE_LEAST
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.reading += other.reading;
        self.held += other.held;
    }
}

#[derive(Debug, Deserialize, Serialize)]
struct Telling {
    /// The telling gateway's run.
    run: u64,
    /// Grows with each telling.
    seq: u64,
    /// Whether the rows are all that it has.
    all: bool,
    rows: Vec<(Index, Work)>,
    /// Sessions that took a side since the telling before.
    sessions: Vec<Side>,
}

#[derive(Debug, Default)]
struct Other {
    seq: u64,
    heard: Duration,
    rows: HashMap<Index, Work>,
}

/// What the other gateways told.
#[derive(Debug, Default)]
pub(super) struct Others {
    gateways: HashMap<u64, Other>,
}

impl Others {
    fn take(&mut self, telling: Telling, now: Duration) {
        let other = self.gateways.entry(telling.run).or_default();
        if telling.seq <= other.seq {
            return;
        }
        other.seq = telling.seq;
        other.heard = now;
        if telling.all {
            other.rows.clear();
        }
        for (number, work) in telling.rows.into_iter().take(ROWS_LIMIT) {
            other.rows.insert(number, work);
        }
    }

    fn forget_silent(&mut self, now: Duration) {
        self.gateways
            .retain(|_, other| now <= other.heard + FORGET_AFTER);
    }

    /// Work of all others at one upstream.
    pub(super) fn at(&self, number: Index) -> Work {
        let mut total = Work::default();
        for other in self.gateways.values() {
            if let Some(work) = other.rows.get(&number) {
                total.add(work);
            }
        }
        total
    }
}

/// Listens to the other gateways and tells them, as long as the process runs.
pub(super) async fn exchange(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(listen(gateway.clone(), socket.clone()));
    let mut teller = Teller::default();
    loop {
        let pause = TELL_LEAST.max(TELL_PER_PEER * u32::try_from(teller.peers).unwrap_or(u32::MAX));
        tokio::time::sleep(pause).await;
        let woken = gateway.work_changed.notified();
        let _ = tokio::time::timeout(TELL_ALL, woken).await;
        teller.tell(&gateway, &socket).await;
        let now = gateway.now();
        gateway.others.borrow_mut().forget_silent(now);
    }
}

async fn listen(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM_LIMIT];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((n, from)) => match codec::decode::<Telling>(&buf[..n]) {
                Ok(telling) => {
                    let now = gateway.now();
                    gateway.sessions.borrow_mut().take(&telling.sessions, now);
                    gateway.others.borrow_mut().take(telling, now);
                }
                Err(e) => event!(Debug, "telling_unreadable", from = from, error = e),
            },
            Err(e) => {
                event!(Warn, "loads_not_heard", error = e);
                tokio::time::sleep(TELL_ALL).await;
            }
        }
    }
}

#[derive(Default)]
struct Teller {
    seq: u64,
    told: HashMap<Index, Work>,
    told_all: Option<Duration>,
    peers: usize,
}

impl Teller {
    async fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let peers: Vec<SocketAddr> = gateway
            .picture()
            .entries
            .iter()
            .filter(|info| info.address != gateway.info.address)
            .filter_map(|info| info.loads)
            .collect();
        self.peers = peers.len();
        let all = self.told_all.is_none_or(|at| now >= at + TELL_ALL);
        let work = gateway.runners.borrow().own_work();
        let rows = self.rows(&work, all);
        let sessions = gateway.sessions.borrow_mut().take_news();
        if rows.is_empty() && sessions.is_empty() && !all {
            return;
        }
        self.seq += 1;
        let telling = Telling {
            run: gateway.run,
            seq: self.seq,
            all,
            rows,
            sessions,
        };
        let bytes = codec::encode(&telling);
        for peer in peers {
            if let Err(e) = socket.send_to(&bytes, peer).await {
                // A later telling makes good for it.
                event!(Debug, "loads_not_told", to = peer, error = e);
            }
        }
        if all {
            self.told_all = Some(now);
        }
    }

    /// What to tell, and notes that it has been told.
    fn rows(&mut self, work: &HashMap<Index, Work>, all: bool) -> Vec<(Index, Work)> {
        if all {
            self.told.clone_from(work);
            return work.iter().map(|(&n, &w)| (n, w)).collect();
        }
        let mut rows = Vec::new();
        for (&number, work) in work {
            let told = self.told.entry(number).or_default();
            if work.differs(told) {
                *told = *work;
                rows.push((number, *work));
            }
        }
        for (&number, told) in &mut self.told {
            if !work.contains_key(&number) && *told != Work::default() {
                *told = Work::default();
                rows.push((number, Work::default()));
            }
        }
        rows
    }
}
