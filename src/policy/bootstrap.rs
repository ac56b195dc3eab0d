//! Decides whether a replica without a log creates the first log of a cluster or joins one.
//!
//! A replica with an empty disk can't tell whether it is new or has lost its data. So a log is
//! created only when *all* configured addresses reply and *none* of them has a log, and only by the
//! replica with the lowest address. It needs the permission of the operator, which a replica keeps
//! on its disk from the first start on, or that of a majority of replicas.
//!
//! The majority is there for a replica that was killed before it had kept its permission: it looks
//! like one that has lost its disk, with a log. Nothing in such a log was ever committed: its
//! members have the same addresses, and a majority of them have the disk of the first start and no
//! log. Nor is anything committed in it later, without a quorum of the new log: the lost member is
//! gone, and all others are members of the new log under the same identities.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::agreement::ReplicaId;
use crate::peer::BootstrapStatus;

/// The replies of the other replicas in one round of status requests.
pub type Statuses = [(SocketAddr, Option<BootstrapStatus>)];

/// Decision after one round of status requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Waits for replies from these addresses.
    AwaitReplies(Vec<SocketAddr>),
    /// Waits until the replica with the lowest address, this one, creates a log.
    AwaitLog(SocketAddr),
    /// Creates a log with these members, where that is permitted.
    Bootstrap(Vec<(ReplicaId, SocketAddr)>),
    /// Asks the replicas at these addresses, which have a log, to join it.
    Join(Vec<SocketAddr>),
}

/// Decides for one of the configured replicas. `statuses` has the other configured ones; `elsewhere`
/// has those that other processes have named, which only lead to an existing log.
pub fn decide(
    own_address: SocketAddr,
    id: ReplicaId,
    statuses: &Statuses,
    elsewhere: &Statuses,
) -> NextStep {
    let addresses = addresses_with_log(statuses, elsewhere);
    if !addresses.is_empty() {
        return NextStep::Join(addresses);
    }
    let mut silent = Vec::new();
    let mut members = vec![(id, own_address)];
    for &(address, status) in statuses {
        match status {
            Some(status) => members.push((status.id, address)),
            None => silent.push(address),
        }
    }
    if !silent.is_empty() {
        return NextStep::AwaitReplies(silent);
    }
    let lowest = members.iter().map(|&(_, address)| address).min();
    match lowest {
        Some(lowest) if lowest != own_address => NextStep::AwaitLog(lowest),
        _ => NextStep::Bootstrap(members),
    }
}

/// Decides for a replica outside the configured ones, which may join a log but not create one.
pub fn decide_join(statuses: &Statuses, elsewhere: &Statuses) -> NextStep {
    let addresses = addresses_with_log(statuses, elsewhere);
    if addresses.is_empty() {
        let silent = statuses.iter().filter(|(_, status)| status.is_none());
        return NextStep::AwaitReplies(silent.map(|&(address, _)| address).collect());
    }
    NextStep::Join(addresses)
}

fn addresses_with_log(statuses: &Statuses, elsewhere: &Statuses) -> Vec<SocketAddr> {
    let statuses = statuses.iter().chain(elsewhere);
    statuses
        .filter(|(_, status)| status.is_some_and(|status| status.has_log))
        .map(|&(address, _)| address)
        .collect()
}

/// Returns whether a permission that was given for a log of the replicas at `permitted` allows one
/// of those at `replicas`. Other machines may have a log that this replica does not know of.
pub fn covers(permitted: Option<&BTreeSet<SocketAddr>>, replicas: &BTreeSet<SocketAddr>) -> bool {
    permitted == Some(replicas)
}

/// Returns whether the other replicas that have a permission for a log of these `members` are a
/// majority of them. `permitting` are their identities.
pub fn is_permitted_by_majority(
    members: &[(ReplicaId, SocketAddr)],
    permitting: &BTreeSet<ReplicaId>,
) -> bool {
    let count = members
        .iter()
        .filter(|(id, _)| permitting.contains(id))
        .count();
    count > members.len() / 2
}
