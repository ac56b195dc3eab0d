//! Reads the usage that engines record per request, to settle claims whose entry is gone.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;

use super::Client;
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
    pub(crate) fn new() -> Self {
        Self {
            client: Client::new(),
        }
    }

    /// Returns the record of `request`, or `None` if the engine can't be reached or has no closed
    /// one.
    pub(crate) async fn fetch(
        &self,
        address: SocketAddr,
        request: RequestId,
    ) -> Option<UsageRecord> {
        let path = format!("/v1/records/{request}");
        let call = self
            .client
            .call_json(Method::GET, address, &path, Vec::new());
        tokio::time::timeout(FETCH_TIMEOUT, call).await.ok()?
    }
}
