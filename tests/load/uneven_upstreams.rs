//! Upstreams that differ in speed for good or for a moment, and 64 gateways in front of few slots.

use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use daisyquay::collections::Name;
use daisyquay::policy::placement::Candidate;
use daisyquay::policy::placement::Prefill;
use daisyquay::policy::placement::TimeContext;
use daisyquay::policy::placement::TimeHint;
use daisyquay::policy::placement::place;
use daisyquay::policy::placement::place_by_time;
use daisyquay::policy::placement::stable_hash;
use daisyquay::policy::speed::Baselines;
use daisyquay::policy::speed::LearnedRow;
use daisyquay::policy::speed::MAX_NOTICE_BYTES;
use daisyquay::policy::speed::MomentaryRow;
use daisyquay::policy::speed::Notice;
use daisyquay::policy::speed::QueueReports;
use daisyquay::policy::speed::Speeds;
use daisyquay::policy::timeouts;
use daisyquay::upstream::Circuit;

/// Time between two updates of a gateway.
const UPDATE_MS: u64 = 40;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    ByTime,
    /// The rule of services that are not managed.
    Former,
    RoundRobin,
    LeastRequests,
}

/// A service and its traffic.
#[derive(Clone, Copy)]
struct Scenario {
    gateways: usize,
    upstreams: usize,
    /// Upstreams, the first ones, that take twice as long as the others.
    slow: usize,
    slots: usize,
    /// Whether upstreams take 2.5 times as long for 300 ms of every 1,500 ms.
    has_noise: bool,
    /// Mean time of a request at an upstream of usual speed.
    work_ms: f64,
    /// Whether requests differ in work by a factor of up to 50 and are placed by prefill.
    is_prefill: bool,
    per_s: f64,
    target_ms: f64,
    /// Updates after which the others know of a gateway's requests: three hops if each changed
    /// number is published, half a second if only full updates have them.
    updates_behind: usize,
}

#[derive(Debug)]
struct Outcome {
    p50_ms: f64,
    p99_ms: f64,
    late: f64,
    /// Requests of the busiest upstream, as a multiple of the mean.
    busiest: f64,
    /// Share of requests that had to wait while another upstream had a free slot.
    queued_needlessly: f64,
    /// Share of time in which an upstream had queued requests while another had a free slot.
    needless_time: f64,
}

#[derive(Clone, Copy)]
struct Job {
    gateway: usize,
    upstream: usize,
    sent_us: u64,
    work_ms: f64,
    tokens: u64,
    ahead: u64,
    utilization: f64,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Done(usize),
    Arrival,
    Update,
    FullUpdate,
}

#[derive(Clone, Copy, Default)]
struct Count {
    requests: usize,
    tokens: u64,
}

const TOKENS_PER_MS: f64 = 100.0;
const RUN_S: u64 = 60;
const WARM_UP_S: u64 = 20;

fn number(upstream: usize) -> u64 {
    upstream as u64 + 1_000
}

fn totals(counts: &[Vec<Count>]) -> Vec<Count> {
    let mut totals = vec![Count::default(); counts[0].len()];
    for row in counts {
        for (total, count) in totals.iter_mut().zip(row) {
            total.requests += count.requests;
            total.tokens += count.tokens;
        }
    }
    totals
}

