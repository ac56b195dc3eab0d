//! Runs a daemon's future on the current thread.

use std::future::Future;

use crate::cli::ExitCode;

/// Runs `future` to completion on a new runtime called `name`, then flushes the log.
pub fn block_on<F>(name: &str, future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    exit_on_panic();
    let output = ntex::rt::System::new(name, ntex::rt::DefaultRuntime).block_on(async {
        tokio::task::spawn_local(crate::signal::log_reload_requests());
        future.await
    });
    crate::log::flush();
    output
}

/// Waits for SIGTERM or SIGINT.
pub async fn stop_requested() {
    crate::signal::stop_requested().await;
}

/// Makes a panic in any task exit the process.
///
/// The runtime would otherwise catch the panic, and the process would keep holding a lease or the
/// leadership without doing the work.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        crate::log::flush();
        std::process::exit(ExitCode::Failed.code());
    }));
}
