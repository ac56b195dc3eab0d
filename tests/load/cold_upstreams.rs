//! Cold upstreams in front of many gateways that share what each of them tolerates.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use daisyquay::policy::cold_start::ColdStarts;
use daisyquay::policy::cold_start::Report;
use daisyquay::policy::cold_start::Source;
use daisyquay::policy::cold_start::Transition;
use daisyquay::policy::cold_start::retry_after;
use daisyquay::policy::placement::Candidate;
use daisyquay::policy::placement::place;
use daisyquay::policy::placement::stable_hash;
use daisyquay::policy::release_rollout::Evidence;
use daisyquay::policy::release_rollout::RouteStats;
use daisyquay::policy::release_rollout::Verdict;
use daisyquay::policy::release_rollout::evaluate;
use daisyquay::state::ServiceRollout;
use daisyquay::state::Stage;
use daisyquay::upstream::Circuit;
use daisyquay::upstream::Health;

const UPSTREAM: u64 = 7;
const TICK: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
const FOREVER: Duration = Duration::from_secs(86_400);
const RENEWAL: Duration = Duration::from_millis(400);
/// Time between two sweeps of a gateway.
const SWEEP: Duration = Duration::from_secs(2);
/// Time after which the leader drops a gateway that it has not heard of.
const LEASE: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(1_000 + gateway).unwrap()))
}

fn report(upstream: u64, remaining: Duration, source: Source, per_s: f64) -> Report {
    Report {
        upstream,
        remaining,
        source,
        per_s,
    }
}

/// One gateway of a simulated fleet.
struct Gateway {
    cold_starts: ColdStarts,
    address: SocketAddr,
    list: Vec<SocketAddr>,
    runs_from: Duration,
    runs_until: Duration,
    /// Whether the leader is out of its reach.
    cut_off: std::ops::Range<Duration>,
    /// When the leader does not list it although it runs.
    unlisted: std::ops::Range<Duration>,
    /// Offset of its renewals; that of its sweeps differs.
    offset: Duration,
}

/// Gateways whose lists of each other come from a leader with every renewal.
struct Fleet {
    gateways: Vec<Gateway>,
    per_s: f64,
    rng: fastrand::Rng,
    sent: Vec<Duration>,
}

impl Fleet {
    fn new(gateways: usize, per_s: f64) -> Self {
        let mut fleet = Self {
            gateways: Vec::new(),
            per_s,
            rng: fastrand::Rng::with_seed(23),
            sent: Vec::new(),
        };
        for _ in 0..gateways {
            fleet.add(Duration::ZERO, FOREVER);
        }
        fleet
    }

    fn add(&mut self, runs_from: Duration, runs_until: Duration) -> &mut Gateway {
        let offset = TICK * self.rng.u32(..40);
        self.gateways.push(Gateway {
            cold_starts: ColdStarts::default(),
            address: address(self.gateways.len()),
            list: Vec::new(),
            runs_from,
            runs_until,
            cut_off: FOREVER..FOREVER,
            unlisted: FOREVER..FOREVER,
            offset,
        });
        self.gateways.last_mut().unwrap()
    }

    /// Returns the gateways that the leader lists.
    fn listed(&self, now: Duration) -> Vec<SocketAddr> {
        let is_listed = |gateway: &Gateway| {
            let first_renewal = gateway.runs_from + gateway.offset;
            let is_silent = now >= gateway.cut_off.start + LEASE && now < gateway.cut_off.end;
            let is_running = (first_renewal..gateway.runs_until).contains(&now);
            is_running && !is_silent && !gateway.unlisted.contains(&now)
        };
        let listed = self.gateways.iter().filter(|gateway| is_listed(gateway));
        listed.map(|gateway| gateway.address).collect()
    }

