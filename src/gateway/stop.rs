//! Graceful shutdown: the gateway is no longer listed in address responses, keeps serving for a
//! while, lets the open requests finish, and exits.

use std::rc::Rc;
use std::time::Duration;

use super::Gateway;
use crate::config::RetryPolicy;
use crate::config::Route;
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

/// Waits for SIGTERM or SIGINT, then until the open requests have ended or the stop limit has
/// passed.
pub(super) async fn wait(gateway: &Rc<Gateway>) {
    crate::signal::stop_requested().await;
    let since = gateway.now();
    gateway.draining_since.set(Some(since));
    event!(Info, "gateway_leaving", vm = gateway.cfg.vm);
    let limit = gateway.cfg.stop_limit;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let elapsed = gateway.now().saturating_sub(since);
        let idle = gateway.open_requests.get() == 0 && elapsed >= limit.mul_f64(MIN_DRAIN_FRACTION);
        if idle || elapsed >= limit {
            break;
        }
    }
    event!(
        Info,
        "gateway_stop",
        vm = gateway.cfg.vm,
        open = gateway.open_requests.get()
    );
}

impl Gateway {
    /// Returns whether the exit is so near that a new request of the route might not finish before
    /// it.
    pub(super) fn refuses_new_requests(&self, route: &Route) -> bool {
        let limit = match route.repeat {
            RetryPolicy::Stream => STREAM_ACCEPT_WINDOW,
            RetryPolicy::Idempotent | RetryPolicy::Once => {
                self.cfg.stop_limit.mul_f64(REQUEST_ACCEPT_FRACTION)
            }
        };
        self.draining_since
            .get()
            .is_some_and(|since| self.now() >= since + limit)
    }
}

/// Counts a request as open until it is dropped.
pub(super) struct OpenRequest(Rc<Gateway>);

impl OpenRequest {
    pub(super) fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
