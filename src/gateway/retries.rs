//! Retry budgets of this gateway, one for each service.

use std::time::Duration;

use super::Gateway;
use crate::collections::Name;
use crate::log::event;
use crate::peer::EntryInfo;
use crate::policy::retry_budget;
use crate::policy::retry_budget::SlidingWindow;

/// Minimum time between two log lines on the exhausted budget of one service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reason for an attempt beyond the first of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RepeatCause {
    /// An attempt of which nothing reached the upstream.
    NotSent,
    /// A rejection by an upstream.
    Rejection,
    /// A failure, or a response that was lost.
    Failure,
    /// A response that was not kept, in favour of a larger model.
    Escalation,
    /// A stream that was interrupted.
    Resume,
}

impl RepeatCause {
    fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Rejection => "rejection",
            Self::Failure => "failure",
            Self::Escalation => "escalation",
            Self::Resume => "resume",
        }
    }
}

impl Gateway {
    /// Records the first attempt of a request to the service.
    pub(super) fn record_first_attempt(&self, service: &Name) {
        self.with_budget(service, |budget, limits, now| {
            budget.record_first_attempt(limits, now);
        });
    }

    /// Takes a retry after a failure from the budget; returns whether there was one left.
    pub(super) fn try_retry(&self, service: &Name) -> bool {
        let is_spent = self.with_budget(service, SlidingWindow::try_retry);
        self.report_budget(service, is_spent);
        is_spent
    }

    /// Returns whether the budget has a retry left.
    pub(super) fn has_retry_left(&self, service: &Name) -> bool {
        let usage = self.with_budget(service, SlidingWindow::usage);
        f64::from(usage.retries) + 1.0 <= usage.allowed
    }

    /// Takes an escalation to a larger model from the budget; returns whether there was one left.
    /// Part of the budget is reserved for retries after failures, because a request can do without
    /// an escalation.
    pub(super) fn try_escalation(&self, service: &Name) -> bool {
        let is_spent = self.with_budget(service, SlidingWindow::try_escalation);
        self.report_budget(service, true);
        is_spent
    }

    /// Counts an attempt beyond the first of its request, by its cause.
    pub(super) fn count_repeat(&self, service: &Name, cause: RepeatCause) {
        let labels = [("service", &**service), ("cause", cause.name())];
        self.metrics.add_to_counter("daisyquay_repeats", 1, &labels);
    }

    /// Returns the share of the escalations' part of the budget that is left, 0 to 1.
    pub(super) fn escalations_left(&self, service: &Name) -> f64 {
        self.with_budget(service, SlidingWindow::escalations_left)
    }

    /// Sets the gauge of the budget that is left, and logs its inputs when it has none left for a
    /// retry, at most once in [`LOG_INTERVAL`] for a service.
    fn report_budget(&self, service: &Name, has_budget: bool) {
        let usage = self.with_budget(service, SlidingWindow::usage);
        let left = (usage.allowed - f64::from(usage.retries)).max(0.0);
        self.metrics.set_labelled_gauge(
            "daisyquay_retry_budget_left",
            left,
            &[("service", service)],
        );
        if has_budget {
            return;
        }
        let now = self.now();
        let mut logged = self.exhausted_budgets.borrow_mut();
        if logged
            .get(service)
            .is_some_and(|&at| now < at + LOG_INTERVAL)
        {
            return;
        }
        logged.insert(service.clone(), now);
        event!(
            Info,
            "retry_budget_exhausted",
            service = service,
            first_attempts = usage.first_attempts,
            retries = usage.retries,
            escalations = usage.escalations,
            allowed = format!("{:.1}", usage.allowed),
            gateways = self.routing.borrow().entries.len(),
            complete = self.has_all_gateways.get()
        );
    }

    /// Sets the gateways that share the budgets. `is_complete` is whether the list has all of them.
    pub(super) fn share_retry_budgets(&self, entries: &[EntryInfo], is_complete: bool) {
        // Entries of the chat path are in the list too and have budgets of their own.
        let gateways = entries.iter().filter(|info| info.loads_address.is_some());
        // A gateway that shuts down is not listed.
        let others = gateways.filter(|info| info.address != self.info.address);
        self.retry_budget_share.borrow_mut().set_gateways(
            others.count() + 1,
            is_complete,
            self.now(),
        );
    }

    /// Calls `apply` with the budget of the service and this gateway's share of the limits.
    fn with_budget<T>(
        &self,
        service: &Name,
        apply: impl FnOnce(&mut SlidingWindow, &retry_budget::Limits, Duration) -> T,
    ) -> T {
        let now = self.now();
        let mut share = self.retry_budget_share.borrow_mut();
        let limits = share.limits(now);
        let mut budgets = self.retry_budgets.borrow_mut();
        apply(budgets.entry(service.clone()).or_default(), &limits, now)
    }
}
