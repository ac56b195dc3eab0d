//! The tables shared by the workers and the link.
//!
//! Lock order, by rank: lease (1), view (2), pins (3), upstreams (4), pools (5), retry budgets (6),
//! pending loads (7). A thread acquires them in ascending order only; no lock is held across an
//! `.await`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::Config;
use super::Unwritten;
use super::admission::Pools;
use super::link::Command;
use super::upstreams::UpstreamTable;
use super::view::View;
use crate::agreement::Index;
use crate::clock::Clock;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::config::VersionName;
use crate::engine::Engine;
use crate::engine::HttpEngine;
use crate::engine::Rater;
use crate::lease::Holder;
use crate::listen::Connections;
use crate::lock_rank::RankedMutex;
use crate::metrics::Metrics;
use crate::peer::EntryInfo;
use crate::peer::Reply;
use crate::peer::Request;
use crate::peer::UpstreamLoad;
use crate::policy::retry::TokenBucket;
use crate::random;
use crate::state::command::LedgerOp;
use crate::state::command::LedgerOutcome;

/// Most session pins cached here.
const MAX_CACHED_PINS: usize = 20_000;

/// Time without use after which a cached pin expires; the leader is asked again.
const PIN_IDLE_TTL: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct CachedPin {
    version: VersionName,
    last_used: Duration,
}

/// The state shared by the workers and the link.
pub(crate) struct Shared {
    pub(crate) cfg: Config,
    pub(crate) clock: Arc<dyn Clock>,
    /// Random id of this process as a lease holder.
    pub(crate) entry_id: u64,
    pub(crate) info: EntryInfo,
    pub(crate) metrics: Metrics,
    pub(crate) ready: Arc<AtomicBool>,
    /// Whether this entry is shutting down and omits itself from the address responses.
    pub(crate) leaving: AtomicBool,
    /// Whether no caller holds this entry's address any more, so that it refuses further requests.
    pub(super) closing: AtomicBool,
    /// Number of requests whose callers do not have their whole response yet.
    pub(super) open_requests: AtomicUsize,
    /// Whether no other entry lists this one in its address responses any more.
    pub(crate) is_unlisted: AtomicBool,
    pub(crate) lease: RankedMutex<Holder>,
    view: RankedMutex<Arc<View>>,
    /// Cached pins by organisation and session.
    pins: RankedMutex<HashMap<(Name, Name), CachedPin>>,
    pub(crate) upstreams: RankedMutex<UpstreamTable>,
    pub(crate) pools: RankedMutex<Pools>,
    /// Retry budgets by organisation.
    retry_budgets: RankedMutex<HashMap<Name, TokenBucket>>,
    /// Loads for the next renewal, by upstream number.
    pending_loads: RankedMutex<HashMap<Index, UpstreamLoad>>,
    /// Commands to the link on the control thread.
    commands: UnboundedSender<Command>,
}

