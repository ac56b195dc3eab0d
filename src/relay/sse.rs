//! Server-sent events of a streamed response, classified without parsing their JSON.

use bytes::BytesMut;
use memchr::memmem;
use serde_json::Value;

use crate::api::Usage;

/// Allowance per event in bytes; a stream may buffer four times as much.
const NOMINAL_EVENT_BYTES: usize = 1024 * 1024;

/// The kind of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventKind {
    /// A chunk with generated text.
    Token,
    /// The chunk with the finish reason.
    Finish,
    /// A chunk with nothing but the usage.
    Usage,
    /// `[DONE]`, the end of the stream.
    Done,
    /// An error from the engine, or anything else with data that is no chunk of the response.
    Error,
    /// A chunk without text, or an event without data, such as a keep-alive comment.
    Other,
}

/// Classifies an event.
pub(crate) fn classify(event: &[u8]) -> EventKind {
    let contains = |needle: &[u8]| memmem::find(event, needle).is_some();
    if !event.starts_with(b"data:") {
        return EventKind::Other;
    }
    if contains(b"data: [DONE]") || contains(b"data:[DONE]") {
        EventKind::Done
    } else if contains(b"\"error\":{") || contains(b"\"error\":\"") {
        EventKind::Error
    } else if contains(b"\"finish_reason\":\"") {
        EventKind::Finish
    } else if contains(b"\"content\":\"") {
        EventKind::Token
    } else if contains(b"\"usage\":{") {
        EventKind::Usage
    } else if contains(b"\"choices\":[") {
        EventKind::Other
    } else {
        EventKind::Error
    }
}

/// Splits a byte stream into events.
#[derive(Default)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
    /// Length of the part of the buffer that holds no end of an event, so that an event without end
    /// is not searched again with each chunk.
    searched: usize,
}

/// An event, or the bytes buffered with it, exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EventTooLarge;

impl EventSplitter {
    /// Appends a chunk.
    ///
    /// # Errors
    ///
    /// The unsplit bytes would exceed four times [`NOMINAL_EVENT_BYTES`].
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<(), EventTooLarge> {
        if self.buf.len() + chunk.len() > 4 * NOMINAL_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the next complete event with its terminating blank line.
    pub(crate) fn next_event(&mut self) -> Option<BytesMut> {
        let begin = self.searched.saturating_sub(1);
        let Some(end) = memmem::find(&self.buf[begin..], b"\n\n") else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        Some(self.buf.split_to(begin + end + 2))
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn buffered(&self) -> usize {
        self.buf.len()
    }
}

/// Parses an event's data as JSON; `None` where there is none.
pub(crate) fn event_json(event: &[u8]) -> Option<Value> {
    let text = event.strip_prefix(b"data:")?;
    serde_json::from_slice(text.trim_ascii()).ok()
}

/// Returns the usage from the JSON of an event or a response.
pub(crate) fn parse_usage(value: &Value) -> Option<Usage> {
    serde_json::from_value(value.get("usage")?.clone()).ok()
}

/// Replaces each occurrence of `from` by `to`, which has the same length.
pub(crate) fn replace_id(event: &mut [u8], from: &str, to: &str) {
    debug_assert_eq!(from.len(), to.len());
    let positions: Vec<usize> = memmem::find_iter(&*event, from.as_bytes()).collect();
    for at in positions {
        event[at..at + to.len()].copy_from_slice(to.as_bytes());
    }
}
