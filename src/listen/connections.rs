//! The open connections of a listener, and what has not been written to them.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::io::Id;
use ntex::io::IoRef;
use ntex::util::Bytes;

use super::waste;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::log::event;
use crate::metrics::Metrics;
use crate::policy::stalled_callers;
use crate::policy::stalled_callers::MIN_STALL;
use crate::policy::stalled_callers::Progress;
use crate::policy::stalled_callers::Unwritten;

/// Interval between checks for callers that take nothing.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Size from which the memory of a response is accounted for as a whole.
const LARGE_RESPONSE_BYTES: usize = 64 * 1024;

/// Interval between checks whether all responses have been written.
const WRITTEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The open connections of a listener; clones share them.
#[derive(Clone, Default)]
pub struct Connections {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    next_key: Cell<u64>,
    rows: RefCell<HashMap<u64, Row>>,
    /// Connections that were registered by one of their requests.
    tracked: RefCell<HashSet<Id>>,
    /// Sizes of the large responses that are being written. A response keeps all its memory until
    /// its last byte has been written.
    responses: RefCell<HashMap<Id, usize>>,
    metrics: OnceCell<Metrics>,
}

struct Row {
    io: IoRef,
    progress: Progress,
}

/// Work that is left on the open connections of a listener.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Backlog {
    /// Open connections.
    pub(crate) connections: usize,
    /// Connections with unwritten bytes.
    pub(crate) unwritten_connections: usize,
    /// Bytes of responses that have not been handed to the operating system.
    pub(crate) unwritten_bytes: usize,
    /// Bytes of requests that have been received and not parsed.
    pub(crate) unread_bytes: usize,
}

impl Connections {
    /// Counts a connection as open until the returned value is dropped.
    pub(super) fn register(&self, io: IoRef, now: Duration) -> OpenConnection {
        let key = self.shared.next_key.get();
        self.shared.next_key.set(key + 1);
        let row = Row {
            io: io.clone(),
            progress: Progress::new(now),
        };
        self.shared.rows.borrow_mut().insert(key, row);
        OpenConnection {
            connections: self.clone(),
            key,
            id: io.id(),
            io,
        }
    }

    /// Counts ended connections in `metrics`.
    pub(crate) fn set_metrics(&self, metrics: Metrics) {
        waste::set_metrics(metrics.clone());
        let _ = self.shared.metrics.set(metrics);
    }

    /// Counts the connection of a request as open until it ends.
    pub(crate) fn track(&self, io: &IoRef, now: Duration) {
        let id = io.id();
        if !self.shared.tracked.borrow_mut().insert(id) {
            return;
        }
        let open = self.register(io.clone(), now);
        let end = io.on_disconnect();
        tokio::task::spawn_local(async move {
            end.await;
            open.connections.shared.tracked.borrow_mut().remove(&id);
        });
    }

    /// Records the size of a response that is about to be written as a whole.
    pub(crate) fn record_response(&self, io: &IoRef, bytes: usize) {
        if bytes >= LARGE_RESPONSE_BYTES {
            self.shared.responses.borrow_mut().insert(io.id(), bytes);
        }
    }

    fn forget_response(&self, id: Id) -> bool {
        self.shared.responses.borrow_mut().remove(&id).is_some()
    }

    /// Returns the memory of what is left to write.
    fn held_bytes(&self, io: &IoRef, unwritten: usize) -> usize {
        let mut responses = self.shared.responses.borrow_mut();
        if unwritten == 0 {
            responses.remove(&io.id());
            return 0;
        }
        let response = responses.get(&io.id()).copied().unwrap_or_default();
        response.max(unwritten)
    }

    pub(super) fn count(&self) -> usize {
        self.shared.rows.borrow().len()
    }

