//! Decides the next membership change: lost replicas are removed, and new ones become learners and
//! then voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::agreement::Change;
use crate::agreement::Membership;
use crate::agreement::ReplicaId;

/// The leader's knowledge of the state of each member.
pub(super) trait MemberStatus {
    /// Returns whether a member has not responded for so long that it counts as lost.
    fn is_lost(&self, id: ReplicaId) -> bool;

    /// Returns whether a member responds at present. One that has just failed does not, long before it
    /// counts as lost.
    fn is_responsive(&self, id: ReplicaId) -> bool;

    /// Returns whether a member is the leader, which can't be removed.
    fn is_leader(&self, id: ReplicaId) -> bool;

    /// Returns whether a member has all committed entries.
    fn is_caught_up(&self, id: ReplicaId) -> bool;
}

/// Returns the next single change towards `target` voters, or `None` where nothing is to be done.
///
/// A replica that asks to join from a member's address replaces that member, whose disk is lost,
/// unless it is the leader, whose address was given to two replicas. A learner is promoted while
/// there are fewer than `target` voters, or exactly `target` of which one is lost. A lost voter is
/// removed once there are more than `target`. A learner that does not respond is not promoted: as a
/// voter it would raise the quorum.
pub(super) fn next_change(
    membership: &Membership,
    join_requests: &BTreeMap<SocketAddr, ReplicaId>,
    target: usize,
    members: &dyn MemberStatus,
) -> Option<Change> {
    for (&address, &id) in join_requests {
        if membership.members.contains_key(&id) {
            continue;
        }
        match membership.member_at(address) {
            Some(leader) if members.is_leader(leader) => {}
            Some(lost) => return Some(Change::Remove(lost)),
            None => return Some(Change::AddLearner(id, address)),
        }
    }
    let voters = membership.voters().count();
    let lost = membership.voters().find(|&id| members.is_lost(id));
    if voters > target
        && let Some(lost) = lost
    {
        return Some(Change::Remove(lost));
    }
    let wanted = voters < target || lost.is_some() && voters == target;
    let learner = membership.members.iter().find(|(id, member)| {
        !member.voter && members.is_caught_up(**id) && members.is_responsive(**id)
    });
    match learner {
        Some((&id, _)) if wanted => Some(Change::Promote(id)),
        _ => None,
    }
}
