//! Decides whether a service's retry budget allows another attempt, over a sliding window.
//!
//! Handles retry storms: a crash or a slow upstream makes every request retry at once, and the
//! retries keep the service overloaded. In any window, the retries are limited to a ratio of the
//! first attempts plus a slack. Budget that normal operation leaves unused covers many streams that
//! break at once.
//!
//! Escalations to a larger model are attempts as well. They may use part of the budget, whatever
//! the failures have used of the rest: otherwise one crash would leave every hard prompt to the
//! smallest model for a whole window.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of slices in a window. The window covers one more, older slice in part, of which only the
/// retries count.
const SLICES: u32 = 20;

/// Share of the budget that escalations to a larger model may use; the rest is left for failures.
const ESCALATION_SHARE: f64 = 0.75;

/// Fraction of a deployment's budget that its gateways use. Their windows do not start at the same
/// moment, and retries arrive after they are counted, so the rest is kept as a margin.
const BUDGET_FRACTION: f64 = 0.92;

/// Part of its share of the slack that a gateway uses while its list of gateways may lack some.
const PARTIAL_LIST_SLACK: f64 = 0.25;

/// Limits on the retries of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries per window on top of `ratio`.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The share of a deployment's budget that one gateway may use. The shares of all gateways add up to
/// less than the budget, also while they learn of each other.
#[derive(Clone, Debug)]
pub struct Share {
    /// Limits of the deployment.
    total: Limits,
    /// Numbers of gateways and when they were learned; the last one is current.
    gateways: VecDeque<(Duration, usize)>,
    /// Whether the last list of gateways had all of them.
    knows_all: bool,
}

impl Share {
    /// Creates the share of a gateway that does not know the others yet, given the limits of the
    /// deployment.
    pub fn new(total: Limits) -> Self {
        Self {
            total,
            gateways: VecDeque::new(),
            knows_all: false,
        }
    }

    /// Sets the number of gateways, this one included. `is_complete` is whether the list from which
    /// it was counted has all of them.
    pub fn set_gateways(&mut self, gateways: usize, is_complete: bool, now: Duration) {
        self.knows_all = is_complete;
        self.forget_former(now);
        if self
            .gateways
            .back()
            .is_none_or(|&(_, number)| number != gateways)
        {
            self.gateways.push_back((now, gateways.max(1)));
        }
    }

    /// Returns the limits on this gateway's retries.
    pub fn limits(&mut self, now: Duration) -> Limits {
        self.forget_former(now);
        // What a gateway that has left spent still counts in the window.
        let largest = self.gateways.iter().map(|&(_, number)| number).max();
        let share = match largest {
            Some(gateways) if self.knows_all => 1.0 / gateways as f64,
            Some(gateways) => PARTIAL_LIST_SLACK / gateways as f64,
            None => 0.0,
        };
        Limits {
            ratio: self.total.ratio * BUDGET_FRACTION,
            slack: self.total.slack * BUDGET_FRACTION * share,
            window: self.total.window,
        }
    }

    /// Drops the numbers that were current only before the window.
    fn forget_former(&mut self, now: Duration) {
        let window = self.total.window;
        while self
            .gateways
            .get(1)
            .is_some_and(|&(next_at, _)| next_at + window <= now)
        {
            self.gateways.pop_front();
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u128,
    first_attempts: u32,
    /// Retries after failures, and escalations.
    retries: u32,
    escalations: u32,
}

/// What counts against a budget at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// First attempts in the window.
    pub first_attempts: u32,
    /// Retries after failures, and escalations.
    pub retries: u32,
    /// Escalations among them.
    pub escalations: u32,
    /// Retries that the limits allow in the window.
    pub allowed: f64,
}

/// First attempts and retries of the last window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    slices: VecDeque<Slice>,
}

impl SlidingWindow {
    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, limits: &Limits, now: Duration) {
        self.slice(limits, now).first_attempts += 1;
    }

    /// Counts a retry after a failure and returns `true`, or `false` if the budget is used up.
    pub fn try_retry(&mut self, limits: &Limits, now: Duration) -> bool {
        self.try_spend(limits, now)
    }

    /// Counts an escalation, which a request can do without, and returns `true`, or `false` if the
    /// escalations' share of the budget is used up.
    pub fn try_escalation(&mut self, limits: &Limits, now: Duration) -> bool {
        let usage = self.usage(limits, now);
        if f64::from(usage.escalations) + 1.0 > usage.allowed * ESCALATION_SHARE {
            return false;
        }
        let is_spent = self.try_spend(limits, now);
        if is_spent {
            self.slice(limits, now).escalations += 1;
        }
        is_spent
    }

    /// Returns the share of the escalations' part of the budget that is left, 0 to 1.
    pub fn escalations_left(&mut self, limits: &Limits, now: Duration) -> f64 {
        let usage = self.usage(limits, now);
        if usage.allowed <= 0.0 {
            return 0.0;
        }
        let left = 1.0 - f64::from(usage.escalations) / (usage.allowed * ESCALATION_SHARE);
        left.min(1.0 - f64::from(usage.retries) / usage.allowed)
            .max(0.0)
    }

    /// Returns what counts against the budget now.
    pub fn usage(&mut self, limits: &Limits, now: Duration) -> Usage {
        let newest = self.slice(limits, now).number;
        let mut usage = Usage::default();
        for slice in &self.slices {
            if slice.number + u128::from(SLICES) > newest {
                usage.first_attempts += slice.first_attempts;
            }
            usage.retries += slice.retries;
            usage.escalations += slice.escalations;
        }
        usage.allowed = f64::from(usage.first_attempts) * limits.ratio + limits.slack;
        usage
    }

    fn try_spend(&mut self, limits: &Limits, now: Duration) -> bool {
        let usage = self.usage(limits, now);
        if f64::from(usage.retries) + 1.0 > usage.allowed {
            return false;
        }
        self.slice(limits, now).retries += 1;
        true
    }

    /// Returns the slice of `now`, after dropping the slices that have left the window.
    fn slice(&mut self, limits: &Limits, now: Duration) -> &mut Slice {
        let length = (limits.window / SLICES).as_nanos().max(1);
        let number = now.as_nanos() / length;
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number + u128::from(SLICES) < number)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
