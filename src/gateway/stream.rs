//! Relays a streaming response to the caller: forwards complete events only, and resumes an
//! interrupted stream at another upstream.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_core::Stream;
use ntex::http::Request;
use ntex::http::Response;
use ntex::io::IoRef;
use ntex::util::Bytes;

use super::Gateway;
use super::call::Call;
use super::events::Events;
use super::exchange::Exchange;
use super::open_requests::OpenRequest;
use super::response;
use super::routing::Upstream;
use super::upstreams::InFlightRequest;
use crate::http_client::RequestError;
use crate::http_client::ResponseHead;
use crate::http_client::UpstreamResponse;
use crate::log::event;
use crate::policy::timeouts;

/// Time after the head of a response from which another event shows that its prompt does not crash
/// the upstream. A crash comes when the upstream begins to generate.
const PROGRESS_TIME: Duration = Duration::from_millis(500);

/// Returns the streaming response to `req`.
pub(super) fn response(gateway: &Rc<Gateway>, relay: Relay, req: &Request) -> Response {
    let mut builder = response::streaming_builder(&relay.head);
    let body = Body {
        io: req.io().cloned(),
        next_step: None,
        relay: Some(relay),
    };
    let mut response = builder.streaming(body);
    response::close_if_draining(gateway, &mut response);
    response
}

/// One streaming response, over all the upstreams that contribute to it.
pub(super) struct Relay {
    exchange: Exchange,
    head: ResponseHead,
    upstream_response: Option<UpstreamResponse>,
    in_flight: InFlightRequest,
    events: Events,
    /// Whether the idle timeout has passed and no other upstream could take over, so that it no
    /// longer applies.
    ignores_idle_timeout: bool,
    progress: Progress,
}

/// Progress of the response of one upstream.
struct Progress {
    began_at: Duration,
    /// Events that the caller had before.
    events_before: u64,
    /// Whether the response went on for long enough to show that its prompt does not crash the
    /// upstream.
    is_recorded: bool,
}

/// Next step of the response body.
enum Step {
    /// Complete events to forward.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream was interrupted and could not be resumed.
    Broken(&'static str),
}

/// Result of reading one chunk from the upstream.
enum ChunkResult {
    Events,
    End,
    /// Broken off, by the upstream or to free memory.
    Broken(RequestError),
}

impl Relay {
    pub(super) fn new(
        exchange: Exchange,
        upstream_response: UpstreamResponse,
        in_flight: InFlightRequest,
    ) -> Self {
        let head = ResponseHead {
            status: upstream_response.status,
            headers: upstream_response.headers.clone(),
        };
        let names = &exchange.gateway().cfg.header_names;
        let events = Events::after(exchange.call().last_event_id(names));
        let progress = Progress {
            began_at: exchange.gateway().now(),
            events_before: events.sent(),
            is_recorded: false,
        };
        Self {
            exchange,
            head,
            upstream_response: Some(upstream_response),
            in_flight,
            events,
            ignores_idle_timeout: false,
            progress,
        }
    }

    fn time_left(&self) -> Duration {
        let now = self.exchange.gateway().now();
        self.exchange.call().time_left(now)
    }

    async fn next_step(&mut self) -> Step {
        loop {
            if let Some(events) = self.events.take_complete() {
                self.in_flight.record_progress();
                if self.exchange.gateway().now() >= self.progress.began_at + PROGRESS_TIME {
                    self.record_progress();
                }
                if let Some(response) = &self.upstream_response {
                    // One that was given up meanwhile ends with its next chunk.
                    let _ = response.hold(self.events.buffered());
                }
                return Step::Events(events);
            }
            let time_left = self.time_left();
            let wait = self
                .idle_timeout()
                .map_or(time_left, |timeout| timeout.min(time_left));
            let Some(upstream_response) = self.upstream_response.as_mut() else {
                return Step::End;
            };
            let chunk = tokio::time::timeout(wait, upstream_response.next_chunk()).await;
            let reason = match chunk {
                Err(_) if wait == time_left => return Step::Broken("deadline exceeded"),
                Err(_) => {
                    self.ignores_idle_timeout = true;
                    "idle timeout"
                }
                Ok(chunk) => match self.push_chunk(chunk) {
                    ChunkResult::Events => continue,
                    ChunkResult::End => {
                        self.record_progress();
                        self.in_flight.record_success();
                        return Step::End;
                    }
                    ChunkResult::Broken(e) => {
                        self.record_failure(e);
                        self.upstream_response = None;
                        self.events.interrupt();
                        if !self.progress.is_recorded {
                            let (gateway, call) = (self.exchange.gateway(), self.exchange.call());
                            gateway.record_interruption(call, &self.in_flight).await;
                        }
                        e.reason()
                    }
                },
            };
            // An idle timeout alone does not end the stream: it goes on if there is no other
            // upstream.
            let upstream = self.exchange.next_resume_upstream();
            if upstream.is_none() && self.upstream_response.is_some() {
                continue;
            }
            if !self.exchange.can_resume() && upstream.is_none()
                || !self.resume(reason, upstream).await
            {
                return Step::Broken(reason);
            }
        }
    }

