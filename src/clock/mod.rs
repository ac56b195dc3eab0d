//! The clock as a trait, so that the code that makes decisions never reads the time itself.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A source of monotonic and wall time.
pub trait Clock: Send + Sync {
    /// Returns the time since an arbitrary fixed start; never decreases.
    fn now(&self) -> Duration;

    /// Returns the milliseconds since the Unix epoch, for records that people read.
    fn wall_ms(&self) -> u64;
}

/// The operating system's clock. It includes time for which the VM was suspended, so that a lease
/// does not outlive a suspension.
#[derive(Debug)]
pub struct System {
    start: Duration,
}

impl System {
    /// Returns a clock that starts at zero now.
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

/// Returns the time since the VM booted, or the monotonic time if the system has no such clock.
fn since_boot() -> Duration {
    match nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(_) => monotonic(),
    }
}

fn monotonic() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }

    fn wall_ms(&self) -> u64 {
        wall_ms()
    }
}

/// Returns the operating system's wall-clock time, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
