//! The gateway daemon: it passes callers' requests on unread, by the routes of the inventory.
//!
//! Everything runs on one thread over the tables of `Gateway`; no borrow of a table is held
//! across an `.await`. News come from the state by `link`; what was taken in last goes on holding
//! while the state can't be reached, so that a trouble of the state is none of the callers'.

mod admin;
mod attempt;
mod call;
mod events;
mod evidence;
mod exchange;
mod headers;
mod link;
mod loads;
mod picture;
mod refusal;
mod repeats;
mod reply;
mod runners;
mod stop;
mod stream;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

pub use self::headers::HeaderNames;

use self::loads::Others;
use self::picture::Picture;
use self::runners::Runners;
use crate::clock::Clock;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::http_client::Pool;
use crate::listen;
use crate::log::event;
use crate::metrics::Metrics;
use crate::peer::EntryInfo;
use crate::policy::prefill::RateEstimator;
use crate::policy::release_rollout::RouteStats;
use crate::policy::retry_budget;
use crate::policy::retry_budget::SlidingWindow;
use crate::policy::sessions::Sessions;

/// How long a request waits for the first configuration after a start: a replica answers within
/// milliseconds, and a restart of all of them takes about a second.
const CONFIG_WAIT: Duration = Duration::from_millis(1200);

/// Time between looks for the first configuration.
const CONFIG_POLL: Duration = Duration::from_millis(20);

/// Time between looks for connections that have been idle for too long.
const SWEEP: Duration = Duration::from_secs(2);

/// What a gateway is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// This VM's name.
    pub vm: Name,
    /// This VM's data centre.
    pub data_centre: Name,
    /// Peer listeners of some state replicas.
    pub state: Vec<SocketAddr>,
    /// Key that our own processes show each other.
    pub peer_key: String,
    /// Where it hears of the other gateways' work, in datagrams.
    pub loads_listen: SocketAddr,
    /// Where the admin listener is; `None` means that there is none.
    pub admin_listen: Option<SocketAddr>,
    /// Most bytes of a request's body.
    pub body_limit: usize,
    /// Time from an order to stop to the end of the process.
    pub stop_limit: Duration,
    /// Bounds of the repeats of one service, over all gateways together.
    pub retry_budget: retry_budget::Limits,
    /// Names of headers.
    pub header_names: HeaderNames,
}

/// Why the daemon stopped.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}; choose another with --listen"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Reason.
        source: std::io::Error,
    },
}

/// Everything that one gateway knows.
pub(crate) struct Gateway {
    cfg: Config,
    clock: Arc<dyn Clock>,
    /// Names this run of the gateway to the leader.
    run: u64,
    info: EntryInfo,
    picture: RefCell<Arc<Picture>>,
    runners: RefCell<Runners>,
    others: RefCell<Others>,
    sessions: RefCell<Sessions>,
    /// Told whenever this gateway's work at an upstream changes.
    work_changed: Notify,
    pool: Pool,
    budgets: RefCell<HashMap<Name, SlidingWindow>>,
    /// Reading speeds by service and model, if the gateway chose one.
    paces: RefCell<HashMap<(Name, Option<Name>), RateEstimator>>,
    seen: RefCell<HashMap<(Name, Name, Name), RouteStats>>,
    rng: RefCell<fastrand::Rng>,
    metrics: Metrics,
    leaving_since: Cell<Option<Duration>>,
    open: Cell<usize>,
}

/// A gateway that runs on the current thread.
#[derive(Clone)]
pub struct Server {
    gateway: Rc<Gateway>,
}

impl Server {
    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.gateway.is_ready()
    }

    /// Where callers of a data centre should connect.
    pub fn addresses(&self, data_centre: &str) -> Vec<SocketAddr> {
        self.gateway.addresses(data_centre)
    }

    /// Waits until the process is told to stop, then until its requests have ended.
    pub async fn wait_for_shutdown(self) {
        stop::wait(&self.gateway).await;
    }
}

/// Starts a gateway.
///
/// # Errors
///
/// A listener can't be opened.
pub async fn start(cfg: Config, clock: Arc<dyn Clock>) -> Result<Server, Error> {
    let info = EntryInfo {
        vm: cfg.vm.clone(),
        address: cfg.listen,
        data_centre: cfg.data_centre.clone(),
        loads_address: Some(cfg.loads_listen),
    };
    let address = cfg.loads_listen;
    let socket = UdpSocket::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let address = cfg.listen;
    let gateway = Rc::new(Gateway {
        cfg,
        clock,
        run: fastrand::u64(1..),
        info,
        picture: RefCell::default(),
        runners: RefCell::default(),
        others: RefCell::default(),
        sessions: RefCell::default(),
        work_changed: Notify::new(),
        pool: Pool::default(),
        budgets: RefCell::default(),
        paces: RefCell::default(),
        seen: RefCell::default(),
        rng: RefCell::new(fastrand::Rng::new()),
        metrics: Metrics::new(),
        leaving_since: Cell::new(None),
        open: Cell::new(0),
    });
    let serving = gateway.clone();
    let handler = Rc::new(move |req| -> listen::ResponseFuture {
        Box::pin(exchange::answer(serving.clone(), req))
    });
    listen::serve(address, handler)
        .await
        .context(ListenSnafu { address })?;
    if let Some(address) = gateway.cfg.admin_listen {
        let shown = gateway.clone();
        let handler = move |req: ntex::http::Request| -> listen::ResponseFuture {
            let answer = admin::answer(&shown, &req);
            Box::pin(async move { answer })
        };
        listen::serve(address, Rc::new(handler))
            .await
            .context(ListenSnafu { address })?;
    }
    event!(
        Info,
        "gateway_start",
        vm = gateway.cfg.vm,
        listen = address,
        run = gateway.run
    );
    tokio::task::spawn_local(link::renew(gateway.clone()));
    tokio::task::spawn_local(sweep(gateway.clone()));
    tokio::task::spawn_local(loads::exchange(gateway.clone(), socket));
    Ok(Server { gateway })
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        gateway.pool.sweep();
        let now = gateway.now();
        gateway.sessions.borrow_mut().remove_expired(now);
    }
}

impl Gateway {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn picture(&self) -> Arc<Picture> {
        self.picture.borrow().clone()
    }

    fn is_ready(&self) -> bool {
        self.picture().config.is_some() && !self.is_leaving()
    }

    fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    fn addresses(&self, data_centre: &str) -> Vec<SocketAddr> {
        let picture = self.picture();
        let others = picture
            .entries
            .iter()
            .filter(|info| !(self.is_leaving() && info.address == self.info.address));
        let near: Vec<SocketAddr> = others
            .clone()
            .filter(|info| *info.data_centre == *data_centre)
            .map(|info| info.address)
            .collect();
        if !near.is_empty() {
            return near;
        }
        let mut addresses: Vec<SocketAddr> = others.map(|info| info.address).collect();
        if addresses.is_empty() {
            // A caller without any address is worse off than with one that may stop soon.
            addresses.push(self.info.address);
        }
        addresses
    }

    /// Waits a little for the first configuration.
    async fn wait_for_config(&self) {
        let until = self.now() + CONFIG_WAIT;
        while self.picture.borrow().config.is_none() && self.now() < until {
            tokio::time::sleep(CONFIG_POLL).await;
        }
    }
}