/// Replays the same arrivals for each choice.
fn run(scenario: Scenario, choice: Choice) -> Outcome {
    let Scenario {
        gateways,
        upstreams,
        slots,
        ..
    } = scenario;
    let mut arrivals = fastrand::Rng::with_seed(11);
    let mut rng = fastrand::Rng::with_seed(5);
    let (service, route): (Name, Name) = ("service".into(), "route".into());
    let mut speeds = vec![Speeds::default(); gateways];
    let mut baselines = vec![Baselines::default(); gateways];
    let numbers: Vec<(u64, bool)> = (0..upstreams).map(|i| (number(i), false)).collect();
    let mut counts = vec![vec![Count::default(); upstreams]; gateways];
    let mut history = VecDeque::from([(counts.clone(), totals(&counts))]);
    let mut running = vec![0; upstreams];
    let servers = if scenario.is_prefill { 1 } else { slots };
    let mut queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); upstreams];
    let mut jobs: Vec<Job> = Vec::new();
    let mut next_round_robin: Vec<usize> = (0..gateways).collect();
    let mut served = vec![0_u32; upstreams];
    let (mut times, mut needless, mut measured) = (Vec::new(), 0_u32, 0_u32);
    let mut events: BinaryHeap<std::cmp::Reverse<(u64, Event)>> = BinaryHeap::new();
    for event in [Event::Arrival, Event::Update, Event::FullUpdate] {
        events.push(std::cmp::Reverse((0, event)));
    }
    let percent = |upstream: usize, at_us: u64| {
        let phase = (at_us / 1_000 + 617 * upstream as u64) % 1_500;
        if scenario.has_noise && phase < 300 {
            250
        } else {
            100
        }
    };
    let duration_us = |job: &Job, at_us: u64, running: usize| {
        let permanent = if job.upstream < scenario.slow {
            2.0
        } else {
            1.0
        };
        let noise = f64::from(percent(job.upstream, at_us)) / 100.0;
        let shared = 1.0 + 0.3 * running as f64 / slots as f64;
        (job.work_ms * permanent * noise * shared * 1_000.0) as u64
    };
    let (mut last, mut needless_us) = (WARM_UP_S * 1_000_000, 0);
    while let Some(std::cmp::Reverse((at, event))) = events.pop() {
        if at > RUN_S * 1_000_000 {
            break;
        }
        if at > last {
            let has_free = running.iter().any(|&running| running < servers);
            if has_free && queues.iter().any(|queue| !queue.is_empty()) {
                needless_us += at - last;
            }
            last = at;
        }
        let now = Duration::from_micros(at);
        match event {
            Event::Update => {
                history.push_front((counts.clone(), totals(&counts)));
                history.truncate(scenario.updates_behind);
                events.push(std::cmp::Reverse((at + UPDATE_MS * 1_000, event)));
            }
            Event::FullUpdate => {
                for i in 0..gateways {
                    let notice = speeds[i].notice(true, gateways - 1, now, |_| true);
                    for (j, other) in speeds.iter_mut().enumerate() {
                        if i != j {
                            other.apply(i as u64, &notice, now);
                        }
                    }
                }
                for speeds in &mut speeds {
                    speeds.refresh(&numbers, now);
                }
                events.push(std::cmp::Reverse((at + 1_000_000, event)));
            }
            Event::Arrival => {
                let gap = -arrivals.f64().max(1e-9).ln() / scenario.per_s;
                events.push(std::cmp::Reverse((at + (gap * 1e6) as u64, event)));
                let gateway = arrivals.usize(..gateways);
                let spread = if scenario.is_prefill {
                    // A mean of about 1, with one long prompt in ten.
                    if arrivals.f64() < 0.1 { 5.5 } else { 0.5 }
                } else {
                    0.5 + arrivals.f64()
                };
                let work_ms = scenario.work_ms * spread;
                let tokens = if scenario.is_prefill {
                    (work_ms * TOKENS_PER_MS) as u64
                } else {
                    0
                };
                let old = &history[history.len() - 1];
                let (own_then, totals) = (&old.0[gateway], &old.1);
                let peers = |upstream: usize| Count {
                    requests: totals[upstream].requests - own_then[upstream].requests,
                    tokens: totals[upstream].tokens - own_then[upstream].tokens,
                };
                let own = counts[gateway].clone();
                let known = |upstream: usize| Count {
                    requests: own[upstream].requests + peers(upstream).requests,
                    tokens: own[upstream].tokens + peers(upstream).tokens,
                };
                let candidates: Vec<Candidate> = (0..upstreams)
                    .map(|i| Candidate {
                        id: stable_hash(&format!("upstream-{i}")),
                        load: known(i).requests as f64 / slots as f64,
                        prefill_tokens: known(i).tokens,
                        kv_cache_use: 0.0,
                        is_local: true,
                        circuit: Circuit::Closed,
                        was_tried: false,
                        is_suspect: false,
                        is_blocked: false,
                        slowness: speeds[gateway].slowness(number(i), now),
                    })
                    .collect();
                let usual = baselines[gateway].expected(&service, &route);
                let prefill = scenario.is_prefill.then_some(Prefill {
                    own_tokens: tokens,
                    ..Prefill::default()
                });
                let upstream = match choice {
                    Choice::Former => place(&candidates, prefill, true, &mut rng).unwrap(),
                    Choice::RoundRobin => {
                        next_round_robin[gateway] += 1;
                        next_round_robin[gateway] % upstreams
                    }
                    Choice::LeastRequests => {
                        let tie = rng.usize(..upstreams);
                        let least = (0..upstreams).map(|i| (i + tie) % upstreams);
                        least.min_by_key(|&i| known(i).requests).unwrap()
                    }
                    Choice::ByTime => {
                        let hints: Vec<TimeHint> = (0..upstreams)
                            .map(|i| TimeHint {
                                slot_share: 1.0 / slots as f64,
                                peer_load: peers(i).requests as f64 / slots as f64,
                                lag_s: (scenario.updates_behind as f64 - 0.5) * UPDATE_MS as f64
                                    / 1e3,
                            })
                            .collect();
                        let context = TimeContext {
                            hints: &hints,
                            token_s: Some(0.001 / TOKENS_PER_MS),
                            request_s: usual.map(|time| time.as_secs_f64()),
                            is_connected: &|_| true,
                        };
                        place_by_time(&candidates, prefill, true, &context, &mut rng).unwrap()
                    }
                };
                let count = &mut counts[gateway][upstream];
                count.requests += 1;
                count.tokens += tokens;
                let job = Job {
                    gateway,
                    upstream,
                    sent_us: at,
                    work_ms,
                    tokens,
                    ahead: candidates[upstream].prefill_tokens + tokens,
                    utilization: candidates[upstream].load,
                };
                jobs.push(job);
                if at > WARM_UP_S * 1_000_000 {
                    measured += 1;
                    served[upstream] += 1;
                    let has_free = running.iter().any(|&running| running < servers);
                    needless += u32::from(running[upstream] >= servers && has_free);
                }
                if running[upstream] < servers {
                    running[upstream] += 1;
                    let done = at + duration_us(&job, at, running[upstream]);
                    events.push(std::cmp::Reverse((done, Event::Done(jobs.len() - 1))));
                } else {
                    queues[upstream].push_back(jobs.len() - 1);
                }
            }
            Event::Done(index) => {
                let job = jobs[index];
                let count = &mut counts[job.gateway][job.upstream];
                count.requests -= 1;
                count.tokens -= job.tokens;
                let taken = Duration::from_micros(at - job.sent_us);
                if job.sent_us > WARM_UP_S * 1_000_000 {
                    times.push(taken.as_secs_f64() * 1_000.0);
                }
                let upstream = number(job.upstream);
                let speeds = &mut speeds[job.gateway];
                speeds.record_momentary(&service, upstream, percent(job.upstream, at), now);
                let taken = taken.div_f64(speeds.momentary(upstream, now));
                if scenario.is_prefill {
                    let expected = Duration::from_secs_f64(job.ahead as f64 / 1e5);
                    if job.ahead >= 4_000 {
                        speeds.record_sample(upstream, taken, expected, now);
                    }
                } else {
                    let taken = taken.div_f64(job.utilization.max(1.0));
                    let baselines = &mut baselines[job.gateway];
                    if let Some(usual) = baselines.expected(&service, &route) {
                        speeds.record_sample(upstream, taken, usual, now);
                    }
                    let learned = speeds.learned(upstream);
                    baselines.record(&service, &route, taken.div_f64(learned));
                }
                running[job.upstream] -= 1;
                if let Some(next) = queues[job.upstream].pop_front() {
                    running[job.upstream] += 1;
                    let done = at + duration_us(&jobs[next], at, running[job.upstream]);
                    events.push(std::cmp::Reverse((done, Event::Done(next))));
                }
            }
        }
    }
    times.sort_unstable_by(f64::total_cmp);
    let late = times.iter().filter(|&&ms| ms > scenario.target_ms).count();
    let mean = f64::from(served.iter().sum::<u32>()) / upstreams as f64;
    let outcome = Outcome {
        p50_ms: times[times.len() / 2],
        p99_ms: times[times.len() * 99 / 100],
        late: late as f64 / times.len() as f64,
        busiest: f64::from(*served.iter().max().unwrap()) / mean,
        queued_needlessly: f64::from(needless) / f64::from(measured),
        needless_time: needless_us as f64 / ((RUN_S - WARM_UP_S) * 1_000_000) as f64,
    };
    println!("{choice:?}: {outcome:?}");
    outcome
}

