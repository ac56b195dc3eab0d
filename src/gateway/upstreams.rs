//! Per-upstream state that this gateway derives from its own requests.

use std::cell::Ref;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;

use super::Gateway;
use super::loads::Load;
use super::loads::PeerLoads;
use super::routing::Upstream;
use super::speeds::ManagedUpstreams;
use super::speeds::SpeedSample;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::collections::Name;
use crate::log::event;
use crate::policy::backpressure::Backpressure;
use crate::policy::backpressure::Sharing;
use crate::policy::brittle;
use crate::policy::brittle::BrittleUpstreams;
use crate::policy::cold_start::ColdStarts;
use crate::policy::gateway_queue;
use crate::policy::gateway_queue::Occupancy;
use crate::policy::gateway_queue::Place;
use crate::policy::placement::Candidate;
use crate::policy::placement::TimeHint;
use crate::policy::placement::stable_hash;
use crate::policy::reachability::Reachability;
use crate::policy::service_reachability::Failure;
use crate::policy::speed::QueueReports;
use crate::policy::speed::Speeds;
use crate::policy::timeouts;
use crate::policy::timeouts::QueueProgress;
use crate::upstream::Circuit;
use crate::upstream::Health;
use crate::upstream::InFlightHistory;

/// Age from which a load report is ignored.
pub(super) const LOAD_REPORT_TTL: Duration = Duration::from_secs(3);

/// The same for services whose numbers of requests the gateways publish. Their updates are more
/// recent than an older report, even over three hops.
pub(super) const SMALL_SERVICE_REPORT_TTL: Duration = Duration::from_millis(120);

/// Age from which a load report no longer tells whether an upstream has capacity. Other gateways
/// may have sent or finished many requests since, and the updates count them.
const CAPACITY_REPORT_TTL: Duration = Duration::from_millis(500);

/// Load that an upstream reported in its last response.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    /// Running and waiting requests, of all gateways.
    requests: u32,
    /// Waiting requests.
    waiting: u32,
    received_at: Duration,
    /// Requests of this gateway that were in flight then.
    in_flight_at_report: u32,
}

/// State of one incarnation of an upstream.
#[derive(Debug, Default)]
struct UpstreamState {
    number: Index,
    health: Health,
    in_flight: InFlightHistory,
    report: Option<LoadReport>,
    load: Load,
    progress: QueueProgress,
}

/// State of all upstreams, by id.
#[derive(Debug, Default)]
pub(super) struct UpstreamTable {
    rows: HashMap<Name, UpstreamState>,
    /// Upstreams that the leader reports as without recent heartbeats.
    suspects: HashSet<Index>,
    /// Upstreams that are cold, and this gateway's turns there.
    pub(super) cold_starts: ColdStarts,
}

impl UpstreamTable {
    fn row(&mut self, upstream: &Upstream) -> &mut UpstreamState {
        let new = || UpstreamState {
            number: upstream.number,
            ..UpstreamState::default()
        };
        let row = self.rows.entry(upstream.id().clone()).or_insert_with(new);
        if row.number != upstream.number {
            // A new incarnation has no load and no failures yet.
            *row = new();
        }
        row
    }

