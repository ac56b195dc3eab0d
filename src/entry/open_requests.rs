//! The requests whose callers do not have their whole response yet.
//!
//! A request is open until the last byte of its response has left the server's write buffer. The
//! server itself does not wait for it: once the connections of a worker have fallen to none, its
//! graceful stop closes all later ones at once.

use std::cell::RefCell;
use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::ConnectionType;
use ntex::http::Payload;
use ntex::http::body::Body;
use ntex::http::body::BodySize;
use ntex::http::body::MessageBody;
use ntex::http::body::ResponseBody;
use ntex::io::IoRef;
use ntex::service::Middleware;
use ntex::service::Service;
use ntex::service::ServiceCtx;
use ntex::util::Bytes;
use ntex::web::WebRequest;
use ntex::web::WebResponse;

use super::Shared;
use super::Worker;
use super::handlers;
use crate::listen;

/// Interval between checks whether buffered responses have been written.
const WRITTEN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Counts a request as open until it is dropped.
struct OpenRequest(Arc<Shared>);

impl OpenRequest {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Requests of one worker whose responses are buffered by the server and not yet written; clones
/// share them.
#[derive(Clone, Default)]
pub(crate) struct Unwritten(Rc<RefCell<Vec<(IoRef, OpenRequest)>>>);

impl Unwritten {
    /// Ends the requests whose responses have been written, until the worker ends.
    pub(super) async fn watch(self) {
        loop {
            tokio::time::sleep(WRITTEN_POLL_INTERVAL).await;
            self.0
                .borrow_mut()
                .retain(|(io, _)| has_unwritten_bytes(io));
        }
    }
}

fn has_unwritten_bytes(io: &IoRef) -> bool {
    !io.is_closed() && io.with_write_dst_buf(|buf| !buf.is_empty())
}

/// Tracks the open requests of a worker. While the entry is leaving, tells callers to close their
/// connections; once no caller holds its address any more, refuses further requests.
pub(super) struct Tracking(Worker);

impl Tracking {
    pub(super) fn new(worker: Worker) -> Self {
        Self(worker)
    }
}

impl<S> Middleware<S, SharedCfg> for Tracking {
    type Service = TrackingService<S>;

    fn create(&self, service: S, _: SharedCfg) -> Self::Service {
        TrackingService {
            service,
            worker: self.0.clone(),
        }
    }
}

pub(super) struct TrackingService<S> {
    service: S,
    worker: Worker,
}

impl<S, E> Service<WebRequest<E>> for TrackingService<S>
where
    S: Service<WebRequest<E>, Response = WebResponse>,
{
    type Response = WebResponse;
    type Error = S::Error;

    ntex::forward_poll!(service);
    ntex::forward_ready!(service);
    ntex::forward_shutdown!(service);

    async fn call(
        &self,
        mut req: WebRequest<E>,
        cx: ServiceCtx<'_, Self>,
    ) -> Result<WebResponse, S::Error> {
        if listen::has_no_body(req.headers()) {
            // ntex takes all that follows an offer of an upgrade for its body.
            req.set_payload(Payload::None);
        }
        let shared = &self.worker.shared;
        // The request is counted before the check, so that the stop sees it or refuses it.
        let open = OpenRequest::new(shared);
        if shared.is_closing() {
            let discarded = listen::discard_body(req.take_payload());
            listen::unless_endless(req.io(), discarded).await;
            let refusal = handlers::refuse_leaving(&self.worker);
            return Ok(close_after(req.into_response(refusal)));
        }
        let io = req.io().cloned();
        if let Some(io) = &io {
            self.worker.callers.track(io, shared.now());
        }
        let mut response = cx.call(&self.service, req).await?;
        if shared.is_leaving() {
            response = close_after(response);
        }
        let unwritten = self.worker.unwritten.clone();
        Ok(response.map_body(|_, body| {
            ResponseBody::Other(Body::from_message(TrackedBody {
                body,
                open: Some(open),
                io,
                unwritten,
            }))
        }))
    }
}

fn close_after(mut response: WebResponse) -> WebResponse {
    let head = response.response_mut().head_mut();
    head.set_connection_type(ConnectionType::Close);
    response
}

/// A response body that keeps its request open until the response has been written.
struct TrackedBody {
    body: ResponseBody<Body>,
    open: Option<OpenRequest>,
    io: Option<IoRef>,
    unwritten: Unwritten,
}

impl MessageBody for TrackedBody {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.body.poll_next_chunk(cx)
    }
}

impl Drop for TrackedBody {
    /// The server drops a body once all of it is in the write buffer, or the connection has ended.
    fn drop(&mut self) {
        if let (Some(io), Some(open)) = (self.io.take(), self.open.take())
            && has_unwritten_bytes(&io)
        {
            self.unwritten.0.borrow_mut().push((io, open));
        }
    }
}
