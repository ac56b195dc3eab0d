//! Updates that the gateways send each other: the load of their own requests at each upstream, the
//! releases of those sessions that the trial stage of a rollout may include, the upstreams that
//! refuse connections, the limits that upstreams name, and the prompts that crash upstreams.
//!
//! The upstreams' own load reports arrive late, and every gateway reads the same ones. So each
//! gateway also publishes the load that it has sent to each upstream, in UDP datagrams with
//! absolute values, so that a lost one is made up for by a later one. `policy::fanout` selects the
//! receivers.

mod publisher;
mod transport;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use self::publisher::Publisher;
use self::transport::Transport;
use super::Gateway;
use super::quarantine::ServiceNotice;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::log::event;
use crate::peer::EntryInfo;
use crate::policy::backpressure::LimitNotice;
use crate::policy::brittle;
use crate::policy::crashing_requests;
use crate::policy::demand;
use crate::policy::fanout;
use crate::policy::fanout::Fanout;
use crate::policy::fanout::Forward;
use crate::policy::fanout::Peer;
use crate::policy::reachability;
use crate::policy::sessions::Assignment;
use crate::policy::speed;

/// Minimum time between two updates of one gateway.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two updates, per other gateway, so that many gateways together publish no more
/// updates than a few do.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(2);

/// Interval between full updates, which make up for lost datagrams.
const FULL_INTERVAL: Duration = Duration::from_secs(1);

/// Time without updates after which a gateway and its requests are considered gone.
const PEER_EXPIRY: Duration = Duration::from_millis(3500);

/// Minimum change of the prefill tokens at one upstream that is published, in tokens of the
/// smallest model. The prefill of fewer tokens takes only milliseconds.
const MIN_CHANGE_TOKENS: u64 = 6_000;

/// Minimum time between two updates if hubs forward them (see `policy::fanout`). An update may wait
/// for three such intervals on its way to another gateway, and the prefill of a prompt takes a few
/// hundred milliseconds.
const HUB_INTERVAL: Duration = Duration::from_millis(40);

/// Time between two updates, per other gateway, if hubs forward them. It limits what one gateway
/// receives to about 130 kB/s, however many gateways there are.
const HUB_INTERVAL_PER_PEER: Duration = Duration::from_micros(450);

/// Number of gateways that an update waits at if hubs forward them, its publisher included.
const HUB_HOPS: u32 = 3;

/// Time without datagrams after which a gateway is no longer chosen to forward updates. A hub
/// forwards the updates of all its members, so its datagrams come several times as often.
const FORWARDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of upstreams that are read from one update.
const MAX_ROWS: usize = 256;

/// Load of one gateway's requests at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Load {
    /// Number of requests.
    pub(super) requests: u32,
    /// Prompt tokens whose prefill is not finished, scaled to the smallest model: as many as it
    /// would process in the same time.
    pub(super) prefill_tokens: u64,
    /// Tokens that the requests hold in the KV cache.
    pub(super) kv_tokens: u64,
}

impl Load {
    /// Returns whether the load has changed enough since it was published. `is_small` is whether
    /// the upstream's service has so few slots that each request counts.
    fn differs_enough(&self, published: &Self, is_small: bool) -> bool {
        self.prefill_tokens.abs_diff(published.prefill_tokens) >= MIN_CHANGE_TOKENS
            || (is_small && self.requests != published.requests)
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }
}

