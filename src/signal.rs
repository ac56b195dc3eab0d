//! Handles the signals SIGTERM, SIGINT and SIGHUP.

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

/// Logs each SIGHUP as a reload request that changes nothing.
///
/// Settings come from flags and environment variables, and the configuration comes from the state
/// replicas, so there is no file to reload.
pub(crate) async fn log_reload_requests() {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        event!(Info, "reload_asked", changes = "none");
    }
}
