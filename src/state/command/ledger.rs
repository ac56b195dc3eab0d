//! The ledger: claim, run, settle. One claim is billed once, whoever settles it.

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;
use crate::config::Inventory;
use crate::config::VersionName;
use crate::policy::version_rollout::Sample;
use crate::state::Claim;
use crate::state::IdempotencyRecord;
use crate::state::RequestId;
use crate::state::State;
use crate::state::Target;
use crate::state::tables::OpenClaim;

/// Claims that may be open at once; more are refused until some are settled.
const OPEN_CLAIMS: usize = 1_000_000;

/// Times that a repeatable call may run again under one `Idempotency-Key` without a new bill.
const RERUN_LIMIT: u32 = 3;

/// Millionths in one price unit.
const MICRO: f64 = 1e6;

/// One step of the ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LedgerOp {
    /// Before, or for repeatable calls while, the request goes to an upstream.
    Claim(Claim),
    /// The request moved to another upstream; the reaper asks there.
    Reassign {
        /// Request.
        request: RequestId,
        /// Its new upstream.
        upstream: Name,
    },
    /// The request has ended; bills it.
    Settle(Settlement),
    /// The request provably never reached an upstream; undoes the claim.
    Release(RequestId),
    /// An answer was rated.
    Rate(Rating),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ending {
    /// With a whole answer.
    Whole,
    /// With an error of the upstream's.
    Failed,
    /// The caller went away.
    Cancelled,
    /// Its entry was lost and so was the upstream's record.
    Lost,
}

/// What a step of a cascade used before the one that was kept.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CascadeStep {
    /// Version.
    pub version: VersionName,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
}

/// What a request used.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settlement {
    /// Request.
    pub request: RequestId,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
    /// How it ended.
    pub ending: Ending,
    /// Time to the first token or byte, in milliseconds.
    pub ttft_ms: u32,
    /// Earlier steps of a cascade; the claim's own target was the first of them.
    pub earlier_steps: Vec<CascadeStep>,
    /// Target of the step that was kept, where it is not the claim's own.
    pub final_target: Option<Target>,
}

/// A rated answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rating {
    /// Version that answered.
    pub version: VersionName,
    /// Class of task.
    pub class: Name,
    /// Score, 0 to 1.
    pub score: f32,
}

/// What a claim answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The request may run.
    Claimed,
    /// The version takes no new work.
    Withdrawn,
    /// The organisation may not use the target.
    NotAllowed,
    /// The version's exposure budget is spent; use another.
    OverBudget,
    /// A request with the same key runs, or may have run.
    Duplicate {
        /// Whether the first one has ended.
        settled: bool,
        /// Whether it may run again, without a second bill.
        rerun: bool,
    },
    /// Too many claims are open.
    Full,
}

/// What a ledger step answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerOutcome {
    /// To a claim.
    Claim(ClaimOutcome),
    /// To any other step: whether it did anything.
    Done(bool),
}

impl State {
    pub(super) fn ledger(&mut self, op: LedgerOp, at_ms: u64) -> LedgerOutcome {
        match op {
            LedgerOp::Claim(claim) => LedgerOutcome::Claim(self.claim(claim, at_ms)),
            LedgerOp::Reassign { request, upstream } => {
                let open = self.claims.get_mut(&request);
                let moved = open.map(|open| open.claim.upstream = upstream);
                LedgerOutcome::Done(moved.is_some())
            }
            LedgerOp::Settle(settlement) => LedgerOutcome::Done(self.settle(&settlement, at_ms)),
            LedgerOp::Release(request) => LedgerOutcome::Done(self.release(request)),
            LedgerOp::Rate(rating) => LedgerOutcome::Done(self.rate(rating, at_ms)),
        }
    }

    fn claim(&mut self, claim: Claim, at_ms: u64) -> ClaimOutcome {
        // An entry that lost the answer sends the same claim again.
        if self.claims.contains_key(&claim.request) {
            return ClaimOutcome::Claimed;
        }
        if let Some(refusal) = self.refusal(&claim) {
            return refusal;
        }
        let mut billed = true;
        if let Some(key) = &claim.idempotency_key {
            let slot = (claim.organisation.clone(), key.clone());
            match self.idempotency_keys.get_mut(&slot) {
                None => {
                    let record = IdempotencyRecord {
                        request: claim.request,
                        settled: false,
                        reruns: 0,
                        at_ms,
                    };
                    self.idempotency_keys.insert(slot, record);
                }
                Some(known) => {
                    let rerun = known.settled && !claim.at_most_once && known.reruns < RERUN_LIMIT;
                    if !rerun {
                        return ClaimOutcome::Duplicate {
                            settled: known.settled,
                            rerun: false,
                        };
                    }
                    known.reruns += 1;
                    billed = false;
                }
            }
        }
        if let Target::Version(version) = &claim.target
            && !self.expose(version)
        {
            self.forget_key(&claim);
            return ClaimOutcome::OverBudget;
        }
        self.touch_pin(&claim, at_ms);
        let open = OpenClaim {
            claim,
            at_ms,
            billed,
        };
        self.claims.insert(open.claim.request, open);
        if billed {
            return ClaimOutcome::Claimed;
        }
        ClaimOutcome::Duplicate {
            settled: true,
            rerun: true,
        }
    }

