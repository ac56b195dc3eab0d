//! The phases of a process's recovery after its start, each reported once.

use std::cell::Cell;
use std::time::Duration;

use crate::log::event;
use crate::metrics::Metrics;

/// Time after a start within which processes recover: VMs start within 2 s of each other, and
/// gateways know of the others 1 s later.
const RECENT: Duration = Duration::from_secs(3);

/// A phase of the recovery.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// A leader of the state replicas is known; at a gateway, it has granted a renewal.
    Leader,
    /// The configuration is held.
    Configuration,
    /// The whole directory of upstreams is held.
    Directory,
    /// The first response of an upstream has been passed to a caller.
    FirstResponse,
}

impl Phase {
    /// Returns the phase's name in the log and the metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Leader => "leader",
            Self::Configuration => "configuration",
            Self::Directory => "directory",
            Self::FirstResponse => "first_response",
        }
    }
}

/// Reports each phase once, with the time since the start.
#[derive(Debug)]
pub(crate) struct Recovery {
    started_at: Duration,
    /// One bit for each phase that has been reported.
    reported: Cell<u8>,
}

impl Recovery {
    /// Creates the record of a process that started at `now`.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            reported: Cell::new(0),
        }
    }

    /// Returns when the process started.
    pub(crate) fn started_at(&self) -> Duration {
        self.started_at
    }

    /// Returns whether the process started less than [`RECENT`] ago.
    pub(crate) fn is_recent(&self, now: Duration) -> bool {
        now < self.started_at + RECENT
    }

    /// Returns whether `phase` has been reported.
    pub(crate) fn has_reached(&self, phase: Phase) -> bool {
        self.reported.get() & (1 << phase as u8) != 0
    }

    /// Logs the first time that `phase` is reached, and sets its gauge.
    pub(crate) fn record(&self, phase: Phase, now: Duration, metrics: &Metrics) {
        if self.has_reached(phase) {
            return;
        }
        self.reported.set(self.reported.get() | 1 << phase as u8);
        let elapsed = now.saturating_sub(self.started_at);
        let labels = [("phase", phase.name())];
        metrics.set_labelled_gauge("daisyquay_recovery_seconds", elapsed.as_secs_f64(), &labels);
        event!(
            Info,
            "recovered",
            phase = phase.name(),
            ms = elapsed.as_millis()
        );
    }
}
