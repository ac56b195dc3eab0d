//! What an engine remembers of a request, for claims whose entry is gone.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Client;
use ntex::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::state::RequestId;

/// Time in which an engine must answer.
const LIMIT: Duration = Duration::from_secs(2);

/// An engine's record of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct UsageRecord {
    /// Prompt tokens.
    pub(crate) tokens_in: u64,
    /// Generated tokens.
    pub(crate) tokens_out: u64,
    /// Whether the answer was sent whole.
    pub(crate) whole: bool,
}

/// Asks engines for their records.
pub(crate) struct RecordClient {
    client: Client,
}

impl RecordClient {
    pub(crate) async fn new() -> Self {
        Self {
            client: Client::new().await,
        }
    }

    /// The record of `request`, if the engine answers and has one that is closed.
    pub(crate) async fn fetch(
        &self,
        address: SocketAddr,
        request: RequestId,
    ) -> Option<UsageRecord> {
        let url = format!("http://{address}/v1/records/{request}");
        let limit = u32::try_from(LIMIT.as_millis()).unwrap_or(u32::MAX);
        let response = self
            .client
            .get(url)
            .timeout(Millis(limit))
            .send()
            .await
            .ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json().await.ok()
    }
}
