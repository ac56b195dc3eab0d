//! Rollouts of bad and good versions, run by the state machine of the state replicas. They show how
//! many requests a bad version gets before its rollout halts, and how often a good version's halts.

use std::sync::Arc;

use crate::collections::Name;
use crate::config;
use crate::config::VersionName;
use crate::state::Claim;
use crate::state::RequestId;
use crate::state::RolloutState;
use crate::state::State;
use crate::state::Target;
use crate::state::command::Change;
use crate::state::command::ChangeRequest;
use crate::state::command::ClaimOutcome;
use crate::state::command::Command;
use crate::state::command::Ending;
use crate::state::command::LedgerOp;
use crate::state::command::LedgerOutcome;
use crate::state::command::Op;
use crate::state::command::Outcome;
use crate::state::command::Rating;
use crate::state::command::Settlement;

use super::model;
use super::table::Table;

/// Requests that arrive for the model during one rollout.
const REQUESTS: u64 = 40_000;

/// Rollouts of a good version in one run.
const GOOD_ROLLOUTS: u64 = 40;

/// Rollouts of a bad version in one run.
const BAD_ROLLOUTS: u64 = 20;

/// Share of the stable version's responses that are rated.
const RATING_SHARE: f64 = 0.1;

const STAGES: [f64; 4] = [0.01, 0.1, 0.5, 1.0];

const INVENTORY: &str = r#"
[[organisations]]
name = "org"
key_sha256 = ["0000000000000000000000000000000000000000000000000000000000000000"]
quality_target = 0.8
allowed = ["m"]
[[models]]
name = "m"
[[models.versions]]
name = "old"
cost_in = 1
cost_out = 1
[[models.versions]]
name = "new"
cost_in = 1
cost_out = 1
state = "candidate"
"#;

/// How the new version differs from the old one, whose mean score is 0.85 and which never fails.
#[derive(Clone, Copy)]
struct Scene {
    name: &'static str,
    /// Mean score.
    score: f64,
    /// Share of requests that fail.
    failure_rate: f64,
    /// Factor on the time to the first token.
    latency_factor: f64,
    /// Index of the first request that the difference affects.
    first_affected: u64,
    is_good: bool,
}

const SCENES: [Scene; 7] = [
    Scene {
        name: "all fail",
        score: 0.85,
        failure_rate: 1.0,
        latency_factor: 1.0,
        first_affected: 0,
        is_good: false,
    },
    Scene {
        name: "half fail",
        score: 0.85,
        failure_rate: 0.5,
        latency_factor: 1.0,
        first_affected: 0,
        is_good: false,
    },
    Scene {
        name: "score 0.40",
        score: 0.40,
        failure_rate: 0.0,
        latency_factor: 1.0,
        first_affected: 0,
        is_good: false,
    },
    Scene {
        name: "score 0.70",
        score: 0.70,
        failure_rate: 0.0,
        latency_factor: 1.0,
        first_affected: 0,
        is_good: false,
    },
    Scene {
        name: "five times slower",
        score: 0.85,
        failure_rate: 0.0,
        latency_factor: 5.0,
        first_affected: 0,
        is_good: false,
    },
    Scene {
        name: "turns bad late",
        score: 0.40,
        failure_rate: 0.0,
        latency_factor: 1.0,
        first_affected: 25_000,
        is_good: false,
    },
    Scene {
        name: "as good",
        score: 0.85,
        failure_rate: 0.0,
        latency_factor: 1.0,
        first_affected: 0,
        is_good: true,
    },
];

/// Runs all scenes under both policies.
pub(super) fn run(seeds: u64) -> Table {
    let mut table = Table {
        columns: vec!["exposed", "share of traffic", "halted", "completed"],
        rows: Vec::new(),
    };
    for scene in SCENES {
        table.add_row(scene.name, "daisyquay", seeds, |seed| {
            measure(scene, seed, Policy::Evidence)
        });
        table.add_row(scene.name, "static split", seeds, |seed| {
            measure(scene, seed, Policy::FixedSchedule)
        });
    }
    table
}

/// How a rollout advances.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Policy {
    /// By the measured evidence, which can also halt it.
    Evidence,
    /// On a fixed schedule: a quarter of the requests in each stage, and no halt.
    FixedSchedule,
}

fn measure(scene: Scene, seed: u64, policy: Policy) -> Vec<f64> {
    let rollouts = if scene.is_good {
        GOOD_ROLLOUTS
    } else {
        BAD_ROLLOUTS
    };
    let mut sums = [0.0; 4];
    for i in 0..rollouts {
        let seed = seed * 1000 + i;
        let figures = match policy {
            Policy::Evidence => Simulation::new(scene, seed).run(),
            Policy::FixedSchedule => run_fixed_schedule(scene, seed),
        };
        for (sum, figure) in sums.iter_mut().zip(figures) {
            *sum += figure;
        }
    }
    sums.iter().map(|sum| sum / rollouts as f64).collect()
}

