//! Exchange with the other gateways of which upstreams refuse connections, and the withdrawal of
//! evidence against requests at upstreams that have not crashed.

use super::Gateway;
use crate::agreement::Index;
use crate::log::event;
use crate::policy::crashing_requests;
use crate::policy::reachability::Notice;

impl Gateway {
    /// Records a response of an upstream.
    pub(super) fn record_reachable(&self, upstream: Index) {
        let now = self.now();
        let mut reachability = self.reachability.borrow_mut();
        let is_refuted = reachability.record_response(upstream, now);
        drop(reachability);
        if is_refuted {
            self.refute_loss(upstream);
        }
    }

    /// Applies what another gateway has told.
    pub(super) fn apply_reachability_notice(&self, run_id: u64, notice: &Notice) {
        if notice.is_empty() {
            return;
        }
        let now = self.now();
        let refuted = self.reachability.borrow_mut().apply(run_id, notice, now);
        for upstream in refuted {
            self.refute_loss(upstream);
        }
        if self.reachability.borrow().has_news() {
            self.load_changed.notify_one();
        }
    }

    /// Removes those crashes from a notice of another gateway that a response has refuted.
    pub(super) fn without_refuted_crashes(
        &self,
        notice: &crashing_requests::Notice,
    ) -> crashing_requests::Notice {
        let now = self.now();
        let mut notice = notice.clone();
        let mut reachability = self.reachability.borrow_mut();
        notice.crashes.retain(|crash| {
            let at = now.saturating_sub(crash.age);
            !reachability.record_loss(crash.upstream, at)
        });
        if reachability.has_news() {
            self.load_changed.notify_one();
        }
        notice
    }

    /// Forgets the crashes of an upstream that has responded since.
    fn refute_loss(&self, upstream: Index) {
        let alive = self.reachability.borrow().alive_during(upstream);
        let Some(alive) = alive else {
            return;
        };
        event!(Info, "upstream_loss_refuted", number = upstream);
        self.refute_crashes(upstream, &alive);
        self.load_changed.notify_one();
    }
}
