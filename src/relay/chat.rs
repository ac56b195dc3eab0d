//! Serves a chat request, from admission to settlement.

use std::hash::BuildHasher;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde_json::Value;

use super::attempt::ActiveAttempt;
use super::attempt::Attempts;
use super::attempt::UpstreamRequest;
use super::body;
use super::claim::Decision;
use super::claim::OpenClaim;
use super::rating;
use super::request::ChatCall;
use super::select::Selection;
use super::select::select;
use super::sse;
use super::stream;
use crate::config::VersionName;
use crate::engine::Response;
use crate::entry::Ran;
use crate::entry::Refusal;
use crate::entry::Slot;
use crate::entry::Worker;
use crate::entry::admission;
use crate::policy::plan::Plan;
use crate::policy::regions::PermittedRegions;
use crate::state::Target;
use crate::state::command::Ending;

/// Largest response body that is not streamed.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Longest wait for the response head of a stream; after it, another upstream is tried.
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Path of chat completions on an engine.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Serves a chat request. If the selected version has spent its exposure budget, selects once more
/// without proposing a version in rollout.
///
/// # Errors
///
/// The request was refused, or no upstream returned a complete response.
pub(crate) async fn serve_chat(worker: &Worker, call: &ChatCall) -> Result<HttpResponse, Refusal> {
    let selection = select(worker, call, false).await?;
    match run_plan(worker, call, &selection).await {
        Err(ServeError::OverBudget) => {
            let selection = select(worker, call, true).await?;
            run_plan(worker, call, &selection)
                .await
                .map_err(ServeError::into_refusal)
        }
        other => other.map_err(ServeError::into_refusal),
    }
}

/// Why a selected plan did not complete.
enum ServeError {
    Refused(Refusal),
    OverBudget,
}

impl From<Refusal> for ServeError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl ServeError {
    fn into_refusal(self) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            Self::OverBudget => {
                let message =
                    "the session's version has spent its exposure budget; retry the request";
                Refusal::unavailable("over_budget", message)
            }
        }
    }
}

/// A request with a slot and a claim on `version`.
pub(super) struct ClaimedRun {
    /// Occupied until the request has ended.
    pub(super) _slot: Slot,
    pub(super) claim: OpenClaim,
    pub(super) version: VersionName,
}

/// Serves the request by `selection`.
async fn run_plan(
    worker: &Worker,
    call: &ChatCall,
    selection: &Selection,
) -> Result<HttpResponse, ServeError> {
    let version = selection.plan.first().clone();
    let upstream_request = upstream_request(call, &version);
    let slot = acquire_slot(worker, call, &version).await?;
    let mut attempts = Attempts::new(worker, &upstream_request);
    let upstream = attempts.choose_upstream()?;
    let shared = &worker.shared;
    let mut claim = OpenClaim::submit_for_chat(shared, call, &version, upstream.id.clone());
    // The claim usually becomes durable while the request is already at the upstream. The caller
    // gets no part of the response before the claim is durable. Where the ledger may refuse the
    // claim for good, the request is sent only after it is durable.
    if selection.is_rollout || call.idempotency_key.is_some() {
        require_claim(&mut claim).await?;
    }
    let active = attempts.send(&mut claim, upstream, None).await;
    let active = match active {
        Ok(active) => active,
        Err(refusal) => {
            claim.settle(Ending::Failed);
            return Err(refusal.into());
        }
    };
    require_claim(&mut claim).await?;
    let run = ClaimedRun {
        _slot: slot,
        claim,
        version,
    };
    if call.is_streaming && active.response.status == 200 {
        return Ok(stream::respond(
            worker,
            call,
            selection,
            upstream_request.clone(),
            run,
            active,
        ));
    }
    respond_unstreamed(worker, call, selection, attempts, run, active).await
}

/// Waits until the claim is durable, and fails unless the request may run.
async fn require_claim(claim: &mut OpenClaim) -> Result<(), ServeError> {
    match claim.wait_durable().await? {
        Decision::Run => Ok(()),
        Decision::OverBudget => Err(ServeError::OverBudget),
    }
}

