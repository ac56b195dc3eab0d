//! Fuzzes the directory: an incarnation that has left never returns, in whatever order
//! announcements and leaves arrive.

use std::collections::BTreeMap;

use daisyquay::config;
use daisyquay::state::State;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::Command;
use daisyquay::state::command::Op;
use daisyquay::upstream::Announcement;
use daisyquay::upstream::Directory;
use daisyquay::upstream::Presence;
use daisyquay::upstream::Serves;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::assert_holds;

const INVENTORY: &str = include_str!("../../examples/inventory.toml");
const STEPS: usize = 80;

/// Most rows that a follower merges at once.
const PIECE_ROWS: usize = 2;

const SCHEDULES: u64 = 1000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Announce {
        id: u8,
        incarnation: u8,
    },
    Leave {
        id: u8,
        incarnation: u8,
    },
    Sweep,
    /// A follower merges the rows that changed since its last merge, in pieces.
    Follow,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u8::arbitrary(g) % 3;
        let incarnation = u8::arbitrary(g) % 6;
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Announce { id, incarnation },
            4..=5 => Self::Leave { id, incarnation },
            6 => Self::Sweep,
            _ => Self::Follow,
        }
    }
}

fn announcement(id: u8, incarnation: u8) -> Announcement {
    Announcement {
        id: format!("u{id}").into(),
        incarnation: incarnation.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc1".into(),
        serves: Serves::Versions(vec!["notes@small".parse().unwrap()]),
        slots: 4,
        fences_orders: false,
        release: None,
        started_ms: None,
        draining: false,
        cold_ms: 0,
    }
}

fn run(steps: &[Step]) -> Result<(), String> {
    let mut state = State::default();
    let mut index = 1;
    let inventory = config::parse(INVENTORY).unwrap();
    let first = Op::Change(ChangeRequest {
        change_id: "first".into(),
        who: "ann".into(),
        expected_revision: None,
        change: Change::Apply(inventory.into()),
    });
    state.apply(
        index,
        Command {
            at_ms: 1,
            op: first,
        },
    );
    let mut first_allowed_incarnations: BTreeMap<u8, u8> = BTreeMap::new();
    let mut follower = Directory::default();
    let mut merged_index = 0;
    for step in steps {
        index += 1;
        let op = match *step {
            Step::Announce { id, incarnation } => Op::Announce(announcement(id, incarnation)),
            Step::Leave { id, incarnation } => {
                let known = state.directory.get(&format!("u{id}"));
                let is_present =
                    known.is_some_and(|row| row.announced.incarnation <= u64::from(incarnation));
                if is_present {
                    let known = known.map_or(0, |row| row.announced.incarnation);
                    let first_allowed = first_allowed_incarnations.entry(id).or_default();
                    *first_allowed = (*first_allowed).max(u8::try_from(known).unwrap() + 1);
                }
                Op::Leave {
                    id: format!("u{id}").into(),
                    incarnation: incarnation.into(),
                }
            }
            Step::Sweep => Op::Sweep,
            Step::Follow => {
                loop {
                    let (rows, rest) = state.directory.changed_after(merged_index, PIECE_ROWS);
                    follower.merge(rows);
                    merged_index = rest.unwrap_or(state.applied);
                    if rest.is_none() {
                        break;
                    }
                }
                let is_same = state.directory.iter().all(|row| {
                    follower.get(&row.announced.id).is_some_and(|known| {
                        known.presence == row.presence && known.announced == row.announced
                    })
                });
                if !is_same {
                    return Err("a follower differs after it merged the changes".to_owned());
                }
                continue;
            }
        };
        state.apply(index, Command { at_ms: index, op });
        for row in state.directory.iter() {
            let id: u8 = row.announced.id[1..].parse().unwrap();
            let first_allowed = first_allowed_incarnations.get(&id).copied().unwrap_or(0);
            if row.presence == Presence::Live
                && row.announced.incarnation < u64::from(first_allowed)
            {
                return Err(format!("{row:?} returned after it had left"));
            }
        }
    }
    Ok(())
}

#[test]
fn no_incarnation_returns_after_it_left() {
    assert_holds(STEPS, SCHEDULES, run);
}
