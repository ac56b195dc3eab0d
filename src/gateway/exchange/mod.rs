//! One request from its arrival to its final answer.

mod choose;
mod log;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use ntex::http::Request;
use ntex::http::Response;

use crate::collections::Name;
use crate::config::RetryPolicy;
use crate::gateway::Gateway;
use crate::gateway::attempt::Ended;
use crate::gateway::attempt::Extra;
use crate::gateway::attempt::attempt;
use crate::gateway::call::Call;
use crate::gateway::call::read_body;
use crate::gateway::picture::Runner;
use crate::gateway::refusal::Refusal;
use crate::gateway::reply;
use crate::gateway::runners::Sent;
use crate::gateway::stop::Open;
use crate::gateway::stream;
use crate::http_client::Answer;
use crate::http_client::Head;
use crate::log::event;
use crate::policy::escalation;

/// Least time left in which another attempt is worth making.
const LEFT_LEAST: Duration = Duration::from_millis(20);

/// Upstreams that may turn a request away before it is given back: their refusals cost no run, but
/// each is an arrival.
const REFUSALS_LIMIT: u32 = 4;

/// Answers one request.
pub(super) async fn answer(gateway: Rc<Gateway>, mut req: Request) -> Response {
    gateway.wait_for_config().await;
    let call = match Call::read(&gateway, &req) {
        Ok(call) => call,
        Err(refusal) => return refuse(&gateway, None, &refusal),
    };
    if gateway.turns_away(&call.route) {
        let refusal =
            Refusal::unavailable("stopping", "this entry stops; ask another").after(Duration::ZERO);
        return refuse(&gateway, Some(&call), &refusal);
    }
    let body = match read_body(&gateway, &mut req).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&gateway, Some(&call), &refusal),
    };
    let call = Rc::new(Call { body, ..call });
    let mut exchange = Exchange::new(&gateway, &call);
    let limit = call.left(gateway.now());
    let outcome = tokio::time::timeout(limit, exchange.run()).await;
    let outcome = outcome.unwrap_or_else(|_| Err(exchange.time_is_over()));
    let first = limit.saturating_sub(call.left(gateway.now()));
    gateway.meter(&call, &outcome, first);
    if outcome.is_ok() && first > call.route.target() {
        exchange.log_late(first);
    }
    match outcome {
        Ok(Served::Whole(head, body)) => reply::whole(&gateway, &head, body),
        Ok(Served::Stream(relay)) => stream::response(&gateway, *relay, &req),
        Err(refusal) => refuse(&gateway, Some(&call), &refusal),
    }
}

fn refuse(gateway: &Gateway, call: Option<&Call>, refusal: &Refusal) -> Response {
    gateway
        .metrics
        .add_to_counter("daisyquay_refusals", 1, &[("reason", refusal.code)]);
    event!(
        Info,
        "refused",
        request = call.map_or("-", |call| &*call.id),
        route = call.map_or("-", |call| &*call.route.name),
        status = refusal.status.as_u16(),
        code = refusal.code
    );
    let mut response = refusal.response();
    reply::mark(gateway, &mut response);
    response
}

enum Served {
    Whole(Head, Bytes),
    Stream(Box<stream::Relay>),
}

impl Gateway {
    /// Counts a request and the time to the head of its answer.
    fn meter(&self, call: &Call, outcome: &Result<Served, Refusal>, first: Duration) {
        let outcome = match outcome {
            Ok(Served::Whole(head, _)) if head.status.is_success() => "served",
            Ok(Served::Whole(..)) => "upstream_failed",
            Ok(Served::Stream(_)) => "streamed",
            Err(refusal) => refusal.code,
        };
        let labels = [("route", &*call.route.name), ("outcome", outcome)];
        self.metrics
            .add_to_counter("daisyquay_requests", 1, &labels);
        self.metrics
            .record_duration("daisyquay_first_seconds", first.as_secs_f64(), &labels);
    }
}

/// The state of one request between its attempts.
pub(super) struct Exchange {
    gateway: Rc<Gateway>,
    /// Counts the request as open until its answer has ended.
    _open: Rc<Open>,
    call: Rc<Call>,
    service: Option<Name>,
    model: Option<usize>,
    tried: Vec<Name>,
    /// Upstreams that it may have run on.
    runs: u32,
    refusals: u32,
    /// Whether the next attempt has been taken from the budget.
    paid: bool,
    last: &'static str,
}

impl Exchange {
    fn new(gateway: &Rc<Gateway>, call: &Rc<Call>) -> Self {
        let draw = gateway.rng.borrow_mut().f64();
        let ladder = call.route.ladder.len();
        Self {
            gateway: gateway.clone(),
            _open: Rc::new(Open::new(gateway)),
            call: call.clone(),
            service: call.route.pick_service(draw).cloned(),
            model: if call.any_model {
                escalation::first_model(ladder)
            } else {
                None
            },
            tried: Vec::new(),
            runs: 0,
            refusals: 0,
            paid: false,
            last: "no upstream is there",
        }
    }

    /// What the caller is told when the time is over.
    fn time_is_over(&self) -> Refusal {
        if self.runs > 0 {
            return Refusal::timed_out();
        }
        Refusal::unavailable("no_time", "no upstream took the request in time; come back")
    }

    /// Makes one attempt and keeps count of it. It counts as a run until the upstream has said that
    /// it was none, so that one cut off by the time limit is never called "not run".
    async fn attempt_at(&mut self, runner: &Runner, resume_after: Option<u64>) -> Ended {
        let extra = Extra {
            model: self.model_name(self.model),
            resume_after,
        };
        self.runs += 1;
        let ended = attempt(
            &self.gateway,
            &self.call,
            runner,
            &extra,
            self.may_fail_over(),
        )
        .await;
        self.log_attempt(runner, &ended);
        match ended {
            Ended::NotRun(reason) => {
                self.runs -= 1;
                self.refusals += 1;
                self.last = reason;
            }
            Ended::Lost(reason) => self.last = reason,
            Ended::Whole(..) | Ended::Stream(..) => {}
        }
        ended
    }

