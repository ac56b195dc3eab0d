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

/// Part of the budget that escalations to a larger model may use; the rest is left for failures.
const ESCALATION_SHARE: f64 = 0.75;

/// Fraction of a deployment's budget that its gateways use. Their windows do not start at the same
/// moment, and retries arrive after they are counted, so the rest is kept as a margin.
const BUDGET_FRACTION: f64 = 0.92;

/// Part of the ratio at the start of a process; it grows to the whole over the first window.
const START_RATIO: f64 = 0.5;

/// Part of its share of the slack that a gateway uses in its first window, or while its list of
/// gateways may lack some. The rest is for gateways that have run for longer, so that the two add up
/// to the share when one replaces the other within a window.
const START_SLACK: f64 = 0.25;

/// Limits on the retries of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries per window on top of `ratio`.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Escalations to a larger model per first attempt; they count as retries as well.
    escalation_ratio: f64,
}

impl Limits {
    /// Creates limits of `ratio` retries per first attempt and `slack` retries on top of that within
    /// each `window`.
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            escalation_ratio: ratio * ESCALATION_SHARE,
        }
    }
}

/// The share of a deployment's budget that one gateway may use. The shares of all gateways add up to
/// less than the budget, also while they learn of each other.
///
/// Retries of a gateway's former process still count in the window, and the new process does not know
/// their number. So it earns fewer retries during its first window, and few escalations, which a
/// request can do without.
#[derive(Clone, Debug)]
pub struct Share {
    /// Limits of the deployment.
    total: Limits,
    started_at: Duration,
    /// Numbers of gateways and when they were learned; the last one is current.
    gateways: VecDeque<(Duration, usize)>,
    /// Whether the last list of gateways had all of them.
    knows_all: bool,
}

impl Share {
    /// Creates the share of a gateway whose process starts at `started_at`, given the limits of the
    /// deployment. It does not know the others yet.
    pub fn new(total: Limits, started_at: Duration) -> Self {
        Self {
            total,
            started_at,
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
        // Retries of gateways that have left still count in the window.
        let largest = self.gateways.iter().map(|&(_, number)| number).max();
        let share = largest.map_or(0.0, |gateways| 1.0 / gateways as f64);
        let window = self.total.window;
        let uptime = now.saturating_sub(self.started_at);
        let earned = (uptime.as_secs_f64() / window.as_secs_f64()).min(1.0);
        let slack_part = if uptime < window || !self.knows_all {
            START_SLACK
        } else {
            1.0 - START_SLACK
        };
        let ratio = self.total.ratio * BUDGET_FRACTION;
        let slack = self.total.slack * BUDGET_FRACTION * share * slack_part;
        let limits = Limits::new(ratio, slack, window);
        Limits {
            ratio: ratio * (START_RATIO + (1.0 - START_RATIO) * earned),
            escalation_ratio: limits.escalation_ratio * earned,
            ..limits
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

/// State of a budget at one moment.
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
    /// Escalations that they allow.
    pub allowed_escalations: f64,
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
        if f64::from(usage.escalations) + 1.0 > usage.allowed_escalations {
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
        if usage.allowed_escalations <= 0.0 {
            return 0.0;
        }
        let left = 1.0 - f64::from(usage.escalations) / usage.allowed_escalations;
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
        let first_attempts = f64::from(usage.first_attempts);
        usage.allowed = first_attempts * limits.ratio + limits.slack;
        usage.allowed_escalations =
            first_attempts * limits.escalation_ratio + limits.slack * ESCALATION_SHARE;
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
