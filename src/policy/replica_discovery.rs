//! Decides when a process tells the VMs of its settings which replicas there are, and whom it asks.

use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two questions to other processes which replicas there are.
pub const QUESTION_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a process without a replica asks one which replicas there are.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two attempts of it while no replica follows a leader.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which it passes a list on: two attempts to refresh it.
pub const LIST_TTL: Duration = Duration::from_secs(5);

/// Number of processes asked at a time.
const ASKED_PROCESSES: usize = 2;

/// Interval between checks whether a leader is known.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two reports to the same process. It may have restarted in between, with settings
/// that name nobody who knows the replicas.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Interval after the first report; it doubles up to [`REPORT_INTERVAL`]. VMs that start at the same
/// time don't listen yet.
const FIRST_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the processes to ask now: some of those at `addresses`.
pub fn choose_asked(mut addresses: Vec<SocketAddr>, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
    rng.shuffle(&mut addresses);
    addresses.truncate(ASKED_PROCESSES);
    addresses
}

/// The reports of a process.
#[derive(Clone, Debug)]
pub struct Reports {
    /// Whether the first one waits for a random part of the interval.
    is_spread: bool,
    /// Interval after the next report; `None` while no leader is heard of.
    interval: Option<Duration>,
}

/// A step of the reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Processes to tell now.
    pub to: Vec<SocketAddr>,
    /// Time until the next step, once they have replied.
    pub delay: Duration,
}

impl Reports {
    /// Creates the reports of a replica, which is the first to know, so they begin at once.
    pub fn at_once() -> Self {
        Self {
            is_spread: false,
            interval: None,
        }
    }

    /// Creates the reports of another process. Hundreds of them may hear of a leader at the same time,
    /// so the first ones are spread over the normal interval.
    pub fn spread() -> Self {
        Self {
            is_spread: true,
            interval: None,
        }
    }

    /// Returns what is due now. `replicas` are those known; none while no leader is heard of. `phase`
    /// is random, from 0 to 1.
    pub fn next(&mut self, replicas: &[SocketAddr], targets: &[SocketAddr], phase: f64) -> Report {
        let wait = |delay| Report {
            to: Vec::new(),
            delay,
        };
        if replicas.is_empty() {
            self.interval = None;
            return wait(CHECK_INTERVAL);
        }
        let interval = match self.interval {
            Some(interval) => interval,
            None if self.is_spread => {
                self.interval = Some(REPORT_INTERVAL);
                return wait(REPORT_INTERVAL.mul_f64(phase));
            }
            None => FIRST_REPORT_INTERVAL,
        };
        // Members of the log know each other.
        let others = targets.iter().filter(|target| !replicas.contains(target));
        self.interval = Some((2 * interval).min(REPORT_INTERVAL));
        Report {
            to: others.copied().collect(),
            delay: interval.mul_f64(0.75 + phase / 2.0),
        }
    }
}
