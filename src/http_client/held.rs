//! The memory that responses hold while they are read, and the end of those that are given up for it.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;

use super::RequestError;
use crate::collections::HashMap;
use crate::log::event;
use crate::policy::buffer_budget::BufferBudget;

struct Table {
    budget: BufferBudget,
    /// Wakes the readers of responses that are given up, by the number of the response.
    readers: HashMap<u64, Rc<Notify>>,
}

/// The memory of the responses of one process; clones share it.
#[derive(Clone)]
pub(super) struct HeldMemory(Rc<RefCell<Table>>);

impl HeldMemory {
    /// Creates an empty table of responses that hold at most `limit` bytes together.
    pub(super) fn new(limit: usize) -> Self {
        Self(Rc::new(RefCell::new(Table {
            budget: BufferBudget::new(limit),
            readers: HashMap::default(),
        })))
    }

    /// Adds a response.
    pub(super) fn open(&self) -> Held {
        let mut table = self.0.borrow_mut();
        let number = table.budget.open();
        let given_up = Rc::new(Notify::new());
        table.readers.insert(number, given_up.clone());
        Held {
            memory: self.clone(),
            number,
            given_up,
        }
    }
}

/// The memory of one response, until this is dropped.
pub(super) struct Held {
    memory: HeldMemory,
    number: u64,
    given_up: Rc<Notify>,
}

impl Held {
    /// Records how many bytes the response holds. Fails if it is given up.
    pub(super) fn set(&self, bytes: usize) -> Result<(), RequestError> {
        let mut table = self.memory.0.borrow_mut();
        if !table.readers.contains_key(&self.number) {
            return Err(RequestError::GivenUp);
        }
        for number in table.budget.hold(self.number, bytes) {
            event!(Warn, "response_given_up", held = table.budget.used());
            if let Some(reader) = table.readers.remove(&number) {
                reader.notify_one();
            }
        }
        if table.readers.contains_key(&self.number) {
            Ok(())
        } else {
            Err(RequestError::GivenUp)
        }
    }

    /// Waits until the response is given up for others.
    pub(super) async fn given_up(&self) -> RequestError {
        self.given_up.notified().await;
        RequestError::GivenUp
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut table = self.memory.0.borrow_mut();
        table.budget.close(self.number);
        table.readers.remove(&self.number);
    }
}
