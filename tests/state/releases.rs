//! Releases of a service: the stable release, and the stages of a rollout.

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
        panic!("the upstream's name is empty");
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
        cold_ms: 0,
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

fn set_stage(machine: &mut Machine, target: &str, stage: Stage) {
    machine.apply(Op::SetReleaseStage {
        service: "notes".into(),
        target: target.into(),
        stage,
    });
}

fn stage(machine: &Machine) -> Option<Stage> {
    let releases = machine.state.releases.get("notes")?;
    releases.rollout.as_ref().map(|rollout| rollout.stage)
}

fn stable(machine: &Machine) -> String {
    let releases = machine.state.releases.get("notes").unwrap();
    releases.stable.as_deref().unwrap().to_owned()
}

#[test]
fn second_release_does_not_become_stable_without_a_rollout() {
    let mut machine = machine();
    announce(&mut machine, "u2", "v2");
    assert_eq!(stable(&machine), "v1");
    assert_eq!(stage(&machine), None);
}

#[test]
fn rollout_rejects_earlier_stages_other_targets_and_stages_after_its_end() {
    let mut machine = machine();
    machine.change("r", start("v2"));
    set_stage(&mut machine, "v2", Stage::Whole);
    set_stage(&mut machine, "v2", Stage::Ramp);
    assert_eq!(stage(&machine), Some(Stage::Whole));
    set_stage(&mut machine, "v3", Stage::RolledBack);
    assert_eq!(stage(&machine), Some(Stage::Whole));
    set_stage(&mut machine, "v2", Stage::Complete);
    assert_eq!(stable(&machine), "v2");
    set_stage(&mut machine, "v2", Stage::RolledBack);
    assert_eq!(stage(&machine), Some(Stage::Complete));
}

#[test]
fn restarting_a_rolled_back_rollout_changes_nothing() {
    let mut machine = machine();
    machine.change("r", start("v2"));
    set_stage(&mut machine, "v2", Stage::RolledBack);
    let again = machine.change("r2", start("v2"));
    assert!(matches!(again, ChangeOutcome::Accepted { .. }));
    assert_eq!(stage(&machine), Some(Stage::RolledBack));
    assert_eq!(stable(&machine), "v1");
}

#[test]
fn refuses_second_rollout_until_the_first_ends() {
    let mut machine = machine();
    machine.change("r", start("v2"));
    let refused = machine.change("s", start("v3"));
    assert!(matches!(refused, ChangeOutcome::Refused { .. }));
    set_stage(&mut machine, "v2", Stage::Complete);
    let accepted = machine.change("t", start("v3"));
    assert!(matches!(accepted, ChangeOutcome::Accepted { .. }));
}
