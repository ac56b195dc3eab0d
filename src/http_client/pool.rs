//! Kept connections by address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::Failure;
use super::socket;
use crate::collections::HashMap;

/// How long a connection is kept whose upstream does not say.
const KEPT: Duration = Duration::from_secs(4);

/// Taken off what the upstream says, so that a request rarely meets a connection being closed.
const KEPT_MARGIN: Duration = Duration::from_millis(500);

/// Connections kept for one address; more were a burst and are closed.
const KEPT_LIMIT: usize = 48;

/// Most bytes of an answer's head.
const HEAD_LIMIT: usize = 64 * 1024;

type Sender = SendRequest<Full<Bytes>>;

struct Kept {
    sender: Sender,
    until: Instant,
}

type Idle = Rc<RefCell<HashMap<SocketAddr, Vec<Kept>>>>;

/// Connections of one process; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    idle: Idle,
}

/// A connection in use. Dropping it closes the connection.
pub(super) struct Lease {
    sender: Sender,
    address: SocketAddr,
    idle: Idle,
    fresh: bool,
}

impl Lease {
    pub(super) fn sender(&mut self) -> &mut Sender {
        &mut self.sender
    }

    /// Whether the connection was made for this request.
    pub(super) fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Keeps the connection for the next request, unless the answer's head forbids it.
    pub(super) fn give_back(self, headers: &HeaderMap) {
        let Some(kept) = kept_for(headers) else {
            return;
        };
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let row = idle.entry(self.address).or_default();
        if row.len() < KEPT_LIMIT {
            row.push(Kept {
                sender: self.sender,
                until: Instant::now() + kept,
            });
        }
    }
}

/// How long the connection may be kept; `None` where it must be closed.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers
        .get_all(CONNECTION)
        .iter()
        .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes {
        return None;
    }
    let said = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    let kept = said.unwrap_or(KEPT).saturating_sub(KEPT_MARGIN);
    (!kept.is_zero()).then_some(kept)
}

impl Pool {
    /// A kept connection to `address`, or a new one made within `limit`.
    pub(super) async fn lease(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Lease, Failure> {
        let kept = self.take_kept(address);
        let fresh = kept.is_none();
        let sender = match kept {
            Some(sender) => sender,
            None => tokio::time::timeout(limit, connect(address))
                .await
                .map_err(|_| Failure::NotSent("no connection in time"))??,
        };
        Ok(Lease {
            sender,
            address,
            idle: self.idle.clone(),
            fresh,
        })
    }

    fn take_kept(&self, address: SocketAddr) -> Option<Sender> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let row = idle.get_mut(&address)?;
        while let Some(kept) = row.pop() {
            if kept.until > now && !kept.sender.is_closed() && kept.sender.is_ready() {
                return Some(kept.sender);
            }
        }
        None
    }

    /// Closes what has been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for row in idle.values_mut() {
            row.retain(|kept| kept.until > now && !kept.sender.is_closed());
        }
        idle.retain(|_, row| !row.is_empty());
    }

    /// Closes the kept connections to an address whose last request broke: the others may be as
    /// silent.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, Failure> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| Failure::NotSent("the connection was refused"))?;
    socket::configure_connected_socket(&stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_LIMIT);
    let (sender, connection) = builder
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Failure::NotSent("the connection was closed at once"))?;
    tokio::task::spawn_local(async move {
        // How a connection ends shows in the exchange on it.
        let _ = connection.await;
    });
    Ok(sender)
}
