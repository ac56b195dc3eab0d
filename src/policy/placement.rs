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

/// Maximum number of upstreams among which placement by load makes the expected times equal. With
/// more, a random selection of them is used, which keeps the decision short.
const LEVELLED_POOL: usize = 32;

/// Least share of its slots that a request is taken to need, and the shortest response time in
/// seconds, so that quotients are finite.
const MIN_SLOT_SHARE: f64 = 1e-4;
const MIN_REQUEST_S: f64 = 1e-4;

/// Difference of expected times below which an upstream with an idle connection is preferred, in
/// seconds. A new connection costs the upstream a handshake of 1 ms, which may hold a slot.
const CONNECTION_GAIN_S: f64 = 0.003;

/// Maximum number of upstreams whose connections are looked up for one decision.
const MAX_CONNECTION_CHECKS: usize = 8;

/// Steps per full load in which the occupancy of upstreams with equal backlog is compared. In finer
/// steps, all gateways would choose the same upstream.
const OCCUPANCY_STEPS: f64 = 8.0;

/// Upstreams among which the prompts of one prefix are divided while a gateway hears nothing of the
/// others. Of the first second's prompts 5.6 % were late with one in `tests/load/recovery.rs`, 3.5 %
/// with 4, 2.5 % with 8 and 3.5 % with 16, where the prefix is prefilled too often.
const HOMES_WITHOUT_UPDATES: u64 = 4;

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

impl Prefill {
    /// Returns the prefill for a gateway that hears nothing of the others' requests, as after a
    /// restart of all. All gateways would then choose the same upstream for prompts that share no
    /// prefix, or a popular one. `draw` gives each prompt without a shared prefix an order of
    /// upstreams of its own, and divides the others of a prefix among a few upstreams, each of which
    /// has to prefill it once.
    pub fn without_updates(self, draw: u64) -> Self {
        let home = |id: u64| id.wrapping_add(draw % HOMES_WITHOUT_UPDATES);
        Self {
            prefix_id: Some(self.prefix_id.map_or(draw, home)),
            ..self
        }
    }
}

/// What placement by expected time uses of a candidate besides [`Candidate`].
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeHint {
    /// Share of its slots that one request takes.
    pub slot_share: f64,
    /// Part of its load that is due to other gateways.
    pub peer_load: f64,
    /// Age of that figure, in seconds.
    pub lag_s: f64,
}

/// What placement by expected time uses besides the candidates.
pub struct TimeContext<'a> {
    /// More about each candidate, for placement by load.
    pub hints: &'a [TimeHint],
    /// Time in which an upstream of usual speed prefills one token of the smallest model, in
    /// seconds; `None` while that is unknown.
    pub token_s: Option<f64>,
    /// Usual response time of the request, in seconds; `None` while that is unknown.
    pub request_s: Option<f64>,
    /// Whether the gateway has an idle connection to a candidate.
    pub is_connected: &'a dyn Fn(usize) -> bool,
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
    if let Some(half_open) = half_open(candidates, &eligible) {
        return Some(half_open);
    }
    match prefill {
        Some(prefill) => by_prefill(candidates, &eligible, prefill),
        None => by_load(candidates, &eligible, rng),
    }
}

/// Chooses the index of a candidate by the time in which it is expected to serve the request, which
/// takes the candidates' slowness into account; `None` if all have been tried.
pub fn place_by_time(
    candidates: &[Candidate],
    prefill: Option<Prefill>,
    may_probe: bool,
    context: &TimeContext<'_>,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let eligible = eligible(candidates, may_probe);
    if let Some(half_open) = half_open(candidates, &eligible) {
        return Some(half_open);
    }
    match prefill {
        Some(prefill) => by_prefill_time(candidates, &eligible, prefill, context, rng),
        None => by_load_time(candidates, &eligible, context, rng),
    }
}

