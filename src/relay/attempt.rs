//! Attempts at one request: choose an upstream, dispatch, check the answer's head, try another.

use std::sync::Arc;
use std::time::Duration;

use ntex::util::Bytes;

use super::claim::OpenClaim;
use super::select;
use crate::collections::Name;
use crate::engine::Answer;
use crate::engine::Attempt;
use crate::engine::AttemptError;
use crate::entry::InFlight;
use crate::entry::Ran;
use crate::entry::Refusal;
use crate::entry::Worker;
use crate::log::event;
use crate::policy::load_balancing;
use crate::policy::retry;
use crate::policy::retry::Execution;
use crate::state::RequestId;
use crate::state::Target;
use crate::upstream::Announcement;

/// Attempts of one request that their ids can tell apart: one digit.
const ID_LIMIT: u32 = 9;

/// What is sent, whichever upstream takes it.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub(crate) request: RequestId,
    pub(crate) organisation: Name,
    pub(crate) target: Target,
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) affinity: Option<u64>,
    pub(crate) deadline: Duration,
    pub(crate) at_most_once: bool,
    /// Time in which the head of an answer must come, where the deadline is later.
    pub(crate) head_limit: Duration,
}

/// The attempts made so far.
pub(crate) struct Attempts<'a> {
    worker: &'a Worker,
    dispatch: &'a Dispatch,
    tried: Vec<Name>,
    made: u32,
    may_have_run: bool,
}

/// An attempt whose answer has begun.
pub(crate) struct Begun {
    pub(crate) answer: Answer,
    pub(crate) in_flight: InFlight,
    /// The attempt's id, which the answer must carry.
    pub(crate) id: String,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(worker: &'a Worker, dispatch: &'a Dispatch) -> Self {
        Self {
            worker,
            dispatch,
            tried: Vec::new(),
            made: 0,
            may_have_run: false,
        }
    }

    /// The id of the first attempt, by which the caller knows the answer.
    pub(crate) fn first_id(request: RequestId) -> String {
        format!("{request}-0")
    }

    /// Chooses an upstream that was not tried yet.
    pub(crate) fn choose(&self) -> Result<Arc<Announcement>, Refusal> {
        let shared = &self.worker.shared;
        let view = shared.view();
        let upstreams = view.upstreams(&self.dispatch.target);
        let now = shared.now();
        let candidates: Vec<load_balancing::Candidate> = {
            let runners = shared.runners.lock();
            upstreams
                .iter()
                .map(|announced| runners.candidate(announced, &shared.info.data_centre, now))
                .collect()
        };
        let mut rng = self.worker.rng.borrow_mut();
        let affinity = self.dispatch.affinity;
        load_balancing::choose(&candidates, affinity, &self.tried, &mut rng)
            .map(|i| upstreams[i].clone())
            .ok_or_else(|| {
                let refusal = select::no_upstream(&self.dispatch.target.to_string());
                refusal.ran(self.ran())
            })
    }

    /// Makes attempts until one's answer begins. The first goes to `upstream`.
    pub(crate) async fn begin(
        &mut self,
        open: &mut OpenClaim,
        upstream: Arc<Announcement>,
        resume_at: Option<u64>,
    ) -> Result<Begun, Refusal> {
        let mut upstream = upstream;
        loop {
            open.moved(&upstream.id);
            let (reason, reached) = match self.attempt(open, upstream.clone(), resume_at).await? {
                Ok(begun) => return Ok(begun),
                Err(failed) => failed,
            };
            event!(
                Warn,
                "attempt_failed",
                request = self.dispatch.request,
                upstream = upstream.id,
                reason = reason
            );
            self.fail(&upstream.id, reached, reason)?;
            upstream = self.choose()?;
        }
    }

    /// Notes a failed attempt; an error ends the request.
    pub(crate) fn fail(
        &mut self,
        upstream: &Name,
        reached: Execution,
        reason: &str,
    ) -> Result<(), Refusal> {
        self.tried.push(upstream.clone());
        self.may_have_run |= reached == Execution::MaybeStarted;
        let shared = &self.worker.shared;
        let failed = retry::FailedAttempt {
            attempts: self.made,
            execution: reached,
            at_most_once: self.dispatch.at_most_once,
            time_left: self.dispatch.deadline.saturating_sub(shared.now()),
        };
        if retry::may_retry(&failed) && shared.spend_retry(&self.dispatch.organisation) {
            shared.metrics.add_to_counter("daisyquay_retries", 1, &[]);
            return Ok(());
        }
        let message = format!("the upstream failed ({reason}); ask again");
        Err(Refusal::unavailable("upstream_failed", message).ran(self.ran()))
    }

    fn ran(&self) -> Ran {
        if self.may_have_run {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// One attempt: the outer error ends the request, the inner one lets another follow.
    async fn attempt(
        &mut self,
        open: &mut OpenClaim,
        upstream: Arc<Announcement>,
        resume_at: Option<u64>,
    ) -> Result<Result<Begun, (&'static str, Execution)>, Refusal> {
        let shared = &self.worker.shared;
        let dispatch = self.dispatch;
        let id = format!("{}-{}", dispatch.request, self.made.min(ID_LIMIT));
        let left = dispatch.deadline.saturating_sub(shared.now());
        let attempt = Attempt {
            address: upstream.address,
            id: id.clone(),
            method: dispatch.method.clone(),
            path: dispatch.path.clone(),
            content_type: dispatch.content_type.clone(),
            body: dispatch.body.clone(),
            resume_at,
            limit: left.min(dispatch.head_limit),
        };
        self.check_lease()?;
        if self.made == 0 {
            shared.earn_retry(&dispatch.organisation);
        }
        self.made += 1;
        open.sent = true;
        let mut in_flight = InFlight::start(shared, upstream);
        let failure = match self.worker.engine.start(attempt).await {
            Ok(answer) => match fault(&answer, &id, dispatch) {
                None => {
                    return Ok(Ok(Begun {
                        answer,
                        in_flight,
                        id,
                    }));
                }
                Some(reason) => (reason, Execution::MaybeStarted),
            },
            Err(AttemptError::NotSent) => {
                // Nothing of this attempt reached the upstream; what earlier ones did counts.
                open.sent = self.may_have_run;
                ("no connection", Execution::NotStarted)
            }
            Err(AttemptError::Broken(reason)) => (reason, Execution::MaybeStarted),
        };
        in_flight.failed();
        Ok(Err(failure))
    }

    /// The last look before bytes leave: the lease is live and the version takes work.
    fn check_lease(&self) -> Result<(), Refusal> {
        let shared = &self.worker.shared;
        let may_start = match &self.dispatch.target {
            Target::Version(version) => shared.may_start(version),
            Target::Service(_) => shared.lease_is_live(),
        };
        if may_start {
            return Ok(());
        }
        let message = "this entry may not start work: its lease has run out or the version was \
                       withdrawn; ask again";
        Err(Refusal::unavailable("no_lease", message).ran(self.ran()))
    }
}

/// What is wrong with an answer's head, if anything.
fn fault(answer: &Answer, id: &str, dispatch: &Dispatch) -> Option<&'static str> {
    // Engines always echo the attempt; plain services may know nothing of it.
    let echo_needed = matches!(dispatch.target, Target::Version(_));
    let crossed = match &answer.attempt {
        Some(echoed) => echoed != id,
        None => echo_needed,
    };
    if crossed {
        return Some("an answer to another request");
    }
    // What a call that must not be repeated answers is the caller's, errors included.
    let overloaded = answer.status >= 500 || answer.status == 429;
    (overloaded && !dispatch.at_most_once).then_some("an error of the upstream's")
}
