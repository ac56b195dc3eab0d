//! A chat request from admission to settlement.

use std::hash::BuildHasher;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::util::BytesMut;
use ntex::web::HttpResponse;
use serde_json::Value;

use super::ask::Ask;
use super::attempt::Attempts;
use super::attempt::Begun;
use super::attempt::Dispatch;
use super::claim::OpenClaim;
use super::claim::Verdict;
use super::rating;
use super::select::Selected;
use super::select::select;
use super::sse;
use super::stream;
use crate::config::VersionName;
use crate::engine::Answer;
use crate::entry::Ran;
use crate::entry::Refusal;
use crate::entry::Slot;
use crate::entry::Worker;
use crate::entry::admit;
use crate::log::event;
use crate::policy::plan::Plan;
use crate::policy::retry::Execution;
use crate::state::Target;
use crate::state::command::Ending;

/// Most bytes of a plain answer.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// Time in which a streamed answer must begin before another upstream is tried.
const STREAM_HEAD_LIMIT: Duration = Duration::from_secs(15);

/// Path of chat completions at an engine.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Serves a chat request.
pub(crate) async fn chat(worker: &Worker, ask: &Ask) -> Result<HttpResponse, Refusal> {
    let selected = select(worker, ask, false).await?;
    match serve(worker, ask, &selected).await {
        Err(Ended::OverBudget) => {
            let stable = select(worker, ask, true).await?;
            serve(worker, ask, &stable).await.map_err(Ended::refusal)
        }
        other => other.map_err(Ended::refusal),
    }
}

/// Why a selected plan was not carried out.
enum Ended {
    Refused(Refusal),
    OverBudget,
}

impl From<Refusal> for Ended {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Ended {
    fn refusal(self) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            Self::OverBudget => {
                let message = "the session's version has spent its exposure budget; ask again";
                Refusal::unavailable("over_budget", message)
            }
        }
    }
}

/// The parts of a run that a version has claimed.
pub(super) struct Run {
    /// Held until the request has ended.
    pub(super) _slot: Slot,
    pub(super) open: OpenClaim,
    pub(super) version: VersionName,
}

async fn serve(worker: &Worker, ask: &Ask, selected: &Selected) -> Result<HttpResponse, Ended> {
    let version = selected.plan.first().clone();
    let dispatch = dispatch(ask, &version);
    let slot = admit_to(worker, ask, &version).await?;
    let mut attempts = Attempts::new(worker, &dispatch);
    let upstream = attempts.choose()?;
    let shared = &worker.shared;
    let mut open = OpenClaim::for_ask(shared, ask, &version, upstream.id.clone());
    // A repeatable request is claimed while it is dispatched; nothing of its answer leaves before
    // the claim is durable. Where a claim may be refused for good, it comes first.
    if selected.rolls_out || ask.key.is_some() {
        claimed(&mut open).await?;
    }
    let begun = attempts.begin(&mut open, upstream, None).await;
    let begun = match begun {
        Ok(begun) => begun,
        Err(refusal) => {
            open.settle(Ending::Failed);
            return Err(refusal.into());
        }
    };
    claimed(&mut open).await?;
    let run = Run {
        _slot: slot,
        open,
        version,
    };
    if ask.streamed && begun.answer.status == 200 {
        return Ok(stream::respond(
            worker,
            ask,
            selected,
            dispatch.clone(),
            run,
            begun,
        ));
    }
    plain(worker, ask, selected, attempts, run, begun).await
}

async fn claimed(open: &mut OpenClaim) -> Result<(), Ended> {
    match open.verdict().await? {
        Verdict::Run => Ok(()),
        Verdict::OverBudget => Err(Ended::OverBudget),
    }
}

async fn admit_to(worker: &Worker, ask: &Ask, version: &VersionName) -> Result<Slot, Refusal> {
    let shared = &worker.shared;
    let queue_ms = shared.view().config.inventory.rules.queue_ms;
    let until = (shared.now() + Duration::from_millis(queue_ms)).min(ask.deadline);
    let request = admit::Admit {
        target: Target::Version(version.clone()),
        organisation: ask.organisation.name.clone(),
        weight: ask.organisation.weight,
        priority: ask.priority,
        until,
    };
    admit::admit(shared, request, worker.draw()).await
}

