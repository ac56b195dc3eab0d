//! Choice among the models of a route's ladder by expected value.

use std::time::Duration;

use http::HeaderMap;

use super::Exchange;
use super::MIN_TIME_LEFT;
use crate::collections::Name;
use crate::gateway::attempt::rank;
use crate::log::event;
use crate::policy::model_choice;
use crate::policy::model_choice::Decision;
use crate::policy::model_choice::LargerModel;
use crate::policy::model_choice::Present;
use crate::policy::model_choice::ServiceLoad;
use crate::policy::model_choice::ServicePrice;
use crate::policy::model_choice::Size;
use crate::upstream::Circuit;

impl Exchange {
    /// Returns the larger model to run, if the response is not kept; the escalation has then been
    /// charged to the retry budget.
    pub(super) fn escalate_by_value(&mut self, headers: &HeaderMap) -> Option<usize> {
        let service = self.service.clone()?;
        let model = self.model?;
        let largest = self.call.route.ladder.len().checked_sub(1)?;
        let confidence = self.confidence(headers).filter(|value| value.is_finite())?;
        if model >= largest {
            return None;
        }
        let present = self.present_answer(&service, model, confidence.clamp(0.0, 100.0));
        let mut options = self.larger_models(&service, model, largest);
        let mut decision = Decision::KeptGood;
        if !present.is_good_enough(&options) {
            decision = if self.runs >= self.call.attempts() {
                Decision::KeptBudget
            } else if self.call.time_left(self.gateway.now()) < MIN_TIME_LEFT {
                Decision::KeptLate
            } else if !self.may_run_again(&service) {
                Decision::KeptLoad
            } else if self.predict_times(&service, &present.size, &mut options) {
                self.price_capacity(&service, model, &present.size, &mut options);
                model_choice::decide(&present, &options)
            } else {
                // No upstream accepts another attempt now.
                Decision::KeptLoad
            };
        }
        if matches!(decision, Decision::Escalate(_)) && !self.reserve_escalation() {
            decision = Decision::KeptBudget;
        }
        self.record_decision(&service, decision, &present, &options);
        let Decision::Escalate(larger_model) = decision else {
            return None;
        };
        let work = present.size.escalation_work(
            self.slowness(&service, larger_model),
            self.slowness(&service, model),
        );
        let mut choices = self.gateway.model_choices.borrow_mut();
        choices.price(&service).record_escalation(work);
        Some(larger_model)
    }

    /// Returns whether the quarantines allow another attempt. `next_upstream` would otherwise refuse
    /// it after the present answer has been discarded.
    pub(super) fn may_run_again(&self, service: &Name) -> bool {
        let gateway = &self.gateway;
        gateway.quarantined_for(service, &self.call).is_none()
            && gateway.quarantine_allows_retry(service, &self.call)
            && self.must_spare_last_upstream(service).is_none()
    }

