//! Sessions keep their version.

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;
use crate::config::VersionName;
use crate::config::VersionState;
use crate::state::Claim;
use crate::state::Pin;
use crate::state::State;

/// Sessions that may be pinned at once; new ones are refused until some expire.
const PIN_LIMIT: usize = 2_000_000;

/// Asks for a session's version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PinRequest {
    /// Organisation.
    pub organisation: Name,
    /// Session within it.
    pub session: Name,
    /// Version to pin where there is no pin, or where the pinned version was withdrawn.
    pub proposed: VersionName,
}

/// What a pin answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PinOutcome {
    /// The session is on this version.
    Pinned {
        /// Version.
        version: VersionName,
        /// Version that it was moved away from by this request, because it was withdrawn.
        moved_from: Option<VersionName>,
    },
    /// The proposed version takes no new session.
    Refused,
    /// Too many sessions are pinned.
    Full,
}

impl State {
    pub(super) fn pin_session(&mut self, request: PinRequest, at_ms: u64) -> PinOutcome {
        let slot = (request.organisation.clone(), request.session.clone());
        let known = self.pins.get(&slot).map(|pin| pin.version.clone());
        if let Some(version) = &known
            && self.is_available(version)
            && self.allows(&request.organisation, version)
        {
            if let Some(pin) = self.pins.get_mut(&slot) {
                pin.used_ms = at_ms;
            }
            return PinOutcome::Pinned {
                version: version.clone(),
                moved_from: None,
            };
        }
        if !self.takes_sessions(&request) {
            return PinOutcome::Refused;
        }
        if known.is_none() && self.pins.len() >= PIN_LIMIT {
            return PinOutcome::Full;
        }
        let pin = Pin {
            version: request.proposed.clone(),
            used_ms: at_ms,
        };
        self.pins.insert(slot, pin);
        PinOutcome::Pinned {
            version: request.proposed,
            moved_from: known,
        }
    }

    fn allows(&self, organisation: &str, version: &VersionName) -> bool {
        self.inventory
            .organisation(organisation)
            .is_some_and(|org| org.allows_version(version))
    }

    fn takes_sessions(&self, request: &PinRequest) -> bool {
        let version = &request.proposed;
        let active = self
            .inventory
            .version(version)
            .is_some_and(|known| known.state == VersionState::Active);
        self.is_available(version)
            && self.allows(&request.organisation, version)
            && (active || self.rolls_out(version))
    }

    /// Keeps a session's pin from expiring.
    pub(super) fn touch_pin(&mut self, claim: &Claim, at_ms: u64) {
        let Some(session) = &claim.session else {
            return;
        };
        let slot = (claim.organisation.clone(), session.clone());
        if let Some(pin) = self.pins.get_mut(&slot) {
            pin.used_ms = at_ms;
        }
    }
}
