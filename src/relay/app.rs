//! Calls of plain services. A call that must run at most once is sent only after its claim is
//! durable, and is never retried once it may have run.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;

use super::attempt::ActiveAttempt;
use super::attempt::Attempts;
use super::attempt::UpstreamRequest;
use super::body;
use super::claim::OpenClaim;
use super::eligible::Eligible;
use crate::collections::Name;
use crate::config::Organisation;
use crate::entry::Ran;
use crate::entry::Refusal;
use crate::entry::Worker;
use crate::entry::admission;
use crate::policy::admission::Priority;
use crate::policy::regions::PermittedRegions;
use crate::state::Claim;
use crate::state::RequestId;
use crate::state::Target;
use crate::state::command::Ending;

/// Largest response body of a service.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A call of a plain service.
pub(crate) struct AppCall {
    pub(crate) request_id: RequestId,
    pub(crate) organisation: Organisation,
    pub(crate) service: Name,
    pub(crate) method: http::Method,
    /// Path and query, relative to the service.
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) idempotency_key: Option<Name>,
    /// In the entry's monotonic clock.
    pub(crate) deadline: Duration,
}

/// Serves a call of a plain service.
///
/// # Errors
///
/// The call was refused, or no complete response came before its deadline.
pub(crate) async fn serve_app(worker: &Worker, call: AppCall) -> Result<HttpResponse, Refusal> {
    let shared = &worker.shared;
    if !shared.lease_is_live() {
        let message =
            "this entry has lost its lease and may not route requests; use another address";
        return Err(Refusal::unavailable("no_lease", message));
    }
    let view = shared.view();
    let Some(service) = view.config.inventory.service(&call.service) else {
        let message = format!("service `{}` does not exist; check the path", call.service);
        return Err(Refusal::new(
            StatusCode::NOT_FOUND,
            "service_not_found",
            message,
        ));
    };
    if !call.organisation.allows_service(&call.service) {
        return Err(super::select::not_allowed(&call.service));
    }
    let path_only = call.path.split('?').next().unwrap_or_default();
    let at_most_once = service.runs_at_most_once(call.method.as_str(), path_only);
    let target = Target::Service(call.service.clone());
    let eligible = Eligible::new(worker, &view, &call.organisation);
    if eligible.is_barred(&target) {
        return Err(eligible.refusal(&target));
    }
    let queue_ms = view.config.inventory.rules.queue_ms;
    let queue_deadline = (shared.now() + Duration::from_millis(queue_ms)).min(call.deadline);
    let slot_request = admission::AdmissionRequest {
        target: target.clone(),
        organisation: call.organisation.name.clone(),
        weight: call.organisation.weight,
        priority: Priority::Interactive,
        queue_deadline,
    };
    let _slot = admission::acquire_slot(shared, slot_request, worker.draw()).await?;
    let upstream_request = UpstreamRequest {
        request_id: call.request_id,
        organisation: call.organisation.name.clone(),
        regions: PermittedRegions::new(&[], &call.organisation.regions),
        target: target.clone(),
        method: call.method,
        path: call.path,
        content_type: call.content_type,
        body: call.body,
        affinity_hash: None,
        deadline: call.deadline,
        at_most_once,
        head_timeout: Duration::MAX,
    };
    let mut attempts = Attempts::new(worker, &upstream_request);
    let upstream = attempts.choose_upstream()?;
    let record = Claim {
        request: call.request_id,
        organisation: call.organisation.name.clone(),
        target,
        upstream: upstream.id.clone(),
        entry: shared.entry_id,
        idempotency_key: call.idempotency_key,
        session: None,
        at_most_once,
    };
    let mut claim = OpenClaim::submit(shared, record, upstream_request.deadline);
    if at_most_once {
        claim.wait_durable().await?;
    }
    let mut active = match attempts.send(&mut claim, upstream, None).await {
        Ok(active) => active,
        Err(refusal) => {
            claim.settle(Ending::Failed);
            return Err(refusal);
        }
    };
    let response = loop {
        claim.time_to_first_token = active.in_flight.elapsed();
        match read_response(worker, &upstream_request, &mut active).await {
            Ok(body) => {
                active.in_flight.record_success();
                break Ok((active, body));
            }
            Err(reason) => match attempts.replace(&mut claim, active, reason).await {
                Ok(next) => active = next,
                Err(_) => break Err(reason),
            },
        }
    };
    claim.wait_durable().await?;
    match response {
        Ok((active, body)) => {
            claim.settle(Ending::Whole);
            worker.shared.metrics.add_to_counter(
                "daisyquay_app_requests",
                1,
                &[("service", &call.service)],
            );
            Ok(forward_response(call.request_id, &active, body))
        }
        Err(reason) => {
            claim.settle(Ending::Failed);
            let message = format!("the service's response is incomplete ({reason})");
            let refusal = Refusal::new(StatusCode::BAD_GATEWAY, "upstream_failed", message);
            Err(refusal.ran(Ran::Unknown))
        }
    }
}

/// Reads the whole response body.
///
/// # Errors
///
/// The body is incomplete, too large or late.
async fn read_response(
    worker: &Worker,
    upstream_request: &UpstreamRequest,
    active: &mut ActiveAttempt,
) -> Result<Bytes, &'static str> {
    let left = upstream_request
        .deadline
        .saturating_sub(worker.shared.now());
    let read = body::read_to_end(&mut *active.response.chunks, MAX_RESPONSE_BYTES);
    let read = tokio::time::timeout(left, read).await;
    let body = read.map_err(|_| "the deadline has passed")??;
    Ok(Bytes::from(body.into_vec()))
}

/// Passes on the service's response, whatever its status.
fn forward_response(request_id: RequestId, active: &ActiveAttempt, body: Bytes) -> HttpResponse {
    let status = StatusCode::from_u16(active.response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    builder.header("daisyquay-request-id", request_id.to_string());
    if let Some(content_type) = &active.response.content_type {
        builder.content_type(content_type.as_str());
    }
    if !status.is_success() {
        builder.header("daisyquay-ran", Ran::Yes.as_str());
    }
    builder.body(body)
}
