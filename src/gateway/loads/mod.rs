//! What the gateways publish to each other: their own requests at the upstreams, and sessions that a
//! roll-out could choose.
//!
//! Reports of the upstreams are late, and every gateway reads the same ones. So each gateway publishes
//! how much of its own work lies where, in datagrams that hold the state and not the change: one that
//! is lost is made good by the next. `policy::fanout` decides whom it sends to.

mod publisher;
mod transport;

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use self::publisher::Publisher;
use self::transport::Transport;
use super::Gateway;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::log::event;
use crate::policy::fanout;
use crate::policy::fanout::Fanout;
use crate::policy::fanout::Forward;
use crate::policy::fanout::Peer;
use crate::policy::sessions::Assignment;

/// Least time between two updates of one gateway.
const INTERVAL_LEAST: Duration = Duration::from_millis(10);

/// Time for each other gateway between two updates, so that many gateways send no more together
/// than few do.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(2);

/// Time after which a full update is due: a datagram may have been lost.
const FULL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a gateway that says nothing counts as gone, with all its requests.
const FORGET_AFTER: Duration = Duration::from_millis(3500);

/// Change of one upstream's work that is worth an update, in tokens of the smallest model: less is
/// read within milliseconds.
const CHANGE_LEAST: u64 = 6_000;

/// Least time between two updates where hubs forward them: three of them lie between two gateways,
/// and a prompt is read in a few hundred milliseconds.
const HUB_INTERVAL: Duration = Duration::from_millis(40);

/// Time for each other gateway between two updates where hubs forward them: a gateway receives some
/// 130 kB/s at most, however many there are.
const HUB_INTERVAL_PER_PEER: Duration = Duration::from_micros(450);

/// Silence after which a gateway is not counted on to forward. A hub forwards the updates of all its
/// members, which come several times as often.
const HEARD_WITHIN: Duration = Duration::from_millis(500);

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
    fn differs(&self, published: &Self) -> bool {
        self.reading.abs_diff(published.reading) >= CHANGE_LEAST
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.reading += other.reading;
        self.held += other.held;
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Update {
    /// The publishing gateway's run.
    run: u64,
    /// Grows with each update.
    seq: u64,
    /// Whether the rows are all that it has.
    all: bool,
    rows: Vec<(Index, Work)>,
    /// Sessions that took a side since the update before; a full update repeats those since the last
    /// full one.
    sessions: Vec<Assignment>,
}

#[derive(Debug, Default)]
struct Other {
    seq: u64,
    heard: Duration,
    rows: HashMap<Index, Work>,
}

/// What the other gateways published.
#[derive(Debug, Default)]
pub(super) struct Others {
    gateways: HashMap<u64, Other>,
}

impl Others {
    /// Takes an update; `false` where it is known already.
    fn take(&mut self, update: Update, now: Duration) -> bool {
        let other = self.gateways.entry(update.run).or_default();
        if update.seq <= other.seq {
            return false;
        }
        other.seq = update.seq;
        other.heard = now;
        if update.all {
            other.rows.clear();
        }
        for (number, work) in update.rows.into_iter().take(ROWS_LIMIT) {
            other.rows.insert(number, work);
        }
        true
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

/// Receives the other gateways' updates and publishes its own, as long as the process runs.
pub(super) async fn exchange(gateway: Rc<Gateway>, socket: UdpSocket) {
    let transport = Rc::new(Transport::new(socket));
    tokio::task::spawn_local(receive(gateway.clone(), transport.clone()));
    let mut publisher = Publisher::default();
    for turn in 0.. {
        let fanout = fanout_now(&gateway, &transport, turn);
        tokio::time::sleep(interval(&fanout)).await;
        let woken = gateway.work_changed.notified();
        let _ = tokio::time::timeout(FULL_INTERVAL, woken).await;
        if let Some(update) = publisher.next_update(&gateway) {
            transport.publish(update, &fanout).await;
        }
        transport.forward(&fanout).await;
        let now = gateway.now();
        gateway.others.borrow_mut().forget_silent(now);
    }
}

/// Time until the next update.
fn interval(fanout: &Fanout) -> Duration {
    let peers = u32::try_from(fanout.peer_count).unwrap_or(u32::MAX);
    if fanout.has_hubs() {
        HUB_INTERVAL.max(HUB_INTERVAL_PER_PEER.saturating_mul(peers))
    } else {
        INTERVAL_LEAST.max(INTERVAL_PER_PEER.saturating_mul(peers))
    }
}

/// Whom to send to now.
fn fanout_now(gateway: &Gateway, transport: &Transport, turn: usize) -> Fanout {
    let own = &gateway.info;
    let since = gateway.now().saturating_sub(HEARD_WITHIN);
    let picture = gateway.picture();
    let others = picture
        .entries
        .iter()
        .filter(|info| info.address != own.address);
    let peers: Vec<Peer> = others
        .filter_map(|info| {
            let address = info.loads_address?;
            Some(Peer {
                address,
                data_centre: info.data_centre.clone(),
                is_live: transport.heard_since(address, since),
            })
        })
        .collect();
    let address = gateway.cfg.loads_listen;
    fanout::compute(address, &own.data_centre, &peers, turn)
}

async fn receive(gateway: Rc<Gateway>, transport: Rc<Transport>) {
    loop {
        match transport.receive().await {
            Ok((from, packet)) => {
                transport.note_heard(from, gateway.now());
                for update in packet.updates {
                    take(&gateway, &transport, update, packet.forward);
                }
            }
            Err(e) => {
                event!(Warn, "updates_not_received", error = e);
                tokio::time::sleep(FULL_INTERVAL).await;
            }
        }
    }
}

fn take(gateway: &Gateway, transport: &Transport, update: Update, forward: Forward) {
    if update.run == gateway.run {
        return;
    }
    let now = gateway.now();
    gateway.sessions.borrow_mut().merge(&update.sessions, now);
    let forwarded = (forward != Forward::Nowhere).then(|| update.clone());
    let is_new = gateway.others.borrow_mut().take(update, now);
    if let Some(forwarded) = forwarded.filter(|_| is_new) {
        transport.queue(forwarded, forward);
        gateway.work_changed.notify_one();
    }
}
