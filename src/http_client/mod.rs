//! HTTP/1.1 connections to upstreams, one request at a time on each.
//!
//! A connection is kept only while nothing about it is in doubt: the whole answer was read, nothing
//! came after it, and the upstream did not ask to close. Dropping an exchange closes its connection,
//! which cancels the work at the upstream.

mod pool;
mod socket;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;

pub(crate) use self::pool::Pool;
pub(crate) use self::socket::configure_accepted_socket;

use self::pool::Lease;

/// Why an exchange has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// No connection was made: the upstream has seen nothing.
    NotSent(&'static str),
    /// The request was sent, or part of it: it may have run.
    Broken(&'static str),
}

impl Failure {
    /// What happened, for the log.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NotSent(reason) | Self::Broken(reason) => reason,
        }
    }
}

/// The head of an answer whose body follows.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    body: Incoming,
    lease: Lease,
}

impl Answer {
    /// The next piece of the body; `None` once it is whole. A body that ends with its connection
    /// is whole only if the connection was closed in order.
    pub(crate) async fn chunk(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(_) => return Some(Err(Failure::Broken("the answer broke off"))),
            }
        }
    }

    /// Reads the whole body, up to `limit` bytes, and gives the connection back.
    pub(crate) async fn whole(mut self, limit: usize) -> Result<(Head, Bytes), Failure> {
        let mut buf = bytes::BytesMut::new();
        while let Some(chunk) = self.chunk().await {
            let chunk = chunk?;
            if buf.len() + chunk.len() > limit {
                return Err(Failure::Broken("the answer is too long"));
            }
            buf.extend_from_slice(&chunk);
        }
        Ok((self.finish(), buf.freeze()))
    }

    /// Gives the connection back; the whole body has been read.
    pub(crate) fn finish(self) -> Head {
        self.lease.give_back(&self.headers);
        Head {
            status: self.status,
            headers: self.headers,
        }
    }
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// A request to an upstream.
pub(crate) type Outgoing = http::Request<Full<Bytes>>;

impl Pool {
    /// Sends a request and waits for the head of its answer. A kept connection that turns out
    /// closed before anything was written is replaced once.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Outgoing,
        connect_limit: Duration,
    ) -> Result<Answer, Failure> {
        let mut request = request;
        loop {
            let mut lease = self.lease(address, connect_limit).await?;
            let fresh = lease.is_fresh();
            match lease.sender().try_send_request(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    return Ok(Answer {
                        status: head.status,
                        headers: head.headers,
                        body,
                        lease,
                    });
                }
                Err(mut e) => match e.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(Failure::NotSent("the connection was closed at once")),
                    None => return Err(Failure::Broken("no answer before the connection ended")),
                },
            }
        }
    }
}
