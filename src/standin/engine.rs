//! A model engine whose text depends only on the prompt, so that a test can compare a resumed
//! stream with the expected text word by word.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use ntex::http::error::PayloadError;
use ntex::util::Bytes;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::Json;
use ntex::web::types::State;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::server::StandIn;
use crate::api::ChatRequest;
use crate::engine::ATTEMPT_HEADER;
use crate::engine::RESUME_HEADER;
use crate::engine::UsageRecord;

/// Tokens of a response to a request without `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

/// Attempt id that the `crossed` fault sends; no request has it.
const CROSSED_ATTEMPT: &str = "crossed-0";

/// Tokens that are sent in one chunk when the time between them is below [`MIN_SLEEP`].
const TOKENS_PER_CHUNK: u64 = 32;

/// Shortest token interval for which each token is sent on its own, with a sleep after it.
const MIN_SLEEP: Duration = Duration::from_micros(100);

/// A streamed response body, fed through a channel.
struct Body(mpsc::Receiver<Result<Bytes, PayloadError>>);

impl futures_core::Stream for Body {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// One chat completion.
struct Completion {
    standin: Arc<StandIn>,
    attempt: String,
    request: String,
    model: String,
    /// CRC-32 of the messages, from which the words derive.
    prompt_hash: u32,
    tokens_in: u64,
    /// Index of the first token to send; above 0 for a resumed stream.
    first_token: u64,
    /// Index after the last token.
    end_token: u64,
}

fn header<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// Handles a chat request, subject to the faults that are set.
pub(crate) async fn chat(
    req: HttpRequest,
    body: Json<ChatRequest>,
    standin: State<Arc<StandIn>>,
) -> HttpResponse {
    let faults = standin.faults();
    let own_id = format!("direct-{:x}", fastrand::u64(..));
    let attempt = header(&req, ATTEMPT_HEADER).map_or(own_id, ToOwned::to_owned);
    let request = attempt
        .rsplit_once('-')
        .map_or(attempt.as_str(), |(id, _)| id)
        .to_owned();
    {
        let mut seen = standin.seen();
        *seen.runs.entry(request.clone()).or_default() += 1;
        *seen.versions.entry(body.model.clone()).or_default() += 1;
    }
    if faults.fail {
        return HttpResponse::InternalServerError()
            .header(ATTEMPT_HEADER, attempt)
            .finish();
    }
    if faults.freeze {
        std::future::pending::<()>().await;
    }
    let prompt = json!(body.messages).to_string();
    let completion = Completion {
        attempt,
        request,
        model: body.model.clone(),
        prompt_hash: crc32fast::hash(prompt.as_bytes()) ^ u32::from(faults.wrong_id),
        tokens_in: prompt.len() as u64 / 4,
        first_token: header(&req, RESUME_HEADER)
            .and_then(|at| at.parse().ok())
            .unwrap_or(0),
        end_token: u64::from(body.max_tokens.unwrap_or(DEFAULT_TOKENS)),
        standin: (*standin).clone(),
    };
    let streamed = body.stream.unwrap_or(false);
    let mut builder = HttpResponse::Ok();
    let echoed = if faults.wrong_id {
        "someone-else-0".to_owned()
    } else {
        completion.attempt.clone()
    };
    builder.header(ATTEMPT_HEADER, echoed);
    if streamed {
        let (tx, rx) = mpsc::channel(16);
        ntex::rt::spawn(completion.stream(tx));
        return builder
            .content_type("text/event-stream")
            .streaming(Body(rx));
    }
    let response = completion.plain().await;
    builder.json(&response)
}

impl Completion {
    fn word(&self, i: u64) -> String {
        self.word_of(self.prompt_hash, i)
    }

    /// Returns the word of another request at the same position, for the `crossed` fault.
    fn other_word(&self, i: u64) -> String {
        self.word_of(!self.prompt_hash, i)
    }

    fn word_of(&self, prompt_hash: u32, i: u64) -> String {
        format!(
            "w{:x} ",
            crc32fast::hash(&(u64::from(prompt_hash) ^ (i << 32)).to_le_bytes())
        )
    }

