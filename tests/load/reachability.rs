//! A crash of many upstreams in front of many gateways, and gateways that are partitioned from sound
//! upstreams.

use std::time::Duration;

use daisyquay::policy::placement;
use daisyquay::policy::placement::Candidate;
use daisyquay::policy::reachability::Notice;
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

/// Run id of another gateway.
const OTHER: u64 = 1;

fn refusal_of(upstream: u64) -> Notice {
    Notice {
        refusing: vec![(upstream, Duration::ZERO)],
        responding: Vec::new(),
    }
}

fn fleet(size: usize) -> Vec<Reachability> {
    (1..=size as u64).map(Reachability::new).collect()
}

/// Plays five seconds of requests after the crash. Returns, for each, how many upstreams refused
/// its connection before one accepted it.
fn refused_connections(shares_reports: bool) -> Vec<u32> {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut gateways = fleet(GATEWAYS);
    let mut reports: Vec<(Duration, usize, Notice)> = Vec::new();
    let mut refused = Vec::new();
    for i in 0..REQUESTS {
        let now = Duration::from_secs(60) + REQUEST_INTERVAL * i as u32;
        reports.retain(|(at, from, notice)| {
            let is_due = now >= *at;
            for (other, reachability) in gateways.iter_mut().enumerate() {
                if is_due && other != *from {
                    reachability.apply(*from as u64, notice, now);
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
                gateways[gateway].record_response(upstream, now);
                break;
            }
            tried.push(upstream);
            gateways[gateway].record_refusal(upstream, now);
            if shares_reports {
                let notice = gateways[gateway].next_notice(false, now);
                if !notice.is_empty() {
                    reports.push((now + UPDATE_DELAY, gateway, notice));
                }
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
    reachability.apply(OTHER, &refusal_of(8), start);
    assert!(reachability.is_avoided(7, start) && reachability.is_avoided(8, start));
    let later = start + Duration::from_secs(1);
    assert!(!reachability.is_avoided(7, later) && reachability.is_avoided(8, later));
    assert!(!reachability.is_avoided(8, later + Duration::from_secs(1)));
    let notice = reachability.next_notice(false, start);
    assert_eq!(notice, refusal_of(7));
}

#[test]
fn own_response_outweighs_reports_of_other_gateways() {
    let mut reachability = Reachability::default();
    let now = Duration::from_secs(60);
    reachability.apply(OTHER, &refusal_of(7), now);
    reachability.record_response(7, now);
    assert!(!reachability.is_avoided(7, now));
}

/// Gateways of a fleet, the first of which are partitioned from all upstreams: these refuse their
/// connections. Sound gateways send requests at `interval` to an upstream that they do not avoid, if
/// there is one, and get a response after 150 ms.
struct PartitionedFleet {
    gateways: Vec<Reachability>,
    partitioned: usize,
    upstreams: u64,
    interval: Duration,
}

impl PartitionedFleet {
    /// Plays ten seconds. Returns the part of the requests at sound gateways for which most upstreams
    /// were avoided, counted from one second after the start.
    fn hindered_share(&mut self) -> f64 {
        const STEP: Duration = Duration::from_millis(10);
        let mut rng = fastrand::Rng::with_seed(5);
        let start = Duration::from_secs(60);
        let mut now = start;
        let mut notices: Vec<(Duration, usize, Notice)> = Vec::new();
        let mut responses: Vec<(Duration, usize, u64)> = Vec::new();
        let (mut requests, mut hindered) = (0, 0);
        while now < start + Duration::from_secs(10) {
            now += STEP;
            responses.retain(|&(at, gateway, upstream)| {
                if at <= now {
                    self.gateways[gateway].record_response(upstream, now);
                }
                at > now
            });
            for i in 0..self.gateways.len() {
                if rng.f64() >= STEP.div_duration_f64(self.interval) {
                    continue;
                }
                let reachability = &mut self.gateways[i];
                let open: Vec<u64> = (0..self.upstreams)
                    .filter(|&upstream| !reachability.is_avoided(upstream, now))
                    .collect();
                if i < self.partitioned {
                    for &upstream in &open {
                        reachability.record_refusal(upstream, now);
                    }
                    continue;
                }
                if now >= start + Duration::from_secs(1) {
                    requests += 1;
                    hindered += u32::from(2 * open.len() < self.upstreams as usize);
                }
                let all: Vec<u64> = (0..self.upstreams).collect();
                let choices = if open.is_empty() { &all } else { &open };
                let upstream = *rng.choice(choices).unwrap();
                responses.push((now + Duration::from_millis(150), i, upstream));
            }
            for i in 0..self.gateways.len() {
                let is_full = now.as_millis().is_multiple_of(1000);
                let notice = self.gateways[i].next_notice(is_full, now);
                if !notice.is_empty() {
                    notices.push((now + Duration::from_millis(20), i, notice));
                }
                self.gateways[i].remove_expired(now);
            }
            notices.retain(|(at, from, notice)| {
                let is_due = *at <= now;
                for (i, reachability) in self.gateways.iter_mut().enumerate() {
                    if is_due && i != *from {
                        reachability.apply(*from as u64, notice, now);
                    }
                }
                !is_due
            });
        }
        f64::from(hindered) / f64::from(requests)
    }
}

/// Guards against sound upstreams being avoided by all gateways because some gateways are cut off
/// from them and report refused connections.
#[test]
fn refusals_that_a_partitioned_gateway_reports_do_not_keep_the_others_from_sound_upstreams() {
    for (gateways, partitioned, upstreams, interval_ms) in [
        (9, 1, 18, 100),
        (9, 6, 18, 100),
        (9, 6, 3, 200),
        (3, 1, 3, 100),
        (30, 10, 40, 100),
    ] {
        let mut fleet = PartitionedFleet {
            gateways: fleet(gateways),
            partitioned,
            upstreams,
            interval: Duration::from_millis(interval_ms),
        };
        let hindered = fleet.hindered_share();
        assert!(
            hindered < 0.1,
            "{partitioned} of {gateways} gateways cut off from {upstreams} upstreams: \
             {hindered:.2} of the other gateways' requests hindered"
        );
    }
}

/// Guards against reports of lost upstreams being ignored because one of them was wrong.
#[test]
fn reporter_is_believed_while_most_of_its_reports_hold() {
    let mut reachability = Reachability::default();
    let start = Duration::from_secs(60);
    for upstream in 10..15 {
        reachability.apply(OTHER, &refusal_of(upstream), start);
    }
    let later = start + Duration::from_millis(300);
    assert!(reachability.record_response(10, later));
    assert!(!reachability.is_avoided(10, later) && reachability.is_avoided(11, later));
    reachability.apply(OTHER, &refusal_of(15), later);
    assert!(reachability.is_avoided(15, later));
}

/// Guards against a response that was under way when its upstream crashed, or that comes from a
/// process which has replaced it, being taken as one of an upstream that was not lost.
#[test]
fn only_a_response_soon_after_a_report_refutes_it() {
    let start = Duration::from_secs(60);
    for (after_ms, refutes) in [(50, false), (300, true), (1500, false)] {
        let mut reachability = Reachability::default();
        reachability.record_loss(7, start);
        let at = start + Duration::from_millis(after_ms);
        assert_eq!(
            reachability.record_response(7, at),
            refutes,
            "{after_ms} ms"
        );
        assert_eq!(reachability.record_loss(7, start), refutes, "{after_ms} ms");
        assert_eq!(reachability.has_news(), refutes, "{after_ms} ms");
    }
}

/// Guards against a response that is late being taken for a crash, because a gateway that is cut off
/// has reported that the upstream refuses connections.
#[test]
fn refusal_that_others_report_is_not_taken_as_observed_here() {
    let mut reachability = Reachability::default();
    let now = Duration::from_secs(60);
    reachability.apply(OTHER, &refusal_of(7), now);
    assert!(reachability.is_avoided(7, now) && !reachability.is_refusing(7, now));
    reachability.record_refusal(7, now);
    assert!(reachability.is_refusing(7, now));
}
