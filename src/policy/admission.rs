//! Who goes next when a pool is full: weighted fairness between organisations, interactive work
//! before deferrable with a floor for the latter, and queues bounded by time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::HashMap;
use crate::collections::Name;

/// One dispatch in so many goes to deferrable work while any waits.
const DEFERRABLE_FLOOR: u64 = 10;

/// Requests that one organisation may have waiting in one pool.
const QUEUE_LIMIT: usize = 1024;

/// Shortest time that a refused caller is told to wait.
const RETRY_LEAST: Duration = Duration::from_secs(1);

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Priority {
    /// Someone waits for it.
    Interactive,
    /// It can wait a little.
    Deferrable,
}

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Names it to the caller of this module.
    pub ticket: u64,
    /// Organisation.
    pub organisation: Name,
    /// Its weight.
    pub weight: u32,
    /// Urgency.
    pub priority: Priority,
    /// Given up at this time.
    pub deadline: Duration,
}

/// What becomes of a request at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may run.
    Admit,
    /// It waits.
    Queue,
    /// It is refused; its caller may come back after so long.
    Reject {
        /// For the `retry-after` header.
        retry_after: Duration,
    },
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<(SlotRequest, f64)>,
    /// Virtual time at which the organisation's last request finishes.
    finish: f64,
}

/// The queues before one pool of slots.
#[derive(Debug, Default)]
pub struct Pool {
    slots: u32,
    running: u32,
    virtual_time: f64,
    queues: HashMap<(Name, Priority), Queue>,
    dispatched: u64,
    /// Running mean of the time that a slot is held, in seconds.
    held_s: f64,
}

impl Pool {
    /// Sets how many requests may run at once.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// A request asks for a slot at `now`; `draw` is uniform from 0 to 1.
    pub fn request_slot(&mut self, request: SlotRequest, now: Duration, draw: f64) -> Decision {
        if self.slots == 0 {
            return Decision::Reject {
                retry_after: spread(RETRY_LEAST, draw),
            };
        }
        if self.running < self.slots && self.queued() == 0 {
            self.start();
            return Decision::Admit;
        }
        let expected = self.expected_wait(&request);
        let key = (request.organisation.clone(), request.priority);
        let queue = self.queues.entry(key).or_default();
        if queue.waiting.len() >= QUEUE_LIMIT || now + expected > request.deadline {
            return Decision::Reject {
                retry_after: spread(expected.max(RETRY_LEAST), draw),
            };
        }
        let start = queue.finish.max(self.virtual_time);
        queue.finish = start + 1.0 / f64::from(request.weight.max(1));
        let tag = queue.finish;
        queue.waiting.push_back((request, tag));
        Decision::Queue
    }

    /// A request that ran has ended after `held`.
    pub fn release_slot(&mut self, held: Duration) {
        const NEWEST: f64 = 0.05;
        self.running = self.running.saturating_sub(1);
        let seconds = held.as_secs_f64();
        self.held_s += if self.held_s == 0.0 {
            seconds
        } else {
            NEWEST * (seconds - self.held_s)
        };
    }

    /// A waiting request is given up by its caller.
    pub fn cancel(&mut self, ticket: u64) {
        for queue in self.queues.values_mut() {
            queue
                .waiting
                .retain(|(waiting, _)| waiting.ticket != ticket);
        }
    }

    /// The next request that may run, if a slot is free.
    pub fn dispatch_next(&mut self) -> Option<SlotRequest> {
        if self.running >= self.slots {
            return None;
        }
        let floor = self.dispatched % DEFERRABLE_FLOOR == DEFERRABLE_FLOOR - 1;
        let order = if floor {
            [Priority::Deferrable, Priority::Interactive]
        } else {
            [Priority::Interactive, Priority::Deferrable]
        };
        let key = order
            .into_iter()
            .find_map(|priority| self.least(priority))?;
        let queue = self.queues.get_mut(&key)?;
        let (request, tag) = queue.waiting.pop_front()?;
        self.virtual_time = self
            .virtual_time
            .max(tag - 1.0 / f64::from(request.weight.max(1)));
        self.start();
        Some(request)
    }

    /// Requests whose time in the queue is over, with the time after which to come back.
    pub fn remove_expired(&mut self, now: Duration, draw: f64) -> Vec<(SlotRequest, Duration)> {
        let mut gone = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some((front, _)) = queue.waiting.front()
                && front.deadline <= now
            {
                gone.extend(queue.waiting.pop_front().map(|(request, _)| request));
            }
        }
        self.queues
            .retain(|_, queue| !queue.waiting.is_empty() || queue.finish > self.virtual_time);
        gone.into_iter()
            .map(|request| {
                let wait = self.expected_wait(&request).max(RETRY_LEAST);
                (request, spread(wait, draw))
            })
            .collect()
    }

    fn start(&mut self) {
        self.running += 1;
        self.dispatched += 1;
    }

    /// The organisation whose next request finishes first in virtual time.
    fn least(&self, priority: Priority) -> Option<(Name, Priority)> {
        self.queues
            .iter()
            .filter(|((_, known), _)| *known == priority)
            .filter_map(|(key, queue)| queue.waiting.front().map(|(_, tag)| (key, tag)))
            .min_by(|(a, x), (b, y)| x.total_cmp(y).then(a.0.cmp(&b.0)))
            .map(|(key, _)| key.clone())
    }

    /// How long a request would wait: what its organisation has waiting, at the organisation's
    /// share of the slots.
    fn expected_wait(&self, request: &SlotRequest) -> Duration {
        let key = (request.organisation.clone(), request.priority);
        let ahead = self.queues.get(&key).map_or(0, |queue| queue.waiting.len());
        let weights: f64 = self
            .queues
            .iter()
            .filter(|((org, _), queue)| !queue.waiting.is_empty() && *org != request.organisation)
            .filter_map(|(_, queue)| queue.waiting.front())
            .map(|(waiting, _)| f64::from(waiting.weight))
            .sum();
        let own = f64::from(request.weight.max(1));
        let share = own / (own + weights);
        let rate = f64::from(self.slots) * share / self.held_s.max(1e-3);
        Duration::from_secs_f64(((ahead + 1) as f64 / rate.max(1e-3)).min(3600.0))
    }
}

/// Spreads a wait over once to twice its length, so that refused callers don't return together.
fn spread(wait: Duration, draw: f64) -> Duration {
    wait.mul_f64(1.0 + draw)
}
