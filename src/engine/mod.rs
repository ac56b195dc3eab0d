//! Clients of model engines, plain services and the rater. The traits hide the protocol from the
//! modules that make decisions; [`HttpEngine`] implements them over HTTP.

mod client;
mod http;
mod records;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;

pub(crate) use self::http::HttpEngine;
pub(crate) use self::records::RecordClient;
pub(crate) use self::records::UsageRecord;

use self::client::Client;

/// Header with the attempt's id, which an engine echoes in its response.
pub(crate) const ATTEMPT_HEADER: &str = "daisyquay-attempt";

/// Header with the number of tokens that the caller already has; the engine continues after them.
pub(crate) const RESUME_HEADER: &str = "daisyquay-resume-at";

/// A boxed future on the current thread.
pub(crate) type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// One attempt at a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) address: SocketAddr,
    pub(crate) id: String,
    pub(crate) method: ::http::Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: ntex::util::Bytes,
    /// Token offset at which a broken stream continues.
    pub(crate) resume_at: Option<u64>,
    /// Longest wait for the response head.
    pub(crate) head_timeout: Duration,
}

/// Why an attempt failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// No connection was made, so the upstream received nothing.
    NotSent,
    /// It failed after it may have been sent, so it may have run. Holds the reason.
    Failed(&'static str),
}

impl AttemptError {
    /// Returns the reason for the log and the caller.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::NotSent => "could not connect",
            Self::Failed(reason) => reason,
        }
    }
}

/// The head of a response, and its body still to be read.
pub(crate) struct Response {
    pub(crate) status: u16,
    /// The attempt's id that the upstream echoed.
    pub(crate) attempt_id: Option<String>,
    pub(crate) content_type: Option<String>,
    pub(crate) chunks: Box<dyn Chunks>,
}

/// The body of a response.
pub(crate) trait Chunks {
    /// Reads the next chunk; `None` at the end of a complete body.
    fn next(&mut self) -> LocalFuture<'_, Option<Result<Bytes, AttemptError>>>;

    /// Records how many bytes of the body the reader holds.
    ///
    /// # Errors
    ///
    /// All responses of the process hold too much together, and this one is given up.
    fn hold(&self, bytes: usize) -> Result<(), AttemptError>;

    /// Records that the last chunk had `events` complete events, each of which takes as much time as a
    /// chunk.
    ///
    /// # Errors
    ///
    /// All responses of the process take too much time together, and this one is given up.
    fn record_events(&self, events: usize) -> Result<(), AttemptError>;
}

/// Sends attempts to upstreams. Dropping a [`Response`] cancels its attempt.
pub(crate) trait Engine {
    /// Sends an attempt and waits for the response head.
    ///
    /// # Errors
    ///
    /// No response head was received in time.
    fn send(&self, attempt: Attempt) -> LocalFuture<'_, Result<Response, AttemptError>>;
}

/// A response to be rated, as sent to the rater in JSON.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct RatingRequest {
    pub(crate) version: String,
    pub(crate) class: String,
    pub(crate) prompt: serde_json::Value,
    pub(crate) answer: String,
}

/// Rates the quality of responses.
pub(crate) trait Rater {
    /// Returns a score from 0 to 1, or `None` if the rater timed out, failed or sent an invalid
    /// score.
    fn rate(&self, request: RatingRequest) -> LocalFuture<'_, Option<f32>>;
}
