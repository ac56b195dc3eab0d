//! Load reports of upstreams, quantised so that they are sent on only when they change.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::HashMap;
use crate::collections::Name;

/// Level of an upstream whose slots are all in use.
const FULL_LEVEL: u32 = 16;

/// Load of an upstream, in sixteenths of its slots; above 16, requests wait there.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoadLevel(pub u8);

impl LoadLevel {
    /// Returns the level of `busy` running and waiting requests on `slots`.
    pub fn from_counts(busy: u32, slots: u32) -> Self {
        let level = u64::from(busy) * u64::from(FULL_LEVEL) / u64::from(slots.max(1));
        Self(u8::try_from(level).unwrap_or(u8::MAX))
    }

    /// Returns the load as a share of the slots.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(FULL_LEVEL)
    }
}

/// Load that an upstream reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Name of the upstream.
    pub id: Name,
    /// Its incarnation; reports of another incarnation are ignored.
    pub incarnation: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting at the upstream.
    #[serde(default)]
    pub waiting: u32,
}

/// Latest load levels by upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rows: HashMap<Name, Row>,
    last_change: u64,
}

#[derive(Clone, Debug)]
struct Row {
    incarnation: u64,
    level: LoadLevel,
    reported_at: Duration,
    change: u64,
}

impl LoadTable {
    /// Records a level reported at `now`; returns whether the level or the incarnation is new. A
    /// report of an older incarnation is ignored.
    pub fn update(&mut self, id: &Name, incarnation: u64, level: LoadLevel, now: Duration) -> bool {
        let known = self.rows.get_mut(id);
        if let Some(row) = known {
            if row.incarnation > incarnation {
                return false;
            }
            let is_same = row.level == level && row.incarnation == incarnation;
            row.reported_at = now;
            if is_same {
                return false;
            }
        }
        self.last_change += 1;
        let row = Row {
            incarnation,
            level,
            reported_at: now,
            change: self.last_change,
        };
        self.rows.insert(id.clone(), row);
        true
    }

    /// Returns the level of an upstream and the time of its last report.
    pub fn get(&self, id: &str) -> Option<(LoadLevel, Duration)> {
        self.rows.get(id).map(|row| (row.level, row.reported_at))
    }

    /// Returns the number of the last change, for [`LoadTable::changed_after`].
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the names, incarnations and levels that changed after `change`.
    pub fn changed_after(&self, change: u64) -> impl Iterator<Item = (&Name, u64, LoadLevel)> + '_ {
        self.rows
            .iter()
            .filter(move |(_, row)| row.change > change)
            .map(|(id, row)| (id, row.incarnation, row.level))
    }

    /// Removes the upstreams for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.rows.retain(|id, _| keep(id));
    }
}
