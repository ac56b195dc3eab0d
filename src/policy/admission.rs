//! Decides whether a request gets a slot of its pool at once, is queued or is rejected, and which
//! queued request is dispatched next.
//!
//! Handles pools that are saturated by one organisation or by batch work. Weighted fair queueing
//! divides the slots among the organisations. Interactive requests are dispatched before
//! deferrable ones, which keep a minimum share. A request that would wait beyond its deadline is
//! rejected on arrival.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::HashMap;
use crate::collections::Name;

/// One dispatch in this many prefers deferrable requests, so that they never starve.
const DEFERRABLE_INTERVAL: u64 = 10;

/// Most queued requests of one organisation and priority in one pool.
const QUEUE_LIMIT: usize = 1024;

/// Shortest `retry-after` of a rejected request, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Priority {
    /// A person waits for the response.
    Interactive,
    /// Batch work that tolerates a delay.
    Deferrable,
}

/// A request for one slot of a pool.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Identifies the request to the pool's owner.
    pub ticket: u64,
    /// Organisation that the slot counts for.
    pub organisation: Name,
    /// Weight of the organisation in fair queueing; 0 counts as 1.
    pub weight: u32,
    /// Interactive or deferrable.
    pub priority: Priority,
    /// Time at which the request leaves the queue undispatched.
    pub deadline: Duration,
}

/// What happens to a request on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It holds a slot and may run.
    Admit,
    /// It waits for [`Pool::dispatch_next`].
    Queue,
    /// It is not queued.
    Reject {
        /// Value of the `retry-after` header.
        retry_after: Duration,
    },
}

#[derive(Debug, Default)]
struct Queue {
    /// Requests with their virtual finish times.
    requests: VecDeque<(SlotRequest, f64)>,
    /// Virtual finish time of the organisation's last request.
    last_finish: f64,
}

/// The slots of one pool and the queues in front of them.
#[derive(Debug, Default)]
pub struct Pool {
    slots: u32,
    running: u32,
    virtual_time: f64,
    queues: HashMap<(Name, Priority), Queue>,
    dispatched: u64,
    /// Exponential moving average of the time that a request holds a slot, in seconds.
    mean_hold_s: f64,
}

impl Pool {
    /// Sets the number of slots. Running requests above it keep theirs.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.requests.len()).sum()
    }

    /// Admits, queues or rejects a request; `jitter` is uniform from 0 to 1.
    pub fn request_slot(&mut self, request: SlotRequest, now: Duration, jitter: f64) -> Decision {
        if self.slots == 0 {
            return Decision::Reject {
                retry_after: with_jitter(MIN_RETRY_AFTER, jitter),
            };
        }
        if self.running < self.slots && self.queued() == 0 {
            self.occupy_slot();
            return Decision::Admit;
        }
        let wait = self.expected_wait(&request);
        let key = (request.organisation.clone(), request.priority);
        let queue = self.queues.entry(key).or_default();
        if queue.requests.len() >= QUEUE_LIMIT || now + wait > request.deadline {
            return Decision::Reject {
                retry_after: with_jitter(wait.max(MIN_RETRY_AFTER), jitter),
            };
        }
        let start = queue.last_finish.max(self.virtual_time);
        queue.last_finish = start + 1.0 / f64::from(request.weight.max(1));
        let finish = queue.last_finish;
        queue.requests.push_back((request, finish));
        Decision::Queue
    }

    /// Frees the slot of a request that held it for `held`.
    pub fn release_slot(&mut self, held: Duration) {
        const SMOOTHING: f64 = 0.05;
        self.running = self.running.saturating_sub(1);
        let seconds = held.as_secs_f64();
        self.mean_hold_s += if self.mean_hold_s == 0.0 {
            seconds
        } else {
            SMOOTHING * (seconds - self.mean_hold_s)
        };
    }

    /// Removes a queued request whose caller has gone.
    pub fn cancel(&mut self, ticket: u64) {
        for queue in self.queues.values_mut() {
            queue
                .requests
                .retain(|(request, _)| request.ticket != ticket);
        }
    }

    /// Gives a free slot to the next queued request; `None` if no slot is free or no request waits.
    pub fn dispatch_next(&mut self) -> Option<SlotRequest> {
        if self.running >= self.slots {
            return None;
        }
        let prefers_deferrable = self.dispatched % DEFERRABLE_INTERVAL == DEFERRABLE_INTERVAL - 1;
        let order = if prefers_deferrable {
            [Priority::Deferrable, Priority::Interactive]
        } else {
            [Priority::Interactive, Priority::Deferrable]
        };
        let key = order
            .into_iter()
            .find_map(|priority| self.next_queue(priority))?;
        let queue = self.queues.get_mut(&key)?;
        let (request, finish) = queue.requests.pop_front()?;
        self.virtual_time = self
            .virtual_time
            .max(finish - 1.0 / f64::from(request.weight.max(1)));
        self.occupy_slot();
        Some(request)
    }

    /// Removes requests whose deadline has passed from the front of each queue, and returns them
    /// with their `retry-after`; `jitter` is uniform from 0 to 1.
    pub fn remove_expired(&mut self, now: Duration, jitter: f64) -> Vec<(SlotRequest, Duration)> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some((front, _)) = queue.requests.front()
                && front.deadline <= now
            {
                expired.extend(queue.requests.pop_front().map(|(request, _)| request));
            }
        }
        self.queues
            .retain(|_, queue| !queue.requests.is_empty() || queue.last_finish > self.virtual_time);
        expired
            .into_iter()
            .map(|request| {
                let wait = self.expected_wait(&request).max(MIN_RETRY_AFTER);
                (request, with_jitter(wait, jitter))
            })
            .collect()
    }

    fn occupy_slot(&mut self) {
        self.running += 1;
        self.dispatched += 1;
    }

    /// Returns the queue of that priority whose first request has the earliest virtual finish time.
    fn next_queue(&self, priority: Priority) -> Option<(Name, Priority)> {
        self.queues
            .iter()
            .filter(|((_, known), _)| *known == priority)
            .filter_map(|(key, queue)| queue.requests.front().map(|(_, finish)| (key, finish)))
            .min_by(|(a, x), (b, y)| x.total_cmp(y).then(a.0.cmp(&b.0)))
            .map(|(key, _)| key.clone())
    }

    /// Estimates the queueing delay of a request: the queue of its organisation and priority,
    /// served at the organisation's weighted share of the slots.
    fn expected_wait(&self, request: &SlotRequest) -> Duration {
        let key = (request.organisation.clone(), request.priority);
        let ahead = self
            .queues
            .get(&key)
            .map_or(0, |queue| queue.requests.len());
        let other_weights: f64 = self
            .queues
            .iter()
            .filter(|((org, _), queue)| !queue.requests.is_empty() && *org != request.organisation)
            .filter_map(|(_, queue)| queue.requests.front())
            .map(|(request, _)| f64::from(request.weight))
            .sum();
        let weight = f64::from(request.weight.max(1));
        let share = weight / (weight + other_weights);
        let rate = f64::from(self.slots) * share / self.mean_hold_s.max(1e-3);
        Duration::from_secs_f64(((ahead + 1) as f64 / rate.max(1e-3)).min(3600.0))
    }
}

/// Extends a wait by up to its own length, so that rejected callers don't all retry at once.
fn with_jitter(wait: Duration, jitter: f64) -> Duration {
    wait.mul_f64(1.0 + jitter)
}
