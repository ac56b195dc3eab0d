//! Has a sample of the responses rated, to learn each version's quality.
//!
//! The caller doesn't wait for the rating, except in a cascade, where the score decides whether the
//! response is used.

use serde_json::Value;

use super::request::ChatCall;
use super::select::Selection;
use super::sse;
use crate::config::VersionName;
use crate::engine::RatingRequest;
use crate::entry::Worker;
use crate::state::command::LedgerOp;
use crate::state::command::Rating;

/// Longest text that is rated. A response that is not streamed is cut to this many characters; a
/// stream's text stops growing once it has this many bytes.
const MAX_RATED_TEXT: usize = 64 * 1024;

/// Whether to rate a response: always during a rollout or an exploration, else a random sample.
pub(crate) fn should_rate(worker: &Worker, selection: &Selection) -> bool {
    let share = worker.shared.view().config.inventory.rules.rating_share;
    worker.shared.cfg.rater.is_some()
        && (selection.is_rollout || selection.is_exploring || worker.draw() < share)
}

/// Rates a response's text, submits the score to the ledger and returns it; `None` where the rater
/// gave no valid score.
pub(crate) async fn rate(
    worker: &Worker,
    call: &ChatCall,
    version: &VersionName,
    text: String,
) -> Option<f32> {
    let request = RatingRequest {
        version: version.to_string(),
        class: call.class.to_string(),
        prompt: call.body.get("messages").cloned().unwrap_or(Value::Null),
        answer: text,
    };
    let score = worker.rater.rate(request).await;
    let Some(score) = score else {
        worker
            .shared
            .metrics
            .add_to_counter("daisyquay_rating_failures", 1, &[]);
        return None;
    };
    worker.shared.submit_op_detached(LedgerOp::Rate(Rating {
        version: version.clone(),
        class: call.class.clone(),
        score,
    }));
    Some(score)
}

/// Returns the text of a response that is not streamed, cut to [`MAX_RATED_TEXT`].
pub(crate) fn response_text(response: &Value) -> String {
    response
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str)
        .unwrap_or_default()
        .chars()
        .take(MAX_RATED_TEXT)
        .collect()
}

/// Appends the text of a stream's event to `text`.
pub(crate) fn append_event_text(text: &mut String, event: &[u8]) {
    if text.len() >= MAX_RATED_TEXT {
        return;
    }
    let json = sse::event_json(event);
    let delta = json
        .as_ref()
        .and_then(|value| value.pointer("/choices/0/delta/content"))
        .and_then(Value::as_str);
    text.push_str(delta.unwrap_or_default());
}
