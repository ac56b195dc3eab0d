//! The entry's HTTP handlers.

use std::time::Duration;

use ntex::http::HeaderMap;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use ntex::web::types::State;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::Refusal;
use super::Worker;
use crate::api::AddressAnswer;
use crate::api::AddressRow;
use crate::api::ModelList;
use crate::api::ModelRow;
use crate::collections::Name;
use crate::config::Organisation;
use crate::listen;
use crate::listen::BodyError;
use crate::log::event;
use crate::peer::Reply;
use crate::peer::Request;
use crate::peer::UpstreamLoad;
use crate::relay;
use crate::state::RequestId;
use crate::upstream::AnnounceOutcome;
use crate::upstream::Announcement;
use crate::upstream::LoadLevel;
use crate::upstream::LoadReport;
use crate::upstream::Presence;

/// Longest wait for the leader to accept an announcement or a leave.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Weight of each entry in the address response: all are equal.
const ADDRESS_WEIGHT: u32 = 1;

type HandlerResult = Result<HttpResponse, Refusal>;

/// Returns the response of a handler; counts and logs a refusal.
fn into_response(worker: &Worker, request_id: RequestId, outcome: HandlerResult) -> HttpResponse {
    match outcome {
        Ok(response) => response,
        Err(refusal) => {
            let metrics = &worker.shared.metrics;
            metrics.add_to_counter("daisyquay_refusals", 1, &[("reason", refusal.code)]);
            event!(
                Info,
                "refused",
                request = request_id,
                code = refusal.code,
                ran = refusal.ran.as_str()
            );
            refusal.response(request_id)
        }
    }
}

fn new_request_id() -> RequestId {
    RequestId(fastrand::u128(..))
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

/// Returns the organisation whose API key the request carries.
fn authenticate(worker: &Worker, headers: &HeaderMap) -> Result<Organisation, Refusal> {
    let view = worker.shared.view();
    bearer_token(headers)
        .and_then(|key| view.config.inventory.organisation_by_key(key))
        .cloned()
        .ok_or_else(Refusal::unknown_key)
}

async fn read_body(req: &HttpRequest, payload: Payload, worker: &Worker) -> Result<Bytes, Refusal> {
    let limit = worker.shared.cfg.body_limit;
    let body = listen::read_body(payload.into_inner(), limit, listen::BODY_TIMEOUT);
    let body = listen::unless_endless(req.io(), body).await;
    let body = body.unwrap_or(Err(BodyError::TooLarge));
    body.map(Bytes::from).map_err(|e| match e {
        BodyError::Incomplete => Refusal::bad(
            "invalid_body",
            "the body is incomplete; send the request again",
        ),
        BodyError::TooLarge => {
            let message = format!("the body is larger than {limit} bytes; send a smaller one");
            Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
        }
        BodyError::Late => Refusal::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_late",
            "the body was not complete in time; send the request again",
        ),
    })
}

async fn discard_body(req: &HttpRequest, payload: Payload) {
    listen::unless_endless(req.io(), listen::discard_body(payload.into_inner())).await;
}

/// Authenticates the caller and reads the body.
async fn read_authenticated(
    req: &HttpRequest,
    payload: Payload,
    worker: &Worker,
) -> Result<(Organisation, Bytes), Refusal> {
    match authenticate(worker, req.headers()) {
        Ok(organisation) => Ok((organisation, read_body(req, payload, worker).await?)),
        Err(refusal) => {
            discard_body(req, payload).await;
            Err(refusal)
        }
    }
}

/// Returns the refusal of a request that came after the last cached address response had expired.
pub(super) fn refuse_leaving(worker: &Worker) -> HttpResponse {
    let message = "this entry is shutting down; retry the request at another address";
    let refusal = Refusal::unavailable("leaving", message);
    into_response(worker, new_request_id(), Err(refusal))
}

pub(super) async fn chat(
    req: HttpRequest,
    payload: Payload,
    worker: State<Worker>,
) -> HttpResponse {
    let request_id = new_request_id();
    let outcome = async {
        let (organisation, body) = read_authenticated(&req, payload, &worker).await?;
        let now = worker.shared.now();
        let call = relay::ChatCall::parse(request_id, organisation, req.headers(), &body, now)?;
        relay::serve_chat(&worker, &call).await
    };
    let outcome = outcome.await;
    into_response(&worker, request_id, outcome)
}

