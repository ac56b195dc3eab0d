//! A model engine whose text is a pure function of the prompt, so that a resumed answer can be
//! checked word by word.

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

use super::server::Stand;
use crate::api::ChatRequest;
use crate::engine::ATTEMPT_HEADER;
use crate::engine::RESUME_HEADER;
use crate::engine::UsageRecord;

/// Tokens of an answer where the caller sets no limit.
const TOKENS_DEFAULT: u32 = 16;

/// Id of an attempt that is nobody's here.
const CROSSED: &str = "crossed-0";

/// Words that are sent together when the time between them is too short to wait for.
const BURST: u64 = 32;

/// Shortest time between tokens that is waited for one by one.
const SHORTEST_WAIT: Duration = Duration::from_micros(100);

struct Body(mpsc::Receiver<Result<Bytes, PayloadError>>);

impl futures_core::Stream for Body {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

struct Job {
    stand: Arc<Stand>,
    attempt: String,
    request: String,
    model: String,
    prompt: u32,
    tokens_in: u64,
    from: u64,
    until: u64,
}

fn header<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// Answers a chat request.
pub(crate) async fn chat(
    req: HttpRequest,
    body: Json<ChatRequest>,
    stand: State<Arc<Stand>>,
) -> HttpResponse {
    let faults = stand.faults();
    let own_id = format!("direct-{:x}", fastrand::u64(..));
    let attempt = header(&req, ATTEMPT_HEADER).map_or(own_id, ToOwned::to_owned);
    let request = attempt
        .rsplit_once('-')
        .map_or(attempt.as_str(), |(id, _)| id)
        .to_owned();
    {
        let mut seen = stand.seen();
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
    let job = Job {
        attempt,
        request,
        model: body.model.clone(),
        prompt: crc32fast::hash(prompt.as_bytes()) ^ u32::from(faults.wrong_id),
        tokens_in: prompt.len() as u64 / 4,
        from: header(&req, RESUME_HEADER)
            .and_then(|at| at.parse().ok())
            .unwrap_or(0),
        until: u64::from(body.max_tokens.unwrap_or(TOKENS_DEFAULT)),
        stand: (*stand).clone(),
    };
    let streamed = body.stream.unwrap_or(false);
    let mut builder = HttpResponse::Ok();
    let echoed = if faults.wrong_id {
        "someone-else-0".to_owned()
    } else {
        job.attempt.clone()
    };
    builder.header(ATTEMPT_HEADER, echoed);
    if streamed {
        let (tx, rx) = mpsc::channel(16);
        ntex::rt::spawn(job.stream(tx));
        return builder
            .content_type("text/event-stream")
            .streaming(Body(rx));
    }
    let answer = job.plain().await;
    builder.json(&answer)
}

impl Job {
    fn word(&self, i: u64) -> String {
        self.word_of(self.prompt, i)
    }

    /// The word that another request would get.
    fn other_word(&self, i: u64) -> String {
        self.word_of(!self.prompt, i)
    }

    fn word_of(&self, prompt: u32, i: u64) -> String {
        format!(
            "w{:x} ",
            crc32fast::hash(&(u64::from(prompt) ^ (i << 32)).to_le_bytes())
        )
    }

    fn note(&self, tokens: u64, whole: bool) {
        let record = UsageRecord {
            tokens_in: self.tokens_in,
            tokens_out: tokens,
            whole,
        };
        self.stand.record(&self.request, record);
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.tokens_in,
            "completion_tokens": self.until,
            "total_tokens": self.tokens_in + self.until,
        })
    }

    async fn wait(&self, time: Duration) {
        let time = time.mul_f64(self.stand.faults().slow);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    async fn plain(self) -> Value {
        let _busy = Busy::take(&self.stand).await;
        let tokens = u32::try_from(self.until).unwrap_or(u32::MAX);
        self.wait(self.stand.cfg.initial_delay + self.stand.cfg.token_interval * tokens)
            .await;
        let crossed = self.stand.faults().crossed;
        let word = |i| {
            if crossed {
                self.other_word(i)
            } else {
                self.word(i)
            }
        };
        let text: String = (0..self.until).map(word).collect();
        self.note(self.until, true);
        json!({
            "id": if crossed { CROSSED } else { &self.attempt },
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

    async fn stream(self, tx: mpsc::Sender<Result<Bytes, PayloadError>>) {
        let _busy = Busy::take(&self.stand).await;
        self.wait(self.stand.cfg.initial_delay).await;
        let token = self.stand.cfg.token_interval;
        let mut out = String::new();
        for i in self.from..self.until {
            let faults = self.stand.faults();
            if faults.die_after_tokens.is_some_and(|n| i - self.from >= n) {
                let _ = tx.send(Ok(out.into())).await;
                self.note(i, false);
                let broken = PayloadError::Incomplete(None);
                let _ = tx.send(Err(broken)).await;
                return;
            }
            let (id, word) = if faults.crossed && i > self.from {
                (CROSSED, self.other_word(i))
            } else {
                (self.attempt.as_str(), self.word(i))
            };
            if (faults.short || faults.hasty) && i > (self.from + self.until) / 2 {
                if faults.hasty {
                    out.push_str("data: [DONE]\n\n");
                }
                let _ = tx.send(Ok(out.into())).await;
                return;
            }
            out.push_str(&self.event(id, &json!({ "content": word }), None));
            let waits = token >= SHORTEST_WAIT;
            if waits || (i + 1) % BURST == 0 {
                if tx.send(Ok(std::mem::take(&mut out).into())).await.is_err() {
                    self.note(i + 1, false);
                    return;
                }
                if waits {
                    self.wait(token).await;
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
        self.note(self.until, true);
        let _ = tx.send(Ok(out.into())).await;
    }
}

/// A slot of the stand-in, counted in its load.
struct Busy<'a> {
    stand: &'a Stand,
    _permit: Option<tokio::sync::SemaphorePermit<'a>>,
}

impl<'a> Busy<'a> {
    async fn take(stand: &'a Stand) -> Self {
        stand.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = stand.slots.acquire().await.ok();
        stand.waiting.fetch_sub(1, Ordering::Relaxed);
        stand.running.fetch_add(1, Ordering::Relaxed);
        Self {
            stand,
            _permit: permit,
        }
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.stand.running.fetch_sub(1, Ordering::Relaxed);
    }
}