    /// Waits until all responses have been handed to the operating system, for up to `limit`.
    pub async fn wait_until_written(&self, limit: Duration) {
        let written = async {
            while self.backlog().unwritten_bytes > 0 {
                tokio::time::sleep(WRITTEN_POLL_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(limit, written).await;
    }

    /// Returns what has not been parsed and what has not been written yet.
    pub(crate) fn backlog(&self) -> Backlog {
        let rows = self.shared.rows.borrow();
        let mut backlog = Backlog {
            connections: rows.len(),
            ..Backlog::default()
        };
        for row in rows.values() {
            let unwritten = unwritten_bytes(&row.io);
            backlog.unwritten_connections += usize::from(unwritten > 0);
            backlog.unwritten_bytes += unwritten;
            backlog.unread_bytes += row.io.with_read_src_buf(|buf| buf.len());
        }
        backlog
    }

    /// Ends connections whose callers take nothing.
    fn end_stalled(&self, listener: SocketAddr, now: Duration, limit_bytes: usize) {
        let mut unwritten = Vec::new();
        for (&key, row) in self.shared.rows.borrow_mut().iter_mut() {
            let left = left_to_write(&row.io);
            let stalled_for = row.progress.observe(left, now);
            if stalled_for >= MIN_STALL && self.forget_response(row.io.id()) {
                copy_unwritten(&row.io);
                row.progress.record_move(left_to_write(&row.io));
            }
            let bytes = self.held_bytes(&row.io, left.bytes);
            if bytes > 0 {
                unwritten.push(stalled_callers::Connection {
                    key,
                    bytes,
                    stalled_for,
                });
            }
        }
        for connection in stalled_callers::to_end(unwritten, limit_bytes) {
            let rows = self.shared.rows.borrow();
            let io = rows.get(&connection.key).map(|row| row.io.clone());
            drop(rows);
            let Some(io) = io else {
                continue;
            };
            event!(
                Warn,
                "caller_stalled",
                address = listener,
                held = connection.bytes,
                stalled_ms = connection.stalled_for.as_millis()
            );
            if let Some(metrics) = self.shared.metrics.get() {
                metrics.add_to_counter("daisyquay_stalled_callers", 1, &[]);
            }
            io.terminate();
        }
    }
}

/// Ends the connections of callers that take nothing. Together they may have `limit_bytes` unwritten.
pub(crate) async fn end_stalled(
    connections: Connections,
    listener: SocketAddr,
    clock: impl Fn() -> Duration,
    limit_bytes: usize,
) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        connections.end_stalled(listener, clock(), limit_bytes);
    }
}

/// A registered connection.
pub(super) struct OpenConnection {
    connections: Connections,
    key: u64,
    /// Unlike the connection's own, it stays after the end of the connection.
    id: Id,
    io: IoRef,
}

impl OpenConnection {
    /// Logs what the caller did not get, if the connection has ended with unwritten bytes.
    pub(super) fn log_end(&self, listener: SocketAddr) {
        let unwritten = unwritten_bytes(&self.io);
        if unwritten == 0 {
            return;
        }
        // Without an error, this process has closed the connection.
        let reason = match self.io.send_buf() {
            Ok(()) => "closed by this process".to_owned(),
            Err(e) => e.to_string(),
        };
        event!(
            Warn,
            "response_cut",
            address = listener,
            unwritten = unwritten,
            reason = reason
        );
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let shared = &self.connections.shared;
        shared.rows.borrow_mut().remove(&self.key);
        shared.responses.borrow_mut().remove(&self.id);
    }
}

/// Copies what is left to write, in pieces, so that the rest of a large response is freed now and
/// each piece once it has been written.
fn copy_unwritten(io: &IoRef) {
    io.with_write_dst_buf(|buf| {
        let pages: Vec<_> = std::iter::from_fn(|| buf.take()).collect();
        for page in pages {
            for piece in page.as_ref().chunks(LARGE_RESPONSE_BYTES) {
                buf.append(Bytes::copy_from_slice(piece));
            }
        }
    });
}

fn left_to_write(io: &IoRef) -> Unwritten {
    io.with_write_dst_buf(|buf| Unwritten {
        bytes: buf.len(),
        position: buf.iter().next().map_or(0, |page| page.as_ptr() as usize),
    })
}

/// Returns the bytes of responses that have not been handed to the operating system.
fn unwritten_bytes(io: &IoRef) -> usize {
    io.with_write_dst_buf(|buf| buf.len())
}
