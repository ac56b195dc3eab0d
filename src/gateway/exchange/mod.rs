//! One request from its arrival to its final response, over all its attempts.

mod admit;
mod choose;
mod log;
mod models;
mod pass_on;
mod placement_refusal;

pub(super) use self::pass_on::PassedOn;
pub(super) use self::pass_on::key as pass_on_key;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use ntex::http::Request;
use ntex::http::Response;

use crate::collections::Name;
use crate::config::RetryPolicy;
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptOutcome;
use crate::gateway::attempt::AttemptOverrides;
use crate::gateway::attempt::RESPONSE_TIMEOUT;
use crate::gateway::attempt::attempt;
use crate::gateway::attempt::rank;
use crate::gateway::call::Call;
use crate::gateway::call::header_text;
use crate::gateway::call::read_body;
use crate::gateway::open_requests::OpenRequest;
use crate::gateway::open_requests::Stage;
use crate::gateway::quarantine;
use crate::gateway::refusal::Refusal;
use crate::gateway::response;
use crate::gateway::retries::RepeatCause;
use crate::gateway::routing::Upstream;
use crate::gateway::stream;
use crate::gateway::stream::NoFirstEvent;
use crate::gateway::upstreams::InFlightRequest;
use crate::http_client::ResponseHead;
use crate::http_client::UpstreamResponse;
use crate::listen;
use crate::log::event;
use crate::policy::escalation;
use crate::recovery::Phase;

/// Minimum time left before the deadline for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Number of upstreams that may refuse a request before the gateway gives up. A refusal does not
/// count as a run, but puts load on the upstream.
const MAX_REFUSALS: u32 = 4;

/// Number of upstreams that may be unreachable for a request before the gateway gives up.
const MAX_UNREACHABLE: u32 = 8;

/// Delays between two rounds in which a request is offered to all upstreams.
const MIN_RESUME_DELAY: Duration = Duration::from_millis(200);
const MAX_RESUME_DELAY: Duration = Duration::from_secs(1);

/// Stands for an id or a route that is not known, in the log.
const NOT_KNOWN: &str = "-";

/// Handles one request and returns its final response.
pub(super) async fn handle(gateway: Rc<Gateway>, req: Request) -> Response {
    let names = &gateway.cfg.header_names;
    let id: Name = header_text(&req, &names.attempt_id)
        .unwrap_or(NOT_KNOWN)
        .into();
    let is_passed_on = PassedOn::read(&gateway, &req).is_some();
    match respond(&gateway, req, &id).await {
        Ok(response) => response,
        Err((route, refusal)) => {
            let mut response = refuse(&gateway, &id, &route, &refusal);
            if is_passed_on {
                pass_on::mark_refusal(&gateway, &id, &refusal, &mut response);
            }
            response
        }
    }
}

/// Returns the final response to a request, or the name of its route and a refusal.
async fn respond(
    gateway: &Rc<Gateway>,
    mut req: Request,
    id: &Name,
) -> Result<Response, (Name, Refusal)> {
    let open = Rc::new(OpenRequest::new(gateway, id));
    tokio::select! {
        biased;
        () = gateway.wait_for_config() => {}
        // Another gateway serves it sooner.
        () = gateway.wait_for_drain() => {}
    }
    let call = match Call::read(gateway, &req) {
        Ok(call) => call,
        Err(refusal) => {
            listen::discard_body(req.take_payload()).await;
            return Err((NOT_KNOWN.into(), refusal));
        }
    };
    let route = call.route.name.clone();
    open.set_route(&call.route.name);
    if gateway.refuses_new_requests(&call.route) {
        listen::discard_body(req.take_payload()).await;
        return Err((route, Refusal::stopping()));
    }
    let body = tokio::select! {
        biased;
        body = read_body(gateway, &call, &mut req) => body,
        () = gateway.wait_for_final_answers() => Err(Refusal::stopping()),
    };
    let body = match body {
        Ok(body) => body,
        Err(refusal) => return Err((route, refusal)),
    };
    let call = Rc::new(call.with_body(body));
    let mut exchange = Exchange::new(gateway, &call, open);
    let limit = call.time_left(gateway.now());
    let outcome = tokio::select! {
        biased;
        outcome = tokio::time::timeout(limit, exchange.run()) => outcome.ok(),
        () = gateway.wait_for_final_answers() => None,
    };
    let outcome = outcome.unwrap_or_else(|| {
        exchange.log_unfinished_attempt();
        Err(exchange.interrupted_refusal())
    });
    let time_to_head = limit.saturating_sub(call.time_left(gateway.now()));
    gateway.meter(&call, &outcome, time_to_head);
    if outcome.is_ok() {
        gateway.record_phase(Phase::FirstResponse);
    }
    if outcome.is_ok() && time_to_head > call.route.target() {
        exchange.log_late_response(time_to_head);
    }
    match outcome {
        Ok(FinalResponse::Complete(head, body) | FinalResponse::PassedOn(head, body)) => {
            if let (Some(callers), Some(io)) = (gateway.callers.get(), req.io()) {
                callers.record_response(io, body.len());
            }
            Ok(response::complete(gateway, &head, body))
        }
        Ok(FinalResponse::Stream(relay)) => Ok(stream::response(gateway, *relay, &req)),
        Ok(FinalResponse::PassedOnStream(stream)) => Ok(stream.response(&req)),
        Err(refusal) => Err((route, refusal)),
    }
}

