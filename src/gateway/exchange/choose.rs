//! Choice of the upstream and the release for an attempt.

use std::time::Duration;

use super::Exchange;
use crate::collections::Name;
use crate::gateway::attempt::FailOver;
use crate::gateway::attempt::estimate_load;
use crate::gateway::loads::PeerLoads;
use crate::gateway::routing::RoutingTable;
use crate::gateway::routing::ServicePool;
use crate::gateway::routing::Upstream;
use crate::gateway::upstreams::Demand;
use crate::gateway::upstreams::PlacementContext;
use crate::gateway::upstreams::UpstreamTable;
use crate::policy::backpressure::Backpressure;
use crate::policy::escalation::TtftForecast;
use crate::policy::gateway_queue;
use crate::policy::gateway_queue::Needs;
use crate::policy::gateway_queue::Place;
use crate::policy::placement;
use crate::policy::placement::Candidate;
use crate::policy::placement::Prefill;
use crate::policy::placement::TimeContext;
use crate::policy::placement::TimeHint;
use crate::policy::reachability::Reachability;
use crate::policy::release_rollout::TRIAL_SHARE;
use crate::upstream::Circuit;

/// Tokens for which the prefill time is predicted to learn the time of one.
const RATE_TOKENS: u64 = 100_000;

/// Inputs of one choice that are the same for all upstreams.
struct ChoiceInputs<'a> {
    service: &'a Name,
    model: Option<usize>,
    prefill: Option<Prefill>,
    upstreams: &'a UpstreamTable,
    context: PlacementContext<'a>,
    /// Tokens that the request will hold in the KV cache.
    kv_tokens: u64,
    /// Demand of all gateways; `None` without admission.
    demand: Option<Demand>,
}

impl Exchange {
    /// Returns whether the request may go to another upstream, as its upstream does not respond.
    pub(super) fn fail_over(&self) -> FailOver {
        let route = &self.call.route;
        let Some(service) = self
            .service
            .as_ref()
            .filter(|_| route.is_safe_to_retry() && self.runs < self.call.attempts())
        else {
            return FailOver::Never;
        };
        let is_possible = self.has_attempts_left()
            && !self.is_barred()
            && self.gateway.has_retry_left(service)
            && self.has_sound_upstream(service);
        if is_possible {
            FailOver::Now
        } else {
            FailOver::NotNow
        }
    }

    /// Returns whether an upstream that has not had the request is sound and has capacity.
    fn has_sound_upstream(&self, service: &Name) -> bool {
        let gateway = &self.gateway;
        if gateway.cfg.admission {
            let request = self.admission_request(self.model, false, self.call.deadline);
            return request.is_some_and(|request| gateway.has_room_for(service, &request.needs));
        }
        let Some(upstream) = self.choose_upstream(service, self.model, &self.tried) else {
            return false;
        };
        let upstreams = gateway.upstreams.borrow();
        let peer_loads = gateway.peer_loads.borrow();
        let reachability = gateway.reachability.borrow();
        let backpressure = gateway.backpressure.borrow();
        let context = self.placement_context(&peer_loads, &reachability, &backpressure, None);
        let candidate = upstreams.placement_candidate(&upstream, &context, false);
        !candidate.is_suspect && candidate.circuit != Circuit::Open
    }

    /// Predicts when `model` would respond; `None` if there is no upstream for it or its prefill
    /// rate is not known yet.
    pub(super) fn forecast_ttft(&self, model: usize) -> Option<TtftForecast> {
        let gateway = &self.gateway;
        let service = self.service.as_ref()?;
        let upstream = self.choose_upstream(service, Some(model), &[])?;
        let name = self.model_name(Some(model));
        let upstreams = gateway.upstreams.borrow();
        let peer_loads = gateway.peer_loads.borrow();
        let reachability = gateway.reachability.borrow();
        let backpressure = gateway.backpressure.borrow();
        let candidate = upstreams.placement_candidate(
            &upstream,
            &self.placement_context(&peer_loads, &reachability, &backpressure, None),
            false,
        );
        let own_prefill_tokens =
            estimate_load(gateway, &self.call, &upstream, name.clone()).prefill_tokens;
        Some(TtftForecast {
            target: self.call.route.target(),
            elapsed: gateway.now().saturating_sub(self.call.received_at),
            queue: gateway.predict_prefill_time(service, name.clone(), candidate.prefill_tokens)?,
            prefill: gateway.predict_prefill_time(service, name, own_prefill_tokens)?,
        })
    }