    async fn run(&mut self) -> Result<Served, Refusal> {
        let mut failure: Option<(Head, Bytes)> = None;
        loop {
            let Some(runner) = self.next_runner() else {
                return self.give_up(failure);
            };
            match self.attempt_at(&runner, None).await {
                Ended::NotRun(_) => {}
                Ended::Lost(_) => {
                    if !self.call.route.is_safe_to_retry() {
                        return Err(Refusal::broken("answer_lost"));
                    }
                }
                Ended::Whole(head, body) => {
                    if head.status.is_server_error() && self.call.route.is_safe_to_retry() {
                        failure = Some((head, body));
                    } else {
                        return Ok(Served::Whole(head, body));
                    }
                }
                Ended::Stream(answer, work) => {
                    if let Some(larger) = self.escalation(&answer.headers)
                        && self.may_escalate()
                    {
                        self.model = Some(larger);
                        self.tried.clear();
                        continue;
                    }
                    let exchange = self.take();
                    let relay = stream::Relay::new(exchange, *answer, work);
                    return Ok(Served::Stream(Box::new(relay)));
                }
            }
        }
    }

    /// Moves the state into the relay of a stream.
    fn take(&mut self) -> Self {
        Self {
            gateway: self.gateway.clone(),
            _open: self._open.clone(),
            call: self.call.clone(),
            service: self.service.clone(),
            model: self.model,
            tried: self.tried.clone(),
            runs: self.runs,
            refusals: self.refusals,
            paid: false,
            last: self.last,
        }
    }

    /// The largest model, where the answer of a smaller one is in doubt and another run is allowed.
    fn escalation(&self, headers: &http::HeaderMap) -> Option<usize> {
        if self.runs >= self.call.route.attempts {
            return None;
        }
        let names = &self.gateway.cfg.header_names;
        let confidence = headers
            .get(&names.confidence)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.trim().parse().ok());
        let ladder = self.call.route.ladder.len();
        let larger =
            escalation::next_model(ladder, self.model?, confidence, |model| self.outlook(model))?;
        event!(
            Debug,
            "escalated",
            request = self.call.id,
            confidence = confidence.unwrap_or_default()
        );
        Some(larger)
    }

    /// Takes the next attempt from the budget, if a few are left for failures after it.
    fn may_escalate(&mut self) -> bool {
        let Some(service) = &self.service else {
            return false;
        };
        self.paid = self.gateway.may_choose(service);
        self.paid
    }

    fn model_name(&self, model: Option<usize>) -> Option<Name> {
        self.call.route.ladder.get(model?).cloned()
    }

    /// The upstream of the next attempt, or `None` where there must be none.
    fn next_runner(&mut self) -> Option<Runner> {
        let first = self.runs == 0 && self.refusals == 0;
        if self.runs >= self.call.route.attempts || self.refusals >= REFUSALS_LIMIT {
            return None;
        }
        if !first && self.call.left(self.gateway.now()) < LEFT_LEAST {
            return None;
        }
        let service = self.service.clone()?;
        let runner = self.place(&service, self.model, &self.tried)?;
        if first {
            self.gateway.note_first(&service);
        } else if std::mem::take(&mut self.paid) {
            // The escalation has taken it.
        } else if !self.gateway.may_repeat(&service) {
            self.last = "the retry budget is spent";
            return None;
        }
        self.tried.push(runner.id().clone());
        Some(runner)
    }

    fn give_up(&self, failure: Option<(Head, Bytes)>) -> Result<Served, Refusal> {
        if let Some((head, body)) = failure {
            return Ok(Served::Whole(head, body));
        }
        if self.runs > 0 {
            return Err(Refusal::broken("answer_lost"));
        }
        event!(
            Info,
            "not_placed",
            request = self.call.id,
            refusals = self.refusals,
            reason = self.last
        );
        Err(Refusal::unavailable(
            "no_upstream",
            "no upstream takes the request now; come back",
        ))
    }

    pub(super) fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    pub(super) fn call(&self) -> &Call {
        &self.call
    }

    /// Whether a stream that breaks may go on elsewhere.
    pub(super) fn may_resume(&self) -> bool {
        let route = &self.call.route;
        route.repeat == RetryPolicy::Stream && route.resume && self.runs < route.attempts
    }

    /// The upstream at which a broken stream may go on.
    pub(super) fn next_resumption(&mut self) -> Option<Runner> {
        if self.may_resume() {
            self.next_runner()
        } else {
            None
        }
    }

    /// Lets a broken stream go on after event `after`, first at `runner`.
    pub(super) async fn resume(
        &mut self,
        mut runner: Runner,
        after: Option<u64>,
    ) -> Option<(Answer, Sent)> {
        loop {
            match self.attempt_at(&runner, after).await {
                Ended::NotRun(_) | Ended::Lost(_) => {}
                Ended::Stream(answer, work) if answer.status == StatusCode::OK => {
                    event!(
                        Info,
                        "stream_resumed",
                        request = self.call.id,
                        upstream = runner.id(),
                        after = after.map_or(-1, |after| i64::try_from(after).unwrap_or(-1))
                    );
                    return Some((*answer, work));
                }
                Ended::Whole(..) | Ended::Stream(..) => return None,
            }
            runner = self.next_runner()?;
        }
    }
}
