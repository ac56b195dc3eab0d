//! Decides by expected value whether a model's answer is kept or a larger model of the ladder runs.
//!
//! Handles bursts in which a fixed limit on the backlog keeps nearly all poor answers: urgent
//! prompts are short and have a tight target, so a limit relative to the target affects them first,
//! although their second prefill takes little capacity.
//!
//! The value of a good answer in time is 1. A larger model runs if the expected value of its
//! answer, less its cost and the capacity that it takes from other requests, exceeds that of the
//! present answer. Capacity has no price at moderate load; above it, the price rises with the work
//! of the escalation, the backlog and the rank. [`escalation`](super::escalation) decides where this
//! module is off.

use std::time::Duration;

use crate::policy::timeouts::RANK_COUNT;

/// Expected value of a poor answer in time.
const POOR_VALUE: f64 = 0.05;

/// Share of its value that a late answer keeps until the caller's deadline.
const LATE_SHARE: f64 = 0.4;

/// Difference in confidence from an even chance to near certainty.
const CONFIDENCE_SPREAD: f64 = 20.0;

/// Range of the probability that an answer is good, however low or high its confidence is. The
/// upper end is also that of the largest model's answer.
const GOOD_PROBABILITY: (f64, f64) = (0.02, 0.97);

/// Confidence by which the answer of the next larger model is assumed to exceed the present one,
/// for models below the largest.
const STEP_CONFIDENCE: f64 = 8.0;

/// Cost of a largest model's answer to a request of the route's usual size. With 0.08, answers that
/// were probably good used up the retry budget of poor ones.
const COST_WEIGHT: f64 = 0.15;

/// Bound on the size of a request relative to the usual one, in its cost.
const MAX_RELATIVE_SIZE: f64 = 4.0;

/// Bound on the caller's hint of the output tokens relative to the route's usual number, both ways.
/// Hints are right at the median and often far off.
const MAX_HINT_FACTOR: f64 = 4.0;

/// Bound on a token count that a caller has sent.
const MAX_TOKENS: f64 = 4_000_000.0;

/// Work of an output token in prompt tokens, the inverse of a prompt token's share in the cost.
const OUTPUT_TOKEN_WORK: f64 = 4.0;

/// Predicted wait, as a share of the time left, up to which an answer is taken as in time. The
/// probability falls to a half where the wait equals the time left, and on to zero as far beyond it.
const SAFE_WAIT_SHARE: f64 = 0.8;

/// Utilisation up to which capacity has no price.
const FREE_UTILISATION: f64 = 2.0 / 3.0;

/// Factor of a delay's cost at full utilisation: it reaches not only the requests of the present
/// backlog but also those that arrive until it has been worked off. With 3, half of the second rank
/// was late in a lasting overload (`tests/load/models_under_load.rs`).
const CONGESTION: f64 = 8.0;

/// Price of the usual work of a request while all slots are in use.
const SLOT_PRICE: f64 = 0.3;

/// Factor of the price for the most urgent rank.
const FIRST_RANK_FACTOR: f64 = 0.25;

/// Factor of the price for each further rank.
const RANK_FACTOR: f64 = 1.5;

/// Time constant of the smoothed load, so that short bursts do not raise the price.
const LOAD_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Age up to which a measurement of the load is used again.
const LOAD_MAX_AGE: Duration = Duration::from_millis(10);

/// Requests after which a usual value has followed a change by two thirds.
const USUAL_SAMPLES: f64 = 100.0;

/// Bound on one sample of a usual value, as a multiple of the mean, so that a caller which states
/// false token counts does not move it far.
const MAX_SAMPLE_FACTOR: f64 = 20.0;

/// Share of the escalations' retry budget below which the remaining ones are kept for poorer
/// answers. Escalations of a third to a half of the requests are ordinary and leave about this much.
const AMPLE_BUDGET: f64 = 0.15;

/// Gain that an escalation must exceed to take the last of the retry budget.
const LAST_BUDGET_GAIN: f64 = 0.8;

/// A mean over about the last hundred requests.
#[derive(Clone, Copy, Debug, Default)]
struct RecentMean {
    mean: f64,
    samples: f64,
}

