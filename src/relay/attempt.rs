//! Attempts of one request: chooses an upstream, sends the request, checks the response head, and
//! retries on another upstream.

use std::sync::Arc;
use std::time::Duration;

use ntex::util::Bytes;

use super::claim::OpenClaim;
use super::eligible::Eligible;
use crate::collections::Name;
use crate::engine::Attempt;
use crate::engine::AttemptError;
use crate::engine::Response;
use crate::entry::InFlight;
use crate::entry::Ran;
use crate::entry::Refusal;
use crate::entry::Worker;
use crate::log::event;
use crate::policy::load_balancing;
use crate::policy::regions::PermittedRegions;
use crate::policy::retry;
use crate::policy::retry::Execution;
use crate::state::RequestId;
use crate::state::Target;
use crate::upstream::Announcement;
use crate::upstream::Circuit;

/// Base of the attempt number in an attempt's id, which has a single digit for it. Attempts from the
/// base on would share the last digit, and responses to them could not be told apart.
const ATTEMPT_NUMBER_BASE: u32 = 36;

/// A request as it is sent, independent of the upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    pub(crate) request_id: RequestId,
    pub(crate) organisation: Name,
    /// Regions in which it may run.
    pub(crate) regions: PermittedRegions,
    pub(crate) target: Target,
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    /// Requests with the same hash prefer the same upstream, whose cache may hold their prefix.
    pub(crate) affinity_hash: Option<u64>,
    pub(crate) deadline: Duration,
    /// Whether it must not be sent again once it may have run.
    pub(crate) at_most_once: bool,
    /// Most time per attempt until the response head; the deadline applies as well.
    pub(crate) head_timeout: Duration,
}

/// The attempts of one request so far. Once a stream has started, the attempts that resume it are
/// counted anew.
pub(crate) struct Attempts<'a> {
    worker: &'a Worker,
    upstream_request: &'a UpstreamRequest,
    tried_upstreams: Vec<Name>,
    attempts_made: u32,
    may_have_run: bool,
}

/// An attempt whose response head has been received and checked.
pub(crate) struct ActiveAttempt {
    pub(crate) response: Response,
    pub(crate) in_flight: InFlight,
    /// The attempt's id, which the response must carry.
    pub(crate) id: String,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(worker: &'a Worker, upstream_request: &'a UpstreamRequest) -> Self {
        Self {
            worker,
            upstream_request,
            tried_upstreams: Vec::new(),
            attempts_made: 0,
            may_have_run: false,
        }
    }

    /// Returns the id of the first attempt. The caller sees this id whichever attempt succeeds.
    pub(crate) fn first_attempt_id(request_id: RequestId) -> String {
        Self::attempt_id(request_id, 0)
    }

    fn attempt_id(request_id: RequestId, number: u32) -> String {
        let digit = char::from_digit(number.min(ATTEMPT_NUMBER_BASE - 1), ATTEMPT_NUMBER_BASE);
        format!("{request_id}-{}", digit.unwrap_or_default())
    }

    /// Chooses an upstream on which none of these attempts has failed.
    ///
    /// # Errors
    ///
    /// No such upstream is available.
    pub(crate) fn choose_upstream(&self) -> Result<Arc<Announcement>, Refusal> {
        let shared = &self.worker.shared;
        let view = shared.view();
        let target = &self.upstream_request.target;
        let regions = self.upstream_request.regions.clone();
        let eligible = Eligible::with_regions(self.worker, &view, regions);
        let upstreams: Vec<&Arc<Announcement>> = eligible.upstreams(target).collect();
        let now = shared.now();
        let candidates: Vec<load_balancing::Candidate> = {
            let table = shared.upstreams.lock();
            upstreams
                .iter()
                .map(|announced| table.candidate(announced, &shared.info.data_centre, now))
                .collect()
        };
        let affinity_hash = self.upstream_request.affinity_hash;
        let chosen = {
            let mut rng = self.worker.rng.borrow_mut();
            load_balancing::choose(&candidates, affinity_hash, &self.tried_upstreams, &mut rng)
        };
        chosen
            .map(|i| upstreams[i].clone())
            .ok_or_else(|| eligible.refusal(target).ran(self.ran()))
    }

    fn has_open_circuit(&self, upstream: &Announcement) -> bool {
        let shared = &self.worker.shared;
        let now = shared.now();
        let table = shared.upstreams.lock();
        let candidate = table.candidate(upstream, &shared.info.data_centre, now);
        candidate.circuit == Circuit::Open
    }

    /// Makes attempts, the first of them on `upstream`, until one returns a usable response head.
    /// With `resume_at`, the engine continues after that many tokens.
    ///
    /// # Errors
    ///
    /// No retry is allowed, no further upstream is available, the lease has expired, or the version
    /// was withdrawn.
    pub(crate) async fn send(
        &mut self,
        claim: &mut OpenClaim,
        upstream: Arc<Announcement>,
        resume_at: Option<u64>,
    ) -> Result<ActiveAttempt, Refusal> {
        let mut upstream = upstream;
        loop {
            // The evacuation may have begun, or the circuit opened, while the claim was made durable.
            // Another choice is not a retry: nothing has been sent.
            if self.worker.shared.view().is_evacuated(&upstream) {
                upstream = self.choose_upstream()?;
            } else if self.has_open_circuit(&upstream)
                && let Ok(other) = self.choose_upstream()
            {
                upstream = other;
            }
            claim.set_upstream(&upstream.id);
            let (reason, execution) = match self.attempt(claim, upstream.clone(), resume_at).await?
            {
                Ok(active) => return Ok(active),
                Err(failed) => failed,
            };
            event!(
                Warn,
                "attempt_failed",
                request = self.upstream_request.request_id,
                upstream = upstream.id,
                reason = reason
            );
            self.record_failure(&upstream.id, execution, reason)?;
            upstream = self.choose_upstream()?;
        }
    }

