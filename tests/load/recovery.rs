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

/// Prompts a second; with a mean of 3,800 tokens they use 0.6 of the capacity.
const PER_S: f64 = 1_420.0;

/// Time for which callers' requests have waited for the gateways.
const OUTAGE_MS: f64 = 250.0;

struct Job {
    gateway: usize,
    upstream: usize,
    tokens: u64,
    done_ms: f64,
}

#[derive(Debug)]
struct Outcome {
    late: f64,
    /// Tokens of the busiest upstream, as a multiple of the mean.
    busiest: f64,
}

/// Replays the same prompts, which share no prefix. Gateways know of each other's prompts from
/// `updates_from_ms` on.
fn run(updates_from_ms: f64, has_own_order: bool) -> Outcome {
    let mut arrivals = fastrand::Rng::with_seed(3);
    let mut rng = fastrand::Rng::with_seed(4);
    let mut jobs: Vec<Job> = Vec::new();
    let mut sent = [0; UPSTREAMS];
    let (mut late, mut arrival_ms) = (0, -OUTAGE_MS);
    while arrival_ms < 1_000.0 {
        arrival_ms -= arrivals.f64().max(1e-9).ln() * 1e3 / PER_S;
        let now = arrival_ms.max(0.0);
        let gateway = arrivals.usize(..GATEWAYS);
        let tokens = if arrivals.f64() < 0.1 { 20_000 } else { 2_000 };
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
            own_tokens: tokens,
            ..Prefill::default()
        };
        if has_own_order && updated_at < updates_from_ms {
            prefill = prefill.without_updates(rng.u64(..));
        }
        let upstream = place(&candidates, Some(prefill), true, &mut rng).unwrap();
        let queued = jobs.iter().filter(|job| job.upstream == upstream);
        let free_at = queued.map(|job| job.done_ms).fold(now, f64::max);
        let done_ms = free_at + tokens as f64 / TOKENS_PER_MS;
        late += u32::from(done_ms - arrival_ms > TARGET_MS);
        sent[upstream] += tokens;
        jobs.push(Job {
            gateway,
            upstream,
            tokens,
            done_ms,
        });
    }
    let busiest = *sent.iter().max().unwrap() as f64 * UPSTREAMS as f64;
    Outcome {
        late: f64::from(late) / jobs.len() as f64,
        busiest: busiest / sent.iter().sum::<u64>() as f64,
    }
}

/// Guards against gateways that all choose the same upstreams because they know nothing of each
/// other: a common order of upstreams, and a list of gateways that comes only after 2.4 s. That a
/// gateway applies `Prefill::without_updates` is tested in `tests/process/recovery.rs`.
#[test]
fn first_requests_after_a_loss_of_power_are_spread_over_the_upstreams() {
    let [former, without_list, ours] =
        [(2_400.0, false), (2_400.0, true), (200.0, true)].map(|(from, own)| run(from, own));
    println!("{former:?} {without_list:?} {ours:?}");
    assert!(ours.late < 0.02 && ours.busiest < 2.0, "{ours:?}");
    assert!(former.late > 10.0 * ours.late, "{former:?}");
    assert!(without_list.late < 0.2 * former.late, "{without_list:?}");
}
