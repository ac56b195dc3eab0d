//! The request ledger: a request is claimed, run and settled.
//!
//! Settling removes the claim, so that a claim is billed at most once, whether its entry or the
//! leader settles it.

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

/// Most open claims; new ones are refused until some are settled.
const OPEN_CLAIM_LIMIT: usize = 1_000_000;

/// Most reruns under one `Idempotency-Key`, which are not billed. Requests that must run at most
/// once get none.
const RERUN_LIMIT: u32 = 3;

/// Millionths in one price unit.
const MICROS_PER_UNIT: f64 = 1e6;

/// One operation of the ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LedgerOp {
    /// Claims a request: before it is sent to an upstream if it must run at most once, otherwise
    /// while it is being sent.
    Claim(Claim),
    /// Records that the request was sent to another upstream. If the entry is lost, the leader asks
    /// that upstream what the request used.
    Reassign {
        /// Request.
        request: RequestId,
        /// The new upstream.
        upstream: Name,
    },
    /// Settles and bills a request that has ended.
    Settle(Settlement),
    /// Removes the claim of a request that certainly reached no upstream, and its idempotency key
    /// if the request was the first under it.
    Release(RequestId),
    /// Records the rating of a response.
    Rate(Rating),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ending {
    /// The response is complete.
    Whole,
    /// The upstream failed.
    Failed,
    /// The caller closed the connection, or the upstream recorded an incomplete response.
    Cancelled,
    /// The entry is gone and the upstream has no record of the request; bills no tokens.
    Lost,
}

/// Usage of a cascade step whose response was discarded for that of a later step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CascadeStep {
    /// Version that ran the step.
    pub version: VersionName,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
}

/// Usage of a request that has ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settlement {
    /// Settled request.
    pub request: RequestId,
    /// Prompt tokens, without those of `earlier_steps`.
    pub tokens_in: u64,
    /// Generated tokens, without those of `earlier_steps`.
    pub tokens_out: u64,
    /// How it ended.
    pub ending: Ending,
    /// Time to the first token or byte, in milliseconds; 0 if the leader settles the request.
    pub ttft_ms: u32,
    /// Discarded steps of a cascade, the first of them on the claim's target.
    pub earlier_steps: Vec<CascadeStep>,
    /// Target of the last cascade step; `None` for the claim's target.
    pub final_target: Option<Target>,
}

/// Rating of a response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rating {
    /// Version that generated the response.
    pub version: VersionName,
    /// Task class of the request.
    pub class: Name,
    /// Score, 0 to 1.
    pub score: f32,
}

/// Result of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The request may run.
    Claimed,
    /// The version is withdrawn.
    Withdrawn,
    /// The organisation may not use the target.
    NotAllowed,
    /// The exposure budget of the version's rollout is spent; another version must be used.
    OverBudget,
    /// The idempotency key was used before: its request is running or may have run.
    Duplicate {
        /// Whether the key's request has been settled.
        settled: bool,
        /// Whether this request may run, without being billed.
        rerun: bool,
    },
    /// The limit of open claims is reached.
    Full,
}

/// Result of a ledger operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerOutcome {
    /// Result of a claim.
    Claim(ClaimOutcome),
    /// Any other operation: whether it changed anything.
    Done(bool),
}

impl State {
    pub(super) fn apply_ledger_op(&mut self, op: LedgerOp, at_ms: u64) -> LedgerOutcome {
        match op {
            LedgerOp::Claim(claim) => LedgerOutcome::Claim(self.open_claim(claim, at_ms)),
            LedgerOp::Reassign { request, upstream } => {
                let open = self.claims.get_mut(&request);
                let moved = open.map(|open| open.claim.upstream = upstream);
                LedgerOutcome::Done(moved.is_some())
            }
            LedgerOp::Settle(settlement) => LedgerOutcome::Done(self.settle(&settlement, at_ms)),
            LedgerOp::Release(request) => LedgerOutcome::Done(self.release(request)),
            LedgerOp::Rate(rating) => LedgerOutcome::Done(self.record_rating(rating, at_ms)),
        }
    }

