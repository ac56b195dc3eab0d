//! Operators' changes.
//!
//! A change is idempotent by its id and can require an expected revision. It is recorded in the
//! audit trail, which stores the text of the change and of a refusal.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::codec;
use crate::collections::Name;
use crate::config::Inventory;
use crate::config::VersionName;
use crate::state::AuditRecord;
use crate::state::Document;
use crate::state::State;
use crate::state::tables::ChangeRecord;

/// Changes whose outcome is kept to answer retries: a week at 1,400 changes a day.
const CHANGE_RECORD_LIMIT: usize = 10_000;

/// Records of the audit trail that are kept.
const AUDIT_RECORD_LIMIT: usize = 50_000;

/// Most data centres that may be evacuated at the same time.
pub const EVACUATED_LIMIT: usize = 256;

/// Longest name of a data centre, in characters.
const DATA_CENTRE_NAME_LIMIT: usize = 64;

/// Change that an operator can request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// Replaces the inventory.
    Apply(Arc<Inventory>),
    /// Replaces the inventory and the numbered document that it was read from. A document whose
    /// number is not higher than the current one's is accepted and changes nothing but the
    /// revision.
    Load {
        /// Inventory read from the document.
        inventory: Arc<Inventory>,
        /// Document as the operator sent it.
        document: Document,
    },
    /// Starts the rollout of a service's new release.
    ReleaseStart {
        /// Service.
        service: Name,
        /// New release.
        target: Name,
        /// Planned duration of the whole rollout, in milliseconds.
        period_ms: u64,
    },
    /// Starts the rollout of a model version.
    RolloutStart {
        /// New version.
        version: VersionName,
        /// Share of new sessions at each stage: over 0, up to 1, strictly increasing.
        stages: Vec<f64>,
    },
    /// Pauses the rollout of a version.
    RolloutPause(VersionName),
    /// Resumes a paused or halted rollout, and lifts the withdrawal of the version if there is one.
    RolloutResume(VersionName),
    /// Withdraws a version and halts its rollout.
    Withdraw(VersionName),
    /// Starts or ends the draining of an entry VM.
    Drain {
        /// Entry VM.
        vm: Name,
        /// Whether the VM drains; false puts it back into service.
        draining: bool,
    },
    /// Starts or ends the evacuation of a data centre. An order that changes nothing is accepted
    /// and makes no new revision.
    Evacuate {
        /// Data centre.
        data_centre: Name,
        /// Whether it is evacuated; false puts it back into service.
        active: bool,
        /// Value of [`State::evacuation_orders`] that the order requires, so that a late copy does
        /// not undo an order accepted since; `None` for any.
        expected_orders: Option<u64>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Apply(inventory) => write!(
                f,
                "apply organisations={} models={} services={}",
                inventory.organisations.len(),
                inventory.models.len(),
                inventory.services.len()
            ),
            Self::Load { document, .. } => write!(f, "load number={}", document.number),
            Self::ReleaseStart {
                service,
                target,
                period_ms,
            } => write!(f, "release {service} to {target} in {period_ms} ms"),
            Self::RolloutStart { version, stages } => {
                write!(f, "rollout start {version} stages={stages:?}")
            }
            Self::RolloutPause(version) => write!(f, "rollout pause {version}"),
            Self::RolloutResume(version) => write!(f, "rollout resume {version}"),
            Self::Withdraw(version) => write!(f, "rollout withdraw {version}"),
            Self::Drain { vm, draining: true } => write!(f, "drain {vm}"),
            Self::Drain { vm, .. } => write!(f, "drain {vm} --undo"),
            Self::Evacuate {
                data_centre,
                active,
                ..
            } => {
                let action = if *active { "begin" } else { "finish" };
                write!(f, "evacuate {action} {data_centre}")
            }
        }
    }
}

/// A change with its id, its author and the revision that it expects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// Id by which a retry is recognised.
    pub change_id: Name,
    /// Operator who sent the change.
    pub who: Name,
    /// Revision that must be current for the change to be applied; `None` for any.
    pub expected_revision: Option<u64>,
    /// Change to apply.
    pub change: Change,
}

