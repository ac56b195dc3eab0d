//! The gateway daemon: forwards callers' requests to upstreams by the routes of the inventory,
//! without parsing their bodies.
//!
//! All tasks run on one thread and share the tables of `Gateway`; no borrow of a table is held
//! across an `.await`. `renewal` fetches the configuration and the directory of upstreams from the
//! state replicas. While no replica can be reached, the gateway keeps routing by the last ones that
//! it received, so that an outage of the replicas does not affect callers.

mod addresses;
mod admin;
mod admission;
mod attempt;
mod backpressure;
mod brittle;
mod call;
mod cold_start;
mod events;
mod exchange;
mod headers;
mod loads;
mod model_choices;
mod observations;
mod open_requests;
mod quarantine;
mod reachability;
mod refusal;
mod renewal;
mod replica_list;
mod response;
mod retries;
mod routing;
mod service_reachability;
mod speeds;
mod stop;
mod stream;
mod thread_delay;
mod upstreams;

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::Notify;

pub use self::headers::HeaderNames;

use self::admission::Admission;
use self::loads::PeerLoads;
use self::model_choices::ModelChoices;
use self::open_requests::OpenRequests;
use self::routing::RoutingTable;
use self::speeds::ManagedUpstreams;
use self::upstreams::UpstreamTable;
use crate::clock::Clock;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::config::KeyHash;
use crate::http_client::BodyTotals;
use crate::http_client::ConnectionPool;
use crate::listen;
use crate::listen::Connections;
use crate::listen::Endpoint;
use crate::listen::Sockets;
use crate::log::event;
use crate::metrics::Metrics;
use crate::peer::Client;
use crate::peer::EntryInfo;
use crate::peer::LeaderClient;
use crate::policy::absent_gateways::AbsentGateways;
use crate::policy::backpressure::Backpressure;
use crate::policy::brittle::BrittleUpstreams;
use crate::policy::crashing_requests::CrashingRequests;
use crate::policy::lost_responses::LostResponses;
use crate::policy::prefill::RateEstimator;
use crate::policy::quarantine::Quarantine;
use crate::policy::reachability::Reachability;
use crate::policy::release_rollout::RouteStats;
use crate::policy::retry_budget;
use crate::policy::retry_budget::Share;
use crate::policy::retry_budget::SlidingWindow;
use crate::policy::service_reachability::ServiceReachability;
use crate::policy::sessions::Sessions;
use crate::policy::speed::Baselines;
use crate::policy::speed::Speeds;
use crate::random;
use crate::recovery::Phase;
use crate::recovery::Recovery;

/// How long a request waits for the first configuration after a start. A replica responds within
/// milliseconds, and a restart of all replicas takes about a second.
const CONFIG_WAIT_LIMIT: Duration = Duration::from_millis(1200);

/// How long requests wait for the rest of a large directory, from a gateway's first configuration.
/// Otherwise the first requests of all gateways would go to the upstreams of the first piece.
const DIRECTORY_WAIT_LIMIT: Duration = Duration::from_millis(200);

/// Interval between checks for the first configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a grant after which the configuration counts as possibly outdated: three renewals,
/// of which one may be lost.
const LEADER_SILENCE_LIMIT: Duration = Duration::from_millis(1200);

