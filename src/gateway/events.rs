//! Splits a byte stream into complete server-sent events and tracks their ids.

use memchr::memmem;
use ntex::util::Bytes;

/// Maximum size of buffered data without a complete event.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Buffer for the events of one response.
#[derive(Debug, Default)]
pub(super) struct Events {
    buf: Vec<u8>,
    last_id: Option<u64>,
    sent: u64,
}

impl Events {
    /// Creates a buffer for the events that follow the one with id `last_id`.
    pub(super) fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends a chunk of the stream; returns the reason if the buffer would exceed its limit.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Result<(), &'static str> {
        if self.buf.len() + chunk.len() > EVENT_LIMIT_BYTES {
            return Err("event exceeds the size limit");
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// Removes and returns all complete events, with the blank lines after them; `None` if there
    /// are none.
    pub(super) fn take_complete(&mut self) -> Option<Bytes> {
        let end = memmem::rfind(&self.buf, b"\n\n")? + 2;
        let complete = Bytes::copy_from_slice(&self.buf[..end]);
        self.buf.drain(..end);
        for line in complete.split(|&b| b == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                let text = std::str::from_utf8(id).unwrap_or_default();
                self.last_id = text.trim().parse().ok().or(self.last_id);
                self.sent += 1;
            }
        }
        Some(complete)
    }

    /// Returns whether no part of an incomplete event is buffered.
    pub(super) fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Discards an incomplete event; the next upstream sends it again from its start.
    pub(super) fn discard_partial(&mut self) {
        self.buf.clear();
    }

    /// Returns the id of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events with an id so far.
    pub(super) fn sent(&self) -> u64 {
        self.sent
    }
}
