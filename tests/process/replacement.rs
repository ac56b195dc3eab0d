//! Replacement of a permanently lost replica by a new one at another address.

use std::collections::BTreeSet;

use crate::support::Cluster;
use crate::support::eventually;

/// Returns the peer addresses of the voters, or `None` where the status lists no members.
fn voters(cluster: &Cluster) -> Option<BTreeSet<String>> {
    let status = cluster.show("status");
    let members = status["members"].as_array()?;
    let voters = members.iter().filter(|member| member[2] == "voter");
    Some(voters.map(|m| m[0].as_str().unwrap().to_owned()).collect())
}

#[test]
fn replacement_at_new_address_becomes_voter_without_operator() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let lost = cluster.leader();
    let address = cluster.replica_addresses[lost].to_string();
    cluster.replicas[lost].kill();
    let replacement = cluster.start_replacement();
    let new = cluster.replica_addresses[3].to_string();
    eventually("the replacement is a voter, the lost one removed", || {
        let voters = voters(&cluster)?;
        (voters.len() == 3 && voters.contains(&new) && !voters.contains(&address)).then_some(())
    });
    // The accepted change must survive the loss of a second replica right after the promotion.
    let second = (0..3).find(|&i| i != lost).unwrap();
    cluster.replicas[second].kill();
    eventually("two of three replicas serve the revision", || {
        (cluster.show("status")["revision"] == 1).then_some(())
    });
    drop(replacement);
}
