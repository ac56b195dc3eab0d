//! Formats results as tables for people or as JSON for programs.

use std::fmt::Write;

use serde_json::Value;
use serde_json::json;

use crate::collections::Name;
use crate::peer::OperatorChangeReply;
use crate::state::AuditRecord;
use crate::state::Rollout;
use crate::state::RolloutState;
use crate::state::command::ChangeOutcome;
use crate::state::query::Report;
use crate::state::query::StatusReport;

/// Formats a table with aligned columns.
pub(super) fn table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headers.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let mut line = |cells: &mut dyn Iterator<Item = &str>| {
        let mut padded = String::new();
        for (cell, width) in cells.zip(&widths) {
            let _ = write!(padded, "{cell:<width$}  ");
        }
        text.push_str(padded.trim_end());
        text.push('\n');
    };
    line(&mut headers.iter().copied());
    for row in rows {
        line(&mut row.iter().map(String::as_str));
    }
    text
}

fn pretty_json(value: &Value) -> String {
    format!("{value:#}\n")
}

/// Formats the outcome of a change.
pub(super) fn change_result(
    change_id: &Name,
    reply: &OperatorChangeReply,
    as_json: bool,
) -> String {
    if as_json {
        return pretty_json(&json!({
            "change_id": change_id,
            "outcome": reply.outcome,
            "in_force": reply.in_force,
            "lagging": reply.lagging,
        }));
    }
    let outcome = outcome_text(&reply.outcome);
    let mut text = format!("{outcome} (change {change_id})\n");
    match reply.in_force {
        Some(true) => text.push_str("in force at every entry\n"),
        Some(false) => {
            let _ = writeln!(text, "not in force yet at: {}", reply.lagging.join(", "));
        }
        None => {}
    }
    text
}

fn outcome_text(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Accepted { revision } => format!("accepted as revision {revision}"),
        ChangeOutcome::Conflict { revision, winner } => {
            format!("conflict: revision {revision} was made by change {winner}")
        }
        ChangeOutcome::EvacuationConflict { orders } => {
            format!("conflict: evacuation order {orders} was accepted first")
        }
        ChangeOutcome::Refused { reason } => format!("refused: {reason}"),
    }
}

/// Formats records of the audit trail, the table with a header row if `with_headers` is set.
pub(super) fn audit(records: &[AuditRecord], as_json: bool, with_headers: bool) -> String {
    if as_json {
        return records
            .iter()
            .map(|record| format!("{}\n", json!(record)))
            .collect();
    }
    let rows: Vec<Vec<String>> = records
        .iter()
        .map(|record| {
            vec![
                record.seq.to_string(),
                record.at_ms.to_string(),
                record.who.to_string(),
                record.change_id.to_string(),
                record.revision.to_string(),
                record.what.to_string(),
                outcome_text(&record.outcome),
            ]
        })
        .collect();
    let headers = [
        "LINE", "TIME_MS", "WHO", "CHANGE", "REVISION", "WHAT", "OUTCOME",
    ];
    let text = table(&headers, &rows);
    if with_headers {
        return text;
    }
    text.split_once('\n')
        .map_or(String::new(), |(_, rest)| rest.to_owned())
}

/// Formats a report; those without a table are printed as TOML or JSON.
pub(super) fn report(report: &Report, as_json: bool) -> String {
    if as_json {
        return pretty_json(&report_json(report));
    }
    match report {
        Report::Inventory(inventory) => {
            toml::to_string(&**inventory).unwrap_or_else(|e| format!("{e}\n"))
        }
        Report::Document(_) | Report::Releases(_) => pretty_json(&report_json(report)),
        Report::Status(status) => status_text(status),
        Report::Upstreams(rows) => {
            let rows: Vec<Vec<String>> = rows
                .iter()
                .map(|row| {
                    vec![
                        row.id.to_string(),
                        row.incarnation.to_string(),
                        row.address.clone(),
                        row.data_centre.to_string(),
                        row.slots.to_string(),
                        format!("{:?}", row.presence).to_lowercase(),
                        row.serves.join(","),
                    ]
                })
                .collect();
            let headers = [
                "ID",
                "INCARNATION",
                "ADDRESS",
                "DATA_CENTRE",
                "SLOTS",
                "PRESENCE",
                "SERVES",
            ];
            table(&headers, &rows)
        }
        Report::Sessions(rows) => {
            let rows: Vec<Vec<String>> = rows
                .iter()
                .map(|row| {
                    vec![
                        row.organisation.to_string(),
                        row.session.to_string(),
                        row.version.to_string(),
                        row.used_ms.to_string(),
                    ]
                })
                .collect();
            table(&["ORGANISATION", "SESSION", "VERSION", "USED_MS"], &rows)
        }
        Report::Rollouts(rollouts) => rollouts_text(rollouts),
        Report::Bill(rows) => {
            let rows: Vec<Vec<String>> = rows
                .iter()
                .map(|row| {
                    vec![
                        row.organisation.to_string(),
                        row.target.clone(),
                        row.requests.to_string(),
                        row.tokens_in.to_string(),
                        row.tokens_out.to_string(),
                        format!("{:.6}", row.cost),
                        row.failed.to_string(),
                    ]
                })
                .collect();
            let headers = [
                "ORGANISATION",
                "TARGET",
                "REQUESTS",
                "TOKENS_IN",
                "TOKENS_OUT",
                "COST",
                "FAILED",
            ];
            table(&headers, &rows)
        }
        Report::Audit(records) => audit(records, false, true),
    }
}

