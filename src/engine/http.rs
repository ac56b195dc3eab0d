//! HTTP client of engines, plain services and the rater.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::time::Millis;
use ntex::util::Bytes;
use ntex::util::stream_recv;
use serde::Deserialize;

use super::ATTEMPT_HEADER;
use super::Attempt;
use super::AttemptError;
use super::Chunks;
use super::Engine;
use super::LocalFuture;
use super::RESUME_HEADER;
use super::Rater;
use super::RatingRequest;
use super::Response;
use crate::lease::DISPATCH_TIMEOUT;

/// Most connections of one worker to one upstream.
const MAX_CONNECTIONS: usize = 512;

/// Idle time in seconds after which a pooled connection is closed. It is shorter than the
/// keep-alive timeout of servers, so that a request is rarely sent on a connection that the server
/// is closing.
const KEEP_ALIVE_S: u16 = 4;

/// Longest wait for the rater's response.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends attempts and ratings over HTTP.
pub(crate) struct HttpEngine {
    client: Client,
    rater: Option<SocketAddr>,
}

impl HttpEngine {
    /// Creates a client with its own connection pool; `rater` is the rater's address.
    pub(crate) async fn new(rater: Option<SocketAddr>) -> Self {
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .keep_alive(ntex::time::Seconds(KEEP_ALIVE_S));
        let mut cfg = ntex::SharedCfg::new("upstream");
        let connect_timeout_ms = u32::try_from(DISPATCH_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
        cfg = cfg.add(ntex::io::IoConfig::new().set_connect_timeout(Millis(connect_timeout_ms)));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_redirects()
            .no_default_headers()
            .build(cfg)
            .await
            .expect("the connector's settings are valid");
        Self { client, rater }
    }

    async fn send_attempt(&self, attempt: Attempt) -> Result<Response, AttemptError> {
        let url = format!("http://{}{}", attempt.address, attempt.path);
        let timeout_ms = u32::try_from(attempt.head_timeout.as_millis()).unwrap_or(u32::MAX);
        let request = self
            .client
            .request(attempt.method, url)
            .timeout(Millis(timeout_ms))
            .header(ATTEMPT_HEADER, attempt.id)
            .if_some(attempt.content_type, |value, request| {
                request.set_header("content-type", value)
            })
            .if_some(attempt.resume_at, |at, request| {
                request.header(RESUME_HEADER, at.to_string())
            });
        let response = request.send_body(attempt.body).await.map_err(classify)?;
        let header = |name: &str| {
            let value = response.header(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        Ok(Response {
            status: response.status().as_u16(),
            attempt_id: header(ATTEMPT_HEADER),
            content_type: header("content-type"),
            chunks: Box::new(ResponseBody(response)),
        })
    }
}

/// Classifies an error by whether the request may have been sent. Only a failure to connect proves
/// that it was not.
fn classify(e: ClientError) -> AttemptError {
    match e {
        ClientError::Connect(_) | ClientError::Url(_) => AttemptError::NotSent,
        ClientError::Timeout => AttemptError::Failed("no response head in time"),
        _ => AttemptError::Failed("the connection failed"),
    }
}

struct ResponseBody(ClientResponse);

impl Chunks for ResponseBody {
    fn next(&mut self) -> LocalFuture<'_, Option<Result<Bytes, AttemptError>>> {
        Box::pin(async move {
            let item = stream_recv(&mut self.0).await?;
            Some(item.map_err(|_| AttemptError::Failed("the connection closed early")))
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
            let url = format!("http://{}/rate", self.rater?);
            let timeout_ms = u32::try_from(RATING_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
            let request = self
                .client
                .post(url)
                .timeout(Millis(timeout_ms))
                .send_json(&request);
            let response = request.await.ok()?;
            let reply: RatingReply = response.json().await.ok()?;
            (0.0..=1.0).contains(&reply.score).then_some(reply.score)
        })
    }
}