/// Interval between sweeps for expired connections and sessions.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Most memory that all responses without a length hold while they are read, in bytes: two of the largest
/// ones. It leaves the smallest VMs the rest for connections, requests and unwritten responses.
const HELD_RESPONSES_LIMIT_BYTES: usize = 2 * attempt::RESPONSE_BODY_LIMIT_BYTES;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Name of this VM.
    pub vm: Name,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Peer addresses of some state replicas; the leader sends the full list later.
    pub state: Vec<SocketAddr>,
    /// Peer addresses of other processes that may know the replicas, such as gateways. They are asked
    /// while no leader is found, beside the gateways that the leader has listed.
    pub contacts: Vec<SocketAddr>,
    /// Key by which the processes of a deployment authenticate each other.
    pub peer_key: String,
    /// Address on which it receives the other gateways' load updates, by UDP, and tells them which
    /// replicas there are, by TCP.
    pub loads_listen: SocketAddr,
    /// Address of the admin listener; `None` disables it.
    pub admin_listen: Option<SocketAddr>,
    /// Maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// Longest time from the stop signal to the end of the process.
    pub stop_limit: Duration,
    /// Retry budget of each service, over all gateways together.
    pub retry_budget: retry_budget::Limits,
    /// Whether requests wait at the gateway, in an order by urgency, while no upstream has room.
    pub admission: bool,
    /// Region of each data centre; one that is not listed is a region of its own name.
    pub regions: HashMap<Name, Name>,
    /// Names of the headers on requests and responses.
    pub header_names: HeaderNames,
    /// Flags that set the addresses, for messages.
    pub address_flags: AddressFlags,
}

/// Flags that set the addresses of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct AddressFlags {
    /// Flag of [`Config::listen`].
    pub listen: &'static str,
    /// Flag of [`Config::loads_listen`].
    pub loads_listen: &'static str,
    /// Flag of [`Config::admin_listen`].
    pub admin_listen: &'static str,
}

impl Default for AddressFlags {
    fn default() -> Self {
        Self {
            listen: "--listen",
            loads_listen: "--loads-listen",
            admin_listen: "--admin-listen",
        }
    }
}

