//! Requests that crash the upstreams which run them, beside sound requests and other crashes.

use std::collections::HashMap;
use std::time::Duration;

use daisyquay::policy::crashing_requests::CrashingRequests;
use daisyquay::policy::crashing_requests::Notice;
use daisyquay::policy::fingerprint::Fingerprints;

const STEP: Duration = Duration::from_millis(5);

/// Time in which all gateways must know of the third crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time from a crash to the next start of an upstream.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Time from the start of a deadly request at an upstream to the crash.
const CRASH_TIME: Duration = Duration::from_millis(80);

const FULL_INTERVAL: Duration = Duration::from_secs(1);
const ATTEMPTS: u32 = 3;

/// Retries of one request that may reach upstreams once all gateways must know.
const ALLOWED_LATER: usize = 3;

/// Fingerprints of the deadly requests, of those that are popular, and of those that are sent every
/// few seconds; all others are sent once.
const DEADLY: u64 = 1;
const POPULAR: u64 = 1000;
const POLLED: u64 = 2000;
const OTHER: u64 = 1_000_000;

struct Scene {
    seed: u64,
    gateways: usize,
    upstreams: usize,
    /// Sound requests a second over all gateways.
    per_s: f64,
    /// Longest time that an upstream works on a sound request.
    longest_run: Duration,
    /// Deadly requests, and how often each is sent.
    deadly: u64,
    deadly_interval: Duration,
    /// Sound requests that are sent every [`Scene::poll_interval`].
    polled: u64,
    poll_interval: Duration,
    /// Upstreams a second that crash for another reason.
    other_crashes_per_s: f64,
    /// Interval at which half of the upstreams crash at once; zero for never.
    mass_crash_interval: Duration,
    notice_delay: Duration,
    notice_loss: f64,
    length: Duration,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            seed: 1,
            gateways: 9,
            upstreams: 18,
            per_s: 80.0,
            longest_run: Duration::from_millis(600),
            deadly: 2,
            deadly_interval: Duration::from_millis(700),
            polled: 20,
            poll_interval: Duration::from_secs(2),
            other_crashes_per_s: 0.0,
            mass_crash_interval: Duration::ZERO,
            notice_delay: Duration::from_millis(40),
            notice_loss: 0.0,
            length: Duration::from_secs(60),
        }
    }
}

#[derive(Clone)]
struct Running {
    request: u64,
    gateway: usize,
    upstream: usize,
    attempts: u32,
    sent_at: Duration,
    begins_at: Duration,
    ends_at: Duration,
}

#[derive(Debug, Default)]
struct Outcome {
    crashes: usize,
    deadly_crashes: HashMap<u64, Vec<Duration>>,
    deadly_arrivals: HashMap<u64, Vec<Duration>>,
    sound: usize,
    sound_refused: Vec<(u64, Duration)>,
}

impl Outcome {
    /// Returns how many sound requests may be refused: the users allow 5, and 1 of 500.
    fn refusals_allowed(&self) -> usize {
        5 + self.sound / 500
    }

    /// Returns the most arrivals of one deadly request once all gateways must know.
    fn late_arrivals(&self) -> usize {
        let late = |(request, crashes): (&u64, &Vec<Duration>)| {
            let known_at = *crashes.get(2)? + CONTACT_TIME;
            let arrivals = self.deadly_arrivals[request].iter();
            Some(arrivals.filter(|at| **at > known_at).count())
        };
        self.deadly_crashes
            .iter()
            .filter_map(late)
            .max()
            .unwrap_or(0)
    }
}

struct World {
    rng: fastrand::Rng,
    now: Duration,
    gateways: Vec<CrashingRequests>,
    /// Number of each upstream's incarnation, and when it is there.
    incarnations: Vec<(u64, Duration)>,
    running: Vec<Running>,
    longest_run: Duration,
    outcome: Outcome,
}

/// Returns the fingerprints of a request with its only query.
fn id(request: u64) -> Fingerprints {
    variant(request, 0)
}

/// Returns the fingerprints of a request with one of several queries.
fn variant(request: u64, query: u64) -> Fingerprints {
    Fingerprints {
        target: (request << 20) + (query << 1),
        path: (request << 20) + 1,
    }
}

fn is_deadly(request: u64) -> bool {
    request < POPULAR
}

