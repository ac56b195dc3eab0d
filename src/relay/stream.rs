//! Relays a streamed answer. A stream that breaks is resumed at its token offset on the same
//! version; if it can't be, the caller gets an explicit error event and no `[DONE]`.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use ntex::http::error::PayloadError;
use ntex::util::Bytes;
use ntex::util::BytesMut;
use ntex::web::HttpResponse;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::ask::Ask;
use super::attempt::Attempts;
use super::attempt::Begun;
use super::attempt::Dispatch;
use super::chat::Run;
use super::chat::count;
use super::rating;
use super::select::Selected;
use super::sse;
use super::sse::Kind;
use super::sse::Splitter;
use crate::entry::Worker;
use crate::log::event;
use crate::policy::retry::Execution;
use crate::state::command::Ending;

/// Silence after which a stream is taken for broken.
const GAP_LIMIT: Duration = Duration::from_secs(5);

/// Chunks that wait for a slow caller before the engine is read no further.
const BACKLOG: usize = 64;

/// The body of a streamed response.
struct Outgoing(mpsc::Receiver<Bytes>);

impl futures_core::Stream for Outgoing {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx).map(|item| item.map(Ok))
    }
}

/// Begins the response; a task of its own goes on with it.
pub(super) fn respond(
    worker: &Worker,
    ask: &Ask,
    selected: &Selected,
    dispatch: Dispatch,
    run: Run,
    begun: Begun,
) -> HttpResponse {
    let (tx, rx) = mpsc::channel(BACKLOG);
    let mut builder = HttpResponse::Ok();
    builder
        .header("daisyquay-request-id", ask.request.to_string())
        .header("daisyquay-version", run.version.to_string())
        .header("cache-control", "no-cache")
        .content_type("text/event-stream");
    if let Some(moved) = &selected.moved_from {
        builder.header("daisyquay-session-moved-from", moved.to_string());
    }
    let rate = rating::is_due(worker, selected);
    let (worker, ask) = (worker.clone(), ask.clone());
    tokio::task::spawn_local(async move {
        let relay = Relay {
            worker: &worker,
            ask: &ask,
            dispatch: &dispatch,
            run,
            tx,
            text: rate.then(String::new),
            held: None,
            usage: None,
        };
        relay.pump(begun).await;
    });
    builder.streaming(Outgoing(rx))
}

/// How one attempt's stream ended.
enum End {
    /// With `[DONE]`.
    Done,
    /// Before it, by the upstream's fault.
    Broken(&'static str),
    /// The caller is gone.
    CallerGone,
}

struct Relay<'a> {
    worker: &'a Worker,
    ask: &'a Ask,
    dispatch: &'a Dispatch,
    run: Run,
    tx: mpsc::Sender<Bytes>,
    /// Text for the rater, if the answer is to be rated.
    text: Option<String>,
    /// The last piece, held until the usage figures are known.
    held: Option<BytesMut>,
    usage: Option<Value>,
}

