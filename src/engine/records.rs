//! Reads the usage that engines record per request, to settle claims whose entry is gone.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Client;
use ntex::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::state::RequestId;

/// Longest wait for an engine's response.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The tokens that one request used, as the engine recorded them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct UsageRecord {
    /// Prompt tokens.
    pub(crate) tokens_in: u64,
    /// Generated tokens.
    pub(crate) tokens_out: u64,
    /// Whether the complete response was sent.
    pub(crate) whole: bool,
}

/// Fetches usage records from engines.
pub(crate) struct RecordClient {
    client: Client,
}

impl RecordClient {
    /// Creates a client with its own connection pool.
    pub(crate) async fn new() -> Self {
        Self {
            client: Client::new().await,
        }
    }

    /// Returns the record of `request`, or `None` if the engine can't be reached or has no closed
    /// one.
    pub(crate) async fn fetch(
        &self,
        address: SocketAddr,
        request: RequestId,
    ) -> Option<UsageRecord> {
        let url = format!("http://{address}/v1/records/{request}");
        let timeout_ms = u32::try_from(FETCH_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
        let response = self
            .client
            .get(url)
            .timeout(Millis(timeout_ms))
            .send()
            .await
            .ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json().await.ok()
    }
}
