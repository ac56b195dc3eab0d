//! HTTP client of engines, plain services and the rater.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Version;
use http::header;
use serde::Deserialize;

use super::ATTEMPT_HEADER;
use super::Attempt;
use super::AttemptError;
use super::Chunks;
use super::Client;
use super::Engine;
use super::LocalFuture;
use super::RESUME_HEADER;
use super::Rater;
use super::RatingRequest;
use super::Response;
use crate::http_client::RequestError;
use crate::http_client::Reuse;
use crate::http_client::UpstreamResponse;
use crate::lease::DISPATCH_TIMEOUT;

/// Longest wait for the rater's response.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends attempts and ratings over HTTP.
pub(crate) struct HttpEngine {
    client: Client,
    rater: Option<SocketAddr>,
}

impl HttpEngine {
    /// Creates a client with its own connection pool; `rater` is the rater's address.
    pub(crate) fn new(rater: Option<SocketAddr>) -> Self {
        Self {
            client: Client::new(),
            rater,
        }
    }

    async fn send_attempt(&self, attempt: Attempt) -> Result<Response, AttemptError> {
        let mut request = http::Request::builder()
            .method(attempt.method)
            .uri(attempt.path)
            .header(header::HOST, attempt.address.to_string())
            .header(ATTEMPT_HEADER, attempt.id);
        if let Some(content_type) = attempt.content_type {
            request = request.header(header::CONTENT_TYPE, content_type);
        }
        if let Some(at) = attempt.resume_at {
            request = request.header(RESUME_HEADER, at);
        }
        let body = Bytes::from_owner(attempt.body);
        let request = request
            .body(body.into())
            .map_err(|_| AttemptError::NotSent)?;
        let connections = &self.client.connections;
        let sent = connections.send(attempt.address, request, DISPATCH_TIMEOUT, Reuse::Allowed);
        let response = tokio::time::timeout(attempt.head_timeout, sent)
            .await
            .map_err(|_| AttemptError::Failed("no response head in time"))?
            .map_err(classify)?;
        let header = |name: &str| {
            let value = response.headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        Ok(Response {
            status: response.status.as_u16(),
            attempt_id: header(ATTEMPT_HEADER),
            content_type: header(header::CONTENT_TYPE.as_str()),
            chunks: Box::new(ResponseBody(Some(response))),
        })
    }
}

/// Classifies an error by whether the upstream may have run the request.
fn classify(e: RequestError) -> AttemptError {
    match e {
        RequestError::Refused | RequestError::NotSent(_) => AttemptError::NotSent,
        RequestError::Interrupted(_)
        | RequestError::Unattributed(_)
        | RequestError::Endless(_)
        | RequestError::GivenUp => AttemptError::Failed(e.reason()),
    }
}

/// The body of a response; `None` once it has been read.
struct ResponseBody(Option<UpstreamResponse>);

impl Chunks for ResponseBody {
    fn hold(&self, bytes: usize) -> Result<(), AttemptError> {
        let response = self.0.as_ref();
        let held = response.map_or(Ok(()), |response| response.hold(bytes));
        held.map_err(classify)
    }

    fn record_events(&self, events: usize) -> Result<(), AttemptError> {
        let response = self.0.as_ref();
        let recorded = response.map_or(Ok(()), |response| response.record_events(events));
        recorded.map_err(classify)
    }

    fn next(&mut self) -> LocalFuture<'_, Option<Result<Bytes, AttemptError>>> {
        Box::pin(async move {
            match self.0.as_mut()?.next_chunk().await {
                Some(chunk) => Some(chunk.map_err(classify)),
                None => {
                    let response = self.0.take()?;
                    if response.version == Version::HTTP_11 && !response.is_framed() {
                        // The end of the connection doesn't tell whether the body is complete.
                        return Some(Err(AttemptError::Failed("the connection closed early")));
                    }
                    response.release_connection();
                    None
                }
            }
        })
    }
}

impl Engine for HttpEngine {
    fn send(&self, attempt: Attempt) -> LocalFuture<'_, Result<Response, AttemptError>> {
        Box::pin(self.send_attempt(attempt))
    }
}

#[derive(Deserialize)]
struct RatingReply {
    score: f32,
}

impl Rater for HttpEngine {
    fn rate(&self, request: RatingRequest) -> LocalFuture<'_, Option<f32>> {
        Box::pin(async move {
            let body = serde_json::to_vec(&request).ok()?;
            let call = self
                .client
                .call_json(Method::POST, self.rater?, "/rate", body);
            let reply: RatingReply = tokio::time::timeout(RATING_TIMEOUT, call).await.ok()??;
            (0.0..=1.0).contains(&reply.score).then_some(reply.score)
        })
    }
}