/// What goes to an engine: the caller's body with the model's own name and usage asked for.
fn dispatch(ask: &Ask, version: &VersionName) -> Dispatch {
    let mut body = ask.body.clone();
    body.insert("model".to_owned(), Value::String(version.to_string()));
    if ask.streamed {
        let options = serde_json::json!({ "include_usage": true });
        body.insert("stream_options".to_owned(), options);
    }
    let head_limit = if ask.streamed {
        STREAM_HEAD_LIMIT
    } else {
        Duration::MAX
    };
    Dispatch {
        request: ask.request,
        organisation: ask.organisation.name.clone(),
        target: Target::Version(version.clone()),
        method: http::Method::POST,
        path: CHAT_PATH.to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::from(Value::Object(body).to_string()),
        affinity: affinity(ask),
        deadline: ask.deadline,
        at_most_once: false,
        head_limit,
    }
}

/// The session, or else the first message: requests that share it share a cached prefix.
fn affinity(ask: &Ask) -> Option<u64> {
    let hasher = foldhash::fast::FixedState::default();
    if let Some(session) = &ask.session {
        return Some(hasher.hash_one((&ask.organisation.name, session)));
    }
    let first = ask.body.get("messages")?.get(0)?;
    let is_prefix = first.get("role").and_then(Value::as_str) == Some("system");
    is_prefix.then(|| hasher.hash_one(first.to_string()))
}

async fn plain(
    worker: &Worker,
    ask: &Ask,
    selected: &Selected,
    mut attempts: Attempts<'_>,
    mut run: Run,
    mut begun: Begun,
) -> Result<HttpResponse, Ended> {
    let body = loop {
        match collect(worker, ask, &mut begun).await {
            Ok(body) => break body,
            Err(reason) => {
                begun.in_flight.failed();
                let upstream = begun.in_flight.upstream.id.clone();
                event!(
                    Warn,
                    "attempt_failed",
                    request = ask.request,
                    upstream = upstream,
                    reason = reason
                );
                let next = attempts
                    .fail(&upstream, Execution::MaybeStarted, reason)
                    .and_then(|()| attempts.choose());
                let next = match next {
                    Ok(next) => next,
                    Err(refusal) => {
                        run.open.settle(Ending::Failed);
                        return Err(refusal.into());
                    }
                };
                begun = attempts.begin(&mut run.open, next, None).await?;
            }
        }
    };
    run.open.first = begun.in_flight.succeeded();
    let status = begun.answer.status;
    if status != 200 {
        run.open.settle(Ending::Failed);
        return Ok(pass_on(ask, status, body));
    }
    let Ok(answer) = serde_json::from_slice::<Value>(&body) else {
        run.open.settle(Ending::Failed);
        let message = "the upstream's answer was no JSON; ask again";
        let refusal = Refusal::unavailable("upstream_failed", message);
        return Err(refusal.ran(Ran::Unknown).into());
    };
    if let Some(usage) = sse::usage(&answer) {
        run.open.tokens_in = usage.prompt_tokens;
        run.open.tokens_out = usage.completion_tokens;
    }
    if let Plan::Cascade {
        fallback: then,
        min_score: accept,
        ..
    } = &selected.plan
    {
        return Box::pin(cascade(
            worker, ask, selected, run, body, &answer, then, *accept,
        ))
        .await;
    }
    let text = rating::is_due(worker, selected).then(|| rating::plain_text(&answer));
    let Run { open, version, .. } = run;
    let first = open.first;
    open.settle(Ending::Whole);
    if let Some(text) = text {
        let (worker, ask, version) = (worker.clone(), ask.clone(), version.clone());
        tokio::task::spawn_local(async move {
            rating::rate(&worker, &ask, &version, text).await;
        });
    }
    count(worker, ask, &version, first);
    Ok(answered(ask, selected, &version, body))
}

