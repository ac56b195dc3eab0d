//! Upstreams that fall over if gateways make them reject many requests.

use std::collections::VecDeque;
use std::time::Duration;

use daisyquay::policy::brittle::BrittleUpstreams;
use daisyquay::policy::brittle::Notice;
use daisyquay::policy::brittle::Occupancy;
use daisyquay::policy::gateway_queue;

const MS: Duration = Duration::from_millis(1);

/// Time for which the upstreams say that they are brittle, after [`GRACE`].
const TIME: Duration = Duration::from_secs(8);

/// Time from the first such response from which rejections count.
const GRACE: Duration = Duration::from_secs(2);

/// Time for which an upstream that fell over is down.
const DOWN: Duration = Duration::from_secs(4);

/// Time that a request or a response is under way.
const PATH: Duration = MS;

/// Longest time for which a request waits at a gateway.
const MAX_WAIT: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Site {
    gateways: usize,
    upstreams: usize,
    slots: u32,
    /// Requests that may wait at an upstream.
    waiting: u32,
    /// Mean time that a request takes there.
    work: Duration,
    /// Rejections a second that it bears.
    rejections_per_s: f64,
    /// Time until a gateway knows of another one's requests.
    lag: Duration,
    /// Requests, as a multiple of what the upstreams can serve.
    demand: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    falls: usize,
    rejections: usize,
    /// Served requests, as a share of what the upstreams could have served.
    served: f64,
}

#[derive(Default)]
struct SimUpstream {
    /// When its requests end, and the gateway of each.
    running: Vec<(Duration, usize)>,
    waiting: VecDeque<usize>,
    rejected: VecDeque<Duration>,
    down_until: Duration,
    /// Requests of each gateway there or on their way, by time.
    counts: Vec<VecDeque<(Duration, u32)>>,
    current: Vec<u32>,
}

impl SimUpstream {
    fn set_count(&mut self, gateway: usize, change: i32, now: Duration) {
        let count = self.current[gateway].saturating_add_signed(change);
        self.current[gateway] = count;
        self.counts[gateway].push_back((now, count));
    }

    /// Returns the requests of a gateway there at a time.
    fn count_at(&mut self, gateway: usize, at: Duration) -> u32 {
        let counts = &mut self.counts[gateway];
        while counts.len() > 1 && counts[1].0 <= at {
            counts.pop_front();
        }
        counts
            .front()
            .filter(|(from, _)| *from <= at)
            .map_or(0, |(_, count)| *count)
    }
}

