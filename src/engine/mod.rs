//! The border to model engines, plain services and the rater: one trait, one HTTP adapter. No
//! decision knows the wire.

mod http;
mod records;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use ntex::util::Bytes;

pub(crate) use self::http::HttpEngine;
pub(crate) use self::records::RecordClient;
pub(crate) use self::records::UsageRecord;

/// Carries the attempt's id to the upstream, and back in its answer.
pub(crate) const ATTEMPT_HEADER: &str = "daisyquay-attempt";

/// Tokens that the caller has already; the engine goes on after them.
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
    pub(crate) body: Bytes,
    pub(crate) resume_at: Option<u64>,
    /// Time in which the head of the answer must come.
    pub(crate) limit: Duration,
}

/// Why an attempt has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// No connection was made: the upstream has seen nothing.
    NotSent,
    /// It was sent; it may have run.
    Broken(&'static str),
}

/// The head of an answer; chunks follow.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) attempt: Option<String>,
    pub(crate) content_type: Option<String>,
    pub(crate) chunks: Box<dyn Chunks>,
}

/// The body of an answer.
pub(crate) trait Chunks {
    /// The next chunk; `None` at the regular end.
    fn next(&mut self) -> LocalFuture<'_, Option<Result<Bytes, AttemptError>>>;
}

/// What runs attempts. Dropping an [`Answer`] cancels it.
pub(crate) trait Engine {
    /// Starts an attempt.
    fn start(&self, attempt: Attempt) -> LocalFuture<'_, Result<Answer, AttemptError>>;
}

/// An answer to be rated.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct RatingRequest {
    pub(crate) version: String,
    pub(crate) class: String,
    pub(crate) prompt: serde_json::Value,
    pub(crate) answer: String,
}

/// What rates answers.
pub(crate) trait Rater {
    /// A score from 0 to 1, or `None` where the rater is slow, wrong or gone.
    fn rate(&self, request: RatingRequest) -> LocalFuture<'_, Option<f32>>;
}