impl RecentMean {
    fn record(&mut self, value: f64) {
        let limit = if self.mean > 0.0 {
            self.mean * MAX_SAMPLE_FACTOR
        } else {
            f64::INFINITY
        };
        self.samples = (self.samples + 1.0).min(USUAL_SAMPLES);
        self.mean += (value.min(limit) - self.mean) / self.samples;
    }

    /// Adds to a recent sample.
    fn add_to_last(&mut self, value: f64) {
        self.mean += value / self.samples.max(1.0);
    }
}

/// Size of a prompt and its answer, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    tokens_in: f64,
    tokens_out: f64,
}

impl Size {
    /// Returns the size with what the caller has sent bounded: the prompt tokens, the maximum
    /// output tokens (0 if not known) and the estimate of the output tokens.
    pub fn new(tokens_in: u64, max_tokens_out: u64, hint: Option<u64>, usual: &UsualSize) -> Self {
        let bounded = |tokens: u64| (tokens as f64).min(MAX_TOKENS);
        let max_tokens_out = bounded(max_tokens_out);
        let usual_out = usual.tokens_out.mean;
        let mut tokens_out = hint.map_or(max_tokens_out, bounded);
        if usual_out > 0.0 {
            tokens_out = tokens_out.clamp(usual_out / MAX_HINT_FACTOR, usual_out * MAX_HINT_FACTOR);
        }
        if max_tokens_out > 0.0 {
            tokens_out = tokens_out.min(max_tokens_out);
        }
        Self {
            tokens_in: bounded(tokens_in),
            tokens_out,
        }
    }

    /// Returns the size by which models are paid, in output tokens.
    fn billed(&self) -> f64 {
        self.tokens_out + self.tokens_in / OUTPUT_TOKEN_WORK
    }

    /// Returns the work of a first answer, in prompt tokens of the service's cheapest model. A ladder
    /// may start with another one; the slowness is relative to the cheapest.
    pub fn first_work(&self, slowness: f64) -> f64 {
        (self.tokens_in + self.output_work()) * slowness
    }

    /// Returns the work that an escalation adds, in prompt tokens of the cheapest model: the second
    /// prefill, and the output less that of the present answer. The slownesses are relative to the
    /// cheapest model.
    pub fn escalation_work(&self, slowness: f64, present_slowness: f64) -> f64 {
        let added = (slowness - present_slowness).max(0.0);
        self.tokens_in * slowness + self.output_work() * added
    }

    /// Returns the work of the output, in prompt tokens of the cheapest model.
    pub fn output_work(&self) -> f64 {
        self.tokens_out * OUTPUT_TOKEN_WORK
    }
}

/// Usual size of a route's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualSize {
    billed: RecentMean,
    tokens_out: RecentMean,
}

impl UsualSize {
    /// Records the size of a request.
    pub fn record(&mut self, size: &Size) {
        self.billed.record(size.billed());
        self.tokens_out.record(size.tokens_out);
    }
}

/// Load of a service over all gateways at one time. Times are those in which its upstreams would
/// finish the work.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// Median prefill backlog of the upstreams.
    pub median_backlog: Duration,
    /// Mean prefill backlog of the upstreams.
    pub mean_backlog: Duration,
    /// Running and waiting requests as a share of the slots.
    pub slots_in_use: f64,
    /// Usual work of a request, its escalation included.
    pub usual_work: Duration,
    /// Usual target of the requests.
    pub usual_target: Duration,
}

impl ServiceLoad {
    /// Returns the price of the usual work of a request.
    fn price(&self) -> f64 {
        // The median is zero as long as most upstreams are idle, however long single prompts are.
        let backlog = if self.median_backlog.is_zero() {
            0.0
        } else {
            (self.median_backlog.as_secs_f64() + self.mean_backlog.as_secs_f64()) / 2.0
        };
        let excess = |utilisation: f64| {
            ((utilisation - FREE_UTILISATION) / (1.0 - FREE_UTILISATION)).clamp(0.0, 1.0)
        };
        let work = self.usual_work.as_secs_f64();
        let target = self.usual_target.as_secs_f64();
        let by_backlog = if backlog > 0.0 && target > 0.0 {
            // A request that is delayed loses this much if it becomes late.
            let delay_cost = (1.0 - LATE_SHARE) * (backlog / target).min(1.0);
            delay_cost * CONGESTION * excess(backlog / (backlog + work))
        } else {
            0.0
        };
        by_backlog.max(SLOT_PRICE * excess(self.slots_in_use))
    }
}

