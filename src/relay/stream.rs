//! Relays a streamed response. A broken stream is resumed at its token offset on another upstream
//! of the same version; if that fails, the caller gets an error event and no `[DONE]`.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::BytesMut;
use ntex::http::error::PayloadError;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

use super::attempt::ActiveAttempt;
use super::attempt::Attempts;
use super::attempt::UpstreamRequest;
use super::chat::ClaimedRun;
use super::chat::record_served;
use super::rating;
use super::request::ChatCall;
use super::select::Selection;
use super::sse;
use super::sse::EventKind;
use super::sse::EventSplitter;
use crate::collections::Name;
use crate::engine::AttemptError;
use crate::entry::Worker;
use crate::log::event;
use crate::policy::retry::Execution;
use crate::state::command::Ending;

/// A stream that sends nothing for this long is offered to other upstreams.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Chunks buffered for a slow caller. Once the channel is full, back-pressure stops reading from
/// the engine.
const CHANNEL_CAPACITY: usize = 64;

/// The body of a streamed response.
struct BodyStream(mpsc::Receiver<Bytes>);

impl futures_core::Stream for BodyStream {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx).map(|item| item.map(Ok))
    }
}

/// Returns the response's head and starts the task that relays its body.
pub(super) fn respond(
    worker: &Worker,
    call: &ChatCall,
    selection: &Selection,
    upstream_request: UpstreamRequest,
    run: ClaimedRun,
    active: ActiveAttempt,
) -> HttpResponse {
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let mut builder = HttpResponse::Ok();
    builder
        .header("daisyquay-request-id", call.request_id.to_string())
        .header("daisyquay-version", run.version.to_string())
        .header("cache-control", "no-cache")
        .content_type("text/event-stream");
    if let Some(moved_from) = &selection.moved_from {
        builder.header("daisyquay-session-moved-from", moved_from.to_string());
    }
    let should_rate = rating::should_rate(worker, selection);
    let (worker, call) = (worker.clone(), call.clone());
    tokio::task::spawn_local(async move {
        let relay = StreamRelay {
            worker: &worker,
            call: &call,
            upstream_request: &upstream_request,
            run,
            tx,
            rated_text: should_rate.then(String::new),
            finish_event: None,
            usage_event: None,
        };
        relay.run(active).await;
    });
    builder.streaming(BodyStream(rx))
}

/// How the stream of one attempt ended.
enum StreamEnd {
    /// With `[DONE]`.
    Done,
    /// Before `[DONE]`, through a fault of the upstream.
    Broken(&'static str),
    /// Not yet, but the upstream has sent nothing for [`IDLE_TIMEOUT`].
    Stalled,
    /// Because the caller disconnected.
    CallerDisconnected,
}

/// The complete events of one chunk.
#[derive(Default)]
struct ProcessedEvents {
    /// The bytes for the caller.
    out: BytesMut,
    /// Number of the events, for the caller or not.
    count: usize,
    /// Whether any of them is known to belong to the attempt.
    has_own: bool,
    /// How the stream has ended with them.
    end: Option<StreamEnd>,
}

impl ProcessedEvents {
    fn ended(self, end: StreamEnd) -> Self {
        Self {
            end: Some(end),
            ..self
        }
    }
}

/// The response of one upstream.
struct Source {
    active: ActiveAttempt,
    splitter: EventSplitter,
    /// A chunk, or the end, that was read while the stream was offered elsewhere.
    next_chunk: Option<Option<Result<bytes::Bytes, AttemptError>>>,
}

impl Source {
    fn new(active: ActiveAttempt) -> Self {
        Self {
            active,
            splitter: EventSplitter::default(),
            next_chunk: None,
        }
    }

    fn upstream(&self) -> &Name {
        &self.active.in_flight.upstream.id
    }
}

struct StreamRelay<'a> {
    worker: &'a Worker,
    call: &'a ChatCall,
    upstream_request: &'a UpstreamRequest,
    run: ClaimedRun,
    tx: mpsc::Sender<Bytes>,
    /// The text so far, if the response is to be rated.
    rated_text: Option<String>,
    /// The event with the finish reason, held back until the usage is known.
    finish_event: Option<BytesMut>,
    usage_event: Option<Value>,
}