/// Returns the same results as [`Simulation::run`] for a rollout on a fixed schedule.
fn run_fixed_schedule(scene: Scene, seed: u64) -> [f64; 4] {
    let mut rng = fastrand::Rng::with_seed(seed);
    let per_stage = REQUESTS / STAGES.len() as u64;
    let exposed = (scene.first_affected..REQUESTS)
        .filter(|i| rng.f64() < STAGES[usize::try_from(i / per_stage).unwrap_or(3)])
        .count() as f64;
    [
        exposed,
        exposed / (REQUESTS - scene.first_affected) as f64,
        0.0,
        1.0,
    ]
}

struct Simulation {
    scene: Scene,
    rng: fastrand::Rng,
    state: State,
    index: u64,
    /// The old and the new version.
    versions: [VersionName; 2],
}

impl Simulation {
    fn new(scene: Scene, seed: u64) -> Self {
        let version = |version: &str| VersionName {
            model: "m".into(),
            version: version.into(),
        };
        let mut simulation = Self {
            scene,
            rng: fastrand::Rng::with_seed(seed),
            state: State::default(),
            index: 0,
            versions: [version("old"), version("new")],
        };
        let inventory = config::parse(INVENTORY).expect("`INVENTORY` is valid");
        simulation.apply_change("load", Change::Apply(Arc::new(inventory)));
        let start = Change::RolloutStart {
            version: simulation.versions[1].clone(),
            stages: STAGES.to_vec(),
        };
        simulation.apply_change("start", start);
        simulation
    }

    fn apply(&mut self, op: Op) -> Outcome {
        self.index += 1;
        let command = Command {
            at_ms: self.index,
            op,
        };
        self.state.apply(self.index, command)
    }

    fn apply_change(&mut self, id: &str, change: Change) {
        let request = ChangeRequest {
            change_id: id.into(),
            who: "experiment".into(),
            expected_revision: None,
            change,
        };
        self.apply(Op::Change(request));
    }

    /// Runs the rollout. Returns the requests that the difference affected, their share of the
    /// requests that arrived meanwhile, and 1 or 0 for whether it halted and whether it completed.
    fn run(mut self) -> [f64; 4] {
        let mut exposed = 0;
        let mut arrived = 0;
        for i in 0..REQUESTS {
            let Some(rollout) = self.state.rollouts.get("m") else {
                break;
            };
            if matches!(rollout.state, RolloutState::Halted { .. }) {
                break;
            }
            let share = rollout.share();
            let is_affected = i >= self.scene.first_affected;
            arrived += u64::from(is_affected);
            let by_new = self.rng.f64() < share && self.serve(i, 1, is_affected);
            if !by_new {
                self.serve(i, 0, false);
            }
            exposed += u64::from(by_new && is_affected);
        }
        let state = self.state.rollouts.get("m").map(|rollout| &rollout.state);
        let halted = matches!(state, Some(RolloutState::Halted { .. }));
        let completed = state == Some(&RolloutState::Complete);
        [
            exposed as f64,
            exposed as f64 / arrived.max(1) as f64,
            f64::from(u8::from(halted)),
            f64::from(u8::from(completed)),
        ]
    }

    /// Claims, settles and rates request `i` for the version with index `version`. Returns false if
    /// the claim was rejected.
    fn serve(&mut self, i: u64, version: usize, is_affected: bool) -> bool {
        let request = RequestId(u128::from(i) * 2 + version as u128);
        let target = self.versions[version].clone();
        let claim = Claim {
            request,
            organisation: "org".into(),
            target: Target::Version(target.clone()),
            upstream: "u".into(),
            entry: 1,
            idempotency_key: None,
            session: None,
            at_most_once: false,
        };
        let claimed = LedgerOutcome::Claim(ClaimOutcome::Claimed);
        match self.apply(Op::Ledger(vec![LedgerOp::Claim(claim)])) {
            Outcome::Ledger(outcomes) if outcomes.first() == Some(&claimed) => {}
            _ => return false,
        }
        let scene = self.scene;
        let (mean, failure_rate, latency_factor) = if is_affected {
            (scene.score, scene.failure_rate, scene.latency_factor)
        } else {
            (0.85, 0.0, 1.0)
        };
        let failed = self.rng.f64() < failure_rate;
        let ttft_ms = (60.0 * latency_factor * (0.5 + self.rng.f64())) as u32;
        let mut ops = vec![LedgerOp::Settle(Settlement {
            request,
            tokens_in: 10,
            tokens_out: 10,
            ending: if failed {
                Ending::Failed
            } else {
                Ending::Whole
            },
            ttft_ms,
            earlier_steps: Vec::new(),
            final_target: None,
        })];
        if !failed && (version == 1 || self.rng.f64() < RATING_SHARE) {
            let class: Name = "answer".into();
            ops.push(LedgerOp::Rate(Rating {
                version: target,
                class,
                score: model::draw_score(mean, &mut self.rng) as f32,
            }));
        }
        self.apply(Op::Ledger(ops));
        true
    }
}
