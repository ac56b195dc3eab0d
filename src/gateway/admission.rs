//! Queues of this gateway's requests, one for each service, while no upstream has capacity.
//!
//! `policy::gateway_queue` decides; this module gives it what the gateway knows of the upstreams,
//! and wakes the requests that it dispatches or rejects. A request that is dropped while it waits,
//! because its caller has gone, leaves its queue.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::Gateway;
use super::loads::PeerLoads;
use super::routing::RoutingTable;
use super::upstreams::Demand;
use super::upstreams::PlacementContext;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::collections::Name;
use crate::policy::demand;
use crate::policy::demand::Demands;
use crate::policy::demand::RecentDispatches;
use crate::policy::gateway_queue::Arrival;
use crate::policy::gateway_queue::Needs;
use crate::policy::gateway_queue::Place;
use crate::policy::gateway_queue::Queue;
use crate::policy::gateway_queue::Reason;
use crate::policy::gateway_queue::Rejection;
use crate::policy::gateway_queue::Request;
use crate::policy::gateway_queue::Room;
use crate::policy::gateway_queue::UPDATE_AGE;
use crate::policy::placement::stable_hash;

/// Interval in which capacity that other gateways have freed is noticed while requests wait.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The same, per upstream of the services for which requests wait: it keeps the time for computing
/// their capacity below half a hundredth of a core.
const POLL_INTERVAL_PER_UPSTREAM: Duration = Duration::from_micros(50);

/// Time for which the capacity of a service is not computed again while requests wait, unless a
/// request of this gateway has ended. With hundreds of upstreams it takes some ten microseconds.
const ROOM_TTL: Duration = Duration::from_millis(2);

/// Time for which the share of the free slots is not computed again.
const SHARE_TTL: Duration = Duration::from_millis(50);

/// Queues of a gateway.
#[derive(Default)]
pub(super) struct Admission {
    services: RefCell<HashMap<Name, ServiceQueue>>,
    /// Increases when a request of this gateway has ended.
    freed: Cell<u64>,
    /// Notified when a request has been queued, or capacity may have become free.
    changed: Notify,
    /// Demand of this gateway and of the others, from their updates.
    demands: RefCell<Demands>,
}

#[derive(Default)]
struct ServiceQueue {
    queue: Queue,
    /// Queued requests to wake, by ticket.
    waiting: HashMap<u64, oneshot::Sender<Result<(), Rejection>>>,
    /// Requests that have been dispatched and whose task has not run yet, with the upstreams whose
    /// capacity they were given.
    granted: HashMap<u64, Index>,
    /// Last computed capacity, when, and [`Admission::freed`] at that time.
    room: Option<(Room, Duration, u64)>,
    /// Routing table by which requests without an upstream were last looked for.
    routing: Weak<RoutingTable>,
    /// Part of the free slots that this gateway may use, and when it was computed.
    share: Option<(f64, Duration)>,
    dispatches: RecentDispatches,
}

/// Place of a request in a queue; dropping it gives it up.
struct QueuePlace<'a> {
    gateway: &'a Gateway,
    service: &'a Name,
    ticket: u64,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut services = self.gateway.admission.services.borrow_mut();
        let Some(service) = services.get_mut(self.service) else {
            return;
        };
        service.waiting.remove(&self.ticket);
        let was_queued = service.queue.cancel(self.ticket, self.gateway.now());
        if service.granted.remove(&self.ticket).is_some() {
            // The request may not be sent after all.
            self.gateway.admission.changed.notify_one();
        }
        if was_queued {
            self.gateway
                .meter_queue(self.service, service.queue.len(), None);
        }
    }
}

/// Dispatches queued requests for as long as the process runs.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        let changed = gateway.admission.changed.notified();
        match gateway.poll_interval() {
            Some(interval) => {
                let _ = tokio::time::timeout(interval, changed).await;
            }
            None => changed.await,
        }
        gateway.dispatch_queued();
    }
}

impl Gateway {
    /// Waits until the request may be sent to an upstream of the service. Until the caller of this
    /// function awaits something else, the capacity is the request's. An error is final: the
    /// request must not be sent.
    pub(super) async fn admit(&self, service: &Name, request: Request) -> Result<(), Rejection> {
        let (place, woken) = match self.arrive(service, request) {
            (Arrival::AtOnce, _) => {
                self.count_admission(service, "at_once");
                return Ok(());
            }
            (Arrival::Rejected(rejection), _) => {
                self.count_admission(service, outcome(rejection.reason));
                return Err(rejection);
            }
            (Arrival::Queued(ticket), woken) => (
                QueuePlace {
                    gateway: self,
                    service,
                    ticket,
                },
                woken,
            ),
        };
        self.admission.changed.notify_one();
        let verdict = match woken {
            Some(woken) => woken.await.unwrap_or(Ok(())),
            None => Ok(()),
        };
        drop(place);
        let outcome = verdict.map_or_else(|rejection| outcome(rejection.reason), |()| "queued");
        self.count_admission(service, outcome);
        verdict
    }

