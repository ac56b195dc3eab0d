//! The event loop of the simulation and its faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::experiment::model;
use crate::policy::admission::Pool;
use crate::policy::retry::TokenBucket;
use crate::upstream::Health;
use crate::upstream::InFlightHistory;

use super::DATA_CENTRES;
use super::ENTRIES;
use super::Entry;
use super::Event;
use super::FAULT_AT;
use super::Fault;
use super::ORGANISATIONS;
use super::Policy;
use super::RENEWAL_INTERVAL;
use super::RUNNERS;
use super::Runner;
use super::RunnerView;
use super::SIMULATED_TIME;
use super::SLOTS;
use super::Simulation;

impl Simulation {
    /// Creates a simulation whose arrivals are `load` times the capacity of the runners.
    pub(super) fn new(policy: Policy, fault: Fault, load: f64, seed: u64) -> Self {
        let capacity = RUNNERS as f64 * f64::from(SLOTS) / model::mean_service_s();
        let entry = || Entry {
            pool: Pool::default(),
            runner_views: (0..RUNNERS)
                .map(|_| RunnerView {
                    health: Health::default(),
                    in_flight: InFlightHistory::default(),
                    reported: None,
                })
                .collect(),
            retry_budgets: vec![TokenBucket::default(); ORGANISATIONS.len()],
        };
        let runner = || Runner {
            slowdown: 1.0,
            ..Runner::default()
        };
        let mut simulation = Self {
            policy,
            fault,
            arrival_rate: capacity * load,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            runners: (0..RUNNERS).map(|_| runner()).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            reports: VecDeque::new(),
            runner_names: (0..RUNNERS).map(|i| format!("runner-{i}").into()).collect(),
            organisation_names: (0..ORGANISATIONS.len())
                .map(|i| format!("org-{i}").into())
                .collect(),
            round_robin_positions: [0, 6, 12, 18],
            attempts: 0,
            ttfts_ms: Vec::new(),
            good_by_second: vec![0; usize::try_from(SIMULATED_TIME.as_secs()).unwrap_or(0) + 1],
            good_by_organisation: [0; 4],
            offered_by_organisation: [0; 4],
        };
        simulation.renew();
        simulation.push(Duration::ZERO, Event::Arrive);
        simulation.push(RENEWAL_INTERVAL, Event::Renew);
        simulation.push(Duration::from_millis(50), Event::Expire);
        simulation
    }

    /// Schedules an event; events at the same time run in the order in which they were scheduled.
    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Runs the simulation to its end and returns the results, one for each column.
    pub(super) fn run(mut self) -> Vec<f64> {
        let mut is_fault_due = self.fault != Fault::None;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= SIMULATED_TIME {
                break;
            }
            if is_fault_due && at >= FAULT_AT {
                is_fault_due = false;
                self.inject_fault();
            }
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::Finish { runner, request } => self.finish_service(runner, request),
                Event::ConnectTimeout { request, runner } => self.handle_failure(request, runner),
                Event::Renew => {
                    self.renew();
                    self.push(at + RENEWAL_INTERVAL, Event::Renew);
                }
                Event::Expire => self.expire_queued(),
            }
        }
        self.results()
    }

    fn inject_fault(&mut self) {
        match self.fault {
            Fault::RunnerCrashed => self.kill_runner(0),
            Fault::RunnerSlow => self.runners[0].slowdown = 10.0,
            Fault::DataCentrePartitioned => {
                for runner in (0..RUNNERS).step_by(DATA_CENTRES) {
                    self.kill_runner(runner);
                    self.runners[runner].is_partitioned = true;
                }
            }
            Fault::None | Fault::ReportsDelayed => {}
        }
    }

    /// Takes a runner out of service. Its running requests fail at once; its queued ones never get
    /// a response.
    fn kill_runner(&mut self, runner: usize) {
        self.runners[runner].is_down = true;
        self.runners[runner].queue.clear();
        self.runners[runner].running = 0;
        let failed: Vec<usize> = self
            .events
            .iter()
            .filter_map(|Reverse((_, _, event))| match event {
                Event::Finish { runner: r, request } if *r == runner => Some(*request),
                _ => None,
            })
            .collect();
        self.events
            .retain(|Reverse((_, _, event))| !matches!(event, Event::Finish { runner: r, .. } if *r == runner));
        for request in failed {
            self.handle_failure(request, runner);
        }
    }
}
