//! Rollouts of model versions, and the guard that halts or advances them.
//!
//! The guard runs inside the state machine, so that no separate controller can fail over halfway
//! through a decision: every replica reaches the same verdict at the same log index.

use crate::collections::Name;
use crate::config::VersionName;
use crate::config::VersionState;
use crate::policy::version_rollout::Sample;
use crate::policy::version_rollout::Verdict;
use crate::policy::version_rollout::evaluate;
use crate::state::Rollout;
use crate::state::RolloutState;
use crate::state::State;
use crate::state::command::ChangeOutcome;

/// Most stages of a rollout.
const STAGE_LIMIT: usize = 32;

impl Rollout {
    /// Whether the rollout is running or paused.
    pub fn is_open(&self) -> bool {
        matches!(self.state, RolloutState::Running | RolloutState::Paused)
    }
}

impl State {
    pub(super) fn start_rollout(
        &mut self,
        version: &VersionName,
        stages: &[f64],
    ) -> Result<(), String> {
        self.require_version(version)?;
        if !self.is_available(version) {
            return Err(format!(
                "{version} is withdrawn; lift that first with `daisyquay rollout resume {version}`"
            ));
        }
        if let Some(open) = self.rollouts.get(&version.model).filter(|r| r.is_open()) {
            return Err(format!(
                "a roll-out of {} is open; withdraw it or let it end first",
                open.version
            ));
        }
        let rising = stages.windows(2).all(|pair| pair[0] < pair[1]);
        let valid = stages
            .iter()
            .all(|share| (0.0..=1.0).contains(share) && *share > 0.0);
        if stages.is_empty() || stages.len() > STAGE_LIMIT || !rising || !valid {
            return Err("stages are 1 to 32 rising shares over 0 and up to 1; \
                        write for example --stages 0.01,0.1,0.5,1"
                .to_owned());
        }
        let rollout = Rollout {
            version: version.clone(),
            stages: stages.to_vec(),
            stage: 0,
            state: RolloutState::Running,
            exposed: 0,
            exposed_at_stage: 0,
            evidence: Default::default(),
        };
        self.rollouts.insert(version.model.clone(), rollout);
        Ok(())
    }

    pub(super) fn pause_rollout(&mut self, version: &VersionName) -> Result<(), String> {
        let rollout = self.open_rollout(version)?;
        rollout.state = RolloutState::Paused;
        Ok(())
    }

    pub(super) fn resume_rollout(&mut self, version: &VersionName) -> Result<(), String> {
        self.require_version(version)?;
        let lifted = self.withdrawn.remove(version);
        let resumed = self
            .rollouts
            .get_mut(&version.model)
            .filter(|rollout| rollout.version == *version)
            .filter(|rollout| rollout.state != RolloutState::Running);
        match resumed {
            Some(rollout) => {
                // Resuming a halted rollout discards its evidence and restores the exposure budget.
                if matches!(rollout.state, RolloutState::Halted { .. }) {
                    rollout.evidence = Default::default();
                    rollout.exposed = 0;
                    rollout.exposed_at_stage = 0;
                }
                if rollout.state != RolloutState::Complete {
                    rollout.state = RolloutState::Running;
                }
                Ok(())
            }
            None if lifted => Ok(()),
            None => Err(format!("{version} is neither paused, halted nor withdrawn")),
        }
    }

    pub(super) fn withdraw(&mut self, version: &VersionName) -> Result<(), String> {
        self.require_version(version)?;
        if !self.withdrawn.insert(version.clone()) {
            return Err(format!("{version} is withdrawn already"));
        }
        if let Some(rollout) = self.rollouts.get_mut(&version.model)
            && rollout.version == *version
        {
            rollout.state = RolloutState::Halted {
                reason: "withdrawn by an operator".into(),
            };
        }
        Ok(())
    }

    fn require_version(&self, version: &VersionName) -> Result<(), String> {
        if self.inventory.version(version).is_some() {
            return Ok(());
        }
        Err(format!(
            "the inventory has no version {version}; see `daisyquay show inventory`"
        ))
    }

    fn open_rollout(&mut self, version: &VersionName) -> Result<&mut Rollout, String> {
        self.rollouts
            .get_mut(&version.model)
            .filter(|rollout| rollout.version == *version && rollout.is_open())
            .ok_or_else(|| {
                format!("no roll-out of {version} is open; see `daisyquay show rollouts`")
            })
    }

