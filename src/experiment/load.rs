//! Latency, goodput and fairness of one pool under load and faults.
//!
//! Four entries decide on their own with what they know: reports that lag, their own requests, the
//! slots that the leader granted. The baselines send round robin or at random, queue at the
//! runners without bound and retry at once, as plain balancers do.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::Name;
use crate::policy::admission::Offer;
use crate::policy::admission::Pool;
use crate::policy::admission::Priority;
use crate::policy::admission::Waiting;
use crate::policy::choice;
use crate::policy::retry;
use crate::policy::retry::Budget;
use crate::policy::retry::Reached;
use crate::policy::share;
use crate::upstream::Health;
use crate::upstream::InFlight;

use super::model;
use super::table::Table;

const RUNNERS: usize = 24;
const CENTRES: usize = 3;
const ENTRIES: usize = 4;
const SLOTS: u32 = 8;

/// Organisations with their weight and their part of the arrivals. The last sends ten times the
/// share that its weight gives it once the pool is overloaded.
const ORGANISATIONS: [(u32, f64); 4] = [(4, 0.4), (2, 0.2), (1, 0.1), (1, 0.3)];

/// Time that is simulated, when faults set in, and when measuring starts.
const END: Duration = Duration::from_secs(60);
const FAULT_AT: Duration = Duration::from_secs(20);
const MEASURE_FROM: Duration = Duration::from_secs(10);

/// Time in which an answer must be whole to count.
const DEADLINE: Duration = Duration::from_secs(10);

/// Time that a request may wait in an entry's queue.
const QUEUE: Duration = Duration::from_secs(2);

/// Time between renewals, with which slots and reports come.
const RENEWAL: Duration = Duration::from_millis(400);

/// Time after which a connection into a cut is given up.
const CONNECT: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Ours,
    RoundRobin,
    Random,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    RunnerDead,
    RunnerSlow,
    CentreGone,
    ReportsLag,
}

/// Runs all scenes.
pub(super) fn run(seeds: u64) -> Table {
    let mut table = Table {
        columns: vec![
            "first p50 ms",
            "first p95 ms",
            "first p99 ms",
            "goodput/s",
            "Jain by weight",
            "extra requests",
            "back to 95% s",
        ],
        rows: Vec::new(),
    };
    let scenes = [
        ("load 0.5", 0.5, Fault::None),
        ("load 0.9", 0.9, Fault::None),
        ("load 1.0", 1.0, Fault::None),
        ("load 1.2", 1.2, Fault::None),
        ("load 3.0", 3.0, Fault::None),
        ("0.8, a runner dead", 0.8, Fault::RunnerDead),
        ("0.8, a runner slow", 0.8, Fault::RunnerSlow),
        ("0.8, a centre gone", 0.8, Fault::CentreGone),
        ("0.8, reports lag 5 s", 0.8, Fault::ReportsLag),
    ];
    let policies = [
        ("daisyquay", Policy::Ours),
        ("round robin", Policy::RoundRobin),
        ("random", Policy::Random),
    ];
    for (scene, load, fault) in scenes {
        for (name, policy) in policies {
            table.add(scene, name, seeds, |seed| {
                World::new(policy, fault, load, seed).run()
            });
        }
    }
    table
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// A request's service ends.
    Finish {
        runner: usize,
        request: usize,
    },
    /// A connection into a cut is given up.
    TimeOut {
        request: usize,
        runner: usize,
    },
    /// Renewals and reports.
    Renew,
    /// Entries look for requests that waited too long.
    Expire,
}

struct Request {
    organisation: usize,
    entry: usize,
    arrived: Duration,
    tokens: f64,
    attempts: u32,
    tried: Vec<Name>,
    held_from: Duration,
    first: Option<Duration>,
}

#[derive(Default)]
struct Runner {
    running: u32,
    queue: VecDeque<usize>,
    dead: bool,
    cut: bool,
    slow: f64,
}

struct Known {
    health: Health,
    own: InFlight,
    reported: Option<(f64, Duration)>,
}

struct Entry {
    pool: Pool,
    known: Vec<Known>,
    budgets: Vec<Budget>,
}

struct World {
    policy: Policy,
    fault: Fault,
    rate: f64,
    rng: fastrand::Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    requests: Vec<Request>,
    runners: Vec<Runner>,
    entries: Vec<Entry>,
    reports: VecDeque<(Duration, Vec<f64>)>,
    names: Vec<Name>,
    organisations: Vec<Name>,
    /// Each entry's own turn: entries can't share one.
    turns: [usize; ENTRIES],
    sent: u64,
    firsts: Vec<f64>,
    good: Vec<u64>,
    good_by: [u64; 4],
    offered_by: [u64; 4],
}

