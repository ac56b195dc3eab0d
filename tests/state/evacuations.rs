//! Orders to evacuate data centres.

use std::sync::Arc;

use daisyquay::collections::Name;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::command::EVACUATED_LIMIT;
use daisyquay::state::command::Op;
use daisyquay::upstream::Announcement;
use daisyquay::upstream::Serves;

use crate::Machine;
use crate::inventory;

fn order(data_centre: &str, active: bool) -> Change {
    Change::Evacuate {
        data_centre: data_centre.into(),
        active,
        expected_orders: None,
    }
}

fn order_after(orders: u64, data_centre: &str, active: bool) -> Change {
    Change::Evacuate {
        data_centre: data_centre.into(),
        active,
        expected_orders: Some(orders),
    }
}

fn evacuated(machine: &Machine) -> Vec<Name> {
    machine.state.evacuated.iter().cloned().collect()
}

/// Guards against revisions that repeated orders make, each of which every gateway would fetch.
#[test]
fn repeated_order_is_accepted_without_a_new_revision() {
    let mut machine = Machine::default();
    let accepted = |revision| ChangeOutcome::Accepted { revision };
    assert_eq!(machine.change("a", order("dc1", false)), accepted(0));
    assert_eq!(machine.change("b", order("dc1", true)), accepted(1));
    assert_eq!(machine.change("c", order("dc1", true)), accepted(1));
    assert_eq!(machine.change("b", order("dc1", true)), accepted(1));
    assert_eq!(machine.change("d", order("dc2", true)), accepted(2));
    assert_eq!(evacuated(&machine), ["dc1".into(), "dc2".into()]);
    assert_eq!(machine.change("e", order("dc1", false)), accepted(3));
    assert_eq!(machine.change("f", order("dc1", false)), accepted(3));
    assert_eq!(machine.change("g", order("dc1", true)), accepted(4));
    assert_eq!(machine.state.revision, 4);
    assert_eq!(evacuated(&machine), ["dc1".into(), "dc2".into()]);
}

/// Guards against a resent order that undoes a later one.
#[test]
fn resent_order_changes_nothing_after_an_opposite_one() {
    let mut machine = Machine::default();
    machine.change("a", order("dc1", true));
    machine.change("b", order("dc1", false));
    machine.change("a", order("dc1", true));
    assert!(evacuated(&machine).is_empty());
}

/// Guards against a late copy of an order that undoes a later one which changed nothing and so made
/// no revision.
#[test]
fn order_does_not_apply_after_a_repeated_one() {
    let mut machine = Machine::default();
    let accepted = |revision| ChangeOutcome::Accepted { revision };
    assert_eq!(machine.change("a", order("dc1", true)), accepted(1));
    assert_eq!(
        machine.change("b", order_after(1, "dc1", true)),
        accepted(1)
    );
    assert_eq!(
        machine.change("late", order_after(1, "dc1", false)),
        ChangeOutcome::EvacuationConflict { orders: 2 }
    );
    assert_eq!(evacuated(&machine), ["dc1".into()]);
    // A retry and a refused order don't count.
    assert_eq!(
        machine.change("b", order_after(1, "dc1", true)),
        accepted(1)
    );
    machine.change("invalid", order("", false));
    assert_eq!(machine.state.evacuation_orders, 2);
}

/// Guards against a retry under the same id that is refused as another change, that repeats the order
/// or that can never apply because an earlier attempt met a conflict.
#[test]
fn order_sent_again_under_its_id_has_one_effect_and_one_outcome() {
    let mut machine = Machine::default();
    let accepted = |revision| ChangeOutcome::Accepted { revision };
    machine.change("other", order_after(0, "dc2", true));
    assert_eq!(
        machine.change("a", order_after(0, "dc1", true)),
        ChangeOutcome::EvacuationConflict { orders: 1 }
    );
    assert_eq!(
        machine.change("a", order_after(1, "dc1", true)),
        accepted(2)
    );
    machine.change("b", order_after(2, "dc1", false));
    for orders in [0, 1, 3] {
        let repeated = machine.change("a", order_after(orders, "dc1", true));
        assert_eq!(repeated, accepted(2));
    }
    assert_eq!(evacuated(&machine), ["dc2".into()]);
    let opposite = machine.change("a", order_after(3, "dc1", false));
    assert!(matches!(opposite, ChangeOutcome::Refused { .. }));
}

