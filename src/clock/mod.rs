//! The clock as an interface, so that decisions never read time themselves.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A source of monotonic and wall time.
pub trait Clock: Send + Sync {
    /// Time since an arbitrary fixed start; never goes back.
    fn now(&self) -> Duration;

    /// Milliseconds since the Unix epoch, for records that people read.
    fn wall_ms(&self) -> u64;
}

/// The operating system's clock. It counts time in which the VM was suspended: a lease must not
/// outlive it.
#[derive(Debug)]
pub struct System {
    start: Duration,
}

impl System {
    /// Starts counting now.
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

/// Time since the VM was started. Where the system has no such clock, the monotonic one stands in.
fn since_boot() -> Duration {
    match nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(_) => monotonic(),
    }
}

fn monotonic() -> Duration {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
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

/// The operating system's wall clock, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
