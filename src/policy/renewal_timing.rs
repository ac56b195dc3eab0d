//! The times at which a gateway renews, so that gateways that have started together learn of each
//! other soon and don't send their renewals at the same moments for good.

use std::time::Duration;

use crate::lease::RENEWAL_INTERVAL;

/// Time from the first grant to the next renewal of a gateway that does not know the others. After a
/// loss of power replicas hold the first renewals until there is a leader and release all of them
/// at once. Gateways introduce themselves to the new leader within this time, and until they know
/// each other, each places requests as if it were alone.
pub const EARLY_RENEWAL_INTERVAL: Duration = Duration::from_millis(120);

/// First delay of a renewal after an update could not be fetched; it doubles with each one in a row.
const FIRST_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Whether a gateway holds what it needs to serve requests: a configuration, and all upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It holds both.
    Complete,
    /// The directory has further pieces, and the last replica asked had one.
    Partial,
    /// No replica replied, or one that lags behind did.
    Unavailable,
    /// An update could not be applied. Replicas encode the same updates, so another attempt at once
    /// would rarely help.
    Rejected,
}

/// Decides the delay from one renewal to the next.
#[derive(Debug)]
pub struct RenewalTiming {
    /// Part of the first normal interval after which this gateway renews, from 0 to 1.
    phase: f64,
    /// Whether that interval has passed since the leader was found.
    is_spread: bool,
    /// Time of the first grant since the leader was found.
    first_grant_at: Option<Duration>,
    retry_interval: Duration,
}

impl RenewalTiming {
    /// Creates the timing of a gateway. `phase` is random, from 0 to 1.
    pub fn new(phase: f64) -> Self {
        Self {
            phase,
            is_spread: false,
            first_grant_at: None,
            retry_interval: FIRST_RETRY_INTERVAL,
        }
    }

    /// Records that a renewal was not granted.
    pub fn record_failure(&mut self) {
        self.is_spread = false;
        self.first_grant_at = None;
    }

    /// Records that a renewal was granted at `now`.
    pub fn record_grant(&mut self, now: Duration) {
        self.first_grant_at.get_or_insert(now);
    }

    /// Returns whether the other gateways have had the time to introduce themselves to the leader.
    pub fn may_list_gateways(&self, now: Duration) -> bool {
        self.first_grant_at
            .is_some_and(|at| now >= at + EARLY_RENEWAL_INTERVAL)
    }

    /// Returns the delay until the next renewal. `sent_at` is when the last one was sent, and
    /// `has_list` whether the gateway holds a list of the others, complete or not.
    pub fn next_delay(
        &mut self,
        progress: Progress,
        has_list: bool,
        sent_at: Duration,
        now: Duration,
    ) -> Duration {
        match progress {
            Progress::Partial => return Duration::ZERO,
            Progress::Unavailable => {
                let delay = self.retry_interval;
                self.retry_interval = (delay * 2).min(RENEWAL_INTERVAL);
                return delay;
            }
            Progress::Complete | Progress::Rejected => self.retry_interval = FIRST_RETRY_INTERVAL,
        }
        if progress == Progress::Complete && !has_list {
            let first_grant_at = self.first_grant_at.unwrap_or(now);
            let list_due = first_grant_at + EARLY_RENEWAL_INTERVAL;
            if now < list_due {
                return list_due - now;
            }
            return EARLY_RENEWAL_INTERVAL;
        }
        if !self.is_spread {
            self.is_spread = true;
            return RENEWAL_INTERVAL.mul_f64(self.phase);
        }
        (sent_at + RENEWAL_INTERVAL).saturating_sub(now)
    }
}