/// Logs and counts a refusal and returns its response. `id` is the caller's id of the attempt.
fn refuse(gateway: &Gateway, id: &str, route: &str, refusal: &Refusal) -> Response {
    gateway
        .metrics
        .add_to_counter("daisyquay_refusals", 1, &[("reason", refusal.code)]);
    event!(
        Info,
        "refused",
        request = id,
        route = route,
        status = refusal.status.as_u16(),
        code = refusal.code
    );
    let mut response = refusal.to_response();
    response::close_if_draining(gateway, &mut response);
    response
}

/// Response of an upstream that is passed to the caller.
enum FinalResponse {
    Complete(ResponseHead, Bytes),
    Stream(Box<stream::Relay>),
    /// Response of another gateway, with its whole body.
    PassedOn(ResponseHead, Bytes),
    /// Streaming response of another gateway.
    PassedOnStream(Box<stream::PassedOnStream>),
}

impl Gateway {
    /// Records metrics of a request: its outcome and the time to the response head, which comes with
    /// the first event of a stream.
    fn meter(&self, call: &Call, outcome: &Result<FinalResponse, Refusal>, time_to_head: Duration) {
        let outcome = match outcome {
            Ok(FinalResponse::Complete(head, _)) if head.status.is_success() => "served",
            Ok(FinalResponse::Complete(..)) => "upstream_failed",
            Ok(FinalResponse::Stream(_)) => "streamed",
            Ok(FinalResponse::PassedOn(..) | FinalResponse::PassedOnStream(_)) => "passed_on",
            Err(refusal) => refusal.code,
        };
        let labels = [("route", &*call.route.name), ("outcome", outcome)];
        self.metrics
            .add_to_counter("daisyquay_requests", 1, &labels);
        self.metrics.record_duration(
            "daisyquay_first_seconds",
            time_to_head.as_secs_f64(),
            &labels,
        );
    }
}

/// State of one request across its attempts.
pub(super) struct Exchange {
    gateway: Rc<Gateway>,
    /// Counts the request as open until its response has ended.
    open: Rc<OpenRequest>,
    call: Rc<Call>,
    service: Option<Name>,
    /// Index of the model in the route's `ladder`, the smallest first; `None` if the caller chose
    /// the model.
    model: Option<usize>,
    /// Ids of the upstreams that got the request, for the current model.
    tried: Vec<Name>,
    /// Addresses of the upstreams that may have received the request, for any model.
    sent_to: Vec<SocketAddr>,
    /// Attempts in which the request may have run.
    runs: u32,
    /// Attempts in which an upstream received the request and did not run it.
    refusals: u32,
    /// Attempts in which nothing reached the upstream.
    unreachable: u32,
    /// Whether the retry budget has been charged for an attempt that has not reached an upstream
    /// yet. The budget bounds what the upstreams receive.
    is_charged: bool,
    /// Whether the request is sent though it or its prompt is quarantined.
    is_probe: bool,
    /// Whether the request stays at this gateway even if that does not reach its service.
    keeps_own_path: bool,
    /// Whether the next attempt probes the path to an unreachable service.
    is_path_probe: bool,
    /// Reason why the last failed attempt failed, for the log.
    last_failure: &'static str,
    /// Reason for the next attempt; `None` for the first one.
    repeat_cause: Option<RepeatCause>,
}

