//! When this replica learnt of the latest accepted orders to roll a release out.

use std::time::Duration;

use crate::agreement::Term;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::policy::repetition::Earlier;
use crate::state::AcceptedChange;

/// Orders that are remembered; beyond it all are forgotten and count as learnt of at that time.
const MAX_ORDERS: usize = 256;

/// An order that was applied here.
#[derive(Clone, Copy, Debug)]
struct Order {
    applied_at: Duration,
    /// Term in which this replica accepted it as the leader; `None` for another leader's.
    own_term: Option<Term>,
}

/// The orders, by change id.
#[derive(Debug)]
pub(super) struct ReleaseOrders {
    orders: HashMap<Name, Order>,
    /// When this replica restored its state; it may have learnt of the other orders then.
    restored_at: Duration,
}

impl ReleaseOrders {
    /// Creates an empty table for a state that was restored at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            orders: HashMap::default(),
            restored_at: now,
        }
    }

    /// Records an order as it is applied; the first time counts.
    pub(super) fn record(&mut self, id: Name, own_term: Option<Term>, now: Duration) {
        if self.orders.len() >= MAX_ORDERS {
            *self = Self::new(now);
        }
        self.orders.entry(id).or_insert(Order {
            applied_at: now,
            own_term,
        });
    }

    /// Returns how long ago an accepted order was, as far as this replica knows in `term`.
    pub(super) fn age(
        &self,
        accepted: &AcceptedChange,
        term: Term,
        now: Duration,
        wall_ms: u64,
    ) -> Earlier {
        let order = self.orders.get(&accepted.id);
        let learnt_at = order.map_or(self.restored_at, |order| order.applied_at);
        let wall_age = accepted.at_ms.and_then(|at_ms| wall_ms.checked_sub(at_ms));
        Earlier {
            known_for: now.saturating_sub(learnt_at),
            is_own: order.is_some_and(|order| order.own_term == Some(term)),
            wall_age: wall_age.map(Duration::from_millis),
        }
    }
}
