//! A session stays on its version, across entries and failures, until the version is withdrawn. The
//! withdrawal moves the session once.

use crate::support::Cluster;
use crate::support::chat_body;

const BOTH: [&str; 2] = ["--versions", "notes@small,notes@large"];

/// Sends a request in `session`; returns the version that served it and the one that it was moved
/// from, empty if it was not moved.
fn send_in_session(cluster: &Cluster, entry: usize, session: &str) -> (String, String) {
    let body = chat_body("notes", "hello", 3, false);
    let headers = [("daisyquay-session", session)];
    let reply = crate::support::eventually("the session is served", || {
        let reply = cluster.chat(entry, &headers, &body)?;
        (reply.status == 200).then_some(reply)
    });
    let moved_from = reply.header("daisyquay-session-moved-from").to_owned();
    (reply.header("daisyquay-version").to_owned(), moved_from)
}

#[test]
fn session_keeps_its_version_across_entries_failover_and_restart() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, _) = cluster.start_announced_standin("runner-1", &BOTH);
    let sessions: Vec<String> = (0..8).map(|i| format!("s{i}")).collect();
    let pinned: Vec<_> = sessions
        .iter()
        .map(|s| send_in_session(&cluster, 0, s))
        .collect();
    let via_other_entry: Vec<_> = sessions
        .iter()
        .map(|s| send_in_session(&cluster, 1, s))
        .collect();
    assert_eq!(pinned, via_other_entry);
    let leader = cluster.leader();
    cluster.replicas[leader].kill();
    let after_failover: Vec<_> = sessions
        .iter()
        .map(|s| send_in_session(&cluster, 0, s))
        .collect();
    assert_eq!(pinned, after_failover);
    for i in 0..3 {
        cluster.replicas[i].kill();
    }
    for i in 0..3 {
        cluster.replicas[i] = cluster.start_replica(i);
    }
    cluster.add_entry("dc1");
    let after_restart: Vec<_> = sessions
        .iter()
        .map(|s| send_in_session(&cluster, 2, s))
        .collect();
    assert_eq!(pinned, after_restart);
}

#[test]
fn withdrawal_moves_session_once_and_reports_it() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, runner) = cluster.start_announced_standin("runner-1", &BOTH);
    let (version, _) = send_in_session(&cluster, 0, "s");
    let output = cluster.run_cli(&["rollout", "withdraw", &version, "--wait", "30"]);
    assert!(output.status.success());
    let before = cluster.request_counts(runner)["versions"][&version].clone();
    let (moved_to, moved_from) = send_in_session(&cluster, 1, "s");
    assert_ne!(moved_to, version);
    assert_eq!(moved_from, version);
    assert_eq!(
        send_in_session(&cluster, 0, "s"),
        (moved_to.clone(), String::new())
    );
    // Applying the inventory again does not restore the withdrawn version.
    cluster.apply(crate::support::INVENTORY, &[]);
    assert_eq!(send_in_session(&cluster, 1, "s"), (moved_to, String::new()));
    // A request can't name the version either.
    let named = cluster
        .chat(0, &[], &chat_body(&version, "hello", 3, false))
        .unwrap();
    assert_eq!(named.status, 410, "{}", named.body);
    assert_eq!(cluster.request_counts(runner)["versions"][&version], before);
}
