//! A caller's request, parsed into typed fields.

use std::cell::OnceCell;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use ntex::http::Request;

use super::Gateway;
use super::exchange::PassedOn;
use super::headers::HOP_BY_HOP;
use super::headers::HeaderNames;
use super::headers::PASSED_ON;
use super::refusal::Refusal;
use super::routing::RoutingTable;
use crate::collections::Name;
use crate::config::Organisation;
use crate::config::Route;
use crate::listen;
use crate::listen::BodyError;
use crate::policy::fingerprint::Fingerprints;
use crate::policy::placement::stable_hash;
use crate::policy::prompt::Prompt;
use crate::policy::regions::PermittedRegions;

/// Upper bound on the deadline that a caller may request: one day.
const MAX_DEADLINE: Duration = Duration::from_secs(86_400);

/// A caller's request, with the route and the organisation that it belongs to.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Id that the caller gave this attempt.
    pub(super) id: Name,
    pub(super) route: Arc<Route>,
    /// Organisation and its rank, 0 for the most urgent; `None` for an anonymous caller.
    pub(super) organisation: Option<(Name, u32)>,
    /// Regions in which the request may run.
    pub(super) regions: PermittedRegions,
    pub(super) method: Method,
    host: Name,
    /// Path and query, forwarded as received.
    pub(super) path_and_query: Name,
    /// Headers that are forwarded to any upstream.
    pub(super) headers: HeaderMap,
    /// The caller's key, for another gateway.
    pub(super) authorization: Option<HeaderValue>,
    /// Attempts that the forwarding gateway has made; `None` if the request comes from a caller.
    pub(super) passed_on: Option<PassedOn>,
    pub(super) body: Bytes,
    /// When the request head was received.
    pub(super) received_at: Duration,
    /// When the caller must have the final response.
    pub(super) deadline: Duration,
    /// Whether the gateway chooses the model.
    pub(super) gateway_chooses_model: bool,
    pub(super) prompt: Prompt,
    /// Session that the request belongs to, if any.
    pub(super) session: Option<Name>,
    fingerprints: OnceCell<Fingerprints>,
}

impl Call {
    /// Parses the head of a request; [`read_body`] reads the body.
    pub(super) fn read(gateway: &Gateway, req: &Request) -> Result<Self, Refusal> {
        let names = &gateway.cfg.header_names;
        let routing = gateway.routing();
        if !routing.has_routes() {
            return Err(Refusal::unavailable(
                "no_configuration",
                "this gateway has no configuration yet; retry later or at another gateway",
            ));
        }
        let received_at = gateway.now();
        let path_and_query = path_and_query(req);
        let path = path_and_query.split('?').next().unwrap_or_default();
        let host = header_text(req, &header::HOST).unwrap_or_default();
        let route = routing.route(host, path).cloned().ok_or_else(|| {
            unless_outdated(
                gateway,
                Refusal::new(
                    StatusCode::NOT_FOUND,
                    "no_route",
                    "no route matches this host and path; see `daisyquay show inventory`",
                ),
            )
        })?;
        let organisation = organisation(&routing, names, req, &route)
            .map_err(|refusal| unless_outdated(gateway, refusal))?;
        let id = header_text(req, &names.attempt_id).ok_or_else(|| {
            let message = format!(
                "the attempt id is missing; send a unique id in the header `{}`",
                names.attempt_id
            );
            Refusal::new(StatusCode::BAD_REQUEST, "no_attempt_id", message)
        })?;
        let requested = header_text(req, &names.deadline_ms)
            .and_then(|ms| ms.trim().parse().ok())
            .map_or(MAX_DEADLINE, Duration::from_millis)
            .min(MAX_DEADLINE);
        let method = Method::from_bytes(req.method().as_str().as_bytes()).map_err(|_| {
            Refusal::new(
                StatusCode::BAD_REQUEST,
                "method",
                "the HTTP method is invalid",
            )
        })?;
        let gateway_chooses_model =
            header_text(req, &names.model) == Some("*") && !route.ladder.is_empty();
        Ok(Self {
            id: id.into(),
            received_at,
            deadline: received_at + requested.min(route.timeout()),
            gateway_chooses_model,
            prompt: Prompt::parse(
                header_text(req, &names.prompt).unwrap_or_default(),
                header_text(req, &names.token_counts).unwrap_or_default(),
            ),
            session: header_text(req, &names.session).map(Into::into),
            authorization: req
                .headers()
                .get(header::AUTHORIZATION)
                .and_then(|value| HeaderValue::from_bytes(value.as_bytes()).ok()),
            passed_on: PassedOn::read(gateway, req),
            headers: forwarded_headers(names, req, gateway_chooses_model),
            regions: PermittedRegions::new(
                &route.regions,
                organisation.map_or(&[][..], |organisation| &organisation.regions),
            ),
            organisation: organisation
                .map(|organisation| (organisation.name.clone(), organisation.rank)),
            method,
            host: host.into(),
            path_and_query: path_and_query.into(),
            route,
            body: Bytes::new(),
            fingerprints: OnceCell::new(),
        })
    }

