//! Random numbers of the operating system.
//!
//! `fastrand` seeds itself from the clock: processes that start at the same moment may draw the same
//! numbers.

/// Returns a random number above zero, for an identity that no other process may have.
pub(crate) fn identity() -> u64 {
    // Without a source of randomness, the clock is the best seed that there is.
    getrandom::u64()
        .unwrap_or_else(|_| fastrand::u64(..))
        .max(1)
}

/// Seeds the random numbers that this thread draws by `fastrand`.
pub(crate) fn seed_thread() {
    fastrand::seed(identity());
}
