//! Retry budgets of this gateway, one for each service.

use std::time::Duration;

use super::Gateway;
use crate::collections::Name;
use crate::policy::retry_budget;
use crate::policy::retry_budget::SlidingWindow;

/// Fraction of the deployment's retry budget that the gateways use. Their windows do not start at
/// the same moment, so the rest is kept as a margin.
const BUDGET_FRACTION: f64 = 0.92;

impl Gateway {
    /// Records the first attempt of a request to the service.
    pub(super) fn record_first_attempt(&self, service: &Name) {
        self.with_budget(service, |budget, limits, now| {
            budget.record_first_attempt(limits, now);
        });
    }

    /// Takes a retry after a failure from the budget; returns whether there was one left.
    pub(super) fn try_retry(&self, service: &Name) -> bool {
        self.with_budget(service, SlidingWindow::try_retry)
    }

    /// Takes an escalation to a larger model from the budget; returns whether there was one left.
    /// Part of the budget is reserved for retries after failures, because a request can do without
    /// an escalation.
    pub(super) fn try_escalation(&self, service: &Name) -> bool {
        self.with_budget(service, SlidingWindow::try_escalation)
    }

    /// Returns the share of the escalations' part of the budget that is left, 0 to 1.
    pub(super) fn escalations_left(&self, service: &Name) -> f64 {
        self.with_budget(service, SlidingWindow::escalations_left)
    }

    /// Calls `apply` with the budget of the service and this gateway's share of the limits.
    fn with_budget<T>(
        &self,
        service: &Name,
        apply: impl FnOnce(&mut SlidingWindow, &retry_budget::Limits, Duration) -> T,
    ) -> T {
        let total = &self.cfg.retry_budget;
        let gateways = self.routing.borrow().entries.len().max(1) as f64;
        let limits = retry_budget::Limits {
            ratio: total.ratio * BUDGET_FRACTION,
            slack: total.slack * BUDGET_FRACTION / gateways,
            window: total.window,
        };
        let mut budgets = self.retry_budgets.borrow_mut();
        apply(
            budgets.entry(service.clone()).or_default(),
            &limits,
            self.now(),
        )
    }
}
