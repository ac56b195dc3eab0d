//! Operators' changes: remembered by id, guarded by the expected revision, kept in the audit trail.

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

/// Changes whose answer is remembered: a week at 1,400 a day.
const REMEMBERED_CHANGES: usize = 10_000;

/// Lines of the audit trail that are kept.
const AUDIT_LINES: usize = 50_000;

/// What an operator asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// Loads an inventory.
    Apply(Arc<Inventory>),
    /// Loads an inventory with the numbered document that it was read from. A number that is not
    /// higher than the one held is accepted and changes nothing.
    Load {
        /// Inventory.
        inventory: Arc<Inventory>,
        /// Document.
        document: Document,
    },
    /// Starts to move a service's traffic to a release.
    ReleaseStart {
        /// Service.
        service: Name,
        /// Release.
        target: Name,
        /// Time in which it should be done, in milliseconds.
        period_ms: u64,
    },
    /// Starts a roll-out.
    RolloutStart {
        /// New version.
        version: VersionName,
        /// Shares of new sessions.
        stages: Vec<f64>,
    },
    /// Pauses the roll-out of a version.
    RolloutPause(VersionName),
    /// Resumes a paused or halted roll-out, or lifts a withdrawal.
    RolloutResume(VersionName),
    /// Withdraws a version.
    Withdraw(VersionName),
    /// Empties an entry VM, or lets it work again.
    Drain {
        /// Entry VM.
        vm: Name,
        /// Whether it is to be emptied.
        draining: bool,
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
        }
    }
}

/// A change with its id and guard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// Id by which a resend is known.
    pub change_id: Name,
    /// Operator.
    pub who: Name,
    /// Revision that the operator had seen, if it matters.
    pub expected_revision: Option<u64>,
    /// The change.
    pub change: Change,
}

/// What became of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// Accepted as this revision.
    Accepted {
        /// Revision.
        revision: u64,
    },
    /// The expected revision is not the current one.
    Conflict {
        /// Current revision.
        revision: u64,
        /// Change that made it.
        winner: Name,
    },
    /// Not possible.
    Refused {
        /// Why, and what to do.
        reason: Name,
    },
}

impl State {
    pub(super) fn change(&mut self, request: ChangeRequest, at_ms: u64) -> ChangeOutcome {
        let digest = crc32fast::hash(&codec::encode(&(
            &request.who,
            request.expected_revision,
            &request.change,
        )));
        if let Some(known) = self.changes.get(&request.change_id) {
            if known.digest == digest {
                return known.outcome.clone();
            }
            let reason = "this change id was used for another change; choose a new --change-id";
            return ChangeOutcome::Refused {
                reason: reason.into(),
            };
        }
        let what: Name = request.change.to_string().into();
        let outcome = self.decide(&request, at_ms);
        self.remember(&request.change_id, digest, &outcome);
        self.record(at_ms, request.who, request.change_id, what, &outcome);
        outcome
    }

    fn decide(&mut self, request: &ChangeRequest, at_ms: u64) -> ChangeOutcome {
        if let Some(expected) = request.expected_revision
            && expected != self.revision
        {
            return ChangeOutcome::Conflict {
                revision: self.revision,
                winner: self.revision_by.clone().unwrap_or_else(|| "none".into()),
            };
        }
        match self.carry_out(&request.change, at_ms) {
            Ok(()) => {
                self.revise(&request.change_id);
                ChangeOutcome::Accepted {
                    revision: self.revision,
                }
            }
            Err(reason) => ChangeOutcome::Refused {
                reason: reason.into(),
            },
        }
    }

    fn carry_out(&mut self, change: &Change, at_ms: u64) -> Result<(), String> {
        match change {
            Change::Apply(inventory) => {
                self.load(inventory.clone())?;
                self.document = None;
                Ok(())
            }
            Change::Load {
                inventory,
                document,
            } => self.load_document(inventory, document),
            Change::ReleaseStart {
                service,
                target,
                period_ms,
            } => self
                .releases
                .start_rollout(service, target, *period_ms, at_ms),
            Change::RolloutStart { version, stages } => self.start_rollout(version, stages),
            Change::RolloutPause(version) => self.pause_rollout(version),
            Change::RolloutResume(version) => self.resume_rollout(version),
            Change::Withdraw(version) => self.withdraw(version),
            Change::Drain { vm, draining: true } => {
                self.draining.insert(vm.clone());
                Ok(())
            }
            Change::Drain { vm, .. } => {
                self.draining.remove(vm);
                Ok(())
            }
        }
    }

    fn load(&mut self, inventory: Arc<Inventory>) -> Result<(), String> {
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

    fn load_document(
        &mut self,
        inventory: &Arc<Inventory>,
        document: &Document,
    ) -> Result<(), String> {
        let held = self.document.as_ref().map(|held| held.number);
        if held.is_some_and(|held| document.number <= held) {
            return Ok(());
        }
        self.load(inventory.clone())?;
        self.document = Some(document.clone());
        Ok(())
    }

    /// Makes a new revision.
    pub(super) fn revise(&mut self, by: &Name) {
        self.revision += 1;
        self.revision_by = Some(by.clone());
    }

    fn remember(&mut self, id: &Name, digest: u32, outcome: &ChangeOutcome) {
        let record = ChangeRecord {
            digest,
            outcome: outcome.clone(),
        };
        self.changes.insert(id.clone(), record);
        self.change_order.push_back(id.clone());
        if self.change_order.len() > REMEMBERED_CHANGES
            && let Some(oldest) = self.change_order.pop_front()
        {
            self.changes.remove(&oldest);
        }
    }

    /// Adds a line to the audit trail.
    pub(super) fn record(
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
        if self.audit.len() > AUDIT_LINES {
            self.audit.pop_front();
        }
    }
}
