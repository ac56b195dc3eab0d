//! Announcements of upstreams: late, repeated and from former incarnations.

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

fn announcement(id: &str, incarnation: u64) -> Announcement {
    Announcement {
        id: id.into(),
        incarnation,
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "dc1".into(),
        serves: Serves::Service("notes".into()),
        slots: 4,
        fences_orders: false,
        release: Some("v1".into()),
        started_ms: Some(incarnation),
        draining: false,
        cold_ms: 0,
    }
}

fn announce(machine: &mut Machine, announcement: &Announcement) -> AnnounceOutcome {
    match machine.apply(Op::Announce(announcement.clone())) {
        Outcome::Announce(outcome) => outcome,
        other => panic!("an announcement returned {other:?}"),
    }
}

/// Returns an announcement of a cold upstream.
fn cold(id: &str, incarnation: u64, cold_ms: u64) -> Announcement {
    Announcement {
        cold_ms,
        ..announcement(id, incarnation)
    }
}

fn live(machine: &Machine) -> Vec<(String, u64)> {
    let live = machine.state.directory.live();
    live.map(|a| (a.id.to_string(), a.incarnation)).collect()
}

#[test]
fn late_announcement_does_not_undo_a_drain_of_the_same_incarnation() {
    let mut machine = machine();
    announce(&mut machine, &announcement("u", 5));
    let draining = Announcement {
        draining: true,
        ..announcement("u", 5)
    };
    assert_eq!(announce(&mut machine, &draining), AnnounceOutcome::Accepted);
    assert_eq!(
        announce(&mut machine, &announcement("u", 5)),
        AnnounceOutcome::Stale
    );
    assert!(live(&machine).is_empty());
}

#[test]
fn new_incarnation_of_an_upstream_that_left_is_live() {
    let mut machine = machine();
    announce(&mut machine, &announcement("u", 5));
    machine.apply(Op::Leave {
        id: "u".into(),
        incarnation: 5,
    });
    assert_eq!(
        announce(&mut machine, &announcement("u", 5)),
        AnnounceOutcome::Stale
    );
    assert_eq!(
        announce(&mut machine, &announcement("u", 6)),
        AnnounceOutcome::Accepted
    );
    assert_eq!(live(&machine), [("u".to_owned(), 6)]);
}

#[test]
fn address_belongs_to_the_upstream_that_started_there_last() {
    let mut machine = machine();
    announce(&mut machine, &announcement("former", 5));
    let later = Announcement {
        serves: Serves::Service("tiles".into()),
        ..announcement("later", 8)
    };
    announce(&mut machine, &later);
    assert_eq!(live(&machine), [("later".to_owned(), 8)]);
    // A delayed announcement of the former upstream.
    let late = Announcement {
        slots: 5,
        ..announcement("former", 5)
    };
    assert_eq!(announce(&mut machine, &late), AnnounceOutcome::Stale);
    assert_eq!(live(&machine), [("later".to_owned(), 8)]);
}

/// Guards against a sender that has stopped and is told that the directory is full.
#[test]
fn late_announcement_is_stale_also_where_the_directory_is_full() {
    let mut machine = machine();
    announce(&mut machine, &announcement("later", 8));
    let row = machine.state.directory.get("later").unwrap().clone();
    let rows = (1..20_000).map(|i| {
        let mut row = row.clone();
        row.announced.id = format!("u{i}").into();
        row.announced.address.set_port(1_000 + i);
        row
    });
    machine.state.directory.merge(rows.collect());
    let late = announcement("former", 5);
    let state = &machine.state;
    assert_eq!(state.directory.rejection(&late, &state.inventory), None);
    assert_eq!(announce(&mut machine, &late), AnnounceOutcome::Stale);
    let new = announcement("new", 9);
    let outcome = announce(&mut machine, &new);
    assert!(matches!(outcome, AnnounceOutcome::Rejected(_)));
}

#[test]
fn directory_contains_only_an_identical_announcement() {
    let mut machine = machine();
    announce(&mut machine, &announcement("u", 5));
    // An announcement that the directory contains is not written to the log again.
    let directory = &machine.state.directory;
    assert!(directory.contains(&announcement("u", 5)));
    assert!(!directory.contains(&announcement("u", 6)));
    let draining = Announcement {
        draining: true,
        ..announcement("u", 5)
    };
    assert!(!directory.contains(&draining));
}

