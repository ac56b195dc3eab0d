//! Updates of the configuration: the difference between two revisions, compressed.
//!
//! Handles many gateways on slow links that all need a large configuration at once. Most of a
//! configuration is its routes, which resemble each other, and most changes touch few of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use super::ConfigView;
use super::RolloutView;
use crate::codec;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::collections::Name;
use crate::config::Inventory;
use crate::config::Route;
use crate::config::VersionName;
use crate::state::Releases;

/// Why an update can't be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum UpdateError {
    /// The update starts from another revision than the one held.
    #[snafu(display(
        "the update starts from revision {from} and revision {held} is held; request one that \
         starts from {held}"
    ))]
    OtherBase {
        /// Revision from which the update starts.
        from: u64,
        /// Revision that is held.
        held: u64,
    },
    /// The update can't be decoded.
    #[snafu(display("the update can't be decoded; run the same version on both sides"))]
    Unreadable,
}

/// Changes that lead from one revision of the configuration to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigUpdate {
    /// Revision that the receiver must hold; 0 if the update has the whole configuration.
    from: u64,
    /// Revision to which the changes lead.
    revision: u64,
    /// [`Changes`], encoded and compressed.
    data: Arc<[u8]>,
}

/// The content of a [`ConfigUpdate`].
#[derive(Debug, Deserialize, Serialize)]
struct Changes {
    /// Host and prefix of the routes that are gone.
    removed_routes: Vec<(Name, Name)>,
    /// New and changed routes.
    routes: Vec<Route>,
    /// The inventory without its routes; `None` where it is the same.
    inventory: Option<Inventory>,
    withdrawn: BTreeSet<VersionName>,
    draining: BTreeSet<Name>,
    evacuated: BTreeSet<Name>,
    rollouts: BTreeMap<Name, RolloutView>,
    releases: Releases,
}

impl ConfigUpdate {
    /// Returns the update that leads from `base` to `target`.
    pub fn between(base: &ConfigView, target: &ConfigView) -> Self {
        let changes = Changes::between(base, target);
        Self {
            from: base.revision,
            revision: target.revision,
            data: codec::compress(&codec::encode(&changes)).into(),
        }
    }

    /// Returns the revision to which the update leads.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the size of the encoded changes, in bytes.
    pub fn size(&self) -> usize {
        self.data.len()
    }

    /// Returns the configuration to which the update leads from `base`, the configuration that the
    /// receiver holds.
    ///
    /// # Errors
    ///
    /// The update starts from another revision, or it can't be decoded.
    pub fn apply(&self, base: &ConfigView) -> Result<ConfigView, UpdateError> {
        let changes = self.decode().ok_or(UpdateError::Unreadable)?;
        if self.from == 0 {
            return Ok(changes.apply(&ConfigView::default(), self.revision));
        }
        if self.from != base.revision {
            return OtherBaseSnafu {
                from: self.from,
                held: base.revision,
            }
            .fail();
        }
        Ok(changes.apply(base, self.revision))
    }

    fn decode(&self) -> Option<Changes> {
        codec::decode(&codec::decompress(&self.data)?).ok()
    }
}

impl Changes {
    fn between(base: &ConfigView, target: &ConfigView) -> Self {
        let old: HashMap<_, _> = base
            .inventory
            .routes
            .iter()
            .map(|route| (route_key(route), route))
            .collect();
        let kept: HashSet<_> = target.inventory.routes.iter().map(route_key).collect();
        let removed_routes = old
            .keys()
            .filter(|key| !kept.contains(*key))
            .map(|(host, prefix)| ((*host).clone(), (*prefix).clone()))
            .collect();
        let routes = target
            .inventory
            .routes
            .iter()
            .filter(|route| old.get(&route_key(route)) != Some(route))
            .cloned()
            .collect();
        let rest = without_routes(&target.inventory);
        Self {
            removed_routes,
            routes,
            inventory: (rest != without_routes(&base.inventory)).then_some(rest),
            withdrawn: target.withdrawn.clone(),
            draining: target.draining.clone(),
            evacuated: target.evacuated.clone(),
            rollouts: target.rollouts.clone(),
            releases: target.releases.clone(),
        }
    }

    fn apply(self, base: &ConfigView, revision: u64) -> ConfigView {
        let mut gone: HashSet<(&Name, &Name)> = self.routes.iter().map(route_key).collect();
        gone.extend(
            self.removed_routes
                .iter()
                .map(|(host, prefix)| (host, prefix)),
        );
        let mut routes: Vec<Route> = base
            .inventory
            .routes
            .iter()
            .filter(|route| !gone.contains(&route_key(route)))
            .cloned()
            .collect();
        routes.extend(self.routes);
        let rest = self
            .inventory
            .unwrap_or_else(|| without_routes(&base.inventory));
        ConfigView {
            revision,
            inventory: Arc::new(Inventory { routes, ..rest }),
            withdrawn: self.withdrawn,
            draining: self.draining,
            evacuated: self.evacuated,
            rollouts: self.rollouts,
            releases: self.releases,
        }
    }
}

/// Returns what identifies a route within an inventory.
fn route_key(route: &Route) -> (&Name, &Name) {
    (&route.host, &route.prefix)
}

fn without_routes(inventory: &Inventory) -> Inventory {
    Inventory {
        organisations: inventory.organisations.clone(),
        models: inventory.models.clone(),
        services: inventory.services.clone(),
        routes: Vec::new(),
        upstream_keys: inventory.upstream_keys.clone(),
        rules: inventory.rules.clone(),
    }
}