fn run_all(scenario: Scenario) -> [Outcome; 3] {
    [Choice::ByTime, Choice::RoundRobin, Choice::LeastRequests].map(|choice| run(scenario, choice))
}

const PLAIN: Scenario = Scenario {
    gateways: 16,
    upstreams: 24,
    slow: 0,
    slots: 6,
    has_noise: false,
    work_ms: 40.0,
    is_prefill: false,
    per_s: 1_700.0,
    target_ms: 120.0,
    updates_behind: 15,
};

/// Asserts that placement by time beats both baselines, and that the median request does not pay
/// for it.
fn assert_better([ours, round_robin, least]: &[Outcome; 3]) {
    for other in [round_robin, least] {
        assert!(ours.p99_ms < other.p99_ms, "{ours:?} {other:?}");
        assert!(ours.late < other.late, "{ours:?} {other:?}");
        assert!(ours.p50_ms < 1.1 * other.p50_ms, "{ours:?} {other:?}");
    }
}

#[test]
fn a_quarter_of_the_upstreams_at_half_speed() {
    assert_better(&run_all(Scenario { slow: 6, ..PLAIN }));
}

#[test]
fn prefill_on_a_quarter_of_the_upstreams_at_half_speed() {
    assert_better(&run_all(Scenario {
        slow: 6,
        slots: 16,
        is_prefill: true,
        work_ms: 100.0,
        per_s: 100.0,
        target_ms: 800.0,
        updates_behind: 3,
        ..PLAIN
    }));
}