    /// Returns how long to wait for the next chunk before resuming elsewhere; `None` for no limit
    /// but the deadline.
    fn idle_timeout(&self) -> Option<Duration> {
        if self.ignores_idle_timeout || !self.exchange.can_resume() {
            return None;
        }
        timeouts::stream_event(Duration::from_millis(self.exchange.call().route.gap_ms))
    }

    /// Records that the response has made progress, if it has any event.
    fn record_progress(&mut self) {
        if self.progress.is_recorded || self.events.sent() == self.progress.events_before {
            return;
        }
        self.progress.is_recorded = true;
        if let Some(service) = self.in_flight.upstream.service() {
            let gateway = self.exchange.gateway();
            gateway.record_progress(service, self.exchange.call());
        }
    }

    /// Records that the response has broken off, unless that is not the upstream's fault. Comes before
    /// the next pause, in which the caller may go away.
    fn record_failure(&mut self, e: RequestError) {
        if e == RequestError::GivenUp && !self.events.is_excessive() {
            return;
        }
        self.in_flight.record_failure();
        let (gateway, call) = (self.exchange.gateway(), self.exchange.call());
        gateway.count_broken_response(call, &self.in_flight.upstream);
    }

    fn push_chunk(&mut self, chunk: Option<Result<bytes::Bytes, RequestError>>) -> ChunkResult {
        match chunk {
            Some(Ok(chunk)) => match self.push_events(&chunk) {
                Ok(()) => ChunkResult::Events,
                Err(e) => ChunkResult::Broken(e),
            },
            None if self.events.is_at_boundary() => {
                if let Some(upstream_response) = self.upstream_response.take() {
                    upstream_response.release_connection();
                }
                ChunkResult::End
            }
            None => ChunkResult::Broken(RequestError::Interrupted("stream ended within an event")),
            Some(Err(e)) => ChunkResult::Broken(e),
        }
    }

    fn push_events(&mut self, chunk: &[u8]) -> Result<(), RequestError> {
        self.events.push(chunk).map_err(RequestError::Interrupted)?;
        let response = self.upstream_response.as_ref();
        response.map_or(Ok(()), |response| response.hold(self.events.buffered()))
    }

    /// Resumes the stream at `first` or another upstream; returns whether that succeeded.
    async fn resume(&mut self, reason: &'static str, first: Option<Upstream>) -> bool {
        // Dropping the response cancels the request at the old upstream before another one resumes.
        let is_idle = self.upstream_response.take().is_some();
        self.events.interrupt();
        let gateway = self.exchange.gateway().clone();
        if is_idle {
            // A busy upstream may be that late, so it stays in use.
            gateway.count_broken_response(self.exchange.call(), &self.in_flight.upstream);
        }
        event!(
            Info,
            "stream_broke",
            request = self.exchange.call().id,
            upstream = self.in_flight.upstream.id(),
            reason = reason,
            events = self.events.sent(),
            open_ms = self.in_flight.elapsed().as_millis(),
            segments = self.exchange.call().prompt.shared_log_text()
        );
        let after = self.events.last_id();
        let time_left = self.time_left();
        let resumed = tokio::time::timeout(time_left, self.exchange.resume(first, after)).await;
        let Ok(Some((upstream_response, in_flight))) = resumed else {
            return false;
        };
        self.upstream_response = Some(upstream_response);
        self.in_flight = in_flight;
        self.ignores_idle_timeout = false;
        self.progress = Progress {
            began_at: gateway.now(),
            events_before: self.events.sent(),
            is_recorded: false,
        };
        true
    }
}

/// A streaming response of another gateway, which relays and resumes it. Its bytes are passed on as
/// they come, and only read when the caller takes them.
pub(super) struct PassedOnStream {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    /// Counts the request as open until the response has ended.
    _open: Rc<OpenRequest>,
    response: UpstreamResponse,
}

impl PassedOnStream {
    pub(super) fn new(
        gateway: Rc<Gateway>,
        call: Rc<Call>,
        open: Rc<OpenRequest>,
        response: UpstreamResponse,
    ) -> Self {
        Self {
            gateway,
            call,
            _open: open,
            response,
        }
    }

