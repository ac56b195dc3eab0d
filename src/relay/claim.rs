//! A claim on its way from dispatch to settlement. Dropping it settles or releases it, so that no
//! path can forget.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::ask::Ask;
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

/// Time in which a claim must become durable.
const CLAIM_LIMIT: Duration = Duration::from_secs(5);

/// What a claim's outcome means for the request.
pub(crate) enum Verdict {
    /// It may run.
    Run,
    /// The version's exposure budget is spent.
    OverBudget,
}

/// A claim that is not settled yet.
pub(crate) struct OpenClaim {
    shared: Arc<Shared>,
    deadline: Duration,
    request: RequestId,
    outcome: Option<oneshot::Receiver<LedgerOutcome>>,
    upstream: Name,
    /// Whether the request may have reached an upstream.
    pub(crate) sent: bool,
    pub(crate) tokens_in: u64,
    pub(crate) tokens_out: u64,
    pub(crate) first: Duration,
    earlier: Vec<CascadeStep>,
    kept: Option<Target>,
    done: bool,
}

impl OpenClaim {
    /// Sends the claim on its way.
    pub(crate) fn open(shared: &Arc<Shared>, claim: Claim, deadline: Duration) -> Self {
        let request = claim.request;
        let upstream = claim.upstream.clone();
        Self {
            outcome: Some(shared.ledger(LedgerOp::Claim(claim))),
            shared: shared.clone(),
            deadline,
            request,
            upstream,
            sent: false,
            tokens_in: 0,
            tokens_out: 0,
            first: Duration::ZERO,
            earlier: Vec::new(),
            kept: None,
            done: false,
        }
    }

    /// A claim for a model request that first goes to `upstream`.
    pub(crate) fn for_ask(
        shared: &Arc<Shared>,
        ask: &Ask,
        version: &VersionName,
        upstream: Name,
    ) -> Self {
        let session = ask.session.as_ref();
        let claim = Claim {
            request: ask.request,
            organisation: ask.organisation.name.clone(),
            target: Target::Version(version.clone()),
            upstream,
            entry: shared.entry,
            idempotency_key: ask.key.clone(),
            session: session.map(|session| format!("{}/{session}", ask.model).into()),
            at_most_once: false,
        };
        Self::open(shared, claim, ask.deadline)
    }

    /// Waits until the claim is durable and says what it means. Later calls answer at once.
    pub(crate) async fn verdict(&mut self) -> Result<Verdict, Refusal> {
        let Some(rx) = self.outcome.take() else {
            return Ok(Verdict::Run);
        };
        let started = self.shared.now();
        let left = self.deadline.saturating_sub(started);
        let outcome = tokio::time::timeout(left.min(CLAIM_LIMIT), rx).await;
        let waited = self.shared.now().saturating_sub(started);
        let metrics = &self.shared.metrics;
        metrics.record_duration("daisyquay_claim_seconds", waited.as_secs_f64(), &[]);
        let Ok(Ok(LedgerOutcome::Claim(outcome))) = outcome else {
            let message = "the state can't be reached to record the request; ask again";
            let refusal = Refusal::unavailable("state_unreachable", message);
            return Err(refusal.ran(self.ran()));
        };
        match outcome {
            ClaimOutcome::Claimed | ClaimOutcome::Duplicate { rerun: true, .. } => Ok(Verdict::Run),
            ClaimOutcome::OverBudget => {
                self.done = true;
                Ok(Verdict::OverBudget)
            }
            refused => {
                // There is no claim to settle.
                self.done = true;
                Err(self.refusal(&refused))
            }
        }
    }

    fn refusal(&self, outcome: &ClaimOutcome) -> Refusal {
        let refusal = match outcome {
            ClaimOutcome::NotAllowed => select::not_allowed("this target"),
            ClaimOutcome::Withdrawn => select::withdrawn("this version"),
            ClaimOutcome::Duplicate { settled, .. } => return repeat(*settled),
            _ => {
                let message = "too many requests are open; ask again";
                Refusal::unavailable("ledger_full", message)
            }
        };
        refusal.ran(self.ran())
    }

    fn ran(&self) -> Ran {
        if self.sent { Ran::Unknown } else { Ran::No }
    }

    /// The request goes to another upstream than it was claimed for.
    pub(crate) fn moved(&mut self, upstream: &Name) {
        if self.upstream != *upstream {
            self.upstream = upstream.clone();
            self.shared.ledger_later(LedgerOp::Reassign {
                request: self.request,
                upstream: upstream.clone(),
            });
        }
    }

    /// What was used so far becomes an earlier leg on `before`; counting starts again on `after`.
    pub(crate) fn next_leg(&mut self, before: VersionName, after: VersionName) {
        self.kept = Some(Target::Version(after));
        self.earlier.push(CascadeStep {
            version: before,
            tokens_in: std::mem::take(&mut self.tokens_in),
            tokens_out: std::mem::take(&mut self.tokens_out),
        });
    }

    /// The request has ended.
    pub(crate) fn settle(mut self, ending: Ending) {
        self.close(ending);
    }

    fn close(&mut self, ending: Ending) {
        if std::mem::replace(&mut self.done, true) {
            return;
        }
        let op = if self.sent {
            LedgerOp::Settle(Settlement {
                request: self.request,
                tokens_in: self.tokens_in,
                tokens_out: self.tokens_out,
                ending,
                ttft_ms: u32::try_from(self.first.as_millis()).unwrap_or(u32::MAX),
                earlier_steps: std::mem::take(&mut self.earlier),
                final_target: self.kept.take(),
            })
        } else {
            LedgerOp::Release(self.request)
        };
        self.shared.ledger_later(op);
    }
}

impl Drop for OpenClaim {
    fn drop(&mut self) {
        self.close(Ending::Cancelled);
    }
}

fn repeat(settled: bool) -> Refusal {
    let (ran, message) = if settled {
        let message = "a request with this `Idempotency-Key` has run; use a new key for a new one";
        (Ran::Yes, message)
    } else {
        let message = "a request with this `Idempotency-Key` is running or may have run; ask \
                       again to learn its end";
        (Ran::Unknown, message)
    };
    let mut refusal = Refusal::new(ntex::http::StatusCode::CONFLICT, "repeated", message);
    refusal.ran = ran;
    refusal.retry_after = (!settled).then_some(Duration::from_secs(1));
    refusal
}