#[test]
fn upstreams_that_are_slow_for_a_moment() {
    assert_better(&run_all(Scenario {
        has_noise: true,
        ..PLAIN
    }));
}

/// Placement by time must not cost services with equal upstreams anything.
#[test]
fn equal_upstreams_get_equal_shares() {
    let few_slots = Scenario {
        gateways: 64,
        upstreams: 3,
        work_ms: 200.0,
        per_s: 50.0,
        target_ms: 400.0,
        updates_behind: 3,
        ..PLAIN
    };
    let prefill = Scenario {
        slots: 16,
        is_prefill: true,
        work_ms: 100.0,
        per_s: 100.0,
        target_ms: 800.0,
        updates_behind: 3,
        ..PLAIN
    };
    for scenario in [PLAIN, few_slots, prefill] {
        let [ours, former, least] = [Choice::ByTime, Choice::Former, Choice::LeastRequests]
            .map(|choice| run(scenario, choice));
        assert!(ours.busiest < 1.2, "{ours:?}");
        for other in [former, least] {
            assert!(ours.p99_ms < other.p99_ms, "{ours:?} {other:?}");
            assert!(ours.late < other.late, "{ours:?} {other:?}");
        }
    }
}

/// With argmin over the same lagging counts, all gateways would send to the same upstream.
#[test]
fn many_gateways_share_few_slots() {
    let few_slots = Scenario {
        gateways: 64,
        upstreams: 3,
        work_ms: 200.0,
        per_s: 50.0,
        target_ms: 400.0,
        updates_behind: 3,
        ..PLAIN
    };
    let outcomes = run_all(few_slots);
    assert_better(&outcomes);
    let [ours, round_robin, least] = outcomes;
    assert!(ours.busiest < 1.2, "{ours:?}");
    for other in [round_robin, least] {
        assert!(ours.queued_needlessly < other.queued_needlessly, "{ours:?}");
    }
    // The share of time, also near the capacity.
    for (upstreams, per_s) in [(3, 50.0), (3, 65.0), (4, 65.0), (4, 85.0)] {
        let [ours, round_robin, least] = run_all(Scenario {
            upstreams,
            per_s,
            updates_behind: 2,
            ..few_slots
        });
        for other in [round_robin, least] {
            assert!(
                ours.needless_time < other.needless_time,
                "{ours:?} {other:?}"
            );
        }
    }
    // Requests that end before the others know of them: the counts are of no use, and do no harm.
    let [ours, round_robin, least] = run_all(Scenario {
        work_ms: 40.0,
        per_s: 220.0,
        target_ms: 120.0,
        ..few_slots
    });
    assert!(ours.p99_ms < 1.1 * round_robin.p99_ms && ours.p99_ms < least.p99_ms);
}

