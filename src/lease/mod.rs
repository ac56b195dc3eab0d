//! Leases gate routing: an entry starts work only under a live one, and the leader answers
//! `in force` only when each holder has the revision or has lost its lease.
//!
//! No synchronised clocks are needed. The holder counts from the moment it *sent* the request, the
//! grantor from the moment it *received* it, and the grantor adds a margin for drift.

mod grantor;
mod holder;

use std::time::Duration;

pub use self::grantor::Grantor;
pub use self::grantor::Lagging;
pub use self::holder::Holder;

/// How long a lease lasts for its holder.
pub const TTL: Duration = Duration::from_millis(2400);

/// What the grantor adds to [`TTL`] for clocks that run at different speeds.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// Time between renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time from a routing decision to the first byte on the wire; a dispatch that takes longer
/// is given up. A holder acknowledges a revision only this long after it took it in.
pub const DISPATCH_TIMEOUT: Duration = Duration::from_millis(300);
