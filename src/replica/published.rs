//! The quality rows that entries were told of. A row is told again when it has moved enough to
//! change a decision: a steady table costs nothing, a version that turns is known within one round.

use std::collections::BTreeMap;

use crate::collections::Name;
use crate::config::VersionName;
use crate::peer::QualityRow;
use crate::policy::quality::QualityTable;
use crate::policy::quality::ScoreHistory;

/// Rows as they were told, with the count at which they were.
#[derive(Debug, Default)]
pub(super) struct Published {
    rows: BTreeMap<(VersionName, Name), (ScoreHistory, u64)>,
    count: u64,
}

impl Published {
    /// Counts the newest telling.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Looks which rows have moved.
    pub(super) fn refresh(&mut self, quality: &QualityTable) {
        for (version, class, row) in quality.iter() {
            let slot = (version.clone(), class.clone());
            let moved = self
                .rows
                .get(&slot)
                .is_none_or(|(told, _)| row.differs_noticeably(told));
            if moved {
                self.count += 1;
                self.rows.insert(slot, (row.clone(), self.count));
            }
        }
    }

    /// Rows that were told after `seen`.
    pub(super) fn after(&self, seen: u64) -> Vec<QualityRow> {
        if seen >= self.count {
            return Vec::new();
        }
        self.rows
            .iter()
            .filter(|(_, (_, count))| *count > seen)
            .map(|((version, class), (row, _))| QualityRow {
                version: version.clone(),
                class: class.clone(),
                history: row.clone(),
            })
            .collect()
    }
}
