//! Calls of plain services. A call that may not be repeated is claimed before it is sent, and sent
//! once.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::util::BytesMut;
use ntex::web::HttpResponse;

use super::attempt::Attempts;
use super::attempt::Begun;
use super::attempt::Dispatch;
use super::claim::OpenClaim;
use crate::collections::Name;
use crate::config::Organisation;
use crate::entry::Ran;
use crate::entry::Refusal;
use crate::entry::Worker;
use crate::entry::admit;
use crate::policy::admission::Priority;
use crate::state::Claim;
use crate::state::RequestId;
use crate::state::Target;
use crate::state::command::Ending;

/// Most bytes of a service's answer.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// A call of a plain service.
pub(crate) struct AppCall {
    pub(crate) request: RequestId,
    pub(crate) organisation: Organisation,
    pub(crate) service: Name,
    pub(crate) method: http::Method,
    /// Path and query below the service.
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) key: Option<Name>,
    pub(crate) deadline: Duration,
}

/// Serves a call.
pub(crate) async fn call(worker: &Worker, call: AppCall) -> Result<HttpResponse, Refusal> {
    let shared = &worker.shared;
    if !shared.lease_is_live() {
        let message = "this entry has lost its lease and may not route; try another address";
        return Err(Refusal::unavailable("no_lease", message));
    }
    let view = shared.view();
    let Some(service) = view.config.inventory.service(&call.service) else {
        let message = format!("there is no service `{}`; check the path", call.service);
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
    let queue_ms = view.config.inventory.rules.queue_ms;
    let until = (shared.now() + Duration::from_millis(queue_ms)).min(call.deadline);
    let request = admit::Admit {
        target: target.clone(),
        organisation: call.organisation.name.clone(),
        weight: call.organisation.weight,
        priority: Priority::Interactive,
        until,
    };
    let _slot = admit::admit(shared, request, worker.draw()).await?;
    let dispatch = Dispatch {
        request: call.request,
        organisation: call.organisation.name.clone(),
        target: target.clone(),
        method: call.method,
        path: call.path,
        content_type: call.content_type,
        body: call.body,
        affinity: None,
        deadline: call.deadline,
        at_most_once,
        head_limit: Duration::MAX,
    };
    let mut attempts = Attempts::new(worker, &dispatch);
    let upstream = attempts.choose()?;
    let claim = Claim {
        request: call.request,
        organisation: call.organisation.name.clone(),
        target,
        upstream: upstream.id.clone(),
        entry: shared.entry,
        idempotency_key: call.key,
        session: None,
        at_most_once,
    };
    let mut open = OpenClaim::open(shared, claim, dispatch.deadline);
    if at_most_once {
        open.verdict().await?;
    }
    let mut begun = match attempts.begin(&mut open, upstream, None).await {
        Ok(begun) => begun,
        Err(refusal) => {
            open.settle(Ending::Failed);
            return Err(refusal);
        }
    };
    open.first = begun.in_flight.succeeded();
    let body = collect(worker, &dispatch, &mut begun).await;
    open.verdict().await?;
    match body {
        Ok(body) => {
            open.settle(Ending::Whole);
            worker.shared.metrics.add_to_counter(
                "daisyquay_app_requests",
                1,
                &[("service", &call.service)],
            );
            Ok(answered(call.request, &begun, body))
        }
        Err(reason) => {
            open.settle(Ending::Failed);
            let message = format!("the service's answer is not whole ({reason})");
            let refusal = Refusal::new(StatusCode::BAD_GATEWAY, "upstream_failed", message);
            Err(refusal.ran(Ran::Unknown))
        }
    }
}

async fn collect(
    worker: &Worker,
    dispatch: &Dispatch,
    begun: &mut Begun,
) -> Result<Bytes, &'static str> {
    let left = dispatch.deadline.saturating_sub(worker.shared.now());
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = begun.answer.chunks.next().await {
            let chunk = chunk.map_err(|_| "it broke off")?;
            if body.len() + chunk.len() > ANSWER_LIMIT {
                return Err("it is too long");
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    tokio::time::timeout(left, read)
        .await
        .map_err(|_| "the deadline has passed")?
}

fn answered(request: RequestId, begun: &Begun, body: Bytes) -> HttpResponse {
    let status = StatusCode::from_u16(begun.answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    builder.header("daisyquay-request-id", request.to_string());
    if let Some(content_type) = &begun.answer.content_type {
        builder.content_type(content_type.as_str());
    }
    if !status.is_success() {
        builder.header("daisyquay-ran", Ran::Yes.as_str());
    }
    builder.body(body)
}
