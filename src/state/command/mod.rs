//! Commands: all that changes the state.

mod change;
mod ledger;
mod rollout;
mod session;
mod sweep;

use serde::Deserialize;
use serde::Serialize;

pub use self::change::Change;
pub use self::change::ChangeOutcome;
pub use self::change::ChangeRequest;
pub use self::ledger::CascadeStep;
pub use self::ledger::ClaimOutcome;
pub use self::ledger::Ending;
pub use self::ledger::LedgerOp;
pub use self::ledger::LedgerOutcome;
pub use self::ledger::Rating;
pub use self::ledger::Settlement;
pub use self::session::PinOutcome;
pub use self::session::PinRequest;

use super::Stage;
use super::State;
use crate::agreement::Index;
use crate::collections::Name;
use crate::upstream::AnnounceOutcome;
use crate::upstream::Announcement;

/// One command of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// The proposing leader's wall clock, in milliseconds since the epoch.
    pub at_ms: u64,
    /// What to do.
    pub op: Op,
}

/// What a command does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Op {
    /// An operator's change.
    Change(ChangeRequest),
    /// Steps of the ledger, in order.
    Ledger(Vec<LedgerOp>),
    /// Pins a session.
    Pin(PinRequest),
    /// An upstream has come.
    Announce(Announcement),
    /// An upstream has not been heard for long.
    MarkSilent {
        /// Upstream.
        id: Name,
        /// Incarnation that is silent.
        incarnation: u64,
    },
    /// An upstream leaves.
    Leave {
        /// Upstream.
        id: Name,
        /// Incarnation that leaves.
        incarnation: u64,
    },
    /// The leader moves a service's roll-out on.
    SetReleaseStage {
        /// Service.
        service: Name,
        /// Release that the step is about; another one makes it void.
        target: Name,
        /// Next stage.
        stage: Stage,
    },
    /// Drops what has expired.
    Sweep,
}

/// What a command answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// To a change.
    Change(ChangeOutcome),
    /// To ledger steps, one each.
    Ledger(Vec<LedgerOutcome>),
    /// To a pin.
    Pin(PinOutcome),
    /// To an announcement.
    Announce(AnnounceOutcome),
    /// To a leave or a sweep.
    Done,
}

impl State {
    /// Applies one committed command.
    pub fn apply(&mut self, index: Index, command: Command) -> Outcome {
        self.applied = index;
        let at_ms = command.at_ms;
        match command.op {
            Op::Change(request) => Outcome::Change(self.change(request, at_ms)),
            Op::Ledger(ops) => {
                let each = ops.into_iter().map(|op| self.ledger(op, at_ms)).collect();
                Outcome::Ledger(each)
            }
            Op::Pin(request) => Outcome::Pin(self.pin_session(request, at_ms)),
            Op::SetReleaseStage {
                service,
                target,
                stage,
            } => {
                if self.releases.set_stage(&service, &target, stage, at_ms) {
                    self.revise(&"guard".into());
                }
                Outcome::Done
            }
            Op::Announce(announcement) => {
                let inventory = self.inventory.clone();
                if self.releases.record_release(&announcement) {
                    self.revise(&"guard".into());
                }
                let outcome = self.directory.announce(announcement, &inventory, index);
                Outcome::Announce(outcome)
            }
            Op::MarkSilent { id, incarnation } => {
                self.directory.mark_silent(&id, incarnation, index);
                Outcome::Done
            }
            Op::Leave { id, incarnation } => {
                self.directory.leave(&id, incarnation, index);
                Outcome::Done
            }
            Op::Sweep => {
                self.sweep(at_ms);
                Outcome::Done
            }
        }
    }
}