    /// Runs the fleet while the upstream is cold. Callers come from `callers_from` on, `demand` a
    /// second at each gateway.
    fn run(&mut self, until: Duration, callers_from: Duration, demand: f64) {
        let mut now = Duration::ZERO;
        while now < until {
            let listed = self.listed(now);
            for i in 0..self.gateways.len() {
                let (per_s, phase, draw) = (self.per_s, self.rng.f64(), self.rng.f64());
                let gateway = &mut self.gateways[i];
                if now < gateway.runs_from || now >= gateway.runs_until {
                    continue;
                }
                let age = now - gateway.runs_from;
                let is_due = |interval: Duration, offset: Duration| {
                    let since = age.checked_sub(offset);
                    since
                        .is_some_and(|since| since.as_millis().is_multiple_of(interval.as_millis()))
                };
                let sweep_offset = gateway.offset + TICK * (37 * i as u32 % 200);
                let renews = is_due(RENEWAL, gateway.offset);
                let sweeps = is_due(SWEEP, sweep_offset);
                let cold_starts = &mut gateway.cold_starts;
                if renews && !gateway.cut_off.contains(&now) {
                    cold_starts.record_grant(now, now);
                    if gateway.list != listed {
                        gateway.list.clone_from(&listed);
                        cold_starts.set_gateways(gateway.address, listed.iter().copied(), now);
                    }
                    let cold = report(UPSTREAM, 600 * SECOND, Source::NewInstance, per_s);
                    cold_starts.apply(&cold, phase, now);
                }
                if sweeps {
                    cold_starts.refresh(now, |_| per_s);
                }
                let is_known = !cold_starts.is_empty();
                if is_known
                    && now >= callers_from
                    && draw < demand * TICK.as_secs_f64()
                    && cold_starts.wait(UPSTREAM, now).is_zero()
                {
                    assert!(cold_starts.record_sent(UPSTREAM, now));
                    self.sent.push(now);
                }
            }
            now += TICK;
        }
    }

    fn most_in_a_second(&self) -> usize {
        most_in_a_second(&self.sent)
    }
}

fn most_in_a_second(sent: &[Duration]) -> usize {
    let count =
        |(i, &at): (usize, &Duration)| sent[i..].partition_point(|&other| other < at + SECOND);
    sent.iter().enumerate().map(count).max().unwrap_or(0)
}

/// Requests that a cold upstream may get in any second.
fn bound(per_s: f64) -> f64 {
    per_s * 1.5 + 5.0
}

const FLEETS: [usize; 5] = [1, 3, 19, 94, 360];
const RATES: [f64; 5] = [0.5, 1.0, 5.7, 20.0, 61.0];

/// Guards against gateways that together send more than the upstream tolerates, in any second.
#[test]
fn gateways_with_the_same_list_stay_within_the_rate_in_any_second() {
    for gateways in FLEETS {
        for per_s in RATES {
            let mut fleet = Fleet::new(gateways, per_s);
            fleet.run(8 * SECOND, Duration::ZERO, 50.0);
            let most = fleet.most_in_a_second();
            let rate = per_s.max(1.0) as usize;
            assert!(
                most <= rate,
                "{gateways} gateways, {per_s} a second: {most}"
            );
        }
    }
}

#[test]
fn rate_is_used_while_callers_keep_coming() {
    for gateways in [3, 19, 94] {
        let mut fleet = Fleet::new(gateways, 20.0);
        fleet.run(23 * SECOND, Duration::ZERO, 16.0);
        let after_start = fleet.sent.iter().filter(|at| **at >= 3 * SECOND).count();
        let per_s = after_start as f64 / 20.0;
        assert!(per_s >= 14.0, "{gateways} gateways: {per_s} a second");
    }
}

