//! Runs a program's future on the current thread.

use std::fmt::Display;
use std::future::Future;

use crate::cli::ExitCode;
use crate::log::event;
pub use crate::signal::Held as HeldSignals;

/// Holds back SIGTERM, SIGINT and SIGHUP until [`run_daemon`] handles them. A daemon calls this
/// first.
pub fn hold_signals() -> HeldSignals {
    HeldSignals::new()
}

/// Runs a daemon's `future` to completion on a new runtime called `name`, which handles `signals`.
/// Logs why it failed, and flushes the log.
///
/// # Errors
///
/// The error of `future`.
pub fn run_daemon<F, E>(name: &str, signals: HeldSignals, future: F) -> Result<(), E>
where
    F: Future<Output = Result<(), E>> + 'static,
    E: Display + 'static,
{
    block_on(name, async {
        if let Err(e) = signals.handle() {
            // The process could only be stopped by SIGKILL.
            exit_failed(&format!("can't handle signals: {e}"));
        }
        let result = future.await;
        if let Err(e) = &result {
            event!(Error, "process_failed", reason = e);
        }
        result
    })
}

/// Runs `future` to completion on a new runtime called `name`, then flushes the log.
pub fn block_on<F>(name: &str, future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    exit_on_panic();
    crate::random::seed_thread();
    let output = ntex::rt::System::new(name, ntex::rt::DefaultRuntime).block_on(future);
    crate::log::flush();
    output
}

/// Waits for SIGTERM or SIGINT; returns at once if one has been received.
pub async fn stop_requested() {
    crate::signal::stop_requested().await;
}

/// Runs a start, which may wait for what another process holds. Returns `None` if SIGTERM or SIGINT
/// is received before its end.
pub async fn unless_stopped<F: Future>(start: F) -> Option<F::Output> {
    crate::signal::unless_stopped(start).await
}

/// Makes a panic in any task exit the process.
///
/// The runtime would otherwise catch the panic, and the process would keep holding a lease or the
/// leadership without doing the work.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        event!(Error, "process_failed", reason = panic);
        default_hook(panic);
        crate::log::flush();
        std::process::exit(ExitCode::Failed.code());
    }));
}

/// Logs `reason` and exits.
fn exit_failed(reason: &str) -> ! {
    event!(Error, "process_failed", reason = reason);
    eprintln!("{reason}");
    crate::log::flush();
    std::process::exit(ExitCode::Failed.code());
}