#[test]
fn silent_upstream_is_live_again_after_an_announcement() {
    let mut machine = machine();
    announce(&mut machine, &announcement("u", 5));
    machine.apply(Op::MarkSilent {
        id: "u".into(),
        incarnation: 5,
    });
    assert!(live(&machine).is_empty());
    assert!(!machine.state.directory.contains(&announcement("u", 5)));
    assert_eq!(
        announce(&mut machine, &announcement("u", 5)),
        AnnounceOutcome::Accepted
    );
    assert_eq!(live(&machine), [("u".to_owned(), 5)]);
    // A leave is final, also for a silent upstream.
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
        announce(&mut machine, &announcement("u", 5)),
        AnnounceOutcome::Stale
    );
}

/// Guards against a command of the log for each heartbeat of a cold upstream.
#[test]
fn only_a_change_between_cold_and_warm_or_a_longer_cold_period_changes_the_directory() {
    let mut machine = machine();
    announce(&mut machine, &cold("u", 5, 8_000));
    let row = machine.state.directory.get("u").unwrap().clone();
    for cold_ms in [1, 6_800, 8_000] {
        assert!(machine.state.directory.contains(&cold("u", 5, cold_ms)));
        let outcome = announce(&mut machine, &cold("u", 5, cold_ms));
        assert_eq!(outcome, AnnounceOutcome::Accepted);
        assert_eq!(machine.state.directory.get("u"), Some(&row));
    }
    // Cold once more before it was warm: gateways would otherwise take it for warm too early.
    assert!(!machine.state.directory.contains(&cold("u", 5, 9_000)));
    announce(&mut machine, &cold("u", 5, 9_000));
    let longer = machine.state.directory.get("u").unwrap().clone();
    assert!(longer.changed_at > row.changed_at && longer.announced.cold_ms == 9_000);
    assert!(!machine.state.directory.contains(&cold("u", 5, 0)));
    announce(&mut machine, &cold("u", 5, 0));
    let warm = machine.state.directory.get("u").unwrap().clone();
    assert!(warm.changed_at > longer.changed_at && warm.number == row.number);
    assert!(!machine.state.directory.contains(&cold("u", 5, 300)));
    announce(&mut machine, &cold("u", 5, 300));
    let again = machine.state.directory.get("u").unwrap();
    assert_eq!(again.announced.cold_ms, 300);
    assert!(again.changed_at > warm.changed_at);
}

#[test]
fn restarted_upstream_is_a_new_incarnation_as_cold_as_it_reports() {
    let mut machine = machine();
    announce(&mut machine, &announcement("u", 5));
    let former = machine.state.directory.get("u").unwrap().number;
    announce(&mut machine, &cold("u", 6, 7_000));
    let restarted = machine.state.directory.get("u").unwrap().clone();
    assert_ne!(restarted.number, former);
    assert_eq!(restarted.announced.cold_ms, 7_000);
    // Delayed heartbeats of the former incarnation.
    for late in [announcement("u", 5), cold("u", 5, 2_000)] {
        assert!(!machine.state.directory.contains(&late));
        assert_eq!(announce(&mut machine, &late), AnnounceOutcome::Stale);
        assert_eq!(machine.state.directory.get("u"), Some(&restarted));
    }
}

/// Guards against a heartbeat of another writer that changes what is known of an upstream.
#[test]
fn announcement_that_is_not_valid_changes_nothing() {
    let mut machine = machine();
    announce(&mut machine, &cold("u", 5, 400));
    let known = machine.state.directory.clone();
    let unknown_service = Announcement {
        serves: Serves::Service("unknown".into()),
        ..announcement("u", 6)
    };
    let without_slots = Announcement {
        slots: 0,
        ..announcement("u", 6)
    };
    let without_port = Announcement {
        address: "10.0.0.9:0".parse().unwrap(),
        ..announcement("u", 6)
    };
    for invalid in [unknown_service, without_slots, without_port] {
        for id in ["u", "new"] {
            let invalid = Announcement {
                id: id.into(),
                ..invalid.clone()
            };
            assert!(!machine.state.directory.contains(&invalid));
            // The leader rejects it without a command of the log.
            let rejection = known.rejection(&invalid, &machine.state.inventory);
            assert!(rejection.is_some(), "{invalid:?}");
            let outcome = announce(&mut machine, &invalid);
            assert!(
                matches!(outcome, AnnounceOutcome::Rejected(_)),
                "{invalid:?}"
            );
            assert_eq!(machine.state.directory, known);
        }
    }
}
