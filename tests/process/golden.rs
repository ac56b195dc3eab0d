//! Snapshots of the output that callers and operators get during a rollout, a withdrawal and a
//! leader failover, with the audit trail at the end.

use std::fmt::Write;
use std::process::Output;

use crate::support::Cluster;
use crate::support::chat_body;
use crate::support::eventually;

/// The output of commands and requests, without the parts that differ between runs.
#[derive(Default)]
struct Transcript {
    text: String,
}

impl Transcript {
    /// Adds an operator's command with its output and exit code.
    fn record_command(&mut self, command: &str, output: &Output) {
        let stdout = String::from_utf8_lossy(&output.stdout);
        let code = output.status.code().unwrap();
        let _ = write!(
            self.text,
            "operator$ daisyquay {command}\n{stdout}[exit {code}]\n\n"
        );
    }

    /// Sends a chat request and retries it until it gets a status other than 503, then adds the
    /// response.
    fn record_chat(&mut self, what: &str, cluster: &Cluster, model: &str, session: &str) {
        let headers = [("daisyquay-session", session)];
        let response = eventually("the chat request gets a status other than 503", || {
            let response = cluster.chat(0, &headers, &chat_body(model, "hello", 3, false))?;
            (response.status != 503).then_some(response)
        });
        let header_lines = [
            "daisyquay-version",
            "daisyquay-session-moved-from",
            "daisyquay-ran",
        ]
        .into_iter()
        .filter(|name| !response.header(name).is_empty())
        .map(|name| format!("{name}: {}\n", response.header(name)))
        .collect::<String>();
        let error = response.json()["error"]["message"]
            .as_str()
            .map(ToOwned::to_owned);
        let error = error.map(|text| format!("{text}\n")).unwrap_or_default();
        let _ = write!(
            self.text,
            "caller: {what}\n{}\n{header_lines}{error}\n",
            response.status
        );
    }
}

/// Removes the column of times from the table of the audit trail.
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
fn shows_rollout_withdrawal_and_failover() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let flags = ["--versions", "notes@small,notes@large"];
    let (_runner, _) = cluster.start_announced_standin("runner-1", &flags);
    let mut transcript = Transcript::default();
    let operate = |transcript: &mut Transcript, cluster: &Cluster, command: &str| {
        let args: Vec<&str> = command.split(' ').collect();
        transcript.record_command(command, &cluster.run_cli(&args));
    };
    transcript.record_chat("a new session", &cluster, "notes", "ana");
    operate(
        &mut transcript,
        &cluster,
        "rollout pause notes@small --change-id p0",
    );
    operate(
        &mut transcript,
        &cluster,
        "rollout start notes@small --stages 0.5,1 --change-id p1 --expect-revision 1 --wait 30",
    );
    operate(
        &mut transcript,
        &cluster,
        "rollout start notes@large --change-id p2",
    );
    operate(
        &mut transcript,
        &cluster,
        "rollout start notes@small --change-id p3 --expect-revision 1",
    );
    operate(
        &mut transcript,
        &cluster,
        "rollout pause notes@small --change-id p4 --wait 30",
    );
    let leader = cluster.leader();
    cluster.replicas[leader].kill();
    transcript.text.push_str("(the leader is killed)\n\n");
    eventually("another replica becomes leader", || {
        (cluster.show("status")["in_force"] == true).then_some(())
    });
    operate(
        &mut transcript,
        &cluster,
        "rollout pause notes@small --change-id p4",
    );
    operate(
        &mut transcript,
        &cluster,
        "rollout resume notes@small --change-id p5 --wait 30",
    );
    operate(
        &mut transcript,
        &cluster,
        "rollout withdraw notes@large --change-id p6 --wait 30",
    );
    transcript.record_chat("the same session", &cluster, "notes", "ana");
    transcript.record_chat("once more", &cluster, "notes", "ana");
    transcript.record_chat(
        "the withdrawn version by name",
        &cluster,
        "notes@large",
        "ana",
    );
    operate(
        &mut transcript,
        &cluster,
        "rollout withdraw notes@large --change-id p7",
    );
    let audit = cluster.run_cli(&["audit"]);
    let audit = String::from_utf8(audit.stdout).unwrap();
    let _ = write!(
        transcript.text,
        "operator$ daisyquay audit\n{}\n",
        without_times(&audit)
    );
    insta::assert_snapshot!(transcript.text);
}
