//! Requests of the operating system to stop.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

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
