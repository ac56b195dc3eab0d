//! Sessions keep their version; a withdrawal moves each once.

use crate::support::Cluster;
use crate::support::chat_body;

const BOTH: [&str; 2] = ["--versions", "notes@small,notes@large"];

fn ask(cluster: &Cluster, entry: usize, session: &str) -> (String, String) {
    let body = chat_body("notes", "hello", 3, false);
    let headers = [("daisyquay-session", session)];
    let reply = crate::support::eventually("the session is served", || {
        let reply = cluster.chat(entry, &headers, &body)?;
        (reply.status == 200).then_some(reply)
    });
    let moved = reply.header("daisyquay-session-moved-from").to_owned();
    (reply.header("daisyquay-version").to_owned(), moved)
}

#[test]
fn a_session_keeps_its_version_over_entries_failover_and_restart() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, _) = cluster.start_announced_standin("runner-1", &BOTH);
    let sessions: Vec<String> = (0..8).map(|i| format!("s{i}")).collect();
    let first: Vec<_> = sessions.iter().map(|s| ask(&cluster, 0, s)).collect();
    let again: Vec<_> = sessions.iter().map(|s| ask(&cluster, 1, s)).collect();
    assert_eq!(first, again);
    let leader = cluster.leader();
    cluster.replicas[leader].kill();
    let after: Vec<_> = sessions.iter().map(|s| ask(&cluster, 0, s)).collect();
    assert_eq!(first, after);
    for i in 0..3 {
        cluster.replicas[i].kill();
    }
    for i in 0..3 {
        cluster.replicas[i] = cluster.start_replica(i);
    }
    cluster.add_entry("dc1");
    let restarted: Vec<_> = sessions.iter().map(|s| ask(&cluster, 2, s)).collect();
    assert_eq!(first, restarted);
}

#[test]
fn a_withdrawal_moves_a_session_once_and_says_so() {
    let mut cluster = Cluster::start_with_inventory(3, 2);
    let (_runner, runner) = cluster.start_announced_standin("runner-1", &BOTH);
    let (version, _) = ask(&cluster, 0, "s");
    let output = cluster.run_cli(&["rollout", "withdraw", &version, "--wait", "30"]);
    assert!(output.status.success());
    let before = cluster.request_counts(runner)["versions"][&version].clone();
    let (other, moved) = ask(&cluster, 1, "s");
    assert_ne!(other, version);
    assert_eq!(moved, version);
    assert_eq!(ask(&cluster, 0, "s"), (other.clone(), String::new()));
    // Another inventory does not bring the withdrawn version back.
    cluster.apply(crate::support::INVENTORY, &[]);
    assert_eq!(ask(&cluster, 1, "s"), (other, String::new()));
    // Nor may it be named.
    let named = cluster
        .chat(0, &[], &chat_body(&version, "hello", 3, false))
        .unwrap();
    assert_eq!(named.status, 410, "{}", named.body);
    assert_eq!(cluster.request_counts(runner)["versions"][&version], before);
}