    /// Removes idle upstreams for which `keep` returns `false`.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.rows
            .retain(|id, row| row.in_flight.count() > 0 || keep(id));
    }

    /// Replaces the set of upstreams from which the leader has received no recent heartbeats.
    pub(super) fn set_suspects(&mut self, suspects: &[Index]) {
        self.suspects = suspects.iter().copied().collect();
    }

    /// Returns this gateway's load at each upstream where it has requests.
    pub(super) fn own_loads(&self) -> HashMap<Index, Load> {
        let busy = self.rows.values().filter(|row| row.load.requests > 0);
        busy.map(|row| (row.number, row.load)).collect()
    }

    /// Returns the input of the placement for one upstream.
    pub(super) fn placement_candidate(
        &self,
        upstream: &Upstream,
        context: &PlacementContext<'_>,
        was_tried: bool,
    ) -> Candidate {
        let now = context.now;
        let row = self
            .rows
            .get(upstream.id())
            .filter(|row| row.number == upstream.number);
        let slots = f64::from(upstream.announced.slots.max(1));
        let mut load = context.peer_loads.total_at(upstream.number);
        let peer_requests = load.requests;
        let report_ttl = context.managed_upstreams.report_ttl(upstream.number);
        if let Some(row) = row {
            load.add(&row.load);
        }
        Candidate {
            id: stable_hash(upstream.id()),
            load: row.map_or(f64::from(peer_requests), |row| {
                row.expected_requests(peer_requests, report_ttl, now)
            }) / slots,
            prefill_tokens: load.prefill_tokens,
            kv_cache_use: load.kv_tokens as f64
                / context.kv_capacity_tokens.unwrap_or(u64::MAX).max(1) as f64,
            is_local: upstream.announced.data_centre == *context.data_centre,
            circuit: if context.reachability.is_avoided(upstream.number, now) {
                Circuit::Open
            } else {
                row.map_or(Circuit::Closed, |row| row.health.circuit(now))
            },
            was_tried,
            is_suspect: upstream.is_suspect || self.suspects.contains(&upstream.number),
            is_blocked: self.asks_for_none(upstream, context)
                || self.brittle_free(upstream, context) == Some(0),
            slowness: context
                .speeds
                .as_ref()
                .map_or(1.0, |speeds| speeds.slowness(upstream.number, now)),
        }
    }
}

impl UpstreamTable {
    /// Returns whether the upstream has asked for no request now.
    fn asks_for_none(&self, upstream: &Upstream, context: &PlacementContext<'_>) -> bool {
        let (number, now) = (upstream.number, context.now);
        context
            .backpressure
            .wait(number, &context.sharing, now)
            .is_none_or(|wait| !wait.is_zero())
            || !self.cold_starts.wait(number, now).is_zero()
    }

    /// Returns how many requests may be sent to a brittle upstream now; `None` for another one.
    fn brittle_free(&self, upstream: &Upstream, context: &PlacementContext<'_>) -> Option<u32> {
        let (number, now) = (upstream.number, context.now);
        if !context.brittle.contains(number) {
            return None;
        }
        let row = self.rows.get(upstream.id());
        let row = row.filter(|row| row.number == number);
        let peer_requests = context.peer_loads.total_at(number).requests;
        let own = row.map_or(0, |row| row.in_flight.count());
        let own_before = row.map_or(0, |row| {
            let before = now.saturating_sub(context.brittle_lag);
            row.in_flight.count_at(before)
        });
        let occupancy = brittle::Occupancy {
            slots: upstream.announced.slots,
            requests: row.map_or(peer_requests, |row| row.most_requests(peer_requests, now)),
            unseen: own.saturating_sub(own_before),
            share: context.share,
            lag: context.brittle_lag,
        };
        let gateways = context.sharing.gateways;
        context
            .brittle
            .free_slots(number, &occupancy, gateways, now)
    }

    /// Returns the further input of the placement by expected time for one upstream. `load` is its
    /// load as a share of its slots, and `update_lag` the age of the other gateways' updates.
    pub(super) fn time_hint(
        &self,
        upstream: &Upstream,
        context: &PlacementContext<'_>,
        load: f64,
        update_lag: Duration,
    ) -> TimeHint {
        let slot_share = 1.0 / f64::from(upstream.announced.slots.max(1));
        let row = self
            .rows
            .get(upstream.id())
            .filter(|row| row.number == upstream.number);
        let own = row.map_or(0, |row| row.in_flight.count());
        let report_ttl = context.managed_upstreams.report_ttl(upstream.number);
        let report_age = row
            .and_then(|row| row.report)
            .map(|report| context.now.saturating_sub(report.received_at))
            .filter(|age| *age < report_ttl);
        TimeHint {
            slot_share,
            peer_load: (load - f64::from(own) * slot_share).max(0.0),
            lag_s: report_age.unwrap_or(update_lag).as_secs_f64(),
        }
    }

    /// Returns the capacity of one upstream for admission; `None` if it accepts no request now and
    /// the end of that is not known or not waited for.
    pub(super) fn place(
        &self,
        upstream: &Upstream,
        context: &PlacementContext<'_>,
        demand: Demand,
    ) -> Option<Place> {
        let candidate = self.placement_candidate(upstream, context, false);
        self.place_of(upstream, &candidate, context, demand)
    }