impl Exchange {
    fn new(gateway: &Rc<Gateway>, call: &Rc<Call>, open: Rc<OpenRequest>) -> Self {
        open.set_stage(Stage::Queued, None);
        let draw = gateway.rng.borrow_mut().f64();
        let ladder = call.route.ladder.len();
        Self {
            gateway: gateway.clone(),
            open,
            call: call.clone(),
            service: call.route.pick_service(draw).cloned(),
            model: if call.gateway_chooses_model {
                escalation::first_model(ladder)
            } else {
                None
            },
            tried: Vec::new(),
            sent_to: Vec::new(),
            runs: 0,
            refusals: 0,
            unreachable: 0,
            is_charged: false,
            is_probe: false,
            keeps_own_path: false,
            is_path_probe: false,
            last_failure: "no upstream available",
            repeat_cause: None,
        }
    }

    /// Returns the refusal for a request that was interrupted by its deadline or by the end of this
    /// process.
    fn interrupted_refusal(&self) -> Refusal {
        let is_late = self.call.time_left(self.gateway.now()).is_zero();
        match (self.runs > 0, is_late) {
            (true, true) => Refusal::gateway_timeout(),
            (true, false) => Refusal::bad_gateway("stopped"),
            (false, true) => Refusal::unavailable(
                "no_time",
                "no upstream accepted the request before the deadline; retry later",
            ),
            (false, false) => Refusal::stopping(),
        }
    }

    /// Makes one attempt and counts it. It counts as a run until the outcome says otherwise, so
    /// that an attempt cancelled by the deadline is never reported as not run.
    async fn run_attempt(
        &mut self,
        upstream: &Upstream,
        last_event_id: Option<u64>,
    ) -> AttemptOutcome {
        let overrides = AttemptOverrides {
            model: self.model_name(self.model),
            last_event_id,
            is_first: self.is_first_attempt(),
            is_repeated: self.sent_to.contains(&upstream.address()),
        };
        self.sent_to.push(upstream.address());
        self.runs += 1;
        self.open.set_stage(Stage::Sent, Some(upstream.id()));
        let service = self.service.as_ref();
        if let (Some(service), Some(cause)) = (service, self.repeat_cause) {
            self.gateway.count_repeat(service, cause);
        }
        // The charge is used up even if the attempt is cancelled.
        self.is_charged = false;
        let fail_over = || self.fail_over();
        let outcome = tokio::select! {
            biased;
            outcome = attempt(
                &self.gateway,
                &self.call,
                upstream,
                &overrides,
                &fail_over,
            ) => outcome,
            // Dropping the attempt cancels the request before the upstream begins a response.
            () = self.gateway.wait_for_quarantine(service, &self.call), if !self.is_probe => {
                AttemptOutcome::Lost("quarantined")
            }
        };
        self.log_attempt(upstream, &outcome);
        self.is_charged = matches!(outcome, AttemptOutcome::NotSent(_));
        let has_response = matches!(
            outcome,
            AttemptOutcome::Complete(..) | AttemptOutcome::Stream(..)
        );
        if !has_response {
            self.open.set_stage(Stage::Queued, None);
        }
        match outcome {
            AttemptOutcome::NotSent(reason) => {
                self.runs -= 1;
                self.unreachable += 1;
                self.last_failure = reason;
                self.repeat_cause = Some(RepeatCause::NotSent);
            }
            AttemptOutcome::NotRun(reason) => {
                self.runs -= 1;
                self.refusals += 1;
                self.last_failure = reason;
                self.repeat_cause = Some(RepeatCause::Rejection);
            }
            AttemptOutcome::Lost(reason) => {
                self.last_failure = reason;
                self.repeat_cause = Some(RepeatCause::Failure);
            }
            AttemptOutcome::Complete(..) => self.repeat_cause = Some(RepeatCause::Failure),
            AttemptOutcome::Stream(..) => self.repeat_cause = Some(RepeatCause::Escalation),
        }
        outcome
    }

