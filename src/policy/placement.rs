//! Decides which upstream serves a request of a gateway.
//!
//! Handles many gateways that read the same lagging load reports (none may send everything to the
//! upstream that looks idle), prompts that share long prefixes (an upstream that has a prefix in
//! its KV cache is worth a wait, until it is much busier than others or the wait would make the
//! response late), traffic of several data
//! centres (bytes between them are paid for), and upstreams that hang or fail.

use std::hash::BuildHasher;
use std::hash::Hash;

use crate::upstream::Circuit;

/// Random choices of which the least loaded one is used.
const CHOICES: usize = 2;

/// Share of an upstream's slots or KV cache that may be in use before other upstreams are
/// preferred.
const MAX_USE: f64 = 0.9;

/// Penalty for another data centre, as a share of the slots.
const REMOTE_PENALTY: f64 = 0.15;

/// Cost of a repeated prefill of a shared prefix, as a multiple of its prefill time: it also delays
/// the requests that run there.
const REPEATED_PREFILL_FACTOR: f64 = 3.0;

/// Penalty for another data centre, in tokens of the smallest model. Traffic between data centres
/// is paid for, so a short wait or a short shared prefix doesn't justify it; a long shared prefix
/// does.
const REMOTE_PENALTY_TOKENS: u64 = 6_000;

/// An upstream that could serve the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Stable hash of the upstream's name, the same at all gateways.
    pub id: u64,
    /// Estimated running and waiting requests there, as a share of its slots.
    pub load: f64,
    /// Prefill backlog, in tokens that the smallest model prefills in the same time.
    pub prefill_tokens: u64,
    /// Tokens that its requests hold in the KV cache, as a share of its capacity.
    pub kv_cache_use: f64,
    /// Whether it is in the gateway's data centre.
    pub is_local: bool,
    /// State of its circuit breaker.
    pub circuit: Circuit,
    /// Whether the request has been sent there before.
    pub was_tried: bool,
    /// Whether its heartbeats are overdue.
    pub is_suspect: bool,
    /// Whether it has asked for no request now (see `policy::backpressure`).
    pub is_blocked: bool,
    /// Time that work takes there, as a multiple of the usual time.
    pub slowness: f64,
}

/// The prefill of a prompt. Tokens are those that the smallest model prefills in the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prefill {
    /// Identity of the prefix that other prompts may share; `None` if the prompt shares nothing.
    pub prefix_id: Option<u64>,
    /// Tokens of that prefix.
    pub prefix_tokens: u64,
    /// Tokens after it.
    pub own_tokens: u64,
    /// Tokens that an upstream prefills in the time left to the request's target; `None` while its
    /// rate is not known.
    pub tokens_to_target: Option<u64>,
}

/// Returns a hash of `name` that is the same in every process.
pub fn stable_hash(name: &str) -> u64 {
    seeded_hash(name, 0)
}

pub(super) fn seeded_hash<T: Hash + ?Sized>(value: &T, seed: u64) -> u64 {
    foldhash::quality::FixedState::with_seed(seed).hash_one(value)
}

/// Chooses the index of a candidate; `None` if all have been tried.
///
/// `prefill` is `None` for a request that is placed by load alone. `may_probe` is whether the
/// request can go to another upstream if this one fails.
pub fn place(
    candidates: &[Candidate],
    prefill: Option<Prefill>,
    may_probe: bool,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let eligible = eligible(candidates, may_probe);
    // One request at a time probes whether an upstream has recovered.
    let half_open = eligible
        .iter()
        .copied()
        .find(|&i| candidates[i].circuit == Circuit::HalfOpen);
    if let Some(half_open) = half_open {
        return Some(half_open);
    }
    match prefill {
        Some(prefill) => by_prefill(candidates, &eligible, prefill),
        None => by_load(candidates, &eligible, rng),
    }
}

/// Returns the untried upstreams that are neither suspect nor cut off by their circuit breaker. If
/// there are none, it admits suspect ones and then all: an attempt there is better than a rejection
/// without one. Upstreams that have asked for no request are never admitted.
fn eligible(candidates: &[Candidate], may_probe: bool) -> Vec<usize> {
    let is_allowed = |candidate: &Candidate| match candidate.circuit {
        Circuit::Closed => true,
        Circuit::HalfOpen => may_probe,
        Circuit::Open => false,
    };
    let filters: [&dyn Fn(&Candidate) -> bool; 3] = [
        &|candidate| is_allowed(candidate) && !candidate.is_suspect,
        &|candidate| is_allowed(candidate),
        &|_| true,
    ];
    for accepts in filters {
        let eligible: Vec<usize> = (0..candidates.len())
            .filter(|&i| {
                let candidate = &candidates[i];
                !candidate.was_tried && !candidate.is_blocked && accepts(candidate)
            })
            .collect();
        if !eligible.is_empty() {
            return eligible;
        }
    }
    Vec::new()
}

/// Returns the upstream that should finish the prefill first, of those where the response would be
/// on time. The order of upstreams for a shared
/// prefix is a rendezvous hash of the prefix, so all gateways send its prompts to the same few.
fn by_prefill(candidates: &[Candidate], eligible: &[usize], prefill: Prefill) -> Option<usize> {
    let mut order = eligible.to_vec();
    let seed = prefill.prefix_id.unwrap_or_default();
    order.sort_unstable_by_key(|&i| std::cmp::Reverse(seeded_hash(&candidates[i].id, seed)));
    let repeated_cost = (prefill.prefix_tokens as f64 * REPEATED_PREFILL_FACTOR) as u64;
    let has_capacity =
        |i: usize| candidates[i].load < MAX_USE && candidates[i].kv_cache_use < MAX_USE;
    let cost = |(position, i): (usize, usize)| {
        let (repeated, repeated_cost) = if position == 0 {
            (0, 0)
        } else {
            (prefill.prefix_tokens, repeated_cost)
        };
        let remote = if candidates[i].is_local {
            0
        } else {
            REMOTE_PENALTY_TOKENS
        };
        let backlog = candidates[i].prefill_tokens;
        let until_first_token = backlog
            .saturating_add(repeated)
            .saturating_add(prefill.own_tokens);
        let is_late = prefill
            .tokens_to_target
            .is_some_and(|limit| until_first_token > limit);
        let cost = backlog.saturating_add(repeated_cost).saturating_add(remote);
        (!has_capacity(i), is_late, cost)
    };
    let best = order.iter().copied().enumerate().min_by_key(|&at| cost(at));
    best.map(|(_, i)| i)
}

/// Returns the least loaded of a few random choices, one of them in the own data centre if
/// possible.
fn by_load(candidates: &[Candidate], eligible: &[usize], rng: &mut fastrand::Rng) -> Option<usize> {
    if eligible.is_empty() {
        return None;
    }
    let local: Vec<usize> = eligible
        .iter()
        .copied()
        .filter(|&i| candidates[i].is_local)
        .collect();
    let mut choices: Vec<usize> = (0..CHOICES)
        .map(|_| eligible[rng.usize(..eligible.len())])
        .collect();
    if !local.is_empty() {
        choices.push(local[rng.usize(..local.len())]);
    }
    let cost = |i: usize| {
        let remote = if candidates[i].is_local {
            0.0
        } else {
            REMOTE_PENALTY
        };
        candidates[i].load + remote
    };
    choices
        .into_iter()
        .min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
}