    /// Returns the same for an upstream whose placement candidate is known.
    pub(super) fn place_of(
        &self,
        upstream: &Upstream,
        candidate: &Candidate,
        context: &PlacementContext<'_>,
        demand: Demand,
    ) -> Option<Place> {
        let now = context.now;
        let mut opens_at = None;
        if candidate.is_blocked && self.asks_for_none(upstream, context) {
            if !self.cold_starts.wait(upstream.number, now).is_zero() {
                return None;
            }
            let backpressure = context.backpressure;
            opens_at = Some(backpressure.opens_at(upstream.number, &context.sharing, now)?);
        }
        let row = self
            .rows
            .get(upstream.id())
            .filter(|row| row.number == upstream.number);
        let peer_requests = context.peer_loads.total_at(upstream.number).requests;
        let occupancy = Occupancy {
            slots: upstream.announced.slots,
            requests: row.map_or(peer_requests, |row| {
                row.known_requests(peer_requests, demand.lacks_updates, now)
            }),
            own: row.map_or(0, |row| row.in_flight.count()),
            own_before: row.map_or(0, |row| {
                row.in_flight
                    .count_at(now.saturating_sub(demand.update_age))
            }),
            share: demand.share,
        };
        let kv_free = context.kv_capacity_tokens.map_or(u64::MAX, |capacity| {
            (capacity as f64 * (1.0 - candidate.kv_cache_use)).max(0.0) as u64
        });
        Some(Place {
            upstream: upstream.number,
            free: if opens_at.is_some() {
                0
            } else {
                self.brittle_free(upstream, context)
                    .unwrap_or_else(|| gateway_queue::free_slots(&occupancy))
            },
            kv_free,
            is_idle: occupancy.requests == 0,
            is_new: upstream.is_new,
            is_last_resort: candidate.is_suspect || candidate.circuit == Circuit::Open,
            opens_at,
        })
    }
}

/// Demand of all gateways for a service, as this one knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Part of the free slots that this gateway may use.
    pub(super) share: f64,
    /// Time after which the other gateways know of this one's requests.
    pub(super) update_age: Duration,
    /// Whether there are other gateways of which no update is heard, so that only the upstreams'
    /// reports count their requests.
    pub(super) lacks_updates: bool,
}

/// Further input of the placement, the same for all upstreams of a service.
pub(super) struct PlacementContext<'a> {
    pub(super) peer_loads: &'a PeerLoads,
    pub(super) reachability: &'a Reachability,
    pub(super) backpressure: &'a Backpressure,
    pub(super) brittle: Ref<'a, BrittleUpstreams>,
    /// Part of the free slots of brittle upstreams that this gateway may use.
    pub(super) share: f64,
    /// Time until the other gateways know of a request at one.
    pub(super) brittle_lag: Duration,
    pub(super) sharing: Sharing,
    pub(super) data_centre: &'a Name,
    /// Tokens that the KV cache of an upstream holds; `None` if not known.
    pub(super) kv_capacity_tokens: Option<u64>,
    /// Slowness of the upstreams; `None` if the service is not placed by expected time.
    pub(super) speeds: Option<Ref<'a, Speeds>>,
    pub(super) managed_upstreams: Ref<'a, ManagedUpstreams>,
    pub(super) now: Duration,
}

impl UpstreamState {
    /// Returns the number of requests at the upstream, as far as known. Both sources may be too
    /// high while requests end, and a request that waits for a free slot loses time, so the lower
    /// one counts.
    fn known_requests(&self, peer_requests: u32, lacks_updates: bool, now: Duration) -> u32 {
        let own = self.in_flight.count();
        let counted = own.saturating_add(peer_requests);
        let recent = self
            .report
            .filter(|report| now.saturating_sub(report.received_at) < CAPACITY_REPORT_TTL);
        let Some(report) = recent else {
            return counted;
        };
        let reported = report
            .requests
            .saturating_add(own)
            .saturating_sub(report.in_flight_at_report)
            .max(own);
        if lacks_updates {
            reported
        } else {
            counted.min(reported)
        }
    }

    /// Returns the most requests that may be at the upstream, as far as known.
    fn most_requests(&self, peer_requests: u32, now: Duration) -> u32 {
        let own = self.in_flight.count();
        let counted = own.saturating_add(peer_requests);
        let recent = self
            .report
            .filter(|report| now.saturating_sub(report.received_at) < SMALL_SERVICE_REPORT_TTL);
        let reported = recent.map_or(0, |report| {
            let added = own.saturating_sub(report.in_flight_at_report);
            report.requests.saturating_add(added)
        });
        counted.max(reported)
    }

