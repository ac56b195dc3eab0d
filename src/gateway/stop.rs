//! Graceful shutdown: the gateway is no longer listed in address responses, keeps serving for a
//! while, lets the open requests finish, and exits.

use std::rc::Rc;
use std::time::Duration;

use super::Gateway;
use crate::config::RetryPolicy;
use crate::config::Route;
use crate::listen::Backlog;
use crate::listen::Connections;
use crate::log::event;

/// Interval between checks whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the start of the shutdown during which new streams are accepted. Streams last for
/// seconds, and being cut off at the end is worse than going to another gateway at once.
const STREAM_ACCEPT_WINDOW: Duration = Duration::from_millis(300);

/// Fraction of the stop limit during which other requests are accepted. Most callers cache this
/// gateway's address for a few more seconds.
const REQUEST_ACCEPT_FRACTION: f64 = 0.75;

/// Fraction of the stop limit after which the process exits as soon as no request is open.
const MIN_DRAIN_FRACTION: f64 = 0.8;

/// Most unfinished requests that are logged at the exit, one line each.
const MAX_LOGGED_REQUESTS: usize = 64;

/// Fraction of the stop limit after which requests without a response head are answered, and no
/// longer served. What is left of the limit serves to deliver the answers.
const SERVE_FRACTION: f64 = 0.95;

/// Waits for SIGTERM or SIGINT, then until the callers have their responses or the stop limit has
/// passed.
pub(super) async fn wait(gateway: &Rc<Gateway>) {
    crate::signal::stop_requested().await;
    let since = gateway.now();
    gateway.draining_since.set(Some(since));
    gateway.stop_advanced.notify_waiters();
    event!(Info, "gateway_leaving", vm = gateway.cfg.vm);
    let limit = gateway.cfg.stop_limit;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let elapsed = gateway.now().saturating_sub(since);
        if elapsed >= limit.mul_f64(SERVE_FRACTION) {
            gateway.begin_final_answers();
        }
        let has_drained = elapsed >= limit.mul_f64(MIN_DRAIN_FRACTION) && !gateway.has_work();
        if has_drained || elapsed >= limit {
            break;
        }
    }
    gateway.log_unfinished();
}

impl Gateway {
    /// Returns whether a caller waits for a response or for a part of it.
    fn has_work(&self) -> bool {
        self.open_requests.count() > 0 || self.caller_backlog().unwritten_bytes > 0
    }

    fn caller_backlog(&self) -> Backlog {
        let callers = self.callers.get();
        callers.map(Connections::backlog).unwrap_or_default()
    }

    fn begin_final_answers(&self) {
        self.gives_final_answers.set(true);
        self.stop_advanced.notify_waiters();
    }

    /// Waits until the shutdown has begun.
    pub(super) async fn wait_for_drain(&self) {
        while !self.is_draining() {
            self.stop_advanced.notified().await;
        }
    }

    /// Waits until the exit is so near that requests without a response head must be answered.
    pub(super) async fn wait_for_final_answers(&self) {
        while !self.gives_final_answers.get() {
            self.stop_advanced.notified().await;
        }
    }

    /// Logs what is left at the exit: requests without a complete response, and what their callers
    /// have not got.
    fn log_unfinished(&self) {
        let now = self.now();
        let unfinished = self.open_requests.snapshots();
        for request in unfinished.iter().take(MAX_LOGGED_REQUESTS) {
            event!(
                Warn,
                "request_unfinished",
                request = request.id,
                route = request.route.as_deref().unwrap_or("-"),
                stage = request.stage,
                upstream = request.upstream.as_deref().unwrap_or("-"),
                stage_ms = now.saturating_sub(request.stage_since).as_millis(),
                open_ms = now.saturating_sub(request.opened_at).as_millis()
            );
        }
        let backlog = self.caller_backlog();
        event!(
            Info,
            "gateway_stop",
            vm = self.cfg.vm,
            open = unfinished.len(),
            connections = backlog.connections,
            unwritten_connections = backlog.unwritten_connections,
            unwritten = backlog.unwritten_bytes
        );
    }

    /// Returns whether the exit is so near that a new request of the route might not finish before
    /// it.
    pub(super) fn refuses_new_requests(&self, route: &Route) -> bool {
        let limit = self.cfg.stop_limit;
        let accept_window = match route.repeat {
            RetryPolicy::Stream => STREAM_ACCEPT_WINDOW,
            RetryPolicy::Idempotent | RetryPolicy::Once => limit
                .mul_f64(REQUEST_ACCEPT_FRACTION)
                .min(limit.mul_f64(SERVE_FRACTION).saturating_sub(route.target())),
        };
        self.draining_since
            .get()
            .is_some_and(|since| self.now() >= since + accept_window)
    }
}