fn at(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Records samples that take `ratio` times as long as expected, over 20 s.
fn learn(speeds: &mut Speeds, upstream: u64, ratio: f64) {
    for i in 0..20 {
        let now = at(f64::from(i));
        speeds.record_sample(upstream, at(0.05 * ratio), at(0.05), now);
    }
}

#[test]
fn learns_a_slow_upstream_and_ignores_small_differences_and_single_delays() {
    let mut speeds = Speeds::default();
    for (upstream, ratio) in [(1, 1.0), (2, 1.05), (3, 2.0), (4, 0.95), (5, 1.0)] {
        learn(&mut speeds, upstream, ratio);
    }
    speeds.record_sample(5, at(60.0), at(0.05), at(20.0));
    speeds.record_sample(9, Duration::ZERO, at(0.05), at(20.0));
    let all: Vec<(u64, bool)> = (1..=5).map(|i| (i, false)).collect();
    let (changes, summary) = speeds.refresh(&all, at(20.0));
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].is_slow && changes[0].upstream == 3);
    assert!((1.6..2.1).contains(&speeds.learned(3)));
    for usual in [1, 2, 4, 5, 9] {
        assert_eq!(speeds.learned(usual), 1.0, "upstream {usual}");
    }
    assert_eq!(summary.unwrap().median, 1.0);
}

/// The release statistics must still show it, although its upstreams look slow in the service.
#[test]
fn a_release_that_is_slow_as_a_whole_has_no_slow_upstreams() {
    let mut speeds = Speeds::default();
    let mut all = Vec::new();
    for upstream in 1..=6 {
        let is_new = upstream > 3;
        let machine = if upstream % 3 == 0 { 2.0 } else { 1.0 };
        learn(
            &mut speeds,
            upstream,
            if is_new { 2.0 } else { 1.0 } * machine,
        );
        all.push((upstream, is_new));
    }
    speeds.refresh(&all, at(20.0));
    assert!(speeds.learned(4) > speeds.learned(1));
    for usual in [1, 2, 4, 5] {
        assert_eq!(speeds.learned_in_release(usual), 1.0, "upstream {usual}");
    }
    for slow in [3, 6] {
        assert!(speeds.learned_in_release(slow) > 1.5, "upstream {slow}");
    }
}

/// Samples of a whole service may be off 1, because a prediction is. An upstream without samples
/// would then look slow beside the others, get few requests and keep looking slow.
#[test]
fn an_upstream_without_samples_counts_as_usual_whatever_the_median_is() {
    for ratio in [0.5, 2.0] {
        let mut speeds = Speeds::default();
        for upstream in 1..=5 {
            learn(&mut speeds, upstream, ratio);
        }
        // Its first response reports the momentary slowness, and is no sample of its speed.
        speeds.record_momentary(&"service".into(), 6, 100, at(20.0));
        let all: Vec<(u64, bool)> = (1..=6).map(|i| (i, false)).collect();
        speeds.refresh(&all, at(20.0));
        for upstream in 1..=6 {
            assert_eq!(speeds.learned(upstream), 1.0, "upstream {upstream}");
        }
    }
}

