//! How much is read of response bodies.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use http::StatusCode;
use tokio::time::Instant;

use crate::log::event;

/// Pieces of a body from which it is logged. Most bodies have one, or one a token.
const MANY_PIECES: u64 = 4096;

/// Bytes and pieces of all response bodies that were read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BodyTotals {
    /// Bytes, without their framing.
    pub(crate) bytes: u64,
    /// Chunks, or what was received at once of a larger one. Each costs processor time, whatever its size.
    pub(crate) pieces: u64,
}

/// Bytes and pieces of one response body; added to the totals when this is dropped.
pub(super) struct BodyTraffic {
    upstream: SocketAddr,
    status: StatusCode,
    began_at: Instant,
    bytes: u64,
    pieces: u64,
    totals: Rc<Cell<BodyTotals>>,
}

impl BodyTraffic {
    /// Begins with the head of a response of `upstream`.
    pub(super) fn new(
        upstream: SocketAddr,
        status: StatusCode,
        totals: Rc<Cell<BodyTotals>>,
    ) -> Self {
        Self {
            upstream,
            status,
            began_at: Instant::now(),
            bytes: 0,
            pieces: 0,
            totals,
        }
    }

    /// Counts a piece of the body.
    pub(super) fn record_piece(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.pieces += 1;
    }
}

impl Drop for BodyTraffic {
    fn drop(&mut self) {
        let mut totals = self.totals.get();
        totals.bytes += self.bytes;
        totals.pieces += self.pieces;
        self.totals.set(totals);
        if self.pieces >= MANY_PIECES {
            event!(
                Info,
                "body_in_many_pieces",
                upstream = self.upstream,
                status = self.status.as_u16(),
                bytes = self.bytes,
                pieces = self.pieces,
                ms = self.began_at.elapsed().as_millis()
            );
        }
    }
}
