//! What the entries and runners do with requests.

use std::time::Duration;

use crate::experiment::model;
use crate::policy::admission::Decision;
use crate::policy::admission::Priority;
use crate::policy::admission::SlotRequest;
use crate::policy::load_balancing;
use crate::policy::retry;
use crate::policy::retry::Execution;
use crate::policy::slot_allocation;

use super::CONNECT;
use super::DEADLINE;
use super::ENTRIES;
use super::Event;
use super::FAULT_AT;
use super::Fault;
use super::MEASURE_FROM;
use super::ORGANISATIONS;
use super::Policy;
use super::QUEUE;
use super::RENEWAL;
use super::RUNNERS;
use super::Request;
use super::SLOTS;
use super::World;

impl World {
    pub(super) fn arrive(&mut self) {
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
        let waiting = SlotRequest {
            ticket: request as u64,
            organisation: self.organisations[organisation].clone(),
            weight: ORGANISATIONS[organisation].0,
            priority: Priority::Interactive,
            deadline: self.now + QUEUE,
        };
        let draw = self.rng.f64();
        if self.entries[entry]
            .pool
            .request_slot(waiting, self.now, draw)
            == Decision::Admit
        {
            self.start(request);
        }
    }

    /// A request holds a slot of its entry from now on.
    fn start(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        self.requests[request].held_from = self.now;
        self.entries[entry].budgets[self.requests[request].organisation].deposit();
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
                let candidates: Vec<load_balancing::Candidate> = entry
                    .known
                    .iter()
                    .enumerate()
                    .map(|(i, known)| load_balancing::Candidate {
                        id: self.names[i].clone(),
                        slots: SLOTS,
                        reported: known
                            .reported
                            .map(|(level, at)| (level, self.now.saturating_sub(at))),
                        in_flight: known.own.count(),
                        in_flight_at_report: known
                            .reported
                            .map_or(0, |(_, at)| known.own.count_at(at)),
                        is_local: true,
                        circuit: known.health.circuit(self.now),
                        mean_latency_s: known.health.mean_latency_s(),
                    })
                    .collect();
                let tried = &self.requests[request].tried;
                load_balancing::choose(&candidates, None, tried, &mut self.rng)
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
        known.own.increment(now);
        known.health.record_start();
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
        known.health.record_success(waited);
    }

    pub(super) fn finish(&mut self, runner: usize, request: usize) {
        self.runners[runner].running -= 1;
        if let Some(next) = self.runners[runner].queue.pop_front() {
            self.serve(next, runner);
        }
        let done = &self.requests[request];
        self.entries[done.entry].known[runner]
            .own
            .decrement(self.now);
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

    pub(super) fn failed(&mut self, request: usize, runner: usize) {
        let (policy, now) = (self.policy, self.now);
        let failed = &mut self.requests[request];
        failed.tried.push(self.names[runner].clone());
        let entry = &mut self.entries[failed.entry];
        entry.known[runner].own.decrement(now);
        entry.known[runner].health.record_failure(now);
        let left = DEADLINE.saturating_sub(now.saturating_sub(failed.arrived));
        let again = match policy {
            Policy::Ours => {
                let may = retry::may_retry(&retry::FailedAttempt {
                    attempts: failed.attempts,
                    execution: Execution::MaybeStarted,
                    at_most_once: false,
                    time_left: left,
                });
                may && entry.budgets[failed.organisation].try_withdraw()
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
        self.entries[entry].pool.release_slot(held);
        self.pump(entry);
    }

    fn pump(&mut self, entry: usize) {
        while let Some(next) = self.entries[entry].pool.dispatch_next() {
            self.start(usize::try_from(next.ticket).unwrap_or(0));
        }
    }

    pub(super) fn expire(&mut self) {
        let draw = self.rng.f64();
        for entry in &mut self.entries {
            entry.pool.remove_expired(self.now, draw);
        }
        self.push(self.now + Duration::from_millis(50), Event::Expire);
    }

    /// Reports reach the entries, late by the lag; the leader grants slots by demand.
    pub(super) fn renew(&mut self) {
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
            .map(|entry| u64::from(entry.pool.running()) + entry.pool.queued() as u64)
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
            entry.pool.resize(slot_allocation::slots_for_entry(
                pool,
                ENTRIES as u64,
                own,
                total,
            ));
            for (known, level) in entry.known.iter_mut().zip(&levels) {
                known.reported = Some((*level, at));
            }
        }
        for entry in 0..ENTRIES {
            self.pump(entry);
        }
    }
}
