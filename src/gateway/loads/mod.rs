//! What the gateways tell each other: their own requests at the upstreams, and sessions that a
//! roll-out could choose.
//!
//! Reports of the upstreams are late, and every gateway reads the same ones. So each gateway tells
//! the others how much of its own work lies where, in datagrams that say the state and not the change:
//! one that is lost is made good by the next. `policy::spread` says whom it tells.

mod mail;
mod teller;

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use self::mail::Mail;
use self::teller::Teller;
use super::Gateway;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::log::event;
use crate::policy::sessions::Side;
use crate::policy::spread;
use crate::policy::spread::Pass;
use crate::policy::spread::Peer;
use crate::policy::spread::Routes;

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

/// Least time between two tellings where heads pass them on: three of them lie between two gateways,
/// and a prompt is read in a few hundred milliseconds.
const TELL_BY_HEADS: Duration = Duration::from_millis(40);

/// Time for each other gateway between two tellings where heads pass them on: a gateway hears some
/// 130 kB/s at most, however many there are.
const TELL_BY_HEADS_PER_PEER: Duration = Duration::from_micros(450);

/// Silence after which a gateway is not counted on to pass things on. A head passes on what its members
/// tell, which is several times as often.
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
    fn differs(&self, told: &Self) -> bool {
        self.reading.abs_diff(told.reading) >= CHANGE_LEAST
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.reading += other.reading;
        self.held += other.held;
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
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
    /// Takes a telling; `false` where it is known already.
    fn take(&mut self, telling: Telling, now: Duration) -> bool {
        let other = self.gateways.entry(telling.run).or_default();
        if telling.seq <= other.seq {
            return false;
        }
        other.seq = telling.seq;
        other.heard = now;
        if telling.all {
            other.rows.clear();
        }
        for (number, work) in telling.rows.into_iter().take(ROWS_LIMIT) {
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

/// Listens to the other gateways and tells them, as long as the process runs.
pub(super) async fn exchange(gateway: Rc<Gateway>, socket: UdpSocket) {
    let mail = Rc::new(Mail::new(socket));
    tokio::task::spawn_local(listen(gateway.clone(), mail.clone()));
    let mut teller = Teller::default();
    loop {
        let routes = routes(&gateway, &mail);
        tokio::time::sleep(pause(&routes)).await;
        let woken = gateway.work_changed.notified();
        let _ = tokio::time::timeout(TELL_ALL, woken).await;
        if let Some(telling) = teller.tell(&gateway) {
            mail.tell(telling, &routes).await;
        }
        mail.pass_on(&routes).await;
        let now = gateway.now();
        gateway.others.borrow_mut().forget_silent(now);
    }
}

fn pause(routes: &Routes) -> Duration {
    let peers = u32::try_from(routes.peers).unwrap_or(u32::MAX);
    if routes.by_heads {
        TELL_BY_HEADS.max(TELL_BY_HEADS_PER_PEER.saturating_mul(peers))
    } else {
        TELL_LEAST.max(TELL_PER_PEER.saturating_mul(peers))
    }
}

/// Whom to tell now.
fn routes(gateway: &Gateway, mail: &Mail) -> Routes {
    let own = &gateway.info;
    let since = gateway.now().saturating_sub(HEARD_WITHIN);
    let picture = gateway.picture();
    let others = picture
        .entries
        .iter()
        .filter(|info| info.address != own.address);
    let peers: Vec<Peer> = others
        .filter_map(|info| {
            let address = info.loads?;
            Some(Peer {
                address,
                data_centre: info.data_centre.clone(),
                heard: mail.heard_since(address, since),
            })
        })
        .collect();
    let address = gateway.cfg.loads_listen;
    spread::routes(address, &own.data_centre, &peers, mail.next_turn())
}

async fn listen(gateway: Rc<Gateway>, mail: Rc<Mail>) {
    loop {
        match mail.receive().await {
            Ok((from, packet)) => {
                mail.note_heard(from, gateway.now());
                for telling in packet.tellings {
                    take(&gateway, &mail, telling, packet.pass);
                }
            }
            Err(e) => {
                event!(Warn, "loads_not_heard", error = e);
                tokio::time::sleep(TELL_ALL).await;
            }
        }
    }
}

fn take(gateway: &Gateway, mail: &Mail, telling: Telling, pass: Pass) {
    if telling.run == gateway.run {
        return;
    }
    let now = gateway.now();
    gateway.sessions.borrow_mut().take(&telling.sessions, now);
    let passed = (pass != Pass::Nowhere).then(|| telling.clone());
    let is_new = gateway.others.borrow_mut().take(telling, now);
    if let Some(passed) = passed.filter(|_| is_new) {
        mail.queue(passed, pass);
        gateway.work_changed.notify_one();
    }
}
