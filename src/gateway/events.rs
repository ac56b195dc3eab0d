//! Splits a byte stream into complete server-sent events and tracks their ids.

use memchr::memmem;
use ntex::util::Bytes;

/// Maximum size of buffered data without a complete event.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Size of an incomplete event from which it is taken for one without end, if its response had to be
/// given up for the memory of all. Usual events are far smaller.
const EXCESSIVE_EVENT_BYTES: usize = EVENT_LIMIT_BYTES / 4;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Buffer for the events of one response.
#[derive(Debug, Default)]
pub(super) struct Events {
    buf: Vec<u8>,
    /// Length of the part of the buffer that holds no end of an event, so that an event without end
    /// is not searched again with each chunk.
    searched: usize,
    last_id: Option<u64>,
    /// Id above which that of the next event is; `None` if the caller has no event of this response.
    floor: Option<u64>,
    sent: u64,
    /// Complete events that were taken last, with an id or without.
    taken: usize,
    /// Whether the next event is the first one of an upstream that resumes the stream.
    is_resuming: bool,
}

impl Events {
    /// Creates a buffer for the events that follow the one with id `last_id`.
    pub(super) fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends a chunk of the stream; returns the reason if the buffer would exceed its limit or the
    /// stream does not go on after the last event.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Result<(), &'static str> {
        if self.buf.len() + chunk.len() > EVENT_LIMIT_BYTES {
            return Err("event exceeds the size limit");
        }
        self.buf.extend_from_slice(chunk);
        if self.is_resuming
            && let begin = self.searched.saturating_sub(1)
            && let Some(end) = memmem::find(&self.buf[begin..], EVENT_END)
        {
            let end = begin + end;
            if !self.goes_on_with(&self.buf[..end]) {
                return Err("resumed stream does not go on after the last event");
            }
            self.is_resuming = false;
        }
        Ok(())
    }

    /// Returns whether `event` may be the next one: it has an id, which is above the last one's.
    fn goes_on_with(&self, event: &[u8]) -> bool {
        let Some(id) = id_fields(event).next() else {
            return false;
        };
        match (parse_id(id), self.last_id) {
            (Some(id), Some(last_id)) => id > last_id,
            _ => true,
        }
    }

    /// Removes and returns all complete events, with the blank lines after them; `None` if there
    /// are none. Ends before an event whose id does not rise; fails if that is the first one.
    pub(super) fn take_complete(&mut self) -> Result<Option<Bytes>, &'static str> {
        let begin = self.searched.saturating_sub(1);
        let Some(end) = memmem::rfind(&self.buf[begin..], EVENT_END) else {
            self.searched = self.buf.len();
            return Ok(None);
        };
        self.searched = 0;
        let end = self.record_events(begin + end + EVENT_END.len());
        if end == 0 {
            return Err("event ids do not rise");
        }
        let complete = Bytes::copy_from_slice(&self.buf[..end]);
        self.buf.drain(..end);
        Ok(Some(complete))
    }

    /// Records the events in the first `len` bytes; returns the end of those whose ids rise.
    fn record_events(&mut self, len: usize) -> usize {
        self.taken = 0;
        let mut begin = 0;
        while begin < len {
            let end = memmem::find(&self.buf[begin..len], EVENT_END)
                .map_or(len, |end| begin + end + EVENT_END.len());
            let (mut last_id, mut sent) = (None, 0);
            for id in id_fields(&self.buf[begin..end]) {
                last_id = parse_id(id).or(last_id);
                sent += 1;
            }
            if last_id.is_some_and(|id| self.floor.is_some_and(|floor| id <= floor)) {
                break;
            }
            self.floor = last_id.or(self.floor);
            self.last_id = last_id.or(self.last_id);
            self.sent += sent;
            self.taken += 1;
            begin = end;
        }
        begin
    }

    /// Returns how many events [`Self::take_complete`] returned last.
    pub(super) fn taken(&self) -> usize {
        self.taken
    }

    /// Returns the number of buffered bytes.
    pub(super) fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether the incomplete event is so large that it may have no end.
    pub(super) fn is_excessive(&self) -> bool {
        self.buf.len() >= EXCESSIVE_EVENT_BYTES
    }

    /// Returns whether no part of an incomplete event is buffered.
    pub(super) fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Discards an incomplete event, with its memory; the next upstream sends it again from its start.
    pub(super) fn interrupt(&mut self) {
        self.buf = Vec::new();
        self.searched = 0;
        self.floor = self.last_id;
        self.is_resuming = true;
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

/// Returns how many events end in `chunk`, without one whose end two chunks share.
pub(super) fn count_ends(chunk: &[u8]) -> usize {
    memmem::find_iter(chunk, EVENT_END).count()
}

/// Returns the values of the fields that hold the id of `event`.
fn id_fields(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let line_ends = memchr::memchr_iter(b'\n', event);
    let lines = std::iter::once(0).chain(line_ends.map(|end| end + 1));
    lines.filter_map(|begin| {
        let value = event[begin..].strip_prefix(b"id:")?;
        Some(memchr::memchr(b'\n', value).map_or(value, |end| &value[..end]))
    })
}

fn parse_id(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