/// Loads and sessions of one gateway.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Update {
    /// Run id of the gateway that published the update.
    run_id: u64,
    /// Its address for callers.
    address: SocketAddr,
    /// Hashes of the services whose upstreams it does not reach.
    unreachable: Vec<u64>,
    /// Sequence number; increases with each update of a run.
    seq: u64,
    /// Whether `rows` holds all upstreams at which the gateway has requests.
    is_full: bool,
    /// Loads by the number of the upstream.
    rows: Vec<(Index, Load)>,
    /// Sessions assigned to a release since the previous update; a full update repeats all since
    /// the last full one.
    sessions: Vec<Assignment>,
    /// Upstreams that refused a connection since the previous update, and those that responded
    /// though they were reported to be lost.
    reachability: reachability::Notice,
    /// Limits that upstreams have named or lifted, if one has changed; a full update repeats all.
    limits: Vec<LimitNotice>,
    /// Brittle upstreams, if there is news; a full update repeats all.
    brittle: Vec<brittle::Notice>,
    /// Crashes under suspect prompts and the verdicts on these, if there is news; a full update
    /// repeats the verdicts and what is recent.
    quarantines: Vec<ServiceNotice>,
    /// Crashes under requests and the verdicts on these, likewise.
    crashing_requests: crashing_requests::Notice,
    /// Slowness of upstreams, at most `speed::MAX_NOTICE_BYTES`.
    speeds: speed::Notice,
    /// Demand by service, at most `demand::MAX_NOTICE_BYTES`; `None` without admission.
    demand: Option<demand::Notice>,
}

/// Loads of one other gateway.
#[derive(Debug, Default)]
struct PeerLoad {
    seq: u64,
    last_received: Duration,
    /// Its address for callers.
    address: Option<SocketAddr>,
    /// Hashes of the services whose upstreams it does not reach.
    unreachable: Vec<u64>,
    rows: HashMap<Index, Load>,
}

/// Loads that the other gateways have published, by run id.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    gateways: HashMap<u64, PeerLoad>,
    /// Sum over the gateways, by upstream: placement reads it for every upstream of a service.
    totals: HashMap<Index, Load>,
}

impl PeerLoads {
    /// Applies an update. Returns `false` if it or a later one was applied before.
    fn apply(&mut self, update: Update, now: Duration) -> bool {
        let peer = self.gateways.entry(update.run_id).or_default();
        if update.seq <= peer.seq {
            return false;
        }
        peer.seq = update.seq;
        peer.last_received = now;
        peer.address = Some(update.address);
        peer.unreachable = update.unreachable;
        peer.unreachable.truncate(MAX_ROWS);
        if update.is_full {
            for (number, load) in peer.rows.drain() {
                subtract(&mut self.totals, number, &load);
            }
        }
        for (number, load) in update.rows.into_iter().take(MAX_ROWS) {
            if let Some(previous) = peer.rows.insert(number, load) {
                subtract(&mut self.totals, number, &previous);
            }
            self.totals.entry(number).or_default().add(&load);
        }
        true
    }

    fn remove_expired(&mut self, now: Duration) {
        let totals = &mut self.totals;
        self.gateways.retain(|_, peer| {
            let is_live = now <= peer.last_received + PEER_EXPIRY;
            if !is_live {
                for (number, load) in peer.rows.drain() {
                    subtract(totals, number, &load);
                }
            }
            is_live
        });
    }

    /// Iterates over the run ids of the other gateways that are heard of.
    pub(super) fn run_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.gateways.keys().copied()
    }

    /// Returns the addresses for callers of the gateways that reach a service, by its hash.
    pub(super) fn addresses_reaching(&self, service: u64) -> HashSet<SocketAddr> {
        let peers = self.gateways.values();
        peers
            .filter(|peer| !peer.unreachable.contains(&service))
            .filter_map(|peer| peer.address)
            .collect()
    }

    /// Returns the addresses for callers of the gateways that are heard of.
    pub(super) fn addresses(&self) -> HashSet<SocketAddr> {
        let peers = self.gateways.values();
        peers.filter_map(|peer| peer.address).collect()
    }

    /// Returns whether another gateway is heard of.
    pub(super) fn hears_others(&self) -> bool {
        !self.gateways.is_empty()
    }

    /// Returns whether the gateway is heard of.
    pub(super) fn hears(&self, run_id: u64) -> bool {
        self.gateways.contains_key(&run_id)
    }

    /// Returns whether the gateway has requests at one of the upstreams.
    pub(super) fn has_requests(&self, run_id: u64, upstreams: &HashSet<Index>) -> bool {
        self.gateways.get(&run_id).is_some_and(|peer| {
            let mut rows = peer.rows.iter();
            rows.any(|(number, load)| load.requests > 0 && upstreams.contains(number))
        })
    }

    /// Returns the total load of all other gateways at one upstream.
    pub(super) fn total_at(&self, number: Index) -> Load {
        self.totals.get(&number).copied().unwrap_or_default()
    }
}

