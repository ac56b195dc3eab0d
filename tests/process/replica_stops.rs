//! Planned stops of a state replica.

use std::thread;
use std::time::Duration;

use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::eventually;

// An operator's wait must neither hang nor lose its acknowledgement when the leader is replaced.
#[test]
fn change_that_waits_to_be_in_force_is_acknowledged_by_the_next_leader() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let leader = cluster.leader();
    // Until its lease expires, the suspended entry may use the former revision.
    cluster.entries[0].suspend();
    let revision = cluster.show("status")["revision"].as_u64().unwrap();
    thread::scope(|scope| {
        let applying = scope.spawn(|| {
            let inventory = INVENTORY.replace("weight = 3", "weight = 4");
            cluster.apply(&inventory, &["--change-id", "second"]);
        });
        thread::sleep(Duration::from_millis(500));
        assert!(!applying.is_finished());
        cluster.replicas[leader].terminate();
    });
    let status = cluster.show("status");
    assert_eq!(status["revision"], revision + 1, "{status}");
    assert_eq!(status["in_force"], true, "{status}");
    let code = eventually("the replica has stopped", || {
        cluster.replicas[leader].try_exit_code()
    });
    assert_eq!(code, Some(0));
}
