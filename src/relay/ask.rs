//! A chat request, checked.

use std::time::Duration;

use ntex::http::HeaderMap;
use ntex::util::Bytes;
use serde_json::Map;
use serde_json::Value;

use crate::api::ChatRequest;
use crate::collections::Name;
use crate::config::Organisation;
use crate::entry::Refusal;
use crate::policy::admission::Priority;
use crate::state::RequestId;

/// Time that a request has where the caller sets no deadline.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(300);

/// Longest deadline that a caller may set.
const DEADLINE_LIMIT: Duration = Duration::from_secs(3600);

/// Longest key or session name, in characters.
const NAME_LIMIT: usize = 256;

/// Bytes of JSON that make about one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Classes of task by the tokens asked for: quality is learned for each apart.
const CLASSES: [(u32, &str); 3] = [(32, "tag"), (256, "answer"), (u32::MAX, "note")];

/// Tokens expected where the caller sets no limit.
const TOKENS_DEFAULT: u32 = 512;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) request: RequestId,
    pub(crate) organisation: Organisation,
    /// `name`, `name@version` or `auto`.
    pub(crate) model: Name,
    pub(crate) body: Map<String, Value>,
    pub(crate) streamed: bool,
    pub(crate) include_usage: bool,
    pub(crate) class: Name,
    pub(crate) tokens_in: f64,
    pub(crate) tokens_out: f64,
    pub(crate) session: Option<Name>,
    pub(crate) key: Option<Name>,
    pub(crate) deadline: Duration,
    pub(crate) priority: Priority,
    pub(crate) quality_target: f64,
}

impl Ask {
    /// Reads and checks a request that came at `now`.
    pub(crate) fn read(
        request: RequestId,
        organisation: Organisation,
        headers: &HeaderMap,
        body: &Bytes,
        now: Duration,
    ) -> Result<Self, Refusal> {
        let chat: ChatRequest = serde_json::from_slice(body).map_err(|e| {
            let message = format!("the body is no chat-completions request: {e}");
            Refusal::bad("invalid_body", message)
        })?;
        let map: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|e| Refusal::bad("invalid_body", format!("the body is no object: {e}")))?;
        if chat.messages.is_empty() {
            let message = "`messages` is empty; send one message at least";
            return Err(Refusal::bad("invalid_body", message));
        }
        let tokens = chat.max_tokens.unwrap_or(TOKENS_DEFAULT);
        let class = CLASSES
            .iter()
            .find(|(limit, _)| tokens <= *limit)
            .map_or("note", |(_, class)| class);
        let include_usage = chat
            .stream_options
            .and_then(|options| options.include_usage)
            .unwrap_or(false);
        let quality_target = match header(headers, "daisyquay-quality")? {
            None => organisation.quality_target,
            Some(text) => parse_quality(&text)?,
        };
        Ok(Self {
            request,
            organisation,
            model: chat.model.into(),
            streamed: chat.stream.unwrap_or(false),
            include_usage,
            class: class.into(),
            tokens_in: (body.len() / BYTES_PER_TOKEN) as f64,
            tokens_out: f64::from(tokens),
            body: map,
            session: header(headers, "daisyquay-session")?,
            key: header(headers, "idempotency-key")?,
            deadline: now + deadline(headers)?,
            priority: priority(headers)?,
            quality_target,
        })
    }
}

/// A header's text, refused where it is too long or no text.
pub(crate) fn header(headers: &HeaderMap, name: &'static str) -> Result<Option<Name>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > NAME_LIMIT {
        let message = format!("header `{name}`: send 1 to {NAME_LIMIT} printable characters");
        return Err(Refusal::bad("invalid_header", message));
    }
    Ok(Some(text.into()))
}

/// How long the request has.
pub(crate) fn deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(text) = header(headers, "daisyquay-deadline-ms")? else {
        return Ok(DEADLINE_DEFAULT);
    };
    let ms = text.parse().map_err(|_| {
        let message = format!("header `daisyquay-deadline-ms`: `{text}` is no whole number");
        Refusal::bad("invalid_header", message)
    })?;
    Ok(Duration::from_millis(ms).min(DEADLINE_LIMIT))
}

fn priority(headers: &HeaderMap) -> Result<Priority, Refusal> {
    match header(headers, "daisyquay-priority")?.as_deref() {
        None | Some("interactive") => Ok(Priority::Interactive),
        Some("deferrable") => Ok(Priority::Deferrable),
        Some(other) => {
            let message = format!(
                "header `daisyquay-priority`: `{other}` is unknown; send `interactive` or \
                 `deferrable`"
            );
            Err(Refusal::bad("invalid_header", message))
        }
    }
}

fn parse_quality(text: &str) -> Result<f64, Refusal> {
    text.parse()
        .ok()
        .filter(|target| (0.0..=1.0).contains(target))
        .ok_or_else(|| {
            let message = format!("header `daisyquay-quality`: `{text}` is no number from 0 to 1");
            Refusal::bad("invalid_header", message)
        })
}
