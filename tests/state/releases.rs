//! Releases of a service: which one is settled, and the steps of a roll-out.

use std::sync::Arc;

use daisyquay::state::Stage;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::command::Op;
use daisyquay::upstream::Announcement;
use daisyquay::upstream::Serves;

use crate::Machine;
use crate::inventory;

fn announce(machine: &mut Machine, id: &str, release: &str) {
    let [.., last] = id.as_bytes() else {
        panic!("an upstream has a name");
    };
    machine.apply(Op::Announce(Announcement {
        id: id.into(),
        incarnation: 1,
        address: format!("10.0.0.{last}:80").parse().unwrap(),
        data_centre: "dc1".into(),
        serves: Serves::Service("notes".into()),
        slots: 4,
        fences_orders: false,
        release: Some(release.into()),
        started_ms: None,
        draining: false,
    }));
}

fn machine() -> Machine {
    let mut machine = Machine::default();
    machine.change("a", Change::Apply(Arc::new(inventory(&["notes"]))));
    announce(&mut machine, "u1", "v1");
    machine
}

fn start(target: &str) -> Change {
    Change::ReleaseStart {
        service: "notes".into(),
        target: target.into(),
        period_ms: 10_000,
    }
}

fn step(machine: &mut Machine, target: &str, stage: Stage) {
    machine.apply(Op::SetReleaseStage {
        service: "notes".into(),
        target: target.into(),
        stage,
    });
}

fn stage(machine: &Machine) -> Option<Stage> {
    let line = machine.state.releases.get("notes")?;
    line.rollout.as_ref().map(|rollout| rollout.stage)
}

fn settled(machine: &Machine) -> String {
    let line = machine.state.releases.get("notes").unwrap();
    line.stable.as_deref().unwrap().to_owned()
}

#[test]
fn the_first_release_is_settled_and_another_needs_a_rollout() {
    let mut machine = machine();
    announce(&mut machine, "u2", "v2");
    assert_eq!(settled(&machine), "v1");
    assert_eq!(stage(&machine), None);
}

#[test]
fn a_rollout_goes_forward_only_and_ends_once() {
    let mut machine = machine();
    machine.change("r", start("v2"));
    step(&mut machine, "v2", Stage::Whole);
    step(&mut machine, "v2", Stage::Ramp);
    assert_eq!(stage(&machine), Some(Stage::Whole));
    step(&mut machine, "v3", Stage::RolledBack);
    assert_eq!(stage(&machine), Some(Stage::Whole));
    step(&mut machine, "v2", Stage::Complete);
    assert_eq!(settled(&machine), "v2");
    step(&mut machine, "v2", Stage::RolledBack);
    assert_eq!(stage(&machine), Some(Stage::Complete));
}

#[test]
fn the_same_order_again_starts_nothing_anew() {
    let mut machine = machine();
    machine.change("r", start("v2"));
    step(&mut machine, "v2", Stage::RolledBack);
    let again = machine.change("r2", start("v2"));
    assert!(matches!(again, ChangeOutcome::Accepted { .. }));
    assert_eq!(stage(&machine), Some(Stage::RolledBack));
    assert_eq!(settled(&machine), "v1");
}

#[test]
fn a_second_rollout_waits_for_the_first() {
    let mut machine = machine();
    machine.change("r", start("v2"));
    let refused = machine.change("s", start("v3"));
    assert!(matches!(refused, ChangeOutcome::Refused { .. }));
    step(&mut machine, "v2", Stage::Complete);
    let accepted = machine.change("t", start("v3"));
    assert!(matches!(accepted, ChangeOutcome::Accepted { .. }));
}
