//! The life cycle of a request in the simulated entries and runners.

use std::time::Duration;

use crate::experiment::model;
use crate::policy::admission::Decision;
use crate::policy::admission::Priority;
use crate::policy::admission::SlotRequest;
use crate::policy::load_balancing;
use crate::policy::retry;
use crate::policy::retry::Execution;
use crate::policy::slot_allocation;

use super::CONNECT_TIMEOUT;
use super::DEADLINE;
use super::ENTRIES;
use super::Event;
use super::FAULT_AT;
use super::Fault;
use super::MAX_QUEUE_TIME;
use super::MEASURE_FROM;
use super::ORGANISATIONS;
use super::Policy;
use super::RENEWAL_INTERVAL;
use super::RUNNERS;
use super::Request;
use super::SLOTS;
use super::Simulation;

impl Simulation {
    /// Creates a request at a random entry and schedules the next arrival.
    pub(super) fn arrive(&mut self) {
        let next = self.now + model::draw_interarrival(self.arrival_rate, &mut self.rng);
        self.push(next, Event::Arrive);
        let draw = self.rng.f64();
        let mut limit = 0.0;
        let organisation = ORGANISATIONS
            .iter()
            .position(|(_, share)| {
                limit += share;
                draw < limit
            })
            .unwrap_or(0);
        let (min, max) = model::RESPONSE_TOKENS;
        let entry = self.rng.usize(..ENTRIES);
        let tokens = min + (max - min) * self.rng.f64();
        let request = self.requests.len();
        self.requests.push(Request {
            organisation,
            entry,
            arrived: self.now,
            tokens,
            attempts: 0,
            tried: Vec::new(),
            admitted_at: self.now,
            sent_at: self.now,
            first_token_at: None,
        });
        if self.now >= MEASURE_FROM {
            self.offered_by_organisation[organisation] += 1;
        }
        if self.policy != Policy::Daisyquay {
            self.dispatch(request);
            return;
        }
        let slot_request = SlotRequest {
            ticket: request as u64,
            organisation: self.organisation_names[organisation].clone(),
            weight: ORGANISATIONS[organisation].0,
            priority: Priority::Interactive,
            deadline: self.now + MAX_QUEUE_TIME,
        };
        let draw = self.rng.f64();
        if self.entries[entry]
            .pool
            .request_slot(slot_request, self.now, draw)
            == Decision::Admit
        {
            self.admit(request);
        }
    }

    /// Gives a request a slot of its entry and sends it to a runner.
    fn admit(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        self.requests[request].admitted_at = self.now;
        self.entries[entry].retry_budgets[self.requests[request].organisation].deposit();
        self.dispatch(request);
    }

    /// Chooses a runner by the policy; `None` if no runner is eligible.
    fn choose_runner(&mut self, request: usize) -> Option<usize> {
        match self.policy {
            Policy::RoundRobin => {
                let position = &mut self.round_robin_positions[self.requests[request].entry];
                *position += 1;
                Some(*position % RUNNERS)
            }
            Policy::Random => Some(self.rng.usize(..RUNNERS)),
            Policy::Daisyquay => {
                let entry = &self.entries[self.requests[request].entry];
                let candidates: Vec<load_balancing::Candidate> = entry
                    .runner_views
                    .iter()
                    .enumerate()
                    .map(|(i, view)| load_balancing::Candidate {
                        id: self.runner_names[i].clone(),
                        slots: SLOTS,
                        reported: view
                            .reported
                            .map(|(level, at)| (level, self.now.saturating_sub(at))),
                        in_flight: view.in_flight.count(),
                        in_flight_at_report: view
                            .reported
                            .map_or(0, |(_, at)| view.in_flight.count_at(at)),
                        is_local: true,
                        circuit: view.health.circuit(self.now),
                        mean_latency_s: view.health.mean_latency_s(),
                    })
                    .collect();
                let tried = &self.requests[request].tried;
                load_balancing::choose(&candidates, None, tried, &mut self.rng)
            }
        }
    }

    /// Sends a request to a runner, where it is served, queued or fails.
    fn dispatch(&mut self, request: usize) {
        let Some(runner) = self.choose_runner(request) else {
            self.release_slot(request);
            return;
        };
        self.requests[request].attempts += 1;
        self.requests[request].sent_at = self.now;
        self.attempts += u64::from(self.now >= MEASURE_FROM);
        let now = self.now;
        let view = &mut self.entries[self.requests[request].entry].runner_views[runner];
        view.in_flight.increment(now);
        view.health.record_start();
        if self.runners[runner].is_partitioned {
            self.push(
                self.now + CONNECT_TIMEOUT,
                Event::ConnectTimeout { request, runner },
            );
        } else if self.runners[runner].is_down {
            self.handle_failure(request, runner);
        } else if self.runners[runner].running < SLOTS {
            self.start_service(request, runner);
        } else {
            self.runners[runner].queue.push_back(request);
        }
    }

    /// Starts to serve a request on a runner with a free slot.
    fn start_service(&mut self, request: usize, runner: usize) {
        let state = &mut self.runners[runner];
        state.running += 1;
        let slowdown = state.slowdown;
        let time = model::service_time(self.requests[request].tokens, state.running, SLOTS);
        let first_token_at = self.now + model::PREFILL.mul_f64(slowdown);
        self.requests[request].first_token_at = Some(first_token_at);
        let end = self.now + time.mul_f64(slowdown);
        self.push(end, Event::Finish { runner, request });
        let latency = first_token_at.saturating_sub(self.requests[request].admitted_at);
        let view = &mut self.entries[self.requests[request].entry].runner_views[runner];
        view.health.record_success(latency);
    }

