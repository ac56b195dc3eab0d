//! Log entries, persistent state and the messages between replicas.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Membership;

/// A Raft term; each term has at most one leader.
pub type Term = u64;

/// A position in the log; the first entry has index 1.
pub type Index = u64;

/// Identity of a replica, bound to its disk. A replaced disk gets a new identity: it has lost the
/// votes and entries that the old disk had acknowledged, so it must not count as the same replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// An empty entry that a new leader appends so that entries of earlier terms become committed.
    Noop,
    /// An encoded command of the state machine.
    Command(Vec<u8>),
    /// The membership that applies from this entry on, even before the entry is committed.
    Membership(Membership),
}

impl Payload {
    /// Returns the size of the command, in bytes; 0 for other entries.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Command(data) => data.len(),
            Self::Noop | Self::Membership(_) => 0,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Content of the entry.
    pub payload: Payload,
}

/// The term and vote, which must be durable before a replica replies to a vote or append request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Latest term that this replica has seen.
    pub term: Term,
    /// Candidate that this replica voted for in `term`; `None` if it has not voted.
    pub vote: Option<ReplicaId>,
}

/// The state machine after one index; it replaces the log entries up to and including that index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Last index that the snapshot covers.
    pub index: Index,
    /// Term of the entry at `index`.
    pub term: Term,
    /// Membership as of `index`.
    pub membership: Membership,
    /// The encoded state machine; empty data stands for the initial state.
    pub data: Vec<u8>,
}

/// A message between replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Sending replica.
    pub from: ReplicaId,
    /// Receiving replica; a replica drops messages that are addressed to another identity.
    pub to: ReplicaId,
    /// The sender's term; in a pre-vote request and a granted reply to it, the term of the election
    /// that would follow.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

impl Message {
    /// Returns the size of the commands or of the snapshot in the message, in bytes.
    pub(crate) fn payload_bytes(&self) -> usize {
        match &self.body {
            Body::AppendEntries { entries, .. } => {
                entries.iter().map(|entry| entry.payload.size()).sum()
            }
            Body::InstallSnapshot { snapshot, .. } => snapshot.data.len(),
            _ => 0,
        }
    }
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote in `term`, without changing its state.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Reply to a pre-vote request.
    PreVoteReply {
        /// Whether the receiver would grant the vote.
        granted: bool,
    },
    /// Requests a vote in `term`.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the receiver granted the vote.
        granted: bool,
    },
    /// Appends the entries after `prev_index`; a heartbeat if there are none.
    AppendEntries {
        /// Index of the entry before the first one sent.
        prev_index: Index,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// Consecutive entries from `prev_index + 1` on.
        entries: Vec<Entry>,
        /// The leader's commit index.
        leader_commit: Index,
        /// Number of the leader's broadcast round; the reply repeats it.
        round: u64,
    },
    /// Reply to append entries or to a snapshot.
    AppendEntriesReply {
        /// Whether the receiver's log matched at `prev_index`, or the snapshot was accepted.
        success: bool,
        /// On success, the last index known to match; otherwise a hint for the next `prev_index`.
        index: Index,
        /// Round of the request.
        round: u64,
    },
    /// Sends a snapshot to a replica that needs entries which the leader has compacted.
    InstallSnapshot {
        /// The leader's latest snapshot.
        snapshot: Snapshot,
        /// Number of the round, as in `AppendEntries`.
        round: u64,
    },
}