async fn acquire_slot(
    worker: &Worker,
    call: &ChatCall,
    version: &VersionName,
) -> Result<Slot, Refusal> {
    let shared = &worker.shared;
    let queue_ms = shared.view().config.inventory.rules.queue_ms;
    let queue_deadline = (shared.now() + Duration::from_millis(queue_ms)).min(call.deadline);
    let slot_request = admission::AdmissionRequest {
        target: Target::Version(version.clone()),
        organisation: call.organisation.name.clone(),
        weight: call.organisation.weight,
        priority: call.priority,
        queue_deadline,
    };
    admission::acquire_slot(shared, slot_request, worker.draw()).await
}

/// Builds the request to the engine: the caller's body with the version's name as the model and,
/// for a stream, with the usage requested.
fn upstream_request(call: &ChatCall, version: &VersionName) -> UpstreamRequest {
    let mut body = call.body.clone();
    body.insert("model".to_owned(), Value::String(version.to_string()));
    if call.is_streaming {
        let options = serde_json::json!({ "include_usage": true });
        body.insert("stream_options".to_owned(), options);
    }
    let head_timeout = if call.is_streaming {
        STREAM_HEAD_TIMEOUT
    } else {
        Duration::MAX
    };
    UpstreamRequest {
        request_id: call.request_id,
        organisation: call.organisation.name.clone(),
        regions: PermittedRegions::new(&[], &call.organisation.regions),
        target: Target::Version(version.clone()),
        method: http::Method::POST,
        path: CHAT_PATH.to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::from(Value::Object(body).to_string()),
        affinity_hash: affinity_hash(call),
        deadline: call.deadline,
        at_most_once: false,
        head_timeout,
    }
}

/// Hashes the session, or else the system message: requests that share one share a prompt prefix
/// that the engine may have cached.
fn affinity_hash(call: &ChatCall) -> Option<u64> {
    let hasher = foldhash::fast::FixedState::default();
    if let Some(session) = &call.session {
        return Some(hasher.hash_one((&call.organisation.name, session)));
    }
    let first_message = call.body.get("messages")?.get(0)?;
    let is_system = first_message.get("role").and_then(Value::as_str) == Some("system");
    is_system.then(|| hasher.hash_one(first_message.to_string()))
}

/// Reads the whole response, retrying on other upstreams, and responds with it.
async fn respond_unstreamed(
    worker: &Worker,
    call: &ChatCall,
    selection: &Selection,
    mut attempts: Attempts<'_>,
    mut run: ClaimedRun,
    mut active: ActiveAttempt,
) -> Result<HttpResponse, ServeError> {
    let body = loop {
        match read_response(worker, call, &mut active).await {
            Ok(body) => break body,
            Err(reason) => match attempts.replace(&mut run.claim, active, reason).await {
                Ok(next) => active = next,
                Err(refusal) => {
                    run.claim.settle(Ending::Failed);
                    return Err(refusal.into());
                }
            },
        }
    };
    run.claim.time_to_first_token = active.in_flight.record_success();
    let status = active.response.status;
    if status != 200 {
        run.claim.settle(Ending::Failed);
        return Ok(forward_error(call, status, body));
    }
    let Ok(response) = serde_json::from_slice::<Value>(&body) else {
        run.claim.settle(Ending::Failed);
        let message = "the upstream's response is not JSON; retry the request";
        let refusal = Refusal::unavailable("upstream_failed", message);
        return Err(refusal.ran(Ran::Unknown).into());
    };
    if let Some(usage) = sse::parse_usage(&response) {
        run.claim.tokens_in = usage.prompt_tokens;
        run.claim.tokens_out = usage.completion_tokens;
    }
    if let Plan::Cascade {
        fallback,
        min_score,
        ..
    } = &selection.plan
    {
        return Box::pin(finish_cascade(
            worker, call, selection, run, body, &response, fallback, *min_score,
        ))
        .await;
    }
    let text = rating::should_rate(worker, selection).then(|| rating::response_text(&response));
    let ClaimedRun { claim, version, .. } = run;
    let time_to_first_token = claim.time_to_first_token;
    claim.settle(Ending::Whole);
    if let Some(text) = text {
        let (worker, call, version) = (worker.clone(), call.clone(), version.clone());
        tokio::task::spawn_local(async move {
            rating::rate(&worker, &call, &version, text).await;
        });
    }
    record_served(worker, call, &version, time_to_first_token);
    Ok(success_response(call, selection, &version, body))
}