    /// Estimates the number of requests at the upstream: the last recent load report plus the
    /// change in this gateway's requests since then, or else the requests that all gateways have
    /// there.
    fn expected_requests(&self, peer_requests: u32, report_ttl: Duration, now: Duration) -> f64 {
        let own = f64::from(self.in_flight.count());
        let counted = own + f64::from(peer_requests);
        let Some(report) = self.report else {
            return counted;
        };
        let age = now.saturating_sub(report.received_at);
        if age >= report_ttl {
            return counted;
        }
        let in_flight_change = own - f64::from(report.in_flight_at_report);
        (f64::from(report.requests) + in_flight_change).max(own)
    }
}

/// Time limits of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeLimits {
    /// Target of the route for the response head.
    pub(super) target: Duration,
    /// When the caller must have the response.
    pub(super) deadline: Duration,
}

/// A request of this gateway that is in flight at an upstream. Dropping it without a recorded
/// result counts as neither success nor failure, unless its deadline has ended the body of its response.
pub(super) struct InFlightRequest {
    pub(super) gateway: Rc<Gateway>,
    pub(super) upstream: Upstream,
    sent_at: Duration,
    has_result: bool,
    /// Whether it is known if the upstream has responded.
    has_verdict: bool,
    /// Whether there was an event of a streaming response.
    has_progress: bool,
    limits: TimeLimits,
    /// Whether the upstream was cold when the request was sent.
    was_cold: bool,
    load: Load,
    pub(super) model: Option<Name>,
    rank: usize,
    /// Prefill tokens at the upstream when the request was sent, its own included.
    pub(super) prefill_tokens_ahead: u64,
    /// Estimated requests at the upstream when the request was sent, its own excluded, as a share
    /// of the slots.
    pub(super) utilization: f64,
    /// Queue of the upstream before and after the response.
    pub(super) queue: QueueReports,
    /// Time from sending to the response head.
    time_to_head: Option<Duration>,
    /// Sample of the upstream's speed, until the response is known to be sound.
    pub(super) speed_sample: Option<SpeedSample>,
}

impl InFlightRequest {
    /// Adds the request to the load of the upstream. `is_first` is whether no other attempt was
    /// made for it.
    pub(super) fn start(
        gateway: &Rc<Gateway>,
        upstream: Upstream,
        model: Option<Name>,
        rank: u32,
        load: Load,
        is_first: bool,
        limits: TimeLimits,
    ) -> Self {
        let sent_at = gateway.now();
        let report_ttl = gateway
            .managed_upstreams
            .borrow()
            .report_ttl(upstream.number);
        let mut upstreams = gateway.upstreams.borrow_mut();
        let peer_load = gateway.peer_loads.borrow().total_at(upstream.number);
        let slots = f64::from(upstream.announced.slots.max(1));
        let row = upstreams.row(&upstream);
        let utilization = row.expected_requests(peer_load.requests, report_ttl, sent_at) / slots;
        let last_report = row
            .report
            .map(|report| (report.waiting, sent_at.saturating_sub(report.received_at)));
        row.in_flight.increment(sent_at);
        row.health.record_start();
        row.load.add(&load);
        let prefill_tokens_ahead = row
            .load
            .prefill_tokens
            .saturating_add(peer_load.prefill_tokens);
        let was_cold = upstreams.cold_starts.record_sent(upstream.number, sent_at);
        drop(upstreams);
        if was_cold {
            gateway.count_cold_turns("used", 1);
        }
        gateway.record_sent(upstream.number, is_first, sent_at);
        gateway.load_changed.notify_one();
        Self {
            gateway: gateway.clone(),
            upstream,
            sent_at,
            has_result: false,
            has_verdict: false,
            has_progress: false,
            limits,
            was_cold,
            load,
            model,
            rank: rank as usize,
            prefill_tokens_ahead,
            utilization,
            queue: QueueReports {
                before: last_report,
                after: None,
            },
            time_to_head: None,
            speed_sample: None,
        }
    }

