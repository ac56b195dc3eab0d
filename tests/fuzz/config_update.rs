//! Updates of the configuration against the plain rule that a holder then has the newest revision.

use std::sync::Arc;

use daisyquay::config;
use daisyquay::config::Inventory;
use daisyquay::config::Route;
use daisyquay::peer::ConfigUpdate;
use daisyquay::peer::ConfigView;
use daisyquay::peer::UpdateError;
use daisyquay::replica::ConfigHistory;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::assert_holds;

const INVENTORY: &str = include_str!("../../examples/inventory.toml");

#[derive(Clone, Debug)]
enum Step {
    /// A new revision with these routes, and with or without the organisations.
    Change { routes: Vec<u8>, keeps_rest: bool },
    /// A holder asks for an update.
    Update(usize),
    /// The replica loads a state with another revision.
    Restart(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::Restart(1 + u64::arbitrary(g) % 30),
            1..=3 => Self::Change {
                routes: (0..u8::arbitrary(g) % 6)
                    .map(|_| u8::arbitrary(g) % 12)
                    .collect(),
                keeps_rest: bool::arbitrary(g),
            },
            _ => Self::Update(usize::arbitrary(g) % 4),
        }
    }
}

fn route(tag: u8) -> Route {
    // Tags with the same prefix stand for a route that has changed.
    let text = format!(
        "name = \"r{tag}\"\nhost = \"h\"\nprefix = \"/{}/\"\ntimeout_ms = 1000\ntarget_ms = {}\n\
         [[split]]\nservice = \"s\"\nweight = 1\n",
        tag % 6,
        100 + u32::from(tag)
    );
    toml::from_str(&text).unwrap()
}

fn view(revision: u64, tags: &[u8], keeps_rest: bool) -> ConfigView {
    let mut routes: Vec<Route> = Vec::new();
    for route in tags.iter().map(|&tag| route(tag)) {
        routes.retain(|other| other.prefix != route.prefix);
        routes.push(route);
    }
    let rest = if keeps_rest {
        config::parse(INVENTORY).unwrap()
    } else {
        Inventory::default()
    };
    ConfigView {
        revision,
        inventory: Arc::new(Inventory { routes, ..rest }),
        ..ConfigView::default()
    }
}

/// The inventory with its routes in a fixed order, which is of no importance to routing.
fn sorted(view: &ConfigView) -> Inventory {
    let mut inventory = (*view.inventory).clone();
    inventory.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    inventory
}

fn run(steps: &[Step]) -> Result<(), String> {
    let mut history = ConfigHistory::default();
    let mut newest = view(1, &[], true);
    history.record(newest.clone());
    let mut holders = vec![ConfigView::default(); 4];
    for step in steps {
        match step {
            Step::Change { routes, keeps_rest } => {
                newest = view(newest.revision + 1, routes, *keeps_rest);
                history.record(newest.clone());
            }
            Step::Restart(revision) => {
                newest = view(*revision, &[3], true);
                history = ConfigHistory::default();
                history.record(newest.clone());
                // Holders of a revision that this log never had can't exist.
                holders.retain(|held| held.revision < *revision);
                holders.resize_with(4, ConfigView::default);
            }
            Step::Update(holder) => {
                let held = &mut holders[*holder];
                let Some(update) = history.update_from(held.revision) else {
                    if held.revision < newest.revision {
                        return Err(format!("no update from {}", held.revision));
                    }
                    continue;
                };
                *held = update.apply(held).map_err(|e| e.to_string())?;
                if held.revision != newest.revision || sorted(held) != sorted(&newest) {
                    return Err(format!("holder {holder} has {held:?}, not {newest:?}"));
                }
            }
        }
    }
    Ok(())
}

#[test]
fn holder_has_the_newest_revision_after_an_update() {
    assert_holds(60, 300, run);
}

#[test]
fn update_from_another_revision_is_rejected() {
    let update = ConfigUpdate::between(&view(3, &[1], true), &view(4, &[1, 2], true));
    let error = update.apply(&view(2, &[1], true)).unwrap_err();
    assert_eq!(error, UpdateError::OtherBase { from: 3, held: 2 });
}
