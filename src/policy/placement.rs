//! Which upstream takes a request.
//!
//! Load patterns that this answers: many gateways that read the same lagged reports (nobody may run
//! to the one that looks idle), prompts that share long parts (the upstream that has read them is
//! worth a wait, until it is much fuller than others), data centres with traffic of their own (bytes
//! between them are paid for), an upstream that hangs or fails.

use std::hash::BuildHasher;
use std::hash::Hash;

use crate::upstream::Circuit;

/// Draws of which the less loaded one is taken.
const CHOICES: usize = 2;

/// Part of an upstream's slots or memory that may be taken before others are asked first.
const ROOM: f64 = 0.9;

/// What another data centre costs, as a share of a full upstream.
const FAR_PENALTY: f64 = 0.15;

/// What reading a shared part again costs beside its time: the reading also holds up the requests
/// that run there.
const REREAD_FACTOR: f64 = 3.0;

/// What another data centre costs a prompt, in tokens of the smallest model. Its bytes are paid for,
/// so a short wait or a short shared part is no reason to leave; a long shared part is.
const FAR_READING: u64 = 6_000;

/// An upstream that could take the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Stable identity, the same at all gateways.
    pub id: u64,
    /// Expected requests there, waiting ones included, as a share of its slots.
    pub load: f64,
    /// Prompt tokens that it has still to read, as many as the smallest model reads in that time.
    pub prefill_tokens: u64,
    /// Tokens that its requests hold, as a share of its memory.
    pub kv_cache_use: f64,
    /// Whether it is in the gateway's data centre.
    pub is_local: bool,
    /// Whether requests may go there.
    pub circuit: Circuit,
    /// Whether the request has been sent there before.
    pub was_tried: bool,
    /// Whether it has been silent for longer than others.
    pub is_suspect: bool,
}

/// What a request with a prompt asks of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SharedPrefix {
    /// Identity of the part that other prompts share.
    pub id: Option<u64>,
    /// Its length, as tokens of the smallest model.
    pub prefill_tokens: u64,
}

/// Identity of a name that is the same in every process.
pub fn stable_hash(name: &str) -> u64 {
    mix(name, 0)
}

fn mix<T: Hash + ?Sized>(value: &T, seed: u64) -> u64 {
    foldhash::quality::FixedState::with_seed(seed).hash_one(value)
}

/// Chooses one of `spots`; `None` where all have been tried. A request with a prompt tells its
/// `need`; `may_probe` is whether it can go elsewhere if it fails.
pub fn place(
    spots: &[Candidate],
    need: Option<SharedPrefix>,
    may_probe: bool,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let open = open(spots, may_probe);
    // A probe tells whether an upstream is back; one request at a time goes there.
    let probe = open
        .iter()
        .copied()
        .find(|&i| spots[i].circuit == Circuit::HalfOpen);
    if let Some(probe) = probe {
        return Some(probe);
    }
    match need {
        Some(need) => by_reading(spots, &open, need),
        None => by_load(spots, &open, rng),
    }
}

/// The upstreams in question: those without doubts, or else all that are left. A try there is better
/// than a refusal without one.
fn open(spots: &[Candidate], may_probe: bool) -> Vec<usize> {
    let is_open = |spot: &Candidate| match spot.circuit {
        Circuit::Closed => true,
        Circuit::HalfOpen => may_probe,
        Circuit::Open => false,
    };
    let steps: [&dyn Fn(&Candidate) -> bool; 3] = [
        &|spot| is_open(spot) && !spot.is_suspect,
        &|spot| is_open(spot),
        &|_| true,
    ];
    for fits in steps {
        let open: Vec<usize> = (0..spots.len())
            .filter(|&i| !spots[i].was_tried && fits(&spots[i]))
            .collect();
        if !open.is_empty() {
            return open;
        }
    }
    Vec::new()
}

/// The one that is expected to have read the prompt first. The order in which upstreams hold a shared
/// part depends on the part alone, so that all gateways send its prompts to the same few.
fn by_reading(spots: &[Candidate], open: &[usize], need: SharedPrefix) -> Option<usize> {
    let mut order = open.to_vec();
    let part = need.id.unwrap_or_default();
    order.sort_unstable_by_key(|&i| std::cmp::Reverse(mix(&spots[i].id, part)));
    let reread = (need.prefill_tokens as f64 * REREAD_FACTOR) as u64;
    let has_room = |i: usize| spots[i].load < ROOM && spots[i].kv_cache_use < ROOM;
    let cost = |(rank, i): (usize, usize)| {
        let reread = if rank == 0 { 0 } else { reread };
        let far = if spots[i].is_local { 0 } else { FAR_READING };
        let reading = spots[i].prefill_tokens.saturating_add(reread);
        (!has_room(i), reading.saturating_add(far))
    };
    let best = order.iter().copied().enumerate().min_by_key(|&at| cost(at));
    best.map(|(_, i)| i)
}

fn by_load(spots: &[Candidate], open: &[usize], rng: &mut fastrand::Rng) -> Option<usize> {
    if open.is_empty() {
        return None;
    }
    let near: Vec<usize> = open
        .iter()
        .copied()
        .filter(|&i| spots[i].is_local)
        .collect();
    let mut drawn: Vec<usize> = (0..CHOICES)
        .map(|_| open[rng.usize(..open.len())])
        .collect();
    if !near.is_empty() {
        drawn.push(near[rng.usize(..near.len())]);
    }
    let cost = |i: usize| {
        let far = if spots[i].is_local { 0.0 } else { FAR_PENALTY };
        spots[i].load + far
    };
    drawn
        .into_iter()
        .min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
}
