//! HTTP/1.1 client for upstreams, without pipelining.
//!
//! A connection returns to the pool only after the whole response was read, if no bytes followed it
//! and the upstream did not ask to close. Dropping a request or response before its end closes the
//! connection, which cancels the work at the upstream.
//!
//! An upstream may write an old response once more, where the next one is expected. A response
//! therefore belongs to a request if it has the request's id, or if it has none and is the first one
//! on its connection; such a connection is not used again. A request whose id an upstream may have
//! received before goes over a new connection.

mod body_buffer;
mod held;
mod pool;
mod socket;
mod traffic;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::Version;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;

pub(crate) use self::pool::ConnectionPool;
pub(crate) use self::pool::Reuse;
pub(crate) use self::pool::probe;
pub use self::socket::UpstreamStream;
pub(crate) use self::socket::configure_accepted_socket;
pub(crate) use self::traffic::BodyTotals;

use self::body_buffer::BodyBuffer;
use self::held::Held;
use self::pool::PooledConnection;
use self::traffic::BodyTraffic;

/// Why a request has no response, or only part of one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestError {
    /// The upstream refused the connection: no process listens there, or it has too many
    /// connections.
    Refused,
    /// No byte of the request reached the upstream.
    NotSent(&'static str),
    /// The request was sent at least in part, so the upstream may have run it.
    Interrupted(&'static str),
    /// The request was sent, and a response arrived that may belong to another one. The upstream may
    /// have run the request.
    Unattributed(&'static str),
    /// The response goes beyond a limit for sound ones, so that it may have no end.
    Endless(&'static str),
    /// All responses together hold too much memory, and this one was given up for the others. That alone
    /// is no failure of its upstream.
    GivenUp,
}

impl RequestError {
    /// Returns the reason for the log.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Refused => "connection refused",
            Self::GivenUp => "responses hold too much memory",
            Self::NotSent(reason)
            | Self::Interrupted(reason)
            | Self::Unattributed(reason)
            | Self::Endless(reason) => reason,
        }
    }
}

/// A response whose body has not been read to its end.
pub(crate) struct UpstreamResponse {
    pub(crate) version: Version,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    is_framed: bool,
    has_length: bool,
    held: Held,
    traffic: BodyTraffic,
    body: Incoming,
    connection: PooledConnection,
}

/// Most bytes of a body that is not used which are read so that the connection can be used again.
const DISCARD_LIMIT_BYTES: usize = 64 * 1024;

impl UpstreamResponse {
    /// Returns whether the response has a length or chunks, rather than to end with its connection.
    pub(crate) fn is_framed(&self) -> bool {
        self.is_framed
    }

    /// Returns the next chunk of the body; `None` at its end. If the body has no length and ends
    /// with the connection, an unclean close is an error.
    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, RequestError>> {
        loop {
            let frame = tokio::select! {
                biased;
                e = self.held.given_up() => return Some(Err(e)),
                frame = self.body.frame() => frame,
            };
            match frame? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        self.traffic.record_piece(data.len());
                        let recorded = self.held.record_pieces(1, data.len());
                        return Some(recorded.map(|()| data));
                    }
                }
                Err(_) => {
                    return Some(Err(RequestError::Interrupted("incomplete response body")));
                }
            }
        }
    }

    /// Records how many bytes of the body the reader holds, without those that it has passed on. A
    /// response with a length ends by itself, and is bounded by that alone.
    ///
    /// # Errors
    ///
    /// All responses together hold too much, and this one is given up.
    pub(crate) fn hold(&self, bytes: usize) -> Result<(), RequestError> {
        if self.has_length {
            return Ok(());
        }
        self.held.set(bytes)
    }

    /// Records `events` complete events beyond one a piece of the body, each of which takes as much time as
    /// a piece.
    ///
    /// # Errors
    ///
    /// All responses together take too much time, and this one is given up.
    pub(crate) fn record_events(&self, events: usize) -> Result<(), RequestError> {
        self.held.record_pieces(events, 0)
    }

    /// Reads the whole body, up to `limit` bytes, and returns the connection to the pool.
    pub(crate) async fn read_to_end(
        mut self,
        limit: usize,
    ) -> Result<(ResponseHead, Bytes), RequestError> {
        let too_large = RequestError::Interrupted("response body exceeds the size limit");
        if self.body.size_hint().lower() > limit as u64 {
            return Err(too_large);
        }
        let mut buf = BodyBuffer::default();
        while let Some(chunk) = self.next_chunk().await {
            let chunk = chunk?;
            if buf.len() + chunk.len() > limit {
                return Err(too_large);
            }
            buf.push(&chunk);
            self.hold(buf.allocated())?;
        }
        Ok((self.release_connection(), buf.into_bytes()))
    }

    /// Reads and drops the body and returns the connection to the pool. Closes the connection of a
    /// large body.
    pub(crate) async fn discard(mut self) {
        let mut discarded = 0;
        while let Some(chunk) = self.next_chunk().await {
            discarded += match chunk {
                Ok(chunk) if discarded + chunk.len() <= DISCARD_LIMIT_BYTES => chunk.len(),
                _ => return,
            };
        }
        self.release_connection();
    }

    /// Returns the connection to the pool. The whole body must have been read.
    pub(crate) fn release_connection(self) -> ResponseHead {
        self.connection.release(&self.headers);
        ResponseHead {
            status: self.status,
            headers: self.headers,
        }
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers
        .get(TRANSFER_ENCODING)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// A request to an upstream, with its whole body.
pub(crate) type OutgoingRequest = http::Request<Full<Bytes>>;

impl ConnectionPool {
    /// Sends a request and waits for the head of its response. If an idle connection turns out to
    /// be closed before anything was written on it, tries the next one, and a new one last.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: OutgoingRequest,
        connect_limit: Duration,
        reuse: Reuse,
    ) -> Result<UpstreamResponse, RequestError> {
        let id = request.headers().get(&self.id_header).cloned();
        let mut request = request;
        loop {
            let mut connection = self.checkout(address, connect_limit, reuse).await?;
            let is_new = connection.is_new();
            match connection.send(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let echoed = head.headers.get(&self.id_header);
                    if echoed.is_some() && echoed != id.as_ref() {
                        return Err(RequestError::Unattributed("response to another request"));
                    }
                    if echoed.is_none() {
                        if !is_new {
                            return Err(RequestError::Unattributed(
                                "response without an id on a reused connection",
                            ));
                        }
                        connection.close_after_response();
                    }
                    let has_length = body.size_hint().exact().is_some();
                    return Ok(UpstreamResponse {
                        has_length,
                        held: self.held.open(address),
                        traffic: BodyTraffic::new(address, head.status, self.totals.clone()),
                        version: head.version,
                        is_framed: has_length || is_chunked(&head.headers),
                        status: head.status,
                        headers: head.headers,
                        body,
                        connection,
                    });
                }
                Err(mut e) => match e.take_message() {
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => {
                        return Err(RequestError::NotSent(
                            "connection closed before the request was sent",
                        ));
                    }
                    None => {
                        return Err(RequestError::Interrupted(
                            "connection closed before a response",
                        ));
                    }
                },
            }
        }
    }
}
