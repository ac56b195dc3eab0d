//! Changes that operators send without an id.
//!
//! Their id derives from their words, so that a repetition has the id of the first one. The same
//! words may later be a change of its own, under the next id of the same series: the derived id, then
//! the derived id with a number. Replicas tell such changes apart by their id alone, so replicas of
//! earlier builds apply them in the same way.

use super::State;
use super::command::Change;
use super::command::ChangeOutcome;
use super::command::ChangeRequest;
use super::command::Op;
use super::releases::Stage;
use crate::collections::Name;
use crate::policy::placement::stable_hash;

/// Period of the rollout that is put between two rollouts to the same release, in milliseconds. It is
/// short in case that the command which ends it is lost.
const SUPERSEDING_PERIOD_MS: u64 = 1;

impl Change {
    /// Returns the id that a change without one gets from its words; `None` for changes that must
    /// have an id.
    pub fn derived_id(&self) -> Option<Name> {
        match self {
            Self::Load { document, .. } => {
                let (number, hash) = (document.number, stable_hash(&document.text));
                Some(format!("load-{number}-{hash:016x}").into())
            }
            Self::ReleaseStart {
                service, target, ..
            } => Some(format!("release-{service}-{target}").into()),
            _ => None,
        }
    }
}

/// A change that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedChange {
    /// Its id.
    pub id: Name,
    /// Revision that it made, or that was current if it changed nothing.
    pub revision: u64,
    /// Time of its proposal by the leader's wall clock, in milliseconds since the Unix epoch; `None`
    /// where the audit trail no longer has it.
    pub at_ms: Option<u64>,
}

impl State {
    /// Returns the latest accepted change of the series of `request` that has the same words.
    pub fn latest_in_same_words(&self, request: &ChangeRequest) -> Option<AcceptedChange> {
        let digest = request.digest();
        let in_series = |id: &&Name| {
            let number = id.strip_prefix(&*request.change_id);
            number.is_some_and(|number| number.is_empty() || number.starts_with('#'))
        };
        let ids = self.change_order.iter().rev().filter(in_series);
        let (id, revision) = ids.into_iter().find_map(|id| {
            let record = self.changes.get(id).filter(|row| row.digest == digest)?;
            match record.outcome {
                ChangeOutcome::Accepted { revision } => Some((id, revision)),
                _ => None,
            }
        })?;
        let mut audit = self.audit.iter().rev();
        let row = audit.find(|row| {
            row.change_id == *id && matches!(row.outcome, ChangeOutcome::Accepted { .. })
        });
        Some(AcceptedChange {
            id: id.clone(),
            revision,
            at_ms: row.map(|row| row.at_ms),
        })
    }

    /// Returns the first unused id of a series.
    fn unused_id(&self, series: &Name) -> Name {
        if !self.changes.contains_key(series) {
            return series.clone();
        }
        let mut ids = (1_u64..).map(|number| Name::from(format!("{series}#{number}")));
        ids.find(|id| !self.changes.contains_key(id))
            .unwrap_or_else(|| series.clone())
    }

    /// Returns why `request`, which came without an id, can't be applied as a change of its own now;
    /// `None` if it can. The reason holds only for now and is not recorded, as an id keeps its first
    /// outcome.
    pub fn refusal_of_unnamed(&self, request: &ChangeRequest) -> Option<String> {
        let Change::ReleaseStart {
            service,
            target,
            period_ms,
        } = &request.change
        else {
            return None;
        };
        if let Some(reason) = self.releases.rollout_refusal(service, target, *period_ms) {
            return Some(reason);
        }
        let active = self.releases.get(service)?.active_rollout()?;
        (active.period_ms != *period_ms).then(|| {
            format!(
                "a roll-out of {service} to {target} in {} ms is under way; wait until it has ended",
                active.period_ms
            )
        })
    }

    /// Returns the commands that apply `request`, whose change id is the derived one, as a change of
    /// its own; `request` itself is the one at the returned position.
    pub fn commands_of_unnamed(&self, mut request: ChangeRequest) -> (Vec<Op>, usize) {
        request.change_id = self.unused_id(&request.change_id);
        let Change::ReleaseStart {
            service, target, ..
        } = &request.change
        else {
            return (vec![Op::Change(request)], 0);
        };
        let releases = self.releases.get(service);
        let stable = releases.and_then(|releases| releases.stable.as_ref());
        let latest = releases.and_then(|releases| releases.rollout.as_ref());
        let is_stable = stable == Some(target);
        let set_stage = |target: &Name, stage| Op::SetReleaseStage {
            service: service.clone(),
            target: target.clone(),
            stage,
        };
        let mut commands = Vec::new();
        if latest
            .is_some_and(|latest| latest.target == *target && latest.stage == Stage::RolledBack)
        {
            // The state ignores a rollout to the target of the latest one, also after that has
            // ended. So a rollout to another release, which ends at once, is put in between.
            let between = stable.filter(|_| !is_stable).cloned();
            let between = between.unwrap_or_else(|| format!("not-{target}").into());
            commands.push(Op::Change(ChangeRequest {
                change_id: format!("{}/supersede", request.change_id).into(),
                change: Change::ReleaseStart {
                    service: service.clone(),
                    target: between.clone(),
                    period_ms: SUPERSEDING_PERIOD_MS,
                },
                ..request.clone()
            }));
            commands.push(set_stage(&between, Stage::RolledBack));
        }
        // The release that has the traffic needs no stages, in which it would get a share only.
        let completion = is_stable.then(|| set_stage(target, Stage::Complete));
        let position = commands.len();
        commands.push(Op::Change(request));
        commands.extend(completion);
        (commands, position)
    }
}