    /// Returns the streaming response to `req`.
    pub(super) fn response(self, req: &Request) -> Response {
        let head = ResponseHead {
            status: self.response.status,
            headers: self.response.headers.clone(),
        };
        let gateway = self.gateway.clone();
        let mut builder = response::streaming_builder(&head);
        let mut response = builder.streaming(PassedOnBody {
            stream: Some(self),
            next_chunk: None,
            io: req.io().cloned(),
        });
        response::close_if_draining(&gateway, &mut response);
        response
    }

    /// Returns the next chunk, `None` at the end, or why the stream is incomplete.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, &'static str> {
        let time_left = self.call.time_left(self.gateway.now());
        let chunk = tokio::time::timeout(time_left, self.response.next_chunk());
        match chunk.await {
            Ok(Some(Ok(chunk))) => Ok(Some(Bytes::copy_from_slice(&chunk))),
            Ok(Some(Err(e))) => Err(e.reason()),
            Ok(None) => Ok(None),
            Err(_) => Err("deadline exceeded"),
        }
    }
}

type ChunkFuture =
    Pin<Box<dyn Future<Output = (PassedOnStream, Result<Option<Bytes>, &'static str>)>>>;

/// Response body that the server polls. Dropping it cancels the request at the other gateway.
struct PassedOnBody {
    stream: Option<PassedOnStream>,
    next_chunk: Option<ChunkFuture>,
    io: Option<IoRef>,
}

impl Stream for PassedOnBody {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if let Some(mut stream) = this.stream.take() {
            this.next_chunk = Some(Box::pin(async move {
                let chunk = stream.next_chunk().await;
                (stream, chunk)
            }));
        }
        let Some(future) = this.next_chunk.as_mut() else {
            return Poll::Pending;
        };
        let Poll::Ready((stream, chunk)) = future.as_mut().poll(cx) else {
            return Poll::Pending;
        };
        this.next_chunk = None;
        match chunk {
            Ok(Some(chunk)) => {
                this.stream = Some(stream);
                Poll::Ready(Some(Ok(chunk)))
            }
            Ok(None) => {
                stream.response.release_connection();
                Poll::Ready(None)
            }
            Err(reason) => {
                event!(
                    Info,
                    "passed_on_stream_broke",
                    request = stream.call.id,
                    reason = reason
                );
                // As for a stream of an upstream, the caller must see that it is incomplete.
                match &this.io {
                    Some(io) => {
                        io.close();
                        Poll::Pending
                    }
                    None => Poll::Ready(Some(Err(std::io::Error::other(reason)))),
                }
            }
        }
    }
}

type StepFuture = Pin<Box<dyn Future<Output = (Relay, Step)>>>;

/// Response body that the server polls. Dropping it cancels the request at the upstream.
struct Body {
    relay: Option<Relay>,
    next_step: Option<StepFuture>,
    io: Option<IoRef>,
}

impl Stream for Body {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if let Some(mut relay) = this.relay.take() {
            this.next_step = Some(Box::pin(async move {
                let step = relay.next_step().await;
                (relay, step)
            }));
        }
        let Some(future) = this.next_step.as_mut() else {
            return Poll::Pending;
        };
        let Poll::Ready((relay, step)) = future.as_mut().poll(cx) else {
            return Poll::Pending;
        };
        this.next_step = None;
        match step {
            Step::Events(events) => {
                this.relay = Some(relay);
                Poll::Ready(Some(Ok(events)))
            }
            Step::End => Poll::Ready(None),
            Step::Broken(reason) => {
                event!(
                    Info,
                    "stream_given_up",
                    request = relay.exchange.call().id,
                    reason = reason,
                    upstream = relay.in_flight.upstream.id(),
                    events = relay.events.sent(),
                    open_ms = relay.in_flight.elapsed().as_millis(),
                    segments = relay.exchange.call().prompt.shared_log_text()
                );
                // After an error, the server would write an error response into the open response.
                // Closing the connection shows the caller that the stream is incomplete.
                match &this.io {
                    Some(io) => {
                        io.close();
                        Poll::Pending
                    }
                    None => Poll::Ready(Some(Err(std::io::Error::other(reason)))),
                }
            }
        }
    }
}
