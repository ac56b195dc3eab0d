//! The first second of 64 gateways in front of 90 upstreams after all gateways have lost power.

use daisyquay::policy::placement::Candidate;
use daisyquay::policy::placement::Prefill;
use daisyquay::policy::placement::place;
use daisyquay::policy::placement::stable_hash;
use daisyquay::upstream::Circuit;

const GATEWAYS: usize = 64;
const UPSTREAMS: usize = 90;
const SLOTS: f64 = 16.0;
const TOKENS_PER_MS: f64 = 100.0;
const TARGET_MS: f64 = 500.0;
const UPDATE_MS: f64 = 40.0;

/// Prefixes that prompts share, the first the most popular, and their tokens.
const PREFIXES: u64 = 40;
const PREFIX_TOKENS: u64 = 1_500;

/// Time for which callers' requests have waited for the gateways.
const OUTAGE_MS: f64 = 250.0;

struct Job {
    gateway: usize,
    upstream: usize,
    tokens: u64,
    done_ms: f64,
}

/// Replays the same prompts, and returns the share that is late. Gateways know of each other's
/// prompts from `updates_from_ms` on; until then, they spread them if `spreads`.
fn late(updates_from_ms: f64, spreads: bool, shares_prefixes: bool) -> f64 {
    // Without shared prefixes, the mean prompt has 3,800 tokens, 0.6 of the capacity in all.
    let per_s = if shares_prefixes { 3_000.0 } else { 1_420.0 };
    let mut cached = std::collections::BTreeSet::new();
    let mut arrivals = fastrand::Rng::with_seed(3);
    let mut rng = fastrand::Rng::with_seed(4);
    let mut jobs: Vec<Job> = Vec::new();
    let (mut late, mut arrival_ms) = (0, -OUTAGE_MS);
    while arrival_ms < 1_000.0 {
        arrival_ms -= arrivals.f64().max(1e-9).ln() * 1e3 / per_s;
        let now = arrival_ms.max(0.0);
        let gateway = arrivals.usize(..GATEWAYS);
        let (prefix_id, own_tokens) = if shares_prefixes {
            // The popularity falls with the rank.
            let id = (PREFIXES as f64).powf(arrivals.f64()) as u64;
            (Some(id), 500)
        } else if arrivals.f64() < 0.1 {
            (None, 20_000)
        } else {
            (None, 2_000)
        };
        let updated_at = (now / UPDATE_MS).floor() * UPDATE_MS;
        let mut known = [(0.0, 0); UPSTREAMS];
        for job in &jobs {
            let is_own = job.gateway == gateway;
            let is_published = updated_at >= updates_from_ms && job.done_ms > updated_at;
            if job.done_ms > now && (is_own || is_published) {
                known[job.upstream].0 += 1.0 / SLOTS;
                known[job.upstream].1 += job.tokens;
            }
        }
        let candidate = |(i, &(load, prefill_tokens)): (usize, &(f64, u64))| Candidate {
            id: stable_hash(&format!("upstream-{i}")),
            load,
            prefill_tokens,
            kv_cache_use: 0.0,
            is_local: true,
            circuit: Circuit::Closed,
            was_tried: false,
            is_suspect: false,
            is_blocked: false,
            slowness: 1.0,
        };
        let candidates: Vec<Candidate> = known.iter().enumerate().map(candidate).collect();
        let mut prefill = Prefill {
            prefix_id,
            prefix_tokens: prefix_id.map_or(0, |_| PREFIX_TOKENS),
            own_tokens,
            tokens_to_target: None,
        };
        if spreads && updated_at < updates_from_ms {
            prefill = prefill.without_updates(rng.u64(..));
        }
        let upstream = place(&candidates, Some(prefill), true, &mut rng).unwrap();
        let is_cached = !cached.insert((upstream, prefix_id));
        let tokens = own_tokens + if is_cached { 0 } else { prefill.prefix_tokens };
        let queued = jobs.iter().filter(|job| job.upstream == upstream);
        let free_at = queued.map(|job| job.done_ms).fold(now, f64::max);
        let done_ms = free_at + tokens as f64 / TOKENS_PER_MS;
        late += u32::from(done_ms - arrival_ms > TARGET_MS);
        jobs.push(Job {
            gateway,
            upstream,
            tokens,
            done_ms,
        });
    }
    f64::from(late) / jobs.len() as f64
}

/// Guards against gateways that all choose the same upstreams because they know nothing of each
/// other: a common order of upstreams, and a list of gateways that comes only after 2.4 s. That a
/// gateway applies `Prefill::without_updates` is tested in `tests/process/recovery.rs`.
#[test]
fn first_requests_after_a_loss_of_power_are_spread_over_the_upstreams() {
    for shares_prefixes in [false, true] {
        let [former, unspread, ours] = [(2_400.0, false), (200.0, false), (200.0, true)]
            .map(|(from, spreads)| late(from, spreads, shares_prefixes));
        println!("{former} {unspread} {ours}");
        assert!(ours < 0.05 && former > 5.0 * ours, "{former} {ours}");
        assert!(unspread > 1.3 * ours, "{unspread} {ours}");
    }
}
