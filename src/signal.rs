//! Requests of the operating system to stop.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::log::event;

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn stop_requested() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Waits for SIGHUP as long as the process runs, and says each time what it changes: settings come
/// from flags and variables, so nothing; the configuration comes from the state.
pub(crate) async fn log_reload_requests() {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        event!(Info, "reload_asked", changes = "none");
    }
}