    async fn run(&mut self) -> Result<FinalResponse, Refusal> {
        if let Some(refusal) = self.placement_refusal() {
            return Err(refusal);
        }
        let mut failure: Option<(ResponseHead, Bytes)> = None;
        let mut is_dispatched = false;
        // Whether an upstream that had the request fell silent or broke off. The request then waits
        // until another one has room.
        let mut may_wait_for_room = false;
        let mut retry_delay = MIN_RESUME_DELAY;
        loop {
            if !is_dispatched
                && failure.is_none()
                && let Some(outcome) = self.leave_unreachable_service().await
            {
                return outcome;
            }
            if !std::mem::take(&mut is_dispatched) && self.has_attempts_left() {
                if !self.reserve_retry() {
                    return self.final_failure(failure);
                }
                let dispatched = tokio::select! {
                    biased;
                    dispatched = self.wait_for_dispatch() => dispatched,
                    () = self.wait_until_unreachable(), if failure.is_none() => continue,
                };
                if let Err(refusal) = dispatched {
                    // A request that may have run must not be reported as rejected.
                    if self.runs == 0 && failure.is_none() {
                        return Err(refusal);
                    }
                    return self.final_failure(failure);
                }
            }
            let Some(upstream) = self.next_upstream() else {
                if let Some(outcome) = self.pass_on_unplaced().await {
                    return outcome;
                }
                // The request is not given up for upstreams that lack room for a moment.
                let were_full = self.refusals > 0 || self.unreachable > 0;
                if may_wait_for_room
                    && were_full
                    && failure.is_none()
                    && self.wait_for_next_round(&mut retry_delay).await
                {
                    continue;
                }
                return self.final_failure(failure);
            };
            match self.run_attempt(&upstream, None).await {
                AttemptOutcome::NotSent(_) | AttemptOutcome::NotRun(_) => {}
                AttemptOutcome::Lost(reason) => {
                    if !self.call.route.is_safe_to_retry() {
                        return Err(Refusal::bad_gateway("answer_lost"));
                    }
                    may_wait_for_room |= reason == RESPONSE_TIMEOUT;
                }
                AttemptOutcome::Complete(head, body) => {
                    if head.status.is_server_error() && self.call.route.is_safe_to_retry() {
                        failure = Some((head, body));
                    } else {
                        return Ok(FinalResponse::Complete(head, body));
                    }
                }
                AttemptOutcome::Stream(response, in_flight) => {
                    let confidence = self.confidence(&response.headers);
                    if let Some(larger_model) = self.try_escalate(&response.headers)
                        && self.wait_for_escalation(larger_model, confidence).await
                    {
                        is_dispatched = true;
                        self.model = Some(larger_model);
                        self.tried.clear();
                        continue;
                    }
                    match stream::Relay::begin(self, *response, in_flight).await {
                        Ok(relay) => {
                            self.open.set_stage(Stage::Streaming, Some(upstream.id()));
                            return Ok(FinalResponse::Stream(Box::new(relay)));
                        }
                        Err(NoFirstEvent::DeadlineExceeded) => {
                            return Err(Refusal::gateway_timeout());
                        }
                        Err(NoFirstEvent::Interrupted(reason)) => {
                            if !self.call.route.is_safe_to_retry() {
                                return Err(Refusal::bad_gateway("answer_lost"));
                            }
                            self.open.set_stage(Stage::Queued, None);
                            self.last_failure = reason;
                            self.repeat_cause = Some(RepeatCause::Resume);
                            may_wait_for_room = true;
                        }
                    }
                }
            }
        }
    }

    /// Copies the state for the relay of a stream, which outlives `run`.
    pub(super) fn detach(&self) -> Self {
        Self {
            gateway: self.gateway.clone(),
            open: self.open.clone(),
            call: self.call.clone(),
            service: self.service.clone(),
            model: self.model,
            tried: self.tried.clone(),
            sent_to: self.sent_to.clone(),
            runs: self.runs,
            refusals: self.refusals,
            unreachable: self.unreachable,
            is_charged: false,
            is_probe: false,
            keeps_own_path: true,
            is_path_probe: false,
            last_failure: self.last_failure,
            repeat_cause: Some(RepeatCause::Resume),
        }
    }

    /// Returns the model to escalate to, if the response is not kept; the escalation has then been
    /// charged to the retry budget.
    fn try_escalate(&mut self, headers: &http::HeaderMap) -> Option<usize> {
        if self.gateway.is_draining() {
            // Another run might not end before the process does.
            return None;
        }
        let service = self.service.as_ref()?;
        if self.gateway.manages_load(service) {
            return self.escalate_by_value(headers);
        }
        let larger_model = self.escalation_target(headers)?;
        self.reserve_escalation().then_some(larger_model)
    }