fn report_json(report: &Report) -> Value {
    match report {
        Report::Inventory(inventory) => json!(inventory),
        Report::Status(status) => json!(status),
        Report::Upstreams(rows) => json!(rows),
        Report::Document(document) => json!(document),
        Report::Releases(releases) => json!(releases),
        Report::Sessions(rows) => json!(rows),
        Report::Rollouts(rollouts) => json!(rollouts),
        Report::Bill(rows) => json!(rows),
        Report::Audit(records) => json!(records),
    }
}

fn rollouts_text(rollouts: &[Rollout]) -> String {
    let rows: Vec<Vec<String>> = rollouts
        .iter()
        .map(|rollout| {
            let state = match &rollout.state {
                RolloutState::Halted { reason } => format!("halted: {reason}"),
                other => format!("{other:?}").to_lowercase(),
            };
            let evidence = &rollout.evidence;
            vec![
                rollout.version.to_string(),
                format!("{}/{}", rollout.stage + 1, rollout.stages.len()),
                format!("{}", rollout.share()),
                rollout.exposed.to_string(),
                format!("{:.3}", evidence.candidate.score.mean()),
                format!("{:.3}", evidence.stable.score.mean()),
                format!("{:.3}", evidence.candidate.failed.mean()),
                state,
            ]
        })
        .collect();
    let headers = [
        "VERSION",
        "STAGE",
        "SHARE",
        "EXPOSED",
        "SCORE",
        "STABLE_SCORE",
        "FAILED",
        "STATE",
    ];
    table(&headers, &rows)
}

fn status_text(status: &StatusReport) -> String {
    let mut text = String::new();
    let in_force = if status.in_force {
        "in force at every entry".to_owned()
    } else {
        format!("not in force at: {}", status.lagging.join(", "))
    };
    let _ = writeln!(text, "revision {}, {in_force}", status.revision);
    let _ = writeln!(text, "leader {} in term {}", status.leader, status.term);
    let _ = writeln!(
        text,
        "{} open claims, {} sessions, {} bytes on disk",
        status.open_claims, status.sessions, status.disk_bytes
    );
    if !status.draining.is_empty() {
        let _ = writeln!(text, "draining: {}", status.draining.join(", "));
    }
    if !status.evacuated.is_empty() {
        let _ = writeln!(text, "evacuated: {}", status.evacuated.join(", "));
    }
    let members: Vec<Vec<String>> = status
        .members
        .iter()
        .map(|(address, id, role)| vec![address.clone(), id.clone(), role.clone()])
        .collect();
    let entries: Vec<Vec<String>> = status
        .entries
        .iter()
        .map(|(vm, data_centre, address)| {
            vec![vm.to_string(), data_centre.to_string(), address.clone()]
        })
        .collect();
    let versions: Vec<Vec<String>> = status
        .versions
        .iter()
        .map(|row| {
            vec![
                row.version.to_string(),
                row.state.to_string(),
                row.runners.to_string(),
                row.slots.to_string(),
                row.quality
                    .map_or("-".to_owned(), |quality| format!("{quality:.3}")),
                row.scores.to_string(),
            ]
        })
        .collect();
    text.push('\n');
    text.push_str(&table(&["REPLICA", "IDENTITY", "PART"], &members));
    text.push('\n');
    text.push_str(&table(&["ENTRY", "DATA_CENTRE", "ADDRESS"], &entries));
    text.push('\n');
    let headers = ["VERSION", "STATE", "RUNNERS", "SLOTS", "QUALITY", "SCORES"];
    text.push_str(&table(&headers, &versions));
    text
}
