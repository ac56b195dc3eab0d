//! HTTP/1.1 listeners on the current thread.
//!
//! A daemon that listens with [`serve`] handles all connections on one thread: on a small VM,
//! handing each connection to a worker thread costs more wake-ups than the requests themselves.

mod connections;
mod sockets;
mod upgrade;
mod waste;

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::HttpService;
use ntex::http::HttpServiceConfig;
use ntex::http::Payload;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::h1::Control;
use ntex::http::h1::control::Reason;
use ntex::http::header;
use ntex::http::header::HeaderMap;
use ntex::io::IoConfig;
use ntex::service::Pipeline;
use ntex::service::ServiceFactory;
use ntex::service::fn_service;
use ntex::time::Seconds;
use tokio::net::TcpListener;
use tokio::time::Instant;

pub(crate) use self::connections::Backlog;
pub use self::connections::Connections;
pub(crate) use self::connections::end_stalled;
pub(crate) use self::sockets::BoundSockets;
pub use self::sockets::Endpoint;
pub use self::sockets::Error;
pub use self::sockets::Protocol;
pub use self::sockets::Sockets;
use self::upgrade::Declined;
use self::waste::PacedReader;
pub(crate) use self::waste::unless_endless;

use crate::http_client;
use crate::log::event;
use crate::policy::stalled_callers::UNWRITTEN_LIMIT_BYTES;

/// Most headers of a request.
const MAX_HEADERS: usize = 96;

/// Largest request head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Longest wait for a complete request head.
const HEAD_TIMEOUT: Seconds = Seconds(10);

/// Idle time after which a connection is closed. Callers reuse a connection for as long as they
/// were told; closing one while a request is arriving costs them a retry.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);

/// Longest time in which the rest of a response is written to a connection that is being closed. A
/// caller that takes nothing is given up earlier.
const CLOSE_TIMEOUT: Seconds = Seconds(600);

/// Most connections of a listener for callers: three quarters of the descriptors of a small VM's
/// process.
pub const MAX_CONNECTIONS: usize = 3072;

/// Delay after a failed accept. The usual cause is a lack of file descriptors, and the process must
/// close some first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Most bytes that are read and dropped of the body of a request that is refused.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// Longest time for which such a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a complete body of a request that has no time limit of its own.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The connection closed before the end of the body.
    Incomplete,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body was not complete within the time limit.
    Late,
}

/// Returns whether a request with these headers has no body.
pub(crate) fn has_no_body(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads a complete body of at most `limit` bytes, which must arrive within `timeout`. The rest of a
/// larger one is read as well, within bounds, so that the caller receives the response.
///
/// # Errors
///
/// The body is incomplete, late or larger than `limit`.
pub async fn read_body(
    mut payload: Payload,
    limit: usize,
    timeout: Duration,
) -> Result<Vec<u8>, BodyError> {
    let body = tokio::time::timeout(timeout, read(&mut payload, limit)).await;
    let body = body.unwrap_or(Err(BodyError::Late));
    if body == Err(BodyError::TooLarge) {
        discard_body(payload).await;
    }
    body
}

async fn read(payload: &mut Payload, limit: usize) -> Result<Vec<u8>, BodyError> {
    let mut buf = Vec::new();
    let mut reader = PacedReader::default();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        if buf.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        buf.extend_from_slice(&chunk);
        reader.record(payload, chunk.len()).await;
    }
    Ok(buf)
}

/// Reads a body and drops it, within bounds: closing the connection while the caller still sends
/// would reset it, and the caller might lose the response.
pub async fn discard_body(payload: Payload) {
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(payload)).await;
}

/// Reads the rest of a body, up to [`MAX_DISCARDED_BYTES`].
async fn discard(mut payload: Payload) {
    let mut discarded = 0;
    let mut reader = PacedReader::default();
    while let Some(Ok(chunk)) = payload.recv().await {
        discarded += chunk.len();
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
        reader.record(&payload, chunk.len()).await;
    }
}

/// The future that a handler returns.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

/// Handles HTTP requests. The future is dropped when the caller disconnects.
pub trait Handler {
    /// Handles one request.
    fn handle(&self, req: Request) -> ResponseFuture;
}

impl<F: Fn(Request) -> ResponseFuture> Handler for F {
    fn handle(&self, req: Request) -> ResponseFuture {
        self(req)
    }
}

/// Serves `listener` until the process ends; returns the open connections. Those beyond
/// `max_connections` are closed at once, so that their callers turn to another process: each takes
/// 10 to 30 kB of memory.
///
/// # Errors
///
/// The HTTP service can't be created.
pub async fn serve(
    listener: TcpListener,
    max_connections: usize,
    handler: Rc<dyn Handler>,
) -> io::Result<Connections> {
    let local = listener.local_addr()?;
    let http = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_client_timeout(HEAD_TIMEOUT)
        .set_keepalive(KEEP_ALIVE_TIMEOUT);
    let io = IoConfig::new().set_disconnect_timeout(CLOSE_TIMEOUT);
    let cfg: SharedCfg = SharedCfg::new("listen").add(http).add(io).into();
    let service = HttpService::h1(fn_service(move |req: Request| {
        let io = req.io().cloned();
        let response = handler.handle(req);
        async move {
            let response = unless_endless(io.as_ref(), response).await;
            Ok::<_, io::Error>(response.unwrap_or_else(waste::refuse_endless))
        }
    }));
    let declined = Declined::default();
    let at_control = declined.clone();
    let service = service
        .control(fn_service(move |message| {
            let declined = at_control.clone();
            async move {
                // ntex begins to read the body of a sound request if the result is not ready at once.
                if let Control::Disconnect(Reason::ProtocolError(e)) = &message {
                    waste::pace_malformed(e.err()).await;
                }
                Ok::<_, io::Error>(upgrade::decline(&declined, message))
            }
        }))
        .create(cfg.clone())
        .await
        .map_err(|()| io::Error::other("the HTTP service can't be created"))?;
    let service = Pipeline::new(service);
    let connections = Connections::default();
    let open_connections = connections.clone();
    let started_at = Instant::now();
    tokio::task::spawn_local(connections::end_stalled(
        connections.clone(),
        local,
        move || started_at.elapsed(),
        UNWRITTEN_LIMIT_BYTES,
    ));
    let mut is_full = false;
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let count = open_connections.count();
                    if count >= max_connections {
                        if !is_full {
                            event!(Warn, "connections_full", address = local, open = count);
                        }
                        is_full = true;
                        continue;
                    }
                    is_full = false;
                    http_client::configure_accepted_socket(&stream);
                    let io = stream
                        .into_std()
                        .and_then(|stream| ntex::rt::from_tcp_stream(stream, cfg.clone()));
                    let Ok(io) = io else {
                        continue;
                    };
                    let open = open_connections.register(io.get_ref(), started_at.elapsed());
                    let (id, service) = (io.id(), service.clone());
                    let declined = declined.clone();
                    tokio::task::spawn_local(async move {
                        let mut next = Some(io);
                        while let Some(io) = next {
                            // The outcome of the request itself is logged elsewhere.
                            let _ = service.call(io).await;
                            next = declined.take(id);
                        }
                        open.log_end(local);
                    });
                }
                Err(e) => {
                    event!(Warn, "accept_failed", address = local, error = e);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(connections)
}
