//! The open connections of a listener, and what has not been written to them.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::io::IoRef;

use crate::collections::HashMap;
use crate::log::event;

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
    rows: RefCell<HashMap<u64, IoRef>>,
}

/// What the open connections of a listener still have to do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Backlog {
    /// Open connections.
    pub(crate) connections: usize,
    /// Connections with bytes that have not been handed to the operating system.
    pub(crate) unwritten_connections: usize,
    /// Those bytes.
    pub(crate) unwritten_bytes: usize,
}

impl Connections {
    /// Counts a connection as open until the returned value is dropped.
    pub(super) fn register(&self, io: IoRef) -> OpenConnection {
        let key = self.shared.next_key.get();
        self.shared.next_key.set(key + 1);
        self.shared.rows.borrow_mut().insert(key, io.clone());
        OpenConnection {
            connections: self.clone(),
            key,
            io,
        }
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

    /// Returns what has not been written yet.
    pub(crate) fn backlog(&self) -> Backlog {
        let rows = self.shared.rows.borrow();
        let mut backlog = Backlog {
            connections: rows.len(),
            ..Backlog::default()
        };
        for bytes in rows
            .values()
            .map(unwritten_bytes)
            .filter(|&bytes| bytes > 0)
        {
            backlog.unwritten_connections += 1;
            backlog.unwritten_bytes += bytes;
        }
        backlog
    }
}

/// A registered connection.
pub(super) struct OpenConnection {
    connections: Connections,
    key: u64,
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
        self.connections.shared.rows.borrow_mut().remove(&self.key);
    }
}

/// Returns the bytes of responses that have not been handed to the operating system.
fn unwritten_bytes(io: &IoRef) -> usize {
    io.with_write_dst_buf(|buf| buf.len())
}