impl Relay<'_> {
    async fn pump(mut self, mut begun: Begun) {
        let mut attempts = Attempts::new(self.worker, self.dispatch);
        loop {
            match self.relay_attempt(&mut begun).await {
                End::Done => return self.finish().await,
                End::CallerGone => return self.run.open.settle(Ending::Cancelled),
                End::Broken(reason) => {
                    begun.in_flight.failed();
                    let upstream = begun.in_flight.upstream.id.clone();
                    event!(
                        Warn,
                        "stream_broken",
                        request = self.ask.request,
                        upstream = upstream,
                        reason = reason,
                        tokens = self.run.open.tokens_out
                    );
                    match self.resume(&mut attempts, &upstream, reason).await {
                        Some(next) => begun = next,
                        None => return self.give_up(reason).await,
                    }
                }
            }
        }
    }

    async fn resume(
        &mut self,
        attempts: &mut Attempts<'_>,
        upstream: &crate::collections::Name,
        reason: &str,
    ) -> Option<Begun> {
        attempts
            .fail(upstream, Execution::MaybeStarted, reason)
            .ok()?;
        let next = attempts.choose().ok()?;
        let at = self.run.open.tokens_out;
        self.held = None;
        self.worker
            .shared
            .metrics
            .add_to_counter("daisyquay_resumes", 1, &[]);
        let begun = attempts
            .begin(&mut self.run.open, next, Some(at))
            .await
            .ok()?;
        (begun.answer.status == 200).then_some(begun)
    }

    async fn relay_attempt(&mut self, begun: &mut Begun) -> End {
        let mut splitter = Splitter::default();
        loop {
            let left = self.ask.deadline.saturating_sub(self.worker.shared.now());
            let next = tokio::time::timeout(GAP_LIMIT.min(left), begun.answer.chunks.next());
            let chunk = match next.await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(_))) | Ok(None) => return End::Broken("the stream broke off"),
                Err(_) => return End::Broken("the stream went silent"),
            };
            if self.run.open.tokens_out == 0 {
                self.run.open.first = begun.in_flight.succeeded();
            }
            if splitter.push(&chunk).is_err() {
                return End::Broken("an event is too long");
            }
            let (out, end) = self.take_events(&mut splitter, &begun.id);
            if !out.is_empty() && self.tx.send(out.freeze()).await.is_err() {
                return End::CallerGone;
            }
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Takes all whole events; returns what goes to the caller.
    fn take_events(&mut self, splitter: &mut Splitter, id: &str) -> (BytesMut, Option<End>) {
        let mut out = BytesMut::new();
        let first = Attempts::first_id(self.ask.request);
        while let Some(mut event) = splitter.next_event() {
            let kind = sse::kind(&event);
            match kind {
                Kind::Done => return (out, Some(End::Done)),
                Kind::Other if !event.starts_with(b"data:") => continue,
                Kind::Error => return (out, Some(End::Broken("an error of the engine's"))),
                _ => {}
            }
            // Each event names its attempt, so that a crossed stream is seen at its first event.
            if memchr::memmem::find(&event, id.as_bytes()).is_none() {
                return (out, Some(End::Broken("an event of another request")));
            }
            if id != first {
                sse::replace_id(&mut event, id, &first);
            }
            match kind {
                Kind::Finish => self.held = Some(event),
                Kind::Usage => self.take_usage(&event),
                Kind::Token => {
                    self.run.open.tokens_out += 1;
                    if let Some(text) = &mut self.text {
                        rating::add_event_text(text, &event);
                    }
                    out.extend_from_slice(&event);
                }
                _ => out.extend_from_slice(&event),
            }
        }
        (out, None)
    }

    fn take_usage(&mut self, event: &[u8]) {
        let Some(value) = sse::json(event) else {
            return;
        };
        if let Some(usage) = sse::usage(&value) {
            self.run.open.tokens_in = usage.prompt_tokens;
            self.run.open.tokens_out = usage.completion_tokens;
        }
        self.usage = Some(value);
    }

    async fn finish(mut self) {
        // An end without its last piece is no whole answer.
        let Some(held) = self.held.take() else {
            return self.give_up("the stream ended early").await;
        };
        let out = self.last_events(held);
        let sent = self.tx.send(out.freeze()).await.is_ok();
        let Run { open, version, .. } = self.run;
        let first = open.first;
        let tokens = open.tokens_out;
        open.settle(if sent {
            Ending::Whole
        } else {
            Ending::Cancelled
        });
        drop(self.tx);
        count(self.worker, self.ask, &version, first);
        let metrics = &self.worker.shared.metrics;
        metrics.add_to_counter("daisyquay_tokens", tokens, &[]);
        if let Some(text) = self.text {
            rating::rate(self.worker, self.ask, &version, text).await;
        }
    }

    /// The last piece, the usage figures and `[DONE]`. A caller that did not ask for a usage event
    /// gets the figures with the last piece: some clients can't read an event without choices.
    fn last_events(&mut self, held: BytesMut) -> BytesMut {
        let mut out = BytesMut::new();
        let usage = self.usage.take();
        match (usage, self.ask.include_usage) {
            (Some(usage), true) => {
                out.extend_from_slice(&held);
                out.extend_from_slice(format!("data: {usage}\n\n").as_bytes());
            }
            (Some(usage), false) => match sse::json(&held) {
                Some(Value::Object(mut last)) => {
                    last.insert("usage".to_owned(), usage["usage"].clone());
                    let last = Value::Object(last);
                    out.extend_from_slice(format!("data: {last}\n\n").as_bytes());
                }
                _ => out.extend_from_slice(&held),
            },
            (None, _) => out.extend_from_slice(&held),
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        out
    }

    /// Ends the answer with an error that no client can take for a whole answer.
    async fn give_up(self, reason: &str) {
        let error = json!({
            "error": {
                "message": format!("the answer is not whole ({reason}); ask again"),
                "type": "server_error",
                "code": "stream_broken",
                "daisyquay_ran": "unknown",
            }
        });
        let text = format!("data: {error}\n\n");
        let _ = self.tx.send(Bytes::from(text)).await;
        self.run.open.settle(Ending::Failed);
    }
}
