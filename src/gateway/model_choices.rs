//! State of the choice among models, from earlier requests: the usual size by
//! route, and the price of capacity by service.

use crate::collections::HashMap;
use crate::collections::Name;
use crate::policy::model_choice::ServicePrice;
use crate::policy::model_choice::UsualSize;

/// Maximum number of routes, and of services, that are kept. Their names come from the inventory, so
/// this only bounds what removed ones leave behind.
const MAX_NAMES: usize = 1024;

/// Usual sizes by route and prices by service.
#[derive(Debug, Default)]
pub(super) struct ModelChoices {
    usual: HashMap<Name, UsualSize>,
    prices: HashMap<Name, ServicePrice>,
}

impl ModelChoices {
    /// Returns the usual size of a route's requests.
    pub(super) fn usual(&mut self, route: &Name) -> &mut UsualSize {
        bounded_entry(&mut self.usual, route)
    }

    /// Returns the price of a service's capacity.
    pub(super) fn price(&mut self, service: &Name) -> &mut ServicePrice {
        bounded_entry(&mut self.prices, service)
    }
}

/// Returns the entry of `name`, after removing all if a new one would exceed [`MAX_NAMES`]: what is
/// usual is learned again within some requests.
fn bounded_entry<'a, T: Default>(table: &'a mut HashMap<Name, T>, name: &Name) -> &'a mut T {
    if table.len() >= MAX_NAMES && !table.contains_key(name) {
        table.clear();
    }
    table.entry(name.clone()).or_default()
}
