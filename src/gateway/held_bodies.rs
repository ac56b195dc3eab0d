//! The memory that the bodies of all open requests hold together.

use std::cell::Cell;
use std::rc::Rc;

/// Most memory that all bodies hold, in bytes; small ones may exceed it.
const LIMIT_BYTES: usize = 24 * 1024 * 1024;

/// Size up to which a body is always taken, so that large ones keep no others out.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// The memory of the bodies of one gateway; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldBodies(Rc<Cell<usize>>);

/// The memory of one body, until this is dropped.
#[derive(Debug)]
pub(super) struct HeldBody {
    all: HeldBodies,
    bytes: usize,
}

impl HeldBodies {
    /// Adds a body of which nothing has been read.
    pub(super) fn open(&self) -> HeldBody {
        HeldBody {
            all: self.clone(),
            bytes: 0,
        }
    }
}

impl HeldBody {
    /// Makes room for a body of `bytes`; returns whether there is any.
    pub(super) fn try_grow(&mut self, bytes: usize) -> bool {
        let further = bytes.saturating_sub(self.bytes);
        let used = self.all.0.get() + further;
        if bytes > SMALL_BODY_BYTES && used > LIMIT_BYTES {
            return false;
        }
        self.all.0.set(used);
        self.bytes += further;
        true
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.all.0.set(self.all.0.get() - self.bytes);
    }
}