/// Plays a time of brittle upstreams; without `is_careful` as though they had not said so.
fn play(site: &Site, seed: u64, is_careful: bool) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut outcome = Outcome::default();
    let mut upstreams: Vec<SimUpstream> = (0..site.upstreams)
        .map(|_| SimUpstream {
            counts: vec![VecDeque::new(); site.gateways],
            current: vec![0; site.gateways],
            ..SimUpstream::default()
        })
        .collect();
    let mut tables: Vec<BrittleUpstreams> = (0..site.gateways)
        .map(|_| BrittleUpstreams::new(rng.f64()))
        .collect();
    // The gateways' clocks differ.
    let clocks: Vec<Duration> = (0..site.gateways)
        .map(|_| TIME.mul_f64(rng.f64()))
        .collect();
    let named = |upstream: usize, rejected_ago| Notice {
        upstream: upstream as u64,
        rejections_per_s: Some(site.rejections_per_s),
        age: Duration::ZERO,
        rejected_ago,
    };
    for (table, clock) in tables.iter_mut().zip(&clocks) {
        for u in 0..site.upstreams {
            table.apply(&named(u, None), *clock);
        }
    }
    let capacity_per_s = f64::from(site.slots) * site.upstreams as f64 / site.work.as_secs_f64();
    let arrivals_per_ms = capacity_per_s * site.demand / 1000.0;
    let share = 1.0 / site.gateways as f64;
    let mut queues: Vec<VecDeque<Duration>> = vec![VecDeque::new(); site.gateways];
    // Arrival time, upstream, gateway.
    let mut sent: VecDeque<(Duration, usize, usize)> = VecDeque::new();
    // Time, upstream, gateway; `None` for the rejections that all gateways hear of.
    let mut replies: Vec<(Duration, usize, Option<usize>)> = Vec::new();
    let mut served = 0;
    let mut now = Duration::ZERO;
    let end = GRACE + TIME;
    while now < end {
        let mut arrivals = arrivals_per_ms + rng.f64();
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            queues[rng.usize(..site.gateways)].push_back(now);
        }
        for (u, upstream) in upstreams.iter_mut().enumerate() {
            let ended: Vec<_> = upstream
                .running
                .extract_if(.., |(at, _)| *at <= now)
                .collect();
            for (_, gateway) in ended {
                upstream.set_count(gateway, -1, now + PATH);
                served += usize::from(now >= GRACE);
                if let Some(next) = upstream.waiting.pop_front() {
                    let work = site.work.mul_f64(0.5 + rng.f64());
                    upstream.running.push((now + work, next));
                }
            }
            while upstream
                .rejected
                .front()
                .is_some_and(|at| *at + Duration::from_secs(1) <= now)
            {
                upstream.rejected.pop_front();
            }
            if now >= GRACE && upstream.rejected.len() as f64 > site.rejections_per_s {
                outcome.falls += 1;
                upstream.down_until = now + DOWN;
                upstream.rejected.clear();
                upstream.waiting.clear();
                upstream.running.clear();
                for gateway in 0..site.gateways {
                    let count = upstream.current[gateway] as i32;
                    upstream.set_count(gateway, -count, now);
                }
                replies.retain(|(_, at, _)| *at != u);
            }
        }
        while let Some(&(at, u, gateway)) = sent.front().filter(|(at, ..)| *at <= now) {
            sent.pop_front();
            let upstream = &mut upstreams[u];
            if at < upstream.down_until {
                continue;
            }
            if (upstream.running.len() as u32) < site.slots {
                let work = site.work.mul_f64(0.5 + rng.f64());
                upstream.running.push((now + work, gateway));
            } else if (upstream.waiting.len() as u32) < site.waiting {
                upstream.waiting.push_back(gateway);
            } else {
                upstream.rejected.push_back(now);
                outcome.rejections += usize::from(now >= GRACE);
                upstream.set_count(gateway, -1, now + PATH);
                replies.push((now + PATH, u, Some(gateway)));
                replies.push((now + PATH + site.lag, u, None));
            }
        }
        for (at, u, gateway) in replies.extract_if(.., |(at, ..)| *at <= now) {
            match gateway {
                Some(gateway) => {
                    tables[gateway].record_rejection(u as u64, at + clocks[gateway]);
                }
                None => {
                    for (table, clock) in tables.iter_mut().zip(&clocks) {
                        table.apply(&named(u, Some(site.lag)), now + *clock);
                    }
                }
            }
        }
        let first = rng.usize(..site.gateways);
        for i in 0..site.gateways {
            let gateway = (first + i) % site.gateways;
            while queues[gateway]
                .front()
                .is_some_and(|at| *at + MAX_WAIT < now)
            {
                queues[gateway].pop_front();
            }
            while !queues[gateway].is_empty() {
                let mut best: Option<(u32, usize)> = None;
                for (u, upstream) in upstreams.iter_mut().enumerate() {
                    if now < upstream.down_until {
                        continue;
                    }
                    let own = upstream.current[gateway];
                    let own_before = upstream.count_at(gateway, now.saturating_sub(site.lag));
                    let before = now.saturating_sub(site.lag);
                    let others: u32 = (0..site.gateways)
                        .filter(|other| *other != gateway)
                        .map(|other| upstream.count_at(other, before))
                        .sum();
                    let occupancy = Occupancy {
                        slots: site.slots,
                        requests: own + others,
                        unseen: own.saturating_sub(own_before),
                        share,
                        lag: site.lag,
                    };
                    let free = if is_careful {
                        tables[gateway]
                            .free_slots(u as u64, &occupancy, site.gateways, now + clocks[gateway])
                            .unwrap()
                    } else {
                        gateway_queue::free_slots(&gateway_queue::Occupancy {
                            slots: site.slots,
                            requests: own + others,
                            own,
                            own_before,
                            share,
                        })
                    };
                    let room = site.slots.saturating_sub(own + others);
                    if free > 0 && best.as_ref().is_none_or(|(most, ..)| room > *most) {
                        best = Some((room, u));
                    }
                }
                let Some((_, u)) = best else {
                    break;
                };
                queues[gateway].pop_front();
                tables[gateway].record_sent(u as u64, now + clocks[gateway]);
                upstreams[u].set_count(gateway, 1, now);
                sent.push_back((now + PATH, u, gateway));
            }
        }
        now += MS;
    }
    outcome.served = served as f64 / (capacity_per_s * TIME.as_secs_f64());
    outcome
}

