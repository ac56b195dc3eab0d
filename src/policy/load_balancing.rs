//! Decides which upstream serves a request of an entry: the least loaded of a few random choices.
//!
//! Handles load reports that lag, on which many entries would all choose the same upstream, and
//! upstreams that fail or respond slowly. Upstreams of the entry's own data centre come first, and
//! rendezvous hashing gives requests of one session or prefix the same upstream.

use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use crate::collections::Name;
use crate::upstream::Circuit;

/// Random choices of which the best is used. With more, all entries would choose the one upstream
/// that a lagging report shows as idle.
const CHOICES: usize = 3;

/// Age at which a load report has no weight any more.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);

/// Score, as a share of the slots, below which a request keeps the upstream of its session or
/// prefix.
const AFFINITY_MAX_SCORE: f64 = 0.9;

/// Penalty for another data centre, as a share of the slots.
const REMOTE_PENALTY: f64 = 0.5;

/// An upstream whose latency exceeds the median by this factor counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Penalty for a slow upstream, as a share of the slots: it is avoided while another has capacity.
const SLOW_PENALTY: f64 = 4.0;

/// An upstream that could serve the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the upstream.
    pub id: Name,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Load that it reported, as a share of its slots, and the age of the report; `None` without a
    /// report.
    pub reported: Option<(f64, Duration)>,
    /// Requests of this entry there now.
    pub in_flight: u32,
    /// Requests of this entry there when the upstream sampled its load.
    pub in_flight_at_report: u32,
    /// Whether it is in this entry's data centre.
    pub is_local: bool,
    /// State of its circuit breaker.
    pub circuit: Circuit,
    /// Moving average of the time to its first token, in seconds; `None` before there is one.
    pub mean_latency_s: Option<f64>,
}

impl Candidate {
    /// Estimates the load as a share of the slots: the reported load, which fades with age, and the
    /// requests that this entry has sent since and that the report can't include.
    fn load(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let own = f64::from(self.in_flight) / slots;
        let Some((level, age)) = self.reported else {
            return own;
        };
        let freshness = 1.0 - (age.as_secs_f64() / REPORT_MAX_AGE.as_secs_f64()).min(1.0);
        let sent_since = f64::from(self.in_flight) - f64::from(self.in_flight_at_report);
        (level * freshness + sent_since / slots).max(own)
    }

    /// Returns the load with penalties; lower is better.
    fn score(&self, median_latency_s: Option<f64>) -> f64 {
        let is_slow = match (self.mean_latency_s, median_latency_s) {
            (Some(own), Some(median)) => own > SLOW_FACTOR * median,
            _ => false,
        };
        let remote = if self.is_local { 0.0 } else { REMOTE_PENALTY };
        self.load() + remote + if is_slow { SLOW_PENALTY } else { 0.0 }
    }
}

/// Chooses the index of a candidate; `None` if every upstream was tried or has an open circuit.
///
/// `affinity` is the hash of the session or prefix, if there is one. `tried` names the upstreams
/// on which this request has failed.
pub fn choose(
    candidates: &[Candidate],
    affinity: Option<u64>,
    tried: &[Name],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let available: Vec<usize> = (0..candidates.len())
        .filter(|&i| !tried.contains(&candidates[i].id))
        .filter(|&i| candidates[i].circuit != Circuit::Open)
        .collect();
    // A half-open circuit gets the next request: without a probe it would never close.
    if let Some(&half_open) = available
        .iter()
        .find(|&&i| candidates[i].circuit == Circuit::HalfOpen)
    {
        return Some(half_open);
    }
    let median = median_latency_s(candidates, &available);
    if let Some(preferred) = affinity.and_then(|key| rendezvous(candidates, &available, key))
        && candidates[preferred].score(median) < AFFINITY_MAX_SCORE
    {
        return Some(preferred);
    }
    best_of_random(candidates, &available, median, rng)
}

fn best_of_random(
    candidates: &[Candidate],
    available: &[usize],
    median: Option<f64>,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let local: Vec<usize> = available
        .iter()
        .copied()
        .filter(|&i| candidates[i].is_local && candidates[i].score(median) < 1.0)
        .collect();
    let pool = if local.is_empty() { available } else { &local };
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

/// Returns the candidate that rendezvous hashing maps `key` to, from the own data centre if it has
/// any. The choice is stable while other upstreams come and go.
fn rendezvous(candidates: &[Candidate], available: &[usize], key: u64) -> Option<usize> {
    let weight = |i: usize| {
        let mut hasher = foldhash::fast::FixedState::default().build_hasher();
        key.hash(&mut hasher);
        candidates[i].id.hash(&mut hasher);
        hasher.finish()
    };
    available
        .iter()
        .copied()
        .max_by_key(|&i| (candidates[i].is_local, weight(i)))
}

/// Returns the median latency; `None` if fewer than two candidates have one.
fn median_latency_s(candidates: &[Candidate], available: &[usize]) -> Option<f64> {
    let mut known: Vec<f64> = available
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
