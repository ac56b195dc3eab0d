//! Faults that can be switched while a stand-in runs, by `POST /faults`.

use serde::Deserialize;
use serde::Serialize;

/// Faults; all are off by default.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Multiplies all service times.
    pub slow: f64,
    /// Takes requests and never answers.
    pub freeze: bool,
    /// Breaks a stream off after so many tokens.
    pub die_after_tokens: Option<u64>,
    /// Sends the answer to another prompt; only the head names the wrong attempt.
    pub wrong_id: bool,
    /// Goes on with another request's answer after the first event; a plain answer is another
    /// request's whole.
    pub crossed: bool,
    /// Answers with an error of its own.
    pub fail: bool,
    /// Ends a stream half-way, without its last piece and `[DONE]`, with no error.
    pub short: bool,
    /// Ends a stream half-way, with `[DONE]` and without its last piece.
    pub hasty: bool,
    /// Stops reporting load.
    pub mute: bool,
    /// Lags load reports by so many reports.
    pub report_lag: usize,
    /// Takes so much off the rater's scores.
    pub bad_score: f64,
    /// Lets the rater fail.
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
