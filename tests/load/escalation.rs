//! Traffic in which most prompts are easy, a few are hard, and no request says which.

use std::time::Duration;

use daisyquay::policy::escalation;
use daisyquay::policy::escalation::TtftForecast;

/// Returns pairs of a prompt's hardness and the small model's confidence in its response, which is
/// noisy.
fn requests(n: usize) -> Vec<(f64, f64)> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut draw = || {
        let hardness = rng.f64() * 1.1;
        let noise = (rng.f64() - 0.5) * 40.0;
        let confidence = (50.0 + 120.0 * (0.58 - hardness) + noise).clamp(0.0, 100.0);
        (hardness, confidence)
    };
    (0..n).map(|_| draw()).collect()
}

/// Returns the mean value, less cost, of a policy that returns the models that run.
fn mean_value(requests: &[(f64, f64)], policy: impl Fn(f64) -> Vec<usize>) -> f64 {
    const QUALITY: [f64; 3] = [0.58, 0.67, 1.0];
    const COST: [f64; 3] = [0.008, 0.06, 0.12];
    const POOR_VALUE: f64 = 0.05;
    requests
        .iter()
        .map(|&(hardness, confidence)| {
            let ran = policy(confidence);
            let is_good = QUALITY[*ran.last().unwrap()] >= hardness;
            let cost: f64 = ran.iter().map(|&model| COST[model]).sum();
            if is_good {
                1.0 - cost
            } else {
                POOR_VALUE - cost
            }
        })
        .sum::<f64>()
        / requests.len() as f64
}

#[test]
fn small_model_first_is_worth_more_than_any_single_model() {
    let requests = requests(20_000);
    let cascade = mean_value(&requests, |confidence| {
        let first = escalation::first_model(3).unwrap();
        match escalation::next_model(3, first, Some(confidence), |_| None) {
            Some(larger) => vec![first, larger],
            None => vec![first],
        }
    });
    let smallest = mean_value(&requests, |_| vec![0]);
    let largest = mean_value(&requests, |_| vec![2]);
    assert!(
        cascade > smallest + 0.2,
        "the ladder is worth {cascade}, the smallest model {smallest}"
    );
    assert!(
        cascade > largest,
        "the ladder is worth {cascade}, the largest model {largest}"
    );
}

#[test]
fn keeps_the_response_of_the_largest_model_or_without_confidence() {
    assert_eq!(escalation::next_model(3, 2, Some(0.0), |_| None), None);
    assert_eq!(escalation::next_model(3, 0, None, |_| None), None);
    assert_eq!(escalation::next_model(1, 0, Some(0.0), |_| None), None);
    assert_eq!(escalation::first_model(0), None);
}

fn forecast(queue_ms: u64, prefill_ms: u64) -> Option<TtftForecast> {
    Some(TtftForecast {
        target: Duration::from_secs(4),
        elapsed: Duration::from_millis(300),
        queue: Duration::from_millis(queue_ms),
        prefill: Duration::from_millis(prefill_ms),
    })
}

/// In a burst of retries, a second prefill would finish late and delay the prompts behind it.
#[test]
fn keeps_a_doubtful_response_if_a_backlog_makes_the_larger_model_late() {
    let next_model = |queue_ms, prefill_ms| {
        escalation::next_model(3, 0, Some(20.0), |_| forecast(queue_ms, prefill_ms))
    };
    assert_eq!(next_model(200, 600), Some(2), "in time");
    assert_eq!(
        next_model(3_500, 600),
        None,
        "late because of other prompts"
    );
    assert_eq!(
        next_model(0, 6_000),
        Some(2),
        "late by its own length alone"
    );
}

