//! Exchange with the other gateways of which upstreams can be reached.

use super::Gateway;
use crate::agreement::Index;
use crate::log::event;
use crate::policy::reachability::Notice;

impl Gateway {
    /// Records a response of an upstream.
    pub(super) fn record_reachable(&self, upstream: Index) {
        let now = self.now();
        let mut reachability = self.reachability.borrow_mut();
        if reachability.record_response(upstream, now) {
            event!(Info, "upstream_loss_refuted", number = upstream);
            self.load_changed.notify_one();
        }
    }

    /// Applies what another gateway has told.
    pub(super) fn apply_reachability_notice(&self, run_id: u64, notice: &Notice) {
        if notice.is_empty() {
            return;
        }
        let mut reachability = self.reachability.borrow_mut();
        for upstream in reachability.apply(run_id, notice, self.now()) {
            event!(Info, "upstream_loss_refuted", number = upstream);
        }
        if reachability.has_news() {
            self.load_changed.notify_one();
        }
    }
}
