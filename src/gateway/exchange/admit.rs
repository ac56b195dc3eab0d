//! Waiting of a request until an upstream has capacity for it.

use std::time::Duration;

use http::StatusCode;

use super::Exchange;
use super::MIN_TIME_LEFT;
use crate::collections::Name;
use crate::config::RetryPolicy;
use crate::gateway::admission;
use crate::gateway::attempt::rank;
use crate::gateway::refusal::Refusal;
use crate::gateway::routing::RoutingTable;
use crate::gateway::routing::Upstream;
use crate::log::event;
use crate::policy::gateway_queue::Kind;
use crate::policy::gateway_queue::Needs;
use crate::policy::gateway_queue::Reason;
use crate::policy::gateway_queue::Rejection;
use crate::policy::gateway_queue::Request;
use crate::policy::gateway_queue::max_escalation_wait;
use crate::policy::model_choice::good_probability;
use crate::policy::placement::stable_hash;

impl Exchange {
    /// Waits until the next attempt may be made. The refusal tells that the request has not run, so
    /// it may be returned only if there was no run before.
    pub(super) async fn wait_for_dispatch(&self) -> Result<(), Refusal> {
        self.wait_until(self.model, self.call.deadline, None).await
    }

    /// Takes a retry from the retry budget before it waits, so that a failure without a retry left
    /// is answered at once; returns whether there was one left. A first attempt needs none.
    pub(super) fn reserve_retry(&mut self) -> bool {
        let gateway = &self.gateway;
        let Some(service) = self.service.as_ref().filter(|_| gateway.cfg.admission) else {
            return true;
        };
        // A request that cannot be sent is not charged, and a quarantined one only as a probe.
        if self.is_charged
            || self.is_first_attempt()
            || gateway.quarantined_for(service, &self.call).is_some()
            || self
                .choose_upstream(service, self.model, &self.tried)
                .is_none()
        {
            return true;
        }
        self.is_charged = gateway.try_retry(service);
        if !self.is_charged {
            self.last_failure = "retry budget exhausted";
        }
        self.is_charged
    }

    /// Waits until the request may be sent to a larger model; returns whether it may. The response
    /// of the smaller one, with its `confidence` from 0 to 100, is kept meanwhile. So the wait ends
    /// when the larger model's would be late, or costs more than the caller gains.
    pub(super) async fn wait_for_escalation(&self, model: usize, confidence: Option<f64>) -> bool {
        let gateway = &self.gateway;
        let Some(service) = self.service.as_ref().filter(|_| gateway.cfg.admission) else {
            return true;
        };
        let target = self.call.received_at + self.call.route.target();
        let deadline = target.min(self.call.deadline);
        // After the wait there may be no time or no upstream left. The response of the smaller
        // model must not be given up for nothing.
        let good_answer = good_probability(100.0);
        let gain = good_answer - good_probability(confidence.unwrap_or_default().max(0.0));
        let is_admitted = tokio::select! {
            biased;
            admitted = self.wait_until(Some(model), deadline, Some(gain)) => admitted.is_ok(),
            // Another run might not end before the process does.
            () = gateway.wait_for_drain() => false,
        };
        is_admitted
            && self.has_attempts_left()
            && gateway.quarantined_for(service, &self.call).is_none()
            && self.choose_upstream(service, Some(model), &[]).is_some()
    }

    /// `gain` is that of an escalation, and bounds its wait.
    async fn wait_until(
        &self,
        model: Option<usize>,
        deadline: Duration,
        gain: Option<f64>,
    ) -> Result<(), Refusal> {
        let gateway = &self.gateway;
        let Some(service) = self.service.as_ref().filter(|_| gateway.cfg.admission) else {
            return Ok(());
        };
        // A caller that resumes a stream already had its turn, and its user sees the gap.
        let names = &gateway.cfg.header_names;
        let is_stream = self.call.route.repeat == RetryPolicy::Stream;
        if is_stream && self.call.last_event_id(names).is_some() {
            return Ok(());
        }
        // Such a request is refused or sent as a probe, whatever the load.
        if gateway.quarantined_for(service, &self.call).is_some() {
            return Ok(());
        }
        let Some(mut request) = self.admission_request(model, gain.is_some(), deadline) else {
            return Ok(());
        };
        let first_token = request.first_token;
        if let Some(gain) = gain {
            let latest_start = gateway.now() + max_escalation_wait(gain, first_token);
            request.deadline = request.deadline.min(latest_start + first_token);
        }
        let admitted = gateway.admit(service, request).await;
        // An evacuation may have begun, or the last permitted upstream left, while it was queued.
        admitted.map_err(|rejection| {
            let refusal = self.admission_refusal(&rejection, first_token);
            self.placement_refusal().unwrap_or(refusal)
        })
    }