    /// Records the usage so far; `whole` tells whether the response is complete.
    fn record_usage(&self, tokens: u64, whole: bool) {
        let record = UsageRecord {
            tokens_in: self.tokens_in,
            tokens_out: tokens,
            whole,
        };
        self.standin.record_usage(&self.request, record);
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.tokens_in,
            "completion_tokens": self.end_token,
            "total_tokens": self.tokens_in + self.end_token,
        })
    }

    /// Sleeps for `time`, multiplied by the `slow` fault.
    async fn wait(&self, time: Duration) {
        let time = time.mul_f64(self.standin.faults().slow);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    /// Returns the whole response as JSON, after the time that its tokens take.
    async fn plain(self) -> Value {
        let _slot = SlotGuard::acquire(&self.standin).await;
        let tokens = u32::try_from(self.end_token).unwrap_or(u32::MAX);
        self.wait(self.standin.cfg.initial_delay + self.standin.cfg.token_interval * tokens)
            .await;
        let crossed = self.standin.faults().crossed;
        let word = |i| {
            if crossed {
                self.other_word(i)
            } else {
                self.word(i)
            }
        };
        let text: String = (0..self.end_token).map(word).collect();
        self.record_usage(self.end_token, true);
        json!({
            "id": if crossed { CROSSED_ATTEMPT } else { &self.attempt },
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        })
    }

    /// Returns one server-sent event of the stream.
    fn event(&self, id: &str, delta: &Value, finish: Option<&str>) -> String {
        let event = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        format!("data: {event}\n\n")
    }

    /// Sends the response to `tx` as server-sent events.
    async fn stream(self, tx: mpsc::Sender<Result<Bytes, PayloadError>>) {
        let _slot = SlotGuard::acquire(&self.standin).await;
        self.wait(self.standin.cfg.initial_delay).await;
        let token_interval = self.standin.cfg.token_interval;
        let mut out = String::new();
        for i in self.first_token..self.end_token {
            let faults = self.standin.faults();
            if faults
                .die_after_tokens
                .is_some_and(|n| i - self.first_token >= n)
            {
                let _ = tx.send(Ok(out.into())).await;
                self.record_usage(i, false);
                let error = PayloadError::Incomplete(None);
                let _ = tx.send(Err(error)).await;
                return;
            }
            let (id, word) = if faults.crossed && i > self.first_token {
                (CROSSED_ATTEMPT, self.other_word(i))
            } else {
                (self.attempt.as_str(), self.word(i))
            };
            if (faults.short || faults.hasty) && i > (self.first_token + self.end_token) / 2 {
                if faults.hasty {
                    out.push_str("data: [DONE]\n\n");
                }
                let _ = tx.send(Ok(out.into())).await;
                return;
            }
            out.push_str(&self.event(id, &json!({ "content": word }), None));
            let sends_each_token = token_interval >= MIN_SLEEP;
            if sends_each_token || (i + 1) % TOKENS_PER_CHUNK == 0 {
                if tx.send(Ok(std::mem::take(&mut out).into())).await.is_err() {
                    self.record_usage(i + 1, false);
                    return;
                }
                if sends_each_token {
                    self.wait(token_interval).await;
                }
            }
        }

        out.push_str(&self.event(&self.attempt, &json!({}), Some("stop")));
        let usage = json!({
            "id": self.attempt,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [],
            "usage": self.usage(),
        });
        out.push_str(&format!("data: {usage}\n\ndata: [DONE]\n\n"));
        self.record_usage(self.end_token, true);
        let _ = tx.send(Ok(out.into())).await;
    }
}

/// A slot of the stand-in that a request holds; it counts as running until it is dropped.
struct SlotGuard<'a> {
    standin: &'a StandIn,
    _permit: Option<tokio::sync::SemaphorePermit<'a>>,
}

impl<'a> SlotGuard<'a> {
    /// Waits for a free slot, counted as a waiting request meanwhile.
    async fn acquire(standin: &'a StandIn) -> Self {
        standin.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = standin.slots.acquire().await.ok();
        standin.waiting.fetch_sub(1, Ordering::Relaxed);
        standin.running.fetch_add(1, Ordering::Relaxed);
        Self {
            standin,
            _permit: permit,
        }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.standin.running.fetch_sub(1, Ordering::Relaxed);
    }
}