/// Guards against a count of unused turns that includes turns of a gateway that had none: before it
/// joined, beyond a period's end, or while it was suspended.
#[test]
fn unused_turns_are_counted_when_the_period_ends() {
    let mut table = ColdStarts::default();
    let now = 10 * SECOND;
    table.record_grant(now, now);
    table.set_gateways(address(0), [address(0)], now);
    table.apply(
        &report(UPSTREAM, ms(11_800), Source::NewInstance, 4.0),
        0.0,
        now,
    );
    // The turns begin after 1.8 s. Four are used, a second apart, and each costs its quarter.
    for i in 0..4 {
        assert!(table.record_sent(UPSTREAM, now + ms(1_800) + i * SECOND));
    }
    assert_eq!(table.take_lost(), 0, "the period is not over");
    // Without a grant, its turns end after 5 s; half of the rate begins with the next refresh.
    table.refresh(now + 8 * SECOND, |_| 4.0);
    table.remove_ended(now + 20 * SECOND);
    assert!(table.is_empty());
    // Three gaps of 0.75 s at 4 a second, and 3.8 s at 2 a second: 9 and 7.6.
    assert_eq!(table.take_lost(), 16);
    assert_eq!(table.take_lost(), 0);
    // 2.5, and a part of 0.6 that is left from before.
    let other = report(UPSTREAM + 1, ms(1_250), Source::NewInstance, 4.0);
    table.apply(&other, 0.0, now + 20 * SECOND);
    table.retain(|_| false, now + 22 * SECOND);
    assert_eq!(table.take_lost(), 3);
}

/// Guards against turns that are saved up while no callers are there.
#[test]
fn unused_turns_do_not_add_up() {
    for gateways in [3, 94] {
        let mut fleet = Fleet::new(gateways, 20.0);
        fleet.run(40 * SECOND, 30 * SECOND, 100.0);
        let most = fleet.most_in_a_second();
        assert!(most <= 20, "{gateways} gateways: {most}");
    }
}

/// Guards against gateways that take over the turns of others before these know of it.
#[test]
fn gateways_that_join_stop_and_restart_stay_within_the_rate_in_any_second() {
    for per_s in [1.0, 5.7, 20.0] {
        let mut fleet = Fleet::new(20, per_s);
        for i in 0..74 {
            let joins_at = ms(3_000 + 137 * i);
            fleet.add(joins_at, joins_at + ms(400 + 190 * (i % 30)));
        }
        for i in 0..20 {
            let restarts_at = ms(4_000 + 97 * i as u64);
            fleet.gateways[i].runs_until = restarts_at;
            fleet.add(restarts_at + ms(20), FOREVER).address = address(i);
        }
        fleet.run(30 * SECOND, Duration::ZERO, 50.0);
        let most = fleet.most_in_a_second();
        assert!(most <= per_s as usize, "{per_s} a second: {most}");
    }
}

/// Guards against an upstream that starts together with all gateways, whose lists grow meanwhile.
#[test]
fn gateways_that_all_start_within_two_seconds_stay_within_the_rate_in_any_second() {
    for per_s in [1.0, 5.7, 20.0] {
        let mut fleet = Fleet::new(0, per_s);
        for i in 0..94 {
            fleet.add(ms(20 * i), FOREVER);
        }
        fleet.run(10 * SECOND, Duration::ZERO, 50.0);
        let most = fleet.most_in_a_second();
        assert!(most <= per_s as usize, "{per_s} a second: {most}");
        assert!(!fleet.sent.is_empty());
    }
}

/// Guards against the short list of a new leader, which does not know all gateways yet.
#[test]
fn gateways_that_are_missing_in_a_list_for_some_seconds_stay_within_the_rate_in_any_second() {
    for gateways in [7, 19, 94] {
        for per_s in [1.0, 20.0, 61.0] {
            let mut fleet = Fleet::new(gateways, per_s);
            for i in 0..gateways {
                let missing_for = ms(100 * (i as u64 % 40));
                let gateway = &mut fleet.gateways[i];
                gateway.unlisted = 6 * SECOND..6 * SECOND + missing_for;
                // A new leader lists a gateway once it has renewed there.
                gateway.cut_off = gateway.unlisted.clone();
            }
            fleet.run(12 * SECOND, Duration::ZERO, 100.0);
            let most = fleet.most_in_a_second();
            assert!(
                most <= per_s as usize,
                "{gateways} gateways, {per_s} a second: {most}"
            );
        }
    }
}

