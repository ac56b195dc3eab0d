//! Roll-outs of bad and good versions through the real state machine: exposure before a halt, and
//! halts of good versions.

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

/// Requests that arrive for the model during one roll-out.
const REQUESTS: u64 = 40_000;

/// Roll-outs of one run of a good version.
const GOOD_ROLLOUTS: u64 = 40;

/// Roll-outs of one run of a bad version.
const BAD_ROLLOUTS: u64 = 20;

/// Share of the stable version's answers that are rated.
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

/// How the new version differs from the old one, whose mean score is 0.85.
#[derive(Clone, Copy)]
struct Scene {
    name: &'static str,
    score: f64,
    failures: f64,
    slower: f64,
    /// Requests after which the difference sets in.
    from: u64,
    good: bool,
}

const SCENES: [Scene; 7] = [
    Scene {
        name: "all fail",
        score: 0.85,
        failures: 1.0,
        slower: 1.0,
        from: 0,
        good: false,
    },
    Scene {
        name: "half fail",
        score: 0.85,
        failures: 0.5,
        slower: 1.0,
        from: 0,
        good: false,
    },
    Scene {
        name: "score 0.40",
        score: 0.40,
        failures: 0.0,
        slower: 1.0,
        from: 0,
        good: false,
    },
    Scene {
        name: "score 0.70",
        score: 0.70,
        failures: 0.0,
        slower: 1.0,
        from: 0,
        good: false,
    },
    Scene {
        name: "five times slower",
        score: 0.85,
        failures: 0.0,
        slower: 5.0,
        from: 0,
        good: false,
    },
    Scene {
        name: "turns bad late",
        score: 0.40,
        failures: 0.0,
        slower: 1.0,
        from: 25_000,
        good: false,
    },
    Scene {
        name: "as good",
        score: 0.85,
        failures: 0.0,
        slower: 1.0,
        from: 0,
        good: true,
    },
];

/// Runs all scenes.
pub(super) fn run(seeds: u64) -> Table {
    let mut table = Table {
        columns: vec!["exposed", "share of traffic", "halted", "completed"],
        rows: Vec::new(),
    };
    for scene in SCENES {
        table.add(scene.name, "daisyquay", seeds, |seed| {
            measure(scene, seed, Policy::Guarded)
        });
        table.add(scene.name, "static split", seeds, |seed| {
            measure(scene, seed, Policy::Unguarded)
        });
    }
    table
}

/// A roll-out with the guard, or one that gives each stage a quarter of the requests.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Policy {
    Guarded,
    Unguarded,
}

fn measure(scene: Scene, seed: u64, policy: Policy) -> Vec<f64> {
    let rollouts = if scene.good {
        GOOD_ROLLOUTS
    } else {
        BAD_ROLLOUTS
    };
    let mut sums = [0.0; 4];
    for i in 0..rollouts {
        let seed = seed * 1000 + i;
        let figures = match policy {
            Policy::Guarded => World::new(scene, seed).roll_out(),
            Policy::Unguarded => unguarded(scene, seed),
        };
        for (sum, figure) in sums.iter_mut().zip(figures) {
            *sum += figure;
        }
    }
    sums.iter().map(|sum| sum / rollouts as f64).collect()
}

fn unguarded(scene: Scene, seed: u64) -> [f64; 4] {
    let mut rng = fastrand::Rng::with_seed(seed);
    let per_stage = REQUESTS / STAGES.len() as u64;
    let exposed = (scene.from..REQUESTS)
        .filter(|i| rng.f64() < STAGES[usize::try_from(i / per_stage).unwrap_or(3)])
        .count() as f64;
    [exposed, exposed / (REQUESTS - scene.from) as f64, 0.0, 1.0]
}

struct World {
    scene: Scene,
    rng: fastrand::Rng,
    state: State,
    index: u64,
    names: [VersionName; 2],
}

impl World {
    fn new(scene: Scene, seed: u64) -> Self {
        let version = |version: &str| VersionName {
            model: "m".into(),
            version: version.into(),
        };
        let mut world = Self {
            scene,
            rng: fastrand::Rng::with_seed(seed),
            state: State::default(),
            index: 0,
            names: [version("old"), version("new")],
        };
        let inventory = config::parse(INVENTORY).expect("the inventory above is valid");
        world.change("load", Change::Apply(Arc::new(inventory)));
        let start = Change::RolloutStart {
            version: world.names[1].clone(),
            stages: STAGES.to_vec(),
        };
        world.change("start", start);
        world
    }

    fn apply(&mut self, op: Op) -> Outcome {
        self.index += 1;
        let command = Command {
            at_ms: self.index,
            op,
        };
        self.state.apply(self.index, command)
    }

    fn change(&mut self, id: &str, change: Change) {
        let request = ChangeRequest {
            change_id: id.into(),
            who: "experiment".into(),
            expected_revision: None,
            change,
        };
        self.apply(Op::Change(request));
    }

    /// Requests exposed to the difference, their share, and whether it halted or completed.
    fn roll_out(mut self) -> [f64; 4] {
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
            let differs = i >= self.scene.from;
            arrived += u64::from(differs);
            let new = self.rng.f64() < share && self.serve(i, 1, differs);
            if !new {
                self.serve(i, 0, false);
            }
            exposed += u64::from(new && differs);
        }
        let state = self.state.rollouts.get("m").map(|rollout| &rollout.state);
        let halted = matches!(state, Some(RolloutState::Halted { .. }));
        let complete = state == Some(&RolloutState::Complete);
        [
            exposed as f64,
            exposed as f64 / arrived.max(1) as f64,
            f64::from(u8::from(halted)),
            f64::from(u8::from(complete)),
        ]
    }

    /// Claims, settles and rates one request; false where the claim was refused.
    fn serve(&mut self, i: u64, version: usize, differs: bool) -> bool {
        let request = RequestId(u128::from(i) * 2 + version as u128);
        let target = self.names[version].clone();
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
            Outcome::Ledger(each) if each.first() == Some(&claimed) => {}
            _ => return false,
        }
        let scene = self.scene;
        let (mean, failures, slower) = if differs {
            (scene.score, scene.failures, scene.slower)
        } else {
            (0.85, 0.0, 1.0)
        };
        let failed = self.rng.f64() < failures;
        let ttft_ms = (60.0 * slower * (0.5 + self.rng.f64())) as u32;
        let mut steps = vec![LedgerOp::Settle(Settlement {
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
            steps.push(LedgerOp::Rate(Rating {
                version: target,
                class,
                score: model::score(mean, &mut self.rng) as f32,
            }));
        }
        self.apply(Op::Ledger(steps));
        true
    }
}
