//! Services whose upstreams this gateway does not reach, and the gateways that may serve them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Gateway;
use super::attempt::CONNECT_TIMEOUT;
use super::call::Call;
use super::routing::Upstream;
use crate::collections::HashSet;
use crate::collections::Name;
use crate::http_client;
use crate::log::event;
use crate::peer::EntryInfo;
use crate::policy::lost_responses::Reached;
use crate::policy::placement::stable_hash;
use crate::policy::regions::region_of;
use crate::policy::service_reachability::Failure;
use crate::policy::service_reachability::Path;

/// Interval between checks whether a probe is due.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Most services that a gateway reports as unreachable.
const MAX_UNREACHABLE_SERVICES: usize = 64;

/// Probes the unreachable services by bare connections, for as long as the process runs.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_CHECK_INTERVAL).await;
        let now = gateway.now();
        let due = gateway.services_reached.borrow_mut().take_due_probes(now);
        for service in due {
            tokio::task::spawn_local(probe(gateway.clone(), service));
        }
    }
}

async fn probe(gateway: Rc<Gateway>, service: Name) {
    let upstream = {
        let routing = gateway.routing();
        let upstreams = routing.pool(&service).map(|pool| pool.upstreams.clone());
        let rng = &mut *gateway.rng.borrow_mut();
        rng.choice(upstreams.unwrap_or_default())
    };
    let Some(upstream) = upstream else {
        return;
    };
    let reached = http_client::probe(upstream.address(), CONNECT_TIMEOUT).await;
    let is_connected = reached == Reached::Accepted;
    let draw = gateway.rng.borrow_mut().f64();
    let now = gateway.now();
    gateway
        .services_reached
        .borrow_mut()
        .record_probe(&service, is_connected, draw, now);
}

impl Gateway {
    /// Records an attempt at the upstream that ended without a byte of response.
    pub(super) fn record_unanswered(&self, upstream: &Upstream, failure: Failure) {
        let Some(service) = upstream.service() else {
            return;
        };
        let routing = self.routing();
        let upstreams = routing.pool(service).map_or(0, |pool| pool.upstreams.len());
        let draw = self.rng.borrow_mut().f64();
        let is_unreachable = self.services_reached.borrow_mut().record_failure(
            service,
            upstream.number,
            failure,
            upstreams,
            draw,
            self.now(),
        );
        if is_unreachable {
            event!(
                Warn,
                "service_unreachable",
                service = service,
                upstream = upstream.id(),
                upstreams = upstreams
            );
            self.report_reached_services();
        }
    }

    /// Records a response of the upstream, whatever its status.
    pub(super) fn record_answered(&self, upstream: &Upstream) {
        let Some(service) = upstream.service() else {
            return;
        };
        let now = self.now();
        let outage = self
            .services_reached
            .borrow_mut()
            .record_response(service, now);
        if let Some(outage) = outage {
            event!(
                Info,
                "service_reachable",
                service = service,
                upstream = upstream.id(),
                outage_ms = outage.as_millis()
            );
            self.report_reached_services();
        }
    }

    /// Forgets services that are no longer configured or have no upstreams.
    pub(super) fn forget_unreachable_services(&self) {
        let routing = self.routing();
        let has_upstreams = |service: &Name| {
            let pool = routing.pool(service);
            pool.is_some_and(|pool| !pool.upstreams.is_empty())
        };
        let now = self.now();
        let before = self.unreachable_services();
        self.services_reached
            .borrow_mut()
            .retain(now, has_upstreams);
        if self.unreachable_services() != before {
            self.report_reached_services();
        }
    }

    /// Reports a change of the unreachable services to the other gateways and to waiting requests.
    fn report_reached_services(&self) {
        let count = self.services_reached.borrow().unreachable().count();
        self.metrics
            .set_gauge("daisyquay_unreachable_services", count as f64);
        self.service_lost.notify_waiters();
        self.load_changed.notify_one();
    }

    /// Returns hashes of the unreachable services, for the other gateways.
    pub(super) fn unreachable_services(&self) -> Vec<u64> {
        let reached = self.services_reached.borrow();
        let hashes = reached.unreachable().map(|service| stable_hash(service));
        let mut hashes: Vec<u64> = hashes.take(MAX_UNREACHABLE_SERVICES).collect();
        hashes.sort_unstable();
        hashes
    }

    /// Chooses the way of the call to the upstreams of its service.
    pub(super) fn path(&self, service: &Name, call: &Call) -> Path {
        let draw = self.rng.borrow_mut().f64();
        let may_repeat = call.route.is_safe_to_retry();
        let now = self.now();
        self.services_reached
            .borrow_mut()
            .path(service, may_repeat, draw, now)
    }

    /// Waits until this gateway does not reach the service and another one does.
    pub(super) async fn wait_until_unreachable(&self, service: &Name, call: &Call) {
        loop {
            let changed = self.service_lost.notified();
            if self.services_reached.borrow().is_unreachable(service)
                && !self.gateways_reaching(service, call).is_empty()
            {
                return;
            }
            changed.await;
        }
    }

    /// Returns the other gateways that may serve the call, as far as known, in random order but
    /// those of the own data centre first. The request passes through no region in which it may not
    /// run.
    pub(super) fn gateways_reaching(&self, service: &Name, call: &Call) -> Vec<EntryInfo> {
        let peer_loads = self.peer_loads.borrow();
        self.permitted_gateways(&peer_loads.addresses_reaching(stable_hash(service)), call)
    }

    /// Returns a gateway to try if none is known to reach the service of the call. One that has no
    /// other requests for the service learns only from such a request that it reaches it again.
    pub(super) fn gateway_that_may_reach(&self, call: &Call) -> Option<EntryInfo> {
        let addresses = self.peer_loads.borrow().addresses();
        self.permitted_gateways(&addresses, call).into_iter().next()
    }

    /// Returns those of the other gateways through which the call may pass.
    fn permitted_gateways(&self, addresses: &HashSet<SocketAddr>, call: &Call) -> Vec<EntryInfo> {
        let routing = self.routing();
        let own = &self.info;
        let is_permitted = |info: &EntryInfo| {
            info.data_centre == own.data_centre
                || call.regions.is_any()
                || call
                    .regions
                    .permits(region_of(&self.cfg.regions, &info.data_centre))
        };
        let others = routing.entries.iter().filter(|info| {
            info.loads_address.is_some()
                && info.address != own.address
                && addresses.contains(&info.address)
                && is_permitted(info)
        });
        let mut others: Vec<EntryInfo> = others.cloned().collect();
        self.rng.borrow_mut().shuffle(&mut others);
        others.sort_by_key(|info| info.data_centre != own.data_centre);
        others
    }
}