impl Shared {
    pub(crate) fn new(
        cfg: Config,
        local_address: SocketAddr,
        clock: Arc<dyn Clock>,
        commands: UnboundedSender<Command>,
    ) -> Self {
        let info = EntryInfo {
            vm: cfg.vm.clone(),
            address: cfg.advertise.unwrap_or(local_address),
            data_centre: cfg.data_centre.clone(),
            loads_address: None,
        };
        Self {
            cfg,
            clock,
            entry_id: random::identity(),
            info,
            metrics: Metrics::new(),
            ready: Arc::default(),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            is_unlisted: AtomicBool::new(false),
            lease: RankedMutex::new(1, Holder::default()),
            view: RankedMutex::new(2, Arc::default()),
            pins: RankedMutex::new(3, HashMap::default()),
            upstreams: RankedMutex::new(4, UpstreamTable::default()),
            pools: RankedMutex::new(5, Pools::default()),
            retry_budgets: RankedMutex::new(6, HashMap::default()),
            pending_loads: RankedMutex::new(7, HashMap::default()),
            commands,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the current view, which decisions may rely on while the lease is live.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.lock().clone()
    }

    pub(crate) fn set_view(&self, view: View) {
        *self.view.lock() = Arc::new(view);
    }

    pub(crate) fn lease_is_live(&self) -> bool {
        self.lease.lock().is_live(self.now())
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose callers do not have their whole response yet.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    /// Whether a request on `version` may start now.
    pub(crate) fn may_start(&self, version: &VersionName) -> bool {
        self.lease_is_live() && self.view().config.is_available(version)
    }

    /// Returns the cached pin of a session, if it hasn't expired and its version accepts new
    /// requests.
    pub(crate) fn cached_pin(&self, organisation: &Name, session: &Name) -> Option<VersionName> {
        let now = self.now();
        let view = self.view();
        let mut pins = self.pins.lock();
        let pin = pins.get_mut(&(organisation.clone(), session.clone()))?;
        if now > pin.last_used + PIN_IDLE_TTL || !view.config.is_available(&pin.version) {
            return None;
        }
        pin.last_used = now;
        Some(pin.version.clone())
    }

    pub(crate) fn cache_pin(&self, organisation: &Name, session: &Name, version: VersionName) {
        let now = self.now();
        let mut pins = self.pins.lock();
        if pins.len() >= MAX_CACHED_PINS {
            pins.retain(|_, pin| now <= pin.last_used + PIN_IDLE_TTL);
        }
        if pins.len() >= MAX_CACHED_PINS {
            pins.clear();
        }
        let pin = CachedPin {
            version,
            last_used: now,
        };
        pins.insert((organisation.clone(), session.clone()), pin);
    }

    /// Credits the organisation's retry budget for a first attempt.
    pub(crate) fn earn_retry(&self, organisation: &Name) {
        let mut retry_budgets = self.retry_budgets.lock();
        retry_budgets
            .entry(organisation.clone())
            .or_default()
            .deposit();
    }

    /// Takes a retry from the organisation's budget; returns false if it is spent.
    pub(crate) fn spend_retry(&self, organisation: &Name) -> bool {
        let mut retry_budgets = self.retry_budgets.lock();
        retry_budgets
            .entry(organisation.clone())
            .or_default()
            .try_withdraw()
    }

    /// Queues a load for the next renewal. One without a level keeps the level queued before.
    pub(crate) fn record_load(&self, load: UpstreamLoad) {
        let mut pending_loads = self.pending_loads.lock();
        let known = pending_loads
            .get(&load.number)
            .and_then(|known| known.level);
        let level = load.level.or(known);
        pending_loads.insert(load.number, UpstreamLoad { level, ..load });
    }

    pub(crate) fn drain_pending_loads(&self) -> Vec<UpstreamLoad> {
        self.pending_loads
            .lock()
            .drain()
            .map(|(_, load)| load)
            .collect()
    }

    /// Calls the leader; `None` if no reply came within `limit`.
    pub(crate) async fn call_leader(&self, request: Request, limit: Duration) -> Option<Reply> {
        let (tx, rx) = oneshot::channel();
        let command = Command::Call { request, limit, tx };
        self.commands.send(command).ok()?;
        rx.await.ok()
    }

    /// Submits a ledger operation; the receiver gets its outcome.
    pub(crate) fn submit_op(&self, op: LedgerOp) -> oneshot::Receiver<LedgerOutcome> {
        let (tx, rx) = oneshot::channel();
        let _ = self.commands.send(Command::Ledger(op, Some(tx)));
        rx
    }

    /// Submits a ledger operation whose outcome nobody waits for.
    pub(crate) fn submit_op_detached(&self, op: LedgerOp) {
        let _ = self.commands.send(Command::Ledger(op, None));
    }
}

/// The state of one worker thread.
#[derive(Clone)]
pub(crate) struct Worker {
    pub(crate) shared: Arc<Shared>,
    pub(crate) engine: Rc<dyn Engine>,
    pub(crate) rater: Rc<dyn Rater>,
    pub(crate) rng: Rc<RefCell<fastrand::Rng>>,
    pub(super) unwritten: Unwritten,
    /// Connections of the worker's callers.
    pub(super) callers: Connections,
}

impl Worker {
    pub(crate) fn new(shared: Arc<Shared>, engine: HttpEngine) -> Self {
        let engine = Rc::new(engine);
        random::seed_thread();
        Self {
            shared,
            rater: engine.clone(),
            engine,
            rng: Rc::new(RefCell::new(fastrand::Rng::new())),
            unwritten: Unwritten::default(),
            callers: Connections::default(),
        }
    }

    /// Returns a uniform random number from 0 to 1.
    pub(crate) fn draw(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }
}
