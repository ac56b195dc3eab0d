//! Accounts for the memory and the processor time of responses that are being read, and ends those that
//! exceed the limits of all together.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::RequestError;
use crate::collections::HashMap;
use crate::log::event;
use crate::policy::buffer_budget::BufferBudget;
use crate::policy::piece_budget;
use crate::policy::piece_budget::PieceBudget;
use crate::policy::piece_budget::Read;

/// Pieces of bodies beyond those that each response may have. Together they take less than a tenth of a
/// second of a processor at once, and some hundredths of it for as long as they come.
const PIECE_LIMITS: piece_budget::Limits = piece_budget::Limits {
    pieces: 64 * 1024,
    pieces_per_s: 20_000,
};

/// Why a response is given up whose body takes too much processor time.
const TOO_MANY_PIECES: &str = "response body comes in too many small pieces";

/// The reader of a response.
struct Reader {
    upstream: SocketAddr,
    /// Why the response is given up.
    error: Cell<Option<RequestError>>,
    given_up: Notify,
}

struct Table {
    memory: BufferBudget,
    pieces: PieceBudget,
    started_at: Instant,
    /// Readers of the responses that are not given up, by the number of the response.
    readers: HashMap<u64, Rc<Reader>>,
}

impl Table {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn give_up(&mut self, number: u64, error: RequestError) {
        self.memory.close(number);
        self.pieces.close(number);
        let Some(reader) = self.readers.remove(&number) else {
            return;
        };
        event!(
            Warn,
            "response_given_up",
            upstream = reader.upstream,
            reason = error.reason(),
            held = self.memory.used()
        );
        reader.error.set(Some(error));
        reader.given_up.notify_one();
    }
}

/// The responses of one process; clones share them.
#[derive(Clone)]
pub(super) struct HeldMemory(Rc<RefCell<Table>>);

impl HeldMemory {
    /// Creates an empty table of responses that hold at most `limit` bytes together.
    pub(super) fn new(limit: usize) -> Self {
        Self(Rc::new(RefCell::new(Table {
            memory: BufferBudget::new(limit),
            pieces: PieceBudget::new(PIECE_LIMITS),
            started_at: Instant::now(),
            readers: HashMap::default(),
        })))
    }

    /// Adds a response of `upstream`, whose head has been received.
    pub(super) fn open(&self, upstream: SocketAddr) -> Held {
        let mut table = self.0.borrow_mut();
        let (number, now) = (table.memory.open(), table.now());
        table.pieces.open(number, upstream, now);
        let reader = Rc::new(Reader {
            upstream,
            error: Cell::default(),
            given_up: Notify::new(),
        });
        table.readers.insert(number, reader.clone());
        Held {
            memory: self.clone(),
            number,
            reader,
        }
    }
}

/// One response, until this is dropped.
pub(super) struct Held {
    memory: HeldMemory,
    number: u64,
    reader: Rc<Reader>,
}

impl Held {
    /// Records how many bytes the response holds. Fails if it is given up.
    pub(super) fn set(&self, bytes: usize) -> Result<(), RequestError> {
        let mut table = self.memory.0.borrow_mut();
        for number in table.memory.hold(self.number, bytes) {
            table.give_up(number, RequestError::GivenUp);
        }
        self.check()
    }

    /// Records what has been read further of the body. Fails if the response is given up.
    pub(super) fn record(&self, read: Read) -> Result<(), RequestError> {
        let mut table = self.memory.0.borrow_mut();
        let now = table.now();
        for number in table.pieces.record(self.number, read, now) {
            table.give_up(number, RequestError::Endless(TOO_MANY_PIECES));
        }
        self.check()
    }

    fn check(&self) -> Result<(), RequestError> {
        self.reader.error.get().map_or(Ok(()), Err)
    }

    /// Waits until the response is given up for others.
    pub(super) async fn given_up(&self) -> RequestError {
        self.reader.given_up.notified().await;
        self.reader.error.get().unwrap_or(RequestError::GivenUp)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut table = self.memory.0.borrow_mut();
        table.memory.close(self.number);
        table.pieces.close(self.number);
        table.readers.remove(&self.number);
    }
}