    /// Whether the version has an open rollout, so that it may be used without being active.
    pub(super) fn has_open_rollout(&self, version: &VersionName) -> bool {
        self.rollouts
            .get(&version.model)
            .is_some_and(|rollout| rollout.version == *version && rollout.is_open())
    }

    /// Counts a request towards the exposure of a version in a running rollout; returns false if
    /// the exposure budget is spent. Versions outside a running rollout have no budget.
    pub(super) fn try_expose(&mut self, version: &VersionName) -> bool {
        let budget = self.inventory.rules.exposure_budget;
        let Some(rollout) = self
            .rollouts
            .get_mut(&version.model)
            .filter(|rollout| rollout.version == *version)
        else {
            return true;
        };
        if rollout.state != RolloutState::Running {
            return true;
        }
        // A version that has passed the first stage stays trusted: from then on only the guard
        // limits its exposure.
        let is_trusted = rollout.stage > 0 || rollout.evidence.is_trusted();
        if !is_trusted && rollout.exposed >= budget {
            return false;
        }
        rollout.exposed += 1;
        true
    }

    /// Adds a sample of one request to the evidence and applies the guard's verdict.
    pub(super) fn record_sample(&mut self, version: &VersionName, sample: Sample, at_ms: u64) {
        let Some(rollout) = self.rollouts.get_mut(&version.model) else {
            return;
        };
        let is_candidate = rollout.version == *version;
        let is_running = rollout.state == RolloutState::Running;
        let is_complete = rollout.state == RolloutState::Complete;
        if !is_running && !is_complete {
            return;
        }
        rollout.evidence.record(is_candidate, sample);
        if !is_candidate {
            return;
        }
        let in_stage = rollout.exposed - rollout.exposed_at_stage;
        let verdict = evaluate(&rollout.evidence, in_stage);
        if rollout.stage > 0 {
            rollout.evidence.reset_after_epoch();
        }
        match verdict {
            Verdict::Halt(reason) if is_running || self.has_active_alternative(version) => {
                self.halt_rollout(&version.model, &reason, at_ms);
            }
            Verdict::Advance if is_running => self.advance_rollout(&version.model, at_ms),
            Verdict::Halt(_) | Verdict::Advance | Verdict::Continue => {}
        }
    }

    /// Whether another active version of the model could take over.
    fn has_active_alternative(&self, version: &VersionName) -> bool {
        self.inventory.versions().any(|(name, known)| {
            name.model == version.model
                && name != *version
                && known.state == VersionState::Active
                && self.is_available(&name)
        })
    }

    fn advance_rollout(&mut self, model: &Name, at_ms: u64) {
        let Some(rollout) = self.rollouts.get_mut(model) else {
            return;
        };
        rollout.stage += 1;
        rollout.exposed_at_stage = rollout.exposed;
        let version = rollout.version.clone();
        let what = if rollout.stage < rollout.stages.len() {
            format!("rollout stage {} of {version}", rollout.stage + 1)
        } else {
            rollout.state = RolloutState::Complete;
            self.activate(&version);
            format!("rollout complete {version}")
        };
        self.record_guard_change(&what, at_ms);
    }

    fn halt_rollout(&mut self, model: &Name, reason: &str, at_ms: u64) {
        let Some(rollout) = self.rollouts.get_mut(model) else {
            return;
        };
        rollout.state = RolloutState::Halted {
            reason: reason.into(),
        };
        let version = rollout.version.clone();
        self.withdrawn.insert(version.clone());
        self.record_guard_change(&format!("rollout halt {version}: {reason}"), at_ms);
    }

    fn activate(&mut self, name: &VersionName) {
        let inventory = std::sync::Arc::make_mut(&mut self.inventory);
        let version = inventory
            .models
            .iter_mut()
            .filter(|model| model.name == name.model)
            .flat_map(|model| model.versions.iter_mut())
            .find(|version| version.name == name.version);
        if let Some(version) = version {
            version.state = VersionState::Active;
        }
    }

    fn record_guard_change(&mut self, what: &str, at_ms: u64) {
        let id: Name = format!("guard-{}", self.audit_seq + 1).into();
        self.increment_revision(&id);
        let outcome = ChangeOutcome::Accepted {
            revision: self.revision,
        };
        self.add_audit_record(at_ms, "guard".into(), id, what.into(), &outcome);
    }
}
