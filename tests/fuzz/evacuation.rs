//! Evacuations through failovers, lost replies and late copies of orders, against the plain rule
//! that an acknowledged order holds until the next order for its data centre. A rollout and a drain are
//! in progress, which orders must not change.

use daisyquay::collections::HashMap;
use daisyquay::collections::Name;
use daisyquay::peer::ConfigView;
use daisyquay::replica::ConfigHistory;
use daisyquay::state::Releases;
use daisyquay::state::State;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::Command;
use daisyquay::state::command::Op;
use daisyquay::state::command::Outcome;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::assert_finds_fault;
use crate::assert_holds;

const DATA_CENTRES: usize = 3;

/// Gateways that follow the configuration.
const GATEWAYS: usize = 2;

/// Schedules within which an injected fault must be found.
const FAULT_SCHEDULES: u64 = 2000;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The caller of a data centre gives an order. It may give up an order that was not
    /// acknowledged and send the opposite one.
    Order(u8, bool),
    /// The caller of a data centre sends its order again, as no acknowledgement has come.
    Again(u8),
    /// One copy of a request reaches the leader.
    Deliver(u16),
    /// One copy reaches the leader and another one is still on its way.
    Duplicate(u16),
    /// One copy of a request is lost.
    Drop(u16),
    /// The leader commits its first entry that is not committed, and replies unless the reply is
    /// lost.
    Commit { loses_reply: bool },
    /// Another leader takes over, which has only this many of the entries that are not committed.
    Failover(u8),
    /// The drain of a VM begins, or is undone, which makes a revision.
    Drain(bool),
    /// A gateway fetches an update from the replicas.
    Update(u8),
    /// A replica loads its snapshot, and its history starts anew.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u16::arbitrary(g);
        let small = u8::arbitrary(g);
        match u8::arbitrary(g) % 26 {
            0..=4 => Self::Order(small, bool::arbitrary(g)),
            5..=10 => Self::Deliver(pick),
            11 => Self::Duplicate(pick),
            12 => Self::Drop(pick),
            13..=17 => Self::Commit {
                loses_reply: small % 4 == 0,
            },
            18 => Self::Failover(small % 3),
            19 => Self::Drain(bool::arbitrary(g)),
            20..=22 => Self::Update(small),
            23..=24 => Self::Again(small),
            _ => Self::Restart,
        }
    }
}

/// A request that a replica sends to the leader for a caller.
#[derive(Clone, Debug)]
struct Request {
    /// Data centre whose caller waits for the outcome.
    caller: usize,
    /// Number of the caller's attempt; a reply to an earlier one is ignored.
    attempt: u64,
    change: ChangeRequest,
}

/// What must not have changed since an order was given for it to apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Binding {
    /// The number of accepted evacuation orders.
    Orders,
    /// The configuration revision: a fault that must be found, since a repeated order makes none.
    Revision,
    /// Nothing: a fault that must be found.
    Nothing,
}

/// The caller that gives the orders for one data centre, one after the other.
#[derive(Clone, Copy, Debug, Default)]
struct Caller {
    /// Order without an acknowledgement.
    in_progress: Option<bool>,
    /// Last order that was acknowledged.
    acknowledged: bool,
    attempt: u64,
    /// Number of the order, of which its id is made if it keeps one.
    order: u64,
}

struct World {
    state: State,
    index: u64,
    uncommitted: Vec<Request>,
    in_flight: Vec<Request>,
    callers: [Caller; DATA_CENTRES],
    history: ConfigHistory,
    gateways: Vec<ConfigView>,
    next_id: u64,
    binding: Binding,
    /// First outcome of each order's id that was accepted.
    accepted: HashMap<Name, ChangeOutcome>,
    is_draining: bool,
    /// The rollout when it began.
    releases: Releases,
}

fn data_centre(i: usize) -> Name {
    format!("dc{i}").into()
}

fn view(state: &State) -> ConfigView {
    ConfigView {
        revision: state.revision,
        evacuated: state.evacuated.clone(),
        ..ConfigView::default()
    }
}

impl World {
    fn new(binding: Binding) -> Self {
        let mut world = Self {
            state: State::default(),
            index: 0,
            uncommitted: Vec::new(),
            in_flight: Vec::new(),
            callers: [Caller::default(); DATA_CENTRES],
            history: ConfigHistory::default(),
            gateways: vec![ConfigView::default(); GATEWAYS],
            next_id: 0,
            binding,
            accepted: HashMap::default(),
            is_draining: false,
            releases: Releases::default(),
        };
        let outcome = world.change(Change::ReleaseStart {
            service: "previews".into(),
            target: "v2".into(),
            period_ms: 60_000,
        });
        assert!(
            matches!(outcome, ChangeOutcome::Accepted { .. }),
            "{outcome:?}"
        );
        world.releases = world.state.releases.clone();
        world
    }

    /// Applies another change than an order.
    fn change(&mut self, change: Change) -> ChangeOutcome {
        self.next_id += 1;
        self.apply(ChangeRequest {
            change_id: format!("change-{}", self.next_id).into(),
            who: "test".into(),
            expected_revision: None,
            change,
        })
    }

