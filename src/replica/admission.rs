//! Which membership change comes next: lost replicas go, new ones learn and then vote.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::agreement::Change;
use crate::agreement::Membership;
use crate::agreement::ReplicaId;

/// What the leader knows of the members.
pub(super) trait Members {
    /// Whether it has not been heard for so long that it counts as lost.
    fn is_lost(&self, id: ReplicaId) -> bool;

    /// Whether it holds all that is committed.
    fn caught_up(&self, id: ReplicaId) -> bool;
}

/// The next change, one step at a time, so that `target` replicas vote.
///
/// A replica that asks to join from a member's address has that member's place: its disk is lost.
/// A learner votes while voters are missing or one of them is lost, and the lost one goes once
/// enough others vote.
pub(super) fn next_change(
    membership: &Membership,
    joins: &BTreeMap<SocketAddr, ReplicaId>,
    target: usize,
    members: &dyn Members,
) -> Option<Change> {
    for (&address, &id) in joins {
        if membership.members.contains_key(&id) {
            continue;
        }
        return Some(match membership.member_at(address) {
            Some(lost) => Change::Remove(lost),
            None => Change::AddLearner(id, address),
        });
    }
    let voters = membership.voters().count();
    let lost = membership.voters().find(|&id| members.is_lost(id));
    if voters > target
        && let Some(lost) = lost
    {
        return Some(Change::Remove(lost));
    }
    let wanted = voters < target || lost.is_some() && voters == target;
    let learner = membership
        .members
        .iter()
        .find(|(id, member)| !member.voter && members.caught_up(**id));
    match learner {
        Some((&id, _)) if wanted => Some(Change::Promote(id)),
        _ => None,
    }
}