/// Returns an upstream with a half-open circuit: one request at a time probes whether it has
/// recovered.
fn half_open(candidates: &[Candidate], eligible: &[usize]) -> Option<usize> {
    eligible
        .iter()
        .copied()
        .find(|&i| candidates[i].circuit == Circuit::HalfOpen)
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

/// Returns the upstream that should finish the prefill first, as [`by_prefill`], with all tokens
/// multiplied by the upstream's slowness.
fn by_prefill_time(
    candidates: &[Candidate],
    eligible: &[usize],
    prefill: Prefill,
    context: &TimeContext<'_>,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    // Without a prefix to share, gateways need not agree on an order, and would send their requests
    // to the same upstream if they did.
    let seed = prefill.prefix_id.unwrap_or_else(|| rng.u64(..));
    let hash = |i: usize| seeded_hash(&candidates[i].id, seed);
    let home = eligible.iter().copied().max_by_key(|&i| hash(i))?;
    let cost = |i: usize| {
        let candidate = &candidates[i];
        let repeated = if i == home {
            0.0
        } else {
            prefill.prefix_tokens as f64
        };
        let remote = if candidate.is_local {
            0.0
        } else {
            REMOTE_PENALTY_TOKENS as f64
        };
        let (backlog, own) = (candidate.prefill_tokens as f64, prefill.own_tokens as f64);
        let until_first_token = (backlog + repeated + own) * candidate.slowness;
        let is_late = prefill
            .tokens_to_target
            .is_some_and(|limit| until_first_token > limit as f64);
        let tokens = (backlog + repeated * REPEATED_PREFILL_FACTOR + own) * candidate.slowness;
        TimeCost {
            is_full: candidate.load >= MAX_USE || candidate.kv_cache_use >= MAX_USE,
            is_late,
            cost: tokens + remote,
            occupancy: (candidate.load * OCCUPANCY_STEPS) as u32,
        }
    };
    let costs: Vec<(TimeCost, u64, usize)> =
        eligible.iter().map(|&i| (cost(i), hash(i), i)).collect();
    let order = |a: &(TimeCost, u64, usize), b: &(TimeCost, u64, usize)| {
        a.0.cmp(&b.0).then_with(|| b.1.cmp(&a.1))
    };
    let best = costs.iter().min_by(|a, b| order(a, b))?;
    let Some(token_s) = context.token_s.filter(|&token_s| token_s > 0.0) else {
        return Some(best.2);
    };
    let margin = CONNECTION_GAIN_S / token_s;
    let near = costs
        .iter()
        .filter(|(cost, ..)| cost.is_near(&best.0, margin))
        .map(|(.., i)| *i);
    Some(connected(best.2, near, context, rng))
}

/// Returns an upstream by a random draw that makes the expected times of upstreams equal.
///
/// The number of other gateways' requests is known only after a lag, in which all of them decide by
/// the same figures. If each chose the upstream that looks best, all would choose the same one. So
/// the requests that have arrived in the meantime are distributed to bring the expected times to one
/// level, and the draw has the weights of that distribution. The shorter the lag, the more it
/// prefers the best.
fn by_load_time(
    candidates: &[Candidate],
    eligible: &[usize],
    context: &TimeContext<'_>,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let mut arrived = 1.0;
    let fills: Vec<Fill> = selection(candidates, eligible, rng)
        .into_iter()
        .map(|i| {
            let candidate = &candidates[i];
            let hint = context.hints.get(i).copied().unwrap_or_default();
            let slot_share = hint.slot_share.max(MIN_SLOT_SHARE);
            // Share of other gateways' known requests that have not ended yet.
            let left = context.request_s.map_or(0.5, |request_s| {
                (-hint.lag_s / request_s.max(MIN_REQUEST_S)).exp()
            });
            let ended = (1.0 - left) * hint.peer_load.min(candidate.load);
            arrived += ended / slot_share;
            let remote = if candidate.is_local {
                0.0
            } else {
                REMOTE_PENALTY
            };
            Fill {
                candidate: i,
                time: (candidate.load - ended + slot_share) * candidate.slowness + remote,
                per_request: slot_share * candidate.slowness,
            }
        })
        .collect();
    let level = level(&fills, arrived);
    let weight = |fill: &Fill| (level - fill.time).max(0.0) / fill.per_request;
    let mut draw = rng.f64() * fills.iter().map(weight).sum::<f64>();
    let drawn = fills.iter().find(|fill| {
        draw -= weight(fill);
        draw < 0.0
    });
    let drawn = drawn.or_else(|| fills.iter().min_by(|a, b| a.time.total_cmp(&b.time)))?;
    let Some(request_s) = context.request_s.filter(|&request_s| request_s > 0.0) else {
        return Some(drawn.candidate);
    };
    let margin = CONNECTION_GAIN_S / request_s;
    let near = fills
        .iter()
        .filter(|fill| weight(fill) > 0.0 && fill.time < drawn.time + margin)
        .map(|fill| fill.candidate);
    Some(connected(drawn.candidate, near, context, rng))
}

/// Returns all eligible upstreams, or a random selection of [`LEVELLED_POOL`], of which half is local
/// if there are enough.
fn selection(candidates: &[Candidate], eligible: &[usize], rng: &mut fastrand::Rng) -> Vec<usize> {
    if eligible.len() <= LEVELLED_POOL {
        return eligible.to_vec();
    }
    let (mut local, mut remote): (Vec<usize>, Vec<usize>) =
        eligible.iter().partition(|&&i| candidates[i].is_local);
    let local_count = (LEVELLED_POOL / 2).max(LEVELLED_POOL.saturating_sub(remote.len()));
    let mut selected = Vec::with_capacity(LEVELLED_POOL);
    for (pool, count) in [(&mut local, local_count), (&mut remote, LEVELLED_POOL)] {
        let count = count.min(LEVELLED_POOL - selected.len()).min(pool.len());
        for at in 0..count {
            let other = rng.usize(at..pool.len());
            pool.swap(at, other);
            selected.push(pool[at]);
        }
    }
    selected
}

/// Expected time of the request at an upstream, as a multiple of the usual time with all slots in use.
#[derive(Clone, Copy, Debug)]
struct Fill {
    candidate: usize,
    time: f64,
    /// Increase of `time` with each request.
    per_request: f64,
}

/// Returns the level that the expected times reach when `requests` are distributed to the upstreams
/// with the shortest ones.
fn level(fills: &[Fill], requests: f64) -> f64 {
    let mut order: Vec<&Fill> = fills.iter().collect();
    order.sort_unstable_by(|a, b| a.time.total_cmp(&b.time));
    let (mut filled, mut capacity) = (requests, 0.0);
    let mut level = 0.0;
    for fill in order {
        if capacity > 0.0 && fill.time >= level {
            break;
        }
        // The level is at `(requests + sum of time / per_request) / sum of 1 / per_request`.
        filled += fill.time / fill.per_request;
        capacity += 1.0 / fill.per_request;
        level = filled / capacity;
    }
    level
}

/// Returns `best` or, if the gateway has no idle connection to it, one of some others to which it
/// has one. They are checked in random order, because all gateways have the same order of upstreams
/// and would send their requests to the first of them.
fn connected(
    best: usize,
    others: impl Iterator<Item = usize>,
    context: &TimeContext<'_>,
    rng: &mut fastrand::Rng,
) -> usize {
    if (context.is_connected)(best) {
        return best;
    }
    let mut others: Vec<usize> = others.filter(|&i| i != best).collect();
    for at in 0..others.len().min(MAX_CONNECTION_CHECKS) {
        let other = rng.usize(at..others.len());
        others.swap(at, other);
        if (context.is_connected)(others[at]) {
            return others[at];
        }
    }
    best
}

/// What the expected times of upstreams are compared by, the most important first.
#[derive(Clone, Copy, Debug)]
struct TimeCost {
    is_full: bool,
    is_late: bool,
    cost: f64,
    occupancy: u32,
}

impl TimeCost {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.is_full, self.is_late)
            .cmp(&(other.is_full, other.is_late))
            .then_with(|| self.cost.total_cmp(&other.cost))
            .then_with(|| self.occupancy.cmp(&other.occupancy))
    }

    /// Returns whether an upstream is hardly worse than the best.
    fn is_near(&self, best: &Self, margin: f64) -> bool {
        (self.is_full, self.is_late) == (best.is_full, best.is_late)
            && self.cost < best.cost + margin
            && self.occupancy <= best.occupancy
    }
}