/// Small and large services, few and many gateways, with and without room to wait.
fn sites() -> Vec<Site> {
    let mut sites = Vec::new();
    for (gateways, upstreams, slots, work) in [
        (9, 3, 6, Duration::from_millis(60)),
        (9, 3, 6, Duration::from_millis(250)),
        (9, 6, 64, Duration::from_millis(800)),
        (24, 6, 16, Duration::from_millis(300)),
        (1, 2, 4, Duration::from_millis(100)),
    ] {
        for waiting in [0, 2] {
            sites.push(Site {
                gateways,
                upstreams,
                slots,
                waiting,
                work,
                rejections_per_s: 4.0,
                lag: Duration::from_millis(25),
                demand: 3.0,
            });
        }
    }
    sites
}

/// Falls that are borne in one time of brittleness.
fn allowed_falls(site: &Site) -> usize {
    2 + site.upstreams / 10
}

/// Share of what the upstreams can serve that must be served under overload. The shorter the work, the
/// less the gateways know of each other's requests while it lasts.
fn least_served(site: &Site) -> f64 {
    if site.work >= 8 * site.lag { 0.5 } else { 0.25 }
}

/// Guards against an overload that lets brittle upstreams fall over, because each gateway sends to
/// the slot that has become free.
#[test]
fn brittle_upstreams_rarely_fall_over_under_overload() {
    let mut bad = Vec::new();
    for site in sites() {
        for seed in 0..2 {
            let outcome = play(&site, seed, true);

            if outcome.falls > allowed_falls(&site) || outcome.served < least_served(&site) {
                bad.push(format!("{site:?}: {outcome:?}"));
            }
        }
    }
    assert!(bad.is_empty(), "{bad:#?}");
}

/// Shows that the simulated upstreams would fall over otherwise.
#[test]
fn upstreams_fall_over_if_gateways_do_not_know_that_they_are_brittle() {
    let site = Site {
        gateways: 9,
        upstreams: 3,
        slots: 6,
        waiting: 0,
        work: Duration::from_millis(250),
        rejections_per_s: 4.0,
        lag: Duration::from_millis(25),
        demand: 4.0,
    };
    let outcome = play(&site, 1, false);
    assert!(outcome.falls > allowed_falls(&site), "{outcome:?}");
}

const UPSTREAM: u64 = 7;

const GATEWAYS: usize = 9;

fn notice(rejections_per_s: Option<f64>, rejected_ago: Option<Duration>) -> Notice {
    Notice {
        upstream: UPSTREAM,
        rejections_per_s,
        age: Duration::ZERO,
        rejected_ago,
    }
}

/// An idle upstream of which one gateway may use many slots.
const IDLE: Occupancy = Occupancy {
    slots: 64,
    requests: 0,
    unseen: 0,
    share: 0.5,
    lag: Duration::from_millis(25),
};

