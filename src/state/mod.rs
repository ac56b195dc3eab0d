//! The replicated state machine: every replica computes the same state from the same log.
//!
//! `command` changes the state, `query` reads it. Nothing here reads a clock: each command
//! carries the wall-clock time at which the leader proposed it.

pub mod command;
pub mod query;
mod releases;
mod tables;
mod unnamed_changes;

pub use self::releases::Releases;
pub use self::releases::ServiceReleases;
pub use self::releases::ServiceRollout;
pub use self::releases::Stage;
pub use self::tables::AuditRecord;
pub use self::tables::Bill;
pub use self::tables::Claim;
pub use self::tables::Document;
pub use self::tables::IdempotencyRecord;
pub use self::tables::Pin;
pub use self::tables::RequestId;
pub use self::tables::Rollout;
pub use self::tables::RolloutState;
pub use self::tables::State;
pub use self::tables::Target;
pub(crate) use self::tables::is_available;
pub use self::unnamed_changes::AcceptedChange;
