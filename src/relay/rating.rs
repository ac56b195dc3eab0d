//! Has a share of the answers rated, after they were sent.

use serde_json::Value;

use super::ask::Ask;
use super::select::Selected;
use super::sse;
use crate::config::VersionName;
use crate::engine::RatingRequest;
use crate::entry::Worker;
use crate::state::command::LedgerOp;
use crate::state::command::Rating;

/// Most characters of an answer that are rated.
const TEXT_LIMIT: usize = 64 * 1024;

/// Whether an answer is to be rated: all of a version that is being rolled out or tried, a share
/// otherwise.
pub(crate) fn is_due(worker: &Worker, selected: &Selected) -> bool {
    let share = worker.shared.view().config.inventory.rules.rating_share;
    worker.shared.cfg.rater.is_some()
        && (selected.rolls_out || selected.explores || worker.draw() < share)
}

/// Rates a text and tells the ledger; returns the score.
pub(crate) async fn rate(
    worker: &Worker,
    ask: &Ask,
    version: &VersionName,
    text: String,
) -> Option<f32> {
    let request = RatingRequest {
        version: version.to_string(),
        class: ask.class.to_string(),
        prompt: ask.body.get("messages").cloned().unwrap_or(Value::Null),
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
    worker.shared.ledger_later(LedgerOp::Rate(Rating {
        version: version.clone(),
        class: ask.class.clone(),
        score,
    }));
    Some(score)
}

/// The text of a plain answer.
pub(crate) fn plain_text(answer: &Value) -> String {
    answer
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str)
        .unwrap_or_default()
        .chars()
        .take(TEXT_LIMIT)
        .collect()
}

/// The text that an event adds to a streamed answer.
pub(crate) fn add_event_text(text: &mut String, event: &[u8]) {
    if text.len() >= TEXT_LIMIT {
        return;
    }
    let json = sse::json(event);
    let piece = json
        .as_ref()
        .and_then(|value| value.pointer("/choices/0/delta/content"))
        .and_then(Value::as_str);
    text.push_str(piece.unwrap_or_default());
}
