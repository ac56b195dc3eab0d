//! The entry's HTTP handlers: each reads its request, asks for the work, and answers.

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

/// Time in which the state must take an announcement or a leave.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(3);

/// Weight of an entry in the address answer.
const ADDRESS_WEIGHT: u32 = 1;

type Outcome = Result<HttpResponse, Refusal>;

fn finish(worker: &Worker, request: RequestId, outcome: Outcome) -> HttpResponse {
    match outcome {
        Ok(response) => response,
        Err(refusal) => {
            let metrics = &worker.shared.metrics;
            metrics.add_to_counter("daisyquay_refusals", 1, &[("reason", refusal.code)]);
            event!(
                Info,
                "refused",
                request = request,
                code = refusal.code,
                ran = refusal.ran.as_str()
            );
            refusal.response(request)
        }
    }
}

fn new_request() -> RequestId {
    RequestId(fastrand::u128(..))
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn organisation(worker: &Worker, headers: &HeaderMap) -> Result<Organisation, Refusal> {
    let view = worker.shared.view();
    bearer(headers)
        .and_then(|key| view.config.inventory.organisation_by_key(key))
        .cloned()
        .ok_or_else(Refusal::unknown_key)
}

async fn read_body(worker: &Worker, payload: Payload) -> Result<Bytes, Refusal> {
    let limit = worker.shared.cfg.body_limit;
    let body = listen::read_body(payload.into_inner(), limit).await;
    body.map(Bytes::from).map_err(|e| match e {
        BodyError::Incomplete => {
            Refusal::bad("invalid_body", "the body broke off; send the request again")
        }
        BodyError::TooLarge => {
            let message = format!("the body is over {limit} bytes; send less");
            Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
        }
    })
}

pub(super) async fn chat(
    req: HttpRequest,
    payload: Payload,
    worker: State<Worker>,
) -> HttpResponse {
    let request = new_request();
    let outcome = async {
        let organisation = organisation(&worker, req.headers())?;
        let body = read_body(&worker, payload).await?;
        let now = worker.shared.now();
        let ask = relay::Ask::read(request, organisation, req.headers(), &body, now)?;
        relay::chat(&worker, &ask).await
    };
    let outcome = outcome.await;
    finish(&worker, request, outcome)
}

pub(super) async fn app(req: HttpRequest, payload: Payload, worker: State<Worker>) -> HttpResponse {
    let request = new_request();
    let outcome = async {
        let headers = req.headers();
        let organisation = organisation(&worker, headers)?;
        let body = read_body(&worker, payload).await?;
        let service: Name = req.match_info().get("service").unwrap_or_default().into();
        let prefix = format!("/app/{service}");
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let path = path.strip_prefix(&prefix).unwrap_or("/");
        let slash = if path.starts_with('/') { "" } else { "/" };
        let method = http::Method::from_bytes(req.method().as_str().as_bytes())
            .map_err(|_| Refusal::bad("invalid_method", "the method is unknown"))?;
        let content_type = headers.get("content-type");
        let call = relay::AppCall {
            request,
            organisation,
            method,
            path: format!("{slash}{path}"),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(ToOwned::to_owned),
            body,
            key: relay::header(headers, "idempotency-key")?,
            deadline: worker.shared.now() + relay::deadline(headers)?,
            service,
        };
        relay::call_app(&worker, call).await
    };
    let outcome = outcome.await;
    finish(&worker, request, outcome)
}

pub(super) async fn models(req: HttpRequest, worker: State<Worker>) -> HttpResponse {
    let organisation = match organisation(&worker, req.headers()) {
        Ok(organisation) => organisation,
        Err(refusal) => return finish(&worker, new_request(), Err(refusal)),
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
        // What it knows of the others may be old: they may have stopped since.
        let message = "this entry has lost its lease and can't say who is there; ask another";
        let refusal = Refusal::unavailable("no_lease", message);
        return finish(&worker, new_request(), Err(refusal));
    }
    let view = shared.view();
    let own = &shared.info;
    let mut entries: Vec<_> = view
        .entries
        .iter()
        .filter(|info| !(shared.is_leaving() && info.address == own.address))
        .collect();
    // Near ones first; where a data centre has none left, callers still get the others.
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
        // The last entry answers for itself: a caller without any address is worse off.
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

async fn read_upstream<T: DeserializeOwned>(
    req: &HttpRequest,
    payload: Payload,
    worker: &Worker,
) -> Result<T, Refusal> {
    let view = worker.shared.view();
    let known = bearer(req.headers()).is_some_and(|key| view.config.inventory.is_upstream_key(key));
    if !known {
        return Err(Refusal::unknown_key());
    }
    let body = read_body(worker, payload).await?;
    serde_json::from_slice(&body).map_err(|e| {
        let message = format!("the body can't be read: {e}");
        Refusal::bad("invalid_body", message)
    })
}

fn state_unreachable() -> Refusal {
    let message = "the state can't be reached; ask again";
    Refusal::unavailable("state_unreachable", message)
}

pub(super) async fn announce(
    req: HttpRequest,
    payload: Payload,
    worker: State<Worker>,
) -> HttpResponse {
    let outcome = async {
        let announcement: Announcement = read_upstream(&req, payload, &worker).await?;
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let reply = worker
            .shared
            .ask(Request::Announce(announcement), ANNOUNCE_LIMIT)
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
    finish(&worker, new_request(), outcome)
}

pub(super) async fn load(
    req: HttpRequest,
    payload: Payload,
    worker: State<Worker>,
) -> HttpResponse {
    let outcome = async {
        let report: LoadReport = read_upstream(&req, payload, &worker).await?;
        let view = worker.shared.view();
        let known = view.directory.get(&report.id).filter(|row| {
            row.presence == Presence::Live && row.announced.incarnation == report.incarnation
        });
        let Some(row) = known else {
            let message = "this incarnation is not announced; announce first";
            let status = StatusCode::NOT_FOUND;
            return Err(Refusal::new(status, "not_announced", message));
        };
        let busy = report.running.saturating_add(report.waiting);
        let level = LoadLevel::from_counts(busy, row.announced.slots);
        worker.shared.note_load(UpstreamLoad {
            number: row.number,
            level: Some(level),
        });
        Ok(HttpResponse::NoContent().finish())
    };
    let outcome = outcome.await;
    finish(&worker, new_request(), outcome)
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
        let LeaveReport { id, incarnation } = read_upstream(&req, payload, &worker).await?;
        let request = Request::Leave {
            id: id.clone(),
            incarnation,
        };
        match worker.shared.ask(request, ANNOUNCE_LIMIT).await {
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
    finish(&worker, new_request(), outcome)
}

pub(super) async fn unknown(worker: State<Worker>) -> HttpResponse {
    let message = "no such path; see the README for the interface";
    let refusal = Refusal::new(StatusCode::NOT_FOUND, "unknown_path", message);
    finish(&worker, new_request(), Err(refusal))
}
