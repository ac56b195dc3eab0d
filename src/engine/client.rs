//! Connections of one thread to upstreams, and calls over them that send and receive JSON.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;
use http::Method;
use http::header;
use serde::de::DeserializeOwned;

use super::ATTEMPT_HEADER;
use crate::http_client::ConnectionPool;
use crate::http_client::Reuse;
use crate::lease::DISPATCH_TIMEOUT;

/// Interval between sweeps for expired connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Largest response body of a call.
const BODY_LIMIT_BYTES: usize = 64 * 1024;

/// Most memory that all responses of one thread hold while they are read, in bytes: two of the largest
/// that the relay takes.
const HELD_LIMIT_BYTES: usize = 128 * 1024 * 1024;

/// A connection pool, and the ids of the calls over it.
pub(super) struct Client {
    pub(super) connections: ConnectionPool,
    calls: Cell<u64>,
}

impl Client {
    /// Creates a client, whose expired connections the current thread's runtime closes.
    pub(super) fn new() -> Self {
        let connections =
            ConnectionPool::new(HeaderName::from_static(ATTEMPT_HEADER), HELD_LIMIT_BYTES);
        tokio::task::spawn_local(sweep(connections.clone()));
        Self {
            connections,
            calls: Cell::new(0),
        }
    }

    /// Returns the response to a call; `None` if the call failed or its response is no such value.
    pub(super) async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Option<T> {
        self.calls.set(self.calls.get() + 1);
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, format!("call-{}", self.calls.get()))
            .body(body.into())
            .ok()?;
        let sent = self
            .connections
            .send(address, request, DISPATCH_TIMEOUT, Reuse::Allowed);
        let (head, body) = sent.await.ok()?.read_to_end(BODY_LIMIT_BYTES).await.ok()?;
        if !head.status.is_success() {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }
}

async fn sweep(connections: ConnectionPool) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        connections.close_expired();
    }
}
