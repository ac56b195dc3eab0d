//! Who belongs to the replicated log.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::ReplicaId;

/// One member of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Where its peer listener is.
    pub address: SocketAddr,
    /// Whether it votes and counts; otherwise it is a learner.
    pub voter: bool,
}

/// A membership change; one at a time, so that any two successive quorums overlap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a replica that receives the log and counts for nothing.
    AddLearner(ReplicaId, SocketAddr),
    /// Lets a learner that has caught up vote.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// The members of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Members by identity.
    pub members: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// A first membership in which everyone votes.
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

    /// Identities that vote.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.voter)
            .map(|(&id, _)| id)
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members.get(&id).is_some_and(|member| member.voter)
    }

    /// How many voters make a quorum.
    pub fn quorum_size(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The member at `address`, if any.
    pub fn member_at(&self, address: SocketAddr) -> Option<ReplicaId> {
        self.members
            .iter()
            .find(|(_, member)| member.address == address)
            .map(|(&id, _)| id)
    }

    /// The membership after `change`, or `None` where the change does nothing.
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
