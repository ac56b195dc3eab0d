//! Repeats that this gateway may still make.

use std::time::Duration;

use super::Gateway;
use crate::collections::Name;
use crate::policy::retry_budget;
use crate::policy::retry_budget::SlidingWindow;

/// Part of the deployment's bounds on repeats that is used: the gateways' windows don't begin at the
/// same moment.
const BOUNDS_USED: f64 = 0.92;

impl Gateway {
    /// A request to the service makes its first attempt.
    pub(super) fn note_first(&self, service: &Name) {
        self.budget(service, |budget, terms, now| {
            budget.record_first_attempt(terms, now);
            true
        });
    }

    /// Takes a repeat after a failure.
    pub(super) fn may_repeat(&self, service: &Name) -> bool {
        self.budget(service, SlidingWindow::try_retry)
    }

    /// Takes a repeat that the request could do without.
    pub(super) fn may_choose(&self, service: &Name) -> bool {
        self.budget(service, SlidingWindow::try_escalation)
    }

    fn budget(
        &self,
        service: &Name,
        act: impl FnOnce(&mut SlidingWindow, &retry_budget::Limits, Duration) -> bool,
    ) -> bool {
        let bounds = &self.cfg.retry_budget;
        let gateways = self.picture.borrow().entries.len().max(1) as f64;
        let terms = retry_budget::Limits {
            ratio: bounds.ratio * BOUNDS_USED,
            slack: bounds.slack * BOUNDS_USED / gateways,
            window: bounds.window,
        };
        let mut budgets = self.budgets.borrow_mut();
        act(
            budgets.entry(service.clone()).or_default(),
            &terms,
            self.now(),
        )
    }
}
