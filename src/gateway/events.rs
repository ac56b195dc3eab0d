//! Cuts a stream of bytes into whole events and keeps count of their ids.

use memchr::memmem;
use ntex::util::Bytes;

/// Most bytes of one event.
const EVENT_LIMIT: usize = 1024 * 1024;

/// The events of one answer.
#[derive(Debug, Default)]
pub(super) struct Events {
    buf: Vec<u8>,
    last_id: Option<u64>,
    sent: u64,
}

impl Events {
    /// Events that follow the one with that id.
    pub(super) fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes of the stream.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Result<(), &'static str> {
        if self.buf.len() + chunk.len() > EVENT_LIMIT {
            return Err("an event is too long");
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// All whole events that have come, blank lines included.
    pub(super) fn take(&mut self) -> Option<Bytes> {
        let end = memmem::rfind(&self.buf, b"\n\n")? + 2;
        let whole = Bytes::copy_from_slice(&self.buf[..end]);
        self.buf.drain(..end);
        for event in whole.split(|&b| b == b'\n') {
            if let Some(id) = event.strip_prefix(b"id:") {
                let text = std::str::from_utf8(id).unwrap_or_default();
                self.last_id = text.trim().parse().ok().or(self.last_id);
                self.sent += 1;
            }
        }
        Some(whole)
    }

    /// Whether nothing of a further event has come.
    pub(super) fn is_between(&self) -> bool {
        self.buf.is_empty()
    }

    /// Forgets an event that broke off; its like comes again from the next upstream.
    pub(super) fn drop_partial(&mut self) {
        self.buf.clear();
    }

    /// Id of the last whole event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whole events so far.
    pub(super) fn sent(&self) -> u64 {
        self.sent
    }
}
