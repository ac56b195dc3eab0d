//! The state machine's ledger, changes and pins against counts kept by hand.

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

/// Steps of one schedule.
const STEPS: usize = 120;

/// Schedules of the fixed run.
const SCHEDULES: u64 = 2000;

/// Names that a schedule draws from: few, so that they meet.
const REQUESTS: u8 = 12;
const KEYS: u8 = 3;
const SESSIONS: u8 = 3;

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
    /// A change that was sent before is sent again.
    Resend {
        change: u8,
    },
    Sweep,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let request = u8::arbitrary(g) % REQUESTS;
        let small = bool::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=4 => Self::Claim {
                request,
                key: bool::arbitrary(g).then(|| u8::arbitrary(g) % KEYS),
                at_most_once: bool::arbitrary(g),
                small,
            },
            5..=8 => Self::Settle { request },
            9 => Self::Release { request },
            10 => Self::Withdraw { small },
            11 => Self::Resume { small },
            12..=13 => Self::Pin {
                session: u8::arbitrary(g) % SESSIONS,
                small,
            },
            14 => Self::Resend {
                change: u8::arbitrary(g),
            },
            _ => Self::Sweep,
        }
    }
}

/// A fault that the oracle must find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// A settlement that was carried out is carried out again under a fresh claim.
    SettleTwice,
    /// A released claim's key stays taken.
    KeepKey,
    /// A resent change is taken for a new one.
    FreshChangeId,
    /// A withdrawal is lost when the inventory is loaded again.
    ReloadLifts,
}

struct World {
    state: State,
    index: u64,
    fault: Fault,
    /// Requests that ran, whether they were settled, and whether they count on the bill.
    ran: BTreeMap<u8, (bool, bool)>,
    released: BTreeSet<u8>,
    /// Runs of calls that may not be repeated, by key.
    runs: BTreeMap<u8, u32>,
    key_of: BTreeMap<u8, (u8, bool)>,
    withdrawn: BTreeSet<bool>,
    pins: BTreeMap<u8, bool>,
    changes: Vec<(ChangeRequest, ChangeOutcome)>,
}

fn version(small: bool) -> VersionName {
    if small { "notes@small" } else { "notes@large" }
        .parse()
        .unwrap()
}

impl World {
    fn new(fault: Fault) -> Self {
        let mut world = Self {
            state: State::default(),
            index: 0,
            fault,
            ran: BTreeMap::new(),
            released: BTreeSet::new(),
            runs: BTreeMap::new(),
            key_of: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            pins: BTreeMap::new(),
            changes: Vec::new(),
        };
        let inventory = config::parse(INVENTORY).unwrap();
        world.change(Change::Apply(Arc::new(inventory)));
        world
    }

    fn apply(&mut self, op: Op) -> Outcome {
        self.index += 1;
        let at_ms = self.index;
        self.state.apply(self.index, Command { at_ms, op })
    }

