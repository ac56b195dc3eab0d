//! Decides how much a stream may still have after its deadline.
//!
//! A stream whose events never end always has more at once, so that waiting for more never times out. The
//! rest of a sound stream may lie in socket buffers at its deadline, if its caller reads late.

use std::time::Duration;

/// Bytes that a stream may have after its deadline whose caller takes what there is.
const LIMIT_BYTES: usize = 256 * 1024;

/// The same if its caller reads late: as many as the largest body that is not a stream.
const LATE_CALLER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Pause of a caller that reads late. A caller that reads slowly makes such pauses, too, as the operating
/// system asks for more only when a good part of its buffers is free.
const CALLER_PAUSE: Duration = Duration::from_millis(100);

/// Bytes that one stream has delivered after its deadline.
#[derive(Debug, Default)]
pub struct OverdueStream {
    /// When the caller was last given a part of the stream.
    passed_on_at: Option<Duration>,
    is_caller_late: bool,
    bytes: usize,
}

impl OverdueStream {
    /// Records that the caller is given a part of the stream.
    pub fn pass_on(&mut self, now: Duration) {
        self.passed_on_at = Some(now);
    }

    /// Records that the caller asks for more.
    pub fn request_more(&mut self, now: Duration) {
        let pause = self.passed_on_at.map(|at| now.saturating_sub(at));
        self.is_caller_late |= pause.is_some_and(|pause| pause >= CALLER_PAUSE);
    }

    /// Records further bytes of a stream with `time_left` before its deadline; returns whether it may
    /// have them.
    pub fn may_have(&mut self, bytes: usize, time_left: Duration) -> bool {
        if !time_left.is_zero() {
            return true;
        }
        self.bytes += bytes;
        let limit = if self.is_caller_late {
            LATE_CALLER_LIMIT_BYTES
        } else {
            LIMIT_BYTES
        };
        self.bytes <= limit
    }
}
