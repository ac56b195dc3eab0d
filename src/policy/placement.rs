//! Which upstream takes a request.
//!
//! Load patterns that this answers: many gateways that read the same lagged reports (nobody may run
//! to the one that looks idle), prompts that share long parts (the upstream that has read them is
//! worth a wait, until it is much fuller than others), an upstream that hangs or fails.

use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::upstream::Circuit;

/// Draws of which the less loaded one is taken.
const CHOICES: usize = 2;

/// Load up to which the upstream that holds a shared part is kept, as a share of its slots.
const AFFINITY_LOAD: f64 = 0.7;

/// What another data centre costs, as a share of a full upstream.
const FAR_PENALTY: f64 = 0.15;

/// An upstream that could take the request.
#[derive(Clone, Debug)]
pub struct Spot {
    /// Stable identity, the same at all gateways.
    pub id: u64,
    /// Expected requests there, waiting ones included, as a share of its slots.
    pub load: f64,
    /// Whether it is in the gateway's data centre.
    pub near: bool,
    /// Whether requests may go there.
    pub circuit: Circuit,
    /// Whether the request has been sent there before.
    pub tried: bool,
    /// Whether it has been silent for longer than others.
    pub silent: bool,
}

/// Identity of a name that is the same in every process.
pub fn stable_id(name: &str) -> u64 {
    mix(name, 0)
}

fn mix<T: Hash + ?Sized>(value: &T, seed: u64) -> u64 {
    let state = foldhash::quality::FixedState::with_seed(seed);
    let mut hasher = state.build_hasher();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Chooses one of `spots`; `None` where all have been tried or are closed.
pub fn place(spots: &[Spot], shared: Option<u64>, rng: &mut fastrand::Rng) -> Option<usize> {
    let usable = |closed_too: bool, silent_too: bool| -> Vec<usize> {
        (0..spots.len())
            .filter(|&i| {
                let spot = &spots[i];
                !spot.tried
                    && (closed_too || spot.circuit != Circuit::Open)
                    && (silent_too || !spot.silent)
            })
            .collect()
    };
    let mut open = usable(false, false);
    if open.is_empty() {
        open = usable(false, true);
    }
    if open.is_empty() {
        // Better an upstream in doubt than a refusal without a try.
        open = usable(true, true);
    }
    // A probe tells whether an upstream is back; one request at a time goes there.
    let probe = open
        .iter()
        .copied()
        .find(|&i| spots[i].circuit == Circuit::Probe);
    if let Some(probe) = probe {
        return Some(probe);
    }
    match shared {
        Some(part) => by_affinity(spots, &open, part),
        None => by_load(spots, &open, rng),
    }
}

/// The first with room in an order that depends on the shared part alone, so that all gateways send
/// a part's prompts to the same few upstreams.
fn by_affinity(spots: &[Spot], open: &[usize], part: u64) -> Option<usize> {
    let mut order = open.to_vec();
    order.sort_unstable_by_key(|&i| std::cmp::Reverse(mix(&spots[i].id, part)));
    let with_room = order.iter().copied().find(|&i| spots[i].load < AFFINITY_LOAD);
    with_room.or_else(|| least_loaded(spots, &order))
}

fn by_load(spots: &[Spot], open: &[usize], rng: &mut fastrand::Rng) -> Option<usize> {
    if open.is_empty() {
        return None;
    }
    let near: Vec<usize> = open.iter().copied().filter(|&i| spots[i].near).collect();
    let mut drawn: Vec<usize> = (0..CHOICES).map(|_| open[rng.usize(..open.len())]).collect();
    if !near.is_empty() {
        drawn.push(near[rng.usize(..near.len())]);
    }
    least_loaded(spots, &drawn)
}

fn least_loaded(spots: &[Spot], among: &[usize]) -> Option<usize> {
    let cost = |i: usize| {
        let far = if spots[i].near { 0.0 } else { FAR_PENALTY };
        spots[i].load + far
    };
    among
        .iter()
        .copied()
        .min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
}
