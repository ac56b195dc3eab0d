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
use super::events;
use super::events::Events;
use super::exchange::Exchange;
use super::open_requests::OpenRequest;
use super::open_requests::Stage;
use super::response;
use super::upstreams::InFlightRequest;
use crate::http_client::RequestError;
use crate::http_client::ResponseHead;
use crate::http_client::UpstreamResponse;
use crate::log::event;
use crate::policy::overdue_stream::OverdueStream;
use crate::policy::timeouts;

/// Time after the head of a response from which another event shows that its prompt does not crash
/// the upstream. A crash comes when the upstream begins to generate.
const PROGRESS_TIME: Duration = Duration::from_millis(500);

/// Interval at which the connection of an incomplete stream is checked for events that are not written.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which the server may close such a connection by itself.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Size from which no more chunks are added to events that are passed on, and the time after which.
const BATCH_BYTES: usize = 16 * 1024;
const BATCH_TIME: Duration = Duration::from_millis(10);

/// Why a stream is given up that had not ended at its deadline, and has nothing more at once.
const DEADLINE_EXCEEDED: &str = "deadline exceeded";

/// Why a stream is given up of which there is always more.
const GOES_ON: &str = "stream goes on after its deadline";

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
    /// Head of the upstream that sent the first event.
    head: ResponseHead,
    source: Source,
    first_step: Option<Step>,
}

