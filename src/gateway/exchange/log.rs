//! What the log says of an exchange.

use std::time::Duration;

use super::Exchange;
use crate::gateway::attempt::Ended;
use crate::gateway::picture::Runner;
use crate::log::event;

impl Exchange {
    /// Says why the head of an answer came after the route's target.
    pub(super) fn log_late(&self, first: Duration) {
        event!(
            Info,
            "late",
            request = self.call.id,
            route = self.call.route.name,
            first_ms = first.as_millis(),
            target_ms = self.call.route.target_ms,
            tokens_in = self.call.prompt.tokens_in,
            model = self.model_name(self.model).as_deref().unwrap_or("-"),
            tried = self.tried.join(","),
            refusals = self.refusals,
            last = self.last
        );
    }

    pub(super) fn log_attempt(&self, runner: &Runner, ended: &Ended) {
        let (outcome, reason) = match ended {
            Ended::NotRun(reason) => ("not_run", *reason),
            Ended::Lost(reason) => ("lost", *reason),
            Ended::Whole(head, _) if head.status.is_server_error() => ("failed", "-"),
            Ended::Whole(..) | Ended::Stream(..) => return,
        };
        event!(
            Info,
            "attempt",
            request = self.call.id,
            route = self.call.route.name,
            upstream = runner.id(),
            release = runner.announced.release.as_deref().unwrap_or("-"),
            run = self.runs,
            outcome = outcome,
            reason = reason,
            left_ms = self.call.left(self.gateway.now()).as_millis()
        );
    }
}