/// Result of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change was applied.
    Accepted {
        /// Revision that the change made, or the current one if it changed nothing.
        revision: u64,
    },
    /// The expected revision is not the current one.
    Conflict {
        /// Current revision.
        revision: u64,
        /// Id of the change that made it; `none` if no change has been applied.
        winner: Name,
    },
    /// The change can't be applied.
    Refused {
        /// Reason, and what the operator can do about it.
        reason: Name,
    },
    /// Another evacuation order was accepted before this one, which had no effect and may be sent
    /// again under the same id.
    EvacuationConflict {
        /// Current value of [`State::evacuation_orders`].
        orders: u64,
    },
}

impl ChangeRequest {
    /// Returns a digest of all but the id, by which another change under the same id is recognised.
    /// The expected number of evacuation orders is left out: an order that is sent again is bound to
    /// the number that is current then.
    pub(crate) fn digest(&self) -> u32 {
        let mut change = self.change.clone();
        if let Change::Evacuate {
            expected_orders, ..
        } = &mut change
        {
            *expected_orders = None;
        }
        crc32fast::hash(&codec::encode(&(
            &self.who,
            self.expected_revision,
            &change,
        )))
    }
}

impl State {
    /// Returns the outcome for a change whose id was used before; `None` for a new one. A change
    /// other than the first under that id is refused.
    pub(crate) fn recorded_outcome(&self, change_id: &Name, digest: u32) -> Option<ChangeOutcome> {
        let record = self.changes.get(change_id)?;
        if record.digest == digest {
            return Some(record.outcome.clone());
        }
        let reason = "this change id was used for another change; choose a new --change-id";
        Some(ChangeOutcome::Refused {
            reason: reason.into(),
        })
    }

    pub(super) fn apply_change_request(
        &mut self,
        request: ChangeRequest,
        at_ms: u64,
    ) -> ChangeOutcome {
        let digest = request.digest();
        if let Some(outcome) = self.recorded_outcome(&request.change_id, digest) {
            return outcome;
        }
        let what: Name = request.change.to_string().into();
        let outcome = self.execute(&request, at_ms);
        // The order is not decided yet: its sender goes on under the same id.
        if !matches!(outcome, ChangeOutcome::EvacuationConflict { .. }) {
            self.store_outcome(&request.change_id, digest, &outcome);
        }
        self.add_audit_record(at_ms, request.who, request.change_id, what, &outcome);
        outcome
    }

    /// Applies the change if the revision and the number of evacuation orders are the expected ones.
    fn execute(&mut self, request: &ChangeRequest, at_ms: u64) -> ChangeOutcome {
        if let Some(expected) = request.expected_revision
            && expected != self.revision
        {
            return ChangeOutcome::Conflict {
                revision: self.revision,
                winner: self
                    .revision_change_id
                    .clone()
                    .unwrap_or_else(|| "none".into()),
            };
        }
        if let Change::Evacuate {
            expected_orders: Some(expected),
            ..
        } = request.change
            && expected != self.evacuation_orders
        {
            return ChangeOutcome::EvacuationConflict {
                orders: self.evacuation_orders,
            };
        }
        match self.apply_change(&request.change, at_ms) {
            Ok(is_new) => {
                if is_new {
                    self.increment_revision(&request.change_id);
                }
                ChangeOutcome::Accepted {
                    revision: self.revision,
                }
            }
            Err(reason) => ChangeOutcome::Refused {
                reason: reason.into(),
            },
        }
    }

