//! Numbered documents: the highest number is current, and the document is read back as it was sent.

use std::sync::Arc;

use daisyquay::state::Document;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::Command;
use daisyquay::state::command::Op;
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

fn current(machine: &Machine) -> Option<Document> {
    match machine.state.query(&Query::Document) {
        Report::Document(document) => document,
        other => panic!("the document query returned {other:?}"),
    }
}

#[test]
fn accepts_and_ignores_a_lower_or_equal_number() {
    let mut machine = Machine::default();
    machine.change("a", load(7, "seven"));
    for (id, number, text) in [("b", 7, "other"), ("c", 3, "three")] {
        let outcome = machine.change(id, load(number, text));
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
        assert_eq!(&*current(&machine).unwrap().text, "seven");
        assert!(machine.state.inventory.service("seven").is_some());
    }
}

#[test]
fn retried_document_gets_its_first_outcome_after_a_newer_one() {
    let mut machine = Machine::default();
    let first = machine.change("a", load(7, "seven"));
    machine.change("b", load(9, "nine"));
    assert_eq!(machine.change("a", load(7, "seven")), first);
    assert_eq!(current(&machine).unwrap().number, 9);
}

/// Compares documents in any order, some sent twice, with a model: the highest number is current,
/// with the first text sent under it.
fn matches_model(numbers: Vec<(u8, bool)>) -> bool {
    let mut machine = Machine::default();
    let mut expected: Option<(u64, String)> = None;
    for (i, (number, send_twice)) in numbers.into_iter().enumerate() {
        let (number, text) = (u64::from(number % 16), format!("t{i}"));
        for _ in 0..=usize::from(send_twice) {
            machine.change(&format!("c{i}"), load(number, &text));
        }
        if expected
            .as_ref()
            .is_none_or(|(current, _)| number > *current)
        {
            expected = Some((number, text));
        }
    }
    current(&machine).map(|document| (document.number, document.text.to_string())) == expected
}

#[test]
fn highest_number_is_current_in_any_order() {
    QuickCheck::new().quickcheck(matches_model as fn(Vec<(u8, bool)>) -> bool);
}

/// A large configuration is stored in a fraction of its size, and read back as it was.
#[test]
fn large_command_is_compressed_in_the_log_and_small_ones_are_not() {
    let names: Vec<String> = (0..2000).map(|i| format!("service-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let text = names.join(" and a text that repeats itself, ");
    let command = |text: &str, names: &[&str]| Command {
        at_ms: 1_790_000_000_000,
        op: Op::Change(ChangeRequest {
            change_id: "a".into(),
            who: "ann".into(),
            expected_revision: None,
            change: Change::Load {
                inventory: Arc::new(inventory(names)),
                document: Document {
                    number: 7,
                    text: text.into(),
                },
            },
        }),
    };
    let large = command(&text, &names);
    let bytes = large.to_bytes();
    assert!(
        4 * bytes.len() < text.len(),
        "{} of {}",
        bytes.len(),
        text.len()
    );
    assert_eq!(Command::from_bytes(&bytes), Some(large));
    let small = command("seven", &["seven"]);
    assert_eq!(Command::from_bytes(&small.to_bytes()), Some(small));
    assert_eq!(Command::from_bytes(&bytes[..bytes.len() / 2]), None);
    assert_eq!(Command::from_bytes(&[]), None);
}