    /// Records that a request of this gateway has left its upstream.
    pub(super) fn record_freed_capacity(&self) {
        if self.cfg.admission {
            let freed = &self.admission.freed;
            freed.set(freed.get().wrapping_add(1));
            self.admission.changed.notify_one();
        }
    }

    /// Returns what is known of the other gateways' requests to the service.
    pub(super) fn demand(&self, service: &Name) -> Demand {
        let mut services = self.admission.services.borrow_mut();
        self.demand_at(services.entry(service.clone()).or_default(), service)
    }

    fn demand_at(&self, queue: &mut ServiceQueue, service: &Name) -> Demand {
        let now = self.now();
        let peer_loads = self.peer_loads.borrow();
        let known = queue.share.filter(|(_, at)| now < *at + SHARE_TTL);
        let (share, _) = known.unwrap_or_else(|| (self.compute_share(service, &peer_loads), now));
        if known.is_none() {
            queue.share = Some((share, now));
        }
        Demand {
            share,
            update_age: self.update_age().max(UPDATE_AGE),
            lacks_updates: self.lacks_updates(),
        }
    }

    /// Returns the part of the service's free slots that this gateway may use.
    fn compute_share(&self, service: &Name, peer_loads: &PeerLoads) -> f64 {
        let routing = self.routing();
        let numbers = OnceCell::new();
        let is_busy = |gateway| {
            let numbers: &HashSet<Index> = numbers.get_or_init(|| {
                let pool = routing.pool(service).into_iter();
                let upstreams = pool.flat_map(|pool| &pool.upstreams);
                upstreams.map(|upstream| upstream.number).collect()
            });
            peer_loads.has_requests(gateway, numbers)
        };
        // The directory may lack gateways that have just joined, if the replicas are not reached.
        let heard = peer_loads.run_ids().count() + 1;
        let entries = routing.entries.iter();
        let known = entries
            .filter(|entry| entry.loads_address.is_some())
            .count();
        let gateways = known.max(heard);
        let demands = self.admission.demands.borrow();
        let share = demands.share(
            service_key(service),
            gateways,
            peer_loads.run_ids(),
            is_busy,
            self.now(),
        );
        let labels = [("service", &**service)];
        self.metrics
            .set_labelled_gauge("daisyquay_capacity_share", share, &labels);
        share
    }

    /// Returns this gateway's demand for the next update, and whether the update is due for it;
    /// `None` without admission.
    pub(super) fn demand_notice(&self) -> Option<(demand::Notice, bool)> {
        if !self.cfg.admission {
            return None;
        }
        let now = self.now();
        let mut services = self.admission.services.borrow_mut();
        let demands = services.iter_mut().map(|(service, queue)| {
            let demand = queue.queue.len() + queue.dispatches.count(now);
            (service_key(service), demand)
        });
        let notice = demand::Notice::new(demands);
        let is_due = self.admission.demands.borrow().is_due(&notice, now);
        Some((notice, is_due))
    }

    /// Returns the interval in which this gateway's demand is published; `None` without any.
    pub(super) fn demand_interval(&self) -> Option<Duration> {
        let demands = self.admission.demands.borrow();
        demands.had_demand().then_some(demand::REPEAT_INTERVAL)
    }

    /// Records that a notice of this gateway's demand is published.
    pub(super) fn record_published_demand(&self, notice: demand::Notice) {
        let mut demands = self.admission.demands.borrow_mut();
        demands.record_published(notice, self.now());
    }

    /// Applies what another gateway tells of its demand.
    pub(super) fn apply_demand(&self, run_id: u64, notice: demand::Notice) {
        if self.cfg.admission {
            let mut demands = self.admission.demands.borrow_mut();
            demands.apply(run_id, notice, self.now());
        }
    }

    /// Forgets the demand of gateways that are gone.
    pub(super) fn forget_demands(&self) {
        let peer_loads = self.peer_loads.borrow();
        let mut demands = self.admission.demands.borrow_mut();
        demands.retain(|gateway| peer_loads.hears(gateway));
    }