/// Guards against gateways on drained VMs, which run on and learn later than others that they are
/// listed no longer.
#[test]
fn gateways_on_vms_that_are_drained_at_once_stay_within_the_rate_in_any_second() {
    for drained in [31, 70, 93] {
        for per_s in [5.7, 61.0] {
            let mut fleet = Fleet::new(94, per_s);
            for gateway in &mut fleet.gateways[..drained] {
                gateway.unlisted = 6 * SECOND..FOREVER;
            }
            fleet.run(24 * SECOND, Duration::ZERO, 50.0);
            let most = fleet.most_in_a_second();
            assert!(
                most <= per_s as usize,
                "{drained} drained, {per_s} a second: {most}"
            );
        }
    }
}

/// Guards against gateways whose turns the others share among themselves while the replicas are out
/// of their reach.
#[test]
fn gateways_that_are_cut_off_from_the_replicas_stay_within_the_bound() {
    for cut_off in [1, 31, 47, 93] {
        for per_s in [1.0, 5.7, 20.0, 61.0] {
            let mut fleet = Fleet::new(94, per_s);
            for gateway in &mut fleet.gateways[..cut_off] {
                gateway.cut_off = 5 * SECOND..40 * SECOND;
            }
            fleet.run(50 * SECOND, Duration::ZERO, 50.0);
            let most = fleet.most_in_a_second();
            assert!(
                most as f64 <= bound(per_s),
                "{cut_off} cut off, {per_s} a second: {most}"
            );
        }
    }
}

/// Guards against a herd towards upstreams that look idle as they return, and against rejections
/// while warm upstreams have room.
#[test]
fn data_centre_that_returns_cold_gets_its_rate_and_the_others_carry_the_load() {
    const GATEWAYS: usize = 94;
    const UPSTREAMS: u64 = 90;
    const RETURNING: u64 = 30;
    const PER_S: f64 = 20.0;
    let mut rng = fastrand::Rng::with_seed(5);
    let mut gateways: Vec<ColdStarts> = (0..GATEWAYS).map(|_| ColdStarts::default()).collect();
    for (i, gateway) in gateways.iter_mut().enumerate() {
        gateway.record_grant(Duration::ZERO, Duration::ZERO);
        gateway.set_gateways(address(i), (0..GATEWAYS).map(address), Duration::ZERO);
    }
    let mut sent: BTreeMap<u64, Vec<Duration>> = BTreeMap::new();
    let begin = 10 * SECOND;
    let mut now = begin;
    while now < begin + 6 * SECOND {
        let news_at = ms(10 * (now.as_millis() as u64 / 10)) - begin;
        for (i, gateway) in gateways.iter_mut().enumerate() {
            gateway.record_grant(now, now);
            if news_at == ms(10 * (i as u64 % 40)) {
                for upstream in 0..RETURNING {
                    let cold = report(upstream, 8 * SECOND, Source::NewInstance, PER_S);
                    gateway.apply(&cold, rng.f64(), now);
                }
            }
            // About 5,800 requests a second over all gateways.
            if rng.f64() >= 0.62 || news_at < RENEWAL {
                continue;
            }
            let candidates: Vec<Candidate> = (0..UPSTREAMS)
                .map(|upstream| Candidate {
                    id: stable_hash(&upstream.to_string()),
                    load: if upstream < RETURNING { 0.0 } else { 0.6 },
                    prefill_tokens: 0,
                    kv_cache_use: 0.0,
                    is_local: upstream % 3 == 0,
                    circuit: Circuit::Closed,
                    was_tried: false,
                    is_suspect: false,
                    is_blocked: !gateway.wait(upstream, now).is_zero(),
                    slowness: 1.0,
                })
                .collect();
            let chosen = place(&candidates, None, true, &mut rng).unwrap() as u64;
            gateway.record_sent(chosen, now);
            sent.entry(chosen).or_default().push(now);
        }
        now += TICK;
    }
    let mut cold_total = 0;
    for upstream in 0..RETURNING {
        let sent = sent.get(&upstream).map_or(&[][..], Vec::as_slice);
        cold_total += sent.len();
        let most = most_in_a_second(sent);
        assert!(most <= PER_S as usize, "upstream {upstream}: {most}");
    }
    let total: usize = sent.values().map(Vec::len).sum();
    assert!(cold_total > 0 && total > 30_000, "{cold_total} of {total}");
}