    fn refusal(&self, claim: &Claim) -> Option<ClaimOutcome> {
        let organisation = self.inventory.organisation(&claim.organisation);
        let allowed = organisation.is_some_and(|org| match &claim.target {
            Target::Version(version) => org.allows_version(version),
            Target::Service(service) => org.allows_service(service),
        });
        if !allowed {
            return Some(ClaimOutcome::NotAllowed);
        }
        if let Target::Version(version) = &claim.target
            && !self.is_available(version)
        {
            return Some(ClaimOutcome::Withdrawn);
        }
        (self.claims.len() >= OPEN_CLAIMS).then_some(ClaimOutcome::Full)
    }

    fn forget_key(&mut self, claim: &Claim) {
        let Some(key) = &claim.idempotency_key else {
            return;
        };
        let slot = (claim.organisation.clone(), key.clone());
        if self
            .idempotency_keys
            .get(&slot)
            .is_some_and(|known| known.request == claim.request)
        {
            self.idempotency_keys.remove(&slot);
        }
    }

    fn settle(&mut self, settlement: &Settlement, at_ms: u64) -> bool {
        let Some(open) = self.claims.remove(&settlement.request) else {
            return false;
        };
        let claim = open.claim;
        if let Some(key) = &claim.idempotency_key {
            let slot = (claim.organisation.clone(), key.clone());
            if let Some(known) = self.idempotency_keys.get_mut(&slot) {
                known.settled = true;
            }
        }
        if open.billed {
            self.bill(&claim, settlement);
        }
        if let Target::Version(version) = &claim.target
            && matches!(settlement.ending, Ending::Whole | Ending::Failed)
        {
            let sample = Sample::Ended {
                failed: settlement.ending == Ending::Failed,
                ttft_ms: settlement.ttft_ms,
            };
            self.observe(version, sample, at_ms);
        }
        true
    }

    fn bill(&mut self, claim: &Claim, settlement: &Settlement) {
        for step in &settlement.earlier_steps {
            let target = Target::Version(step.version.clone());
            self.add_use(
                &claim.organisation,
                &target,
                step.tokens_in,
                step.tokens_out,
            );
        }
        let (tokens_in, tokens_out) = (settlement.tokens_in, settlement.tokens_out);
        let target = settlement.final_target.as_ref().unwrap_or(&claim.target);
        self.add_use(&claim.organisation, target, tokens_in, tokens_out);
        let slot = (claim.organisation.clone(), target.clone());
        let bill = self.bills.entry(slot).or_default();
        bill.requests += 1;
        bill.failed += u64::from(settlement.ending != Ending::Whole);
    }

    fn add_use(&mut self, organisation: &Name, target: &Target, tokens_in: u64, tokens_out: u64) {
        let cost_micro = cost_micro(&self.inventory, target, tokens_in, tokens_out);
        let slot = (organisation.clone(), target.clone());
        let bill = self.bills.entry(slot).or_default();
        bill.tokens_in += tokens_in;
        bill.tokens_out += tokens_out;
        bill.cost_micro += cost_micro;
    }

    fn release(&mut self, request: RequestId) -> bool {
        let Some(open) = self.claims.remove(&request) else {
            return false;
        };
        self.forget_key(&open.claim);
        true
    }

    fn rate(&mut self, rating: Rating, at_ms: u64) -> bool {
        let valid = (0.0..=1.0).contains(&rating.score);
        if !valid || self.inventory.version(&rating.version).is_none() {
            return false;
        }
        let score = f64::from(rating.score);
        self.quality.record(&rating.version, &rating.class, score);
        self.observe(&rating.version, Sample::Rated(score), at_ms);
        true
    }
}

fn cost_micro(inventory: &Inventory, target: &Target, tokens_in: u64, tokens_out: u64) -> u64 {
    let Target::Version(name) = target else {
        return 0;
    };
    let Some(version) = inventory.version(name) else {
        return 0;
    };
    let thousands_in = tokens_in as f64 / 1e3;
    let thousands_out = tokens_out as f64 / 1e3;
    let cost = thousands_in * version.cost_in + thousands_out * version.cost_out;
    (cost * MICRO).round() as u64
}
