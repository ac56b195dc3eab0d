//! The releases of each service's software, and the roll-out of a new one.
//!
//! The leader's guard decides when a stage ends (`policy::release_rollout`); the state keeps only what all
//! replicas must agree on: which release is the settled one and at which stage the new one is.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;
use crate::upstream::Announcement;
use crate::upstream::Serves;

/// Services whose releases are remembered.
const SERVICE_LIMIT: usize = 4096;

/// Longest time for a roll-out, in milliseconds: a week.
const PERIOD_LIMIT_MS: u64 = 7 * 86_400_000;

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Stage {
    /// The new release gets a small share until there is evidence.
    Trial,
    /// It gets a larger share.
    Ramp,
    /// It gets everything; the old release finishes what it has.
    Whole,
    /// It is the settled release.
    Complete,
    /// It was found bad and gets nothing.
    RolledBack,
}

/// A roll-out of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRollout {
    /// New release.
    pub target: Name,
    /// Time in which it should be done, in milliseconds.
    pub period_ms: u64,
    /// Where it stands.
    pub stage: Stage,
    /// Since when, in milliseconds since the epoch by the clock of the leader of that time.
    pub since_ms: u64,
}

/// The releases of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceReleases {
    /// Release that takes all traffic outside a roll-out; the first one that announced itself.
    #[serde(rename = "settled")]
    pub stable: Option<Name>,
    /// The latest roll-out.
    pub rollout: Option<ServiceRollout>,
}

impl ServiceReleases {
    /// The release being rolled out, where that is under way.
    pub fn active_rollout(&self) -> Option<&ServiceRollout> {
        self.rollout
            .as_ref()
            .filter(|rollout| rollout.stage < Stage::Complete)
    }
}

/// The releases of all services.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Releases {
    rows: BTreeMap<Name, ServiceReleases>,
}

impl Releases {
    /// The line of a service.
    pub fn get(&self, service: &str) -> Option<&ServiceReleases> {
        self.rows.get(service)
    }

    /// All lines by service.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &ServiceReleases)> + '_ {
        self.rows.iter()
    }

    /// Takes the first release that a service announces as the settled one; returns whether that
    /// changed anything.
    pub(crate) fn record_release(&mut self, announcement: &Announcement) -> bool {
        let (Serves::Service(service), Some(release)) =
            (&announcement.serves, &announcement.release)
        else {
            return false;
        };
        if self.rows.len() >= SERVICE_LIMIT && !self.rows.contains_key(service) {
            return false;
        }
        let line = self.rows.entry(service.clone()).or_default();
        let is_target = line
            .rollout
            .as_ref()
            .is_some_and(|rollout| rollout.target == *release);
        if line.stable.is_some() || is_target {
            return false;
        }
        line.stable = Some(release.clone());
        true
    }

    /// Starts a roll-out; the same order again changes nothing.
    pub(crate) fn start_rollout(
        &mut self,
        service: &Name,
        target: &Name,
        period_ms: u64,
        at_ms: u64,
    ) -> Result<(), String> {
        if !(1..=PERIOD_LIMIT_MS).contains(&period_ms) {
            return Err(format!(
                "a roll-out takes 1 to {PERIOD_LIMIT_MS} ms; write a time in that range"
            ));
        }
        let line = self.rows.entry(service.clone()).or_default();
        if let Some(rollout) = &line.rollout {
            if rollout.target == *target {
                return Ok(());
            }
            if line.active_rollout().is_some() {
                return Err(format!(
                    "a roll-out of {service} to {} is under way; wait until it has ended",
                    rollout.target
                ));
            }
        }
        line.rollout = Some(ServiceRollout {
            target: target.clone(),
            period_ms,
            stage: Stage::Trial,
            since_ms: at_ms,
        });
        Ok(())
    }

    /// Moves a roll-out on; returns whether that changed anything.
    pub(crate) fn set_stage(
        &mut self,
        service: &str,
        target: &str,
        stage: Stage,
        at_ms: u64,
    ) -> bool {
        let Some(line) = self.rows.get_mut(service) else {
            return false;
        };
        let open = line.active_rollout().is_some();
        let Some(rollout) = line.rollout.as_mut().filter(|r| *r.target == *target) else {
            return false;
        };
        if !open || stage <= rollout.stage {
            return false;
        }
        rollout.stage = stage;
        rollout.since_ms = at_ms;
        if stage == Stage::Complete {
            line.stable = Some(rollout.target.clone());
        }
        true
    }
}
