//! What replicas write to their logs and say to each other.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Membership;

/// A leader's period of office.
pub type Term = u64;

/// A position in the log; the first entry has index 1.
pub type Index = u64;

/// Identity of one replica's disk. A replaced disk gets a new one, so it never votes on what the
/// old disk had promised.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a log entry carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Commits the entries of earlier terms when a leader takes office.
    Noop,
    /// An encoded command of the state machine.
    Command(Vec<u8>),
    /// The members from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Term in which the entry was proposed.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Content.
    pub payload: Payload,
}

/// What must be durable before a replica answers a vote or an append.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Whom this replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// The state machine at one index, replacing the log up to there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Last index that the data covers.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Members as of that index.
    pub membership: Membership,
    /// The encoded state machine.
    pub data: Vec<u8>,
}

/// A message between replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; a message for another identity is dropped.
    pub to: ReplicaId,
    /// Sender's term.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Would you vote for me in `term`? Changes no state.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in `term`.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to a vote.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries after `prev_index`, or a heartbeat when there are none.
    AppendEntries {
        /// Index before the first entry.
        prev_index: Index,
        /// Term of `prev_index`.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// Counts the leader's sending rounds, echoed in the reply.
        round: u64,
    },
    /// Answer to an append or a snapshot.
    AppendEntriesReply {
        /// Whether `prev_index` matched.
        matched: bool,
        /// Last index known to match, or a hint where to try next.
        index: Index,
        /// The round that this answers.
        round: u64,
    },
    /// A snapshot for a replica that is too far behind.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The round, as in `Append`.
        round: u64,
    },
}