/// Guards against a gateway that resumes after a suspension with a list from before it.
#[test]
fn gateway_without_a_recent_grant_has_no_turn_until_it_uses_half_of_the_rate() {
    let mut table = ColdStarts::default();
    let now = 10 * SECOND;
    table.record_grant(now, now);
    table.set_gateways(address(0), [address(0)], now);
    let cold = report(UPSTREAM, 60 * SECOND, Source::NewInstance, 4.0);
    table.apply(&cold, 0.0, now);
    let resumed = now + 20 * SECOND;
    assert!(!table.wait(UPSTREAM, resumed).is_zero());
    table.refresh(resumed, |_| 4.0);
    assert!(table.wait(UPSTREAM, resumed).is_zero());
    table.record_sent(UPSTREAM, resumed);
    assert_eq!(table.wait(UPSTREAM, resumed), ms(500));
}

/// Guards against a gateway that resumes after a suspension and receives a grant before it has
/// found its list old, while the others still use its turns.
#[test]
fn gateway_whose_first_grant_after_a_suspension_comes_before_a_refresh_has_no_turn_at_first() {
    let mut table = ColdStarts::default();
    let now = 10 * SECOND;
    table.record_grant(now, now);
    table.set_gateways(address(0), [address(0)], now);
    let cold = report(UPSTREAM, 60 * SECOND, Source::NewInstance, 4.0);
    table.apply(&cold, 0.0, now);
    let resumed = now + 20 * SECOND;
    table.record_grant(resumed, resumed);
    assert_eq!(table.wait(UPSTREAM, resumed), ms(1_800));
    // A grant that is not late changes nothing.
    let later = resumed + 2 * SECOND;
    table.record_grant(later, later);
    assert!(table.wait(UPSTREAM, later).is_zero());
}

/// Guards against a reply that was delayed while the leader removed the gateway, whose turns the
/// others have got since.
#[test]
fn delayed_grant_counts_from_the_time_at_which_the_renewal_was_sent() {
    let mut table = ColdStarts::default();
    let now = 10 * SECOND;
    table.record_grant(now, now);
    table.set_gateways(address(0), [address(0)], now);
    let cold = report(UPSTREAM, 60 * SECOND, Source::NewInstance, 4.0);
    table.apply(&cold, 0.0, now);
    // Before the gateway counts as cut off, and after that.
    for delay in [ms(4_900), ms(20_000)] {
        table.record_grant(now + SECOND, now + SECOND + delay);
        let at = now + SECOND + delay.max(5 * SECOND);
        assert!(table.wait(UPSTREAM, at) > 5 * SECOND);
    }
    let resumed = now + 21 * SECOND;
    table.refresh(resumed, |_| 4.0);
    table.record_grant(now + 2 * SECOND, resumed);
    table.record_sent(UPSTREAM, resumed);
    assert_eq!(table.wait(UPSTREAM, resumed), ms(500), "half of the rate");
    // A renewal that an earlier grant outran changes nothing either.
    table.record_grant(resumed, resumed);
    table.record_grant(now, resumed);
    assert!(table.wait(UPSTREAM, resumed + 2 * SECOND).is_zero());
}

/// Guards against gateways on drained VMs, which run on but are listed no longer, whose turns the
/// others take over before they stop.
#[test]
fn gateway_that_is_listed_no_longer_has_no_turn_while_the_others_count_it() {
    let mut drained = ColdStarts::default();
    let mut other = ColdStarts::default();
    let now = 10 * SECOND;
    for (i, table) in [&mut drained, &mut other].into_iter().enumerate() {
        table.record_grant(now, now);
        table.set_gateways(address(i), [address(0), address(1)], now);
        let cold = report(UPSTREAM, 60 * SECOND, Source::NewInstance, 4.0);
        table.apply(&cold, 0.0, now);
    }
    let at = now + 4 * SECOND;
    assert!(drained.wait(UPSTREAM, at).is_zero());
    for (i, table) in [&mut drained, &mut other].into_iter().enumerate() {
        table.record_grant(at, at);
        table.set_gateways(address(i), [address(1)], at);
    }
    assert!(drained.wait(UPSTREAM, at) > RENEWAL);
    other.record_sent(UPSTREAM, at);
    assert_eq!(other.wait(UPSTREAM, at), ms(500));
    // Listed again, it has a turn once the others have received that.
    drained.set_gateways(address(0), [address(0), address(1)], at + SECOND);
    assert_eq!(drained.wait(UPSTREAM, at + SECOND), ms(1_800));
}

