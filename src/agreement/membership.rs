//! The members of the replicated log and their quorum.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::ReplicaId;

/// A member of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Whether it votes and counts towards quorums; otherwise it is a learner.
    pub voter: bool,
}

/// A single-step membership change. Only one may be uncommitted at a time, so that every quorum
/// before a change overlaps with every quorum after it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a learner: a replica that receives the log but does not count towards quorums.
    AddLearner(ReplicaId, SocketAddr),
    /// Makes a learner a voter; the caller checks that it has caught up.
    Promote(ReplicaId),
    /// Removes a voter or a learner.
    Remove(ReplicaId),
}

/// The members of the replicated log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Voters and learners by identity.
    pub members: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// Returns the initial membership of a new log, in which every member is a voter.
    pub fn from_voters(voters: impl IntoIterator<Item = (ReplicaId, SocketAddr)>) -> Self {
        let members = voters
            .into_iter()
            .map(|(id, address)| {
                (
                    id,
                    Member {
                        address,
                        voter: true,
                    },
                )
            })
            .collect();
        Self { members }
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.voter)
            .map(|(&id, _)| id)
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members.get(&id).is_some_and(|member| member.voter)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum_size(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the voter or learner whose peer listener is at `address`.
    pub fn member_at(&self, address: SocketAddr) -> Option<ReplicaId> {
        self.members
            .iter()
            .find(|(_, member)| member.address == address)
            .map(|(&id, _)| id)
    }

    /// Returns the membership after `change`, or `None` if the change has no effect or would leave
    /// no voter.
    pub fn with_change(&self, change: &Change) -> Option<Self> {
        let mut next = self.clone();
        match *change {
            Change::AddLearner(id, address) => {
                let learner = Member {
                    address,
                    voter: false,
                };
                next.members.entry(id).or_insert(learner);
            }
            Change::Promote(id) => next.members.get_mut(&id)?.voter = true,
            Change::Remove(id) => {
                next.members.remove(&id)?;
            }
        }
        (next != *self && next.voters().next().is_some()).then_some(next)
    }
}