    /// Predicts the time in which `model` prefills the median backlog of the service's upstreams,
    /// of those that can be chosen; `None` if there is none or the model's rate is not known.
    pub(super) fn median_prefill_backlog(&self, model: usize) -> Option<Duration> {
        let gateway = &self.gateway;
        let service = self.service.as_ref()?;
        let routing = gateway.routing();
        let pool = routing.pool(service)?;
        let upstreams = gateway.upstreams.borrow();
        let peer_loads = gateway.peer_loads.borrow();
        let reachability = gateway.reachability.borrow();
        let backpressure = gateway.backpressure.borrow();
        let context = self.placement_context(&peer_loads, &reachability, &backpressure, None);
        let mut backlogs: Vec<u64> = pool
            .upstreams
            .iter()
            .filter(|upstream| self.permits(upstream))
            .map(|upstream| upstreams.placement_candidate(upstream, &context, false))
            .filter(|candidate| !candidate.is_suspect && !candidate.is_blocked)
            .filter(|candidate| candidate.circuit != Circuit::Open)
            .map(|candidate| candidate.prefill_tokens)
            .collect();
        if backlogs.is_empty() {
            return None;
        }
        let middle = backlogs.len() / 2;
        let (_, &mut tokens, _) = backlogs.select_nth_unstable(middle);
        gateway.predict_prefill_time(service, self.model_name(Some(model)), tokens)
    }

    /// Returns for how long the request must not be sent, because upstreams of the service crashed
    /// under it and at most one in its regions is left, which serves the others; `None` if it may be
    /// sent. The only upstream of a service is not spared.
    pub(super) fn must_spare_last_upstream(&self, service: &Name) -> Option<Duration> {
        let gateway = &self.gateway;
        let (crashed, left) = gateway.recent_crashes(&self.call)?;
        let routing = gateway.routing();
        let pool = routing.pool(service)?;
        let upstreams = gateway.upstreams.borrow();
        let peer_loads = gateway.peer_loads.borrow();
        let reachability = gateway.reachability.borrow();
        let backpressure = gateway.backpressure.borrow();
        let context = self.placement_context(&peer_loads, &reachability, &backpressure, None);
        let usable = pool
            .upstreams
            .iter()
            .filter(|upstream| self.permits(upstream) && !crashed.contains(&upstream.number))
            .map(|upstream| upstreams.placement_candidate(upstream, &context, false))
            .filter(|candidate| !candidate.is_suspect && candidate.circuit != Circuit::Open)
            .count();
        (usable < 2 && pool.upstreams.len() > 1).then_some(left)
    }