/// Price of a service's capacity, and what is usual for its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServicePrice {
    work_tokens: RecentMean,
    target_s: RecentMean,
    /// Price now and smoothed, and when they were measured.
    measured: Option<(f64, f64, Duration)>,
}

impl ServicePrice {
    /// Records the work of a first answer, in prompt tokens of the cheapest model, and the target of
    /// its request.
    pub fn record_request(&mut self, work_tokens: f64, target: Duration) {
        self.work_tokens.record(work_tokens);
        self.target_s.record(target.as_secs_f64());
    }

    /// Adds the work of an escalation to that of its request, in prompt tokens of the cheapest
    /// model.
    pub fn record_escalation(&mut self, work_tokens: f64) {
        self.work_tokens.add_to_last(work_tokens);
    }

    /// Returns the usual work of a request, in prompt tokens of the cheapest model.
    pub fn usual_work_tokens(&self) -> f64 {
        self.work_tokens.mean
    }

    /// Returns the usual target of the requests.
    pub fn usual_target(&self) -> Duration {
        Duration::try_from_secs_f64(self.target_s.mean).unwrap_or_default()
    }

    /// Returns whether the last measurement is too old to be used again.
    pub fn is_outdated(&self, now: Duration) -> bool {
        self.measured
            .is_none_or(|(.., at)| now.saturating_sub(at) >= LOAD_MAX_AGE)
    }

    /// Records the load as measured now.
    pub fn record_load(&mut self, load: &ServiceLoad, now: Duration) {
        let price = load.price();
        let smoothed = self.measured.map_or(0.0, |(_, smoothed, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            let weight = 1.0 - (-age / LOAD_TIME_CONSTANT.as_secs_f64()).exp();
            smoothed + (price - smoothed) * weight
        });
        self.measured = Some((price, smoothed, now));
    }

    /// Returns the price of the usual work of a request: it rises with a lasting overload and falls
    /// at once.
    pub fn price(&self) -> f64 {
        self.measured
            .map_or(0.0, |(price, smoothed, _)| price.min(smoothed))
    }

    /// Returns the price of `work_tokens` of work for a rank, 0 for the most urgent.
    pub fn opportunity_cost(&self, work_tokens: f64, rank: u32) -> f64 {
        if self.work_tokens.mean <= 0.0 {
            return 0.0;
        }
        let rank = (rank as usize).min(RANK_COUNT - 1);
        let factor = FIRST_RANK_FACTOR * RANK_FACTOR.powi(rank as i32);
        self.price() * factor * work_tokens / self.work_tokens.mean
    }
}

/// The answer that is available and the request that it is for. Times count from the arrival.
#[derive(Clone, Copy, Debug)]
pub struct Present {
    /// Confidence in the answer, 0 to 100.
    pub confidence: f64,
    /// Time since the arrival.
    pub elapsed: Duration,
    /// Target of the route.
    pub target: Duration,
    /// Time at which the caller stops waiting.
    pub deadline: Duration,
    /// Size of the request.
    pub size: Size,
    /// Usual size of the route's requests.
    pub usual: UsualSize,
    /// Share of the escalations' retry budget that is left, 0 to 1.
    pub budget_left: f64,
}

/// A larger model.
#[derive(Clone, Copy, Debug)]
pub struct LargerModel {
    /// Its index in the ladder.
    pub model: usize,
    /// Steps of the ladder from the present model.
    pub steps: usize,
    /// Whether it is the largest model.
    pub is_largest: bool,
    /// Its cost relative to the largest model's.
    pub relative_cost: f64,
    /// Predicted time to its first token; zero if it is not known.
    pub wait: Duration,
    /// Predicted time from its first to its last token; zero if it is not known.
    pub output: Duration,
    /// Price of the capacity that it takes (see [`ServicePrice::opportunity_cost`]).
    pub opportunity_cost: f64,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Kept: even without delay and load, no larger model's answer is worth more.
    KeptGood,
    /// Kept because a larger model's answer would come too late.
    KeptLate,
    /// Kept because other requests need the capacity.
    KeptLoad,
    /// Kept because the rest of the retry budget is for poorer answers.
    KeptBudget,
    /// Discarded in favour of the model with this index.
    Escalate(usize),
}

