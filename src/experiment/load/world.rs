//! The simulated pool: its clock, its events and its faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::experiment::model;
use crate::policy::admission::Pool;
use crate::policy::retry::TokenBucket;
use crate::upstream::Health;
use crate::upstream::InFlightHistory;

use super::CENTRES;
use super::END;
use super::ENTRIES;
use super::Entry;
use super::Event;
use super::FAULT_AT;
use super::Fault;
use super::Known;
use super::ORGANISATIONS;
use super::Policy;
use super::RENEWAL;
use super::RUNNERS;
use super::Runner;
use super::SLOTS;
use super::World;

impl World {
    pub(super) fn new(policy: Policy, fault: Fault, load: f64, seed: u64) -> Self {
        let capacity = RUNNERS as f64 * f64::from(SLOTS) / model::mean_service_s();
        let entry = || Entry {
            pool: Pool::default(),
            known: (0..RUNNERS)
                .map(|_| Known {
                    health: Health::default(),
                    own: InFlightHistory::default(),
                    reported: None,
                })
                .collect(),
            budgets: vec![TokenBucket::default(); ORGANISATIONS.len()],
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

    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    pub(super) fn run(mut self) -> Vec<f64> {
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
}