/// Subtracts a load that was added to the total of an upstream before.
fn subtract(totals: &mut HashMap<Index, Load>, number: Index, load: &Load) {
    let Some(total) = totals.get_mut(&number) else {
        return;
    };
    total.requests = total.requests.saturating_sub(load.requests);
    total.prefill_tokens = total.prefill_tokens.saturating_sub(load.prefill_tokens);
    total.kv_tokens = total.kv_tokens.saturating_sub(load.kv_tokens);
    if *total == Load::default() {
        totals.remove(&number);
    }
}

/// Receives the other gateways' updates and publishes this gateway's, for as long as the process
/// runs.
pub(super) async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let transport = Rc::new(Transport::new(socket));
    tokio::task::spawn_local(receive(gateway.clone(), transport.clone()));
    let mut publisher = Publisher::default();
    for turn in 0.. {
        let fanout = current_fanout(&gateway, &transport, turn);
        tokio::time::sleep(interval(&fanout)).await;
        gateway.poll_quarantines();
        if !publisher.finds_peers(fanout.peer_count) {
            let load_changed = gateway.load_changed.notified();
            let idle_interval = gateway.demand_interval().unwrap_or(FULL_INTERVAL);
            let _ = tokio::time::timeout(idle_interval, load_changed).await;
        }
        if let Some(update) = publisher.next_update(&gateway, fanout.peer_count) {
            transport.publish(update, &fanout).await;
        }
        transport.forward(&fanout).await;
        let now = gateway.now();
        gateway.peer_loads.borrow_mut().remove_expired(now);
        gateway.forget_demands();
        gateway.reachability.borrow_mut().remove_expired(now);
    }
}

impl Gateway {
    /// Returns whether other gateways may have requests of which no update is heard: there are
    /// others, or after a start the complete list of gateways is not known yet.
    pub(super) fn lacks_updates(&self) -> bool {
        let routing = self.routing.borrow();
        // Entries of the chat path are in the list too and send no updates.
        let mut gateways = routing.entries.iter();
        let is_other =
            |info: &EntryInfo| info.loads_address.is_some() && info.address != self.info.address;
        let is_alone = self.has_all_gateways.get() && !gateways.any(is_other);
        !is_alone && !self.peer_loads.borrow().hears_others()
    }

    /// Returns whether the gateway has started only recently and hears of no others yet.
    pub(super) fn places_alone_after_start(&self) -> bool {
        self.recovery.is_recent(self.now()) && self.lacks_updates()
    }

    /// Returns the number of other gateways that take part in the exchange of updates.
    fn peer_count(&self) -> usize {
        let routing = self.routing();
        let entries = routing.entries.iter();
        let others = entries.filter(|info| info.address != self.info.address);
        others.filter(|info| info.loads_address.is_some()).count()
    }

    /// Returns the time after which the other gateways know of a changed number of requests, if it
    /// is published and no update is lost.
    pub(super) fn update_age(&self) -> Duration {
        let peers = self.peer_count();
        let has_hubs = peers > fanout::FULL_MESH_PEER_LIMIT;
        interval_for(peers, has_hubs) * if has_hubs { HUB_HOPS } else { 1 }
    }

