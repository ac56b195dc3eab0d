//! The tables that the workers share.
//!
//! Lock order, by rank: lease (1), view (2), pins (3), runners (4), pools (5), budgets (6),
//! news (7). A thread takes them in rising order only; no lock is held across an `.await`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::Config;
use super::admit::Pools;
use super::link::Ask;
use super::runners::Runners;
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
use crate::lock_rank::RankedMutex;
use crate::metrics::Metrics;
use crate::peer::EntryInfo;
use crate::peer::Reply;
use crate::peer::Request;
use crate::peer::UpstreamLoad;
use crate::policy::retry::TokenBucket;
use crate::state::command::LedgerOp;
use crate::state::command::LedgerOutcome;

/// Sessions whose pin is kept here.
const PIN_LIMIT: usize = 20_000;

/// Time after which an unused pin is asked for again.
const PIN_KEPT: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct CachedPin {
    version: VersionName,
    used: Duration,
}

/// Everything that the workers and the link share.
pub(crate) struct Shared {
    pub(crate) cfg: Config,
    pub(crate) clock: Arc<dyn Clock>,
    /// Names this run of the entry as a lease holder.
    pub(crate) entry: u64,
    pub(crate) info: EntryInfo,
    pub(crate) metrics: Metrics,
    pub(crate) ready: Arc<AtomicBool>,
    /// Whether it has left the address answer and is about to stop.
    pub(crate) leaving: AtomicBool,
    /// Whether no other entry names it in its address answer any more.
    pub(crate) gone: AtomicBool,
    pub(crate) lease: RankedMutex<Holder>,
    view: RankedMutex<Arc<View>>,
    pins: RankedMutex<HashMap<(Name, Name), CachedPin>>,
    pub(crate) runners: RankedMutex<Runners>,
    pub(crate) pools: RankedMutex<Pools>,
    budgets: RankedMutex<HashMap<Name, TokenBucket>>,
    news: RankedMutex<HashMap<Index, UpstreamLoad>>,
    link: UnboundedSender<Ask>,
}

impl Shared {
    pub(crate) fn new(
        cfg: Config,
        local: SocketAddr,
        clock: Arc<dyn Clock>,
        link: UnboundedSender<Ask>,
    ) -> Self {
        let info = EntryInfo {
            vm: cfg.vm.clone(),
            address: cfg.advertise.unwrap_or(local),
            data_centre: cfg.data_centre.clone(),
            loads_address: None,
        };
        Self {
            cfg,
            clock,
            entry: fastrand::u64(1..),
            info,
            metrics: Metrics::new(),
            ready: Arc::default(),
            leaving: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            lease: RankedMutex::new(1, Holder::default()),
            view: RankedMutex::new(2, Arc::default()),
            pins: RankedMutex::new(3, HashMap::default()),
            runners: RankedMutex::new(4, Runners::default()),
            pools: RankedMutex::new(5, Pools::default()),
            budgets: RankedMutex::new(6, HashMap::default()),
            news: RankedMutex::new(7, HashMap::default()),
            link,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// What this entry knows; valid for decisions while the lease is live.
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

    /// Whether work on `version` may start this moment.
    pub(crate) fn may_start(&self, version: &VersionName) -> bool {
        self.lease_is_live() && self.view().config.is_available(version)
    }

    /// The pin of a session, if it is known here and its version still takes work.
    pub(crate) fn cached_pin(&self, organisation: &Name, session: &Name) -> Option<VersionName> {
        let now = self.now();
        let view = self.view();
        let mut pins = self.pins.lock();
        let pin = pins.get_mut(&(organisation.clone(), session.clone()))?;
        if now > pin.used + PIN_KEPT || !view.config.is_available(&pin.version) {
            return None;
        }
        pin.used = now;
        Some(pin.version.clone())
    }

    pub(crate) fn cache_pin(&self, organisation: &Name, session: &Name, version: VersionName) {
        let used = self.now();
        let mut pins = self.pins.lock();
        if pins.len() >= PIN_LIMIT {
            pins.retain(|_, pin| used <= pin.used + PIN_KEPT);
        }
        if pins.len() >= PIN_LIMIT {
            pins.clear();
        }
        let pin = CachedPin { version, used };
        pins.insert((organisation.clone(), session.clone()), pin);
    }

    /// A request of the organisation makes its first attempt.
    pub(crate) fn earn_retry(&self, organisation: &Name) {
        let mut budgets = self.budgets.lock();
        budgets.entry(organisation.clone()).or_default().deposit();
    }

    /// Takes a retry from the organisation's budget.
    pub(crate) fn spend_retry(&self, organisation: &Name) -> bool {
        let mut budgets = self.budgets.lock();
        budgets
            .entry(organisation.clone())
            .or_default()
            .try_withdraw()
    }

    /// Remembers a load row for the next renewal.
    pub(crate) fn note_load(&self, row: UpstreamLoad) {
        let mut news = self.news.lock();
        let known = news.get(&row.number).and_then(|known| known.level);
        let level = row.level.or(known);
        news.insert(row.number, UpstreamLoad { level, ..row });
    }

    pub(crate) fn take_news(&self) -> Vec<UpstreamLoad> {
        self.news.lock().drain().map(|(_, row)| row).collect()
    }

    /// Asks the leader; `None` where no answer came in time.
    pub(crate) async fn ask(&self, request: Request, limit: Duration) -> Option<Reply> {
        let (tx, rx) = oneshot::channel();
        let ask = Ask::Call { request, limit, tx };
        self.link.send(ask).ok()?;
        rx.await.ok()
    }

    /// Gives a step to the ledger; the receiver gets its outcome.
    pub(crate) fn ledger(&self, op: LedgerOp) -> oneshot::Receiver<LedgerOutcome> {
        let (tx, rx) = oneshot::channel();
        let _ = self.link.send(Ask::Ledger(op, Some(tx)));
        rx
    }

    /// Gives a step to the ledger that nobody waits for.
    pub(crate) fn ledger_later(&self, op: LedgerOp) {
        let _ = self.link.send(Ask::Ledger(op, None));
    }
}

/// What one worker thread has of its own.
#[derive(Clone)]
pub(crate) struct Worker {
    pub(crate) shared: Arc<Shared>,
    pub(crate) engine: Rc<dyn Engine>,
    pub(crate) rater: Rc<dyn Rater>,
    pub(crate) rng: Rc<RefCell<fastrand::Rng>>,
}

impl Worker {
    pub(crate) fn new(shared: Arc<Shared>, engine: HttpEngine) -> Self {
        let engine = Rc::new(engine);
        Self {
            shared,
            rater: engine.clone(),
            engine,
            rng: Rc::new(RefCell::new(fastrand::Rng::new())),
        }
    }

    /// A draw that is uniform from 0 to 1.
    pub(crate) fn draw(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }
}
