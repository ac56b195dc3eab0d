//! Session affinity: pins each session to a model version.

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;
use crate::config::VersionName;
use crate::config::VersionState;
use crate::state::Claim;
use crate::state::Pin;
use crate::state::State;

/// Most pinned sessions; new ones are refused until some expire.
const PIN_LIMIT: usize = 2_000_000;

/// Request for the version of a session.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PinRequest {
    /// Organisation that the session belongs to.
    pub organisation: Name,
    /// Session name, unique within the organisation.
    pub session: Name,
    /// Version to pin if the session has no pin, or if its version is withdrawn or no longer
    /// allowed to the organisation.
    pub proposed: VersionName,
}

/// Result of a pin request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PinOutcome {
    /// The session is pinned to this version.
    Pinned {
        /// Pinned version.
        version: VersionName,
        /// Former version, if this request replaced it because it was withdrawn or not allowed any
        /// more.
        moved_from: Option<VersionName>,
    },
    /// The proposed version accepts no new sessions.
    Refused,
    /// The limit of pinned sessions is reached.
    Full,
}

impl State {
    pub(super) fn pin_session(&mut self, request: PinRequest, at_ms: u64) -> PinOutcome {
        let pin_key = (request.organisation.clone(), request.session.clone());
        let current = self.pins.get(&pin_key).map(|pin| pin.version.clone());
        if let Some(version) = &current
            && self.is_available(version)
            && self.allows(&request.organisation, version)
        {
            if let Some(pin) = self.pins.get_mut(&pin_key) {
                pin.used_ms = at_ms;
            }
            return PinOutcome::Pinned {
                version: version.clone(),
                moved_from: None,
            };
        }
        if !self.accepts_session(&request) {
            return PinOutcome::Refused;
        }
        if current.is_none() && self.pins.len() >= PIN_LIMIT {
            return PinOutcome::Full;
        }
        let pin = Pin {
            version: request.proposed.clone(),
            used_ms: at_ms,
        };
        self.pins.insert(pin_key, pin);
        PinOutcome::Pinned {
            version: request.proposed,
            moved_from: current,
        }
    }

    fn allows(&self, organisation: &str, version: &VersionName) -> bool {
        self.inventory
            .organisation(organisation)
            .is_some_and(|org| org.allows_version(version))
    }

    fn accepts_session(&self, request: &PinRequest) -> bool {
        let version = &request.proposed;
        let is_active = self
            .inventory
            .version(version)
            .is_some_and(|known| known.state == VersionState::Active);
        self.is_available(version)
            && self.allows(&request.organisation, version)
            && (is_active || self.has_open_rollout(version))
    }

    /// Records a use of the claim's session, which postpones the expiry of its pin.
    pub(super) fn touch_pin(&mut self, claim: &Claim, at_ms: u64) {
        let Some(session) = &claim.session else {
            return;
        };
        let pin_key = (claim.organisation.clone(), session.clone());
        if let Some(pin) = self.pins.get_mut(&pin_key) {
            pin.used_ms = at_ms;
        }
    }
}
