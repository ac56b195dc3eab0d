//! Removal of expired pins, idempotency keys and upstreams.

use crate::state::State;

impl State {
    pub(super) fn remove_expired(&mut self, at_ms: u64) {
        let rules = &self.inventory.rules;
        let session_idle_ms = rules.session_idle_s * 1000;
        let key_ttl_ms = rules.idempotency_key_s * 1000;
        self.pins
            .retain(|_, pin| pin.used_ms + session_idle_ms > at_ms);
        // The key of an unsettled request stays: it prevents a second run of that request.
        self.idempotency_keys
            .retain(|_, record| !record.settled || record.at_ms + key_ttl_ms > at_ms);
        self.directory.remove_expired(at_ms);
    }
}