#[test]
fn period_lasts_as_long_as_reported_and_ends_early_when_warm() {
    let mut table = ColdStarts::default();
    let now = 10 * SECOND;
    table.record_grant(now, now);
    table.set_gateways(address(0), [address(0)], now);
    let cold = |ms_left, source| report(UPSTREAM, ms(ms_left), source, 4.0);
    let new = cold(3_000, Source::NewInstance);
    assert_eq!(table.apply(&new, 0.0, now), Some(Transition::Cold));
    assert!(table.is_cold(UPSTREAM, now + ms(2_999)));
    assert!(!table.is_cold(UPSTREAM, now + ms(3_000)));
    // A later report replaces the former; the end of an evacuation only prolongs it.
    let at = now + SECOND;
    assert_eq!(table.apply(&cold(5_000, Source::Response), 0.0, at), None);
    assert_eq!(table.apply(&cold(2_000, Source::Evacuation), 0.0, at), None);
    assert!(table.is_cold(UPSTREAM, at + ms(4_999)));
    let warm = cold(0, Source::Heartbeat);
    assert_eq!(table.apply(&warm, 0.0, at), Some(Transition::Warm));
    assert!(table.wait(UPSTREAM, at).is_zero());
    assert!(!table.record_sent(UPSTREAM, at));
    assert_eq!(table.apply(&warm, 0.0, at), None);
}

/// Guards against a gateway that starts during a period, receives the limit after the directory, and
/// then has no turn for 1,000 s or logs neither the begin nor the end of the period.
#[test]
fn limit_that_arrives_during_a_period_is_obeyed_and_the_period_is_reported_then() {
    let mut table = ColdStarts::default();
    let now = 10 * SECOND;
    table.record_grant(now, now);
    table.set_gateways(address(0), [address(0)], now);
    let unlimited = report(UPSTREAM, 600 * SECOND, Source::Heartbeat, 0.0);
    assert_eq!(table.apply(&unlimited, 0.8, now), None);
    let at = now + SECOND;
    table.record_grant(at, at);
    let begun = table.refresh(at, |_| 4.0);
    assert_eq!(begun.len(), 1);
    assert_eq!(begun[0].remaining, 599 * SECOND);
    assert_eq!(begun[0].source, Source::Heartbeat);
    assert!(table.is_cold(UPSTREAM, at));
    assert_eq!(table.wait(UPSTREAM, at), ms(2_000));
    // Later changes of the limit are no other begin.
    for per_s in [4.0, 2.0, 0.0, 4.0] {
        assert!(table.refresh(at, |_| per_s).is_empty());
    }
    let warm = report(UPSTREAM, Duration::ZERO, Source::Heartbeat, 4.0);
    assert_eq!(table.apply(&warm, 0.0, at), Some(Transition::Warm));
}

