//! Latency, goodput and fairness of one pool under load and faults.
//!
//! Four entries decide on their own with what they know: reports that lag, their own requests, the
//! slots that the leader granted. The baselines send round robin or at random, queue at the
//! runners without bound and retry at once, as plain balancers do.

mod figures;
mod requests;
mod world;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use super::table::Table;
use crate::collections::Name;
use crate::policy::admission::Pool;
use crate::policy::retry::TokenBucket;
use crate::upstream::Health;
use crate::upstream::InFlightHistory;

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
    own: InFlightHistory,
    reported: Option<(f64, Duration)>,
}

struct Entry {
    pool: Pool,
    known: Vec<Known>,
    budgets: Vec<TokenBucket>,
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