    /// Returns the inputs of the decision that concern the present answer. Records the size of the
    /// request if this is its first answer.
    fn present_answer(&self, service: &Name, model: usize, confidence: f64) -> Present {
        let call = &self.call;
        let gateway = &self.gateway;
        let hint = call
            .headers
            .get(&gateway.cfg.header_names.length_hint)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.trim().parse().ok());
        let target = call.route.target();
        let mut choices = gateway.model_choices.borrow_mut();
        let usual = choices.usual(&call.route.name);
        let size = Size::new(call.prompt.tokens_in, call.prompt.tokens_out, hint, usual);
        if model == 0 {
            usual.record(&size);
        }
        let usual = *usual;
        if model == 0 {
            let price = choices.price(service);
            price.record_request(size.first_work(self.slowness(service, model)), target);
        }
        Present {
            confidence,
            elapsed: gateway.now().saturating_sub(call.received_at),
            target,
            deadline: call.deadline.saturating_sub(call.received_at),
            size,
            usual,
            budget_left: gateway.escalations_left(service),
        }
    }

    /// Returns the models above `model`, without their waits and the price of their capacity.
    fn larger_models(&self, service: &Name, model: usize, largest: usize) -> Vec<LargerModel> {
        let largest_slowness = self.slowness(service, largest);
        (model + 1..=largest)
            .map(|larger| LargerModel {
                model: larger,
                steps: larger - model,
                is_largest: larger == largest,
                relative_cost: self.slowness(service, larger) / largest_slowness,
                wait: Duration::ZERO,
                output: Duration::ZERO,
                opportunity_cost: 0.0,
            })
            .collect()
    }

    /// Predicts the times to the first and the last token at the upstream that would be chosen for
    /// the largest model; zero while the prefill rate is not known. Returns `false` if there is no upstream.
    fn predict_times(&self, service: &Name, size: &Size, options: &mut [LargerModel]) -> bool {
        let gateway = &self.gateway;
        let largest = options.last().map(|option| option.model);
        let Some(upstream) = self.choose_upstream(service, largest, &[]) else {
            return false;
        };
        let upstreams = gateway.upstreams.borrow();
        let peer_loads = gateway.peer_loads.borrow();
        let reachability = gateway.reachability.borrow();
        let backpressure = gateway.backpressure.borrow();
        let context = self.placement_context(&peer_loads, &reachability, &backpressure, None);
        let candidate = upstreams.placement_candidate(&upstream, &context, false);
        for option in options {
            let slowness = self.slowness(service, option.model);
            let own_tokens = self.call.prompt.tokens_in as f64 * slowness;
            let tokens = (candidate.prefill_tokens as f64 + own_tokens) * candidate.slowness;
            let output_tokens = size.output_work() * slowness * candidate.slowness;
            let model = self.model_name(Some(option.model));
            let predict = |tokens: f64| {
                gateway
                    .predict_prefill_time(service, model.clone(), tokens as u64)
                    .unwrap_or_default()
            };
            option.wait = predict(tokens);
            option.output = predict(output_tokens);
        }
        true
    }

    /// Sets the price of the capacity that each of `options` takes, by the load of the service.
    fn price_capacity(
        &self,
        service: &Name,
        model: usize,
        size: &Size,
        options: &mut [LargerModel],
    ) {
        let now = self.gateway.now();
        let mut choices = self.gateway.model_choices.borrow_mut();
        let price = choices.price(service);
        if price.is_outdated(now)
            && let Some(load) = self.measure_load(service, model, price)
        {
            price.record_load(&load, now);
        }
        let present_slowness = self.slowness(service, model);
        for option in options {
            let work = size.escalation_work(self.slowness(service, option.model), present_slowness);
            option.opportunity_cost = price.opportunity_cost(work, rank(&self.call));
        }
    }

    /// Measures the load of the upstreams that can be chosen; `None` if there is none or the prefill
    /// rate is not known.
    fn measure_load(
        &self,
        service: &Name,
        model: usize,
        price: &ServicePrice,
    ) -> Option<ServiceLoad> {
        let gateway = &self.gateway;
        let routing = gateway.routing();
        let pool = routing.pool(service)?;
        let upstreams = gateway.upstreams.borrow();
        let peer_loads = gateway.peer_loads.borrow();
        let reachability = gateway.reachability.borrow();
        let backpressure = gateway.backpressure.borrow();
        let context = self.placement_context(&peer_loads, &reachability, &backpressure, None);
        let mut backlogs = Vec::with_capacity(pool.upstreams.len());
        let (mut requests, mut slots) = (0.0, 0.0);
        for upstream in &pool.upstreams {
            let candidate = upstreams.placement_candidate(upstream, &context, false);
            let is_usable = !candidate.is_suspect
                && !candidate.is_blocked
                && candidate.circuit != Circuit::Open;
            if is_usable {
                backlogs.push(candidate.prefill_tokens);
                let upstream_slots = f64::from(upstream.announced.slots.max(1));
                requests += candidate.load * upstream_slots;
                slots += upstream_slots;
            }
        }
        if backlogs.is_empty() {
            return None;
        }
        let count = backlogs.len();
        let sum: f64 = backlogs.iter().map(|&tokens| tokens as f64).sum();
        let (_, &mut median, _) = backlogs.select_nth_unstable(count / 2);
        let predict =
            |tokens| gateway.predict_prefill_time(service, self.model_name(Some(model)), tokens);
        Some(ServiceLoad {
            median_backlog: predict(median)?,
            mean_backlog: predict((sum / count as f64) as u64)?,
            slots_in_use: requests / slots,
            usual_work: predict(price.usual_work_tokens() as u64)?,
            usual_target: price.usual_target(),
        })
    }

    /// Returns the slowness of a model of the ladder relative to the service's cheapest one.
    fn slowness(&self, service: &Name, model: usize) -> f64 {
        let ladder = &self.call.route.ladder;
        let routing = self.gateway.routing();
        let slowness = ladder
            .get(model)
            .map(|name| routing.slowness(service, name));
        slowness.filter(|value| value.is_finite()).unwrap_or(1.0)
    }

    /// Logs and counts a decision.
    fn record_decision(
        &self,
        service: &Name,
        decision: Decision,
        present: &Present,
        options: &[LargerModel],
    ) {
        let outcome = decision.outcome();
        let labels = [("route", &*self.call.route.name), ("outcome", outcome)];
        let metrics = &self.gateway.metrics;
        metrics.add_to_counter("daisyquay_model_decisions", 1, &labels);
        let largest = options.last();
        event!(
            Debug,
            "model_decision",
            request = self.call.id,
            outcome = outcome,
            rank = rank(&self.call),
            confidence = present.confidence,
            tokens_in = self.call.prompt.tokens_in,
            elapsed_ms = present.elapsed.as_millis(),
            target_ms = present.target.as_millis(),
            deadline_ms = present.deadline.as_millis(),
            wait_ms = largest.map_or(0, |option| option.wait.as_millis()),
            output_ms = largest.map_or(0, |option| option.output.as_millis()),
            price = self
                .gateway
                .model_choices
                .borrow_mut()
                .price(service)
                .price(),
            capacity = largest.map_or(0.0, |option| option.opportunity_cost),
            budget_left = present.budget_left
        );
    }
}