/// Why a gateway could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A socket can't be opened.
    #[snafu(transparent)]
    Listen {
        /// Reason.
        source: listen::Error,
    },
    /// A listener can't be served.
    #[snafu(display("can't serve a listener: {source}"))]
    Serve {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Shared state of one gateway.
pub(crate) struct Gateway {
    cfg: Config,
    clock: Arc<dyn Clock>,
    /// Random id of this process, by which the leader and the other gateways tell runs apart.
    run_id: u64,
    /// What the gateway tells the leader about itself.
    info: EntryInfo,
    routing: RefCell<Arc<RoutingTable>>,
    /// Whether the list of gateways in `routing` has all of them.
    has_all_gateways: Cell<bool>,
    /// Until when requests wait for the directory; `None` before the first configuration.
    directory_deadline: Cell<Option<Duration>>,
    /// The leader's revision of the configuration and when it was received; `None` before the first
    /// grant.
    leader_revision: Cell<Option<(u64, Duration)>>,
    /// Replicas of the leader's last list.
    replicas: RefCell<Vec<SocketAddr>>,
    /// Finds the leader and calls it.
    leader: LeaderClient,
    /// Gateways that have sent load updates before the first grant, the latest first. They know this one
    /// from before its restart.
    update_senders: RefCell<Vec<SocketAddr>>,
    /// Gateways that the leader has listed and no longer lists.
    absent_gateways: RefCell<AbsentGateways>,
    upstreams: RefCell<UpstreamTable>,
    peer_loads: RefCell<PeerLoads>,
    /// Upstreams that refuse connections, as seen by this gateway and the others.
    reachability: RefCell<Reachability>,
    /// Services whose upstreams this gateway does not reach.
    services_reached: RefCell<ServiceReachability>,
    /// Notified when a service has become unreachable.
    service_lost: Notify,
    /// Marks a request that another gateway has passed on.
    pass_on_key: KeyHash,
    /// Limits, pauses and leaves that upstreams have named in their responses.
    backpressure: RefCell<Backpressure>,
    /// Upstreams that fall over if they reject many requests.
    brittle: RefCell<BrittleUpstreams>,
    /// Whether the other gateways have not been told of a change or a rejection there.
    brittle_changed: Cell<bool>,
    /// Whether a limit has changed that the other gateways have not been told of.
    limits_changed: Cell<bool>,
    /// When in an interval this gateway's turns at limited upstreams begin, from 0 to 1.
    turn_phase: f64,
    /// Prompts that crash the upstreams of a service.
    quarantines: RefCell<HashMap<Name, Quarantine>>,
    /// Requests that crash the upstreams which run them.
    crashing_requests: RefCell<CrashingRequests>,
    /// Notified when a verdict on prompts or requests has been reached or withdrawn.
    quarantine_changed: Notify,
    sessions: RefCell<Sessions>,
    /// Notified when there may be an update to send: this gateway's load at an upstream or the
    /// release of a session has changed, an upstream has refused a connection, named a limit or
    /// crashed under a suspect prompt or request, or an update of another gateway is to be forwarded.
    load_changed: Notify,
    /// Requests that wait for capacity, if admission is on.
    admission: Admission,
    connections: ConnectionPool,
    retry_budgets: RefCell<HashMap<Name, SlidingWindow>>,
    /// This gateway's share of the retry budgets.
    retry_budget_share: RefCell<Share>,
    /// When the exhausted retry budget of a service was last logged.
    exhausted_budgets: RefCell<HashMap<Name, Duration>>,
    /// Prefill rates by service and model; the model is `None` unless the gateway chose it.
    prefill_rates: RefCell<HashMap<(Name, Option<Name>), RateEstimator>>,
    /// Usual request sizes and capacity prices, for the choice among models.
    model_choices: RefCell<ModelChoices>,
    /// Slowness of the upstreams, as seen by this gateway and the others.
    speeds: RefCell<Speeds>,
    /// Usual response times of plain services, by which their upstreams' slowness is learned.
    response_times: RefCell<Baselines>,
    managed_upstreams: RefCell<ManagedUpstreams>,
    /// Response statistics since the last renewal.
    release_stats: RefCell<HashMap<observations::ReleaseStatsKey, RouteStats>>,
    /// Requests of which a response was lost that may not count in the statistics.
    lost_responses: RefCell<LostResponses<observations::LostResponse>>,
    rng: RefCell<fastrand::Rng>,
    metrics: Metrics,
    recovery: Recovery,
    /// When the shutdown began; `None` before it.
    draining_since: Cell<Option<Duration>>,
    /// Whether requests without a response head are answered because the exit is near.
    gives_final_answers: Cell<bool>,
    /// Notified when the shutdown begins and when the final answers do.
    stop_advanced: Notify,
    open_requests: OpenRequests,
    /// Number of the next open request.
    next_open_request: Cell<u64>,
    /// Connections of callers.
    callers: OnceCell<Connections>,
}

/// Handle of a gateway that runs on the current thread.
#[derive(Clone)]
pub struct Server {
    gateway: Rc<Gateway>,
}

impl Server {
    /// Returns whether the gateway has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.gateway.is_ready()
    }

    /// Waits for SIGTERM or SIGINT, then drains open requests until all have ended or the stop
    /// limit has passed.
    pub async fn wait_for_shutdown(self) {
        stop::wait(&self.gateway).await;
    }
}

/// Returns the addresses of a gateway.
fn endpoints(cfg: &Config) -> Vec<Endpoint> {
    let flags = cfg.address_flags;
    let mut endpoints = vec![
        Endpoint::udp(flags.loads_listen, cfg.loads_listen),
        Endpoint::tcp(flags.loads_listen, cfg.loads_listen),
        Endpoint::tcp(flags.listen, cfg.listen),
    ];
    let admin = cfg.admin_listen;
    endpoints.extend(admin.map(|address| Endpoint::tcp(flags.admin_listen, address)));
    endpoints
}

