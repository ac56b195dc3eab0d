//! Server-sent events of a streamed answer, looked at without parsing their JSON.

use memchr::memmem;
use ntex::util::Bytes;
use ntex::util::BytesMut;
use serde_json::Value;

use crate::api::Usage;

/// Most bytes of one event.
const EVENT_LIMIT: usize = 1024 * 1024;

/// What an event is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// A piece of text.
    Token,
    /// The last piece: why the answer ends.
    Finish,
    /// Usage figures alone.
    Usage,
    /// The end of the stream.
    Done,
    /// An error of the engine's.
    Error,
    /// Anything else, such as a comment that keeps the connection alive.
    Other,
}

/// Tells what an event is.
pub(crate) fn kind(event: &[u8]) -> Kind {
    let has = |needle: &[u8]| memmem::find(event, needle).is_some();
    if !event.starts_with(b"data:") {
        return Kind::Other;
    }
    if has(b"data: [DONE]") || has(b"data:[DONE]") {
        Kind::Done
    } else if has(b"\"finish_reason\":\"") {
        Kind::Finish
    } else if has(b"\"content\":\"") {
        Kind::Token
    } else if has(b"\"usage\":{") {
        Kind::Usage
    } else if has(b"\"error\":{") {
        Kind::Error
    } else {
        Kind::Other
    }
}

/// Cuts a stream of bytes into events.
#[derive(Default)]
pub(crate) struct Splitter {
    buf: BytesMut,
}

/// The stream has an event that is too long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TooLong;

impl Splitter {
    pub(crate) fn push(&mut self, chunk: &Bytes) -> Result<(), TooLong> {
        if self.buf.len() + chunk.len() > 4 * EVENT_LIMIT {
            return Err(TooLong);
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// The next whole event, its blank line included.
    pub(crate) fn next_event(&mut self) -> Option<BytesMut> {
        let at = memmem::find(&self.buf, b"\n\n")?;
        Some(BytesMut::from(self.buf.split_to(at + 2)))
    }
}

/// The JSON of an event.
pub(crate) fn json(event: &[u8]) -> Option<Value> {
    let text = event.strip_prefix(b"data:")?;
    serde_json::from_slice(text.trim_ascii()).ok()
}

/// Usage figures of an event's or an answer's JSON.
pub(crate) fn usage(value: &Value) -> Option<Usage> {
    serde_json::from_value(value.get("usage")?.clone()).ok()
}

/// Puts `to` in the place of `from` wherever it stands; both have the same length.
pub(crate) fn replace_id(event: &mut [u8], from: &str, to: &str) {
    debug_assert_eq!(from.len(), to.len());
    let found: Vec<usize> = memmem::find_iter(&*event, from.as_bytes()).collect();
    for at in found {
        event[at..at + to.len()].copy_from_slice(to.as_bytes());
    }
}