    /// Returns how long after sending to wait for the response head before the upstream counts as
    /// hanging.
    pub(super) fn response_timeout(&self, target: Duration) -> Duration {
        let service = self.upstream.service();
        let predicted_prefill = service.and_then(|service| {
            let model = self.model.clone();
            self.gateway
                .predict_prefill_time(service, model, self.prefill_tokens_ahead)
        });
        let slowness = self.slowness();
        let prefill =
            predicted_prefill.map(|prefill| timeouts::prefill_at_slow_upstream(prefill, slowness));
        let timeout = timeouts::response_head(target, self.utilization, prefill);
        let timeout = timeouts::at_slow_upstream(timeout, target, slowness);
        if self.is_cold() {
            timeouts::cold_response_head(timeout)
        } else {
            timeout
        }
    }

    /// Returns whether the upstream has been cold while it had the request, so that the time it
    /// takes says nothing of its health, its release or its prefill rate.
    pub(super) fn is_cold(&self) -> bool {
        self.was_cold || self.gateway.is_cold(self.upstream.number)
    }

    /// Returns how slow the upstream is now; 1 if its service is not placed by expected time.
    fn slowness(&self) -> f64 {
        let gateway = &self.gateway;
        let service = self.upstream.service();
        if !service.is_some_and(|service| gateway.manages_load(service)) {
            return 1.0;
        }
        let speeds = gateway.speeds.borrow();
        speeds.slowness(self.upstream.number, gateway.now())
    }

    /// Returns whether the request seems to be still queued: the upstream responds to others, but
    /// to none that this request should have preceded.
    pub(super) fn is_queued(&self, target: Duration) -> bool {
        let upstreams = self.gateway.upstreams.borrow();
        let row = upstreams.rows.get(self.upstream.id());
        row.is_some_and(|row| row.progress.is_queued(self.rank, self.sent_at, target))
    }

    /// Records the arrival of the first token. A successful response head counts as such.
    pub(super) fn record_first_token(&self) {
        let now = self.gateway.now();
        let mut upstreams = self.gateway.upstreams.borrow_mut();
        let row = upstreams.row(&self.upstream);
        row.progress.record_response(self.rank, self.sent_at, now);
        drop(upstreams);
        let service = self.upstream.service().filter(|_| !self.is_cold());
        if let Some(service) = service {
            // The rate is that of an upstream of usual speed.
            let time_to_head = self.elapsed().div_f64(self.slowness());
            let model = self.model.clone();
            self.gateway.record_prefill_time(
                service,
                model,
                self.prefill_tokens_ahead,
                time_to_head,
            );
        }
    }

