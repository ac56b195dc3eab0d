//! Numbered documents: the highest number holds, and is read back as it was sent.

use std::sync::Arc;

use daisyquay::state::Document;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::query::Query;
use daisyquay::state::query::Report;
use quickcheck::QuickCheck;

use crate::Machine;
use crate::inventory;

fn load(number: u64, text: &str) -> Change {
    Change::Load {
        inventory: Arc::new(inventory(&[text])),
        document: Document {
            number,
            text: text.into(),
        },
    }
}

fn held(machine: &Machine) -> Option<Document> {
    match machine.state.query(&Query::Document) {
        Report::Document(document) => document,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_lower_or_equal_number_is_accepted_and_changes_nothing() {
    let mut machine = Machine::default();
    machine.change("a", load(7, "seven"));
    for (id, number, text) in [("b", 7, "other"), ("c", 3, "three")] {
        let outcome = machine.change(id, load(number, text));
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
        assert_eq!(&*held(&machine).unwrap().text, "seven");
        assert!(machine.state.inventory.service("seven").is_some());
    }
}

#[test]
fn a_resent_document_gets_its_first_answer_whatever_came_between() {
    let mut machine = Machine::default();
    let first = machine.change("a", load(7, "seven"));
    machine.change("b", load(9, "nine"));
    assert_eq!(machine.change("a", load(7, "seven")), first);
    assert_eq!(held(&machine).unwrap().number, 9);
}

/// Documents in any order, resent or not, against the oracle that the highest number holds with the
/// first text that came under it.
fn highest_holds(numbers: Vec<(u8, bool)>) -> bool {
    let mut machine = Machine::default();
    let mut oracle: Option<(u64, String)> = None;
    for (i, (number, resend)) in numbers.into_iter().enumerate() {
        let (number, text) = (u64::from(number % 16), format!("t{i}"));
        for _ in 0..=usize::from(resend) {
            machine.change(&format!("c{i}"), load(number, &text));
        }
        if oracle.as_ref().is_none_or(|(held, _)| number > *held) {
            oracle = Some((number, text));
        }
    }
    held(&machine).map(|document| (document.number, document.text.to_string())) == oracle
}

#[test]
fn the_highest_number_holds_in_any_order() {
    QuickCheck::new().quickcheck(highest_holds as fn(Vec<(u8, bool)>) -> bool);
}
