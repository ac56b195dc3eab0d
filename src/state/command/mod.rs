//! Commands: log entries that change the state.

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
pub use self::change::EVACUATED_LIMIT;
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
use crate::codec;
use crate::collections::Name;
use crate::upstream::AnnounceOutcome;
use crate::upstream::Announcement;

/// One command of the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// Time of the proposal by the leader's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operation to apply.
    pub op: Op,
}

/// Encoded size from which a command is compressed, in bytes. The log holds a large configuration
/// several times: in memory, on disk and in the messages to the other replicas.
const MIN_COMPRESSED_BYTES: usize = 16 * 1024;

/// First byte of a compressed command. No encoded command begins with it: it is no marker of an
/// integer, and the encoding begins with [`Command::at_ms`].
const COMPRESSED: u8 = 0xff;

impl Command {
    /// Encodes the command for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        let encoded = codec::encode(self);
        if encoded.len() < MIN_COMPRESSED_BYTES {
            return encoded;
        }
        let mut bytes = vec![COMPRESSED];
        bytes.extend(codec::compress(&encoded));
        bytes
    }

    /// Decodes a command of the log; `None` if the bytes are not one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first()? {
            (&COMPRESSED, compressed) => codec::decode(&codec::decompress(compressed)?).ok(),
            _ => codec::decode(bytes).ok(),
        }
    }
}

/// Operation of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Op {
    /// Applies an operator's change.
    Change(ChangeRequest),
    /// Applies ledger operations in order.
    Ledger(Vec<LedgerOp>),
    /// Pins a session to a version.
    Pin(PinRequest),
    /// Adds or updates an upstream.
    Announce(Announcement),
    /// Marks an upstream without recent heartbeats as silent.
    MarkSilent {
        /// Upstream.
        id: Name,
        /// Incarnation without recent heartbeats.
        incarnation: u64,
    },
    /// Marks an upstream as left; its incarnation never returns.
    Leave {
        /// Upstream.
        id: Name,
        /// Incarnation that leaves.
        incarnation: u64,
    },
    /// Sets the stage of a service's rollout.
    SetReleaseStage {
        /// Service.
        service: Name,
        /// Target release of the rollout; has no effect if the rollout has another target by now.
        target: Name,
        /// Stage to set.
        stage: Stage,
    },
    /// Removes expired pins, idempotency keys and upstreams.
    Sweep,
}

/// Result of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// Result of a change.
    Change(ChangeOutcome),
    /// Results of the ledger operations, in their order.
    Ledger(Vec<LedgerOutcome>),
    /// Result of a pin.
    Pin(PinOutcome),
    /// Result of an announcement.
    Announce(AnnounceOutcome),
    /// Any other command was applied; it has no result.
    Done,
}

impl State {
    /// Applies the committed command at log index `index`.
    pub fn apply(&mut self, index: Index, command: Command) -> Outcome {
        self.applied = index;
        let at_ms = command.at_ms;
        match command.op {
            Op::Change(request) => Outcome::Change(self.apply_change_request(request, at_ms)),
            Op::Ledger(ops) => {
                let outcomes = ops
                    .into_iter()
                    .map(|op| self.apply_ledger_op(op, at_ms))
                    .collect();
                Outcome::Ledger(outcomes)
            }
            Op::Pin(request) => Outcome::Pin(self.pin_session(request, at_ms)),
            Op::SetReleaseStage {
                service,
                target,
                stage,
            } => {
                if self.releases.set_stage(&service, &target, stage, at_ms) {
                    self.increment_revision(&"guard".into());
                }
                Outcome::Done
            }
            Op::Announce(announcement) => {
                let inventory = self.inventory.clone();
                if self.releases.record_release(&announcement) {
                    self.increment_revision(&"guard".into());
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
                self.remove_expired(at_ms);
                Outcome::Done
            }
        }
    }
}
