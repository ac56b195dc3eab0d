//! Mutexes with a rank: a thread takes them in rising order only. Debug builds assert it.

use std::cell::Cell;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

thread_local! {
    static HELD: Cell<u8> = const { Cell::new(0) };
}

/// A mutex with a rank.
#[derive(Debug)]
pub(crate) struct RankedMutex<T> {
    rank: u8,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// A mutex of `rank`, which is 1 at least.
    pub(crate) fn new(rank: u8, value: T) -> Self {
        Self {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Locks. A panic elsewhere does not spread: our tables are valid after each statement.
    pub(crate) fn lock(&self) -> Guard<'_, T> {
        let before = HELD.get();
        debug_assert!(
            before < self.rank,
            "lock order: rank {} is held, {} was asked for",
            before,
            self.rank
        );
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        HELD.set(self.rank);
        Guard { inner, before }
    }
}

/// Holds a [`RankedMutex`] mutex.
pub(crate) struct Guard<'a, T> {
    inner: MutexGuard<'a, T>,
    before: u8,
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        HELD.set(self.before);
    }
}
