//! Measures how late the thread is, on which all requests, timers and messages of a gateway wait.

use std::rc::Rc;
use std::time::Duration;

use super::Gateway;
use crate::log::event;

/// Interval between measurements.
const INTERVAL: Duration = Duration::from_millis(200);

/// Delay from which a measurement is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(200);

/// Measures by how much a timer fires late, until the process ends.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        let due = gateway.now() + INTERVAL;
        tokio::time::sleep(INTERVAL).await;
        let delay = gateway.now().saturating_sub(due);
        let seconds = delay.as_secs_f64();
        let metrics = &gateway.metrics;
        metrics.record_duration("daisyquay_thread_delay_seconds", seconds, &[]);
        if delay >= LOGGED_DELAY {
            event!(Warn, "thread_late", ms = delay.as_millis());
        }
    }
}
