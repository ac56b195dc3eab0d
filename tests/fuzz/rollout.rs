//! The rollout guard inside the state machine.

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

struct Harness {
    state: State,
    index: u64,
}

fn candidate() -> VersionName {
    "notes@large".parse().unwrap()
}

impl Harness {
    fn start(stages: &[f64]) -> Self {
        let mut harness = Self {
            state: State::default(),
            index: 0,
        };
        let inventory = Arc::new(config::parse(INVENTORY).unwrap());
        harness.change(Change::Apply(inventory));
        harness.change(Change::RolloutStart {
            version: candidate(),
            stages: stages.to_vec(),
        });
        harness
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

    /// Runs and rates one request; returns `None` if its claim is refused.
    fn serve(&mut self, version: &VersionName, score: f32) -> Option<()> {
        let request = RequestId(self.index.into());
        let claim = Claim {
            request,
            organisation: "maple".into(),
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

    fn rollout_state(&self) -> &RolloutState {
        &self.state.rollouts["notes"].state
    }
}

#[test]
fn exposure_without_ratings_stops_at_the_budget() {
    let mut harness = Harness::start(&[0.5, 1.0]);
    let mut served = 0;
    for i in 0..1000_u128 {
        let claim = Claim {
            request: RequestId(i),
            organisation: "maple".into(),
            target: Target::Version(candidate()),
            upstream: "u".into(),
            entry: 1,
            idempotency_key: None,
            session: None,
            at_most_once: false,
        };
        let outcome = harness.apply(Op::Ledger(vec![LedgerOp::Claim(claim)]));
        let claimed = vec![LedgerOutcome::Claim(ClaimOutcome::Claimed)];
        served += u32::from(outcome == Outcome::Ledger(claimed));
    }
    assert_eq!(served, 200);
}

#[test]
fn bad_version_is_halted_and_withdrawn_in_a_new_revision() {
    let mut harness = Harness::start(&[0.5, 1.0]);
    let stable = "notes@small".parse().unwrap();
    let mut exposed = 0;
    for _ in 0..1000 {
        harness.serve(&stable, 0.9).unwrap();
        match harness.serve(&candidate(), 0.3) {
            Some(()) => exposed += 1,
            None => break,
        }
    }
    assert!(
        exposed <= 200,
        "{exposed} requests exceed the exposure budget"
    );
    assert!(matches!(
        harness.rollout_state(),
        RolloutState::Halted { .. }
    ));
    assert!(!harness.state.is_available(&candidate()));
    // The halt is a new revision, so entries must acknowledge it like any change.
    assert_eq!(harness.state.revision, 3);
}

#[test]
fn good_version_completes_and_is_halted_if_it_degrades_later() {
    let mut harness = Harness::start(&[0.1, 0.5, 1.0]);
    let stable = "notes@small".parse().unwrap();
    for _ in 0..400 {
        harness.serve(&stable, 0.8).unwrap();
        harness.serve(&candidate(), 0.8).unwrap();
    }
    assert_eq!(*harness.rollout_state(), RolloutState::Complete);
    for _ in 0..3000 {
        harness.serve(&candidate(), 0.8).unwrap();
    }
    let mut exposed = 0;
    while harness.serve(&candidate(), 0.2).is_some() {
        exposed += 1;
        assert!(
            exposed < 1100,
            "a degraded version was not halted within {exposed} requests"
        );
    }
    assert!(matches!(
        harness.rollout_state(),
        RolloutState::Halted { .. }
    ));
}