/// A trial sends few requests to a new release. If upstreams without samples counted as its median,
/// the latencies of the one that got them would be divided by the slowness of the release.
#[test]
fn a_slow_release_of_which_one_upstream_has_samples_has_no_slow_upstreams() {
    let mut speeds = Speeds::default();
    for (upstream, ratio) in [(1, 1.0), (2, 1.0), (3, 1.0), (4, 2.0)] {
        learn(&mut speeds, upstream, ratio);
    }
    let all: Vec<(u64, bool)> = (1..=6).map(|i| (i, i > 3)).collect();
    speeds.refresh(&all, at(20.0));
    assert!(speeds.learned(4) > 1.5);
    assert_eq!(speeds.learned_in_release(4), 1.0);
}

/// Guards against a slow upstream that gets no requests and therefore is never tried again.
#[test]
fn a_slow_upstream_without_requests_counts_as_usual_again() {
    let mut gateways = vec![Speeds::default(); 16];
    let all: Vec<(u64, bool)> = (1..=4).map(|i| (i, false)).collect();
    for second in 0..200 {
        let now = at(f64::from(second));
        for i in 0..gateways.len() {
            for upstream in 1..=4 {
                let is_slow = upstream == 4;
                if !is_slow || second < 60 {
                    let ratio = if is_slow { 4.0 } else { 1.0 };
                    gateways[i].record_sample(upstream, at(0.05 * ratio), at(0.05), now);
                }
            }
            let notice = gateways[i].notice(true, 15, now, |_| true);
            for (j, other) in gateways.iter_mut().enumerate() {
                if i != j {
                    other.apply(i as u64, &notice, now);
                }
            }
        }
        for speeds in &mut gateways {
            speeds.refresh(&all, now);
        }
        if second == 59 {
            assert!(gateways[0].learned(4) > 3.0);
        }
    }
    assert_eq!(gateways[0].learned(4), 1.0);
}

/// Requests of an upstream with four slots, as the times in ms at which each was sent, began and
/// ended: one every 50 ms and, if it `has_bursts`, 16 more at once every second.
fn queued_requests(work: u64, has_bursts: bool) -> Vec<[u64; 3]> {
    let (mut free, mut requests) = ([0; 4], Vec::new());
    for sent in (0..60_000).step_by(50) {
        let burst = has_bursts && sent % 1_000 == 500;
        for _ in 0..if burst { 17 } else { 1 } {
            let slot = free.iter_mut().min().unwrap();
            let began = sent.max(*slot);
            *slot = began + work;
            requests.push([sent, began, *slot]);
        }
    }
    requests
}

/// The gateway does not know of the requests of others, so that a wait looks like slowness.
#[test]
fn waits_in_an_upstreams_queue_are_not_learned_as_slowness() {
    let mut speeds = Speeds::default();
    for upstream in 1..=5 {
        let work = if upstream == 4 { 100 } else { 50 };
        let requests = queued_requests(work, upstream >= 4);
        let waiting = |now| {
            let waits = |&&[sent, began, _]: &&[u64; 3]| sent <= now && now < began;
            requests.iter().filter(waits).count() as u32
        };
        for &[sent, _, done] in &requests {
            let last = requests.iter().map(|request| request[2]);
            let last = last.filter(|&done| done <= sent).max();
            let queue = QueueReports {
                before: last.map(|last| (waiting(last), Duration::from_millis(sent - last))),
                after: Some(waiting(done)),
            };
            if !queue.may_have_waited() {
                let observed = Duration::from_millis(done - sent);
                let now = Duration::from_millis(done);
                speeds.record_sample(upstream, observed, at(0.05), now);
            }
        }
    }
    let all: Vec<(u64, bool)> = (1..=5).map(|i| (i, false)).collect();
    speeds.refresh(&all, at(60.0));
    assert_eq!(speeds.learned(5), 1.0);
    assert!(speeds.learned(4) > 1.5, "{}", speeds.learned(4));
}

