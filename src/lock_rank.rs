//! Mutexes with a rank, which prevent deadlocks: a thread locks them only in ascending order of
//! rank. Debug builds assert the order.

use std::cell::Cell;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

thread_local! {
    /// Highest rank that the thread holds; 0 for none.
    static HELD_RANK: Cell<u8> = const { Cell::new(0) };
}

/// A mutex with a rank.
#[derive(Debug)]
pub(crate) struct RankedMutex<T> {
    rank: u8,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Returns a mutex of `rank`, which must be at least 1.
    pub(crate) fn new(rank: u8, value: T) -> Self {
        Self {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Locks the mutex. A poisoned mutex is locked as well, because the protected tables are valid
    /// after each statement.
    ///
    /// # Panics
    ///
    /// In debug builds, if the thread holds a mutex of the same or a higher rank.
    pub(crate) fn lock(&self) -> Guard<'_, T> {
        let previous_rank = HELD_RANK.get();
        debug_assert!(
            previous_rank < self.rank,
            "lock order violated: rank {} is held while locking rank {}",
            previous_rank,
            self.rank
        );
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        HELD_RANK.set(self.rank);
        Guard {
            inner,
            previous_rank,
        }
    }
}

/// Unlocks a [`RankedMutex`] when dropped.
pub(crate) struct Guard<'a, T> {
    inner: MutexGuard<'a, T>,
    previous_rank: u8,
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
        HELD_RANK.set(self.previous_rank);
    }
}
