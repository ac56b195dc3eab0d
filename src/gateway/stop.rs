//! A planned stop: leave the address answer, go on serving, finish every request, exit.

use std::rc::Rc;
use std::time::Duration;

use super::Gateway;
use crate::config::RetryPolicy;
use crate::config::Route;
use crate::log::event;

/// Time between looks at whether the requests have ended.
const POLL: Duration = Duration::from_millis(50);

/// Time for which new streams are taken: they last for seconds, and one that is cut at the end is
/// worse off than one that goes to another gateway at once.
const TAKES_STREAMS: Duration = Duration::from_millis(300);

/// Part of the time to stop in which other requests are taken: most callers hold this address for a
/// few seconds more.
const TAKES_REQUESTS: f64 = 0.75;

/// Part of the time to stop after which the process ends as soon as nothing is open.
const STAYS: f64 = 0.8;

/// Waits for the order to stop, then until the requests have ended or the time is over.
pub(super) async fn wait(gateway: &Rc<Gateway>) {
    crate::signal::stop_requested().await;
    let since = gateway.now();
    gateway.leaving_since.set(Some(since));
    event!(Info, "gateway_leaving", vm = gateway.cfg.vm);
    let limit = gateway.cfg.stop_limit;
    loop {
        tokio::time::sleep(POLL).await;
        let passed = gateway.now().saturating_sub(since);
        let idle = gateway.open.get() == 0 && passed >= limit.mul_f64(STAYS);
        if idle || passed >= limit {
            break;
        }
    }
    event!(
        Info,
        "gateway_stop",
        vm = gateway.cfg.vm,
        open = gateway.open.get()
    );
}

impl Gateway {
    /// Whether a stop is so near that a new request of the route might not end in time.
    pub(super) fn turns_away(&self, route: &Route) -> bool {
        let limit = match route.repeat {
            RetryPolicy::Stream => TAKES_STREAMS,
            RetryPolicy::Idempotent | RetryPolicy::Once => {
                self.cfg.stop_limit.mul_f64(TAKES_REQUESTS)
            }
        };
        self.leaving_since
            .get()
            .is_some_and(|since| self.now() >= since + limit)
    }
}

/// Counts an open request.
pub(super) struct Open(Rc<Gateway>);

impl Open {
    pub(super) fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.open.set(gateway.open.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