#[test]
fn a_momentary_slowness_decays_with_age_and_reaches_other_gateways() {
    let (mut here, mut there) = (Speeds::default(), Speeds::default());
    let service: Name = "service".into();
    here.record_momentary(&service, 1, 0, at(1.0));
    assert!(!here.has_reports(&service, at(1.0)), "zero is no duration");
    here.record_momentary(&service, 1, 250, at(1.0));
    assert!(here.has_reports(&service, at(11.0)) && !here.has_reports(&service, at(11.1)));
    assert_eq!(here.slowness(1, at(1.0)), 2.5);
    let notice = here.notice(false, 63, at(1.1), |_| true);
    there.apply(7, &notice, at(1.15));
    let (near, far) = (here.slowness(1, at(1.2)), there.slowness(1, at(1.2)));
    assert!(far > 1.5 && (near - far).abs() < 0.3, "{near} {far}");
    assert_eq!(there.slowness(1, at(1.7)), 1.0);
    here.record_momentary(&service, 1, 260, at(1.12));
    let again = here.notice(false, 63, at(3.0), |_| true);
    assert!(again.is_empty(), "published without a change: {again:?}");
}

/// An upstream near the threshold must not be logged again and again.
#[test]
fn an_upstream_near_the_threshold_is_reported_as_slow_once() {
    let mut speeds = Speeds::default();
    let all: Vec<(u64, bool)> = (1..=3).map(|i| (i, false)).collect();
    let mut changes = Vec::new();
    for i in 0..400 {
        let now = at(f64::from(i) / 4.0);
        // Its mean goes up and down across 1.5 every 10 s, and is usual in the end.
        let ratio = match i {
            300.. => 1.0,
            _ if i / 40 % 2 == 0 => 1.9,
            _ => 1.45,
        };
        for (upstream, ratio) in [(1, ratio), (2, 1.0), (3, 1.0)] {
            speeds.record_sample(upstream, at(0.05 * ratio), at(0.05), now);
        }
        changes.extend(speeds.refresh(&all, now).0);
    }
    let reported: Vec<bool> = changes.iter().map(|change| change.is_slow).collect();
    assert_eq!(reported, [true, false], "{changes:?}");
}

/// The upstreams with the latest changes would otherwise wait behind others, depending on the hashes
/// of their numbers.
#[test]
fn the_most_recent_changes_of_momentary_slowness_are_published_first() {
    let mut speeds = Speeds::default();
    let service: Name = "service".into();
    for i in 0..20 {
        let now = at(1.0 + i as f64 / 100.0);
        speeds.record_momentary(&service, i, 300, now);
        // Reports without a change must not make the first one look recent.
        speeds.record_momentary(&service, 0, 310, now);
    }
    let published = |notice: &Notice| {
        let rows = notice.momentary.iter();
        rows.map(|row| row.upstream).collect::<Vec<_>>()
    };
    let notice = speeds.notice(true, 9, at(1.2), |_| true);
    assert_eq!(published(&notice), [19, 18, 17, 16, 15, 14, 13, 12]);
    let next = speeds.notice(true, 9, at(1.45), |_| true);
    assert_eq!(published(&next), [11, 10, 9, 8, 7, 6, 5, 4]);
    let last = speeds.notice(true, 9, at(1.6), |_| true);
    assert_eq!(published(&last), [0], "old reports are not published");
}

/// A gateway's VM may have 7.5 Mbit/s, and receives one such notice a second from each of 360.
#[test]
fn notices_are_bounded_and_what_they_contain_is_checked() {
    let mut speeds = Speeds::default();
    for upstream in 0..90 {
        learn(&mut speeds, u64::MAX - upstream, 2.0);
        speeds.record_momentary(&"service".into(), u64::MAX - upstream, 300, at(20.0));
    }
    let mut published = std::collections::BTreeSet::new();
    for second in 20..32 {
        let notice = speeds.notice(true, 359, at(f64::from(second)), |_| true);
        let bytes = bincode::serde::encode_to_vec(&notice, bincode::config::standard()).unwrap();
        assert!(bytes.len() <= MAX_NOTICE_BYTES, "{} bytes", bytes.len());
        published.extend(notice.learned.iter().map(|row| row.upstream));
    }
    assert_eq!(published.len(), 90, "some upstreams have no turn");
    let (upstream, weight, age) = (1, u8::MAX, 0);
    for ratio in [0, u8::MAX] {
        let mut speeds = Speeds::default();
        let notice = Notice {
            learned: vec![
                LearnedRow {
                    upstream,
                    ratio,
                    weight
                };
                1_000
            ],
            momentary: vec![
                MomentaryRow {
                    upstream,
                    ratio,
                    age
                };
                1_000
            ],
        };
        for run_id in 0..1_000 {
            speeds.apply(run_id, &notice, at(1.0));
        }
        speeds.refresh(&[(1, false), (2, false), (3, false)], at(1.0));
        assert!((0.25..=4.0).contains(&speeds.learned(1)));
        assert!((0.25..=4.0).contains(&speeds.momentary(1, at(1.0))));
    }
}

