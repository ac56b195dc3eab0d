//! Pool of idle keep-alive connections, keyed by upstream address.

use std::cell::Cell;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::OutgoingRequest;
use super::RequestError;
use super::held::HeldMemory;
use super::socket::ReadBudget;
use super::socket::UpstreamStream;
use super::traffic::BodyTotals;
use crate::collections::HashMap;
use crate::policy::lost_responses::Reached;

/// Keep-alive time of a connection whose response has no `Keep-Alive: timeout=` parameter.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Longest keep-alive time that is obeyed as announced. It also keeps the instant at which a
/// connection expires within the range of the clock.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3600);

/// Subtracted from the keep-alive time, so that a request is rarely sent on a connection that the
/// upstream is about to close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of idle connections per address. Those above it are left over from a burst of
/// requests and are closed.
const IDLE_LIMIT_PER_ADDRESS: usize = 48;

/// Size limit of the connection's buffer, and so of a response head.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Most bytes that are read until the final head of a response is complete: informational responses
/// before it, itself, and what has arrived with it of the body.
const HEADS_LIMIT_BYTES: usize = 4 * HEAD_LIMIT_BYTES;

/// Most bytes that are read until the next piece of a body. The connection's buffer is filled before its
/// first piece is taken, and again before the next.
const PIECE_LIMIT_BYTES: usize = 4 * HEAD_LIMIT_BYTES;

type Sender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: Sender,
    read_budget: ReadBudget,
    expires_at: Instant,
}

type IdleConnections = Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// Any idle connection, or a new one.
    Allowed,
    /// A new one only.
    Forbidden,
}

/// Connection pool of one process; clones share the same connections.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    /// Header with the id of a request, which upstreams echo in its response.
    pub(super) id_header: HeaderName,
    pub(super) held: HeldMemory,
    pub(super) totals: Rc<Cell<BodyTotals>>,
    idle: IdleConnections,
}

/// A connection that is in use by one request. Dropping it closes the connection.
pub(super) struct PooledConnection {
    sender: Sender,
    read_budget: ReadBudget,
    address: SocketAddr,
    idle: IdleConnections,
    is_new: bool,
    is_reusable: bool,
}

impl PooledConnection {
    /// Sends a request and waits for the head of its response.
    pub(super) async fn send(
        &mut self,
        request: OutgoingRequest,
    ) -> Result<http::Response<Incoming>, TrySendError<OutgoingRequest>> {
        self.read_budget.set(HEADS_LIMIT_BYTES);
        let response = self.sender.try_send_request(request).await;
        self.expect_piece();
        response
    }

    /// Limits the bytes that are read until the next piece of the body, which is at least a byte long.
    pub(super) fn expect_piece(&self) {
        self.read_budget.set(PIECE_LIMIT_BYTES);
    }

    /// Returns whether the connection was opened for this request.
    pub(super) fn is_new(&self) -> bool {
        self.is_new
    }

    /// Keeps the connection out of the pool.
    pub(super) fn close_after_response(&mut self) {
        self.is_reusable = false;
    }

    /// Returns the connection to the pool, unless the response headers or the idle limit rule it
    /// out.
    pub(super) fn release(self, headers: &HeaderMap) {
        let Some(keep_alive) = keep_alive(headers) else {
            return;
        };
        if !self.is_reusable || self.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < IDLE_LIMIT_PER_ADDRESS {
            connections.push(IdleConnection {
                sender: self.sender,
                read_budget: self.read_budget,
                expires_at: Instant::now() + keep_alive,
            });
        }
    }
}

/// Returns how long the connection may stay idle; `None` if it must be closed.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let must_close = headers
        .get_all(CONNECTION)
        .iter()
        .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    if must_close {
        return None;
    }
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    let keep_alive = announced
        .unwrap_or(DEFAULT_KEEP_ALIVE)
        .min(MAX_KEEP_ALIVE)
        .saturating_sub(KEEP_ALIVE_MARGIN);
    (!keep_alive.is_zero()).then_some(keep_alive)
}

impl ConnectionPool {
    /// Creates a pool for requests whose id is in the header `id_header`. All responses without a
    /// length hold at most `held_limit` bytes together while they are read.
    pub(crate) fn new(id_header: HeaderName, held_limit: usize) -> Self {
        Self {
            id_header,
            held: HeldMemory::new(held_limit),
            totals: Rc::default(),
            idle: IdleConnections::default(),
        }
    }

    /// Returns a connection to `address`: an idle one if `reuse` permits, or a new one opened within
    /// `limit`.
    pub(super) async fn checkout(
        &self,
        address: SocketAddr,
        limit: Duration,
        reuse: Reuse,
    ) -> Result<PooledConnection, RequestError> {
        let idle = match reuse {
            Reuse::Allowed => self.pop_idle(address),
            Reuse::Forbidden => None,
        };
        let is_new = idle.is_none();
        let (sender, read_budget) = match idle {
            Some(connection) => connection,
            None => tokio::time::timeout(limit, connect(address))
                .await
                .map_err(|_| RequestError::NotSent("connection timed out"))??,
        };
        Ok(PooledConnection {
            sender,
            read_budget,
            address,
            idle: self.idle.clone(),
            is_new,
            is_reusable: true,
        })
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<(Sender, ReadBudget)> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if idle.expires_at > now && !idle.sender.is_closed() && idle.sender.is_ready() {
                return Some((idle.sender, idle.read_budget));
            }
        }
        None
    }

    /// Returns whether a request to `address` would probably get an idle connection. Only the one
    /// that is used next is checked, because placement asks often.
    pub(crate) fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let newest = idle
            .get(&address)
            .and_then(|connections| connections.last());
        newest.is_some_and(|idle| idle.expires_at > Instant::now() && !idle.sender.is_closed())
    }

    /// Returns what has been read of response bodies since the last call.
    pub(crate) fn take_totals(&self) -> BodyTotals {
        self.totals.take()
    }

    /// Closes connections whose keep-alive time has passed or that the upstream has closed.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the idle connections to an address after a request to it failed, since they may be
    /// just as unresponsive.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

/// Opens a connection to `address` and closes it again.
pub(crate) async fn probe(address: SocketAddr, limit: Duration) -> Reached {
    match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Reached::Accepted,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Reached::Refused,
        Ok(Err(_)) | Err(_) => Reached::Silent,
    }
}

async fn connect(address: SocketAddr) -> Result<(Sender, ReadBudget), RequestError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => RequestError::Refused,
            _ => RequestError::NotSent("connection failed"),
        })?;
    let stream = UpstreamStream::new(stream);
    let read_budget = stream.read_budget();
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_LIMIT_BYTES);
    let (sender, connection) = builder
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| RequestError::NotSent("connection closed before the request was sent"))?;
    tokio::task::spawn_local(async move {
        // The request on the connection reports how it ended.
        let _ = connection.await;
    });
    Ok((sender, read_budget))
}
