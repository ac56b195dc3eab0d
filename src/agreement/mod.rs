//! Raft consensus on one replicated log: leader election with pre-vote and check quorum, log
//! replication, snapshots, and single-step membership changes through learners.
//!
//! This module does no I/O and reads no clock. [`Node`] takes an input and the current time and
//! returns [`Effects`]; the caller in `replica` writes, syncs and sends.

mod log;
mod membership;
mod message;
mod node;
mod progress;

pub use self::log::Log;
pub use self::membership::Change;
pub use self::membership::Member;
pub use self::membership::Membership;
pub use self::message::Body;
pub use self::message::Entry;
pub use self::message::HardState;
pub use self::message::Index;
pub use self::message::Message;
pub use self::message::Payload;
pub use self::message::ReplicaId;
pub use self::message::Snapshot;
pub use self::message::Term;
pub use self::node::Effects;
pub use self::node::Node;
pub use self::node::Persist;
pub use self::node::ProposeError;
pub use self::node::Restored;
pub use self::node::Role;
pub use self::node::Settings;
