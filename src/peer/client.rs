//! The calling side: one connection per address, opened when it is needed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::StatusCode;
use snafu::Snafu;
use tokio::net::TcpStream;

use super::Reply;
use super::Request;
use super::server::WINDOW_BYTES;
use super::server::collect;
use crate::codec;
use crate::collections::HashMap;

/// Time in which a connection must be made.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Why a call has no reply.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection was made: the request was not sent.
    #[snafu(display("{address} can't be reached; check that daisyquay-state runs there"))]
    Unreachable {
        /// Address.
        address: SocketAddr,
    },
    /// The connection broke or the time ran out: the request may have been carried out.
    #[snafu(display("{address} did not answer; the request may have been carried out"))]
    NoReply {
        /// Address.
        address: SocketAddr,
    },
    /// The key is not known there.
    #[snafu(display("{address} refused the key; check --peer-key or --operator-key"))]
    Unauthorized {
        /// Address.
        address: SocketAddr,
    },
    /// The other side could not read the request.
    #[snafu(display("{address} could not read the request; run the same version on both sides"))]
    Protocol {
        /// Address.
        address: SocketAddr,
    },
}

/// Calls other processes; clones share connections.
#[derive(Clone)]
pub struct Client {
    key: Rc<str>,
    connections: Rc<RefCell<HashMap<SocketAddr, SendRequest<Bytes>>>>,
}

impl Client {
    /// A client that shows `key`.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.into(),
            connections: Rc::default(),
        }
    }

    /// Calls `address` and waits for the reply until `limit` has passed.
    ///
    /// # Errors
    ///
    /// [`CallError`] says whether the request may have been carried out.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let body = codec::encode(request);
        let sender = self.connection(address).await?;
        match tokio::time::timeout(limit, self.exchange(address, sender, body)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => {
                self.forget(address);
                Err(e)
            }
            Err(_) => {
                // A silent cut leaves the connection open for long; the next call makes a new one.
                self.forget(address);
                NoReplySnafu { address }.fail()
            }
        }
    }

    fn forget(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    async fn connection(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
        let known = self.connections.borrow().get(&address).cloned();
        if let Some(sender) = known
            && let Ok(ready) = sender.ready().await
        {
            return Ok(ready);
        }
        let connect = connect(address);
        let made = tokio::time::timeout(CONNECT_LIMIT, connect).await;
        let Some(sender) = made.ok().flatten() else {
            self.forget(address);
            return UnreachableSnafu { address }.fail();
        };
        self.connections
            .borrow_mut()
            .insert(address, sender.clone());
        Ok(sender)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: SendRequest<Bytes>,
        body: Vec<u8>,
    ) -> Result<Reply, CallError> {
        let broken = |_| CallError::NoReply { address };
        let head = http::Request::post(format!("http://{address}/"))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(())
            .map_err(|_| CallError::Protocol { address })?;
        let (response, mut stream) = sender.send_request(head, false).map_err(broken)?;
        stream.send_data(body.into(), true).map_err(broken)?;
        let response = response.await.map_err(broken)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::UNAUTHORIZED => return UnauthorizedSnafu { address }.fail(),
            _ => return ProtocolSnafu { address }.fail(),
        }
        let Some(body) = collect(response.into_body()).await else {
            return NoReplySnafu { address }.fail();
        };
        codec::decode(&body).map_err(|_| CallError::Protocol { address })
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Bytes>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let (sender, connection) = builder.handshake::<_, Bytes>(stream).await.ok()?;
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    sender.ready().await.ok()
}
