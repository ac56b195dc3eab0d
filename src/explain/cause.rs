//! The cause of a request's failure, in a sentence.

use super::line::Line;

/// The cause as the request's lines show it, oldest first. `config` is the last change that its
/// gateway had taken.
pub(super) fn of(lines: &[Line], config: Option<&Line>) -> String {
    let last = |event: &str| lines.iter().rfind(|line| line.event == event);
    if let Some(refused) = last("refused") {
        return refusal(refused, lines, config);
    }
    if let Some(broke) = last("stream_given_up") {
        return format!(
            "its stream ended after {} events and could not go on: {}",
            field(broke, "events"),
            field(broke, "reason")
        );
    }
    if let Some(late) = last("late") {
        return lateness(late, lines);
    }
    if let Some(resumed) = last("stream_resumed") {
        let from = last("stream_broke").map_or("-", |broke| field(broke, "upstream"));
        return format!(
            "its stream broke at {from} and went on at {}",
            field(resumed, "upstream")
        );
    }
    if lines.iter().any(|line| line.event == "attempt") {
        return format!(
            "{}; the last answer was passed on, or a later attempt served it",
            attempts(lines)
        );
    }
    "its lines show no failure".to_owned()
}

fn refusal(refused: &Line, lines: &[Line], config: Option<&Line>) -> String {
    let revision = config.map_or("none", |config| field(config, "revision"));
    match field(refused, "code") {
        "no_configuration" => "its gateway had no configuration yet".to_owned(),
        "no_route" => {
            format!("no route for it in the gateway's configuration, revision {revision}")
        }
        "unknown_key" => {
            format!("its key is not in the gateway's configuration, revision {revision}")
        }
        "stopping" => "its gateway had been told to stop".to_owned(),
        "no_upstream" => {
            let placed = lines.iter().rfind(|line| line.event == "not_placed");
            let reason = placed.map_or("-", |line| field(line, "reason"));
            format!("no upstream took it: {reason}; {}", attempts(lines))
        }
        "answer_lost" => format!(
            "it may have run, and was not run again; {}",
            attempts(lines)
        ),
        "timed_out" => format!("its time was over while it ran; {}", attempts(lines)),
        "no_time" => format!("its time was over before it ran; {}", attempts(lines)),
        code => format!("it was refused as `{code}`"),
    }
}

fn lateness(late: &Line, lines: &[Line]) -> String {
    let tried = field(late, "tried").split(',').count();
    let first = format!(
        "its answer began after {} ms, with a target of {} ms",
        field(late, "first_ms"),
        field(late, "target_ms")
    );
    if lines.iter().any(|line| line.event == "attempt") {
        return format!("{first}; {}", attempts(lines));
    }
    if tried > 1 {
        return format!("{first}; {tried} upstreams were asked");
    }
    format!(
        "{first}; its one upstream took that long for {} prompt tokens on {}",
        field(late, "tokens_in"),
        field(late, "model")
    )
}

/// What the attempts came to.
fn attempts(lines: &[Line]) -> String {
    let attempts = lines.iter().filter(|line| line.event == "attempt");
    let told: Vec<String> = attempts
        .map(|line| {
            let upstream = field(line, "upstream");
            match (field(line, "outcome"), field(line, "reason")) {
                ("failed", _) => format!("{upstream} answered with a failure"),
                ("not_run", reason) => format!("{upstream} did not run it ({reason})"),
                (_, reason) => format!("{upstream} gave no answer ({reason})"),
            }
        })
        .collect();
    if told.is_empty() {
        return "no attempt had failed".to_owned();
    }
    told.join(", ")
}

fn field<'a>(line: &'a Line, key: &str) -> &'a str {
    line.field(key).unwrap_or("-")
}
