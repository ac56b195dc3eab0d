//! Parses and validates a chat request: its body and the `daisyquay-*` headers.

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

/// Deadline of a request whose caller sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(300);

/// A longer deadline of the caller's is cut to this.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Longest value of a header such as an idempotency key or a session name, in characters.
const MAX_HEADER_VALUE_LEN: usize = 256;

/// Bytes of JSON per prompt token, for the estimate of the prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// Task classes by the largest `max_tokens` that belongs to each. Quality is learned per class.
const TASK_CLASSES: [(u32, &str); 3] = [(32, "tag"), (256, "answer"), (u32::MAX, "note")];

/// Expected completion tokens of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// A valid chat request.
#[derive(Clone, Debug)]
pub(crate) struct ChatCall {
    pub(crate) request_id: RequestId,
    pub(crate) organisation: Organisation,
    /// `name`, `name@version` or `auto`.
    pub(crate) model: Name,
    /// The caller's JSON object, unknown fields included.
    pub(crate) body: Map<String, Value>,
    pub(crate) is_streaming: bool,
    /// Whether the caller wants the usage as an event of its own at the end of the stream.
    pub(crate) include_usage: bool,
    /// Name of the task class, one of [`TASK_CLASSES`].
    pub(crate) class: Name,
    /// Estimated prompt tokens.
    pub(crate) tokens_in: f64,
    /// Most completion tokens, for the cost estimate.
    pub(crate) tokens_out: f64,
    pub(crate) session: Option<Name>,
    pub(crate) idempotency_key: Option<Name>,
    /// In the entry's monotonic clock.
    pub(crate) deadline: Duration,
    pub(crate) priority: Priority,
    /// Least expected quality, 0 to 1. If no version reaches it, the best one serves the request.
    pub(crate) quality_target: f64,
}

impl ChatCall {
    /// Parses a request received at `now`.
    ///
    /// # Errors
    ///
    /// The body isn't a chat request with at least one message, or a header's value is invalid.
    pub(crate) fn parse(
        request_id: RequestId,
        organisation: Organisation,
        headers: &HeaderMap,
        body: &Bytes,
        now: Duration,
    ) -> Result<Self, Refusal> {
        let chat: ChatRequest = serde_json::from_slice(body).map_err(|e| {
            let message = format!("the body is not a valid chat completions request: {e}");
            Refusal::bad("invalid_body", message)
        })?;
        let map: Map<String, Value> = serde_json::from_slice(body).map_err(|e| {
            Refusal::bad(
                "invalid_body",
                format!("the body is not a JSON object: {e}"),
            )
        })?;
        if chat.messages.is_empty() {
            let message = "`messages` is empty; send at least one message";
            return Err(Refusal::bad("invalid_body", message));
        }
        let tokens = chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let class = TASK_CLASSES
            .iter()
            .find(|(limit, _)| tokens <= *limit)
            .map_or("note", |(_, class)| class);
        let include_usage = chat
            .stream_options
            .and_then(|options| options.include_usage)
            .unwrap_or(false);
        let quality_target = match text_header(headers, "daisyquay-quality")? {
            None => organisation.quality_target,
            Some(text) => parse_quality_target(&text)?,
        };
        Ok(Self {
            request_id,
            organisation,
            model: chat.model.into(),
            is_streaming: chat.stream.unwrap_or(false),
            include_usage,
            class: class.into(),
            tokens_in: (body.len() / BYTES_PER_TOKEN) as f64,
            tokens_out: f64::from(tokens),
            body: map,
            session: text_header(headers, "daisyquay-session")?,
            idempotency_key: text_header(headers, "idempotency-key")?,
            deadline: now + parse_deadline(headers)?,
            priority: parse_priority(headers)?,
            quality_target,
        })
    }
}

/// Returns the value of header `name`, or `None` where the request has no such header.
///
/// # Errors
///
/// The value is empty, too long or not printable ASCII.
pub(crate) fn text_header(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<Name>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_HEADER_VALUE_LEN {
        let message =
            format!("header `{name}`: send 1 to {MAX_HEADER_VALUE_LEN} printable characters");
        return Err(Refusal::bad("invalid_header", message));
    }
    Ok(Some(text.into()))
}

/// Returns the time from now to the request's deadline.
///
/// # Errors
///
/// The header isn't a whole number of milliseconds.
pub(crate) fn parse_deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(text) = text_header(headers, "daisyquay-deadline-ms")? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let ms = text.parse().map_err(|_| {
        let message = format!("header `daisyquay-deadline-ms`: `{text}` is not a whole number");
        Refusal::bad("invalid_header", message)
    })?;
    Ok(Duration::from_millis(ms).min(MAX_DEADLINE))
}

fn parse_priority(headers: &HeaderMap) -> Result<Priority, Refusal> {
    match text_header(headers, "daisyquay-priority")?.as_deref() {
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

fn parse_quality_target(text: &str) -> Result<f64, Refusal> {
    text.parse()
        .ok()
        .filter(|target| (0.0..=1.0).contains(target))
        .ok_or_else(|| {
            let message =
                format!("header `daisyquay-quality`: `{text}` is not a number from 0 to 1");
            Refusal::bad("invalid_header", message)
        })
}
