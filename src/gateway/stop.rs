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
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

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

/// Time before the stop limit at which requests without a response head are answered, and no longer
/// served. It serves to deliver the answers.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(400);

/// Waits for SIGTERM or SIGINT, then until the callers have their responses or the stop limit has
/// passed.
pub(super) async fn wait(gateway: &Rc<Gateway>) {
    crate::signal::stop_requested().await;
    let since = gateway.now();
    gateway.draining_since.set(Some(since));
    gateway.stop_advanced.notify_waiters();
    event!(Info, "gateway_leaving", vm = gateway.cfg.vm);
    let limit = gateway.cfg.stop_limit;
    let mut elapsed = Duration::ZERO;
    loop {
        let pause = POLL_INTERVAL.min(limit - elapsed).max(MIN_POLL_INTERVAL);
        tokio::time::sleep(pause).await;
        elapsed = gateway.now().saturating_sub(since).min(limit);
        // A process that was suspended may find that the limit has passed.
        let has_answered = gateway.gives_final_answers.get();
        if elapsed >= gateway.serve_time() {
            gateway.begin_final_answers();
        }
        let has_drained = elapsed >= limit.mul_f64(MIN_DRAIN_FRACTION) && !gateway.has_work();
        if has_drained || elapsed == limit && has_answered {
            break;
        }
    }
    gateway.log_unfinished(true);
    let backlog = gateway.caller_backlog();
    event!(
        Info,
        "gateway_stop",
        vm = gateway.cfg.vm,
        elapsed_ms = elapsed.as_millis(),
        open = gateway.open_requests.count(),
        connections = backlog.connections,
        unread = backlog.unread_bytes,
        unwritten_connections = backlog.unwritten_connections,
        unwritten = backlog.unwritten_bytes
    );
}

impl Gateway {
    /// Returns whether a caller waits for a response or for a part of it.
    fn has_work(&self) -> bool {
        let backlog = self.caller_backlog();
        self.open_requests.count() > 0 || backlog.unwritten_bytes > 0 || backlog.unread_bytes > 0
    }

    /// Returns the time from the start of the shutdown for which requests are served.
    fn serve_time(&self) -> Duration {
        self.cfg.stop_limit.saturating_sub(FINAL_ANSWER_TIME)
    }

    fn caller_backlog(&self) -> Backlog {
        let callers = self.callers.get();
        callers.map(Connections::backlog).unwrap_or_default()
    }

    fn begin_final_answers(&self) {
        if self.gives_final_answers.replace(true) {
            return;
        }
        self.log_unfinished(false);
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

    /// Logs the open requests, the oldest first: those that are answered now, or, at the exit, all.
    fn log_unfinished(&self, is_exit: bool) {
        let now = self.now();
        let unfinished = self.open_requests.snapshots();
        let logged = unfinished.iter().filter(|row| is_exit || !row.has_head);
        for request in logged.take(MAX_LOGGED_REQUESTS) {
            event!(
                Warn,
                "request_unfinished",
                request = request.id,
                route = request.route.as_deref().unwrap_or("-"),
                stage = request.stage,
                has_head = request.has_head,
                exit = is_exit,
                upstream = request.upstream.as_deref().unwrap_or("-"),
                stage_ms = now.saturating_sub(request.stage_since).as_millis(),
                open_ms = now.saturating_sub(request.opened_at).as_millis()
            );
        }
    }

    /// Returns whether the exit is so near that a new request of the route might not finish before
    /// it.
    pub(super) fn refuses_new_requests(&self, route: &Route) -> bool {
        let limit = self.cfg.stop_limit;
        let accept_window = match route.repeat {
            RetryPolicy::Stream => STREAM_ACCEPT_WINDOW,
            RetryPolicy::Idempotent | RetryPolicy::Once => limit
                .mul_f64(REQUEST_ACCEPT_FRACTION)
                .min(self.serve_time().saturating_sub(route.target()))
                .max(STREAM_ACCEPT_WINDOW),
        };
        self.draining_since
            .get()
            .is_some_and(|since| self.now() >= since + accept_window)
    }
}
