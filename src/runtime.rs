//! Runs a daemon's future on the current thread.

use std::future::Future;

use crate::cli::ExitCode;

/// Runs `future` to its end.
pub fn block_on<F>(name: &str, future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    stop_on_panic();
    let output = ntex::rt::System::new(name, ntex::rt::DefaultRuntime).block_on(async {
        tokio::task::spawn_local(crate::signal::log_reload_requests());
        future.await
    });
    crate::log::flush();
    output
}

/// Waits until the process is told to stop.
pub async fn stop_requested() {
    crate::signal::stop_requested().await;
}

/// A task that panicked would leave the process half alive: holding a lease or an office without
/// doing its work. It is better gone.
fn stop_on_panic() {
    let show = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        show(panic);
        crate::log::flush();
        std::process::exit(ExitCode::Failed.code());
    }));
}