/// In a burst on few upstreams, each escalation takes the capacity of many first responses.
#[test]
fn forecasts_keep_first_responses_in_time_during_a_burst() {
    let in_time = |has_forecast: bool| {
        let requests = requests(3_000);
        let (mut queue, mut count) = (0.0_f64, 0);
        for (_, confidence) in requests {
            // A request arrives every 20 ms. A first response takes 15 ms, a second one 150 ms.
            queue = (queue - 20.0).max(0.0) + 15.0;
            count += u32::from(queue < 4_000.0);
            let known = forecast(queue as u64, 150);
            if escalation::next_model(3, 0, Some(confidence), |_| known.filter(|_| has_forecast))
                .is_some()
            {
                queue += 150.0;
            }
        }
        count
    };
    assert!(
        in_time(true) > 2_900,
        "only {} responses are in time",
        in_time(true)
    );
    assert!(
        in_time(false) < 1_000,
        "{} responses are in time without a forecast",
        in_time(false)
    );
}

/// Forty upstreams with their backlogs in milliseconds, under traffic of three ranks in which half
/// of the first responses are doubtful.
struct Pool {
    backlogs: Vec<f64>,
    rng: fastrand::Rng,
}

const TARGET: Duration = Duration::from_secs(1);

/// First responses within the target and escalations, by rank.
#[derive(Debug, Default)]
struct Outcome {
    asked: [u32; 3],
    in_time: [u32; 3],
    escalated: [u32; 3],
}

impl Pool {
    fn new() -> Self {
        Self {
            backlogs: vec![0.0; 40],
            rng: fastrand::Rng::with_seed(3),
        }
    }

    /// Adds work to the upstream with the least backlog of two; returns the wait before it.
    fn add(&mut self, ms: f64) -> f64 {
        let (a, b) = (self.rng.usize(..40), self.rng.usize(..40));
        let at = if self.backlogs[a] <= self.backlogs[b] {
            a
        } else {
            b
        };
        let wait = self.backlogs[at];
        self.backlogs[at] += ms;
        wait
    }

    /// Plays 20 s in which a first response takes 15 ms and an escalation 150 ms.
    fn play(&mut self, requests_per_ms: f64, sheds: bool) -> Outcome {
        let mut outcome = Outcome::default();
        let mut due = 0.0;
        for _ in 0..20_000 {
            for backlog in &mut self.backlogs {
                *backlog = (*backlog - 1.0).max(0.0);
            }
            due += requests_per_ms;
            while due >= 1.0 {
                due -= 1.0;
                let rank = self.rng.usize(..3);
                outcome.asked[rank] += 1;
                outcome.in_time[rank] += u32::from(self.add(15.0) < TARGET.as_secs_f64() * 1000.0);
                let mut sorted = self.backlogs.clone();
                sorted.sort_unstable_by(f64::total_cmp);
                let backlog = Duration::from_secs_f64(sorted[20] / 1000.0);
                let is_affordable = escalation::is_affordable(rank as u32, backlog, TARGET);
                if self.rng.bool() && (!sheds || is_affordable) {
                    outcome.escalated[rank] += 1;
                    self.add(150.0);
                }
            }
        }
        outcome
    }
}

#[test]
fn escalations_give_way_to_first_responses_in_a_burst() {
    let all = Pool::new().play(0.6, false);
    let shed = Pool::new().play(0.6, true);
    let in_time = |outcome: &Outcome| -> f64 {
        let (in_time, asked): (u32, u32) =
            (outcome.in_time.iter().sum(), outcome.asked.iter().sum());
        f64::from(in_time) / f64::from(asked)
    };
    assert!(in_time(&all) < 0.2, "{all:?}");
    assert!(in_time(&shed) > 0.99, "{shed:?}");
    // Half of the responses are doubtful. The least urgent requests give way first.
    let share = |rank: usize| f64::from(shed.escalated[rank]) / f64::from(shed.asked[rank]);
    assert!(share(0) > 0.45, "{shed:?}");
    assert!(share(2) < 0.5 * share(0), "{shed:?}");
}

#[test]
fn all_doubtful_responses_escalate_at_moderate_load() {
    let outcome = Pool::new().play(0.2, true);
    let escalated: u32 = outcome.escalated.iter().sum();
    let asked: u32 = outcome.asked.iter().sum();
    assert!(
        f64::from(escalated) > 0.48 * f64::from(asked),
        "{outcome:?}"
    );
}