impl Present {
    /// Returns the expected value of the present answer.
    fn kept_value(&self) -> f64 {
        answer_value(good_probability(self.confidence)) * self.value_after(Duration::ZERO)
    }

    /// Returns the share of an answer's value that is left after a further wait.
    fn value_after(&self, wait: Duration) -> f64 {
        let in_time = |limit: Duration| {
            let left = limit.saturating_sub(self.elapsed);
            if left.is_zero() {
                return 0.0;
            }
            let share = wait.as_secs_f64() / left.as_secs_f64();
            ((1.0 - share) / (1.0 - SAFE_WAIT_SHARE) / 2.0 + 0.5).clamp(0.0, 1.0)
        };
        let by_target = LATE_SHARE + (1.0 - LATE_SHARE) * in_time(self.target);
        by_target * in_time(self.deadline)
    }

    /// Returns whether a larger model's whole answer fits into the time left: a stream that is
    /// still open at the deadline is cut off.
    fn has_time_for(&self, option: &LargerModel) -> bool {
        let time_left = self.deadline.saturating_sub(self.elapsed);
        option.wait.saturating_add(option.output) < time_left
    }

    /// Returns the expected value of a larger model's answer after `wait`, less its cost.
    fn escalated_value(&self, option: &LargerModel, wait: Duration) -> f64 {
        let probability = if option.is_largest {
            GOOD_PROBABILITY.1
        } else {
            good_probability(self.confidence + STEP_CONFIDENCE * option.steps as f64)
        };
        let usual = self.usual.billed.mean;
        let relative_size = if usual > 0.0 {
            (self.size.billed() / usual).min(MAX_RELATIVE_SIZE)
        } else {
            1.0
        };
        let cost = COST_WEIGHT * option.relative_cost * relative_size;
        answer_value(probability) * self.value_after(wait) - cost
    }

    /// Returns whether no larger model's answer would be worth more, even without delay and load.
    /// `options` need no wait and opportunity cost for this.
    pub fn is_good_enough(&self, options: &[LargerModel]) -> bool {
        let kept = self.kept_value();
        options
            .iter()
            .all(|option| self.escalated_value(option, Duration::ZERO) <= kept)
    }
}

impl Decision {
    /// Returns the outcome as metrics and the log name it.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::KeptGood => "kept_good",
            Self::KeptLate => "kept_late",
            Self::KeptLoad => "kept_load",
            Self::KeptBudget => "kept_budget",
            Self::Escalate(_) => "escalated",
        }
    }
}

/// Decides whether to keep the present answer or to run one of the larger models.
pub fn decide(present: &Present, options: &[LargerModel]) -> Decision {
    let kept = present.kept_value();
    if present.is_good_enough(options) {
        return Decision::KeptGood;
    }
    let gain = |option: &LargerModel| present.escalated_value(option, option.wait) - kept;
    let is_in_time = |option: &&LargerModel| present.has_time_for(option) && gain(option) > 0.0;
    if !options.iter().any(|option| is_in_time(&option)) {
        return Decision::KeptLate;
    }
    let net_gain = |option: &LargerModel| gain(option) - option.opportunity_cost;
    let best = options
        .iter()
        .filter(is_in_time)
        .max_by(|a, b| net_gain(a).total_cmp(&net_gain(b)));
    let Some(best) = best.filter(|best| net_gain(best) > 0.0) else {
        return Decision::KeptLoad;
    };
    let scarcity = (1.0 - present.budget_left / AMPLE_BUDGET).clamp(0.0, 1.0);
    if net_gain(best) <= LAST_BUDGET_GAIN * scarcity {
        return Decision::KeptBudget;
    }
    Decision::Escalate(best.model)
}

/// Returns the probability that an answer of that confidence is good.
pub fn good_probability(confidence: f64) -> f64 {
    let (least, most) = GOOD_PROBABILITY;
    (0.5 + (confidence - 50.0) / (2.0 * CONFIDENCE_SPREAD)).clamp(least, most)
}

fn answer_value(good_probability: f64) -> f64 {
    good_probability + (1.0 - good_probability) * POOR_VALUE
}