impl World {
    fn send(&mut self, request: u64, gateway: usize, attempts: u32) {
        let there: Vec<usize> = (0..self.incarnations.len())
            .filter(|&upstream| self.incarnations[upstream].1 <= self.now)
            .collect();
        let table = &self.gateways[gateway];
        let must_spare_last =
            there.len() < 2 && table.recent_crashes(&id(request), self.now).is_some();
        let allows_retry = attempts == 0 || table.allows_retry(&id(request));
        if attempts >= ATTEMPTS || !allows_retry || there.is_empty() || must_spare_last {
            return;
        }
        let quarantined_for = table.quarantined_for(&id(request), self.now);
        if quarantined_for.is_some() {
            let now = self.now;
            let is_prober = gateway == 0;
            if attempts > 0 || !self.gateways[gateway].try_probe(&id(request), is_prober, now) {
                if !is_deadly(request) && attempts == 0 {
                    self.outcome.sound_refused.push((request, self.now));
                }
                return;
            }
        }
        let Some(upstream) = self.rng.choice(there) else {
            return;
        };
        if is_deadly(request) {
            let arrivals = self.outcome.deadly_arrivals.entry(request).or_default();
            arrivals.push(self.now);
        }
        let begins_at = self.now + Duration::from_millis(self.rng.u64(1..100));
        self.running.push(Running {
            request,
            gateway,
            upstream,
            attempts: attempts + 1,
            sent_at: self.now,
            begins_at,
            ends_at: begins_at + self.longest_run.mul_f64(self.rng.f64()),
        });
    }