    /// Returns the tokens that the request is expected to hold in the KV cache, 0 for a service
    /// without one.
    pub(super) fn kv_tokens(&self, routing: &RoutingTable, service: &Name) -> u64 {
        let prompt = &self.call.prompt;
        routing.engine(service).map_or(0, |_| {
            prompt.tokens_in.saturating_add(prompt.tokens_out / 2)
        })
    }

    pub(super) fn admission_request(
        &self,
        model: Option<usize>,
        is_escalation: bool,
        deadline: Duration,
    ) -> Option<Request> {
        let gateway = &self.gateway;
        let call = &self.call;
        let service = self.service.as_ref()?;
        let routing = gateway.routing();
        let pool = routing.pool(service)?;
        let engine = routing.engine(service);
        let kv_tokens = self.kv_tokens(&routing, service);
        // A request takes a slot or a share of the KV cache, whichever is more.
        let cost = engine.map_or(1.0, |engine| {
            let slots = kv_tokens as f64 / engine.cache_tokens.max(1) as f64;
            (slots * f64::from(engine.slots)).clamp(1.0, f64::from(engine.slots.max(1)))
        });
        let model_name = self.model_name(model);
        let slowness = model_name
            .as_ref()
            .map_or(1.0, |model| routing.slowness(service, model));
        let prefill_tokens = (call.prompt.tokens_in as f64 * slowness) as u64;
        let first_token = gateway.predict_prefill_time(service, model_name, prefill_tokens);
        let is_excluded = |upstream: &&Upstream| {
            !self.permits(upstream) || !is_escalation && self.tried.contains(upstream.id())
        };
        let excluded = pool.upstreams.iter().filter(is_excluded);
        let excluded = excluded.map(|upstream| upstream.number).collect();
        let organisation = call.organisation.as_ref();
        let inventory = routing.config.as_ref().map(|config| &config.inventory);
        let weight = organisation
            .zip(inventory)
            .and_then(|((name, _), inventory)| inventory.organisation(name))
            .map_or(1, |organisation| organisation.weight);
        let path = call.path_and_query.split('?').next().unwrap_or_default();
        Some(Request {
            kind: if self.is_first_attempt() {
                Kind::First
            } else {
                Kind::Begun
            },
            rank: rank(call),
            organisation: organisation.map_or_else(|| "".into(), |(name, _)| name.clone()),
            weight,
            path: stable_hash(path),
            deadline,
            first_token: first_token.unwrap_or_default().max(MIN_TIME_LEFT),
            cost,
            needs: Needs {
                kv_tokens,
                wants_new: self.uses_new_release(pool),
                excluded,
            },
        })
    }

    /// Logs a rejection and returns the refusal.
    fn admission_refusal(&self, rejection: &Rejection, first_token: Duration) -> Refusal {
        event!(
            Info,
            "admission_rejected",
            request = self.call.id,
            route = self.call.route.name,
            organisation = self
                .call
                .organisation
                .as_ref()
                .map_or("-", |(name, _)| name),
            service = self.service.as_deref().unwrap_or("-"),
            outcome = admission::outcome(rejection.reason),
            run = self.runs,
            queued = rejection.queued,
            ahead = rejection.ahead,
            per_s = rejection
                .rate
                .map_or("-".to_owned(), |rate| format!("{rate:.1}")),
            first_ms = first_token.as_millis(),
            left_ms = self.call.time_left(self.gateway.now()).as_millis(),
            retry_ms = rejection.retry_after.as_millis()
        );
        let refusal = match rejection.reason {
            Reason::Share => Refusal::new(
                StatusCode::TOO_MANY_REQUESTS,
                "beyond_share",
                "the service is at its capacity and the organisation beyond its share; retry later",
            ),
            Reason::Paused => Refusal::unavailable(
                "overloaded",
                "all upstreams of the service ask for a pause; retry later",
            ),
            Reason::Late | Reason::Full => Refusal::unavailable(
                "overloaded",
                "the service cannot serve the request in time; retry later",
            ),
        };
        refusal.with_retry_after(rejection.retry_after)
    }
}
