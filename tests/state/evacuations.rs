//! Orders to evacuate data centres.

use daisyquay::collections::Name;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::command::EVACUATED_LIMIT;

use crate::Machine;

fn order(data_centre: &str, active: bool) -> Change {
    Change::Evacuate {
        data_centre: data_centre.into(),
        active,
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