    pub(super) fn placement_context<'a>(
        &'a self,
        peer_loads: &'a PeerLoads,
        reachability: &'a Reachability,
        backpressure: &'a Backpressure,
        kv_capacity_tokens: Option<u64>,
    ) -> PlacementContext<'a> {
        let gateway = &self.gateway;
        let service = self.service.as_ref();
        let brittle = gateway.brittle.borrow();
        let is_managed = service.is_some_and(|service| gateway.manages_load(service));
        PlacementContext {
            peer_loads,
            reachability,
            backpressure,
            share: match service {
                Some(service) if !brittle.is_empty() => gateway.demand(service).share,
                _ => 1.0,
            },
            brittle,
            brittle_lag: gateway.brittle_lag(),
            sharing: self.gateway.sharing(),
            data_centre: &self.gateway.cfg.data_centre,
            kv_capacity_tokens,
            speeds: is_managed.then(|| gateway.speeds.borrow()),
            managed_upstreams: gateway.managed_upstreams.borrow(),
            now: self.gateway.now(),
        }
    }

    /// Returns the upstream for an attempt on `model`; `None` if all have been tried.
    pub(super) fn choose_upstream(
        &self,
        service: &Name,
        model: Option<usize>,
        tried: &[Name],
    ) -> Option<Upstream> {
        let gateway = &self.gateway;
        let routing = gateway.routing();
        let pool = routing.pool(service)?;
        let wants_new = self.uses_new_release(pool);
        let prefill = self.prefill(&routing, service, model);
        let kv_capacity_tokens = routing.engine(service).map(|engine| engine.cache_tokens);
        let upstreams = gateway.upstreams.borrow();
        let peer_loads = gateway.peer_loads.borrow();
        let reachability = gateway.reachability.borrow();
        let backpressure = gateway.backpressure.borrow();
        let inputs = ChoiceInputs {
            service,
            model,
            prefill,
            upstreams: &upstreams,
            context: self.placement_context(
                &peer_loads,
                &reachability,
                &backpressure,
                kv_capacity_tokens,
            ),
            kv_tokens: self.kv_tokens(&routing, service),
            demand: gateway.cfg.admission.then(|| gateway.demand(service)),
        };
        let choose = |wants_new: Option<bool>| -> Option<Upstream> {
            let (eligible, candidates) = self.candidates(&inputs, pool, wants_new, tried);
            let index = if inputs.context.speeds.is_some() {
                self.place_by_time(&inputs, &eligible, &candidates)?
            } else {
                let can_probe = self.call.route.is_safe_to_retry();
                let rng = &mut *gateway.rng.borrow_mut();
                placement::place(&candidates, prefill, can_probe, rng)?
            };
            Some(eligible[index].clone())
        };
        choose(wants_new).or_else(|| {
            // The stable release may serve a request that the new one cannot, but not the reverse.
            (wants_new == Some(true)).then(|| choose(Some(false)))?
        })
    }

    /// Returns the upstreams that the request may use, with the input of the placement for each.
    /// With admission, these are only those with capacity for it, unless there are none.
    fn candidates<'p>(
        &self,
        inputs: &ChoiceInputs<'_>,
        pool: &'p ServicePool,
        wants_new: Option<bool>,
        tried: &[Name],
    ) -> (Vec<&'p Upstream>, Vec<Candidate>) {
        let (upstreams, context) = (inputs.upstreams, &inputs.context);
        let mut eligible: Vec<&Upstream> = pool
            .upstreams
            .iter()
            .filter(|upstream| wants_new.is_none_or(|new| new == upstream.is_new))
            .filter(|upstream| self.permits(upstream))
            .collect();
        let mut candidates: Vec<Candidate> = eligible
            .iter()
            .map(|upstream| {
                upstreams.placement_candidate(upstream, context, tried.contains(upstream.id()))
            })
            .collect();
        // In a plain service of few slots, the numbers of requests have changed by the time that they
        // are known, and all gateways would avoid the same upstream. Placement by expected time
        // allows for the age of the numbers.
        let is_small = pool.upstreams.first().is_some_and(|first| {
            let managed = &context.managed_upstreams;
            context.kv_capacity_tokens.is_none() && managed.is_of_small_service(first.number)
        });
        if let Some(demand) = inputs.demand.filter(|_| !is_small) {
            let needs = Needs {
                kv_tokens: inputs.kv_tokens,
                wants_new,
                excluded: Vec::new(),
            };
            prefer_free(
                &mut eligible,
                &mut candidates,
                &needs,
                |upstream, candidate| upstreams.place_of(upstream, candidate, context, demand),
            );
        }
        (eligible, candidates)
    }

    /// Returns the index of the candidate with the least expected time.
    fn place_by_time(
        &self,
        inputs: &ChoiceInputs<'_>,
        eligible: &[&Upstream],
        candidates: &[Candidate],
    ) -> Option<usize> {
        let gateway = &self.gateway;
        let (service, prefill) = (inputs.service, inputs.prefill);
        let update_lag = eligible
            .first()
            .map_or(Duration::ZERO, |first| gateway.update_lag(first.number));
        let hint = |(upstream, candidate): (&&Upstream, &Candidate)| {
            let (table, context) = (inputs.upstreams, &inputs.context);
            table.time_hint(upstream, context, candidate.load, update_lag)
        };
        let hints: Vec<TimeHint> = if prefill.is_none() {
            eligible.iter().zip(candidates).map(hint).collect()
        } else {
            Vec::new()
        };
        let token_time = prefill.and_then(|_| {
            let model = self.model_name(inputs.model);
            gateway.predict_prefill_time(service, model, RATE_TOKENS)
        });
        let usual = gateway.usual_response_time(service, &self.call);
        let context = TimeContext {
            hints: &hints,
            token_s: token_time.map(|time| time.as_secs_f64() / RATE_TOKENS as f64),
            request_s: usual.map(|time| time.as_secs_f64()),
            is_connected: &|i| gateway.connections.has_idle(eligible[i].address()),
        };
        let can_probe = self.call.route.is_safe_to_retry();
        let rng = &mut *gateway.rng.borrow_mut();
        placement::place_by_time(candidates, prefill, can_probe, &context, rng)
    }

    /// Returns whether the request goes to the release that is being rolled out; `None` outside a
    /// rollout.
    pub(super) fn uses_new_release(&self, pool: &ServicePool) -> Option<bool> {
        let id = self.call.session_id();
        let draw = id as f64 / u64::MAX as f64;
        if self.call.session.is_none() {
            return pool.new_share.map(|share| draw < share);
        }
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut sessions = gateway.sessions.borrow_mut();
        let is_new = sessions.assign(id, draw, pool.new_share, pool.on_trial, now);
        drop(sessions);
        if draw < TRIAL_SHARE {
            gateway.load_changed.notify_one();
        }
        pool.new_share.map(|_| is_new)
    }

    /// Returns what [`Self::uses_new_release`] would return, without assigning the session to a
    /// release.
    pub(super) fn would_use_new_release(&self, pool: &ServicePool) -> Option<bool> {
        let share = pool.new_share?;
        let id = self.call.session_id();
        let draw = id as f64 / u64::MAX as f64;
        if self.call.session.is_none() {
            return Some(draw < share);
        }
        let gateway = &self.gateway;
        let sessions = gateway.sessions.borrow();
        Some(sessions.would_use_new(id, draw, Some(share), pool.on_trial, gateway.now()))
    }

    /// Returns the prefill of the prompt for placement; `None` for a route without affinity.
    fn prefill(
        &self,
        routing: &RoutingTable,
        service: &Name,
        model: Option<usize>,
    ) -> Option<Prefill> {
        let route = &self.call.route;
        if !route.affinity {
            return None;
        }
        let prompt = &self.call.prompt;
        let model = self.model_name(model);
        let slowness = model
            .as_ref()
            .map_or(1.0, |model| routing.slowness(service, model));
        let scaled = |tokens: u64| (tokens as f64 * slowness) as u64;
        let prefix_tokens = prompt.shared_prefix_tokens();
        let gateway = &self.gateway;
        let elapsed = gateway.now().saturating_sub(self.call.received_at);
        let time_left = route.target().saturating_sub(elapsed);
        let prefill = Prefill {
            prefix_id: prompt.shared_prefix_id(),
            prefix_tokens: scaled(prefix_tokens),
            own_tokens: scaled(prompt.tokens_in.saturating_sub(prefix_tokens)),
            tokens_to_target: gateway.predict_prefill_tokens(service, model, time_left),
        };
        if !gateway.places_alone_after_start() {
            return Some(prefill);
        }
        Some(prefill.without_updates(gateway.rng.borrow_mut().u64(..)))
    }
}

/// Keeps only the untried upstreams that `gateway_queue::preferred` selects.
fn prefer_free(
    upstreams: &mut Vec<&Upstream>,
    candidates: &mut Vec<Candidate>,
    needs: &Needs,
    place: impl Fn(&Upstream, &Candidate) -> Option<Place>,
) {
    let rows = upstreams.iter().zip(&*candidates);
    let places: Vec<Option<Place>> = rows
        .map(|(upstream, candidate)| place(upstream, candidate).filter(|_| !candidate.was_tried))
        .collect();
    let kept = gateway_queue::preferred(&places, needs);
    let mut flags = kept.iter();
    upstreams.retain(|_| flags.next() == Some(&true));
    let mut flags = kept.iter();
    candidates.retain(|_| flags.next() == Some(&true));
}