/// The second step of a cascade, where the first answer is rated too low.
#[expect(
    clippy::too_many_arguments,
    reason = "all of them are the state of one request"
)]
async fn cascade(
    worker: &Worker,
    ask: &Ask,
    selected: &Selected,
    run: Run,
    body: Bytes,
    answer: &Value,
    then: &VersionName,
    accept: f64,
) -> Result<HttpResponse, Ended> {
    let Run {
        mut open, version, ..
    } = run;
    let score = rating::rate(worker, ask, &version, rating::plain_text(answer)).await;
    // Without a score nothing shows that the cheap answer will do.
    if score.is_some_and(|score| f64::from(score) >= accept) {
        let first = open.first;
        open.settle(Ending::Whole);
        count(worker, ask, &version, first);
        return Ok(answered(ask, selected, &version, body));
    }
    worker
        .shared
        .metrics
        .add_to_counter("daisyquay_escalations", 1, &[]);
    let slot = match admit_to(worker, ask, then).await {
        Ok(slot) => slot,
        Err(_) => {
            // The better version is full: the cheap answer is better than none.
            open.settle(Ending::Whole);
            return Ok(answered(ask, selected, &version, body));
        }
    };
    open.next_leg(version, then.clone());
    let dispatch = dispatch(ask, then);
    let mut attempts = Attempts::new(worker, &dispatch);
    let upstream = attempts.choose()?;
    let begun = attempts.begin(&mut open, upstream, None).await?;
    let direct = Selected {
        plan: Plan::Direct(then.clone()),
        rolls_out: false,
        explores: false,
        moved_from: None,
    };
    let run = Run {
        _slot: slot,
        open,
        version: then.clone(),
    };
    plain(worker, ask, &direct, attempts, run, begun).await
}

/// Reads a whole plain answer and checks whose it is.
async fn collect(worker: &Worker, ask: &Ask, begun: &mut Begun) -> Result<Bytes, &'static str> {
    let Answer { status, chunks, .. } = &mut begun.answer;
    let left = ask.deadline.saturating_sub(worker.shared.now());
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk.map_err(|_| "the answer broke off")?;
            if body.len() + chunk.len() > ANSWER_LIMIT {
                return Err("the answer is too long");
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    };
    let read = tokio::time::timeout(left, read).await;
    let mut body = read.map_err(|_| "the deadline has passed")??;
    if *status == 200 {
        if memchr::memmem::find(&body, begun.id.as_bytes()).is_none() {
            return Err("an answer to another request");
        }
        let first = Attempts::first_id(ask.request);
        sse::replace_id(&mut body, &begun.id, &first);
    }
    Ok(body.freeze())
}

fn pass_on(ask: &Ask, status: u16, body: Bytes) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    HttpResponse::build(status)
        .header("daisyquay-request-id", ask.request.to_string())
        .header("daisyquay-ran", Ran::Unknown.as_str())
        .content_type("application/json")
        .body(body)
}

fn answered(ask: &Ask, selected: &Selected, version: &VersionName, body: Bytes) -> HttpResponse {
    let mut builder = HttpResponse::Ok();
    builder
        .header("daisyquay-request-id", ask.request.to_string())
        .header("daisyquay-version", version.to_string())
        .content_type("application/json");
    if let Some(moved) = &selected.moved_from {
        builder.header("daisyquay-session-moved-from", moved.to_string());
    }
    builder.body(body)
}

/// Counts a served request.
pub(super) fn count(worker: &Worker, ask: &Ask, version: &VersionName, first: Duration) {
    let version = version.to_string();
    let labels = [
        ("organisation", &*ask.organisation.name),
        ("version", version.as_str()),
    ];
    let metrics = &worker.shared.metrics;
    metrics.add_to_counter("daisyquay_requests", 1, &labels);
    metrics.record_duration(
        "daisyquay_first_token_seconds",
        first.as_secs_f64(),
        &labels,
    );
}