    /// Cancels an attempt whose response has failed, of which the caller has nothing, and makes another
    /// one on another upstream.
    ///
    /// # Errors
    ///
    /// As of [`Self::send`].
    pub(crate) async fn replace(
        &mut self,
        claim: &mut OpenClaim,
        mut failed: ActiveAttempt,
        reason: &str,
    ) -> Result<ActiveAttempt, Refusal> {
        failed.in_flight.record_failure();
        let upstream = failed.in_flight.upstream.id.clone();
        drop(failed);
        event!(
            Warn,
            "attempt_failed",
            request = self.upstream_request.request_id,
            upstream = upstream,
            reason = reason
        );
        self.record_failure(&upstream, Execution::MaybeStarted, reason)?;
        let next = self.choose_upstream()?;
        self.send(claim, next, None).await
    }

    /// Records a failed attempt.
    ///
    /// # Errors
    ///
    /// The request can't be retried, or the organisation's retry budget is spent.
    pub(crate) fn record_failure(
        &mut self,
        upstream: &Name,
        execution: Execution,
        reason: &str,
    ) -> Result<(), Refusal> {
        self.tried_upstreams.push(upstream.clone());
        self.may_have_run |= execution == Execution::MaybeStarted;
        let shared = &self.worker.shared;
        let failed = retry::FailedAttempt {
            attempts: self.attempts_made,
            execution,
            at_most_once: self.upstream_request.at_most_once,
            time_left: self.upstream_request.deadline.saturating_sub(shared.now()),
        };
        if retry::may_retry(&failed) && shared.spend_retry(&self.upstream_request.organisation) {
            shared.metrics.add_to_counter("daisyquay_retries", 1, &[]);
            return Ok(());
        }
        let message = format!("the upstream failed ({reason}); retry the request");
        Err(Refusal::unavailable("upstream_failed", message).ran(self.ran()))
    }

    fn ran(&self) -> Ran {
        if self.may_have_run {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// Makes one attempt. The outer error ends the request; a retry may follow the inner one.
    async fn attempt(
        &mut self,
        claim: &mut OpenClaim,
        upstream: Arc<Announcement>,
        resume_at: Option<u64>,
    ) -> Result<Result<ActiveAttempt, (&'static str, Execution)>, Refusal> {
        let shared = &self.worker.shared;
        let upstream_request = self.upstream_request;
        let id = Self::attempt_id(upstream_request.request_id, claim.next_attempt_number());
        let left = upstream_request.deadline.saturating_sub(shared.now());
        let attempt = Attempt {
            address: upstream.address,
            id: id.clone(),
            method: upstream_request.method.clone(),
            path: upstream_request.path.clone(),
            content_type: upstream_request.content_type.clone(),
            body: upstream_request.body.clone(),
            resume_at,
            head_timeout: left.min(upstream_request.head_timeout),
        };
        self.check_may_start()?;
        if self.attempts_made == 0 {
            shared.earn_retry(&upstream_request.organisation);
        }
        self.attempts_made += 1;
        claim.maybe_sent = true;
        let mut in_flight = InFlight::start(shared, upstream);
        let failure = match self.worker.engine.send(attempt).await {
            Ok(response) => match response_fault(&response, &id, upstream_request) {
                None => {
                    return Ok(Ok(ActiveAttempt {
                        response,
                        in_flight,
                        id,
                    }));
                }
                Some(reason) => (reason, Execution::MaybeStarted),
            },
            Err(e @ AttemptError::NotSent) => {
                // This attempt didn't reach its upstream; an earlier one may have.
                claim.maybe_sent = self.may_have_run;
                (e.reason(), Execution::NotStarted)
            }
            Err(e @ AttemptError::Failed(_)) => (e.reason(), Execution::MaybeStarted),
        };
        in_flight.record_failure();
        Ok(Err(failure))
    }

    /// Checks right before sending that the lease is live and the version accepts new requests.
    fn check_may_start(&self) -> Result<(), Refusal> {
        let shared = &self.worker.shared;
        let may_start = match &self.upstream_request.target {
            Target::Version(version) => shared.may_start(version),
            Target::Service(_) => shared.lease_is_live(),
        };
        if may_start {
            return Ok(());
        }
        let message = "this entry may not start the request: its lease has expired or the version \
                       was withdrawn; retry the request";
        Err(Refusal::unavailable("no_lease", message).ran(self.ran()))
    }
}

/// Returns what is wrong with a response head, or `None` if it is usable.
fn response_fault(
    response: &Response,
    id: &str,
    upstream_request: &UpstreamRequest,
) -> Option<&'static str> {
    // Engines always echo the attempt's id; plain services may not know the header.
    let must_echo = matches!(upstream_request.target, Target::Version(_));
    let mismatched = match &response.attempt_id {
        Some(echoed) => echoed != id,
        None => must_echo,
    };
    if mismatched {
        return Some("the response belongs to another request");
    }
    // The response to an at-most-once call goes to the caller as it is, errors included.
    let overloaded = response.status >= 500 || response.status == 429;
    (overloaded && !upstream_request.at_most_once)
        .then_some("the upstream returned an error status")
}