    fn ledger(&mut self, op: LedgerOp) -> LedgerOutcome {
        match self.apply(Op::Ledger(vec![op])) {
            Outcome::Ledger(mut each) => each.remove(0),
            other => panic!("{other:?}"),
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
            panic!("no outcome");
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
            Step::Resend { change } => self.resend(change)?,
            Step::Sweep => {
                self.apply(Op::Sweep);
                if self.fault == Fault::ReloadLifts {
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
        if self.ran.contains_key(&request) || self.released.contains(&request) {
            return Ok(());
        }
        let outcome = self.ledger(LedgerOp::Claim(Claim {
            request: RequestId(request.into()),
            organisation: "lagon".into(),
            target: Target::Version(version(small)),
            upstream: "u".into(),
            entry: 1,
            idempotency_key: key.map(|key| format!("k{key}").into()),
            session: None,
            at_most_once,
        }));
        let LedgerOutcome::Claim(outcome) = outcome else {
            return Err(format!("{outcome:?}"));
        };
        let runs = matches!(
            outcome,
            ClaimOutcome::Claimed | ClaimOutcome::Duplicate { rerun: true, .. }
        );
        if runs && self.withdrawn.contains(&small) {
            return Err("a withdrawn version got new work".to_owned());
        }
        if let Some(key) = key {
            let before = self.runs.get(&key).copied().unwrap_or(0);
            if runs && at_most_once && before > 0 {
                return Err(format!("key {key} ran {} times", before + 1));
            }
            let refused = matches!(outcome, ClaimOutcome::Duplicate { rerun: false, .. });
            if refused && before == 0 {
                return Err(format!("key {key} is refused and has not run"));
            }
            if runs {
                *self.runs.entry(key).or_default() += 1;
                self.key_of.insert(request, (key, at_most_once));
            }
        }
        if runs {
            let billed = outcome == ClaimOutcome::Claimed;
            self.ran.insert(request, (false, billed));
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
        let Some((settled, _)) = self.ran.get_mut(&request) else {
            return if done == LedgerOutcome::Done(false) {
                Ok(())
            } else {
                Err("a request that has no claim was settled".to_owned())
            };
        };
        if *settled && self.fault == Fault::SettleTwice {
            let claim = Claim {
                request: RequestId(request.into()),
                organisation: "lagon".into(),
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

    /// An entry releases only what never reached an upstream: here, any open claim.
    fn release(&mut self, request: u8) {
        if self.ran.get(&request).is_none_or(|(settled, _)| *settled) {
            return;
        }
        if self.fault != Fault::KeepKey {
            self.ledger(LedgerOp::Release(RequestId(request.into())));
        }
        self.ran.remove(&request);
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
            organisation: "lagon".into(),
            session: name,
            proposed: version(small),
        }));
        let Outcome::Pin(outcome) = outcome else {
            return Err(format!("{outcome:?}"));
        };
        let PinOutcome::Pinned {
            version: got,
            moved_from,
        } = outcome
        else {
            return Ok(());
        };
        let got_small = got == version(true);
        if self.withdrawn.contains(&got_small) {
            return Err("a session was pinned to a withdrawn version".to_owned());
        }
        if let Some(&known) = self.pins.get(&session) {
            let moved = known != got_small;
            if moved && !self.withdrawn.contains(&known) {
                return Err("a session lost its version".to_owned());
            }
            if moved != moved_from.is_some() {
                return Err(format!("moved is {moved}, the answer says {moved_from:?}"));
            }
        }
        self.pins.insert(session, got_small);
        Ok(())
    }

    fn resend(&mut self, change: u8) -> Result<(), String> {
        let at = usize::from(change) % self.changes.len();
        let (mut request, first) = self.changes[at].clone();
        if self.fault == Fault::FreshChangeId {
            request.change_id = format!("again-{}", self.index).into();
        }
        let before = self.state.revision;
        let Outcome::Change(again) = self.apply(Op::Change(request)) else {
            return Err("no outcome".to_owned());
        };
        if again != first || self.state.revision != before {
            return Err(format!("a resend got {again:?} instead of {first:?}"));
        }
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        let settled = self
            .ran
            .values()
            .filter(|(settled, billed)| *settled && *billed)
            .count();
        let billed: u64 = self.state.bills().values().map(|bill| bill.requests).sum();
        if billed != settled as u64 {
            return Err(format!(
                "{settled} requests were settled, {billed} are billed"
            ));
        }
        let open = self.ran.values().filter(|(settled, _)| !settled).count();
        if self.state.open_claims().count() != open {
            return Err(format!("{open} requests are open"));
        }
        let accepted = self
            .changes
            .iter()
            .filter(|(_, outcome)| matches!(outcome, ChangeOutcome::Accepted { .. }))
            .count();
        if self.state.revision != accepted as u64 {
            return Err(format!(
                "{accepted} changes, revision {}",
                self.state.revision
            ));
        }
        Ok(())
    }
}

fn run(steps: &[Step], fault: Fault) -> Result<(), String> {
    let mut world = World::new(fault);
    steps.iter().try_for_each(|&step| world.step(step))
}

#[test]
fn the_ledger_holds() {
    assert_holds(STEPS, SCHEDULES, |steps: &[Step]| run(steps, Fault::None));
}

#[test]
fn planted_faults_are_found() {
    for fault in [
        Fault::SettleTwice,
        Fault::KeepKey,
        Fault::FreshChangeId,
        Fault::ReloadLifts,
    ] {
        assert_finds_fault(
            &format!("{fault:?}"),
            STEPS,
            SCHEDULES,
            |steps: &[Step]| run(steps, fault),
        );
    }
}