/// Starts a gateway; waits for addresses that are in use. Returns the sockets for `others`, which the
/// process listens on beside the gateway.
///
/// # Errors
///
/// Returns an error if an address can't be had.
pub async fn start(
    cfg: Config,
    others: &[Endpoint],
    clock: Arc<dyn Clock>,
) -> Result<(Server, Sockets), Error> {
    let mut endpoints = endpoints(&cfg);
    endpoints.extend_from_slice(others);
    let mut sockets = Sockets::open(&endpoints, &*clock).await?;
    let loads_socket = sockets.next_udp();
    let peers = sockets.next_tcp();
    let callers = sockets.next_tcp();
    let info = EntryInfo {
        vm: cfg.vm.clone(),
        address: cfg.listen,
        data_centre: cfg.data_centre.clone(),
        loads_address: Some(cfg.loads_listen),
    };
    let pass_on_key = exchange::pass_on_key(&cfg.peer_key);
    let id_header = cfg.header_names.attempt_id.clone();
    let run_id = random::identity();
    let client = Client::new(&cfg.peer_key);
    let leader = LeaderClient::new(client, cfg.state.clone(), clock.clone());
    let gateway = Rc::new(Gateway {
        recovery: Recovery::new(clock.now()),
        retry_budget_share: RefCell::new(Share::new(cfg.retry_budget, clock.now())),
        cfg,
        clock,
        run_id,
        info,
        routing: RefCell::default(),
        has_all_gateways: Cell::new(false),
        directory_deadline: Cell::new(None),
        leader_revision: Cell::new(None),
        replicas: RefCell::default(),
        leader,
        update_senders: RefCell::default(),
        absent_gateways: RefCell::default(),
        upstreams: RefCell::default(),
        peer_loads: RefCell::default(),
        reachability: RefCell::new(Reachability::new(run_id)),
        services_reached: RefCell::default(),
        service_lost: Notify::new(),
        pass_on_key,
        backpressure: RefCell::default(),
        brittle: RefCell::new(BrittleUpstreams::new(fastrand::f64())),
        brittle_changed: Cell::new(false),
        limits_changed: Cell::new(false),
        turn_phase: fastrand::f64(),
        quarantines: RefCell::default(),
        crashing_requests: RefCell::default(),
        quarantine_changed: Notify::new(),
        sessions: RefCell::default(),
        load_changed: Notify::new(),
        admission: Admission::default(),
        connections: ConnectionPool::new(id_header, HELD_RESPONSES_LIMIT_BYTES),
        retry_budgets: RefCell::default(),
        exhausted_budgets: RefCell::default(),
        prefill_rates: RefCell::default(),
        model_choices: RefCell::default(),
        speeds: RefCell::default(),
        response_times: RefCell::default(),
        managed_upstreams: RefCell::default(),
        release_stats: RefCell::default(),
        lost_responses: RefCell::default(),
        rng: RefCell::new(fastrand::Rng::new()),
        metrics: Metrics::new(),
        draining_since: Cell::new(None),
        gives_final_answers: Cell::new(false),
        stop_advanced: Notify::new(),
        open_requests: OpenRequests::default(),
        next_open_request: Cell::new(0),
        callers: OnceCell::new(),
    });
    let shared = gateway.clone();
    let handler = Rc::new(move |req| -> listen::ResponseFuture {
        Box::pin(exchange::handle(shared.clone(), req))
    });
    let connections = listen::serve(callers, listen::MAX_CONNECTIONS, handler)
        .await
        .context(ServeSnafu)?;
    connections.set_metrics(gateway.metrics.clone());
    let _ = gateway.callers.set(connections);
    if gateway.cfg.admin_listen.is_some() {
        let shared = gateway.clone();
        let handler = move |req: ntex::http::Request| -> listen::ResponseFuture {
            let response = admin::handle(&shared, &req);
            Box::pin(async move { response })
        };
        let admin = sockets.next_tcp();
        listen::serve(admin, listen::MAX_CONNECTIONS, Rc::new(handler))
            .await
            .context(ServeSnafu)?;
    }
    event!(
        Info,
        "gateway_start",
        vm = gateway.cfg.vm,
        listen = gateway.cfg.listen,
        run = gateway.run_id
    );
    tokio::task::spawn_local(renewal::run(gateway.clone()));
    tokio::task::spawn_local(replica_list::serve(gateway.clone(), peers));
    tokio::task::spawn_local(replica_list::report(gateway.clone()));
    tokio::task::spawn_local(replica_list::report_to_absent_gateways(gateway.clone()));
    tokio::task::spawn_local(sweep(gateway.clone()));
    tokio::task::spawn_local(thread_delay::run(gateway.clone()));
    tokio::task::spawn_local(service_reachability::run(gateway.clone()));
    tokio::task::spawn_local(loads::run(gateway.clone(), loads_socket));
    if gateway.cfg.admission {
        tokio::task::spawn_local(admission::run(gateway.clone()));
    }
    Ok((Server { gateway }, sockets))
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        gateway.connections.close_expired();
        gateway.meter_bodies();
        let now = gateway.now();
        gateway.sessions.borrow_mut().remove_expired(now);
        gateway.forget_backpressure();
        gateway.forget_brittle();
        gateway.refresh_cold_starts();
        gateway.refresh_speeds();
        gateway.forget_quarantine_evidence();
        gateway.forget_queues();
        gateway.forget_unreachable_services();
    }
}