    /// Returns the mean age of the other gateways' numbers of requests at an upstream: half an
    /// interval for each hop, and half the time between full updates if only those have them.
    pub(super) fn update_lag(&self, upstream: Index) -> Duration {
        let peers = self.peer_count();
        let has_hubs = peers > fanout::FULL_MESH_PEER_LIMIT;
        let hops = if has_hubs { HUB_HOPS } else { 1 };
        let lag = interval_for(peers, has_hubs) * hops / 2;
        let managed = self.managed_upstreams.borrow();
        if managed.is_of_small_service(upstream) {
            lag
        } else {
            lag + FULL_INTERVAL / 2
        }
    }
}

/// Returns the time until the next update.
fn interval(fanout: &Fanout) -> Duration {
    interval_for(fanout.peer_count, fanout.has_hubs())
}

fn interval_for(peer_count: usize, has_hubs: bool) -> Duration {
    let peers = u32::try_from(peer_count).unwrap_or(u32::MAX);
    if has_hubs {
        HUB_INTERVAL.max(HUB_INTERVAL_PER_PEER.saturating_mul(peers))
    } else {
        MIN_INTERVAL.max(INTERVAL_PER_PEER.saturating_mul(peers))
    }
}

/// Selects the receivers of the next updates.
fn current_fanout(gateway: &Gateway, transport: &Transport, turn: usize) -> Fanout {
    let own = &gateway.info;
    let since = gateway.now().saturating_sub(FORWARDER_TIMEOUT);
    let routing = gateway.routing();
    let others = routing
        .entries
        .iter()
        .filter(|info| info.address != own.address);
    let peers: Vec<Peer> = others
        .filter_map(|info| {
            let address = info.loads_address?;
            Some(Peer {
                address,
                data_centre: info.data_centre.clone(),
                is_live: transport.has_received_since(address, since),
            })
        })
        .collect();
    let address = gateway.cfg.loads_listen;
    fanout::compute(address, &own.data_centre, &peers, turn)
}

async fn receive(gateway: Rc<Gateway>, transport: Rc<Transport>) {
    loop {
        match transport.receive().await {
            Ok((from, datagram)) => {
                transport.record_received(from, gateway.now());
                gateway.record_update_sender(from);
                for update in datagram.updates {
                    receive_update(&gateway, &transport, update, datagram.forward);
                }
            }
            Err(e) => {
                event!(Warn, "updates_not_received", error = e);
                tokio::time::sleep(FULL_INTERVAL).await;
            }
        }
    }
}

fn receive_update(gateway: &Gateway, transport: &Transport, update: Update, forward: Forward) {
    if update.run_id == gateway.run_id {
        return;
    }
    let now = gateway.now();
    gateway.sessions.borrow_mut().merge(&update.sessions, now);
    gateway.apply_reachability_notice(update.run_id, &update.reachability);
    let limits = update.limits.len().min(MAX_ROWS);
    gateway.apply_limit_notices(&update.limits[..limits]);
    let brittle = update.brittle.len().min(MAX_ROWS);
    gateway.apply_brittle_notices(&update.brittle[..brittle]);
    let quarantines = update.quarantines.len().min(MAX_ROWS);
    gateway.apply_quarantine_notices(&update.quarantines[..quarantines]);
    gateway.apply_crash_notice(&update.crashing_requests);
    let (run_id, speeds) = (update.run_id, update.speeds.clone());
    let demand = update.demand.clone();
    let forwarded = (forward != Forward::Nowhere).then(|| update.clone());
    let is_new = gateway.peer_loads.borrow_mut().apply(update, now);
    if is_new {
        // The ages in it count from when it was sent, so a second copy would look like newer data.
        gateway.apply_speed_notice(run_id, &speeds);
        if let Some(demand) = demand {
            gateway.apply_demand(run_id, demand);
        }
    }
    if let Some(forwarded) = forwarded.filter(|_| is_new) {
        transport.queue(forwarded, forward);
        gateway.load_changed.notify_one();
    }
}
