//! A replica that is lost for good, and one at another address that takes its place by itself.

use std::collections::BTreeSet;

use crate::support::Cluster;
use crate::support::eventually;

fn voters(cluster: &Cluster) -> Option<BTreeSet<String>> {
    let status = cluster.show("status");
    let members = status["members"].as_array()?;
    let voters = members.iter().filter(|member| member[2] == "voter");
    Some(voters.map(|m| m[0].as_str().unwrap().to_owned()).collect())
}

#[test]
fn a_replacement_at_a_new_address_joins_without_an_operator() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let lost = cluster.leader();
    let address = cluster.replica_addresses[lost].to_string();
    cluster.replicas[lost].kill();
    let replacement = cluster.start_replacement();
    let new = cluster.replica_addresses[3].to_string();
    eventually("the replacement votes in the lost one's place", || {
        let voters = voters(&cluster)?;
        (voters.len() == 3 && voters.contains(&new) && !voters.contains(&address)).then_some(())
    });
    // What was accepted is there with the second loss that follows at once.
    let second = (0..3).find(|&i| i != lost).unwrap();
    cluster.replicas[second].kill();
    eventually("two of the three go on", || {
        (cluster.show("status")["revision"] == 1).then_some(())
    });
    drop(replacement);
}
