//! A request's claim in the ledger, from submission to settlement. Dropping it settles or releases
//! it, so that every code path closes it.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::request::ChatCall;
use super::select;
use crate::collections::Name;
use crate::config::VersionName;
use crate::entry::Ran;
use crate::entry::Refusal;
use crate::entry::Shared;
use crate::state::Claim;
use crate::state::RequestId;
use crate::state::Target;
use crate::state::command::CascadeStep;
use crate::state::command::ClaimOutcome;
use crate::state::command::Ending;
use crate::state::command::LedgerOp;
use crate::state::command::LedgerOutcome;
use crate::state::command::Settlement;

/// Longest wait for a claim to become durable.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// How a request proceeds after its claim.
pub(crate) enum Decision {
    /// The request may run.
    Run,
    /// The version's exposure budget is spent.
    OverBudget,
}

/// A claim that is not settled yet.
pub(crate) struct OpenClaim {
    shared: Arc<Shared>,
    deadline: Duration,
    request_id: RequestId,
    /// `None` once the outcome has been received.
    outcome_rx: Option<oneshot::Receiver<LedgerOutcome>>,
    /// The upstream that the ledger knows for this request.
    upstream: Name,
    /// Whether the request may have reached an upstream.
    pub(crate) maybe_sent: bool,
    /// Attempts so far, over all steps and resumed streams.
    attempts: u32,
    /// Prompt tokens on the current step.
    pub(crate) tokens_in: u64,
    /// Completion tokens on the current step.
    pub(crate) tokens_out: u64,
    /// Counted from the start of the attempt. For a response that is not streamed, it is the time
    /// to the whole body; for a service, the time to the response head.
    pub(crate) time_to_first_token: Duration,
    /// Completed steps of a cascade.
    earlier_steps: Vec<CascadeStep>,
    /// The version of the current step, once a cascade has moved on from its first one.
    escalated_to: Option<Target>,
    /// Whether there is nothing left to settle or release.
    is_closed: bool,
}

impl OpenClaim {
    /// Submits the claim to the ledger without waiting for the outcome.
    pub(crate) fn submit(shared: &Arc<Shared>, claim: Claim, deadline: Duration) -> Self {
        let request_id = claim.request;
        let upstream = claim.upstream.clone();
        Self {
            outcome_rx: Some(shared.submit_op(LedgerOp::Claim(claim))),
            shared: shared.clone(),
            deadline,
            request_id,
            upstream,
            maybe_sent: false,
            attempts: 0,
            tokens_in: 0,
            tokens_out: 0,
            time_to_first_token: Duration::ZERO,
            earlier_steps: Vec::new(),
            escalated_to: None,
            is_closed: false,
        }
    }

    /// Submits the claim of a chat request whose first attempt goes to `upstream`.
    pub(crate) fn submit_for_chat(
        shared: &Arc<Shared>,
        call: &ChatCall,
        version: &VersionName,
        upstream: Name,
    ) -> Self {
        let session = call.session.as_ref();
        let claim = Claim {
            request: call.request_id,
            organisation: call.organisation.name.clone(),
            target: Target::Version(version.clone()),
            upstream,
            entry: shared.entry_id,
            idempotency_key: call.idempotency_key.clone(),
            session: session.map(|session| format!("{}/{session}", call.model).into()),
            at_most_once: false,
        };
        Self::submit(shared, claim, call.deadline)
    }

