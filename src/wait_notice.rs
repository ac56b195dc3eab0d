//! When a process logs that it still waits for something.

use std::time::Duration;

/// Interval between notices: often enough that the end of the log of a process shows why it does not
/// serve.
const INTERVAL: Duration = Duration::from_secs(5);

/// The notices of one wait.
#[derive(Debug, Default)]
pub(crate) struct WaitNotice {
    /// When the next notice is due; `None` if there is no wait.
    due_at: Option<Duration>,
}

impl WaitNotice {
    /// Records that the process still waits. Returns whether it must log this now: at once, then once
    /// per [`INTERVAL`].
    pub(crate) fn is_due(&mut self, now: Duration) -> bool {
        let is_due = self.due_at.is_none_or(|due_at| now >= due_at);
        if is_due {
            self.due_at = Some(now + INTERVAL);
        }
        is_due
    }

    /// Records that the process doesn't wait. Returns whether it did, so that it must log the end.
    pub(crate) fn end(&mut self) -> bool {
        self.due_at.take().is_some()
    }
}
