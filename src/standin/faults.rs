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
    /// Answers with the id of another attempt.
    pub wrong_id: bool,
    /// Swaps the streams of two requests after the first event.
    pub crossed: bool,
    /// Answers with an error of its own.
    pub fail: bool,
    /// Ends a stream without its last piece and `[DONE]`, as if it were whole.
    pub short: bool,
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
            mute: false,
            report_lag: 0,
            bad_score: 0.0,
            rater_down: false,
        }
    }
}
