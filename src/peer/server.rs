//! The server side: one encoded request and reply per `h2` stream.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::server::SendResponse;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::Reply;
use super::Request;
use super::socket;
use crate::codec;
use crate::collections::Name;
use crate::config::KeyHash;

/// Most bytes of one encoded message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Flow-control window of a stream and of a connection, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Most streams that one connection may have open.
const MAX_CONCURRENT_STREAMS: u32 = 4096;

/// Most connections that a replica serves at a time; further ones are closed.
pub const MAX_CONNECTIONS: usize = 4096;

/// Largest head of a request, in bytes. It holds a key.
const MAX_HEADER_BYTES: u32 = 16 * 1024;

/// Time within which the `h2` handshake of a connection must end.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The authenticated sender of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// A process of the system.
    Peer,
    /// An operator, by name.
    Operator(Name),
}

/// Counts of a listener since its start, for metrics and the log.
#[derive(Debug, Default)]
pub struct Traffic {
    connections: Cell<usize>,
    reply_bytes: Cell<u64>,
    largest_reply_bytes: Cell<usize>,
}

impl Traffic {
    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns the size of all replies, in bytes.
    pub fn reply_bytes(&self) -> u64 {
        self.reply_bytes.get()
    }

    /// Returns the size of the largest reply since the last call, in bytes.
    pub fn take_largest_reply_bytes(&self) -> usize {
        self.largest_reply_bytes.take()
    }

    fn record_reply(&self, bytes: usize) {
        self.reply_bytes.set(self.reply_bytes.get() + bytes as u64);
        let largest = self.largest_reply_bytes.get().max(bytes);
        self.largest_reply_bytes.set(largest);
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Rc<Traffic>);

impl OpenConnection {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic.connections.set(traffic.connections.get() + 1);
        Self(traffic.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Hashes of the keys that the listener accepts.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Key of the system's own processes.
    pub peer: KeyHash,
    /// Keys of the operators, by name.
    pub operators: Vec<(Name, KeyHash)>,
}

impl Keys {
    /// Returns the sender that `key` belongs to. All known keys are compared, so that the time
    /// taken does not depend on which one matches.
    fn authenticate(&self, key: &str) -> Option<Caller> {
        let hash = KeyHash::of(key);
        let mut caller = None;
        for (name, known) in &self.operators {
            if known.matches(&hash) {
                caller = Some(Caller::Operator(name.clone()));
            }
        }
        if self.peer.matches(&hash) {
            caller = Some(Caller::Peer);
        }
        caller
    }
}

/// Handles decoded requests.
pub trait Handler {
    /// Handles one request and returns its reply.
    fn call(&self, caller: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>>;
}

/// Accepts and serves up to `max_connections` at a time on the current thread; never returns.
pub async fn serve(
    listener: TcpListener,
    max_connections: usize,
    keys: Rc<Keys>,
    handler: Rc<dyn Handler>,
    traffic: Rc<Traffic>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if traffic.connections() >= max_connections {
            continue;
        }
        let open = OpenConnection::new(&traffic);
        let (keys, handler) = (keys.clone(), handler.clone());
        tokio::task::spawn_local(serve_connection(stream, keys, handler, open));
    }
}

async fn serve_connection(
    stream: TcpStream,
    keys: Rc<Keys>,
    handler: Rc<dyn Handler>,
    open: OpenConnection,
) {
    socket::configure(&stream);
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES);
    let handshake = builder.handshake(stream);
    let Ok(Ok(mut connection)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let (keys, handler) = (keys.clone(), handler.clone());
        let traffic = open.0.clone();
        tokio::task::spawn_local(serve_stream(request, respond, keys, handler, traffic));
    }
}

async fn serve_stream(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    keys: Rc<Keys>,
    handler: Rc<dyn Handler>,
    traffic: Rc<Traffic>,
) {
    let key = request
        .headers()
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    let Some(caller) = keys.authenticate(key) else {
        send_error(&mut respond, StatusCode::UNAUTHORIZED);
        return;
    };
    let Some(body) = read_body(request.into_body()).await else {
        send_error(&mut respond, StatusCode::PAYLOAD_TOO_LARGE);
        return;
    };
    let Ok(decoded) = codec::decode::<Request>(&body) else {
        send_error(&mut respond, StatusCode::BAD_REQUEST);
        return;
    };
    let reply = handler.call(caller, decoded).await;
    let head = http::Response::new(());
    if let Ok(mut stream) = respond.send_response(head, false) {
        let body = codec::encode(&reply);
        traffic.record_reply(body.len());
        let _ = stream.send_data(body.into(), true);
    }
}

fn send_error(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = http::Response::new(());
    *head.status_mut() = status;
    let _ = respond.send_response(head, true);
}

/// Reads a body to its end. Returns `None` where the stream breaks or the body exceeds
/// [`MAX_MESSAGE_BYTES`].
pub(crate) async fn read_body(mut body: RecvStream) -> Option<BytesMut> {
    let mut collected = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        if collected.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        collected.extend_from_slice(&chunk);
        body.flow_control().release_capacity(chunk.len()).ok()?;
    }
    Some(collected)
}
