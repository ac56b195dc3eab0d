//! Log lines of an exchange.

use std::time::Duration;

use super::Exchange;
use crate::gateway::attempt::AttemptOutcome;
use crate::gateway::routing::Upstream;
use crate::log::event;
use crate::policy::fingerprint;

impl Exchange {
    /// Logs what delayed a response head that came after the route's target.
    pub(super) fn log_late_response(&self, time_to_head: Duration) {
        event!(
            Info,
            "late",
            request = self.call.id,
            route = self.call.route.name,
            first_ms = time_to_head.as_millis(),
            target_ms = self.call.route.target_ms,
            tokens_in = self.call.prompt.tokens_in,
            model = self.model_name(self.model).as_deref().unwrap_or("-"),
            tried = self.tried.join(","),
            refusals = self.refusals,
            last = self.last_failure
        );
    }

    /// Logs the attempt that the deadline, or the end of this process, has ended before its response was
    /// whole.
    pub(super) fn log_unfinished_attempt(&self) {
        let Some((upstream, elapsed)) = self.open.sent_to() else {
            return;
        };
        event!(
            Info,
            "attempt",
            request = self.call.id,
            route = self.call.route.name,
            upstream = upstream,
            run = self.runs,
            outcome = "unfinished",
            reason = "no whole response before the deadline or the stop",
            sent_ms = elapsed.as_millis()
        );
    }

    /// Logs an attempt without a usable response, or with a server error.
    pub(super) fn log_attempt(&self, upstream: &Upstream, attempt: &AttemptOutcome) {
        let (outcome, reason) = match attempt {
            AttemptOutcome::NotSent(reason) | AttemptOutcome::NotRun(reason) => {
                ("not_run", *reason)
            }
            AttemptOutcome::Lost(reason) => ("lost", *reason),
            AttemptOutcome::Complete(head, _) if head.status.is_server_error() => ("failed", "-"),
            AttemptOutcome::Complete(..) | AttemptOutcome::Stream(..) => return,
        };
        let fingerprint = match attempt {
            AttemptOutcome::Lost(_) => fingerprint::log_text(self.call.fingerprints().target),
            _ => "-".to_owned(),
        };
        event!(
            Info,
            "attempt",
            request = self.call.id,
            route = self.call.route.name,
            upstream = upstream.id(),
            release = upstream.announced.release.as_deref().unwrap_or("-"),
            run = self.runs,
            outcome = outcome,
            reason = reason,
            segments = self.call.prompt.shared_log_text(),
            fingerprint = fingerprint,
            left_ms = self.call.time_left(self.gateway.now()).as_millis()
        );
    }
}
