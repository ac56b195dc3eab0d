//! The replicated state machine: numbered documents, releases and announcements.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod announcements;
mod documents;
mod evacuations;
mod full_disk;
mod releases;
mod unnamed_changes;

use daisyquay::config::Inventory;
use daisyquay::config::Service;
use daisyquay::state::State;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::Command;
use daisyquay::state::command::Op;
use daisyquay::state::command::Outcome;

/// The state machine with the log index of the last command.
#[derive(Default)]
pub(crate) struct Machine {
    pub(crate) state: State,
    index: u64,
}

impl Machine {
    pub(crate) fn apply(&mut self, op: Op) -> Outcome {
        self.index += 1;
        let at_ms = 1_000 * self.index;
        self.state.apply(self.index, Command { at_ms, op })
    }

    pub(crate) fn change(&mut self, id: &str, change: Change) -> ChangeOutcome {
        let request = ChangeRequest {
            change_id: id.into(),
            who: "test".into(),
            expected_revision: None,
            change,
        };
        match self.apply(Op::Change(request)) {
            Outcome::Change(outcome) => outcome,
            other => panic!("a change returned {other:?}"),
        }
    }
}

/// Returns an inventory with these services.
pub(crate) fn inventory(services: &[&str]) -> Inventory {
    let service = |name: &&str| Service {
        name: (**name).into(),
        not_repeatable: Vec::new(),
        connections: 0,
        engine: None,
        cold_per_s: 0.0,
        cold_start_ms: 0,
    };
    Inventory {
        services: services.iter().map(service).collect(),
        ..Inventory::default()
    }
}
