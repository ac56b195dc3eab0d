//! The guard of roll-outs, through the state machine.

use std::sync::Arc;

use daisyquay::config;
use daisyquay::config::VersionName;
use daisyquay::state::Claim;
use daisyquay::state::RequestId;
use daisyquay::state::RolloutState;
use daisyquay::state::State;
use daisyquay::state::Target;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::ClaimOutcome;
use daisyquay::state::command::Command;
use daisyquay::state::command::Ending;
use daisyquay::state::command::LedgerOp;
use daisyquay::state::command::LedgerOutcome;
use daisyquay::state::command::Op;
use daisyquay::state::command::Outcome;
use daisyquay::state::command::Rating;
use daisyquay::state::command::Settlement;

const INVENTORY: &str = include_str!("../../examples/inventory.toml");

struct World {
    state: State,
    index: u64,
}

fn new_version() -> VersionName {
    "notes@large".parse().unwrap()
}

impl World {
    fn start(stages: &[f64]) -> Self {
        let mut world = Self {
            state: State::default(),
            index: 0,
        };
        let inventory = Arc::new(config::parse(INVENTORY).unwrap());
        world.change(Change::Apply(inventory));
        world.change(Change::RolloutStart {
            version: new_version(),
            stages: stages.to_vec(),
        });
        world
    }

    fn apply(&mut self, op: Op) -> Outcome {
        self.index += 1;
        let at_ms = self.index;
        self.state.apply(self.index, Command { at_ms, op })
    }

    fn change(&mut self, change: Change) {
        let request = ChangeRequest {
            change_id: format!("c{}", self.index).into(),
            who: "ann".into(),
            expected_revision: None,
            change,
        };
        self.apply(Op::Change(request));
    }

    /// Serves one request; `None` where its claim is refused.
    fn serve(&mut self, version: &VersionName, score: f32) -> Option<()> {
        let request = RequestId(self.index.into());
        let claim = Claim {
            request,
            organisation: "lagon".into(),
            target: Target::Version(version.clone()),
            upstream: "u".into(),
            entry: 1,
            idempotency_key: None,
            session: None,
            at_most_once: false,
        };
        let claimed = vec![LedgerOutcome::Claim(ClaimOutcome::Claimed)];
        if self.apply(Op::Ledger(vec![LedgerOp::Claim(claim)])) != Outcome::Ledger(claimed) {
            return None;
        }
        self.apply(Op::Ledger(vec![
            LedgerOp::Settle(Settlement {
                request,
                tokens_in: 1,
                tokens_out: 1,
                ending: Ending::Whole,
                ttft_ms: 50,
                earlier_steps: Vec::new(),
                final_target: None,
            }),
            LedgerOp::Rate(Rating {
                version: version.clone(),
                class: "answer".into(),
                score,
            }),
        ]));
        Some(())
    }

    fn rollout(&self) -> &RolloutState {
        &self.state.rollouts["notes"].state
    }
}

#[test]
fn without_ratings_exposure_stops_at_the_budget() {
    let mut world = World::start(&[0.5, 1.0]);
    let mut served = 0;
    for i in 0..1000_u128 {
        let claim = Claim {
            request: RequestId(i),
            organisation: "lagon".into(),
            target: Target::Version(new_version()),
            upstream: "u".into(),
            entry: 1,
            idempotency_key: None,
            session: None,
            at_most_once: false,
        };
        let outcome = world.apply(Op::Ledger(vec![LedgerOp::Claim(claim)]));
        let claimed = vec![LedgerOutcome::Claim(ClaimOutcome::Claimed)];
        served += u32::from(outcome == Outcome::Ledger(claimed));
    }
    assert_eq!(served, 200);
}

#[test]
fn a_bad_version_is_halted_withdrawn_and_in_the_audit_trail() {
    let mut world = World::start(&[0.5, 1.0]);
    let old = "notes@small".parse().unwrap();
    let mut exposed = 0;
    for _ in 0..1000 {
        world.serve(&old, 0.9).unwrap();
        match world.serve(&new_version(), 0.3) {
            Some(()) => exposed += 1,
            None => break,
        }
    }
    assert!(exposed <= 200, "{exposed}");
    assert!(matches!(world.rollout(), RolloutState::Halted { .. }));
    assert!(!world.state.is_available(&new_version()));
    // The revision grew, so entries must acknowledge the halt like any change.
    assert_eq!(world.state.revision, 3);
}

#[test]
fn a_good_version_passes_all_stages_and_one_that_turns_bad_later_is_still_halted() {
    let mut world = World::start(&[0.1, 0.5, 1.0]);
    let old = "notes@small".parse().unwrap();
    for _ in 0..400 {
        world.serve(&old, 0.8).unwrap();
        world.serve(&new_version(), 0.8).unwrap();
    }
    assert_eq!(*world.rollout(), RolloutState::Complete);
    for _ in 0..3000 {
        world.serve(&new_version(), 0.8).unwrap();
    }
    let mut exposed = 0;
    while world.serve(&new_version(), 0.2).is_some() {
        exposed += 1;
        assert!(exposed < 1100, "never halted");
    }
    assert!(matches!(world.rollout(), RolloutState::Halted { .. }));
}