    /// Returns when to look for capacity again; `None` while no request waits. Ends with the latest
    /// start of a queued request: with hundreds of upstreams, the interval alone exceeds the time
    /// that a rejection leaves until the deadline, and a retry would lose its earlier answer.
    fn poll_interval(&self) -> Option<Duration> {
        let services = self.admission.services.borrow();
        let routing = self.routing();
        let upstreams = services
            .iter()
            .filter(|(_, queue)| !queue.queue.is_empty())
            .map(|(service, _)| routing.pool(service).map_or(0, |pool| pool.upstreams.len()))
            .reduce(|sum, count| sum + count)?;
        let upstreams = u32::try_from(upstreams).unwrap_or(u32::MAX);
        let interval = POLL_INTERVAL.max(POLL_INTERVAL_PER_UPSTREAM.saturating_mul(upstreams));
        let first_late = services
            .values()
            .filter_map(|queue| queue.queue.earliest_latest_start())
            .min();
        Some(first_late.map_or(interval, |at| {
            // The request is late only after that time; timers count in milliseconds.
            let until_late = at.saturating_sub(self.now()) + Duration::from_millis(1);
            interval.min(until_late)
        }))
    }

    /// Removes the empty queues of services that have no upstreams.
    pub(super) fn forget_queues(&self) {
        let routing = self.routing();
        let mut services = self.admission.services.borrow_mut();
        services.retain(|service, queue| {
            !queue.queue.is_empty() || !queue.granted.is_empty() || routing.pool(service).is_some()
        });
    }

    /// Decides about a request; returns the signal for one that is queued.
    fn arrive(
        &self,
        service: &Name,
        request: Request,
    ) -> (Arrival, Option<oneshot::Receiver<Result<(), Rejection>>>) {
        let now = self.now();
        let jitter = self.rng.borrow_mut().f64();
        let mut services = self.admission.services.borrow_mut();
        let queue = services.entry(service.clone()).or_default();
        if queue.queue.is_empty() && queue.granted.is_empty() {
            let demand = self.demand_at(queue, service);
            if self.has_room(service, &request.needs, demand) {
                queue.dispatches.record(now);
                return (Arrival::AtOnce, None);
            }
        }
        self.dispatch_service(service, queue, now, jitter);
        let Some((room, ..)) = queue.room.as_mut() else {
            return (Arrival::AtOnce, None);
        };
        let arrival = queue.queue.arrive(request, room, now, jitter);
        if arrival == Arrival::AtOnce {
            queue.dispatches.record(now);
        }
        let Arrival::Queued(ticket) = arrival else {
            return (arrival, None);
        };
        let (wake, woken) = oneshot::channel();
        queue.waiting.insert(ticket, wake);
        self.meter_queue(service, queue.queue.len(), None);
        (arrival, Some(woken))
    }

    /// Dispatches the queued requests for which there is capacity, and rejects those that can no
    /// longer be served in time.
    fn dispatch_queued(&self) {
        let now = self.now();
        let jitter = self.rng.borrow_mut().f64();
        let mut services = self.admission.services.borrow_mut();
        for (service, queue) in services.iter_mut() {
            if !queue.queue.is_empty() {
                self.dispatch_service(service, queue, now, jitter);
                // The other gateways must know of the demand though no request starts or ends.
                self.load_changed.notify_one();
            }
        }
    }

    fn dispatch_service(
        &self,
        service: &Name,
        queue: &mut ServiceQueue,
        now: Duration,
        jitter: f64,
    ) {
        self.release_unplaceable(service, queue, now);
        let freed = self.admission.freed.get();
        let is_current = queue.room.as_ref().is_some_and(|(_, at, known_freed)| {
            !queue.queue.is_empty() && now < *at + ROOM_TTL && *known_freed == freed
        });
        if !is_current {
            let demand = self.demand_at(queue, service);
            let room = self.room(service, &queue.granted, demand);
            queue.room = Some((room, now, freed));
        }
        let Some((room, ..)) = queue.room.as_mut() else {
            return;
        };
        let mut late = Vec::new();
        if !is_current {
            late = queue.queue.remove_paused(room, now, jitter);
        }
        late.extend(queue.queue.remove_late(now, jitter));
        if !late.is_empty() {
            self.meter_queue(service, queue.queue.len(), None);
        }
        for (ticket, rejection) in late {
            if let Some(wake) = queue.waiting.remove(&ticket) {
                let _ = wake.send(Err(rejection));
            }
        }
        while let Some(dispatch) = queue.queue.dispatch_next(room, now) {
            // A request without a receiver has gone; its place in the queue is gone too.
            let Some(wake) = queue.waiting.remove(&dispatch.ticket) else {
                continue;
            };
            if let Some(upstream) = dispatch.upstream {
                queue.granted.insert(dispatch.ticket, upstream);
            }
            queue.dispatches.record(now);
            let _ = wake.send(Ok(()));
            self.meter_queue(service, queue.queue.len(), Some(dispatch.waited));
        }
    }

