//! HTTP/1.1 listeners on the current thread.
//!
//! A daemon on a small VM serves all its listeners on one thread: handing each connection to a
//! worker costs more wake-ups than the requests themselves.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use ntex::SharedCfg;
use ntex::http::HttpService;
use ntex::http::HttpServiceConfig;
use ntex::http::Payload;
use ntex::http::Request;
use ntex::http::Response;
use ntex::service::Pipeline;
use ntex::service::ServiceFactory;
use ntex::service::fn_service;
use ntex::time::Seconds;
use tokio::net::TcpListener;

use crate::http_client;
use crate::log::event;

/// Most headers of a request.
const HEADER_LIMIT: usize = 96;

/// Most bytes of a request's head.
const HEAD_LIMIT: usize = 64 * 1024;

/// Time in which a caller must send its head.
const HEAD_TIME: Seconds = Seconds(10);

/// Idle time after which a caller's connection is closed. Callers keep connections for as long as
/// they were told; closing one under a request costs them a retry.
const IDLE_TIME: Seconds = Seconds(75);

/// Pause after a failed accept: the process is out of descriptors and must close some first.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// Why a request's body is not whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It broke off.
    Incomplete,
    /// It has more bytes than may be read.
    TooLarge,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// The body broke off or is longer.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<Vec<u8>, BodyError> {
    let mut buf = Vec::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        if buf.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf)
}

/// What a handler returns.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

/// Answers requests. Dropping the future means that the caller has left.
pub trait Handler {
    /// Answers one request.
    fn handle(&self, req: Request) -> ResponseFuture;
}

impl<F: Fn(Request) -> ResponseFuture> Handler for F {
    fn handle(&self, req: Request) -> ResponseFuture {
        self(req)
    }
}

/// Listens on `address` as long as the process runs.
///
/// # Errors
///
/// The address can't be listened on.
pub async fn serve(address: SocketAddr, handler: Rc<dyn Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let local = listener.local_addr()?;
    let http = HttpServiceConfig::new()
        .set_max_headers(HEADER_LIMIT)
        .set_max_buf_size(HEAD_LIMIT)
        .set_client_timeout(HEAD_TIME)
        .set_keepalive(IDLE_TIME);
    let cfg: SharedCfg = SharedCfg::new("listen").add(http).into();
    let service = HttpService::h1(fn_service(move |req: Request| {
        let answering = handler.handle(req);
        async move { Ok::<_, io::Error>(answering.await) }
    }));
    let service = service
        .create(cfg.clone())
        .await
        .map_err(|()| io::Error::other("the HTTP service can't be made"))?;
    let service = Pipeline::new(service);
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    http_client::configure_accepted_socket(&stream);
                    let io = stream
                        .into_std()
                        .and_then(|stream| ntex::rt::from_tcp_stream(stream, cfg.clone()));
                    let Ok(io) = io else {
                        continue;
                    };
                    let call = service.call_static(io);
                    tokio::task::spawn_local(async move {
                        // A caller that breaks off is no event: its request says what became of it.
                        let _ = call.await;
                    });
                }
                Err(e) => {
                    event!(Warn, "accept_failed", address = local, error = e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(local)
}