impl StreamRelay<'_> {
    async fn run(mut self, active: ActiveAttempt) {
        let mut attempts = Attempts::new(self.worker, self.upstream_request);
        let mut source = Source::new(active);
        loop {
            match self.relay_attempt(&mut source).await {
                StreamEnd::Done => {
                    if self.finish_event.is_some() {
                        source.active.in_flight.record_success();
                    }
                    return self.finish().await;
                }
                StreamEnd::CallerDisconnected => return self.run.claim.settle(Ending::Cancelled),
                StreamEnd::Broken(reason) => {
                    self.record_break(&mut source, reason);
                    let upstream = source.upstream().clone();
                    match self.resume(&mut attempts, &upstream, reason).await {
                        Some(next) => source = self.go_on_with(next),
                        None => return self.abort(reason).await,
                    }
                }
                StreamEnd::Stalled => {
                    if let Some(next) = self.offer_elsewhere(&mut attempts, &mut source).await {
                        self.record_break(&mut source, "the stream stalled");
                        source = self.go_on_with(next);
                    }
                }
            }
        }
    }

    fn record_break(&self, source: &mut Source, reason: &str) {
        source.active.in_flight.record_failure();
        event!(
            Warn,
            "stream_broken",
            request = self.call.request_id,
            upstream = source.upstream(),
            reason = reason,
            tokens = self.run.claim.tokens_out
        );
    }

    /// Offers the stream to other upstreams while its own is silent, which is kept until another one
    /// has taken the stream. Returns `None` if its own goes on first, or none takes it.
    async fn offer_elsewhere(
        &mut self,
        attempts: &mut Attempts<'_>,
        source: &mut Source,
    ) -> Option<ActiveAttempt> {
        let upstream = source.upstream().clone();
        let tx = self.tx.clone();
        let taken = {
            let offer = self.resume(attempts, &upstream, "the stream stalled");
            let mut offer = std::pin::pin!(offer);
            tokio::select! {
                biased;
                () = tx.closed() => None,
                chunk = source.active.response.chunks.next() => {
                    let goes_on = matches!(chunk, Some(Ok(_)));
                    source.next_chunk = Some(chunk);
                    // An offer that may still succeed is all that is left of a broken stream.
                    if goes_on { None } else { offer.await }
                }
                taken = &mut offer => taken,
            }
        };
        if taken.is_none() {
            self.run.claim.set_upstream(&upstream);
        }
        taken
    }

    /// Asks another upstream than `upstream` to go on after the tokens that the caller has.
    async fn resume(
        &mut self,
        attempts: &mut Attempts<'_>,
        upstream: &Name,
        reason: &str,
    ) -> Option<ActiveAttempt> {
        attempts
            .record_failure(upstream, Execution::MaybeStarted, reason)
            .ok()?;
        let next = attempts.choose_upstream().ok()?;
        let resume_at = self.run.claim.tokens_out;
        self.worker
            .shared
            .metrics
            .add_to_counter("daisyquay_resumes", 1, &[]);
        let active = attempts
            .send(&mut self.run.claim, next, Some(resume_at))
            .await
            .ok()?;
        (active.response.status == 200).then_some(active)
    }

    fn go_on_with(&mut self, active: ActiveAttempt) -> Source {
        self.finish_event = None;
        Source::new(active)
    }

    async fn relay_attempt(&mut self, source: &mut Source) -> StreamEnd {
        let active = &mut source.active;
        loop {
            let left = self.call.deadline.saturating_sub(self.worker.shared.now());
            if left.is_zero() {
                // Chunks that are ready come before a timeout.
                return StreamEnd::Broken("the deadline has passed");
            }
            let next = match source.next_chunk.take() {
                Some(chunk) => Ok(chunk),
                None => {
                    let chunk = active.response.chunks.next();
                    tokio::select! {
                        biased;
                        () = self.tx.closed() => return StreamEnd::CallerDisconnected,
                        next = tokio::time::timeout(IDLE_TIMEOUT.min(left), chunk) => next,
                    }
                }
            };
            let chunk = match next {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(e))) => return StreamEnd::Broken(e.reason()),
                Ok(None) => return StreamEnd::Broken("the connection closed early"),
                Err(_) if left > IDLE_TIMEOUT => return StreamEnd::Stalled,
                Err(_) => return StreamEnd::Broken("the deadline has passed"),
            };
            if source.splitter.push(&chunk).is_err() {
                return StreamEnd::Broken("an event exceeds the size limit");
            }
            if self.run.claim.tokens_out == 0 {
                self.run.claim.time_to_first_token = active.in_flight.elapsed();
            }
            let events = self.process_events(&mut source.splitter, &active.id);
            if events.has_own {
                active.in_flight.record_progress();
            }
            let chunks = &active.response.chunks;
            let recorded = chunks
                .hold(source.splitter.buffered())
                .and_then(|()| chunks.record_events(events.count));
            if !events.out.is_empty() && self.send(&events.out).await.is_err() {
                return StreamEnd::CallerDisconnected;
            }
            if let Some(end) = events.end {
                return end;
            }
            if let Err(e) = recorded {
                return StreamEnd::Broken(e.reason());
            }
        }
    }

    async fn send(&self, out: &[u8]) -> Result<(), SendError<Bytes>> {
        self.tx.send(Bytes::copy_from_slice(out)).await
    }

    /// Processes all complete events.
    fn process_events(&mut self, splitter: &mut EventSplitter, id: &str) -> ProcessedEvents {
        let mut events = ProcessedEvents::default();
        let first_id = Attempts::first_attempt_id(self.call.request_id);
        while let Some(mut event) = splitter.next_event() {
            events.count += 1;
            let kind = sse::classify(&event);
            match kind {
                EventKind::Done => return events.ended(StreamEnd::Done),
                EventKind::Other if !event.starts_with(b"data:") => continue,
                EventKind::Error => {
                    return events.ended(StreamEnd::Broken("the engine sent an error event"));
                }
                _ => {}
            }
            // Each event carries its attempt's id, so that the stream of another request is
            // detected at its first event.
            if memchr::memmem::find(&event, id.as_bytes()).is_none() {
                return events.ended(StreamEnd::Broken("an event belongs to another request"));
            }
            events.has_own = true;
            if id != first_id {
                sse::replace_id(&mut event, id, &first_id);
            }
            match kind {
                EventKind::Finish => self.finish_event = Some(event),
                EventKind::Usage => self.record_usage(&event),
                EventKind::Token => {
                    self.run.claim.tokens_out += 1;
                    if let Some(text) = &mut self.rated_text {
                        rating::append_event_text(text, &event);
                    }
                    events.out.extend_from_slice(&event);
                }
                _ => events.out.extend_from_slice(&event),
            }
        }
        events
    }

    fn record_usage(&mut self, event: &[u8]) {
        let Some(value) = sse::event_json(event) else {
            return;
        };
        if let Some(usage) = sse::parse_usage(&value) {
            self.run.claim.tokens_in = usage.prompt_tokens;
            self.run.claim.tokens_out = usage.completion_tokens;
        }
        self.usage_event = Some(value);
    }

    async fn finish(mut self) {
        // Without its finish event, a response is incomplete even if `[DONE]` was received.
        let Some(finish_event) = self.finish_event.take() else {
            return self.abort("the stream ended without a finish reason").await;
        };
        let out = self.closing_events(finish_event);
        let sent = self.send(&out).await.is_ok();
        let ClaimedRun { claim, version, .. } = self.run;
        let time_to_first_token = claim.time_to_first_token;
        let tokens = claim.tokens_out;
        claim.settle(if sent {
            Ending::Whole
        } else {
            Ending::Cancelled
        });
        drop(self.tx);
        record_served(self.worker, self.call, &version, time_to_first_token);
        let metrics = &self.worker.shared.metrics;
        metrics.add_to_counter("daisyquay_tokens", tokens, &[]);
        if let Some(text) = self.rated_text {
            rating::rate(self.worker, self.call, &version, text).await;
        }
    }

    /// Returns the finish event, the usage and `[DONE]`. A caller that did not ask for a usage
    /// event gets the usage in the finish event, because some clients can't parse an event without
    /// choices.
    fn closing_events(&mut self, finish_event: BytesMut) -> BytesMut {
        let mut out = BytesMut::new();
        let usage = self.usage_event.take();
        match (usage, self.call.include_usage) {
            (Some(usage), true) => {
                out.extend_from_slice(&finish_event);
                out.extend_from_slice(format!("data: {usage}\n\n").as_bytes());
            }
            (Some(usage), false) => match sse::event_json(&finish_event) {
                Some(Value::Object(mut merged)) => {
                    merged.insert("usage".to_owned(), usage["usage"].clone());
                    let merged = Value::Object(merged);
                    out.extend_from_slice(format!("data: {merged}\n\n").as_bytes());
                }
                _ => out.extend_from_slice(&finish_event),
            },
            (None, _) => out.extend_from_slice(&finish_event),
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        out
    }

    /// Ends the response with an error event, so that no client mistakes it for a complete one.
    async fn abort(self, reason: &str) {
        let error = json!({
            "error": {
                "message": format!("the response is incomplete ({reason}); retry the request"),
                "type": "server_error",
                "code": "stream_broken",
                "daisyquay_ran": "unknown",
            }
        });
        let text = format!("data: {error}\n\n");
        let _ = self.tx.send(Bytes::from(text)).await;
        self.run.claim.settle(Ending::Failed);
    }
}
