//! The lines that tell what became of a request, in order.

use std::fmt;

use serde::Serialize;

use super::cause;
use super::line::Line;

/// Time around a request in which other events may have to do with it, in milliseconds: heartbeats,
/// elections and roll-out steps act within it.
const AROUND_MS: u64 = 2_000;

/// Events of the request's own gateway that change what it believes.
const OF_THE_GATEWAY: [&str; 5] = [
    "gateway_start",
    "gateway_leaving",
    "state_lost",
    "state_found",
    "config_taken",
];

/// Events of any process that concern all gateways.
const OF_ALL: [&str; 4] = [
    "leader_elected",
    "release_stage",
    "release_rolled_back",
    "upstream_silent",
];

/// What became of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Story {
    /// Request.
    pub request: String,
    /// The cause, in a sentence.
    pub cause: String,
    /// Lines that name the request.
    pub lines: Vec<Line>,
    /// What the processes came to believe around it.
    pub around: Vec<Line>,
    /// Last change of the configuration that its gateway had taken before.
    pub config: Option<Line>,
}

impl Story {
    pub(super) fn new(request: &str, mut lines: Vec<Line>) -> Self {
        lines.sort_by_key(|line| line.time_ms);
        Self {
            request: request.to_owned(),
            cause: String::new(),
            lines,
            around: Vec::new(),
            config: None,
        }
    }

    /// Keeps a line that may have to do with the request.
    pub(super) fn offer(&mut self, line: Line) {
        let (Some(first), Some(last)) = (self.lines.first(), self.lines.last()) else {
            return;
        };
        let is_own = line.node == first.node;
        if is_own && line.event == "config_taken" && line.time_ms <= last.time_ms {
            let newest = self.config.as_ref().map_or(0, |config| config.time_ms);
            if line.time_ms >= newest {
                self.config = Some(line.clone());
            }
        }
        let near = first.time_ms.saturating_sub(AROUND_MS) <= line.time_ms
            && line.time_ms <= last.time_ms.saturating_add(AROUND_MS);
        let event = line.event.as_str();
        if near && (is_own && OF_THE_GATEWAY.contains(&event) || OF_ALL.contains(&event)) {
            self.around.push(line);
        }
    }

    pub(super) fn finish(mut self) -> Self {
        self.around.sort_by_key(|line| line.time_ms);
        self.cause = cause::of(&self.lines, self.config.as_ref());
        self
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}: {}", self.request, self.cause)?;
        let first = self.lines.first().map_or(0, |line| line.time_ms);
        let mut all: Vec<&Line> = self.lines.iter().chain(&self.around).collect();
        all.sort_by_key(|line| line.time_ms);
        for line in all {
            let after = i128::from(line.time_ms) - i128::from(first);
            write!(f, "{after:+7} ms  {}  {}", line.node, line.event)?;
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