impl Gateway {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Adds what has been read of response bodies to the metrics.
    fn meter_bodies(&self) {
        let BodyTotals { bytes, pieces } = self.connections.take_totals();
        let metrics = &self.metrics;
        metrics.add_to_counter("daisyquay_body_bytes", bytes, &[]);
        metrics.add_to_counter("daisyquay_body_pieces", pieces, &[]);
    }

    fn routing(&self) -> Arc<RoutingTable> {
        self.routing.borrow().clone()
    }

    fn set_routing(&self, routing: RoutingTable) {
        *self.routing.borrow_mut() = Arc::new(routing);
    }

    /// Records the leader's revision of the configuration, as received now.
    fn record_leader_revision(&self, revision: u64) {
        self.leader_revision.set(Some((revision, self.now())));
    }

    /// Returns the time since the leader was last heard of, or since the start before the first grant.
    fn leader_silence(&self) -> Duration {
        let since = self.leader_revision.get();
        let since = since.map_or(self.recovery.started_at(), |(_, received_at)| received_at);
        self.now().saturating_sub(since)
    }

    /// Returns whether the configuration may be older than one that the leader has acknowledged: a
    /// newer one is known and not received yet, or the leader was not heard of for a while.
    fn may_lag_behind(&self) -> bool {
        let held = self.routing().config.as_ref().map(|config| config.revision);
        self.leader_revision
            .get()
            .is_none_or(|(revision, received_at)| {
                held < Some(revision) || self.now() > received_at + LEADER_SILENCE_LIMIT
            })
    }

    /// Returns whether the service's load over all gateways decides where its requests go and on
    /// which model: the setting for admission is on, or an upstream of the service has reported its
    /// momentary slowness in the last 10 s.
    fn manages_load(&self, service: &Name) -> bool {
        self.cfg.admission || self.speeds.borrow().has_reports(service, self.now())
    }

    fn is_ready(&self) -> bool {
        self.routing().has_routes() && !self.is_draining()
    }

    fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// Waits for the first configuration, up to [`CONFIG_WAIT_LIMIT`], and for the directory, up to
    /// [`DIRECTORY_WAIT_LIMIT`] after the first configuration.
    async fn wait_for_config(&self) {
        let deadline = self.now() + CONFIG_WAIT_LIMIT;
        while !self.routing.borrow().has_routes() && self.now() < deadline {
            tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
        }
        let deadline = self.directory_deadline.get().unwrap_or_default();
        while !self.recovery.has_reached(Phase::Directory) && self.now() < deadline {
            tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
        }
    }

    /// Starts the time for which requests wait for the directory, unless it has started before.
    fn start_directory_wait(&self) {
        if self.directory_deadline.get().is_none() {
            let deadline = self.now() + DIRECTORY_WAIT_LIMIT;
            self.directory_deadline.set(Some(deadline));
        }
    }
}
