//! Leases that the leader grants to entries. An entry starts work only while its lease is live, so
//! that the leader can report a configuration revision as `in force` once every holder has
//! acknowledged the revision or lost its lease.
//!
//! Leases need no synchronised clocks. The holder counts the lease from when it *sent* the renewal,
//! the grantor from when it *received* the renewal, and the grantor adds a margin for clock drift.

mod grantor;
mod holder;

use std::time::Duration;

pub use self::grantor::Grantor;
pub use self::grantor::Lagging;
pub use self::holder::Holder;

/// Lifetime of a lease, counted by the holder from when it sent the renewal.
pub const TTL: Duration = Duration::from_millis(2400);

/// Added to [`TTL`] by the grantor, because the two clocks may run at different rates.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// Interval between renewals of a lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout from a routing decision to the first byte sent; a dispatch that takes longer is aborted.
/// A holder acknowledges a revision only this long after it applied the revision, when no request
/// that was routed under an older one can still be dispatched.
pub const DISPATCH_TIMEOUT: Duration = Duration::from_millis(300);
