//! A caller's request, read once into typed fields.

use std::rc::Rc;
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
use super::headers::HOP_BY_HOP;
use super::headers::HeaderNames;
use super::picture::Picture;
use super::refusal::Refusal;
use crate::collections::Name;
use crate::config::Route;
use crate::listen;
use crate::listen::BodyError;
use crate::policy::placement::stable_hash;
use crate::policy::prompt::Prompt;

/// Longest time that a caller may ask us to wait: a day.
const DEADLINE_LIMIT: Duration = Duration::from_secs(86_400);

/// A caller's request.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The caller's id of this attempt.
    pub(super) id: Name,
    pub(super) route: Arc<Route>,
    /// The organisation and its rank; `None` for a caller without a key.
    pub(super) organisation: Option<(Name, u32)>,
    pub(super) method: Method,
    /// Path and query, as the caller wrote them.
    pub(super) target: Name,
    /// Headers that go on to the upstream whichever it is.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Moment at which its head was read.
    pub(super) at: Duration,
    /// Moment at which the caller must have its final answer.
    pub(super) until: Duration,
    /// Whether the gateway chooses the model.
    pub(super) any_model: bool,
    pub(super) prompt: Prompt,
    /// Session that the request belongs to, if any.
    pub(super) session: Option<Name>,
}

impl Call {
    /// Reads the head of a request; the body follows with [`read_body`].
    pub(super) fn read(gateway: &Gateway, req: &Request) -> Result<Self, Refusal> {
        let names = &gateway.cfg.header_names;
        let picture = gateway.picture();
        if picture.config.is_none() {
            return Err(Refusal::unavailable(
                "no_configuration",
                "this entry has no configuration yet; ask another or come back",
            ));
        }
        let at = gateway.now();
        let target = target(req);
        let path = target.split('?').next().unwrap_or_default();
        let host = text(req, &header::HOST).unwrap_or_default();
        let route = picture.route(host, path).cloned().ok_or_else(|| {
            Refusal::refused(
                StatusCode::NOT_FOUND,
                "no_route",
                "no route has this host and path; see `daisyquay show inventory`",
            )
        })?;
        let organisation = organisation(&picture, names, req, &route)?;
        let id = text(req, &names.attempt_id).ok_or_else(|| {
            let message = format!("send an id of this attempt in `{}`", names.attempt_id);
            Refusal::refused(StatusCode::BAD_REQUEST, "no_attempt_id", message)
        })?;
        let asked = text(req, &names.deadline_ms)
            .and_then(|ms| ms.trim().parse().ok())
            .map_or(DEADLINE_LIMIT, Duration::from_millis)
            .min(DEADLINE_LIMIT);
        let method = Method::from_bytes(req.method().as_str().as_bytes()).map_err(|_| {
            Refusal::refused(StatusCode::BAD_REQUEST, "method", "the method is unknown")
        })?;
        let any_model = text(req, &names.model) == Some("*") && !route.ladder.is_empty();
        Ok(Self {
            id: id.into(),
            at,
            until: at + asked.min(route.timeout()),
            any_model,
            prompt: Prompt::parse(
                text(req, &names.prompt).unwrap_or_default(),
                text(req, &names.token_counts).unwrap_or_default(),
            ),
            session: text(req, &names.session).map(Into::into),
            headers: forwarded(names, req, any_model),
            organisation,
            method,
            target: target.into(),
            route,
            body: Bytes::new(),
        })
    }

    /// Event after which the caller wants its stream to go on.
    pub(super) fn resume_after(&self, names: &HeaderNames) -> Option<u64> {
        let value = self.headers.get(&names.last_event_id)?;
        value.to_str().ok()?.trim().parse().ok()
    }

    /// Identity of the session, or of the request where there is none, the same at every gateway.
    pub(super) fn session_id(&self) -> u64 {
        stable_hash(self.session.as_ref().unwrap_or(&self.id))
    }

    /// Time left until the caller must have its final answer.
    pub(super) fn left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }
}

fn target(req: &Request) -> &str {
    req.uri()
        .path_and_query()
        .map_or("/", |target| target.as_str())
}

fn text<'a>(req: &'a Request, name: &HeaderName) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn organisation(
    picture: &Picture,
    names: &HeaderNames,
    req: &Request,
    route: &Route,
) -> Result<Option<(Name, u32)>, Refusal> {
    let key = text(req, &header::AUTHORIZATION)
        .and_then(|value| value.strip_prefix(names.auth_scheme))
        .map(str::trim);
    let found = key.and_then(|key| picture.organisation(key));
    match found {
        Some(organisation) => Ok(Some((organisation.name.clone(), organisation.rank))),
        None if route.anonymous => Ok(None),
        None => {
            let message = format!(
                "the key is unknown; send `Authorization: {} KEY` with a key of the inventory",
                names.auth_scheme
            );
            Err(Refusal::refused(
                StatusCode::UNAUTHORIZED,
                "unknown_key",
                message,
            ))
        }
    }
}

/// Headers that go on: neither those of this connection, nor the key, nor what the gateway sets.
fn forwarded(names: &HeaderNames, req: &Request, any_model: bool) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(req.headers().len());
    let listed = text(req, &header::CONNECTION).unwrap_or_default();
    for (name, value) in req.headers() {
        let dropped = HOP_BY_HOP.contains(&name.as_str())
            || *name == header::AUTHORIZATION
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT
            || *name == names.deadline_ms
            || *name == names.organisation
            || *name == names.upstream
            || *name == names.rank
            || any_model && *name == names.model
            || names.reserved.contains(name)
            || listed
                .split(',')
                .any(|listed| listed.trim().eq_ignore_ascii_case(name.as_str()));
        if dropped {
            continue;
        }
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.append(name.clone(), value);
        }
    }
    headers
}

/// Reads the whole body of a request.
pub(super) async fn read_body(gateway: &Rc<Gateway>, req: &mut Request) -> Result<Bytes, Refusal> {
    let limit = gateway.cfg.body_limit;
    let body = listen::read_body(req.take_payload(), limit).await;
    body.map(Bytes::from).map_err(|e| match e {
        BodyError::Incomplete => Refusal::refused(
            StatusCode::BAD_REQUEST,
            "broken_body",
            "the body broke off; send the request again",
        ),
        BodyError::TooLarge => Refusal::refused(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is over {limit} bytes; send less"),
        ),
    })
}