#[test]
fn upstream_that_is_not_brittle_has_no_further_limit() {
    let mut table = BrittleUpstreams::new(0.5);
    assert!(!table.apply(&notice(None, None), MS));
    assert!(table.is_empty());
    assert!(!table.record_rejection(UPSTREAM, MS));
    assert_eq!(table.free_slots(UPSTREAM, &IDLE, GATEWAYS, MS), None);
}

#[test]
fn brittleness_ends_with_a_later_response_without_it() {
    let now = Duration::from_secs(1);
    let mut table = BrittleUpstreams::new(0.5);
    assert!(table.apply(&notice(Some(4.0), None), now));
    // A response that was on its way when the upstream became brittle.
    assert!(!table.apply(&notice(None, None), now + 20 * MS));
    assert!(table.contains(UPSTREAM));
    let later = now + Duration::from_secs(2);
    assert!(table.apply(&notice(None, None), later));
    assert_eq!(table.free_slots(UPSTREAM, &IDLE, GATEWAYS, later), None);
    table.retain(later, |_| false);
    assert!(table.is_empty());
}

#[test]
fn gateways_keep_away_after_a_rejection_and_the_one_that_got_it_for_longer() {
    let now = Duration::from_secs(1);
    let (mut own, mut other) = (BrittleUpstreams::new(0.1), BrittleUpstreams::new(0.7));
    for table in [&mut own, &mut other] {
        table.apply(&notice(Some(4.0), None), now);
        assert!(table.free_slots(UPSTREAM, &IDLE, GATEWAYS, now) > Some(0));
    }
    assert!(own.record_rejection(UPSTREAM, now));
    let told = own.notices(now + 30 * MS);
    assert_eq!(told[0].rejected_ago, Some(30 * MS));
    other.apply(&told[0], now + 30 * MS);
    for table in [&own, &other] {
        let soon = table.free_slots(UPSTREAM, &IDLE, GATEWAYS, now + 100 * MS);
        assert_eq!(soon, Some(0));
    }
    let later = now + 300 * MS;
    assert!(other.free_slots(UPSTREAM, &IDLE, GATEWAYS, later) > Some(0));
    assert_eq!(own.free_slots(UPSTREAM, &IDLE, GATEWAYS, later), Some(0));
    let much_later = now + Duration::from_secs(2);
    assert!(own.free_slots(UPSTREAM, &IDLE, GATEWAYS, much_later) > Some(0));
}

#[test]
fn extreme_figures_are_obeyed_within_bounds() {
    for per_s in [0.0, 1e-300, 1e300] {
        let mut table = BrittleUpstreams::new(0.5);
        table.apply(&notice(Some(per_s), None), MS);
        assert!(table.record_rejection(UPSTREAM, MS));
        let wait = table.wait(UPSTREAM, usize::MAX, 2 * MS);
        assert!(wait <= Duration::from_secs(1), "{per_s}: {wait:?}");
        let extreme = Occupancy {
            slots: u32::MAX,
            requests: 0,
            unseen: u32::MAX,
            share: f64::MAX,
            lag: Duration::MAX / 4,
        };
        let at = Duration::from_secs(3600);
        assert!(table.free_slots(UPSTREAM, &extreme, 0, at).is_some());
    }
    let mut table = BrittleUpstreams::new(f64::MAX);
    assert!(!table.apply(&notice(Some(f64::NAN), None), MS));
    assert!(!table.apply(&notice(Some(f64::INFINITY), None), MS));
}

/// Guards against a full upstream that is offered a request by every gateway in turn.
#[test]
fn full_upstream_gets_nothing() {
    let mut table = BrittleUpstreams::new(0.3);
    table.apply(&notice(Some(4.0), None), MS);
    let full = Occupancy {
        requests: IDLE.slots,
        ..IDLE
    };
    for ms in 0..10_000 {
        let now = ms * MS;
        assert_eq!(table.free_slots(UPSTREAM, &full, GATEWAYS, now), Some(0));
    }
}
