//! Fuzzes the ledger, changes and session pins of the state machine against a simple model.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use daisyquay::collections::Name;
use daisyquay::config;
use daisyquay::config::VersionName;
use daisyquay::state::Claim;
use daisyquay::state::RequestId;
use daisyquay::state::State;
use daisyquay::state::Target;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::ClaimOutcome;
use daisyquay::state::command::Command;
use daisyquay::state::command::Ending;
use daisyquay::state::command::LedgerOp;
use daisyquay::state::command::LedgerOutcome;
use daisyquay::state::command::Op;
use daisyquay::state::command::Outcome;
use daisyquay::state::command::PinOutcome;
use daisyquay::state::command::PinRequest;
use daisyquay::state::command::Settlement;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::assert_finds_fault;
use crate::assert_holds;

const INVENTORY: &str = include_str!("../../examples/inventory.toml");

/// Steps in one schedule.
const STEPS: usize = 120;

/// Schedules in the default run.
const SCHEDULES: u64 = 2000;

/// Number of distinct names in a schedule: few, so that steps collide.
const REQUEST_COUNT: u8 = 12;
const KEY_COUNT: u8 = 3;
const SESSION_COUNT: u8 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim {
        request: u8,
        key: Option<u8>,
        at_most_once: bool,
        small: bool,
    },
    Settle {
        request: u8,
    },
    Release {
        request: u8,
    },
    Withdraw {
        small: bool,
    },
    Resume {
        small: bool,
    },
    Pin {
        session: u8,
        small: bool,
    },
    /// Sends an earlier change again.
    Retry {
        change: u8,
    },
    Sweep,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let request = u8::arbitrary(g) % REQUEST_COUNT;
        let small = bool::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=4 => Self::Claim {
                request,
                key: bool::arbitrary(g).then(|| u8::arbitrary(g) % KEY_COUNT),
                at_most_once: bool::arbitrary(g),
                small,
            },
            5..=8 => Self::Settle { request },
            9 => Self::Release { request },
            10 => Self::Withdraw { small },
            11 => Self::Resume { small },
            12..=13 => Self::Pin {
                session: u8::arbitrary(g) % SESSION_COUNT,
                small,
            },
            14 => Self::Retry {
                change: u8::arbitrary(g),
            },
            _ => Self::Sweep,
        }
    }
}

/// Fault to inject; the model must detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// A settled request is claimed and settled again.
    SettleTwice,
    /// A claim is not released, so that its key stays in use.
    SkipRelease,
    /// A retried change gets a new id.
    NewChangeId,
    /// A sweep clears all withdrawals.
    ClearWithdrawals,
}

/// State machine under test, with the model that it must agree with.
struct Harness {
    state: State,
    index: u64,
    fault: Fault,
    /// Claimed requests: whether each is settled, and whether it is billed.
    claimed: BTreeMap<u8, (bool, bool)>,
    released: BTreeSet<u8>,
    /// Number of runs by key.
    runs: BTreeMap<u8, u32>,
    /// Key of each claimed request, and whether the request must run at most once.
    key_of: BTreeMap<u8, (u8, bool)>,
    /// Withdrawn versions; true for the small one.
    withdrawn: BTreeSet<bool>,
    /// Pinned version by session; true for the small one.
    pins: BTreeMap<u8, bool>,
    changes: Vec<(ChangeRequest, ChangeOutcome)>,
}

fn version(small: bool) -> VersionName {
    if small { "notes@small" } else { "notes@large" }
        .parse()
        .unwrap()
}

impl Harness {
    fn new(fault: Fault) -> Self {
        let mut harness = Self {
            state: State::default(),
            index: 0,
            fault,
            claimed: BTreeMap::new(),
            released: BTreeSet::new(),
            runs: BTreeMap::new(),
            key_of: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            pins: BTreeMap::new(),
            changes: Vec::new(),
        };
        let inventory = config::parse(INVENTORY).unwrap();
        harness.change(Change::Apply(Arc::new(inventory)));
        harness
    }

    fn apply(&mut self, op: Op) -> Outcome {
        self.index += 1;
        let at_ms = self.index;
        self.state.apply(self.index, Command { at_ms, op })
    }

