//! Describes the cause of a request's outcome in a sentence. The events, keys and values matched
//! here also occur in logs that older builds wrote.

use super::line::LogLine;

/// The cause that the request's lines, oldest first, show. `config` is the last `config_taken`
/// event of its gateway.
pub(super) fn describe(lines: &[LogLine], config: Option<&LogLine>) -> String {
    let last = |event: &str| lines.iter().rfind(|line| line.event == event);
    if let Some(refused) = last("refused") {
        return describe_refusal(refused, lines, config);
    }
    if let Some(ended) = last("stream_given_up") {
        return format!(
            "its stream ended after {} events and could not be resumed: {}",
            field(ended, "events"),
            field(ended, "reason")
        );
    }
    if let Some(late) = last("late") {
        return describe_late_response(late, lines);
    }
    if let Some(resumed) = last("stream_resumed") {
        let interrupted_at = last("stream_broke").map_or("-", |broke| field(broke, "upstream"));
        return format!(
            "its stream was interrupted at {interrupted_at} and resumed at {}",
            field(resumed, "upstream")
        );
    }
    if lines.iter().any(|line| line.event == "attempt") {
        return format!(
            "{}; the last response was forwarded, or a later attempt served the request",
            describe_attempts(lines)
        );
    }
    "its log lines show no failure".to_owned()
}

fn describe_refusal(refused: &LogLine, lines: &[LogLine], config: Option<&LogLine>) -> String {
    let revision = config.map_or("none", |config| field(config, "revision"));
    match field(refused, "code") {
        "no_configuration" => "its gateway had not received a configuration yet".to_owned(),
        "no_route" => {
            format!("no route matches it in the gateway's configuration, revision {revision}")
        }
        "unknown_key" => {
            format!("its key is not in the gateway's configuration, revision {revision}")
        }
        "outdated_configuration" => format!(
            "its route or key is not in the gateway's configuration, revision {revision}, and a \
             newer one was on its way or the leader was not reached"
        ),
        "evacuated" => format!(
            "the upstreams of its service that might serve it were in evacuated data centres in the \
             gateway's configuration, revision {revision}"
        ),
        "no_upstream_in_region" => {
            "no upstream of its service took it in a region that its route and its organisation permit"
                .to_owned()
        }
        "stopping" => "its gateway was shutting down".to_owned(),
        "no_upstream" => {
            let not_placed = lines.iter().rfind(|line| line.event == "not_placed");
            let reason = not_placed.map_or("-", |line| field(line, "reason"));
            format!(
                "no upstream accepted it: {reason}; {}",
                describe_attempts(lines)
            )
        }
        "upstreams_cold" => "the upstreams of its service were cold and had no turn left for its \
             gateway: see the `upstream_cold` lines"
            .to_owned(),
        "overloaded" | "beyond_share" => describe_rejection(lines),
        "answer_lost" => format!(
            "it may have run and was not retried; {}",
            describe_attempts(lines)
        ),
        "timed_out" => format!(
            "its deadline passed while it ran; {}",
            describe_attempts(lines)
        ),
        "no_time" => format!(
            "its deadline passed before it ran; {}",
            describe_attempts(lines)
        ),
        code => format!("it was refused with code `{code}`"),
    }
}

/// Why admission at the gateway rejected the request.
fn describe_rejection(lines: &[LogLine]) -> String {
    let Some(rejected) = lines
        .iter()
        .rfind(|line| line.event == "admission_rejected")
    else {
        return "its gateway rejected it because no upstream had capacity".to_owned();
    };
    let reason = match field(rejected, "outcome") {
        "rejected_full" => "the queue was full",
        "rejected_paused" => "all of them asked for a pause that ends too late for it",
        "rejected_share" => "its organisation had more than its share of the queue",
        _ => "it could not be served before its deadline",
    };
    format!(
        "admission rejected it before it ran: no upstream of {} had capacity and {reason}; {} of {} \
         queued requests were before it, {} a second were dispatched, and it had {} ms left",
        field(rejected, "service"),
        field(rejected, "ahead"),
        field(rejected, "queued"),
        field(rejected, "per_s"),
        field(rejected, "left_ms")
    )
}

fn describe_late_response(late: &LogLine, lines: &[LogLine]) -> String {
    let upstream_count = field(late, "tried").split(',').count();
    let delay = format!(
        "its response began after {} ms, with a target of {} ms",
        field(late, "first_ms"),
        field(late, "target_ms")
    );
    if lines.iter().any(|line| line.event == "attempt") {
        return format!("{delay}; {}", describe_attempts(lines));
    }
    if upstream_count > 1 {
        return format!("{delay}; {upstream_count} upstreams were tried");
    }
    format!(
        "{delay}; its only upstream took that long for {} prompt tokens on {}",
        field(late, "tokens_in"),
        field(late, "model")
    )
}

/// The outcomes of the failed attempts.
fn describe_attempts(lines: &[LogLine]) -> String {
    let attempts = lines.iter().filter(|line| line.event == "attempt");
    let outcomes: Vec<String> = attempts
        .map(|line| {
            let upstream = field(line, "upstream");
            match (field(line, "outcome"), field(line, "reason")) {
                ("failed", _) => format!("{upstream} responded with a failure"),
                ("not_run", reason) => format!("{upstream} did not run it ({reason})"),
                (_, reason) => format!("{upstream} gave no response ({reason})"),
            }
        })
        .collect();
    if outcomes.is_empty() {
        return "no attempt failed".to_owned();
    }
    outcomes.join(", ")
}

fn field<'a>(line: &'a LogLine, key: &str) -> &'a str {
    line.field(key).unwrap_or("-")
}
