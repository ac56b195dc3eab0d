//! Updates of the directory that were sent before. Gateways that start together need the same ones.

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::peer::DirectoryUpdate;
use crate::upstream::Directory;

/// Most updates that are kept.
const MAX_UPDATES: usize = 64;

/// Updates that are not the last of their series, by the log index after which they start. A row
/// that has changed since is sent again by a later update, so they stay valid.
#[derive(Debug, Default)]
pub(super) struct DirectoryHistory {
    updates: HashMap<Index, DirectoryUpdate>,
}

impl DirectoryHistory {
    /// Returns the next update for a holder whose directory is current up to `held`.
    pub(super) fn update_after(
        &mut self,
        directory: &Directory,
        held: Index,
        applied: Index,
    ) -> DirectoryUpdate {
        if let Some(update) = self.updates.get(&held) {
            return update.with_applied(applied);
        }
        let update = DirectoryUpdate::after(directory, held, applied);
        if !update.is_last() {
            if self.updates.len() >= MAX_UPDATES {
                self.updates.clear();
            }
            self.updates.insert(held, update.clone());
        }
        update
    }
}
