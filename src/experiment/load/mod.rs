//! Latency, goodput and fairness of one pool of runners under load and faults.
//!
//! Four entries decide independently, each with what it knows: load reports that arrive late, its
//! own requests in flight, and the slots that the leader has granted to it. The baselines choose
//! runners round robin or at random, queue at the runners without a limit and retry at once, as
//! simple load balancers do.

mod requests;
mod results;
mod simulation;

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
const DATA_CENTRES: usize = 3;
const ENTRIES: usize = 4;
const SLOTS: u32 = 8;

/// Weight of each organisation and its share of the arrivals. The last one has an eighth of the
/// weights and sends 30% of the requests, far above its share when the pool is overloaded.
const ORGANISATIONS: [(u32, f64); 4] = [(4, 0.4), (2, 0.2), (1, 0.1), (1, 0.3)];

/// Simulated time, time of the fault, and time at which measurements start.
const SIMULATED_TIME: Duration = Duration::from_secs(60);
const FAULT_AT: Duration = Duration::from_secs(20);
const MEASURE_FROM: Duration = Duration::from_secs(10);

/// Time in which a response must be complete to count as good.
const DEADLINE: Duration = Duration::from_secs(10);

/// Longest time that a request waits in an entry's queue.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

/// Time between an entry's renewals, which bring granted slots and load reports.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a connection attempt across a network partition.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Daisyquay,
    RoundRobin,
    Random,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    RunnerCrashed,
    RunnerSlow,
    DataCentrePartitioned,
    ReportsDelayed,
}

/// Runs all scenes under all policies.
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
        ("0.8, a runner dead", 0.8, Fault::RunnerCrashed),
        ("0.8, a runner slow", 0.8, Fault::RunnerSlow),
        ("0.8, a centre gone", 0.8, Fault::DataCentrePartitioned),
        ("0.8, reports lag 5 s", 0.8, Fault::ReportsDelayed),
    ];
    let policies = [
        ("daisyquay", Policy::Daisyquay),
        ("round robin", Policy::RoundRobin),
        ("random", Policy::Random),
    ];
    for (scene, load, fault) in scenes {
        for (name, policy) in policies {
            table.add_row(scene, name, seeds, |seed| {
                Simulation::new(policy, fault, load, seed).run()
            });
        }
    }
    table
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// A runner completes a request.
    Finish {
        runner: usize,
        request: usize,
    },
    /// A connection attempt across a network partition times out.
    ConnectTimeout {
        request: usize,
        runner: usize,
    },
    /// Entries renew: they get granted slots and load reports.
    Renew,
    /// Entries remove queued requests that have passed their deadline.
    Expire,
}

struct Request {
    organisation: usize,
    entry: usize,
    arrived: Duration,
    tokens: f64,
    attempts: u32,
    /// Runners at which the request has failed.
    tried: Vec<Name>,
    /// Time at which it got a slot of its entry.
    admitted_at: Duration,
    /// Time of its last attempt.
    sent_at: Duration,
    first_token_at: Option<Duration>,
}

#[derive(Default)]
struct Runner {
    running: u32,
    /// Requests that wait for a slot of the runner.
    queue: VecDeque<usize>,
    is_down: bool,
    is_partitioned: bool,
    /// Factor on service times.
    slowdown: f64,
}

/// What an entry knows about a runner.
struct RunnerView {
    health: Health,
    /// The entry's own requests at the runner.
    in_flight: InFlightHistory,
    /// The last reported load, in requests per slot, and its time.
    reported: Option<(f64, Duration)>,
}

struct Entry {
    pool: Pool,
    runner_views: Vec<RunnerView>,
    /// Retry budget of each organisation.
    retry_budgets: Vec<TokenBucket>,
}

struct Simulation {
    policy: Policy,
    fault: Fault,
    /// Arrivals per second.
    arrival_rate: f64,
    rng: fastrand::Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Sequence number of the last scheduled event.
    sequence: u64,
    requests: Vec<Request>,
    runners: Vec<Runner>,
    entries: Vec<Entry>,
    /// Load of all runners by time of the report, oldest first.
    reports: VecDeque<(Duration, Vec<f64>)>,
    runner_names: Vec<Name>,
    organisation_names: Vec<Name>,
    /// Round robin position of each entry; entries don't share state.
    round_robin_positions: [usize; ENTRIES],
    /// Attempts that were sent to runners from [`MEASURE_FROM`] on, retries included.
    attempts: u64,
    /// Times to the first token of requests completed from [`MEASURE_FROM`] on, in milliseconds.
    ttfts_ms: Vec<f64>,
    /// Responses that were complete before their deadline, for each second of the whole run.
    good_by_second: Vec<u64>,
    good_by_organisation: [u64; 4],
    offered_by_organisation: [u64; 4],
}