    fn open_claim(&mut self, claim: Claim, at_ms: u64) -> ClaimOutcome {
        // A retry by an entry that didn't receive the outcome.
        if self.claims.contains_key(&claim.request) {
            return ClaimOutcome::Claimed;
        }
        if let Some(refusal) = self.refusal(&claim) {
            return refusal;
        }
        let mut billed = true;
        if let Some(key) = &claim.idempotency_key {
            let record_key = (claim.organisation.clone(), key.clone());
            match self.idempotency_keys.get_mut(&record_key) {
                None => {
                    let record = IdempotencyRecord {
                        request: claim.request,
                        settled: false,
                        reruns: 0,
                        at_ms,
                    };
                    self.idempotency_keys.insert(record_key, record);
                }
                Some(record) => {
                    let rerun =
                        record.settled && !claim.at_most_once && record.reruns < RERUN_LIMIT;
                    if !rerun {
                        return ClaimOutcome::Duplicate {
                            settled: record.settled,
                            rerun: false,
                        };
                    }
                    record.reruns += 1;
                    billed = false;
                }
            }
        }
        if let Target::Version(version) = &claim.target
            && !self.try_expose(version)
        {
            self.remove_idempotency_key(&claim);
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
        (self.claims.len() >= OPEN_CLAIM_LIMIT).then_some(ClaimOutcome::Full)
    }

    fn remove_idempotency_key(&mut self, claim: &Claim) {
        let Some(key) = &claim.idempotency_key else {
            return;
        };
        let record_key = (claim.organisation.clone(), key.clone());
        if self
            .idempotency_keys
            .get(&record_key)
            .is_some_and(|record| record.request == claim.request)
        {
            self.idempotency_keys.remove(&record_key);
        }
    }

    fn settle(&mut self, settlement: &Settlement, at_ms: u64) -> bool {
        let Some(open) = self.claims.remove(&settlement.request) else {
            return false;
        };
        let claim = open.claim;
        if let Some(key) = &claim.idempotency_key {
            let record_key = (claim.organisation.clone(), key.clone());
            if let Some(record) = self.idempotency_keys.get_mut(&record_key) {
                record.settled = true;
            }
        }
        if open.billed {
            self.add_to_bill(&claim, settlement);
        }
        if let Target::Version(version) = &claim.target
            && matches!(settlement.ending, Ending::Whole | Ending::Failed)
        {
            let sample = Sample::Ended {
                failed: settlement.ending == Ending::Failed,
                ttft_ms: settlement.ttft_ms,
            };
            self.record_sample(version, sample, at_ms);
        }
        true
    }

    fn add_to_bill(&mut self, claim: &Claim, settlement: &Settlement) {
        for step in &settlement.earlier_steps {
            let target = Target::Version(step.version.clone());
            self.add_usage(
                &claim.organisation,
                &target,
                step.tokens_in,
                step.tokens_out,
            );
        }
        let (tokens_in, tokens_out) = (settlement.tokens_in, settlement.tokens_out);
        let target = settlement.final_target.as_ref().unwrap_or(&claim.target);
        self.add_usage(&claim.organisation, target, tokens_in, tokens_out);
        let bill_key = (claim.organisation.clone(), target.clone());
        let bill = self.bills.entry(bill_key).or_default();
        bill.requests += 1;
        bill.failed += u64::from(settlement.ending != Ending::Whole);
    }

    fn add_usage(&mut self, organisation: &Name, target: &Target, tokens_in: u64, tokens_out: u64) {
        let cost_micro = cost_micro(&self.inventory, target, tokens_in, tokens_out);
        let bill_key = (organisation.clone(), target.clone());
        let bill = self.bills.entry(bill_key).or_default();
        bill.tokens_in += tokens_in;
        bill.tokens_out += tokens_out;
        bill.cost_micro += cost_micro;
    }

    fn release(&mut self, request: RequestId) -> bool {
        let Some(open) = self.claims.remove(&request) else {
            return false;
        };
        self.remove_idempotency_key(&open.claim);
        true
    }

    fn record_rating(&mut self, rating: Rating, at_ms: u64) -> bool {
        let valid = (0.0..=1.0).contains(&rating.score);
        if !valid || self.inventory.version(&rating.version).is_none() {
            return false;
        }
        let score = f64::from(rating.score);
        self.quality.record(&rating.version, &rating.class, score);
        self.record_sample(&rating.version, Sample::Rated(score), at_ms);
        true
    }
}

/// Returns the cost in millionths of the price unit; 0 for plain services and unknown versions.
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
    (cost * MICROS_PER_UNIT).round() as u64
}