/// Completes a cascade: rates the first response and, if its score is below `min_score`, serves the
/// request again on version `fallback`.
#[expect(
    clippy::too_many_arguments,
    reason = "together they are the state of one request"
)]
async fn finish_cascade(
    worker: &Worker,
    call: &ChatCall,
    selection: &Selection,
    run: ClaimedRun,
    body: Bytes,
    response: &Value,
    fallback: &VersionName,
    min_score: f64,
) -> Result<HttpResponse, ServeError> {
    let ClaimedRun {
        mut claim, version, ..
    } = run;
    let score = rating::rate(worker, call, &version, rating::response_text(response)).await;
    // Without a score, nothing shows that the cheap response is good enough.
    if score.is_some_and(|score| f64::from(score) >= min_score) {
        let time_to_first_token = claim.time_to_first_token;
        claim.settle(Ending::Whole);
        record_served(worker, call, &version, time_to_first_token);
        return Ok(success_response(call, selection, &version, body));
    }
    worker
        .shared
        .metrics
        .add_to_counter("daisyquay_escalations", 1, &[]);
    let slot = match acquire_slot(worker, call, fallback).await {
        Ok(slot) => slot,
        Err(_) => {
            // The better version has no slot: the cheap response is better than none.
            claim.settle(Ending::Whole);
            return Ok(success_response(call, selection, &version, body));
        }
    };
    claim.start_next_step(version, fallback.clone());
    let upstream_request = upstream_request(call, fallback);
    let mut attempts = Attempts::new(worker, &upstream_request);
    let upstream = attempts.choose_upstream()?;
    let active = attempts.send(&mut claim, upstream, None).await?;
    let direct = Selection {
        plan: Plan::Direct(fallback.clone()),
        is_rollout: false,
        is_exploring: false,
        moved_from: None,
    };
    let run = ClaimedRun {
        _slot: slot,
        claim,
        version: fallback.clone(),
    };
    respond_unstreamed(worker, call, &direct, attempts, run, active).await
}

/// Reads a response that is not streamed and checks that it belongs to this attempt.
async fn read_response(
    worker: &Worker,
    call: &ChatCall,
    active: &mut ActiveAttempt,
) -> Result<Bytes, &'static str> {
    let Response { status, chunks, .. } = &mut active.response;
    let left = call.deadline.saturating_sub(worker.shared.now());
    let read = body::read_to_end(&mut **chunks, MAX_RESPONSE_BYTES);
    let read = tokio::time::timeout(left, read).await;
    let mut body = read.map_err(|_| "the deadline has passed")??.into_vec();
    if *status == 200 {
        if memchr::memmem::find(&body, active.id.as_bytes()).is_none() {
            return Err("the response belongs to another request");
        }
        let first_id = Attempts::first_attempt_id(call.request_id);
        sse::replace_id(&mut body, &active.id, &first_id);
    }
    Ok(Bytes::from(body))
}

/// Passes on an error response of the engine.
fn forward_error(call: &ChatCall, status: u16, body: Bytes) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    HttpResponse::build(status)
        .header("daisyquay-request-id", call.request_id.to_string())
        .header("daisyquay-ran", Ran::Unknown.as_str())
        .content_type("application/json")
        .body(body)
}

fn success_response(
    call: &ChatCall,
    selection: &Selection,
    version: &VersionName,
    body: Bytes,
) -> HttpResponse {
    let mut builder = HttpResponse::Ok();
    builder
        .header("daisyquay-request-id", call.request_id.to_string())
        .header("daisyquay-version", version.to_string())
        .content_type("application/json");
    if let Some(moved_from) = &selection.moved_from {
        builder.header("daisyquay-session-moved-from", moved_from.to_string());
    }
    builder.body(body)
}

/// Records a served request in the metrics.
pub(super) fn record_served(
    worker: &Worker,
    call: &ChatCall,
    version: &VersionName,
    time_to_first_token: Duration,
) {
    let version = version.to_string();
    let labels = [
        ("organisation", &*call.organisation.name),
        ("version", version.as_str()),
    ];
    let metrics = &worker.shared.metrics;
    metrics.add_to_counter("daisyquay_requests", 1, &labels);
    metrics.record_duration(
        "daisyquay_first_token_seconds",
        time_to_first_token.as_secs_f64(),
        &labels,
    );
}