pub(super) async fn app(req: HttpRequest, payload: Payload, worker: State<Worker>) -> HttpResponse {
    let request_id = new_request_id();
    let outcome = async {
        let headers = req.headers();
        let (organisation, body) = read_authenticated(&req, payload, &worker).await?;
        let service: Name = req.match_info().get("service").unwrap_or_default().into();
        let prefix = format!("/app/{service}");
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let path = path.strip_prefix(&prefix).unwrap_or("/");
        let slash = if path.starts_with('/') { "" } else { "/" };
        let method = http::Method::from_bytes(req.method().as_str().as_bytes())
            .map_err(|_| Refusal::bad("invalid_method", "the HTTP method is invalid"))?;
        let content_type = headers.get("content-type");
        let call = relay::AppCall {
            request_id,
            organisation,
            method,
            path: format!("{slash}{path}"),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(ToOwned::to_owned),
            body,
            idempotency_key: relay::text_header(headers, "idempotency-key")?,
            deadline: worker.shared.now() + relay::parse_deadline(headers)?,
            service,
        };
        relay::serve_app(&worker, call).await
    };
    let outcome = outcome.await;
    into_response(&worker, request_id, outcome)
}

pub(super) async fn models(req: HttpRequest, worker: State<Worker>) -> HttpResponse {
    let organisation = match authenticate(&worker, req.headers()) {
        Ok(organisation) => organisation,
        Err(refusal) => return into_response(&worker, new_request_id(), Err(refusal)),
    };
    let view = worker.shared.view();
    let row = |id: String| ModelRow {
        id,
        object: "model".to_owned(),
        created: 0,
        owned_by: "daisyquay".to_owned(),
    };
    let mut data = Vec::new();
    for model in &view.config.inventory.models {
        let usable: Vec<_> = view
            .config
            .inventory
            .versions()
            .map(|(name, _)| name)
            .filter(|name| name.model == model.name)
            .filter(|name| organisation.allows_version(name) && view.config.is_available(name))
            .collect();
        if !usable.is_empty() {
            data.push(row(model.name.to_string()));
        }
        data.extend(usable.into_iter().map(|name| row(name.to_string())));
    }
    HttpResponse::Ok().json(&ModelList {
        object: "list".to_owned(),
        data,
    })
}

pub(super) async fn address(worker: State<Worker>) -> HttpResponse {
    let shared = &worker.shared;
    if !shared.lease_is_live() {
        // The list of entries may be outdated: some may have stopped since the lease was lost.
        let message = "this entry has lost its lease and can't list the entries; ask another entry";
        let refusal = Refusal::unavailable("no_lease", message);
        return into_response(&worker, new_request_id(), Err(refusal));
    }
    let view = shared.view();
    let own = &shared.info;
    let mut entries: Vec<_> = view
        .entries
        .iter()
        .filter(|info| !(shared.is_leaving() && info.address == own.address))
        .collect();
    // Entries of the same data centre come first. Where it has none left, callers get the others.
    entries.sort_by_key(|info| info.data_centre != own.data_centre);
    let mut addresses: Vec<AddressRow> = entries
        .into_iter()
        .map(|info| AddressRow {
            address: info.address.to_string(),
            data_centre: info.data_centre.to_string(),
            weight: ADDRESS_WEIGHT,
        })
        .collect();
    if addresses.is_empty() {
        // Without any other entry, even a stopping one lists itself: callers need an address.
        addresses.push(AddressRow {
            address: own.address.to_string(),
            data_centre: own.data_centre.to_string(),
            weight: ADDRESS_WEIGHT,
        });
    }
    HttpResponse::Ok().json(&AddressAnswer {
        addresses,
        valid_for_s: shared.cfg.address_ttl.as_secs(),
    })
}

