//! Drops what has expired.

use crate::state::State;

impl State {
    pub(super) fn sweep(&mut self, at_ms: u64) {
        let rules = &self.inventory.rules;
        let idle_ms = rules.session_idle_s * 1000;
        let key_ms = rules.idempotency_key_s * 1000;
        self.pins.retain(|_, pin| pin.used_ms + idle_ms > at_ms);
        // A key whose request still runs is kept: it is what forbids a second run.
        self.idempotency_keys
            .retain(|_, key| !key.settled || key.at_ms + key_ms > at_ms);
        self.directory.remove_expired(at_ms);
    }
}
