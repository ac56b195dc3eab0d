//! Upstreams that stopped reporting. The silence of many at once is taken for a cut between them
//! and us, not for their death.

use std::time::Duration;

use crate::collections::HashMap;
use crate::collections::Name;

/// Silence after which one upstream is taken for dead.
pub(crate) const SILENT_AFTER: Duration = Duration::from_secs(10);

/// Silence after which an upstream is avoided while others are there: three reports that were lost.
const SUSPECT_AFTER: Duration = Duration::from_secs(4);

/// Share of a data centre's upstreams that may be silent at once and still be taken for dead.
const MASS_SHARE: f64 = 0.3;

/// Below this number the share says nothing.
const MASS_LEAST: usize = 4;

/// When each upstream was last heard.
#[derive(Debug, Default)]
pub struct FailureDetector {
    heard: HashMap<Name, (u64, Duration)>,
}

impl FailureDetector {
    /// An upstream reported or announced itself.
    pub fn record_heartbeat(&mut self, id: &Name, incarnation: u64, now: Duration) {
        self.heard.insert(id.clone(), (incarnation, now));
    }

    /// Forgets everything: a new leader starts counting when it takes office.
    pub fn reset(&mut self) {
        self.heard.clear();
    }

    /// Whether an upstream that was heard once has been silent for longer than reports take.
    pub fn is_suspect(&self, id: &str, incarnation: u64, now: Duration) -> bool {
        self.heard
            .get(id)
            .is_some_and(|&(heard, at)| heard == incarnation && now >= at + SUSPECT_AFTER)
    }

    /// Upstreams of one data centre to be taken for dead, given all its live ones.
    pub fn failed_upstreams<'a>(
        &mut self,
        live: &[(&'a Name, u64)],
        now: Duration,
    ) -> Vec<(&'a Name, u64)> {
        let mut silent = Vec::new();
        for &(id, incarnation) in live {
            let heard = self.heard.entry(id.clone()).or_insert((incarnation, now));
            if heard.0 < incarnation {
                *heard = (incarnation, now);
            }
            if now >= heard.1 + SILENT_AFTER {
                silent.push((id, incarnation));
            }
        }
        let mass =
            silent.len() >= MASS_LEAST && silent.len() as f64 > MASS_SHARE * live.len() as f64;
        if mass { Vec::new() } else { silent }
    }
}
