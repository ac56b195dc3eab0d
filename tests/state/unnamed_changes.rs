//! Changes that come without an id: the ids of a series, and the commands by which replicas of any
//! build carry out an order as one of its own.

use std::sync::Arc;

use daisyquay::state::Document;
use daisyquay::state::Stage;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::Op;
use daisyquay::state::command::Outcome;
use daisyquay::upstream::Announcement;
use daisyquay::upstream::Serves;

use crate::Machine;
use crate::inventory;

fn machine() -> Machine {
    let mut machine = Machine::default();
    machine.change("a", Change::Apply(Arc::new(inventory(&["notes"]))));
    machine.apply(Op::Announce(Announcement {
        id: "u1".into(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc1".into(),
        serves: Serves::Service("notes".into()),
        slots: 4,
        fences_orders: false,
        release: Some("v1".into()),
        started_ms: None,
        draining: false,
        cold_ms: 0,
    }));
    machine
}

fn request(change: Change) -> ChangeRequest {
    ChangeRequest {
        change_id: change.derived_id().unwrap(),
        who: "test".into(),
        expected_revision: None,
        change,
    }
}

fn rollout(target: &str, period_ms: u64) -> ChangeRequest {
    request(Change::ReleaseStart {
        service: "notes".into(),
        target: target.into(),
        period_ms,
    })
}

/// Carries out a change as one of its own; returns its outcome and the id under which it is recorded.
fn apply_new(machine: &mut Machine, request: &ChangeRequest) -> (ChangeOutcome, String) {
    let (commands, position) = machine.state.commands_of_unnamed(request.clone());
    let Op::Change(own) = &commands[position] else {
        panic!("not a change: {commands:?}");
    };
    assert_eq!(own.change, request.change);
    let id = own.change_id.to_string();
    let mut outcomes: Vec<Outcome> = commands.into_iter().map(|op| machine.apply(op)).collect();
    match outcomes.swap_remove(position) {
        Outcome::Change(outcome) => (outcome, id),
        other => panic!("a change returned {other:?}"),
    }
}

/// Orders a rollout as one of its own; returns the id under which it is recorded.
fn order(machine: &mut Machine, target: &str, period_ms: u64) -> String {
    let request = rollout(target, period_ms);
    assert_eq!(machine.state.refusal_of_unnamed(&request), None);
    let (outcome, id) = apply_new(machine, &request);
    let ChangeOutcome::Accepted { revision } = outcome else {
        panic!("{target}: {outcome:?}");
    };
    let latest = machine.state.latest_in_same_words(&request).unwrap();
    assert_eq!((&*latest.id, latest.revision), (&*id, revision));
    assert!(latest.at_ms.is_some());
    id
}

fn set_stage(machine: &mut Machine, target: &str, stage: Stage) {
    machine.apply(Op::SetReleaseStage {
        service: "notes".into(),
        target: target.into(),
        stage,
    });
}

/// Returns target, stage and period of the latest rollout, and the stable release.
fn releases(machine: &Machine) -> (String, Stage, u64, String) {
    let releases = machine.state.releases.get("notes").unwrap();
    let rollout = releases.rollout.as_ref().unwrap();
    (
        rollout.target.to_string(),
        rollout.stage,
        rollout.period_ms,
        releases.stable.as_deref().unwrap().to_owned(),
    )
}

fn expected(
    target: &str,
    stage: Stage,
    period_ms: u64,
    stable: &str,
) -> (String, Stage, u64, String) {
    (target.to_owned(), stage, period_ms, stable.to_owned())
}

/// Guards against orders that are taken for the first one in the same words.
#[test]
fn each_order_of_its_own_begins_a_rollout_under_the_next_id_of_its_series() {
    let mut machine = machine();
    let mut ids = Vec::new();
    for period_ms in [1000, 1000, 2000] {
        for (target, stable) in [("v2", "v1"), ("v1", "v2")] {
            ids.push(order(&mut machine, target, period_ms));
            assert_eq!(
                releases(&machine),
                expected(target, Stage::Trial, period_ms, stable)
            );
            set_stage(&mut machine, target, Stage::Complete);
        }
    }
    assert_eq!(
        ids,
        [
            "release-notes-v2",
            "release-notes-v1",
            "release-notes-v2#1",
            "release-notes-v1#1",
            "release-notes-v2#2",
            "release-notes-v1#2",
        ]
    );
}

/// Guards against an order that changes nothing because the latest rollout had the same target.
#[test]
fn order_for_a_release_that_was_rolled_back_begins_a_rollout() {
    let mut machine = machine();
    for round in 0..3 {
        order(&mut machine, "v2", 1000 + round);
        assert_eq!(
            releases(&machine),
            expected("v2", Stage::Trial, 1000 + round, "v1")
        );
        set_stage(&mut machine, "v2", Stage::RolledBack);
    }
}

/// Guards against stages of a rollout to the release that has the traffic already.
#[test]
fn order_for_the_stable_release_is_complete_at_once() {
    let mut machine = machine();
    for _ in 0..2 {
        order(&mut machine, "v1", 1000);
        assert_eq!(
            releases(&machine),
            expected("v1", Stage::Complete, 1000, "v1")
        );
    }
    order(&mut machine, "v2", 1000);
    set_stage(&mut machine, "v2", Stage::RolledBack);
    order(&mut machine, "v1", 2000);
    assert_eq!(
        releases(&machine),
        expected("v1", Stage::Complete, 2000, "v1")
    );
    // A rollout to the stable release that a former build began may have been rolled back.
    machine.change("old", rollout("v2", 1000).change);
    set_stage(&mut machine, "v2", Stage::Complete);
    machine.change("older", rollout("v1", 1000).change);
    set_stage(&mut machine, "v1", Stage::RolledBack);
    machine.change("oldest", rollout("v2", 1000).change);
    set_stage(&mut machine, "v2", Stage::RolledBack);
    order(&mut machine, "v2", 3000);
    assert_eq!(
        releases(&machine),
        expected("v2", Stage::Complete, 3000, "v2")
    );
}

/// Guards against a refusal that is recorded, and so repeated for good, and against an order whose
/// period is dropped.
#[test]
fn refusal_holds_only_while_another_rollout_is_under_way() {
    let mut machine = machine();
    order(&mut machine, "v2", 1000);
    for refused in [rollout("v3", 1000), rollout("v2", 2000)] {
        let reason = machine.state.refusal_of_unnamed(&refused).unwrap();
        assert!(reason.contains("under way"), "{reason}");
    }
    assert_eq!(machine.state.refusal_of_unnamed(&rollout("v2", 1000)), None);
    let reason = machine.state.refusal_of_unnamed(&rollout("v2", 0)).unwrap();
    assert!(reason.contains("1 to"), "{reason}");
    // A former build recorded the refusal under the derived id.
    machine.change("release-notes-v3", rollout("v3", 1000).change);
    set_stage(&mut machine, "v2", Stage::Complete);
    assert_eq!(order(&mut machine, "v3", 1000), "release-notes-v3#1");
    assert_eq!(releases(&machine), expected("v3", Stage::Trial, 1000, "v2"));
}

/// Guards against an order that is found by the id of another service's or of a longer name.
#[test]
fn only_the_same_words_are_the_same_order() {
    let mut machine = machine();
    machine.change("release-notes-v2", rollout("v2", 1000).change);
    set_stage(&mut machine, "v2", Stage::Complete);
    for other in [
        rollout("v", 1000),
        rollout("v22", 1000),
        rollout("v2", 1001),
    ] {
        assert_eq!(machine.state.latest_in_same_words(&other), None);
    }
    let mut foreign = rollout("v2", 1000);
    foreign.who = "another".into();
    assert_eq!(machine.state.latest_in_same_words(&foreign), None);
    assert!(
        machine
            .state
            .latest_in_same_words(&rollout("v2", 1000))
            .is_some()
    );
    // The name of a release may look like an id of the series.
    set_stage(&mut machine, "v2", Stage::Complete);
    order(&mut machine, "v2#1", 1000);
    set_stage(&mut machine, "v2#1", Stage::Complete);
    assert_eq!(order(&mut machine, "v2", 1000), "release-notes-v2#2");
}

/// Guards against a document that stays refused after the reason has ended, and against one that is
/// applied twice.
#[test]
fn document_is_recorded_once_accepted() {
    let mut machine = machine();
    let load = |number: u64, text: &str| {
        request(Change::Load {
            inventory: Arc::new(inventory(&["notes"])),
            document: Document {
                number,
                text: text.into(),
            },
        })
    };
    let first = load(1, "one");
    assert_eq!(machine.state.latest_in_same_words(&first), None);
    let (outcome, id) = apply_new(&mut machine, &first);
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
    assert_eq!(*first.change_id, *id);
    assert!(machine.state.latest_in_same_words(&first).is_some());
    assert_eq!(machine.state.latest_in_same_words(&load(1, "other")), None);
    assert_eq!(machine.state.latest_in_same_words(&load(2, "one")), None);
}
