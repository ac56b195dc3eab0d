//! Tracks which rows of the quality table were published to the entries.
//!
//! A row is published again only when it has changed enough to affect a routing decision: a stable
//! table causes no traffic, and a version whose quality changes is known to entries within one
//! round.

use std::collections::BTreeMap;

use crate::collections::Name;
use crate::config::VersionName;
use crate::peer::QualityRow;
use crate::policy::quality::QualityTable;
use crate::policy::quality::ScoreHistory;

/// The last published content of each row, with the change counter at that time.
#[derive(Debug, Default)]
pub(super) struct QualityPublisher {
    published: BTreeMap<(VersionName, Name), (ScoreHistory, u64)>,
    last_change: u64,
}

impl QualityPublisher {
    /// Returns the change counter, which grows by one with each published row.
    pub(super) fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Publishes the rows that differ noticeably from their last published content.
    pub(super) fn update(&mut self, quality: &QualityTable) {
        for (version, class, row) in quality.iter() {
            let slot = (version.clone(), class.clone());
            let changed = self
                .published
                .get(&slot)
                .is_none_or(|(published_row, _)| row.differs_noticeably(published_row));
            if changed {
                self.last_change += 1;
                self.published.insert(slot, (row.clone(), self.last_change));
            }
        }
    }

    /// Returns the rows published after the change counter had the value `change`.
    pub(super) fn changed_after(&self, change: u64) -> Vec<QualityRow> {
        if change >= self.last_change {
            return Vec::new();
        }
        self.published
            .iter()
            .filter(|(_, (_, changed_at))| *changed_at > change)
            .map(|((version, class), (row, _))| QualityRow {
                version: version.clone(),
                class: class.clone(),
                history: row.clone(),
            })
            .collect()
    }
}
