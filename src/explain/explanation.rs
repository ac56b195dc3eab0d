//! The outcome of a request with the log lines that explain it.

use std::fmt;

use serde::Serialize;

use super::cause;
use super::line::LogLine;

/// Time before and after a request, in milliseconds, within which other events may be related to
/// it: heartbeats, elections and rollout steps take effect in that time.
const CONTEXT_WINDOW_MS: u64 = 2_000;

/// Events of the request's own gateway that can explain its decisions: start and shutdown, lost and
/// restored contact with the state replicas, new configurations, evacuations.
const GATEWAY_EVENTS: [&str; 7] = [
    "gateway_start",
    "gateway_leaving",
    "state_lost",
    "state_found",
    "config_taken",
    "evacuation_in_force",
    "evacuation_ended",
];

/// Events of any process that affect all gateways.
const GLOBAL_EVENTS: [&str; 4] = [
    "leader_elected",
    "release_stage",
    "release_rolled_back",
    "upstream_silent",
];

/// The outcome of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// The cause of the outcome, in one sentence.
    pub cause: String,
    /// Lines that have the request's id, by time.
    pub lines: Vec<LogLine>,
    /// Lines of other events close to the request in time that may be related to it.
    pub around: Vec<LogLine>,
    /// The last `config_taken` event of the request's gateway before the request ended: the
    /// configuration that applied to it.
    pub config: Option<LogLine>,
}

impl Explanation {
    pub(super) fn new(request: &str, mut lines: Vec<LogLine>) -> Self {
        lines.sort_by_key(|line| line.time_ms);
        Self {
            request: request.to_owned(),
            cause: String::new(),
            lines,
            around: Vec::new(),
            config: None,
        }
    }

    /// Keeps a line if it may be related to the request.
    pub(super) fn add_context(&mut self, line: LogLine) {
        let (Some(first), Some(last)) = (self.lines.first(), self.lines.last()) else {
            return;
        };
        let is_own_gateway = line.node == first.node;
        if is_own_gateway && line.event == "config_taken" && line.time_ms <= last.time_ms {
            let newest_ms = self.config.as_ref().map_or(0, |config| config.time_ms);
            if line.time_ms >= newest_ms {
                self.config = Some(line.clone());
            }
        }
        let is_close = first.time_ms.saturating_sub(CONTEXT_WINDOW_MS) <= line.time_ms
            && line.time_ms <= last.time_ms.saturating_add(CONTEXT_WINDOW_MS);
        let event = line.event.as_str();
        if is_close
            && (is_own_gateway && GATEWAY_EVENTS.contains(&event) || GLOBAL_EVENTS.contains(&event))
        {
            self.around.push(line);
        }
    }

    /// Determines the cause, after all lines have been added.
    pub(super) fn finish(mut self) -> Self {
        self.around.sort_by_key(|line| line.time_ms);
        self.cause = cause::describe(&self.lines, self.config.as_ref());
        self
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}: {}", self.request, self.cause)?;
        let start_ms = self.lines.first().map_or(0, |line| line.time_ms);
        let mut all: Vec<&LogLine> = self.lines.iter().chain(&self.around).collect();
        all.sort_by_key(|line| line.time_ms);
        for line in all {
            let offset_ms = i128::from(line.time_ms) - i128::from(start_ms);
            write!(f, "{offset_ms:+7} ms  {}  {}", line.node, line.event)?;
            for (key, value) in line.fields.iter().filter(|(key, _)| *key != "request") {
                if value.contains(' ') {
                    write!(f, " {key}={value:?}")?;
                } else {
                    write!(f, " {key}={value}")?;
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
