//! Which upstream serves a request: the best of a few draws by queue, near ones first, with affinity for
//! sessions and prefixes.

use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use crate::collections::Name;
use crate::upstream::Circuit;

/// Draws of which the best is taken. More would send all entries to the one runner that a lagged
/// report shows as idle.
const CHOICES: usize = 3;

/// Age at which a load report says nothing any more.
const REPORT_FADES: Duration = Duration::from_secs(10);

/// Load up to which the upstream that holds a session's prefix is kept, as a share of its slots.
const AFFINITY_LOAD: f64 = 0.9;

/// Penalty of another data centre, as a share of a full upstream.
const FAR_PENALTY: f64 = 0.5;

/// An upstream slower than this many medians is avoided while another is free.
const SLOW_FACTOR: f64 = 3.0;

/// Penalty of a slow upstream, as a share of a full upstream.
const SLOW_PENALTY: f64 = 4.0;

/// An upstream that could serve the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Upstream.
    pub id: Name,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Level that it reported, as a share of its slots, and the report's age.
    pub reported: Option<(f64, Duration)>,
    /// This entry's own requests there.
    pub in_flight: u32,
    /// This entry's own requests there when the upstream looked at its load.
    pub in_flight_at_report: u32,
    /// Whether it is in this entry's data centre.
    pub is_local: bool,
    /// Whether requests may go there.
    pub circuit: Circuit,
    /// Running mean of its time to the first token, in seconds.
    pub mean_latency_s: Option<f64>,
}

impl Candidate {
    /// Expected load as a share of the slots: what was reported, fading with age, and what this
    /// entry has sent since then and the report can't hold yet.
    fn load(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let own = f64::from(self.in_flight) / slots;
        let Some((level, age)) = self.reported else {
            return own;
        };
        let fresh = 1.0 - (age.as_secs_f64() / REPORT_FADES.as_secs_f64()).min(1.0);
        let since = f64::from(self.in_flight) - f64::from(self.in_flight_at_report);
        (level * fresh + since / slots).max(own)
    }

    fn score(&self, median_first_s: Option<f64>) -> f64 {
        let slow = match (self.mean_latency_s, median_first_s) {
            (Some(own), Some(median)) => own > SLOW_FACTOR * median,
            _ => false,
        };
        let far = if self.is_local { 0.0 } else { FAR_PENALTY };
        self.load() + far + if slow { SLOW_PENALTY } else { 0.0 }
    }
}

/// Chooses among `candidates`; `affinity` is the session or prefix, if any, `tried` are upstreams
/// that this request has failed on. `None` where no circuit lets a request through.
pub fn choose(
    candidates: &[Candidate],
    affinity: Option<u64>,
    tried: &[Name],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let open: Vec<usize> = (0..candidates.len())
        .filter(|&i| !tried.contains(&candidates[i].id))
        .filter(|&i| candidates[i].circuit != Circuit::Open)
        .collect();
    // A circuit that may be probed gets one request at once: a probe that waits never ends.
    if let Some(&probe) = open
        .iter()
        .find(|&&i| candidates[i].circuit == Circuit::HalfOpen)
    {
        return Some(probe);
    }
    let median = median_first_s(candidates, &open);
    if let Some(home) = affinity.and_then(|key| home(candidates, &open, key))
        && candidates[home].score(median) < AFFINITY_LOAD
    {
        return Some(home);
    }
    best_of_few(candidates, &open, median, rng)
}

fn best_of_few(
    candidates: &[Candidate],
    open: &[usize],
    median: Option<f64>,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let near: Vec<usize> = open
        .iter()
        .copied()
        .filter(|&i| candidates[i].is_local && candidates[i].score(median) < 1.0)
        .collect();
    let pool = if near.is_empty() { open } else { &near };
    if pool.is_empty() {
        return None;
    }
    let mut best = pool[rng.usize(..pool.len())];
    for _ in 1..CHOICES {
        let other = pool[rng.usize(..pool.len())];
        if candidates[other].score(median) < candidates[best].score(median) {
            best = other;
        }
    }
    Some(best)
}

/// The candidate that rendezvous hashing gives to `key`, near ones first; it stays the same while
/// others come and go.
fn home(candidates: &[Candidate], open: &[usize], key: u64) -> Option<usize> {
    let weight = |i: usize| {
        let mut hasher = foldhash::fast::FixedState::default().build_hasher();
        key.hash(&mut hasher);
        candidates[i].id.hash(&mut hasher);
        hasher.finish()
    };
    open.iter()
        .copied()
        .max_by_key(|&i| (candidates[i].is_local, weight(i)))
}

fn median_first_s(candidates: &[Candidate], open: &[usize]) -> Option<f64> {
    let mut known: Vec<f64> = open
        .iter()
        .filter_map(|&i| candidates[i].mean_latency_s)
        .collect();
    if known.len() < 2 {
        return None;
    }
    let middle = (known.len() - 1) / 2;
    let (_, median, _) = known.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
