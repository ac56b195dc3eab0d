//! Handles the signals SIGTERM, SIGINT and SIGHUP.

use std::future::Future;
use std::io;
use std::sync::LazyLock;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::log::event;

/// Whether SIGTERM or SIGINT has been received.
static STOP: LazyLock<watch::Sender<bool>> = LazyLock::new(|| watch::Sender::new(false));

fn handled() -> SigSet {
    [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]
        .into_iter()
        .collect()
}

/// Signals that are held back until the runtime can handle them, so that none takes its default
/// action, which ends the process.
#[derive(Debug)]
#[must_use = "the signals stay blocked until the runtime handles them"]
pub struct Held(());

impl Held {
    /// Blocks the signals on this thread and on those that it starts.
    pub(crate) fn new() -> Self {
        // Fails for an invalid argument only.
        let _ = handled().thread_block();
        Self(())
    }

    /// Handles the signals from now on, those that were held back included: SIGTERM and SIGINT
    /// request a stop, SIGHUP is logged.
    ///
    /// # Errors
    ///
    /// A handler can't be installed.
    pub(crate) fn handle(self) -> io::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        tokio::task::spawn_local(async move {
            loop {
                tokio::select! {
                    _ = term.recv() => STOP.send_replace(true),
                    _ = int.recv() => STOP.send_replace(true),
                    // Settings come from flags and environment variables, and the configuration
                    // from the state replicas, so there is no file to reload.
                    _ = hangup.recv() => {
                        event!(Info, "reload_asked", changes = "none");
                        continue;
                    }
                };
            }
        });
        handled().thread_unblock().map_err(io::Error::from)
    }
}

/// Waits for SIGTERM or SIGINT; returns at once if one has been received.
pub(crate) async fn stop_requested() {
    // The sender lives as long as the process.
    let _ = STOP
        .subscribe()
        .wait_for(|is_requested| *is_requested)
        .await;
}

/// Runs a start, which may wait for what another process holds. Returns `None` if SIGTERM or SIGINT
/// is received before its end.
pub(crate) async fn unless_stopped<F: Future>(start: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = start => Some(output),
        () = stop_requested() => {
            event!(Info, "start_given_up", reason = "stop requested");
            None
        }
    }
}
