//! Engines, services and the rater over HTTP.

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
use super::Answer;
use super::Attempt;
use super::AttemptError;
use super::Chunks;
use super::Engine;
use super::LocalFuture;
use super::RESUME_HEADER;
use super::Rater;
use super::RatingRequest;
use crate::lease::DISPATCH_TIMEOUT;

/// Connections of one worker to one upstream.
const CONNECTIONS: usize = 512;

/// Idle time after which a connection is closed, in seconds. Shorter than what servers keep, so
/// that a request rarely meets a connection that is being closed.
const KEEP_ALIVE_S: u16 = 4;

/// Time in which the rater must answer.
const RATING_LIMIT: Duration = Duration::from_secs(2);

/// Adapter for upstreams that speak HTTP.
pub(crate) struct HttpEngine {
    client: Client,
    rater: Option<SocketAddr>,
}

impl HttpEngine {
    /// An adapter with connections of its own.
    pub(crate) async fn new(rater: Option<SocketAddr>) -> Self {
        let connector = Connector::new()
            .limit(CONNECTIONS)
            .keep_alive(ntex::time::Seconds(KEEP_ALIVE_S));
        let mut cfg = ntex::SharedCfg::new("upstream");
        let connect_limit = u32::try_from(DISPATCH_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
        cfg = cfg.add(ntex::io::IoConfig::new().set_connect_timeout(Millis(connect_limit)));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_redirects()
            .no_default_headers()
            .build(cfg)
            .await
            .expect("the connector has no settings that could fail");
        Self { client, rater }
    }

    async fn send(&self, attempt: Attempt) -> Result<Answer, AttemptError> {
        let url = format!("http://{}{}", attempt.address, attempt.path);
        let limit = u32::try_from(attempt.limit.as_millis()).unwrap_or(u32::MAX);
        let request = self
            .client
            .request(attempt.method, url)
            .timeout(Millis(limit))
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
        Ok(Answer {
            status: response.status().as_u16(),
            attempt: header(ATTEMPT_HEADER),
            content_type: header("content-type"),
            chunks: Box::new(Body(response)),
        })
    }
}

/// Only a failure to connect proves that nothing was sent.
fn classify(e: ClientError) -> AttemptError {
    match e {
        ClientError::Connect(_) | ClientError::Url(_) => AttemptError::NotSent,
        ClientError::Timeout => AttemptError::Broken("no answer in time"),
        _ => AttemptError::Broken("the connection broke"),
    }
}

struct Body(ClientResponse);

impl Chunks for Body {
    fn next(&mut self) -> LocalFuture<'_, Option<Result<Bytes, AttemptError>>> {
        Box::pin(async move {
            let item = stream_recv(&mut self.0).await?;
            Some(item.map_err(|_| AttemptError::Broken("the answer broke off")))
        })
    }
}

impl Engine for HttpEngine {
    fn start(&self, attempt: Attempt) -> LocalFuture<'_, Result<Answer, AttemptError>> {
        Box::pin(self.send(attempt))
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
            let limit = u32::try_from(RATING_LIMIT.as_millis()).unwrap_or(u32::MAX);
            let request = self
                .client
                .post(url)
                .timeout(Millis(limit))
                .send_json(&request);
            let response = request.await.ok()?;
            let reply: RatingReply = response.json().await.ok()?;
            (0.0..=1.0).contains(&reply.score).then_some(reply.score)
        })
    }
}