/// Response of one upstream, of which complete events are taken.
struct Source {
    head: ResponseHead,
    /// `None` once it has ended.
    response: Option<UpstreamResponse>,
    /// End of the response that was read while it had events.
    pending_end: Option<Chunk>,
    in_flight: InFlightRequest,
    events: Events,
    progress: Progress,
    overdue: OverdueStream,
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

/// Next step of the response of one upstream.
enum SourceStep {
    /// Complete events to forward.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The upstream has broken off, for this reason.
    Interrupted(&'static str),
    /// The deadline has passed, with this reason for the log.
    DeadlineExceeded(&'static str),
}

/// Why a response has no first event.
pub(super) enum NoFirstEvent {
    /// The upstream has broken off, for this reason.
    Interrupted(&'static str),
    DeadlineExceeded,
}

/// The next chunk of a response; `None` at its end.
type Chunk = Option<Result<bytes::Bytes, RequestError>>;

/// Result of reading one chunk from the upstream.
enum ChunkResult {
    Events,
    End,
    /// Broken off, by the upstream or to free memory.
    Broken(RequestError),
}

impl Relay {
    /// Waits for the first event of a response, or for its end. Until then, the caller has nothing
    /// of it and another upstream can take its place.
    ///
    /// # Errors
    ///
    /// The response was interrupted or the deadline has passed. The request has been cancelled at
    /// the upstream.
    pub(super) async fn begin(
        exchange: &mut Exchange,
        response: UpstreamResponse,
        in_flight: InFlightRequest,
    ) -> Result<Self, NoFirstEvent> {
        let mut source = Source::new(exchange, response, in_flight);
        let first_step = match source.next_step(exchange).await {
            SourceStep::Events(events) => Step::Events(events),
            SourceStep::End => Step::End,
            SourceStep::Interrupted(reason) => {
                source.record_loss(exchange, reason);
                return Err(NoFirstEvent::Interrupted(reason));
            }
            SourceStep::DeadlineExceeded(_) => return Err(NoFirstEvent::DeadlineExceeded),
        };
        Ok(Self {
            exchange: exchange.detach(),
            head: source.head.clone(),
            source,
            first_step: Some(first_step),
        })
    }

    async fn next_step(&mut self) -> Step {
        let now = self.exchange.gateway().now();
        self.source.overdue.request_more(now);
        let step = self.read_step().await;
        let now = self.exchange.gateway().now();
        self.source.overdue.pass_on(now);
        step
    }

    async fn read_step(&mut self) -> Step {
        if let Some(step) = self.first_step.take() {
            return step;
        }
        loop {
            let reason = match self.source.next_step(&mut self.exchange).await {
                SourceStep::Events(events) => return Step::Events(events),
                SourceStep::End => return Step::End,
                SourceStep::DeadlineExceeded(reason) => return Step::Broken(reason),
                SourceStep::Interrupted(reason) => reason,
            };
            if !self.exchange.can_resume() || !self.resume(reason).await {
                return Step::Broken(reason);
            }
        }
    }

    /// Resumes an interrupted stream at another upstream; returns whether that succeeded.
    async fn resume(&mut self, reason: &'static str) -> bool {
        self.source.record_loss(&self.exchange, reason);
        let after = self.source.events.last_id();
        let time_left = self.exchange.time_left();
        let resumed = tokio::time::timeout(time_left, self.exchange.resume(after, None)).await;
        let Ok(Some((response, in_flight))) = resumed else {
            return false;
        };
        self.source.go_on_with(&self.exchange, response, in_flight);
        let upstream = &self.source.in_flight.upstream;
        self.exchange.set_stage(Stage::Streaming, upstream);
        true
    }
}

impl Source {
    fn new(exchange: &Exchange, response: UpstreamResponse, in_flight: InFlightRequest) -> Self {
        let names = &exchange.gateway().cfg.header_names;
        let last_id = exchange.call().last_event_id(names);
        let mut events = Events::after(last_id);
        if last_id.is_some() && exchange.is_repeated() {
            // As with a resumed stream, the caller must not get events again.
            events.interrupt();
        }
        let progress = Progress::new(exchange, &events);
        Self {
            head: head_of(&response),
            response: Some(response),
            pending_end: None,
            in_flight,
            events,
            progress,
            overdue: OverdueStream::default(),
        }
    }

    /// Continues with the response of the upstream that has resumed the stream.
    fn go_on_with(
        &mut self,
        exchange: &Exchange,
        response: UpstreamResponse,
        in_flight: InFlightRequest,
    ) {
        self.head = head_of(&response);
        self.response = Some(response);
        self.pending_end = None;
        self.in_flight = in_flight;
        self.progress = Progress::new(exchange, &self.events);
        exchange.log_resumed(&self.in_flight.upstream, self.events.last_id());
    }

    /// Reads on to the next complete events. `exchange` offers the stream to other upstreams after
    /// the idle timeout.
    async fn next_step(&mut self, exchange: &mut Exchange) -> SourceStep {
        loop {
            let taken = match self.events.take_complete() {
                Ok(taken) => taken,
                Err(reason) => {
                    let error = RequestError::Interrupted(reason);
                    self.record_break(exchange, error).await;
                    return SourceStep::Interrupted(reason);
                }
            };
            if let Some(events) = taken {
                self.in_flight.record_progress();
                if exchange.gateway().now() >= self.progress.began_at + PROGRESS_TIME {
                    self.record_progress(exchange);
                }
                if let Some(response) = &self.response {
                    // One that was given up meanwhile ends with its next chunk.
                    let _ = response.hold(self.events.buffered());
                    let _ = response.record_events(self.events.taken());
                }
                return SourceStep::Events(events);
            }
            let time_left = exchange.time_left();
            let wait = self
                .idle_timeout(exchange)
                .map_or(time_left, |timeout| timeout.min(time_left));
            let Some(response) = self.response.as_mut() else {
                return SourceStep::End;
            };
            let chunk = match self.pending_end.take() {
                Some(chunk) => Ok(chunk),
                None => tokio::time::timeout(wait, response.next_chunk()).await,
            };
            let chunk = match chunk {
                Ok(chunk) => chunk,
                Err(_) if wait == time_left => {
                    return SourceStep::DeadlineExceeded(DEADLINE_EXCEEDED);
                }
                Err(_) => match self.offer_elsewhere(exchange, wait).await {
                    Some(chunk) => chunk,
                    None => continue,
                },
            };
            if let Some(Ok(chunk)) = &chunk
                && !self.overdue.may_have(chunk.len(), time_left)
            {
                self.record_failure(exchange, RequestError::Endless(GOES_ON));
                self.response = None;
                return SourceStep::DeadlineExceeded(GOES_ON);
            }
            match self.push_chunk(chunk) {
                ChunkResult::Events if time_left.is_zero() => {}
                ChunkResult::Events => {
                    if let Err(e) = self.add_ready_chunks(exchange).await {
                        self.record_break(exchange, e).await;
                        return SourceStep::Interrupted(e.reason());
                    }
                }
                ChunkResult::End => {
                    self.record_progress(exchange);
                    self.in_flight.record_success();
                    return SourceStep::End;
                }
                ChunkResult::Broken(e) => {
                    self.record_break(exchange, e).await;
                    return SourceStep::Interrupted(e.reason());
                }
            }
        }
    }

    /// Adds chunks that come at once, so that many small events are passed on in one piece.
    async fn add_ready_chunks(&mut self, exchange: &Exchange) -> Result<(), RequestError> {
        let began_at = exchange.gateway().now();
        while self.events.buffered() < BATCH_BYTES
            && exchange.gateway().now() < began_at + BATCH_TIME
        {
            // The connection has the next chunk only after its turn.
            tokio::task::yield_now().await;
            let Some(response) = self.response.as_mut() else {
                break;
            };
            let chunk = tokio::select! {
                biased;
                chunk = response.next_chunk() => chunk,
                () = std::future::ready(()) => break,
            };
            let Some(Ok(chunk)) = chunk else {
                self.pending_end = Some(chunk);
                break;
            };
            self.push_events(&chunk)?;
        }
        Ok(())
    }

    /// Offers the stream to other upstreams, as its own has been silent for `silence`, and goes on with
    /// the first that responds. Its own is kept until then, because the others may refuse the stream
    /// or be silent as well. Returns its next chunk if it goes on first.
    async fn offer_elsewhere(
        &mut self,
        exchange: &mut Exchange,
        silence: Duration,
    ) -> Option<Chunk> {
        self.log_silence(exchange, silence);
        let response = self.response.as_mut()?;
        let present = self.in_flight.upstream.clone();
        let after = self.events.last_id();
        let stage = exchange.stage();
        let time_left = exchange.time_left();
        let (chunk, taken) = {
            let offer = exchange.resume(after, Some(present.id()));
            let mut offer = std::pin::pin!(tokio::time::timeout(time_left, offer));
            tokio::select! {
                biased;
                chunk = response.next_chunk() => {
                    // An offer that may still succeed is all that is left of a broken stream.
                    let is_broken = is_break(&chunk, &self.events);
                    let taken = if is_broken { offer.await.ok() } else { None };
                    (Some(chunk), taken)
                }
                taken = &mut offer => (None, taken.ok()),
            }
        };
        let Some((response, in_flight)) = taken.flatten() else {
            exchange.set_stage(stage, &present);
            return chunk;
        };
        let reason = match chunk.map(|chunk| self.push_chunk(chunk)) {
            Some(ChunkResult::Broken(e)) => {
                self.record_break(exchange, e).await;
                e.reason()
            }
            _ => "idle timeout",
        };
        self.record_loss(exchange, reason);
        self.go_on_with(exchange, response, in_flight);
        exchange.set_stage(stage, &self.in_flight.upstream);
        None
    }

    /// Returns how long to wait for the next chunk before the stream is offered elsewhere; `None` for no
    /// limit but the deadline.
    fn idle_timeout(&self, exchange: &Exchange) -> Option<Duration> {
        if !exchange.can_resume() {
            return None;
        }
        timeouts::stream_event(Duration::from_millis(exchange.call().route.gap_ms))
    }

    /// Logs that the upstream has been silent for `silence`.
    fn log_silence(&self, exchange: &Exchange, silence: Duration) {
        event!(
            Info,
            "stream_silent",
            request = exchange.call().id,
            upstream = self.in_flight.upstream.id(),
            silent_ms = silence.as_millis(),
            events = self.events.sent()
        );
    }

    /// Records that the response has made progress, if it has any event.
    fn record_progress(&mut self, exchange: &Exchange) {
        if self.progress.is_recorded || self.events.sent() == self.progress.events_before {
            return;
        }
        self.progress.is_recorded = true;
        if let Some(service) = self.in_flight.upstream.service() {
            exchange.gateway().record_progress(service, exchange.call());
        }
    }

    /// Records that the response has broken off, and gives it up.
    async fn record_break(&mut self, exchange: &Exchange, e: RequestError) {
        self.record_failure(exchange, e);
        self.response = None;
        self.events.interrupt();
        if !self.progress.is_recorded {
            let (gateway, call) = (exchange.gateway(), exchange.call());
            gateway.record_interruption(call, &self.in_flight).await;
        }
    }

    /// Records that the response has broken off, unless that is not the upstream's fault. Comes before
    /// the next pause, in which the caller may go away.
    fn record_failure(&mut self, exchange: &Exchange, e: RequestError) {
        if e == RequestError::GivenUp && !self.events.is_excessive() {
            self.in_flight.record_given_up();
            return;
        }
        match e {
            RequestError::Endless(_) => self.in_flight.record_endless(),
            _ => self.in_flight.record_failure(),
        }
        let (gateway, call) = (exchange.gateway(), exchange.call());
        gateway.count_broken_response(call, &self.in_flight.upstream);
    }

    fn push_chunk(&mut self, chunk: Chunk) -> ChunkResult {
        match chunk {
            Some(Ok(chunk)) => match self.push_events(&chunk) {
                Ok(()) => ChunkResult::Events,
                Err(e) => ChunkResult::Broken(e),
            },
            None if self.events.is_at_boundary() => {
                if let Some(response) = self.response.take() {
                    response.release_connection();
                }
                ChunkResult::End
            }
            None => ChunkResult::Broken(RequestError::Interrupted("stream ended within an event")),
            Some(Err(e)) => ChunkResult::Broken(e),
        }
    }

    fn push_events(&mut self, chunk: &[u8]) -> Result<(), RequestError> {
        self.events.push(chunk).map_err(RequestError::Interrupted)?;
        let response = self.response.as_ref();
        response.map_or(Ok(()), |response| response.hold(self.events.buffered()))
    }

    /// Cancels the request at the upstream, before another one gets it, and records the loss.
    fn record_loss(&mut self, exchange: &Exchange, reason: &'static str) {
        let is_idle = self.response.take().is_some();
        self.events.interrupt();
        let (gateway, call) = (exchange.gateway(), exchange.call());
        if is_idle {
            // A busy upstream may be that late, so it stays in use.
            gateway.count_broken_response(call, &self.in_flight.upstream);
        }
        event!(
            Info,
            "stream_broke",
            request = call.id,
            upstream = self.in_flight.upstream.id(),
            reason = reason,
            events = self.events.sent(),
            open_ms = self.in_flight.elapsed().as_millis(),
            segments = call.prompt.shared_log_text()
        );
    }
}

/// Returns whether a response ends with this chunk without being complete.
fn is_break(chunk: &Chunk, events: &Events) -> bool {
    match chunk {
        Some(chunk) => chunk.is_err(),
        None => !events.is_at_boundary(),
    }
}

fn head_of(response: &UpstreamResponse) -> ResponseHead {
    ResponseHead {
        status: response.status,
        headers: response.headers.clone(),
    }
}

impl Progress {
    fn new(exchange: &Exchange, events: &Events) -> Self {
        Self {
            began_at: exchange.gateway().now(),
            events_before: events.sent(),
            is_recorded: false,
        }
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
    /// Chunk that has been read before the response to the caller begins.
    first_chunk: Option<Bytes>,
    overdue: OverdueStream,
}

impl PassedOnStream {
    /// Waits for the first part of the body, or for its end. Another gateway may send the head
    /// before there is an event.
    ///
    /// # Errors
    ///
    /// The response was interrupted.
    pub(super) async fn begin(
        gateway: Rc<Gateway>,
        call: Rc<Call>,
        open: Rc<OpenRequest>,
        mut response: UpstreamResponse,
    ) -> Result<Self, RequestError> {
        let chunk = response.next_chunk().await.transpose()?;
        Ok(Self {
            gateway,
            call,
            _open: open,
            response,
            first_chunk: chunk.map(|chunk| Bytes::copy_from_slice(&chunk)),
            overdue: OverdueStream::default(),
        })
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
        self.overdue.request_more(self.gateway.now());
        let chunk = self.read_chunk().await;
        self.overdue.pass_on(self.gateway.now());
        chunk
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>, &'static str> {
        if let Some(chunk) = self.first_chunk.take() {
            return Ok(Some(chunk));
        }
        let time_left = self.call.time_left(self.gateway.now());
        let chunk = tokio::time::timeout(time_left, self.response.next_chunk());
        match chunk.await {
            Ok(Some(Ok(chunk))) if !self.overdue.may_have(chunk.len(), time_left) => Err(GOES_ON),
            Ok(Some(Ok(chunk))) => {
                // One that is given up for them ends with its next chunk.
                let _ = self.response.record_events(events::count_ends(&chunk));
                Ok(Some(Bytes::copy_from_slice(&chunk)))
            }
            Ok(Some(Err(e))) => Err(e.reason()),
            Ok(None) => Ok(None),
            Err(_) => Err(DEADLINE_EXCEEDED),
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
                        tokio::task::spawn_local(close_when_written(io.clone()));
                        Poll::Pending
                    }
                    None => Poll::Ready(Some(Err(std::io::Error::other(reason)))),
                }
            }
        }
    }
}

/// Closes the connection of an incomplete stream once its events are written. The server may leave it open
/// until a timeout after a part that was larger than its write buffer.
async fn close_when_written(io: IoRef) {
    while !io.is_closed() && io.with_write_dst_buf(|buf| buf.len()) > 0 {
        tokio::time::sleep(WRITE_CHECK_INTERVAL).await;
    }
    io.close();
    tokio::time::sleep(CLOSE_TIME).await;
    io.terminate();
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
                    upstream = relay.source.in_flight.upstream.id(),
                    events = relay.source.events.sent(),
                    open_ms = relay.source.in_flight.elapsed().as_millis(),
                    segments = relay.exchange.call().prompt.shared_log_text()
                );
                // After an error, the server would write an error response into the open response.
                // Closing the connection shows the caller that the stream is incomplete.
                match &this.io {
                    Some(io) => {
                        tokio::task::spawn_local(close_when_written(io.clone()));
                        Poll::Pending
                    }
                    None => Poll::Ready(Some(Err(std::io::Error::other(reason)))),
                }
            }
        }
    }
}