    /// Returns the id of the last event that the caller has received, if it resumes a stream.
    pub(super) fn last_event_id(&self, names: &HeaderNames) -> Option<u64> {
        let value = self.headers.get(&names.last_event_id)?;
        value.to_str().ok()?.trim().parse().ok()
    }

    /// Returns a hash of the session, or of the attempt id without one, that is the same at every
    /// gateway.
    pub(super) fn session_id(&self) -> u64 {
        stable_hash(self.session.as_ref().unwrap_or(&self.id))
    }

    /// Returns the call with its body.
    pub(super) fn with_body(self, body: Bytes) -> Self {
        Self { body, ..self }
    }

    /// Returns the request's fingerprints. The body must have been read.
    pub(super) fn fingerprints(&self) -> &Fingerprints {
        self.fingerprints.get_or_init(|| {
            Fingerprints::compute(
                self.organisation.as_ref().map(|(name, _)| &**name),
                self.method.as_str(),
                &self.host,
                &self.path_and_query,
                &self.body,
            )
        })
    }

    /// Returns in how many attempts the request may run here.
    pub(super) fn attempts(&self) -> u32 {
        let runs = self.passed_on.map_or(0, |passed_on| passed_on.runs);
        self.route.attempts.saturating_sub(runs).max(1)
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// Returns the refusal if the configuration is known to be the newest. A newer one might permit the
/// request, so the caller is told to retry otherwise.
fn unless_outdated(gateway: &Gateway, refusal: Refusal) -> Refusal {
    if !gateway.may_lag_behind() {
        return refusal;
    }
    Refusal::unavailable(
        "outdated_configuration",
        "this gateway may lack the newest configuration; retry later or at another gateway",
    )
}

fn path_and_query(req: &Request) -> &str {
    req.uri()
        .path_and_query()
        .map_or("/", |path_and_query| path_and_query.as_str())
}

/// Returns a header's value; `None` if it is missing or not text.
pub(super) fn header_text<'a>(req: &'a Request, name: &HeaderName) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn organisation<'a>(
    routing: &'a RoutingTable,
    names: &HeaderNames,
    req: &Request,
    route: &Route,
) -> Result<Option<&'a Organisation>, Refusal> {
    let key = header_text(req, &header::AUTHORIZATION)
        .and_then(|value| value.strip_prefix(names.auth_scheme))
        .map(str::trim);
    let found = key.and_then(|key| routing.organisation(key));
    match found {
        Some(organisation) => Ok(Some(organisation)),
        None if route.anonymous => Ok(None),
        None => {
            let message = format!(
                "missing or unknown key; send `Authorization: {} KEY` with a key in the inventory",
                names.auth_scheme
            );
            Err(Refusal::new(
                StatusCode::UNAUTHORIZED,
                "unknown_key",
                message,
            ))
        }
    }
}

/// Returns the headers to forward: all but hop-by-hop headers, `Content-Length`, `Expect`, the
/// caller's key, and headers that only the gateway may set.
fn forwarded_headers(names: &HeaderNames, req: &Request, gateway_chooses_model: bool) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(req.headers().len());
    let connection_options: Vec<&str> = req
        .headers()
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    for (name, value) in req.headers() {
        let is_dropped = HOP_BY_HOP.contains(&name.as_str())
            || *name == header::AUTHORIZATION
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT
            || *name == names.deadline_ms
            || *name == names.organisation
            || *name == names.upstream
            || *name == names.rank
            || *name == PASSED_ON
            || gateway_chooses_model && *name == names.model
            || names.reserved.contains(name)
            || connection_options
                .iter()
                .any(|option| option.eq_ignore_ascii_case(name.as_str()));
        if is_dropped {
            continue;
        }
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.append(name.clone(), value);
        }
    }
    headers
}

/// Reads the whole body of a request, up to the body limit, within the time that is left for it.
pub(super) async fn read_body(
    gateway: &Gateway,
    call: &Call,
    req: &mut Request,
) -> Result<Bytes, Refusal> {
    let limit = gateway.cfg.body_limit;
    let time_left = call.time_left(gateway.now());
    let body = listen::read_body(req.take_payload(), limit, time_left).await;
    body.map(Bytes::from).map_err(|e| match e {
        BodyError::Incomplete => Refusal::new(
            StatusCode::BAD_REQUEST,
            "broken_body",
            "the request body is incomplete; send the request again",
        ),
        BodyError::TooLarge => Refusal::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the request body exceeds {limit} bytes; send a smaller one"),
        ),
        BodyError::Late => Refusal::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_late",
            "the request body was not complete before the deadline; send the request again",
        ),
    })
}