    fn ledger(&mut self, op: LedgerOp) -> LedgerOutcome {
        match self.apply(Op::Ledger(vec![op])) {
            Outcome::Ledger(mut outcomes) => outcomes.remove(0),
            other => panic!("a ledger command returned {other:?}"),
        }
    }

    fn change(&mut self, change: Change) -> ChangeOutcome {
        let request = ChangeRequest {
            change_id: format!("c{}", self.changes.len()).into(),
            who: "ann".into(),
            expected_revision: None,
            change,
        };
        let Outcome::Change(outcome) = self.apply(Op::Change(request.clone())) else {
            panic!("a change command returned no change outcome");
        };
        self.changes.push((request, outcome.clone()));
        outcome
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Claim {
                request,
                key,
                at_most_once,
                small,
            } => self.claim(request, key, at_most_once, small)?,
            Step::Settle { request } => self.settle(request)?,
            Step::Release { request } => self.release(request),
            Step::Withdraw { small } => {
                self.change(Change::Withdraw(version(small)));
                self.withdrawn.insert(small);
            }
            Step::Resume { small } => {
                self.change(Change::RolloutResume(version(small)));
                self.withdrawn.remove(&small);
            }
            Step::Pin { session, small } => self.pin(session, small)?,
            Step::Retry { change } => self.retry(change)?,
            Step::Sweep => {
                self.apply(Op::Sweep);
                if self.fault == Fault::ClearWithdrawals {
                    self.state.withdrawn.clear();
                }
            }
        }
        self.check()
    }

    fn claim(
        &mut self,
        request: u8,
        key: Option<u8>,
        at_most_once: bool,
        small: bool,
    ) -> Result<(), String> {
        // An entry uses a request's id for one request only.
        if self.claimed.contains_key(&request) || self.released.contains(&request) {
            return Ok(());
        }
        let outcome = self.ledger(LedgerOp::Claim(Claim {
            request: RequestId(request.into()),
            organisation: "maple".into(),
            target: Target::Version(version(small)),
            upstream: "u".into(),
            entry: 1,
            idempotency_key: key.map(|key| format!("k{key}").into()),
            session: None,
            at_most_once,
        }));
        let LedgerOutcome::Claim(outcome) = outcome else {
            return Err(format!("a claim returned {outcome:?}"));
        };
        let runs = matches!(
            outcome,
            ClaimOutcome::Claimed | ClaimOutcome::Duplicate { rerun: true, .. }
        );
        if runs && self.withdrawn.contains(&small) {
            return Err("a request for a withdrawn version was admitted".to_owned());
        }
        if let Some(key) = key {
            let before = self.runs.get(&key).copied().unwrap_or(0);
            if runs && at_most_once && before > 0 {
                return Err(format!("at-most-once key {key} ran {} times", before + 1));
            }
            let refused = matches!(outcome, ClaimOutcome::Duplicate { rerun: false, .. });
            if refused && before == 0 {
                return Err(format!("key {key} was refused though it has not run"));
            }
            if runs {
                *self.runs.entry(key).or_default() += 1;
                self.key_of.insert(request, (key, at_most_once));
            }
        }
        if runs {
            let billed = outcome == ClaimOutcome::Claimed;
            self.claimed.insert(request, (false, billed));
        }
        Ok(())
    }

    fn settlement(request: u8) -> LedgerOp {
        LedgerOp::Settle(Settlement {
            request: RequestId(request.into()),
            tokens_in: 10,
            tokens_out: 20,
            ending: Ending::Whole,
            ttft_ms: 5,
            earlier_steps: Vec::new(),
            final_target: None,
        })
    }

    fn settle(&mut self, request: u8) -> Result<(), String> {
        let done = self.ledger(Self::settlement(request));
        let Some((settled, _)) = self.claimed.get_mut(&request) else {
            return if done == LedgerOutcome::Done(false) {
                Ok(())
            } else {
                Err("a request without a claim was settled".to_owned())
            };
        };
        if *settled && self.fault == Fault::SettleTwice {
            let claim = Claim {
                request: RequestId(request.into()),
                organisation: "maple".into(),
                target: Target::Version(version(true)),
                upstream: "u".into(),
                entry: 1,
                idempotency_key: None,
                session: None,
                at_most_once: false,
            };
            self.ledger(LedgerOp::Claim(claim));
            self.ledger(Self::settlement(request));
            return Ok(());
        }
        *settled = true;
        Ok(())
    }

    /// Releases a request with an open claim. An entry releases only requests that reached no
    /// upstream; here that may be any open one.
    fn release(&mut self, request: u8) {
        if self
            .claimed
            .get(&request)
            .is_none_or(|(settled, _)| *settled)
        {
            return;
        }
        if self.fault != Fault::SkipRelease {
            self.ledger(LedgerOp::Release(RequestId(request.into())));
        }
        self.claimed.remove(&request);
        self.released.insert(request);
        if let Some((key, _)) = self.key_of.remove(&request)
            && let Some(runs) = self.runs.get_mut(&key)
        {
            *runs -= 1;
        }
    }

    fn pin(&mut self, session: u8, small: bool) -> Result<(), String> {
        let name: Name = format!("s{session}").into();
        let outcome = self.apply(Op::Pin(PinRequest {
            organisation: "maple".into(),
            session: name,
            proposed: version(small),
        }));
        let Outcome::Pin(outcome) = outcome else {
            return Err(format!("a pin returned {outcome:?}"));
        };
        let PinOutcome::Pinned {
            version: pinned,
            moved_from,
        } = outcome
        else {
            return Ok(());
        };
        let pinned_small = pinned == version(true);
        if self.withdrawn.contains(&pinned_small) {
            return Err("a session was pinned to a withdrawn version".to_owned());
        }
        if let Some(&previous) = self.pins.get(&session) {
            let moved = previous != pinned_small;
            if moved && !self.withdrawn.contains(&previous) {
                return Err("a session was moved from a version that is not withdrawn".to_owned());
            }
            if moved != moved_from.is_some() {
                return Err(format!(
                    "session moved: {moved}, but `moved_from` is {moved_from:?}"
                ));
            }
        }
        self.pins.insert(session, pinned_small);
        Ok(())
    }

    fn retry(&mut self, change: u8) -> Result<(), String> {
        let index = usize::from(change) % self.changes.len();
        let (mut request, first) = self.changes[index].clone();
        if self.fault == Fault::NewChangeId {
            request.change_id = format!("again-{}", self.index).into();
        }
        let before = self.state.revision;
        let Outcome::Change(second) = self.apply(Op::Change(request)) else {
            return Err("a retry returned no change outcome".to_owned());
        };
        if second != first || self.state.revision != before {
            return Err(format!(
                "a retry returned {second:?} instead of {first:?}, or made a new revision"
            ));
        }
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        let settled = self
            .claimed
            .values()
            .filter(|(settled, billed)| *settled && *billed)
            .count();
        let billed: u64 = self.state.bills().values().map(|bill| bill.requests).sum();
        if billed != settled as u64 {
            return Err(format!(
                "{settled} settled requests, {billed} billed requests"
            ));
        }
        let open = self
            .claimed
            .values()
            .filter(|(settled, _)| !settled)
            .count();
        if self.state.open_claims().count() != open {
            return Err(format!("the number of open claims is not {open}"));
        }
        let accepted = self
            .changes
            .iter()
            .filter(|(_, outcome)| matches!(outcome, ChangeOutcome::Accepted { .. }))
            .count();
        if self.state.revision != accepted as u64 {
            return Err(format!(
                "{accepted} accepted changes, but revision {}",
                self.state.revision
            ));
        }
        Ok(())
    }
}

fn run(steps: &[Step], fault: Fault) -> Result<(), String> {
    let mut harness = Harness::new(fault);
    steps.iter().try_for_each(|&step| harness.step(step))
}

#[test]
fn state_machine_agrees_with_model() {
    assert_holds(STEPS, SCHEDULES, |steps: &[Step]| run(steps, Fault::None));
}

#[test]
fn finds_injected_faults() {
    for fault in [
        Fault::SettleTwice,
        Fault::SkipRelease,
        Fault::NewChangeId,
        Fault::ClearWithdrawals,
    ] {
        assert_finds_fault(
            &format!("{fault:?}"),
            STEPS,
            SCHEDULES,
            |steps: &[Step]| run(steps, fault),
        );
    }
}
