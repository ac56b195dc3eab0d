//! Load reports, quantised so that they travel only when they change.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::HashMap;
use crate::collections::Name;

/// Steps of a quantised level; 16 steps are one full upstream.
const STEPS_FULL: u32 = 16;

/// How loaded an upstream is, in sixteenths of its slots; over 16 means a queue.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoadLevel(pub u8);

impl LoadLevel {
    /// Level of `busy` requests, queued ones included, on `slots`.
    pub fn from_counts(busy: u32, slots: u32) -> Self {
        let steps = u64::from(busy) * u64::from(STEPS_FULL) / u64::from(slots.max(1));
        Self(u8::try_from(steps).unwrap_or(u8::MAX))
    }

    /// As a share of the slots.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(STEPS_FULL)
    }
}

/// What an upstream reports of its load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Upstream.
    pub id: Name,
    /// Its incarnation; another one's report is dropped.
    pub incarnation: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting there.
    #[serde(default)]
    pub waiting: u32,
}

/// Latest known levels.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rows: HashMap<Name, Row>,
    changes: u64,
}

#[derive(Clone, Debug)]
struct Row {
    incarnation: u64,
    level: LoadLevel,
    at: Duration,
    change: u64,
}

impl LoadTable {
    /// Takes a level seen at `now`; returns whether it differs from the one known.
    pub fn update(&mut self, id: &Name, incarnation: u64, level: LoadLevel, now: Duration) -> bool {
        let known = self.rows.get_mut(id);
        if let Some(row) = known {
            if row.incarnation > incarnation {
                return false;
            }
            let same = row.level == level && row.incarnation == incarnation;
            row.at = now;
            if same {
                return false;
            }
        }
        self.changes += 1;
        let row = Row {
            incarnation,
            level,
            at: now,
            change: self.changes,
        };
        self.rows.insert(id.clone(), row);
        true
    }

    /// The level of an upstream and when it was last reported.
    pub fn get(&self, id: &str) -> Option<(LoadLevel, Duration)> {
        self.rows.get(id).map(|row| (row.level, row.at))
    }

    /// Counts changes, to ask for later ones with [`LoadTable::changed_after`].
    pub fn last_change(&self) -> u64 {
        self.changes
    }

    /// Levels that changed after `change`.
    pub fn changed_after(&self, change: u64) -> impl Iterator<Item = (&Name, u64, LoadLevel)> + '_ {
        self.rows
            .iter()
            .filter(move |(_, row)| row.change > change)
            .map(|(id, row)| (id, row.incarnation, row.level))
    }

    /// Drops upstreams that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.rows.retain(|id, _| keep(id));
    }
}