/// An upstream that reports a quarter of the usual duration would be left before its prefill ends.
#[test]
fn a_prefill_has_more_time_at_a_slow_upstream_and_not_less_at_a_fast_one() {
    let prefill = Duration::from_secs(6);
    let at_slowness = |slowness| timeouts::prefill_at_slow_upstream(prefill, slowness);
    assert_eq!(at_slowness(2.5), prefill.mul_f64(2.5));
    for slowness in [1.0, 0.25, 0.0625] {
        assert_eq!(at_slowness(slowness), prefill);
    }
}

/// Gateways without a connection to the upstream that was drawn would all send their requests to the
/// first of the others, and that one would get them whatever the draw is.
#[test]
fn spreads_requests_over_the_upstreams_with_an_idle_connection() {
    let candidates: Vec<Candidate> = (0..12)
        .map(|i| Candidate {
            id: i,
            load: 0.0,
            prefill_tokens: 0,
            kv_cache_use: 0.0,
            is_local: true,
            circuit: Circuit::Closed,
            was_tried: false,
            is_suspect: false,
            is_blocked: false,
            slowness: 1.0,
        })
        .collect();
    let hints = [TimeHint {
        slot_share: 0.25,
        peer_load: 0.0,
        lag_s: 0.1,
    }; 12];
    let context = TimeContext {
        hints: &hints,
        token_s: Some(1e-5),
        request_s: Some(0.05),
        is_connected: &|i| i >= 8,
    };
    let mut rng = fastrand::Rng::with_seed(3);
    for prefill in [None, Some(Prefill::default())] {
        let mut counts = [0; 12];
        for _ in 0..2_000 {
            counts[place_by_time(&candidates, prefill, true, &context, &mut rng).unwrap()] += 1;
        }
        for (i, count) in counts.iter().enumerate() {
            let expected = if i < 8 { 0..1 } else { 400..600 };
            assert!(expected.contains(count), "upstream {i}: {counts:?}");
        }
    }
}

#[test]
fn prefers_an_idle_connection_only_between_nearly_equal_upstreams() {
    let candidate = |i: u64, slowness: f64| Candidate {
        id: i,
        load: 0.0,
        prefill_tokens: 0,
        kv_cache_use: 0.0,
        is_local: true,
        circuit: Circuit::Closed,
        was_tried: false,
        is_suspect: false,
        is_blocked: false,
        slowness,
    };
    let hints = [TimeHint {
        slot_share: 0.25,
        peer_load: 0.0,
        lag_s: 0.1,
    }; 3];
    let context = TimeContext {
        hints: &hints,
        token_s: Some(1e-5),
        request_s: Some(0.05),
        is_connected: &|i| i == 2,
    };
    let prefill = Some(Prefill {
        own_tokens: 10_000,
        ..Prefill::default()
    });
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let equal = [candidate(1, 1.0), candidate(2, 1.0), candidate(3, 1.0)];
        let slow = [candidate(1, 1.0), candidate(2, 1.0), candidate(3, 2.0)];
        for prefill in [prefill, None] {
            assert_eq!(
                place_by_time(&equal, prefill, true, &context, &mut rng),
                Some(2)
            );
            assert_ne!(
                place_by_time(&slow, prefill, true, &context, &mut rng),
                Some(2)
            );
        }
    }
}
