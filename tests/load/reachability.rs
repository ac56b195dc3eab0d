//! A crash of many upstreams in front of many gateways.

use std::time::Duration;

use daisyquay::policy::placement;
use daisyquay::policy::placement::Candidate;
use daisyquay::policy::reachability::Reachability;
use daisyquay::upstream::Circuit;

const GATEWAYS: usize = 200;
const UPSTREAMS: u64 = 78;

/// Every fourth upstream has survived.
const SURVIVES: fn(u64) -> bool = |upstream| upstream % 4 == 0;

/// Time that an update takes from one gateway to all others through the hubs.
const UPDATE_DELAY: Duration = Duration::from_millis(300);

const REQUESTS: usize = 4000;
const REQUEST_INTERVAL: Duration = Duration::from_micros(1250);

/// Plays five seconds of requests after the crash. Returns, for each, how many upstreams refused
/// its connection before one accepted it.
fn refused_connections(shares_reports: bool) -> Vec<u32> {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut gateways = vec![Reachability::default(); GATEWAYS];
    let mut reports: Vec<(Duration, usize, u64)> = Vec::new();
    let mut refused = Vec::new();
    for i in 0..REQUESTS {
        let now = Duration::from_secs(60) + REQUEST_INTERVAL * i as u32;
        reports.retain(|&(at, from, upstream)| {
            let is_due = now >= at;
            for (other, reachability) in gateways.iter_mut().enumerate() {
                if is_due && other != from {
                    reachability.record_reported_refusal(upstream, now);
                }
            }
            !is_due
        });
        let gateway = rng.usize(..GATEWAYS);
        let mut tried = Vec::new();
        loop {
            let candidates: Vec<Candidate> = (0..UPSTREAMS)
                .map(|id| Candidate {
                    id,
                    load: 0.1,
                    prefill_tokens: 0,
                    kv_cache_use: 0.0,
                    is_local: id % 5 == gateway as u64 % 5,
                    circuit: if gateways[gateway].is_avoided(id, now) {
                        Circuit::Open
                    } else {
                        Circuit::Closed
                    },
                    was_tried: tried.contains(&id),
                    is_suspect: false,
                    is_blocked: false,
                    slowness: 1.0,
                })
                .collect();
            let chosen = placement::place(&candidates, None, true, &mut rng).unwrap();
            let upstream = candidates[chosen].id;
            if SURVIVES(upstream) {
                gateways[gateway].record_response(upstream);
                break;
            }
            tried.push(upstream);
            gateways[gateway].record_refusal(upstream, now);
            if shares_reports {
                let unpublished = gateways[gateway].take_unpublished();
                reports.extend(
                    unpublished
                        .iter()
                        .map(|&id| (now + UPDATE_DELAY, gateway, id)),
                );
            }
        }
        refused.push(tried.len() as u32);
    }
    refused
}

#[test]
fn one_refused_connection_spares_the_requests_of_all_gateways() {
    let alone: u32 = refused_connections(false).iter().sum();
    let shared: u32 = refused_connections(true).iter().sum();
    assert!(
        shared * 4 < alone,
        "{shared} refused connections, {alone} without reports"
    );
}

#[test]
fn gateway_that_observed_a_refusal_tries_again_before_the_others() {
    let mut reachability = Reachability::default();
    let start = Duration::from_secs(60);
    reachability.record_refusal(7, start);
    reachability.record_reported_refusal(8, start);
    assert!(reachability.is_avoided(7, start) && reachability.is_avoided(8, start));
    let later = start + Duration::from_secs(1);
    assert!(!reachability.is_avoided(7, later) && reachability.is_avoided(8, later));
    assert!(!reachability.is_avoided(8, later + Duration::from_secs(1)));
    assert_eq!(reachability.take_unpublished(), [7]);
}

#[test]
fn own_response_outweighs_reports_of_other_gateways() {
    let mut reachability = Reachability::default();
    let now = Duration::from_secs(60);
    reachability.record_reported_refusal(7, now);
    reachability.record_response(7);
    assert!(!reachability.is_avoided(7, now));
}