    /// Removes the prompt of the request from the prefill tokens of the upstream.
    fn finish_prefill(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.load.prefill_tokens);
        if prefill_tokens > 0 {
            let mut upstreams = self.gateway.upstreams.borrow_mut();
            let row = upstreams.row(&self.upstream);
            row.load.prefill_tokens = row.load.prefill_tokens.saturating_sub(prefill_tokens);
            drop(upstreams);
            self.gateway.load_changed.notify_one();
        }
    }

    /// Returns when the request was sent.
    pub(super) fn sent_at(&self) -> Duration {
        self.sent_at
    }

    /// Returns the time since the request was sent.
    pub(super) fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.sent_at)
    }

    /// Records a response head, which shows that the upstream is reachable. Its health depends on the
    /// body, too: a head alone would hide an upstream whose bodies fail.
    pub(super) fn record_head(&mut self) {
        self.time_to_head = Some(self.elapsed());
        self.finish_prefill();
        self.gateway.record_reachable(self.upstream.number);
    }

    /// Records an event of a stream. The first one settles a probe, which must not wait for the end.
    pub(super) fn record_progress(&mut self) {
        if std::mem::replace(&mut self.has_progress, true) {
            return;
        }
        self.commit_speed_sample();
        let sent_at = self.sent_at;
        let mut upstreams = self.gateway.upstreams.borrow_mut();
        upstreams
            .row(&self.upstream)
            .health
            .record_progress(sent_at);
    }

    /// Records a whole response. Any status counts as a success, since the upstream works.
    pub(super) fn record_success(&mut self) {
        self.commit_speed_sample();
        let time_to_head = self.time_to_head.unwrap_or_else(|| self.elapsed());
        if self.is_cold() {
            self.record_result(|health, _| health.record_cold_success());
        } else {
            self.record_result(|health, _| health.record_success(time_to_head));
        }
    }

    /// Records that the upstream refused the connection, for this gateway and the others.
    pub(super) fn record_refused_connection(&self) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut reachability = gateway.reachability.borrow_mut();
        if !reachability.is_avoided(self.upstream.number, now) {
            event!(Info, "upstream_refuses", upstream = self.upstream.id());
        }
        reachability.record_refusal(self.upstream.number, now);
        gateway.load_changed.notify_one();
    }

    /// Records a response, whatever its status, which shows that the service can be reached.
    pub(super) fn record_answer(&mut self) {
        self.has_verdict = true;
        self.gateway.record_answered(&self.upstream);
    }

    /// Records that the attempt has ended without a byte of response.
    pub(super) fn record_unanswered(&mut self, failure: Failure) {
        if !std::mem::replace(&mut self.has_verdict, true) {
            self.gateway.record_unanswered(&self.upstream, failure);
        }
    }

    /// Returns whether the deadline has passed within a body of which nothing could be used.
    fn is_body_overdue(&self) -> bool {
        let Some(time_to_head) = self.time_to_head else {
            return false;
        };
        let body_time = self.elapsed().saturating_sub(time_to_head);
        !self.has_result
            && !self.has_progress
            && self.gateway.now() >= self.limits.deadline
            && timeouts::is_body_overdue(body_time, self.limits.target)
            && !self.is_cold()
    }

    /// Records a failure that is attributed to the upstream.
    pub(super) fn record_failure(&mut self) {
        let sent_at = self.sent_at;
        self.record_result(|health, now| health.record_failure(sent_at, now));
    }

    /// Records that the response was given up to free memory for others.
    pub(super) fn record_given_up(&mut self) {
        let sent_at = self.sent_at;
        self.record_result(|health, now| health.record_given_up(sent_at, now));
    }

    /// Records the failure of a response that may have no end.
    pub(super) fn record_endless(&mut self) {
        let sent_at = self.sent_at;
        self.record_result(|health, now| health.record_endless(sent_at, now));
    }

    /// Updates the health of the upstream, once for each request.
    fn record_result(&mut self, update: impl FnOnce(&mut Health, Duration)) {
        if self.has_result {
            return;
        }
        self.has_result = true;
        let now = self.gateway.now();
        let mut upstreams = self.gateway.upstreams.borrow_mut();
        update(&mut upstreams.row(&self.upstream).health, now);
    }

    /// Records the load that the upstream reports in its response headers, if any.
    pub(super) fn record_load_report(&mut self, headers: &HeaderMap) {
        let names = &self.gateway.cfg.header_names;
        let Some(text) = headers.get(&names.load).and_then(|v| v.to_str().ok()) else {
            return;
        };
        let mut counts = text.split(',').map(|count| count.trim().parse::<u32>());
        let (Some(Ok(running)), Some(Ok(waiting))) = (counts.next(), counts.next()) else {
            return;
        };
        let received_at = self.gateway.now();
        self.queue.after = Some(waiting);
        let mut upstreams = self.gateway.upstreams.borrow_mut();
        let row = upstreams.row(&self.upstream);
        row.report = Some(LoadReport {
            requests: running.saturating_add(waiting),
            waiting,
            received_at,
            in_flight_at_report: row.in_flight.count(),
        });
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        // The deadline or the caller has ended the attempt.
        if self.is_body_overdue() {
            self.record_failure();
        }
        if !self.has_verdict && self.elapsed() >= self.response_timeout(self.limits.target) {
            self.record_unanswered(Failure::Silence);
        }
        let now = self.gateway.now();
        let mut upstreams = self.gateway.upstreams.borrow_mut();
        let row = upstreams.row(&self.upstream);
        row.in_flight.decrement(now);
        row.load.requests = row.load.requests.saturating_sub(self.load.requests);
        row.load.prefill_tokens = row
            .load
            .prefill_tokens
            .saturating_sub(self.load.prefill_tokens);
        row.load.kv_tokens = row.load.kv_tokens.saturating_sub(self.load.kv_tokens);
        if !self.has_result {
            row.health.record_cancelled(self.sent_at);
        }
        drop(upstreams);
        self.gateway.record_freed_capacity();
        self.gateway.load_changed.notify_one();
    }
}
