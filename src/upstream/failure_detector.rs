//! Decides which upstreams have failed, from the time of their last heartbeat.
//!
//! Handles crashed upstreams and network partitions. If many upstreams of one data centre fall
//! silent at once, this is treated as a partition between them and this process, and none of
//! them counts as failed.

use std::time::Duration;

use crate::collections::HashMap;
use crate::collections::Name;

/// Time without a heartbeat after which an upstream counts as failed.
pub(crate) const SILENT_AFTER: Duration = Duration::from_secs(10);

/// Time without a heartbeat after which an upstream is suspect and others are preferred: three
/// consecutive reports were lost.
const SUSPECT_AFTER: Duration = Duration::from_secs(4);

/// Largest share of a data centre's upstreams that may fall silent and count as failed. A larger
/// share is treated as a partition.
const PARTITION_SHARE: f64 = 0.3;

/// Silent upstreams below which their share does not indicate a partition.
const PARTITION_MIN_UPSTREAMS: usize = 4;

/// Last heartbeat of each upstream.
#[derive(Debug, Default)]
pub struct FailureDetector {
    /// Incarnation and time of the last heartbeat.
    last_heartbeats: HashMap<Name, (u64, Duration)>,
}

impl FailureDetector {
    /// Records a report or an announcement of an upstream.
    pub fn record_heartbeat(&mut self, id: &Name, incarnation: u64, now: Duration) {
        self.last_heartbeats.insert(id.clone(), (incarnation, now));
    }

    /// Removes all heartbeats, so that a new leader measures from the start of its term.
    pub fn reset(&mut self) {
        self.last_heartbeats.clear();
    }

    /// Returns whether the heartbeats of an upstream that has sent one are overdue.
    pub fn is_suspect(&self, id: &str, incarnation: u64, now: Duration) -> bool {
        self.last_heartbeats
            .get(id)
            .is_some_and(|&(known, at)| known == incarnation && now >= at + SUSPECT_AFTER)
    }

    /// Returns the failed upstreams of one data centre, given the names and incarnations of all its
    /// live ones.
    pub fn failed_upstreams<'a>(
        &mut self,
        live: &[(&'a Name, u64)],
        now: Duration,
    ) -> Vec<(&'a Name, u64)> {
        let mut silent = Vec::new();
        for &(id, incarnation) in live {
            let last = self
                .last_heartbeats
                .entry(id.clone())
                .or_insert((incarnation, now));
            if last.0 < incarnation {
                *last = (incarnation, now);
            }
            if now >= last.1 + SILENT_AFTER {
                silent.push((id, incarnation));
            }
        }
        let is_partition = silent.len() >= PARTITION_MIN_UPSTREAMS
            && silent.len() as f64 > PARTITION_SHARE * live.len() as f64;
        if is_partition { Vec::new() } else { silent }
    }
}
