//! The last revisions of the configuration, from which updates for gateways and entries are made.
//! Every replica has them, so that any of them can send an update.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::collections::HashMap;
use crate::peer::ConfigUpdate;
use crate::peer::ConfigView;

/// Most revisions that are kept. A holder of an older one gets the whole configuration: in a series
/// of changes, holders renew several times within this number.
const MAX_REVISIONS: usize = 8;

/// The newest revision and some before it.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// Oldest first.
    views: VecDeque<Arc<ConfigView>>,
    /// Updates to the newest revision, by the revision from which they start. Many holders need the
    /// same one.
    updates: HashMap<u64, ConfigUpdate>,
}

impl ConfigHistory {
    /// Adds a revision. One that is not newer than the last replaces the whole history: the replica
    /// has loaded another state.
    pub fn record(&mut self, view: ConfigView) {
        if view.revision <= self.revision() {
            self.views.clear();
        }
        if self.views.len() >= MAX_REVISIONS {
            self.views.pop_front();
        }
        self.views.push_back(Arc::new(view));
        self.updates.clear();
    }

    /// Returns the newest revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.views.back().map_or(0, |view| view.revision)
    }

    /// Returns the update for a holder of revision `held`; `None` if it holds the newest.
    pub fn update_from(&mut self, held: u64) -> Option<ConfigUpdate> {
        let target = self.views.back().filter(|view| view.revision > held)?;
        let base = self
            .views
            .iter()
            .find(|view| view.revision == held)
            .cloned()
            .unwrap_or_default();
        let update = self
            .updates
            .entry(base.revision)
            .or_insert_with(|| ConfigUpdate::between(&base, target));
        Some(update.clone())
    }
}