    /// Returns the largest model, to escalate to, if the response of a smaller one has low
    /// confidence and another attempt is allowed.
    fn escalation_target(&self, headers: &http::HeaderMap) -> Option<usize> {
        if self.runs >= self.call.attempts() {
            return None;
        }
        let service = self.service.as_ref()?;
        let confidence = self.confidence(headers);
        let ladder = self.call.route.ladder.len();
        let larger_model = escalation::next_model(ladder, self.model?, confidence, |model| {
            self.forecast_ttft(model)
        })?;
        let target = self.call.route.target();
        let is_affordable = self
            .median_prefill_backlog(larger_model)
            .is_none_or(|backlog| escalation::is_affordable(rank(&self.call), backlog, target));
        if !is_affordable || !self.may_run_again(service) {
            return None;
        }
        event!(
            Debug,
            "escalated",
            request = self.call.id,
            confidence = confidence.unwrap_or_default()
        );
        Some(larger_model)
    }

    /// Returns the model's confidence in its response; `None` if it has not stated one.
    fn confidence(&self, headers: &http::HeaderMap) -> Option<f64> {
        let value = headers.get(&self.gateway.cfg.header_names.confidence)?;
        value.to_str().ok()?.trim().parse().ok()
    }

    /// Charges an escalation to the retry budget, if that leaves enough for retries after failures.
    fn reserve_escalation(&mut self) -> bool {
        let Some(service) = &self.service else {
            return false;
        };
        self.is_charged = self.gateway.try_escalation(service);
        self.is_charged
    }

    fn model_name(&self, model: Option<usize>) -> Option<Name> {
        self.call.route.ladder.get(model?).cloned()
    }

    /// Returns whether no upstream has been tried.
    fn is_first_attempt(&self) -> bool {
        self.runs == 0 && self.refusals == 0 && self.unreachable == 0
    }

    /// Returns whether the request's own limits allow another attempt.
    fn has_attempts_left(&self) -> bool {
        self.runs < self.call.attempts()
            && self.refusals < MAX_REFUSALS
            && self.unreachable < MAX_UNREACHABLE
            && !self.gateway.gives_final_answers.get()
            && (self.is_first_attempt() || self.call.time_left(self.gateway.now()) >= MIN_TIME_LEFT)
    }

    /// Returns the upstream for the next attempt; `None` if no attempt is allowed or no upstream is
    /// left.
    fn next_upstream(&mut self) -> Option<Upstream> {
        let is_first = self.is_first_attempt();
        if !self.has_attempts_left() {
            return None;
        }
        let service = self.service.clone()?;
        let gateway = &self.gateway;
        let is_quarantined = gateway.quarantined_for(&service, &self.call).is_some();
        if is_quarantined && !is_first
            || self.runs > 0 && !gateway.quarantine_allows_retry(&service, &self.call)
        {
            self.last_failure = "quarantined";
            return None;
        }
        if self.must_spare_last_upstream(&service).is_some() {
            self.last_failure = "may crash the last upstream";
            return None;
        }
        let upstream = self.choose_upstream(&service, self.model, &self.tried)?;
        self.is_probe = is_quarantined;
        if is_quarantined && !self.gateway.try_quarantine_probe(&service, &self.call) {
            self.last_failure = "quarantined";
            return None;
        }
        if is_first {
            let passed_on = self.call.passed_on.unwrap_or_default();
            if !passed_on.is_counted {
                self.gateway.record_first_attempt(&service);
            }
        } else if !self.is_charged && !self.gateway.try_retry(&service) {
            self.last_failure = "retry budget exhausted";
            return None;
        }
        self.is_charged = true;
        self.tried.push(upstream.id().clone());
        Some(upstream)
    }

    /// Returns the last server error of an upstream, or else a refusal.
    fn final_failure(
        &self,
        failure: Option<(ResponseHead, Bytes)>,
    ) -> Result<FinalResponse, Refusal> {
        if let Some((head, body)) = failure {
            return Ok(FinalResponse::Complete(head, body));
        }
        if self.runs > 0 {
            return Err(Refusal::bad_gateway("answer_lost"));
        }
        if let Some(refusal) = self.placement_refusal() {
            return Err(refusal);
        }
        let service = self.service.as_ref();
        let quarantined_for =
            service.and_then(|service| self.gateway.quarantined_for(service, &self.call));
        if let Some(left) = quarantined_for {
            return Err(quarantine::refusal(left));
        }
        if let Some(left) = service.and_then(|service| self.must_spare_last_upstream(service)) {
            return Err(Refusal::unavailable(
                "suspected",
                "upstreams crashed while they ran this request, and only one is left; retry later",
            )
            .with_retry_after(left));
        }
        event!(
            Info,
            "not_placed",
            request = self.call.id,
            refusals = self.refusals,
            unreachable = self.unreachable,
            reason = self.last_failure
        );
        let refusal = Refusal::unavailable(
            "no_upstream",
            "no upstream accepts the request now; retry later",
        );
        let routing = self.gateway.routing();
        let Some(pool) = service.and_then(|service| routing.pool(service)) else {
            return Err(refusal);
        };
        let permits = |upstream: &Upstream| self.permits(upstream);
        if let Some(refusal) = self.gateway.cold_refusal(pool, &self.tried, &permits) {
            return Err(refusal);
        }
        Err(match self.gateway.backpressure_wait(pool, &permits) {
            Some(wait) => refusal.with_retry_after(wait),
            None => refusal,
        })
    }

