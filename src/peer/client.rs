//! The client side: one connection per address, opened on first use.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use h2::client::SendRequest;
use http::StatusCode;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::Reply;
use super::Request;
use super::server::WINDOW_BYTES;
use super::server::read_body;
use super::socket;
use crate::codec;
use crate::collections::HashMap;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time until another connection attempt is made beside one without a reply, twice as long after
/// each attempt. A VM that is just starting misses the first packet, and the operating system
/// repeats it only after 1 s. The first attempt goes on, because a handshake may also take longer.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its last use from which a connection is not used again. It may have fallen silent
/// meanwhile, which would cost a whole call to find out. Renewals and the log's messages come more
/// often.
const IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Error of a call without a reply.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be established: the request was not sent.
    #[snafu(display("{address} can't be reached; check that daisyquay-state runs there"))]
    Unreachable {
        /// Address.
        address: SocketAddr,
    },
    /// The address refuses connections: nothing listens there. The request was not sent.
    #[snafu(display("nothing listens at {address}; check that daisyquay-state runs there"))]
    NotListening {
        /// Address.
        address: SocketAddr,
    },
    /// The connection broke or the call timed out: the request may have been executed.
    #[snafu(display("{address} did not reply; the request may have been executed"))]
    NoReply {
        /// Address.
        address: SocketAddr,
    },
    /// The other side does not know the key.
    #[snafu(display("{address} rejected the key; check --peer-key or --operator-key"))]
    Unauthorized {
        /// Address.
        address: SocketAddr,
    },
    /// One side could not decode the other's message.
    #[snafu(display(
        "messages to or from {address} can't be decoded; run the same version on both sides"
    ))]
    Protocol {
        /// Address.
        address: SocketAddr,
    },
}

/// Calls other processes of the system; clones share connections.
#[derive(Clone)]
pub struct Client {
    key: Rc<str>,
    connections: Rc<RefCell<HashMap<SocketAddr, Connection>>>,
}

struct Connection {
    sender: SendRequest<Bytes>,
    used_at: Instant,
}

impl Client {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.into(),
            connections: Rc::default(),
        }
    }

    /// Calls `address` and waits at most `timeout` for the reply, once connected.
    ///
    /// # Errors
    ///
    /// [`CallError`] says whether the request may have been executed.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let body = codec::encode(request);
        let sender = self.connection(address).await?;
        match tokio::time::timeout(timeout, self.round_trip(address, sender, body)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => {
                self.drop_connection(address);
                Err(e)
            }
            Err(_) => {
                // In a network partition a dead connection stays open for a long time; the next
                // call opens a new one.
                self.drop_connection(address);
                NoReplySnafu { address }.fail()
            }
        }
    }

    /// Closes all connections once their open calls have ended.
    pub(crate) fn drop_connections(&self) {
        self.connections.borrow_mut().clear();
    }

    fn drop_connection(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    async fn connection(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
        if let Some(sender) = self.recent_connection(address)
            && let Ok(ready) = sender.ready().await
        {
            return Ok(ready);
        }
        let connect = connect(address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let sender = match connected {
            Ok(Ok(sender)) => sender,
            failed => {
                self.drop_connection(address);
                let is_refused = matches!(failed, Ok(Err(io::ErrorKind::ConnectionRefused)));
                return if is_refused {
                    NotListeningSnafu { address }.fail()
                } else {
                    UnreachableSnafu { address }.fail()
                };
            }
        };
        let connection = Connection {
            sender: sender.clone(),
            used_at: Instant::now(),
        };
        self.connections.borrow_mut().insert(address, connection);
        Ok(sender)
    }

    /// Returns the connection to `address`, unless it was idle for [`IDLE_LIMIT`].
    fn recent_connection(&self, address: SocketAddr) -> Option<SendRequest<Bytes>> {
        let mut connections = self.connections.borrow_mut();
        let connection = connections.get_mut(&address)?;
        if connection.used_at.elapsed() > IDLE_LIMIT {
            return None;
        }
        connection.used_at = Instant::now();
        Some(connection.sender.clone())
    }

    async fn round_trip(
        &self,
        address: SocketAddr,
        mut sender: SendRequest<Bytes>,
        body: Vec<u8>,
    ) -> Result<Reply, CallError> {
        let no_reply = |_| CallError::NoReply { address };
        let head = http::Request::post(format!("http://{address}/"))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(())
            .map_err(|_| CallError::Protocol { address })?;
        let (response, mut stream) = sender.send_request(head, false).map_err(no_reply)?;
        stream.send_data(body.into(), true).map_err(no_reply)?;
        let response = response.await.map_err(no_reply)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::UNAUTHORIZED => return UnauthorizedSnafu { address }.fail(),
            _ => return ProtocolSnafu { address }.fail(),
        }
        let Some(body) = read_body(response.into_body()).await else {
            return NoReplySnafu { address }.fail();
        };
        codec::decode(&body).map_err(|_| CallError::Protocol { address })
    }
}

/// Makes an attempt, and further ones beside it while there is no reply, and returns the result of
/// the one that ends first; `None` if it panics. Runs in a `LocalSet`.
pub async fn repeat_until_reply<T, F>(mut attempt: impl FnMut() -> F) -> Option<T>
where
    T: 'static,
    F: Future<Output = T> + 'static,
{
    let mut attempts = JoinSet::new();
    let mut limit = CONNECT_RETRY_INTERVAL;
    loop {
        attempts.spawn_local(attempt());
        match tokio::time::timeout(limit, attempts.join_next()).await {
            Ok(result) => return result?.ok(),
            Err(_) => limit *= 2,
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Bytes>, io::ErrorKind> {
    let stream = repeat_until_reply(move || TcpStream::connect(address)).await;
    let stream = stream.ok_or(io::ErrorKind::Other)?.map_err(|e| e.kind())?;
    socket::configure(&stream);
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let handshake = builder.handshake::<_, Bytes>(stream).await;
    let (sender, connection) = handshake.map_err(|_| io::ErrorKind::Other)?;
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    sender.ready().await.map_err(|_| io::ErrorKind::Other)
}
