//! Faults that a test injects into a running stand-in by `POST /faults`.

use serde::Deserialize;
use serde::Serialize;

/// Injected faults; a field that is left out has its default, which is no fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor on the initial delay and the token interval; 1 by default.
    pub slow: f64,
    /// Accepts requests and never responds.
    pub freeze: bool,
    /// Aborts a stream after this number of tokens.
    pub die_after_tokens: Option<u64>,
    /// Sends the response to another prompt, with another attempt id in the response headers and
    /// the right one in the body.
    pub wrong_id: bool,
    /// Continues a stream with another request's response after the first event; a response that
    /// isn't streamed belongs to the other request as a whole.
    pub crossed: bool,
    /// Responds with status 500 to chat and service requests.
    pub fail: bool,
    /// Ends a stream half-way without an error, a finish event or `[DONE]`.
    pub short: bool,
    /// Ends a stream half-way with `[DONE]`, but without the finish event.
    pub hasty: bool,
    /// Stops reporting load.
    pub mute: bool,
    /// Delays load reports by this number of reports.
    pub report_lag: usize,
    /// Amount by which the rater lowers its scores.
    pub bad_score: f64,
    /// Makes the rater respond with status 503.
    pub rater_down: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            freeze: false,
            die_after_tokens: None,
            wrong_id: false,
            crossed: false,
            fail: false,
            short: false,
            hasty: false,
            mute: false,
            report_lag: 0,
            bad_score: 0.0,
            rater_down: false,
        }
    }
}