    pub(super) fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    pub(super) fn call(&self) -> &Call {
        &self.call
    }

    pub(super) fn time_left(&self) -> Duration {
        self.call.time_left(self.gateway.now())
    }

    /// Returns whether the request may have run before the present attempt.
    pub(super) fn is_repeated(&self) -> bool {
        self.runs > 1
    }

    /// Returns whether an interrupted stream may resume at another upstream.
    pub(super) fn can_resume(&self) -> bool {
        let route = &self.call.route;
        route.repeat == RetryPolicy::Stream && route.resume && self.runs < self.call.attempts()
    }

    /// Resumes a stream after the event with id `after` at another upstream than `present`, which has
    /// the stream but is silent. Upstreams that are full or unreachable now are tried again until the
    /// deadline. Dropping the future cancels the attempt.
    pub(super) async fn resume(
        &mut self,
        after: Option<u64>,
        present: Option<&Name>,
    ) -> Option<(UpstreamResponse, InFlightRequest)> {
        self.repeat_cause = Some(RepeatCause::Resume);
        let mut retry_delay = MIN_RESUME_DELAY;
        while self.can_resume() {
            let Some(upstream) = self.next_upstream() else {
                if !self.wait_for_next_round(&mut retry_delay).await {
                    return None;
                }
                self.tried.extend(present.cloned());
                continue;
            };
            match self.run_attempt(&upstream, after).await {
                AttemptOutcome::NotSent(_)
                | AttemptOutcome::NotRun(_)
                | AttemptOutcome::Lost(_) => {}
                AttemptOutcome::Stream(response, in_flight)
                    if response.status == StatusCode::OK =>
                {
                    return Some((*response, in_flight));
                }
                AttemptOutcome::Complete(..) | AttemptOutcome::Stream(..) => return None,
            }
        }
        None
    }

    /// Logs that the stream goes on at `upstream`, after the event with id `after`.
    pub(super) fn log_resumed(&self, upstream: &Upstream, after: Option<u64>) {
        event!(
            Info,
            "stream_resumed",
            request = self.call.id,
            upstream = upstream.id(),
            after = after.map_or(-1, |after| i64::try_from(after).unwrap_or(-1))
        );
    }

    pub(super) fn stage(&self) -> Stage {
        self.open.stage()
    }

    /// Records that the request waits for `upstream` again.
    pub(super) fn set_stage(&self, stage: Stage, upstream: &Upstream) {
        self.open.set_stage(stage, Some(upstream.id()));
    }

    /// Waits until the request is offered to all upstreams again; returns whether it may be.
    async fn wait_for_next_round(&mut self, delay: &mut Duration) -> bool {
        let may_run = self.call.route.is_safe_to_retry() && self.runs < self.call.attempts();
        if !may_run || self.is_barred() {
            return false;
        }
        tokio::time::sleep(*delay).await;
        *delay = (2 * *delay).min(MAX_RESUME_DELAY);
        self.forget_refusals();
        true
    }

    /// Returns whether the request or its prompt must not be sent again, as it may crash upstreams.
    fn is_barred(&self) -> bool {
        let gateway = &self.gateway;
        self.service.as_ref().is_none_or(|service| {
            gateway.quarantined_for(service, &self.call).is_some()
                || !gateway.quarantine_allows_retry(service, &self.call)
                || self.must_spare_last_upstream(service).is_some()
        })
    }

    /// Makes all upstreams eligible again.
    fn forget_refusals(&mut self) {
        self.tried.clear();
        self.refusals = 0;
        self.unreachable = 0;
    }
}