/// Reads a JSON body from an upstream after checking its key.
async fn read_upstream_body<T: DeserializeOwned>(
    req: &HttpRequest,
    payload: Payload,
    worker: &Worker,
) -> Result<T, Refusal> {
    let view = worker.shared.view();
    let known =
        bearer_token(req.headers()).is_some_and(|key| view.config.inventory.is_upstream_key(key));
    if !known {
        discard_body(req, payload).await;
        return Err(Refusal::unknown_key());
    }
    let body = read_body(req, payload, worker).await?;
    serde_json::from_slice(&body).map_err(|e| {
        let message = format!("the body is invalid: {e}");
        Refusal::bad("invalid_body", message)
    })
}

fn state_unreachable() -> Refusal {
    let message = "the state replicas can't be reached; retry the request";
    Refusal::unavailable("state_unreachable", message)
}

pub(super) async fn announce(
    req: HttpRequest,
    payload: Payload,
    worker: State<Worker>,
) -> HttpResponse {
    let outcome = async {
        let announcement: Announcement = read_upstream_body(&req, payload, &worker).await?;
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let reply = worker
            .shared
            .call_leader(Request::Announce(announcement), ANNOUNCE_TIMEOUT)
            .await;
        match reply {
            Some(Reply::Announce(AnnounceOutcome::Accepted)) => {
                event!(
                    Info,
                    "upstream_announced",
                    upstream = id,
                    incarnation = incarnation
                );
                Ok(HttpResponse::NoContent().finish())
            }
            Some(Reply::Announce(AnnounceOutcome::Stale)) => {
                let message = "this incarnation has left or a newer one is known; announce with a \
                               higher incarnation";
                let status = StatusCode::CONFLICT;
                Err(Refusal::new(status, "old_incarnation", message))
            }
            Some(Reply::Announce(AnnounceOutcome::Rejected(reason))) => {
                Err(Refusal::bad("invalid_announcement", &*reason))
            }
            _ => Err(state_unreachable()),
        }
    };
    let outcome = outcome.await;
    into_response(&worker, new_request_id(), outcome)
}

pub(super) async fn load(
    req: HttpRequest,
    payload: Payload,
    worker: State<Worker>,
) -> HttpResponse {
    let outcome = async {
        let report: LoadReport = read_upstream_body(&req, payload, &worker).await?;
        let view = worker.shared.view();
        let known = view.directory.get(&report.id).filter(|row| {
            row.presence == Presence::Live && row.announced.incarnation == report.incarnation
        });
        let Some(row) = known else {
            let message = "this incarnation is not announced; announce it first";
            let status = StatusCode::NOT_FOUND;
            return Err(Refusal::new(status, "not_announced", message));
        };
        let busy = report.running.saturating_add(report.waiting);
        let level = LoadLevel::from_counts(busy, row.announced.slots);
        worker.shared.record_load(UpstreamLoad {
            number: row.number,
            level: Some(level),
        });
        Ok(HttpResponse::NoContent().finish())
    };
    let outcome = outcome.await;
    into_response(&worker, new_request_id(), outcome)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaveReport {
    id: Name,
    incarnation: u64,
}

pub(super) async fn leave(
    req: HttpRequest,
    payload: Payload,
    worker: State<Worker>,
) -> HttpResponse {
    let outcome = async {
        let LeaveReport { id, incarnation } = read_upstream_body(&req, payload, &worker).await?;
        let request = Request::Leave {
            id: id.clone(),
            incarnation,
        };
        match worker.shared.call_leader(request, ANNOUNCE_TIMEOUT).await {
            Some(Reply::Done) => {
                event!(
                    Info,
                    "upstream_leaves",
                    upstream = id,
                    incarnation = incarnation
                );
                Ok(HttpResponse::NoContent().finish())
            }
            _ => Err(state_unreachable()),
        }
    };
    let outcome = outcome.await;
    into_response(&worker, new_request_id(), outcome)
}

pub(super) async fn not_found(
    req: HttpRequest,
    payload: Payload,
    worker: State<Worker>,
) -> HttpResponse {
    discard_body(&req, payload).await;
    let message = "this path does not exist; see the README for the API";
    let refusal = Refusal::new(StatusCode::NOT_FOUND, "unknown_path", message);
    into_response(&worker, new_request_id(), Err(refusal))
}