/// Guards against an order that is not acknowledged while configurations change.
#[test]
fn order_applies_whatever_configurations_came_first() {
    let mut machine = Machine::default();
    let expected = machine.state.evacuation_orders;
    for revision in 1..=3 {
        let change = Change::Apply(Arc::new(inventory(&["notes"])));
        machine.change(&format!("apply-{revision}"), change);
    }
    assert_eq!(
        machine.change("begin", order_after(expected, "dc1", true)),
        ChangeOutcome::Accepted { revision: 4 }
    );
}

/// Guards against a state that grows without a bound, or with names that no upstream can have.
#[test]
fn refuses_invalid_names_and_more_data_centres_than_the_limit() {
    let mut machine = Machine::default();
    for name in ["".to_owned(), "d".repeat(65)] {
        for active in [true, false] {
            let outcome = machine.change(&format!("{active}-{name}"), order(&name, active));
            assert!(matches!(outcome, ChangeOutcome::Refused { .. }));
        }
    }
    for i in 0..EVACUATED_LIMIT {
        machine.change(&format!("fill-{i}"), order(&format!("dc{i}"), true));
    }
    let full = machine.change("full", order("one-more", true));
    assert!(matches!(full, ChangeOutcome::Refused { .. }));
    assert_eq!(machine.state.evacuated.len(), EVACUATED_LIMIT);
    let repeated = machine.change("repeated", order("dc7", true));
    assert!(matches!(repeated, ChangeOutcome::Accepted { .. }));
    machine.change("finish", order("dc7", false));
    let accepted = machine.change("again", order("one-more", true));
    assert!(matches!(accepted, ChangeOutcome::Accepted { .. }));
}

fn announce(machine: &mut Machine, number: u8, data_centre: &str, release: &str) {
    machine.apply(Op::Announce(Announcement {
        id: format!("u{number}").into(),
        incarnation: 1,
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        data_centre: data_centre.into(),
        serves: Serves::Service("notes".into()),
        slots: 4,
        fences_orders: false,
        release: Some(release.into()),
        started_ms: None,
        draining: false,
        cold_ms: 0,
    }));
}

/// Guards against a rollout that goes on, or waits, because of upstreams that get no requests.
#[test]
fn upstreams_in_an_evacuated_data_centre_count_neither_for_nor_against_a_release() {
    let mut machine = Machine::default();
    machine.change("a", Change::Apply(Arc::new(inventory(&["notes"]))));
    for number in 1..=4 {
        announce(&mut machine, number, "dc1", "v1");
    }
    announce(&mut machine, 5, "dc2", "v1");
    announce(&mut machine, 6, "dc2", "v2");
    let is_ready = |machine: &Machine| {
        machine
            .state
            .has_enough_upstreams(&"notes".into(), &"v2".into())
    };
    assert!(!is_ready(&machine));
    machine.change("b", order("dc1", true));
    assert!(is_ready(&machine));
    machine.change("c", order("dc2", true));
    assert!(!is_ready(&machine));
    machine.change("d", order("dc1", false));
    assert!(!is_ready(&machine));
}

/// Guards against an evacuation that can't be finished once its upstreams are forgotten.
#[test]
fn data_centres_of_the_directory_and_evacuated_ones_are_known() {
    let mut machine = Machine::default();
    machine.change("a", Change::Apply(Arc::new(inventory(&["notes"]))));
    announce(&mut machine, 1, "dc1", "v1");
    machine.change("b", order("dc2", true));
    let knows = |data_centre: &str| machine.state.knows_data_centre(&data_centre.into());
    assert_eq!(["dc1", "dc2", "dc3"].map(knows), [true, true, false]);
}