    fn crash(&mut self, upstream: usize) {
        let (number, there_from) = self.incarnations[upstream];
        if there_from > self.now {
            return;
        }
        self.outcome.crashes += 1;
        let next = self.incarnations.iter().map(|(n, _)| n).max().unwrap() + 1;
        self.incarnations[upstream] = (next, self.now + DOWN_TIME);
        let (interrupted, others): (Vec<Running>, Vec<Running>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.upstream == upstream);
        self.running = others;
        for running in &interrupted {
            let gateway = &mut self.gateways[running.gateway];
            gateway.record_crash(&id(running.request), number, running.sent_at, self.now);
        }
        for running in interrupted {
            self.send(running.request, running.gateway, running.attempts);
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        let mut crashing = Vec::new();
        for running in &self.running {
            if is_deadly(running.request) {
                if now >= running.begins_at + CRASH_TIME {
                    crashing.push((running.request, running.upstream));
                }
            } else if now >= running.ends_at {
                self.gateways[running.gateway].record_progress(&id(running.request), now);
            }
        }
        self.running
            .retain(|running| is_deadly(running.request) || now < running.ends_at);
        for (request, upstream) in crashing {
            if self.incarnations[upstream].1 <= now {
                let crashes = self.outcome.deadly_crashes.entry(request).or_default();
                crashes.push(now);
                self.crash(upstream);
            }
        }
    }

    /// Sends the requests of one step.
    fn send_due(&mut self, scene: &Scene, step: u64) {
        let is_due = |interval: Duration, phase: u64| {
            let steps = (interval.as_millis() / STEP.as_millis()).max(1) as u64;
            (step + phase * 37).is_multiple_of(steps)
        };
        for i in 0..scene.deadly {
            if is_due(scene.deadly_interval, i) {
                let gateway = self.rng.usize(..scene.gateways);
                self.send(DEADLY + i, gateway, 0);
            }
        }
        let mut sound = Vec::new();
        for i in 0..scene.polled {
            if is_due(scene.poll_interval, 7 + 3 * i) {
                sound.push(POLLED + i);
            }
        }
        let mut left = scene.per_s * STEP.as_secs_f64();
        while left > 0.0 {
            if self.rng.f64() < left.min(1.0) {
                let is_popular = self.rng.f64() < 0.3;
                sound.push(if is_popular {
                    POPULAR + self.rng.u64(..5)
                } else {
                    OTHER + self.rng.u64(..1 << 32)
                });
            }
            left -= 1.0;
        }
        for request in sound {
            self.outcome.sound += 1;
            let gateway = self.rng.usize(..scene.gateways);
            self.send(request, gateway, 0);
        }
    }

    fn exchange_notices(&mut self, scene: &Scene, notices: &mut Vec<(Duration, usize, Notice)>) {
        let now = self.now;
        for (i, gateway) in self.gateways.iter_mut().enumerate() {
            gateway.poll(now);
            let is_full = now.as_millis().is_multiple_of(FULL_INTERVAL.as_millis());
            let notice = gateway.next_notice(is_full, now);
            if !notice.is_empty() && self.rng.f64() >= scene.notice_loss {
                notices.push((now + scene.notice_delay, i, notice));
            }
        }
        let (due, waiting): (Vec<_>, Vec<_>) = notices.drain(..).partition(|(at, ..)| *at <= now);
        *notices = waiting;
        for (_, from, notice) in due {
            for (i, gateway) in self.gateways.iter_mut().enumerate() {
                if i != from {
                    gateway.apply(&notice, now);
                }
            }
        }
    }
}

fn play(scene: &Scene) -> Outcome {
    let mut world = World {
        rng: fastrand::Rng::with_seed(scene.seed),
        now: Duration::from_secs(100),
        gateways: vec![CrashingRequests::default(); scene.gateways],
        incarnations: (0..scene.upstreams)
            .map(|i| (i as u64, Duration::ZERO))
            .collect(),
        running: Vec::new(),
        longest_run: scene.longest_run,
        outcome: Outcome::default(),
    };
    let mut notices = Vec::new();
    let until = world.now + scene.length;
    let mut step = 0;
    while world.now < until {
        world.now += STEP;
        step += 1;
        world.send_due(scene, step);
        if world.rng.f64() < scene.other_crashes_per_s * STEP.as_secs_f64() {
            let upstream = world.rng.usize(..scene.upstreams);
            world.crash(upstream);
        }
        let mass_steps = scene.mass_crash_interval.as_millis() / STEP.as_millis();
        if mass_steps > 0 && u128::from(step).is_multiple_of(mass_steps) {
            let first = world.rng.usize(..2);
            for upstream in (first..scene.upstreams).step_by(2) {
                world.crash(upstream);
            }
        }
        world.serve();
        world.exchange_notices(scene, &mut notices);
    }
    world.outcome
}

fn check(scene: &Scene, name: &str) -> Outcome {
    let outcome = play(scene);
    let (late, refused) = (outcome.late_arrivals(), outcome.sound_refused.len());
    let seed = scene.seed;
    assert!(
        late <= ALLOWED_LATER,
        "{name}, seed {seed}: {late} arrivals later; {} crashes",
        outcome.crashes
    );
    assert!(
        refused <= outcome.refusals_allowed(),
        "{name}, seed {seed}: {refused} of {} sound requests refused, {:?}",
        outcome.sound,
        outcome.sound_refused
    );
    outcome
}

#[test]
fn deadly_request_is_quarantined_in_fleets_of_any_size() {
    for (gateways, upstreams, per_s, longest_run_ms, delay_ms) in [
        (1, 4, 20.0, 120, 0),
        (9, 3, 20.0, 120, 40),
        (9, 18, 80.0, 600, 40),
        (60, 120, 400.0, 600, 500),
    ] {
        for seed in 0..4 {
            let scene = Scene {
                seed,
                gateways,
                upstreams,
                per_s,
                longest_run: Duration::from_millis(longest_run_ms),
                notice_delay: Duration::from_millis(delay_ms),
                ..Scene::default()
            };
            let outcome = check(&scene, &format!("{gateways} gateways"));
            assert!(outcome.deadly_crashes.len() == 2, "{outcome:?}");
        }
    }
}

#[test]
fn deadly_requests_are_quarantined_however_often_they_come() {
    for (deadly, interval_ms) in [(1, 100), (1, 8000), (4, 700), (12, 3000)] {
        for seed in 0..4 {
            let scene = Scene {
                seed,
                deadly,
                deadly_interval: Duration::from_millis(interval_ms),
                ..Scene::default()
            };
            check(&scene, &format!("{deadly} deadly each {interval_ms} ms"));
        }
    }
}

#[test]
fn deadly_request_is_quarantined_beside_other_crashes_and_lost_notices() {
    for seed in 0..10 {
        let scene = Scene {
            seed,
            other_crashes_per_s: 1.0,
            mass_crash_interval: Duration::from_secs(15),
            notice_loss: 0.3,
            ..Scene::default()
        };
        check(&scene, "other crashes");
    }
}

/// Guards against refusing popular and polled requests, or those of a burst, where upstreams crash
/// for another reason.
#[test]
fn sound_requests_are_served_under_frequent_crashes_for_another_reason() {
    for (per_s, crashes_per_s, mass_s, poll_ms) in [
        (80.0, 1.5, 0, 2000),
        (80.0, 0.0, 5, 2000),
        (300.0, 1.5, 5, 500),
        (10.0, 1.5, 5, 8000),
    ] {
        for seed in 0..8 {
            let scene = Scene {
                seed,
                per_s,
                deadly: 0,
                other_crashes_per_s: crashes_per_s,
                mass_crash_interval: Duration::from_secs(mass_s),
                poll_interval: Duration::from_millis(poll_ms),
                ..Scene::default()
            };
            let outcome = check(&scene, &format!("{per_s} a second"));
            assert!(outcome.crashes > 30);
        }
    }
}

const START: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a table that has quarantined [`DEADLY`] at 100.7 s.
fn with_verdict() -> CrashingRequests {
    let mut table = CrashingRequests::default();
    for i in 0..3 {
        let sent_at = START + ms(200) * i;
        table.record_crash(&id(DEADLY), i.into(), sent_at, sent_at + ms(80));
    }
    table.poll(START + ms(700));
    assert!(
        table
            .quarantined_for(&id(DEADLY), START + ms(700))
            .is_some()
    );
    table
}

/// Guards against blaming a popular request for the loss of many upstreams that run copies of it.
#[test]
fn copies_lost_at_several_upstreams_at_once_count_as_one_crash() {
    let mut table = CrashingRequests::default();
    for upstream in 0..8 {
        // The crashes are noticed one after the other, by the order of the copies' connections.
        let noticed_at = START + ms(60) * upstream as u32;
        table.record_crash(&id(POPULAR), upstream, START - ms(300), noticed_at);
    }
    assert_eq!(table.quarantined_for(&id(POPULAR), START + ms(600)), None);
    assert_eq!(table.verdicts().count(), 0);
}

/// Guards against blaming a sound request that was there beside the deadly one each time.
#[test]
fn request_beside_the_deadly_one_is_cleared_by_its_next_attempt() {
    let mut table = CrashingRequests::default();
    for i in 0..3 {
        let sent_at = START + ms(200) * i;
        for request in [DEADLY, POLLED] {
            table.record_crash(&id(request), i.into(), sent_at, sent_at + ms(80));
        }
    }
    let now = START + ms(600);
    table.poll(now);
    assert_eq!(table.verdicts().count(), 0);
    table.record_progress(&id(POLLED), now);
    table.poll(START + ms(800));
    assert!(
        table
            .quarantined_for(&id(DEADLY), START + ms(800))
            .is_some()
    );
    assert_eq!(table.quarantined_for(&id(POLLED), START + ms(800)), None);
}

#[test]
fn gateway_that_starts_later_learns_of_verdicts() {
    let mut old = with_verdict();
    let now = Duration::from_secs(3000);
    old.remove_expired(now);
    let mut new = CrashingRequests::default();
    new.apply(&old.next_notice(true, now), now);
    assert!(new.quarantined_for(&id(DEADLY), now).is_some());
    assert_eq!(new.quarantined_for(&id(POPULAR), now), None);
}

#[test]
fn progress_withdraws_a_verdict_at_all_gateways_for_good() {
    let now = Duration::from_secs(101);
    let mut first = with_verdict();
    let mut second = CrashingRequests::default();
    let old_notice = first.next_notice(true, now);
    second.apply(&old_notice, now);
    second.record_progress(&id(DEADLY), now + ms(10));
    assert_eq!(second.quarantined_for(&id(DEADLY), now + ms(10)), None);
    first.apply(&second.next_notice(false, now + ms(10)), now + ms(10));
    assert_eq!(first.quarantined_for(&id(DEADLY), now + ms(10)), None);
    first.apply(&old_notice, now + ms(20));
    assert_eq!(first.quarantined_for(&id(DEADLY), now + ms(20)), None);
}

/// Guards against probes that reach more upstreams than the users allow, over the whole time of a
/// verdict and any number of gateways that learn of it.
#[test]
fn few_probes_reach_upstreams_while_a_verdict_holds() {
    let mut tables = [with_verdict(), CrashingRequests::default()];
    let mut now = Duration::from_secs(101);
    let mut probes = 0;
    let mut turn = 0;
    while now < Duration::from_secs(80_000) {
        for (from, to) in [(0, 1), (1, 0)] {
            let notice = tables[from].next_notice(true, now);
            tables[to].apply(&notice, now);
        }
        // Either of them may be the one that sends probes.
        turn = 1 - turn;
        if tables[turn].try_probe(&id(DEADLY), true, now) {
            probes += 1;
            tables[turn].record_crash(&id(DEADLY), 100 + probes, now, now + ms(80));
        }
        assert!(tables[turn].quarantined_for(&id(DEADLY), now).is_some());
        now += Duration::from_secs(1);
    }
    assert!(probes as usize <= ALLOWED_LATER, "{probes} probes");
}

/// Guards against gateways that adopt a verdict from each other again and again after its end.
#[test]
fn verdict_ends_though_gateways_tell_each_other_of_it() {
    let mut tables = [with_verdict(), CrashingRequests::default()];
    let mut now = Duration::from_secs(101);
    while now < Duration::from_secs(90_000) {
        for (from, to) in [(0, 1), (1, 0)] {
            let notice = tables[from].next_notice(true, now);
            tables[to].apply(&notice, now + ms(300));
            tables[to].remove_expired(now + ms(300));
        }
        now += Duration::from_secs(5);
    }
    for table in &tables {
        assert_eq!(table.quarantined_for(&id(DEADLY), now), None);
        assert!(table.is_empty());
    }
}

/// Guards against state and updates that grow with the requests that a mass crash interrupts, and
/// against losing the evidence of the most suspect ones among them.
#[test]
fn state_and_notices_stay_within_their_bounds() {
    let mut table = CrashingRequests::default();
    for i in 0..2 {
        let sent_at = START + ms(200) * i;
        table.record_crash(&id(DEADLY), i.into(), sent_at, sent_at + ms(80));
    }
    let now = START + ms(1000);
    for i in 0..5000 {
        table.record_crash(&id(OTHER + i), 2 + i % 9, now - ms(50), now);
    }
    let notice = table.next_notice(true, now);
    assert!(notice.crashes.len() <= 32, "{}", notice.crashes.len());
    assert_eq!(notice.crashes[0].request >> 20, DEADLY);
    table.record_crash(&id(DEADLY), 99, now + ms(100), now + ms(180));
    table.poll(now + ms(400));
    assert!(table.quarantined_for(&id(DEADLY), now + ms(400)).is_some());
}

/// Guards against a caller that varies the query of a request which crashes upstreams.
#[test]
fn request_is_quarantined_though_its_query_varies() {
    let mut table = CrashingRequests::default();
    for i in 0..3 {
        let sent_at = START + ms(200) * i;
        let request = variant(DEADLY, i.into());
        table.record_crash(&request, i.into(), sent_at, sent_at + ms(80));
    }
    let now = START + ms(700);
    table.poll(now);
    assert!(table.quarantined_for(&variant(DEADLY, 7), now).is_some());
}

/// Guards against refusing sound queries on the path of a query that crashes upstreams.
#[test]
fn other_queries_are_served_if_one_crashes_upstreams() {
    let table = with_verdict();
    let now = START + ms(700);
    assert!(table.quarantined_for(&id(DEADLY), now).is_some());
    assert_eq!(table.quarantined_for(&variant(DEADLY, 1), now), None);
}

/// Guards against a sound request being quarantined everywhere because a gateway is cut off from
/// upstreams: these seem to crash under it, but respond to the other gateways.
#[test]
fn crashes_that_only_a_partitioned_gateway_sees_quarantine_no_request() {
    for refuted_after_ms in [150, 600] {
        let start = Duration::from_secs(100);
        let (mut cut_off, mut other) = (CrashingRequests::default(), CrashingRequests::default());
        let at = |i: u64| start + Duration::from_millis(400) * i as u32;
        for i in 0..3 {
            cut_off.record_crash(&id(POLLED), i, at(i), at(i) + STEP);
            other.apply(&cut_off.next_notice(false, at(i) + STEP), at(i) + 2 * STEP);
        }
        let refuted_at = at(2) + Duration::from_millis(refuted_after_ms);
        cut_off.poll(refuted_at);
        other.poll(refuted_at);
        for i in 0..3 {
            let alive = at(i)..=at(i) + Duration::from_millis(100);
            cut_off.refute(i, &alive, refuted_at);
            other.refute(i, &alive, refuted_at);
        }
        let later = refuted_at + FULL_INTERVAL;
        for _ in 0..3 {
            other.apply(&cut_off.next_notice(true, later), later);
            cut_off.apply(&other.next_notice(true, later), later);
            other.poll(later);
            cut_off.poll(later);
        }
        for gateway in [&cut_off, &other] {
            assert_eq!(gateway.quarantined_for(&id(POLLED), later), None);
            assert!(gateway.allows_retry(&id(POLLED)));
        }
    }
}

/// Guards against a deadly request being sent on because one of its crashes is refuted.
#[test]
fn verdict_holds_while_enough_crashes_are_not_refuted() {
    let mut gateway = CrashingRequests::default();
    let at = |i: u64| Duration::from_secs(100) + Duration::from_millis(400) * i as u32;
    for i in 0..4 {
        gateway.record_crash(&id(DEADLY), i, at(i), at(i) + STEP);
    }
    let later = at(4);
    gateway.poll(later);
    gateway.refute(3, &(at(3)..=later), later);
    assert!(gateway.quarantined_for(&id(DEADLY), later).is_some());
    gateway.refute(2, &(at(3)..=later), later);
    assert!(gateway.quarantined_for(&id(DEADLY), later).is_some());
}
