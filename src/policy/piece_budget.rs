//! Decides which responses are given up when bodies in many small pieces take too much processor time.
//!
//! A piece (a chunk, an event, or what is received at once) costs about the same time whatever its size, so
//! limits on bytes do not bound the time of a body. A sound response has few pieces, large ones, or sends
//! them at the pace at which they are generated. What goes beyond that comes out of a budget of all
//! responses, which refills at a fixed rate. When it is used up, the upstream that has taken most of it
//! loses the responses that took from it: they would go on, and more of them would come.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::HashMap;

/// Pieces that each response may have at once, and further ones per second.
const FREE_PIECES: u64 = 1024;
const FREE_PIECES_PER_S: u64 = 100;

/// The same for complete events of a stream, each of which also pays for a piece. They are what its caller
/// asked for, and come as fast as a model generates.
const FREE_EVENTS: u64 = 2048;
const FREE_EVENTS_PER_S: u64 = 500;

/// Size from which pieces are not limited in number. Full packets are larger.
const LARGE_PIECE_BYTES: u64 = 256;

/// Part of the budget that the others have at once after responses were given up.
const RESERVE: f64 = 0.125;

/// What has been read of a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct Read {
    /// Chunks, or what was received at once of a larger one.
    pub pieces: u64,
    /// Bytes of the body.
    pub bytes: u64,
    /// Complete events.
    pub events: u64,
}

/// What all responses together may have beyond what is free.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// At once.
    pub pieces: u64,
    /// Per second.
    pub pieces_per_s: u64,
}

#[derive(Debug)]
struct Row {
    upstream: SocketAddr,
    opened_at: Duration,
    read: Read,
    /// Pieces and events that were taken from the budget.
    charged: u64,
    /// Those of them that were taken since the budget was last full, and when it was: so many times full.
    recent: u64,
    round: u64,
}

impl Row {
    /// Returns how many pieces and events the response has beyond those that are free.
    fn excess(&self, now: Duration) -> u64 {
        let age_ms = u64::try_from(now.saturating_sub(self.opened_at).as_millis());
        let age_ms = age_ms.unwrap_or(u64::MAX);
        let in_age = |per_s: u64| age_ms.saturating_mul(per_s) / 1000;
        let Read {
            pieces,
            bytes,
            events,
        } = self.read;
        let free_pieces = FREE_PIECES + bytes / LARGE_PIECE_BYTES + events;
        pieces.saturating_sub(free_pieces.saturating_add(in_age(FREE_PIECES_PER_S)))
            + events.saturating_sub(FREE_EVENTS.saturating_add(in_age(FREE_EVENTS_PER_S)))
    }
}

/// The pieces of responses that are being read, by a number for each response.
#[derive(Debug)]
pub struct PieceBudget {
    limits: Limits,
    left: f64,
    refilled_at: Duration,
    /// How many times the budget has become full again.
    round: u64,
    rows: HashMap<u64, Row>,
}

impl PieceBudget {
    /// Creates a budget that is full.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            left: limits.pieces as f64,
            refilled_at: Duration::ZERO,
            round: 0,
            rows: HashMap::default(),
        }
    }

    /// Adds the response `number`, whose head has been received from `upstream`.
    pub fn open(&mut self, number: u64, upstream: SocketAddr, now: Duration) {
        let row = Row {
            upstream,
            opened_at: now,
            read: Read::default(),
            charged: 0,
            recent: 0,
            round: 0,
        };
        self.rows.insert(number, row);
    }

    /// Records what has been read further of a response. Returns the numbers of the responses that are given
    /// up for it, which may include its own; they no longer count.
    pub fn record(&mut self, number: u64, read: Read, now: Duration) -> Vec<u64> {
        self.refill(now);
        let Some(row) = self.rows.get_mut(&number) else {
            return Vec::new();
        };
        row.read.pieces += read.pieces;
        row.read.bytes += read.bytes;
        row.read.events += read.events;
        let charge = row.excess(now).saturating_sub(row.charged);
        if charge == 0 {
            return Vec::new();
        }
        row.charged += charge;
        if row.round != self.round {
            (row.round, row.recent) = (self.round, 0);
        }
        row.recent += charge;
        self.left -= charge as f64;
        if self.left >= 0.0 {
            return Vec::new();
        }
        self.left = self.limits.pieces as f64 * RESERVE;
        self.remove_costliest()
    }

    /// Removes a response.
    pub fn close(&mut self, number: u64) {
        self.rows.remove(&number);
    }

    /// Removes the responses that took from the budget of the upstream that has taken most since the budget
    /// was full. What was taken before has been paid back.
    fn remove_costliest(&mut self) -> Vec<u64> {
        let round = self.round;
        let is_recent = |row: &Row| row.round == round && row.recent > 0;
        let mut taken: HashMap<SocketAddr, u64> = HashMap::default();
        for row in self.rows.values().filter(|row| is_recent(row)) {
            *taken.entry(row.upstream).or_default() += row.recent;
        }
        let costliest = taken
            .into_iter()
            .max_by_key(|&(upstream, taken)| (taken, upstream));
        let Some((upstream, _)) = costliest else {
            return Vec::new();
        };
        let rows = self
            .rows
            .extract_if(|_, row| row.upstream == upstream && is_recent(row));
        rows.map(|(number, _)| number).collect()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let gained = elapsed * self.limits.pieces_per_s as f64;
        let full = self.limits.pieces as f64;
        if self.left < full && self.left + gained >= full {
            self.round += 1;
        }
        self.left = (self.left + gained).min(full);
        self.refilled_at = now;
    }
}
