//! Software releases of services, and the rollout of a new release.
//!
//! The leader decides when a stage ends (`policy::release_rollout`). The state holds only what all
//! replicas must agree on: the stable release and the stage that the new release has reached.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;
use crate::upstream::Announcement;
use crate::upstream::Serves;

/// Most services whose announced releases are recorded.
const SERVICE_LIMIT: usize = 4096;

/// Longest planned duration of a rollout, in milliseconds: a week.
const PERIOD_LIMIT_MS: u64 = 7 * 86_400_000;

/// Stage of a service's rollout.
///
/// The order matters: a rollout only moves to a greater stage, and `Complete` and greater end it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Stage {
    /// The new release gets a small share of the traffic until it has been observed long enough.
    Trial,
    /// The new release gets a larger share.
    Ramp,
    /// The new release gets all new requests; the old release finishes its open requests.
    Whole,
    /// The new release is the stable one.
    Complete,
    /// The new release was found bad and gets no traffic.
    RolledBack,
}

/// Rollout of a new release of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRollout {
    /// The new release.
    pub target: Name,
    /// Planned duration of the whole rollout, in milliseconds.
    pub period_ms: u64,
    /// Current stage.
    pub stage: Stage,
    /// When that stage began, in milliseconds since the Unix epoch by the clock of the leader that
    /// proposed it.
    pub since_ms: u64,
}

/// The releases of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceReleases {
    /// Release that gets all traffic outside a rollout. Starts as the first announced release and
    /// changes when a rollout completes.
    #[serde(rename = "settled")]
    pub stable: Option<Name>,
    /// The latest rollout, finished or not.
    pub rollout: Option<ServiceRollout>,
}

impl ServiceReleases {
    /// Returns the rollout in progress; `None` if there is none or the latest has ended.
    pub fn active_rollout(&self) -> Option<&ServiceRollout> {
        self.rollout
            .as_ref()
            .filter(|rollout| rollout.stage < Stage::Complete)
    }
}

/// The releases of all services, by service name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Releases {
    rows: BTreeMap<Name, ServiceReleases>,
}

impl Releases {
    /// Returns the releases of a service; `None` if it has announced none and had no rollout.
    pub fn get(&self, service: &str) -> Option<&ServiceReleases> {
        self.rows.get(service)
    }

    /// Iterates over all services in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &ServiceReleases)> + '_ {
        self.rows.iter()
    }

    /// Makes the first release that a service announces its stable one, unless it is the target of
    /// a rollout; returns whether that changed anything.
    pub(crate) fn record_release(&mut self, announcement: &Announcement) -> bool {
        let (Serves::Service(service), Some(release)) =
            (&announcement.serves, &announcement.release)
        else {
            return false;
        };
        if self.rows.len() >= SERVICE_LIMIT && !self.rows.contains_key(service) {
            return false;
        }
        let releases = self.rows.entry(service.clone()).or_default();
        let is_target = releases
            .rollout
            .as_ref()
            .is_some_and(|rollout| rollout.target == *release);
        if releases.stable.is_some() || is_target {
            return false;
        }
        releases.stable = Some(release.clone());
        true
    }

    /// Returns why a rollout can't be started now; `None` if it can, or if it is under way already.
    pub(super) fn rollout_refusal(
        &self,
        service: &str,
        target: &str,
        period_ms: u64,
    ) -> Option<String> {
        if !(1..=PERIOD_LIMIT_MS).contains(&period_ms) {
            return Some(format!(
                "a roll-out takes 1 to {PERIOD_LIMIT_MS} ms; write a time in that range"
            ));
        }
        let active = self.get(service)?.active_rollout()?;
        (*active.target != *target).then(|| {
            format!(
                "a roll-out of {service} to {} is under way; wait until it has ended",
                active.target
            )
        })
    }

    /// Starts a rollout. Idempotent: a target that equals the one of the latest rollout changes
    /// nothing, also after that rollout has ended.
    pub(crate) fn start_rollout(
        &mut self,
        service: &Name,
        target: &Name,
        period_ms: u64,
        at_ms: u64,
    ) -> Result<(), String> {
        if let Some(reason) = self.rollout_refusal(service, target, period_ms) {
            return Err(reason);
        }
        let releases = self.rows.entry(service.clone()).or_default();
        let latest = releases.rollout.as_ref();
        if latest.is_some_and(|latest| latest.target == *target) {
            return Ok(());
        }
        releases.rollout = Some(ServiceRollout {
            target: target.clone(),
            period_ms,
            stage: Stage::Trial,
            since_ms: at_ms,
        });
        Ok(())
    }

    /// Sets the stage of the rollout in progress; returns whether that changed anything. Another
    /// target, an earlier stage or a rollout that has ended changes nothing.
    pub(crate) fn set_stage(
        &mut self,
        service: &str,
        target: &str,
        stage: Stage,
        at_ms: u64,
    ) -> bool {
        let Some(releases) = self.rows.get_mut(service) else {
            return false;
        };
        let is_active = releases.active_rollout().is_some();
        let Some(rollout) = releases.rollout.as_mut().filter(|r| *r.target == *target) else {
            return false;
        };
        if !is_active || stage <= rollout.stage {
            return false;
        }
        rollout.stage = stage;
        rollout.since_ms = at_ms;
        if stage == Stage::Complete {
            releases.stable = Some(rollout.target.clone());
        }
        true
    }
}
