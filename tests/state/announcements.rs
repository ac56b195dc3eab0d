//! What upstreams say of themselves, late, twice and from former starts.

use std::sync::Arc;

use daisyquay::state::command::Change;
use daisyquay::state::command::Op;
use daisyquay::state::command::Outcome;
use daisyquay::upstream::AnnounceOutcome;
use daisyquay::upstream::Announcement;
use daisyquay::upstream::Serves;

use crate::Machine;
use crate::inventory;

fn machine() -> Machine {
    let mut machine = Machine::default();
    machine.change("a", Change::Apply(Arc::new(inventory(&["notes", "tiles"]))));
    machine
}

fn said(id: &str, born: u64) -> Announcement {
    Announcement {
        id: id.into(),
        incarnation: born,
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "dc1".into(),
        serves: Serves::Service("notes".into()),
        slots: 4,
        fences_orders: false,
        release: Some("v1".into()),
        started_ms: Some(born),
        draining: false,
    }
}

fn announce(machine: &mut Machine, announcement: &Announcement) -> AnnounceOutcome {
    match machine.apply(Op::Announce(announcement.clone())) {
        Outcome::Announce(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn live(machine: &Machine) -> Vec<(String, u64)> {
    let live = machine.state.directory.live();
    live.map(|a| (a.id.to_string(), a.incarnation)).collect()
}

#[test]
fn a_drain_is_not_undone_by_a_late_report_of_the_same_start() {
    let mut machine = machine();
    announce(&mut machine, &said("u", 5));
    let draining = Announcement {
        draining: true,
        ..said("u", 5)
    };
    assert_eq!(announce(&mut machine, &draining), AnnounceOutcome::Accepted);
    assert_eq!(
        announce(&mut machine, &said("u", 5)),
        AnnounceOutcome::Stale
    );
    assert!(live(&machine).is_empty());
}

#[test]
fn a_new_start_under_the_same_name_takes_work_again() {
    let mut machine = machine();
    announce(&mut machine, &said("u", 5));
    machine.apply(Op::Leave {
        id: "u".into(),
        incarnation: 5,
    });
    assert_eq!(
        announce(&mut machine, &said("u", 5)),
        AnnounceOutcome::Stale
    );
    assert_eq!(
        announce(&mut machine, &said("u", 6)),
        AnnounceOutcome::Accepted
    );
    assert_eq!(live(&machine), [("u".to_owned(), 6)]);
}

#[test]
fn an_address_belongs_to_the_upstream_that_started_there_last() {
    let mut machine = machine();
    announce(&mut machine, &said("former", 5));
    let later = Announcement {
        serves: Serves::Service("tiles".into()),
        ..said("later", 8)
    };
    announce(&mut machine, &later);
    assert_eq!(live(&machine), [("later".to_owned(), 8)]);
    // A report of the former one that was held up on its way.
    let late = Announcement {
        slots: 5,
        ..said("former", 5)
    };
    assert_eq!(announce(&mut machine, &late), AnnounceOutcome::Stale);
    assert_eq!(live(&machine), [("later".to_owned(), 8)]);
}

#[test]
fn only_what_changes_something_is_worth_a_write() {
    let mut machine = machine();
    announce(&mut machine, &said("u", 5));
    let directory = &machine.state.directory;
    assert!(directory.contains(&said("u", 5)));
    assert!(!directory.contains(&said("u", 6)));
    let draining = Announcement {
        draining: true,
        ..said("u", 5)
    };
    assert!(!directory.contains(&draining));
}

#[test]
fn one_that_was_silent_takes_work_again_once_it_is_heard() {
    let mut machine = machine();
    announce(&mut machine, &said("u", 5));
    machine.apply(Op::MarkSilent {
        id: "u".into(),
        incarnation: 5,
    });
    assert!(live(&machine).is_empty());
    assert!(!machine.state.directory.contains(&said("u", 5)));
    assert_eq!(
        announce(&mut machine, &said("u", 5)),
        AnnounceOutcome::Accepted
    );
    assert_eq!(live(&machine), [("u".to_owned(), 5)]);
    // A leave is final, also for one that is silent.
    for op in [
        Op::MarkSilent {
            id: "u".into(),
            incarnation: 5,
        },
        Op::Leave {
            id: "u".into(),
            incarnation: 5,
        },
    ] {
        machine.apply(op);
    }
    assert_eq!(
        announce(&mut machine, &said("u", 5)),
        AnnounceOutcome::Stale
    );
}