/// Guards against callers of a gateway without a share that are told to retry while it would reject
/// them again, or that return all at once.
#[test]
fn retry_after_leads_to_the_first_turn_or_the_end_of_the_period() {
    let now = 10 * SECOND;
    let mut waits = Vec::new();
    for i in 0..2 {
        let mut table = ColdStarts::default();
        table.record_grant(now, now);
        table.set_gateways(address(i), [address(0), address(1)], now);
        let cold = report(UPSTREAM, 4 * SECOND, Source::NewInstance, 1.0);
        table.apply(&cold, 0.0, now);
        let wait = table.wait(UPSTREAM, now);
        for draw in [0.0, 0.3, 1.0] {
            let after = retry_after(wait, draw);
            assert!((wait..=5 * SECOND).contains(&after), "{wait:?}: {after:?}");
            assert!(table.wait(UPSTREAM, now + after).is_zero());
        }
        waits.push(wait);
    }
    waits.sort_unstable();
    // The turn of the gateway with the share, and the end of the period for the other.
    assert_eq!(waits, [ms(1_800), 4 * SECOND]);
    // Close to the limit there is less of a spread; no retry comes before the turn.
    for wait in [ms(4_501), ms(4_803), ms(4_996), 5 * SECOND] {
        for draw in [0.0, 0.5, 1.0] {
            let after = retry_after(wait, draw);
            assert!((wait..=5 * SECOND).contains(&after), "{wait:?}: {after:?}");
        }
    }
    // The header has hundredths of a second.
    assert_eq!(
        retry_after(Duration::from_micros(1_800_001), 0.0),
        ms(1_810)
    );
    for wait in [Duration::ZERO, ms(10), 2 * SECOND, 4 * SECOND, FOREVER] {
        let spread = retry_after(wait, 1.0) - retry_after(wait, 0.0);
        assert!(spread >= ms(500) && retry_after(wait, 1.0) <= 5 * SECOND);
    }
}

/// Guards against remaining times and rates that a remote party sends and that no upstream has.
#[test]
fn extreme_reports_are_bounded() {
    let now = 10 * SECOND;
    for per_s in [0.0, -1.0, f64::NAN, 1e-300, 1e300, f64::INFINITY] {
        let mut table = ColdStarts::default();
        table.record_grant(now, now);
        table.set_gateways(address(0), [address(0)], now);
        let cold = report(UPSTREAM, Duration::MAX, Source::Response, per_s);
        // Without a limit, neither the begin nor the end is logged.
        let begin = (per_s > 0.0).then_some(Transition::Cold);
        assert_eq!(table.apply(&cold, 0.5, now), begin);
        assert_eq!(table.is_cold(UPSTREAM, now + SECOND), per_s > 0.0);
        table.record_sent(UPSTREAM, now + SECOND);
        assert!(table.wait(UPSTREAM, now + SECOND) <= 3600 * SECOND);
        assert!(!table.is_cold(UPSTREAM, now + 3601 * SECOND));
        let ended = table.remove_ended(now + 3601 * SECOND);
        assert_eq!(ended == [UPSTREAM], per_s > 0.0);
        assert!(table.is_empty());
    }
}

/// Guards against a release that is rolled back because its upstreams have just started.
#[test]
fn release_whose_new_upstreams_are_cold_is_not_rolled_back() {
    let rollout = ServiceRollout {
        target: "v2".into(),
        period_ms: 24_000,
        stage: Stage::Trial,
        since_ms: 0,
    };
    let verdict = |counts_cold: bool| {
        let mut evidence = Evidence::default();
        for i in 0..400 {
            let mut old = RouteStats::default();
            let mut new = RouteStats::default();
            old.requests = 1;
            new.requests = 1;
            old.record_latency(ms(100 + i % 7));
            if counts_cold {
                new.record_latency(ms(900 + i % 7));
            }
            evidence.record(&"a".into(), false, i % 18, &old);
            evidence.record(&"a".into(), true, 100 + i % 18, &new);
        }
        evaluate(&rollout, &evidence, ms(100), true)
    };
    assert!(matches!(verdict(true), Verdict::RollBack { .. }));
    assert_eq!(verdict(false), Verdict::Wait);
}

#[test]
fn response_of_a_cold_upstream_closes_the_circuit_and_leaves_the_latency() {
    let mut health = Health::default();
    health.record_success(ms(100));
    health.record_success(ms(100));
    let known = health.mean_latency_s();
    for _ in 0..3 {
        health.record_failure(SECOND, SECOND);
    }
    assert_ne!(health.circuit(SECOND), Circuit::Closed);
    health.record_cold_success();
    assert_eq!(health.circuit(SECOND), Circuit::Closed);
    assert_eq!(health.mean_latency_s(), known);
}