    /// Wakes the requests for which a new routing table has no upstream, which are then refused with
    /// the cause. While all slots are in use, dispatch does not examine them.
    fn release_unplaceable(&self, service: &Name, queue: &mut ServiceQueue, now: Duration) {
        let routing = self.routing();
        let version = Arc::downgrade(&routing);
        if queue.routing.ptr_eq(&version) {
            return;
        }
        queue.routing = version;
        queue.room = None;
        let upstreams = routing
            .pool(service)
            .map_or(&[][..], |pool| &pool.upstreams);
        let is_left = |needs: &Needs| {
            let mut left = upstreams.iter();
            left.any(|upstream| {
                (needs.wants_new != Some(false) || !upstream.is_new)
                    && !needs.excluded.contains(&upstream.number)
            })
        };
        let removed = queue.queue.remove_unplaceable(is_left, now);
        if !removed.is_empty() {
            self.meter_queue(service, queue.queue.len(), None);
        }
        for ticket in removed {
            if let Some(wake) = queue.waiting.remove(&ticket) {
                let _ = wake.send(Ok(()));
            }
        }
    }

    /// Returns the capacity of the service's upstreams, less what has been granted.
    fn room(&self, service: &Name, granted: &HashMap<u64, Index>, demand: Demand) -> Room {
        let mut places: Vec<Place> = Vec::new();
        self.find_place(service, demand, 0, |place| {
            places.push(place);
            false
        });
        for upstream in granted.values() {
            let place = places.iter_mut().find(|place| place.upstream == *upstream);
            if let Some(place) = place {
                place.free = place.free.saturating_sub(1);
            }
        }
        Room::new(places)
    }

    /// Returns whether an upstream of the service has capacity for a request and none waits for it.
    pub(super) fn has_room_for(&self, service: &Name, needs: &Needs) -> bool {
        let demand = {
            let mut services = self.admission.services.borrow_mut();
            let queue = services.entry(service.clone()).or_default();
            if !queue.queue.is_empty() {
                return false;
            }
            self.demand_at(queue, service)
        };
        self.has_room(service, needs, demand)
    }

    /// Returns whether an upstream of the service has capacity for a request. Begins at a random
    /// one, so that few are examined unless most are full.
    fn has_room(&self, service: &Name, needs: &Needs, demand: Demand) -> bool {
        let start = self.rng.borrow_mut().usize(..);
        self.find_place(service, demand, start, |place| place.fits(needs))
    }

    /// Calls `accepts` with the capacity of each upstream of the service that takes requests, until
    /// it returns `true`; returns whether it did.
    fn find_place(
        &self,
        service: &Name,
        demand: Demand,
        start: usize,
        mut accepts: impl FnMut(Place) -> bool,
    ) -> bool {
        let routing = self.routing();
        let Some(pool) = routing
            .pool(service)
            .filter(|pool| !pool.upstreams.is_empty())
        else {
            return false;
        };
        let upstreams = self.upstreams.borrow();
        let peer_loads = self.peer_loads.borrow();
        let reachability = self.reachability.borrow();
        let backpressure = self.backpressure.borrow();
        let context = PlacementContext {
            peer_loads: &peer_loads,
            reachability: &reachability,
            backpressure: &backpressure,
            brittle: self.brittle.borrow(),
            share: demand.share,
            brittle_lag: self.brittle_lag(),
            sharing: self.sharing(),
            data_centre: &self.cfg.data_centre,
            kv_capacity_tokens: routing.engine(service).map(|engine| engine.cache_tokens),
            speeds: Some(self.speeds.borrow()),
            managed_upstreams: self.managed_upstreams.borrow(),
            now: self.now(),
        };
        let (before, after) = pool.upstreams.split_at(start % pool.upstreams.len());
        let mut in_turn = after.iter().chain(before);
        in_turn.any(|upstream| {
            let place = upstreams.place(upstream, &context, demand);
            place.is_some_and(&mut accepts)
        })
    }

    fn count_admission(&self, service: &Name, outcome: &str) {
        let labels = [("service", &**service), ("outcome", outcome)];
        self.metrics
            .add_to_counter("daisyquay_admission", 1, &labels);
    }

    /// Records the length of a queue, and how long a dispatched request waited.
    fn meter_queue(&self, service: &Name, queued: usize, waited: Option<Duration>) {
        let labels = [("service", &**service)];
        self.metrics
            .set_labelled_gauge("daisyquay_queue_length", queued as f64, &labels);
        if let Some(waited) = waited {
            let waited = waited.as_secs_f64();
            self.metrics
                .record_duration("daisyquay_queue_seconds", waited, &labels);
        }
    }
}

/// Returns the name of a rejection in logs and metrics.
pub(super) fn outcome(reason: Reason) -> &'static str {
    match reason {
        Reason::Late => "rejected_late",
        Reason::Paused => "rejected_paused",
        Reason::Full => "rejected_full",
        Reason::Share => "rejected_share",
    }
}

/// Returns the number by which gateways name a service to each other.
fn service_key(service: &Name) -> u32 {
    stable_hash(service) as u32
}