    /// Completes a request and starts the next one in the runner's queue.
    pub(super) fn finish_service(&mut self, runner: usize, request: usize) {
        self.runners[runner].running -= 1;
        if let Some(next) = self.runners[runner].queue.pop_front() {
            self.start_service(next, runner);
        }
        let done = &self.requests[request];
        self.entries[done.entry].runner_views[runner]
            .in_flight
            .decrement(self.now);
        let is_good = self.now.saturating_sub(done.arrived) <= DEADLINE;
        if is_good {
            let second = usize::try_from(self.now.as_secs()).unwrap_or(0);
            self.good_by_second[second] += 1;
        }
        if self.now >= MEASURE_FROM {
            self.good_by_organisation[done.organisation] += u64::from(is_good);
            if let Some(first_token_at) = done.first_token_at {
                self.ttfts_ms
                    .push(first_token_at.saturating_sub(done.arrived).as_secs_f64() * 1e3);
            }
        }
        self.release_slot(request);
    }

    /// Retries a failed request if the policy allows it, or else gives it up.
    pub(super) fn handle_failure(&mut self, request: usize, runner: usize) {
        let (policy, now) = (self.policy, self.now);
        let failed = &mut self.requests[request];
        failed.tried.push(self.runner_names[runner].clone());
        let sent_at = failed.sent_at;
        let entry = &mut self.entries[failed.entry];
        entry.runner_views[runner].in_flight.decrement(now);
        entry.runner_views[runner]
            .health
            .record_failure(sent_at, now);
        let time_left = DEADLINE.saturating_sub(now.saturating_sub(failed.arrived));
        let is_retried = match policy {
            Policy::Daisyquay => {
                let may_retry = retry::may_retry(&retry::FailedAttempt {
                    attempts: failed.attempts,
                    execution: Execution::MaybeStarted,
                    at_most_once: false,
                    time_left,
                });
                may_retry && entry.retry_budgets[failed.organisation].try_withdraw()
            }
            Policy::RoundRobin | Policy::Random => failed.attempts < 3 && !time_left.is_zero(),
        };
        if is_retried {
            self.dispatch(request);
        } else {
            self.release_slot(request);
        }
    }

    /// Releases the request's slot of its entry to the requests that wait for one.
    fn release_slot(&mut self, request: usize) {
        if self.policy != Policy::Daisyquay {
            return;
        }
        let entry = self.requests[request].entry;
        let held_for = self.now.saturating_sub(self.requests[request].admitted_at);
        self.entries[entry].pool.release_slot(held_for);
        self.dispatch_queued(entry);
    }

    /// Admits queued requests of an entry as long as it has free slots.
    fn dispatch_queued(&mut self, entry: usize) {
        while let Some(next) = self.entries[entry].pool.dispatch_next() {
            self.admit(usize::try_from(next.ticket).unwrap_or(0));
        }
    }

    /// Removes queued requests that have passed their deadline, and schedules the next check.
    pub(super) fn expire_queued(&mut self) {
        let draw = self.rng.f64();
        for entry in &mut self.entries {
            entry.pool.remove_expired(self.now, draw);
        }
        self.push(self.now + Duration::from_millis(50), Event::Expire);
    }

    /// Delivers load reports to the entries, delayed by the lag, and grants slots by demand.
    ///
    /// Runners that are down count towards the pool until 10 s after the fault.
    pub(super) fn renew(&mut self) {
        let levels = self
            .runners
            .iter()
            .map(|runner| {
                let requests = f64::from(runner.running) + runner.queue.len() as f64;
                requests / f64::from(SLOTS)
            })
            .collect();
        self.reports.push_back((self.now, levels));
        let lag = if self.fault == Fault::ReportsDelayed {
            Duration::from_secs(5)
        } else {
            RENEWAL_INTERVAL
        };
        while self.reports.len() > 1 && self.reports[1].0 + lag <= self.now {
            self.reports.pop_front();
        }
        let demand: Vec<u64> = self
            .entries
            .iter()
            .map(|entry| u64::from(entry.pool.running()) + entry.pool.queued() as u64)
            .collect();
        let total_demand: u64 = demand.iter().sum();
        let live = self.runners.iter().filter(|runner| !runner.is_down).count() as u64;
        let known_runners = if self.now < FAULT_AT + Duration::from_secs(10) {
            RUNNERS as u64
        } else {
            live
        };
        let (reported_at, levels) = self.reports[0].clone();
        for (entry, entry_demand) in self.entries.iter_mut().zip(demand) {
            let pool_slots = known_runners * u64::from(SLOTS);
            entry.pool.resize(slot_allocation::slots_for_entry(
                pool_slots,
                ENTRIES as u64,
                entry_demand,
                total_demand,
            ));
            for (view, level) in entry.runner_views.iter_mut().zip(&levels) {
                view.reported = Some((*level, reported_at));
            }
        }
        for entry in 0..ENTRIES {
            self.dispatch_queued(entry);
        }
    }
}