impl World {
    fn new(policy: Policy, fault: Fault, load: f64, seed: u64) -> Self {
        let capacity = RUNNERS as f64 * f64::from(SLOTS) / model::mean_service_s();
        let entry = || Entry {
            pool: Pool::default(),
            known: (0..RUNNERS)
                .map(|_| Known {
                    health: Health::default(),
                    own: InFlight::default(),
                    reported: None,
                })
                .collect(),
            budgets: vec![Budget::default(); ORGANISATIONS.len()],
        };
        let runner = || Runner {
            slow: 1.0,
            ..Runner::default()
        };
        let mut world = Self {
            policy,
            fault,
            rate: capacity * load,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            requests: Vec::new(),
            runners: (0..RUNNERS).map(|_| runner()).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            reports: VecDeque::new(),
            names: (0..RUNNERS).map(|i| format!("runner-{i}").into()).collect(),
            organisations: (0..ORGANISATIONS.len())
                .map(|i| format!("org-{i}").into())
                .collect(),
            turns: [0, 6, 12, 18],
            sent: 0,
            firsts: Vec::new(),
            good: vec![0; usize::try_from(END.as_secs()).unwrap_or(0) + 1],
            good_by: [0; 4],
            offered_by: [0; 4],
        };
        world.renew();
        world.push(Duration::ZERO, Event::Arrive);
        world.push(RENEWAL, Event::Renew);
        world.push(Duration::from_millis(50), Event::Expire);
        world
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn run(mut self) -> Vec<f64> {
        let mut fault_due = self.fault != Fault::None;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= END {
                break;
            }
            if fault_due && at >= FAULT_AT {
                fault_due = false;
                self.break_things();
            }
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::Finish { runner, request } => self.finish(runner, request),
                Event::TimeOut { request, runner } => self.failed(request, runner),
                Event::Renew => {
                    self.renew();
                    self.push(at + RENEWAL, Event::Renew);
                }
                Event::Expire => self.expire(),
            }
        }
        self.figures()
    }

    fn break_things(&mut self) {
        match self.fault {
            Fault::RunnerDead => self.kill(0),
            Fault::RunnerSlow => self.runners[0].slow = 10.0,
            Fault::CentreGone => {
                for runner in (0..RUNNERS).step_by(CENTRES) {
                    self.kill(runner);
                    self.runners[runner].cut = true;
                }
            }
            Fault::None | Fault::ReportsLag => {}
        }
    }

    /// What runs there is lost.
    fn kill(&mut self, runner: usize) {
        self.runners[runner].dead = true;
        self.runners[runner].queue.clear();
        self.runners[runner].running = 0;
        let lost: Vec<usize> = self
            .events
            .iter()
            .filter_map(|Reverse((_, _, event))| match event {
                Event::Finish { runner: r, request } if *r == runner => Some(*request),
                _ => None,
            })
            .collect();
        self.events
            .retain(|Reverse((_, _, event))| !matches!(event, Event::Finish { runner: r, .. } if *r == runner));
        for request in lost {
            self.failed(request, runner);
        }
    }

    fn arrive(&mut self) {
        let next = self.now + model::next_arrival(self.rate, &mut self.rng);
        self.push(next, Event::Arrive);
        let draw = self.rng.f64();
        let mut upto = 0.0;
        let organisation = ORGANISATIONS
            .iter()
            .position(|(_, part)| {
                upto += part;
                draw < upto
            })
            .unwrap_or(0);
        let (least, most) = model::TOKENS;
        let entry = self.rng.usize(..ENTRIES);
        let tokens = least + (most - least) * self.rng.f64();
        let request = self.requests.len();
        self.requests.push(Request {
            organisation,
            entry,
            arrived: self.now,
            tokens,
            attempts: 0,
            tried: Vec::new(),
            held_from: self.now,
            first: None,
        });
        if self.now >= MEASURE_FROM {
            self.offered_by[organisation] += 1;
        }
        if self.policy != Policy::Ours {
            self.dispatch(request);
            return;
        }
        let waiting = Waiting {
            ticket: request as u64,
            organisation: self.organisations[organisation].clone(),
            weight: ORGANISATIONS[organisation].0,
            priority: Priority::Interactive,
            until: self.now + QUEUE,
        };
        let draw = self.rng.f64();
        if self.entries[entry].pool.offer(waiting, self.now, draw) == Offer::Run {
            self.start(request);
        }
    }

    /// A request holds a slot of its entry from now on.
    fn start(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        self.requests[request].held_from = self.now;
        self.entries[entry].budgets[self.requests[request].organisation].earn();
        self.dispatch(request);
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        match self.policy {
            Policy::RoundRobin => {
                let turn = &mut self.turns[self.requests[request].entry];
                *turn += 1;
                Some(*turn % RUNNERS)
            }
            Policy::Random => Some(self.rng.usize(..RUNNERS)),
            Policy::Ours => {
                let entry = &self.entries[self.requests[request].entry];
                let candidates: Vec<choice::Candidate> = entry
                    .known
                    .iter()
                    .enumerate()
                    .map(|(i, known)| choice::Candidate {
                        id: self.names[i].clone(),
                        slots: SLOTS,
                        reported: known
                            .reported
                            .map(|(level, at)| (level, self.now.saturating_sub(at))),
                        in_flight: known.own.count(),
                        in_flight_then: known.reported.map_or(0, |(_, at)| known.own.at(at)),
                        near: true,
                        circuit: known.health.circuit(self.now),
                        first_s: known.health.first_s(),
                    })
                    .collect();
                let tried = &self.requests[request].tried;
                choice::choose(&candidates, None, tried, &mut self.rng)
            }
        }
    }

    fn dispatch(&mut self, request: usize) {
        let Some(runner) = self.choose(request) else {
            self.release(request);
            return;
        };
        self.requests[request].attempts += 1;
        self.sent += u64::from(self.now >= MEASURE_FROM);
        let now = self.now;
        let known = &mut self.entries[self.requests[request].entry].known[runner];
        known.own.add(now);
        known.health.started();
        if self.runners[runner].cut {
            self.push(self.now + CONNECT, Event::TimeOut { request, runner });
        } else if self.runners[runner].dead {
            self.failed(request, runner);
        } else if self.runners[runner].running < SLOTS {
            self.serve(request, runner);
        } else {
            self.runners[runner].queue.push_back(request);
        }
    }

    fn serve(&mut self, request: usize, runner: usize) {
        let state = &mut self.runners[runner];
        state.running += 1;
        let slow = state.slow;
        let time = model::service(self.requests[request].tokens, state.running, SLOTS);
        let first = self.now + model::PREFILL.mul_f64(slow);
        self.requests[request].first = Some(first);
        let end = self.now + time.mul_f64(slow);
        self.push(end, Event::Finish { runner, request });
        let waited = first.saturating_sub(self.requests[request].held_from);
        let known = &mut self.entries[self.requests[request].entry].known[runner];
        known.health.succeeded(waited);
    }

    fn finish(&mut self, runner: usize, request: usize) {
        self.runners[runner].running -= 1;
        if let Some(next) = self.runners[runner].queue.pop_front() {
            self.serve(next, runner);
        }
        let done = &self.requests[request];
        self.entries[done.entry].known[runner].own.remove(self.now);
        let whole = self.now.saturating_sub(done.arrived) <= DEADLINE;
        if whole {
            let second = usize::try_from(self.now.as_secs()).unwrap_or(0);
            self.good[second] += 1;
        }
        if self.now >= MEASURE_FROM {
            self.good_by[done.organisation] += u64::from(whole);
            if let Some(first) = done.first {
                self.firsts
                    .push(first.saturating_sub(done.arrived).as_secs_f64() * 1e3);
            }
        }
        self.release(request);
    }

    fn failed(&mut self, request: usize, runner: usize) {
        let (policy, now) = (self.policy, self.now);
        let failed = &mut self.requests[request];
        failed.tried.push(self.names[runner].clone());
        let entry = &mut self.entries[failed.entry];
        entry.known[runner].own.remove(now);
        entry.known[runner].health.failed(now);
        let left = DEADLINE.saturating_sub(now.saturating_sub(failed.arrived));
        let again = match policy {
            Policy::Ours => {
                let may = retry::may_retry(&retry::Failed {
                    attempts: failed.attempts,
                    reached: Reached::Maybe,
                    at_most_once: false,
                    left,
                });
                may && entry.budgets[failed.organisation].spend()
            }
            Policy::RoundRobin | Policy::Random => failed.attempts < 3 && !left.is_zero(),
        };
        if again {
            self.dispatch(request);
        } else {
            self.release(request);
        }
    }

    /// The request's slot is free again; others that wait may run.
    fn release(&mut self, request: usize) {
        if self.policy != Policy::Ours {
            return;
        }
        let entry = self.requests[request].entry;
        let held = self.now.saturating_sub(self.requests[request].held_from);
        self.entries[entry].pool.finished(held);
        self.pump(entry);
    }

    fn pump(&mut self, entry: usize) {
        while let Some(next) = self.entries[entry].pool.take_next() {
            self.start(usize::try_from(next.ticket).unwrap_or(0));
        }
    }

    fn expire(&mut self) {
        let draw = self.rng.f64();
        for entry in &mut self.entries {
            entry.pool.expired(self.now, draw);
        }
        self.push(self.now + Duration::from_millis(50), Event::Expire);
    }

    /// Reports reach the entries, late by the lag; the leader grants slots by demand.
    fn renew(&mut self) {
        let levels = self
            .runners
            .iter()
            .map(|runner| {
                let busy = f64::from(runner.running) + runner.queue.len() as f64;
                busy / f64::from(SLOTS)
            })
            .collect();
        self.reports.push_back((self.now, levels));
        let lag = if self.fault == Fault::ReportsLag {
            Duration::from_secs(5)
        } else {
            RENEWAL
        };
        while self.reports.len() > 1 && self.reports[1].0 + lag <= self.now {
            self.reports.pop_front();
        }
        let demand: Vec<u64> = self
            .entries
            .iter()
            .map(|entry| u64::from(entry.pool.running()) + entry.pool.waiting() as u64)
            .collect();
        let total: u64 = demand.iter().sum();
        let live = self.runners.iter().filter(|runner| !runner.dead).count() as u64;
        let known = if self.now < FAULT_AT + Duration::from_secs(10) {
            RUNNERS as u64
        } else {
            live
        };
        let (at, levels) = self.reports[0].clone();
        for (entry, own) in self.entries.iter_mut().zip(demand) {
            let pool = known * u64::from(SLOTS);
            entry
                .pool
                .resize(share::slots(pool, ENTRIES as u64, own, total));
            for (known, level) in entry.known.iter_mut().zip(&levels) {
                known.reported = Some((*level, at));
            }
        }
        for entry in 0..ENTRIES {
            self.pump(entry);
        }
    }

    fn figures(mut self) -> Vec<f64> {
        self.firsts.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let last = self.firsts.len().saturating_sub(1) as f64;
            self.firsts
                .get((last * share) as usize)
                .copied()
                .unwrap_or(f64::NAN)
        };
        let measured = (END - MEASURE_FROM).as_secs_f64();
        let good: u64 = self.good_by.iter().sum();
        let offered: u64 = self.offered_by.iter().sum();
        vec![
            quantile(0.5),
            quantile(0.95),
            quantile(0.99),
            good as f64 / measured,
            self.jain(),
            self.sent as f64 / good.max(1) as f64 - 1.0,
            self.recovery(offered as f64 / measured),
        ]
    }

    /// Jain's index of what organisations got for their weight, or for what they asked if that is
    /// less than their share.
    fn jain(&self) -> f64 {
        let total: u64 = self.good_by.iter().sum();
        let weights: u32 = ORGANISATIONS.iter().map(|(weight, _)| weight).sum();
        let parts: Vec<f64> = ORGANISATIONS
            .iter()
            .enumerate()
            .map(|(i, (weight, _))| {
                let share = total as f64 * f64::from(*weight) / f64::from(weights);
                let due = share.min(self.offered_by[i] as f64).max(1.0);
                (self.good_by[i] as f64 / due).min(1.5)
            })
            .collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        sum * sum / (parts.len() as f64 * squares)
    }

    /// Seconds from the fault until a second's goodput is back at 95% of what is left.
    fn recovery(&self, offered: f64) -> f64 {
        if self.fault == Fault::None || self.fault == Fault::ReportsLag {
            return 0.0;
        }
        let live = self.runners.iter().filter(|runner| !runner.dead).count() as f64;
        let left = live * f64::from(SLOTS) / model::mean_service_s();
        let least = 0.95 * offered.min(left);
        let start = usize::try_from(FAULT_AT.as_secs()).unwrap_or(0);
        // Three seconds together, so that one lucky second does not count.
        let back = self.good[start..]
            .windows(3)
            .position(|good| good.iter().sum::<u64>() as f64 >= 3.0 * least);
        back.map_or(f64::INFINITY, |seconds| seconds as f64)
    }
}