    /// Applies a change and returns whether it makes a new revision.
    fn apply_change(&mut self, change: &Change, at_ms: u64) -> Result<bool, String> {
        match change {
            Change::Apply(inventory) => {
                self.replace_inventory(inventory.clone())?;
                self.document = None;
            }
            Change::Load {
                inventory,
                document,
            } => self.replace_document(inventory, document)?,
            Change::ReleaseStart {
                service,
                target,
                period_ms,
            } => self
                .releases
                .start_rollout(service, target, *period_ms, at_ms)?,
            Change::RolloutStart { version, stages } => self.start_rollout(version, stages)?,
            Change::RolloutPause(version) => self.pause_rollout(version)?,
            Change::RolloutResume(version) => self.resume_rollout(version)?,
            Change::Withdraw(version) => self.withdraw(version)?,
            Change::Drain { vm, draining: true } => {
                self.draining.insert(vm.clone());
            }
            Change::Drain { vm, .. } => {
                self.draining.remove(vm);
            }
            Change::Evacuate {
                data_centre,
                active,
                ..
            } => {
                let is_new = self.set_evacuated(data_centre, *active)?;
                self.evacuation_orders += 1;
                return Ok(is_new);
            }
        }
        Ok(true)
    }

    /// Starts or ends an evacuation and returns whether that changed anything.
    fn set_evacuated(&mut self, data_centre: &Name, active: bool) -> Result<bool, String> {
        let length = data_centre.chars().count();
        if !(1..=DATA_CENTRE_NAME_LIMIT).contains(&length) {
            return Err(format!(
                "the name of a data centre has 1 to {DATA_CENTRE_NAME_LIMIT} characters; write \
                 one that `daisyquay show upstreams` lists"
            ));
        }
        if !active {
            return Ok(self.evacuated.remove(data_centre));
        }
        if self.evacuated.contains(data_centre) {
            return Ok(false);
        }
        if self.evacuated.len() >= EVACUATED_LIMIT {
            return Err(format!(
                "{EVACUATED_LIMIT} data centres are evacuated already; finish one with `daisyquay \
                 evacuate finish DATA_CENTRE`"
            ));
        }
        Ok(self.evacuated.insert(data_centre.clone()))
    }

    fn replace_inventory(&mut self, inventory: Arc<Inventory>) -> Result<(), String> {
        for rollout in self.rollouts.values() {
            if rollout.is_open() && inventory.version(&rollout.version).is_none() {
                return Err(format!(
                    "a roll-out of {0} is open and the file lacks that version; withdraw it first \
                     with `daisyquay rollout withdraw {0}`",
                    rollout.version
                ));
            }
        }
        self.withdrawn
            .retain(|name| inventory.version(name).is_some());
        self.rollouts
            .retain(|_, rollout| inventory.version(&rollout.version).is_some());
        self.inventory = inventory;
        Ok(())
    }

    fn replace_document(
        &mut self,
        inventory: &Arc<Inventory>,
        document: &Document,
    ) -> Result<(), String> {
        let current = self.document.as_ref().map(|current| current.number);
        if current.is_some_and(|current| document.number <= current) {
            return Ok(());
        }
        self.replace_inventory(inventory.clone())?;
        self.document = Some(document.clone());
        Ok(())
    }

    /// Starts a new revision, made by the change of that id.
    pub(super) fn increment_revision(&mut self, change_id: &Name) {
        self.revision += 1;
        self.revision_change_id = Some(change_id.clone());
    }

    fn store_outcome(&mut self, id: &Name, digest: u32, outcome: &ChangeOutcome) {
        let record = ChangeRecord {
            digest,
            outcome: outcome.clone(),
        };
        self.changes.insert(id.clone(), record);
        self.change_order.push_back(id.clone());
        if self.change_order.len() > CHANGE_RECORD_LIMIT
            && let Some(oldest) = self.change_order.pop_front()
        {
            self.changes.remove(&oldest);
        }
    }

    /// Appends a record to the audit trail and drops the oldest one beyond the limit.
    pub(super) fn add_audit_record(
        &mut self,
        at_ms: u64,
        who: Name,
        change_id: Name,
        what: Name,
        outcome: &ChangeOutcome,
    ) {
        self.audit_seq += 1;
        self.audit.push_back(AuditRecord {
            seq: self.audit_seq,
            at_ms,
            who,
            change_id,
            what,
            revision: self.revision,
            outcome: outcome.clone(),
        });
        if self.audit.len() > AUDIT_RECORD_LIMIT {
            self.audit.pop_front();
        }
    }
}