    /// Waits until the claim is durable. Later calls return [`Decision::Run`] at once.
    ///
    /// # Errors
    ///
    /// The ledger refused the claim, or the state replicas did not answer in time.
    pub(crate) async fn wait_durable(&mut self) -> Result<Decision, Refusal> {
        let Some(rx) = self.outcome_rx.take() else {
            return Ok(Decision::Run);
        };
        let started = self.shared.now();
        let left = self.deadline.saturating_sub(started);
        let outcome = tokio::time::timeout(left.min(CLAIM_TIMEOUT), rx).await;
        let waited = self.shared.now().saturating_sub(started);
        let metrics = &self.shared.metrics;
        metrics.record_duration("daisyquay_claim_seconds", waited.as_secs_f64(), &[]);
        let Ok(Ok(LedgerOutcome::Claim(outcome))) = outcome else {
            let message =
                "the state replicas can't be reached to record the request; retry the request";
            let refusal = Refusal::unavailable("state_unreachable", message);
            return Err(refusal.ran(self.ran()));
        };
        match outcome {
            ClaimOutcome::Claimed | ClaimOutcome::Duplicate { rerun: true, .. } => {
                Ok(Decision::Run)
            }
            ClaimOutcome::OverBudget => {
                self.is_closed = true;
                Ok(Decision::OverBudget)
            }
            refused => {
                // The ledger holds no claim to settle.
                self.is_closed = true;
                Err(self.refusal(&refused))
            }
        }
    }

    fn refusal(&self, outcome: &ClaimOutcome) -> Refusal {
        let refusal = match outcome {
            ClaimOutcome::NotAllowed => select::not_allowed("this target"),
            ClaimOutcome::Withdrawn => select::withdrawn("this version"),
            ClaimOutcome::Duplicate { settled, .. } => return duplicate_key(*settled),
            _ => {
                let message = "too many requests are open; retry later";
                Refusal::unavailable("ledger_full", message)
            }
        };
        refusal.ran(self.ran())
    }

    fn ran(&self) -> Ran {
        if self.maybe_sent {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// Returns the number of the next attempt, from 0, which no other attempt of the request has.
    pub(crate) fn next_attempt_number(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// Updates the ledger if the request goes to another upstream than the one on record.
    pub(crate) fn set_upstream(&mut self, upstream: &Name) {
        if self.upstream != *upstream {
            self.upstream = upstream.clone();
            self.shared.submit_op_detached(LedgerOp::Reassign {
                request: self.request_id,
                upstream: upstream.clone(),
            });
        }
    }

    /// Closes the step on `before` with the tokens used so far and starts one on `after` from zero.
    pub(crate) fn start_next_step(&mut self, before: VersionName, after: VersionName) {
        self.escalated_to = Some(Target::Version(after));
        self.earlier_steps.push(CascadeStep {
            version: before,
            tokens_in: std::mem::take(&mut self.tokens_in),
            tokens_out: std::mem::take(&mut self.tokens_out),
        });
    }

    /// Settles the claim. A request that can't have reached an upstream is released instead.
    pub(crate) fn settle(mut self, ending: Ending) {
        self.close(ending);
    }

    fn close(&mut self, ending: Ending) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        let op = if self.maybe_sent {
            LedgerOp::Settle(Settlement {
                request: self.request_id,
                tokens_in: self.tokens_in,
                tokens_out: self.tokens_out,
                ending,
                ttft_ms: u32::try_from(self.time_to_first_token.as_millis()).unwrap_or(u32::MAX),
                earlier_steps: std::mem::take(&mut self.earlier_steps),
                final_target: self.escalated_to.take(),
            })
        } else {
            LedgerOp::Release(self.request_id)
        };
        self.shared.submit_op_detached(op);
    }
}

impl Drop for OpenClaim {
    fn drop(&mut self) {
        self.close(Ending::Cancelled);
    }
}

fn duplicate_key(settled: bool) -> Refusal {
    let (ran, message) = if settled {
        let message = "a request with this `Idempotency-Key` has already run; use a new key for a \
                       new request";
        (Ran::Yes, message)
    } else {
        let message = "a request with this `Idempotency-Key` is running or may have run; retry \
                       later to learn its outcome";
        (Ran::Unknown, message)
    };
    let mut refusal = Refusal::new(ntex::http::StatusCode::CONFLICT, "repeated", message);
    refusal.ran = ran;
    refusal.retry_after = (!settled).then_some(Duration::from_secs(1));
    refusal
}