    /// Sends the order of a caller bound to the current state: that of dc0 under a new id each time,
    /// as `Handle::evacuate` does, the others under the order's id, as with `--change-id`. With a
    /// fault, all ids are new: an id would show a late copy as a reused id.
    fn send(&mut self, caller: usize) {
        let Some(active) = self.callers[caller].in_progress else {
            return;
        };
        self.next_id += 1;
        self.callers[caller].attempt = self.next_id;
        let change_id = if caller == 0 || self.binding != Binding::Orders {
            format!("attempt-{}", self.next_id)
        } else {
            format!("order-{}", self.callers[caller].order)
        };
        let change = ChangeRequest {
            change_id: change_id.into(),
            who: "test".into(),
            expected_revision: (self.binding == Binding::Revision).then_some(self.state.revision),
            change: Change::Evacuate {
                data_centre: data_centre(caller),
                active,
                expected_orders: (self.binding == Binding::Orders)
                    .then_some(self.state.evacuation_orders),
            },
        };
        self.in_flight.push(Request {
            caller,
            attempt: self.next_id,
            change,
        });
    }

    fn apply(&mut self, change: ChangeRequest) -> ChangeOutcome {
        self.index += 1;
        let command = Command {
            at_ms: self.index,
            op: Op::Change(change),
        };
        let Outcome::Change(outcome) = self.state.apply(self.index, command) else {
            panic!("a change has another outcome");
        };
        self.history.record(view(&self.state));
        outcome
    }

    fn commit_first(&mut self, loses_reply: bool) -> Result<(), String> {
        if self.uncommitted.is_empty() {
            return Ok(());
        }
        let request = self.uncommitted.remove(0);
        let id = request.change.change_id.clone();
        let outcome = self.apply(request.change);
        if matches!(outcome, ChangeOutcome::Accepted { .. }) {
            let first = self.accepted.entry(id).or_insert_with(|| outcome.clone());
            if *first != outcome {
                return Err(format!("accepted with {first:?} and {outcome:?}"));
            }
        }
        let caller = &mut self.callers[request.caller];
        if loses_reply || caller.attempt != request.attempt {
            return Ok(());
        }
        match outcome {
            ChangeOutcome::Accepted { .. } => {
                if let Some(active) = caller.in_progress.take() {
                    caller.acknowledged = active;
                }
            }
            ChangeOutcome::Conflict { .. } | ChangeOutcome::EvacuationConflict { .. } => {
                self.send(request.caller);
            }
            ChangeOutcome::Refused { reason } => return Err(format!("refused: {reason}")),
        }
        Ok(())
    }

    fn take_in_flight(&mut self, pick: u16) -> Option<Request> {
        let count = self.in_flight.len();
        (count > 0).then(|| self.in_flight.remove(usize::from(pick) % count))
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Order(pick, active) => {
                let caller = usize::from(pick) % DATA_CENTRES;
                self.next_id += 1;
                self.callers[caller].in_progress = Some(active);
                self.callers[caller].order = self.next_id;
                self.send(caller);
            }
            Step::Again(pick) => self.send(usize::from(pick) % DATA_CENTRES),
            Step::Deliver(pick) => {
                let request = self.take_in_flight(pick);
                self.uncommitted.extend(request);
            }
            Step::Duplicate(pick) => {
                let request = self.take_in_flight(pick);
                self.in_flight.extend(request.clone());
                self.uncommitted.extend(request);
            }
            Step::Drop(pick) => {
                self.take_in_flight(pick);
            }
            Step::Commit { loses_reply } => self.commit_first(loses_reply)?,
            Step::Failover(kept) => {
                self.uncommitted.truncate(kept.into());
                // The new leader commits what it has and knows none of the callers.
                while !self.uncommitted.is_empty() {
                    self.commit_first(true)?;
                }
            }
            Step::Drain(draining) => {
                self.is_draining = draining;
                self.change(Change::Drain {
                    vm: "vm".into(),
                    draining,
                });
            }
            Step::Update(pick) => {
                let held = &mut self.gateways[usize::from(pick) % GATEWAYS];
                if let Some(update) = self.history.update_from(held.revision) {
                    *held = update.apply(held).map_err(|e| e.to_string())?;
                }
                if held.revision == self.state.revision && held.evacuated != self.state.evacuated {
                    return Err(format!("a gateway has {:?}", held.evacuated));
                }
            }
            Step::Restart => {
                self.history = ConfigHistory::default();
                self.history.record(view(&self.state));
            }
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        let is_draining = self.state.draining.contains("vm");
        if is_draining != self.is_draining || self.state.releases != self.releases {
            return Err("an order changed the rollout or the drain".to_owned());
        }
        let orders = self.state.evacuation_orders;
        if orders != self.accepted.len() as u64 {
            return Err(format!("{orders} orders for {} ids", self.accepted.len()));
        }
        for (i, caller) in self.callers.iter().enumerate() {
            let is_evacuated = self.state.evacuated.contains(&data_centre(i));
            if caller.in_progress.is_none() && is_evacuated != caller.acknowledged {
                return Err(format!("dc{i} is evacuated: {is_evacuated}, {caller:?}"));
            }
        }
        Ok(())
    }
}

fn run(steps: &[Step], binding: Binding) -> Result<(), String> {
    let mut world = World::new(binding);
    steps.iter().try_for_each(|&step| world.step(step))
}

#[test]
fn acknowledged_order_holds_until_the_next_one_for_its_data_centre() {
    assert_holds(200, 600, |steps: &[Step]| run(steps, Binding::Orders));
}

/// An order that applies to any revision is undone or redone by a late copy of an earlier one.
#[test]
fn finds_late_copy_of_an_order_that_applies_to_any_revision() {
    assert_finds_fault("any revision", 200, FAULT_SCHEDULES, |steps: &[Step]| {
        run(steps, Binding::Nothing)
    });
}

/// A repeated order that makes no revision is undone by a late copy of an opposite one that was
/// given up.
#[test]
fn finds_late_copy_of_an_order_that_applies_to_one_revision() {
    assert_finds_fault("one revision", 200, FAULT_SCHEDULES, |steps: &[Step]| {
        run(steps, Binding::Revision)
    });
}
