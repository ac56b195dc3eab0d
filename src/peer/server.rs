//! The listening side: `h2` streams, each with one encoded request.

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
use crate::codec;
use crate::collections::Name;
use crate::config::KeyHash;

/// Most bytes of one message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Flow-control window of a stream and of a connection, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Streams that one connection may have open.
const STREAM_LIMIT: u32 = 4096;

/// Connections that are served at once.
const CONNECTION_LIMIT: usize = 4096;

/// Time in which a connection must shake hands.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(5);

/// Who calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// One of our own processes.
    Peer,
    /// An operator.
    Operator(Name),
}

/// Keys that the listener takes.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Of our own processes.
    pub peer: KeyHash,
    /// Of operators, by name.
    pub operators: Vec<(Name, KeyHash)>,
}

impl Keys {
    fn caller(&self, key: &str) -> Option<Caller> {
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

/// What answers requests.
pub trait Handler {
    /// Answers one request.
    fn call(&self, caller: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>>;
}

/// Serves `listener` on the current thread until it fails.
pub async fn serve(listener: TcpListener, keys: Rc<Keys>, handler: Rc<dyn Handler>) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&open) > CONNECTION_LIMIT {
            continue;
        }
        let (open, keys, handler) = (open.clone(), keys.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            let _open = open;
            serve_connection(stream, keys, handler).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, keys: Rc<Keys>, handler: Rc<dyn Handler>) {
    // Small messages must not wait for each other.
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(STREAM_LIMIT);
    let handshake = builder.handshake(stream);
    let Ok(Ok(mut connection)) = tokio::time::timeout(HANDSHAKE_LIMIT, handshake).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let (keys, handler) = (keys.clone(), handler.clone());
        tokio::task::spawn_local(serve_stream(request, respond, keys, handler));
    }
}

async fn serve_stream(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    keys: Rc<Keys>,
    handler: Rc<dyn Handler>,
) {
    let key = request
        .headers()
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    let Some(caller) = keys.caller(key) else {
        refuse(&mut respond, StatusCode::UNAUTHORIZED);
        return;
    };
    let Some(body) = collect(request.into_body()).await else {
        refuse(&mut respond, StatusCode::PAYLOAD_TOO_LARGE);
        return;
    };
    let Ok(decoded) = codec::decode::<Request>(&body) else {
        refuse(&mut respond, StatusCode::BAD_REQUEST);
        return;
    };
    let reply = handler.call(caller, decoded).await;
    let head = http::Response::new(());
    if let Ok(mut stream) = respond.send_response(head, false) {
        let _ = stream.send_data(codec::encode(&reply).into(), true);
    }
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = http::Response::new(());
    *head.status_mut() = status;
    let _ = respond.send_response(head, true);
}

/// Reads a whole body, or `None` where it breaks or grows over the limit.
pub(crate) async fn collect(mut body: RecvStream) -> Option<BytesMut> {
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        if whole.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        whole.extend_from_slice(&chunk);
        body.flow_control().release_capacity(chunk.len()).ok()?;
    }
    Some(whole)
}
