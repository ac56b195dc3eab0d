//! Decides whether an order that came without an id repeats an earlier one in the same words.
//!
//! Handles operators that send an order again, at any replica, while they have no clear reply, and
//! give the same order anew later. The time in which an order may be sent again tells these apart,
//! and how long ago the earlier one was accepted is not always known: a replica that restarted or
//! lagged behind learnt of it late, and wall clocks may be set. Where it can't be told, the sender
//! gets no clear reply: a repetition must not be refused or carried out twice, and a new order must
//! not be dropped.

use std::time::Duration;

/// Time that a copy of an order may be on its way: callers wait no longer for a reply.
pub const MAX_TRANSIT: Duration = Duration::from_secs(1);

/// An earlier order in the same words, as its leader knows it.
#[derive(Clone, Copy, Debug)]
pub struct Earlier {
    /// Time since this replica applied it, or else since it restored its state.
    pub known_for: Duration,
    /// Whether this replica accepted it itself in its current term, so that `known_for` is its age.
    pub is_own: bool,
    /// Its age by the wall clocks; `None` if it lies in the future by them.
    pub wall_age: Option<Duration>,
}

/// How an order relates to an earlier one in the same words.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// It is the same order, sent again.
    Repetition,
    /// It is an order of its own.
    New,
    /// It may be either.
    Unknown,
}

/// Relates an order to an earlier one; an order is sent again for `resend_time` at most.
pub fn relate(earlier: &Earlier, resend_time: Duration) -> Relation {
    if earlier.known_for > resend_time + MAX_TRANSIT {
        return Relation::New;
    }
    let is_recent = earlier.is_own || earlier.wall_age.is_some_and(|age| age <= resend_time);
    if earlier.known_for <= resend_time && is_recent {
        Relation::Repetition
    } else {
        Relation::Unknown
    }
}
