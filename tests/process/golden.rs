//! Golden files of whole sessions: what a caller, an operator and the audit trail show through a
//! roll-out, a withdrawal and a failover.

use std::fmt::Write;
use std::process::Output;

use crate::support::Cluster;
use crate::support::chat_body;
use crate::support::eventually;

/// A transcript whose changing parts are named instead of shown.
#[derive(Default)]
struct Transcript {
    text: String,
}

impl Transcript {
    fn operator(&mut self, command: &str, output: &Output) {
        let shown = String::from_utf8_lossy(&output.stdout);
        let code = output.status.code().unwrap();
        let _ = write!(
            self.text,
            "operator$ daisyquay {command}\n{shown}[exit {code}]\n\n"
        );
    }

    fn caller(&mut self, what: &str, cluster: &Cluster, model: &str, session: &str) {
        let headers = [("daisyquay-session", session)];
        let reply = eventually("the caller is answered", || {
            let reply = cluster.chat(0, &headers, &chat_body(model, "hello", 3, false))?;
            (reply.status != 503).then_some(reply)
        });
        let shown = [
            "daisyquay-version",
            "daisyquay-session-moved-from",
            "daisyquay-ran",
        ]
        .into_iter()
        .filter(|name| !reply.header(name).is_empty())
        .map(|name| format!("{name}: {}\n", reply.header(name)))
        .collect::<String>();
        let error = reply.json()["error"]["message"]
            .as_str()
            .map(ToOwned::to_owned);
        let error = error.map(|text| format!("{text}\n")).unwrap_or_default();
        let _ = write!(
            self.text,
            "caller: {what}\n{}\n{shown}{error}\n",
            reply.status
        );
    }
}

/// Blanks out the column of times.
fn without_times(table: &str) -> String {
    let mut lines = Vec::new();
    for line in table.lines() {
        let cells: Vec<&str> = line
            .split("  ")
            .map(str::trim)
            .filter(|c| !c.is_empty())
            .collect();
        let kept = cells
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != 1)
            .map(|(_, cell)| *cell);
        lines.push(kept.collect::<Vec<_>>().join(" | "));
    }
    lines.join("\n")
}

#[test]
fn a_rollout_a_withdrawal_and_a_failover() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let flags = ["--versions", "notes@small,notes@large"];
    let (_runner, _) = cluster.start_announced_standin("runner-1", &flags);
    let mut session = Transcript::default();
    let operate = |session: &mut Transcript, cluster: &Cluster, command: &str| {
        let args: Vec<&str> = command.split(' ').collect();
        session.operator(command, &cluster.run_cli(&args));
    };
    session.caller("a new session", &cluster, "notes", "ana");
    operate(
        &mut session,
        &cluster,
        "rollout pause notes@small --change-id p0",
    );
    operate(
        &mut session,
        &cluster,
        "rollout start notes@small --stages 0.5,1 --change-id p1 --expect-revision 1 --wait 30",
    );
    operate(
        &mut session,
        &cluster,
        "rollout start notes@large --change-id p2",
    );
    operate(
        &mut session,
        &cluster,
        "rollout start notes@small --change-id p3 --expect-revision 1",
    );
    operate(
        &mut session,
        &cluster,
        "rollout pause notes@small --change-id p4 --wait 30",
    );
    let leader = cluster.leader();
    cluster.replicas[leader].kill();
    session.text.push_str("(the leading replica is killed)\n\n");
    eventually("another replica leads", || {
        (cluster.show("status")["in_force"] == true).then_some(())
    });
    operate(
        &mut session,
        &cluster,
        "rollout pause notes@small --change-id p4",
    );
    operate(
        &mut session,
        &cluster,
        "rollout resume notes@small --change-id p5 --wait 30",
    );
    operate(
        &mut session,
        &cluster,
        "rollout withdraw notes@large --change-id p6 --wait 30",
    );
    session.caller("the same session", &cluster, "notes", "ana");
    session.caller("once more", &cluster, "notes", "ana");
    session.caller(
        "the withdrawn version by name",
        &cluster,
        "notes@large",
        "ana",
    );
    operate(
        &mut session,
        &cluster,
        "rollout withdraw notes@large --change-id p7",
    );
    let audit = cluster.run_cli(&["audit"]);
    let audit = String::from_utf8(audit.stdout).unwrap();
    let _ = write!(
        session.text,
        "operator$ daisyquay audit\n{}\n",
        without_times(&audit)
    );
    insta::assert_snapshot!(session.text);
}
