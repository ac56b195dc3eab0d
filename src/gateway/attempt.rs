//! One attempt: sends a request to one upstream and classifies the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http_body_util::Full;

use super::Gateway;
use super::call::Call;
use super::headers::HeaderNames;
use super::loads::Load;
use super::routing::Upstream;
use super::upstreams::InFlightRequest;
use super::upstreams::TimeLimits;
use crate::collections::Name;
use crate::http_client::OutgoingRequest;
use crate::http_client::RequestError;
use crate::http_client::ResponseHead;
use crate::http_client::Reuse;
use crate::http_client::UpstreamResponse;
use crate::log::event;
use crate::policy::service_reachability::Failure;
use crate::policy::timeouts;
use crate::policy::timeouts::RANK_COUNT;

/// Time limit for opening a connection: three round trips between data centres and one
/// retransmission.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a response body that is not a stream.
pub(super) const RESPONSE_BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Why the gateway has given up on an upstream that seems to hang.
pub(super) const RESPONSE_TIMEOUT: &str = "response timeout";

/// Result of one attempt, with the reason for the log if it has no response.
pub(super) enum AttemptOutcome {
    /// Nothing of the request reached the upstream.
    NotSent(&'static str),
    /// The upstream received the request and did not run it.
    NotRun(&'static str),
    /// The request may have run, but there is no usable response.
    Lost(&'static str),
    /// A response with its whole body.
    Complete(ResponseHead, Bytes),
    /// A successful streaming response whose body has not been read yet.
    Stream(Box<UpstreamResponse>, InFlightRequest),
}

/// Properties in which the attempts for one request differ.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptOverrides {
    /// Model, if the gateway chose it.
    pub(super) model: Option<Name>,
    /// Id of the last event of an interrupted stream, to resume after it.
    pub(super) last_event_id: Option<u64>,
    /// Whether this is the first attempt for the request.
    pub(super) is_first: bool,
    /// Whether the upstream may have received an earlier attempt, which has the same id.
    pub(super) is_repeated: bool,
}

/// Whether a request may leave an upstream that does not respond.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FailOver {
    /// It waits until its deadline.
    Never,
    /// Nothing is there for it now.
    NotNow,
    /// Another upstream takes it.
    Now,
}

/// Sends `call` to `upstream` and waits for the response. Gives up on an upstream that seems to hang,
/// as `fail_over` permits.
pub(super) async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    upstream: &Upstream,
    overrides: &AttemptOverrides,
    fail_over: &dyn Fn() -> FailOver,
) -> AttemptOutcome {
    let mut in_flight = InFlightRequest::start(
        gateway,
        upstream.clone(),
        overrides.model.clone(),
        rank(call),
        estimate_load(gateway, call, upstream, overrides.model.clone()),
        overrides.is_first,
        TimeLimits {
            target: call.route.target(),
            deadline: call.deadline,
        },
    );
    let time_left = call.time_left(gateway.now());
    let Some(request) = build_request(
        &gateway.cfg.header_names,
        call,
        upstream,
        overrides,
        time_left,
    ) else {
        return AttemptOutcome::NotSent("invalid request target or header");
    };
    let address = upstream.address();
    let reuse = if overrides.is_repeated {
        Reuse::Forbidden
    } else {
        Reuse::Allowed
    };
    let sent = gateway
        .connections
        .send(address, request, CONNECT_TIMEOUT.min(time_left), reuse);
    let sent = await_response_head(sent, &in_flight, call.route.target(), fail_over).await;
    match sent {
        Ok(response) => classify_response(gateway, call, response, in_flight, fail_over).await,
        Err(e) => {
            in_flight.record_failure();
            if !matches!(e, RequestError::Unattributed(_)) {
                in_flight.record_unanswered(match e {
                    RequestError::Interrupted(RESPONSE_TIMEOUT) => Failure::Silence,
                    _ => Failure::Connection,
                });
                gateway.connections.close_idle(address);
            }
            match e {
                RequestError::Refused => {
                    in_flight.record_refused_connection();
                    AttemptOutcome::NotSent(e.reason())
                }
                RequestError::NotSent(reason) => AttemptOutcome::NotSent(reason),
                RequestError::Interrupted(_) | RequestError::Endless(_) | RequestError::GivenUp => {
                    gateway.count_lost_response(call, upstream);
                    gateway.record_interruption(call, &in_flight).await;
                    AttemptOutcome::Lost(e.reason())
                }
                RequestError::Unattributed(reason) => {
                    in_flight.record_answer();
                    AttemptOutcome::Lost(reason)
                }
            }
        }
    }
}

/// Waits for the response head until the upstream seems to hang. The timeout depends on the
/// upstream's predicted prefill time, which may change meanwhile, so it is computed again when it
/// has passed. A sound upstream may be silent for a second, so a request that cannot go elsewhere
/// waits for longer.
async fn await_response_head(
    sent: impl Future<Output = Result<UpstreamResponse, RequestError>>,
    in_flight: &InFlightRequest,
    target: Duration,
    fail_over: &dyn Fn() -> FailOver,
) -> Result<UpstreamResponse, RequestError> {
    let mut sent = std::pin::pin!(sent);
    loop {
        let timeout = in_flight.response_timeout(target);
        let mut time_left = timeout.saturating_sub(in_flight.elapsed());
        if time_left.is_zero() {
            let hangs = match fail_over() {
                FailOver::Never => return sent.await,
                FailOver::NotNow => in_flight.elapsed() >= timeout + timeouts::MAX_SILENCE,
                FailOver::Now => true,
            };
            if hangs && !in_flight.is_queued(target) {
                return Err(RequestError::Interrupted(RESPONSE_TIMEOUT));
            }
            time_left = timeouts::recheck_interval(target);
        }
        if let Ok(sent) = tokio::time::timeout(time_left, &mut sent).await {
            return sent;
        }
    }
}

/// Estimates the load that the request adds to the upstream.
pub(super) fn estimate_load(
    gateway: &Gateway,
    call: &Call,
    upstream: &Upstream,
    model: Option<Name>,
) -> Load {
    let prompt = &call.prompt;
    let routing = gateway.routing();
    let slowness = match (&model, upstream.service()) {
        (Some(model), Some(service)) => routing.slowness(service, model),
        _ => 1.0,
    };
    Load {
        requests: 1,
        prefill_tokens: (prompt.tokens_in as f64 * slowness) as u64,
        kv_tokens: prompt.tokens_in.saturating_add(prompt.tokens_out / 2),
    }
}

async fn classify_response(
    gateway: &Rc<Gateway>,
    call: &Call,
    response: UpstreamResponse,
    mut in_flight: InFlightRequest,
    fail_over: &dyn Fn() -> FailOver,
) -> AttemptOutcome {
    let names = &gateway.cfg.header_names;
    in_flight.record_answer();
    in_flight.record_load_report(&response.headers);
    if response.status != StatusCode::MISDIRECTED_REQUEST {
        // Such a response comes from another upstream at the same address.
        gateway.record_backpressure(&in_flight.upstream, response.status, &response.headers);
        gateway.record_brittle(&in_flight.upstream, response.status, &response.headers);
        in_flight.record_momentary_slowness(&response.headers);
    }
    let is_refused = response.headers.contains_key(&names.not_run)
        || response.status == StatusCode::MISDIRECTED_REQUEST;
    if is_refused {
        // The body is discarded, but the connection can be reused once it is read.
        if !response.discard().await {
            in_flight.record_failure();
        }
        return AttemptOutcome::NotRun("refused by the upstream");
    }
    if !response.headers.contains_key(&names.signature) {
        in_flight.record_failure();
        gateway.count_failure(call, &in_flight.upstream);
        return AttemptOutcome::Lost("response without a signature");
    }
    let is_failure = !response.status.is_success();
    event!(
        Debug,
        "answer",
        request = call.id,
        route = call.route.name,
        upstream = in_flight.upstream.id(),
        status = response.status.as_u16(),
        first_ms = in_flight.elapsed().as_millis(),
        tokens_in = call.prompt.tokens_in,
        tokens_out = call.prompt.tokens_out,
        confidence = response
            .headers
            .get(&names.confidence)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("-")
    );
    let time_to_head = (!in_flight.is_cold()).then(|| in_flight.elapsed());
    gateway.count_response(call, &in_flight.upstream, is_failure, time_to_head);
    if !is_failure {
        in_flight.record_first_token();
        in_flight.take_speed_sample(call);
    }
    in_flight.record_head();
    if is_event_stream(&response) && !is_failure {
        return AttemptOutcome::Stream(Box::new(response), in_flight);
    }
    let may_leave = || fail_over() == FailOver::Now;
    let whole =
        response.read_unless_silent(RESPONSE_BODY_LIMIT_BYTES, timeouts::MAX_SILENCE, may_leave);
    match whole.await {
        Ok((head, body)) => {
            in_flight.record_success();
            if let Some(service) = in_flight.upstream.service().filter(|_| !is_failure) {
                gateway.record_progress(service, call);
            }
            AttemptOutcome::Complete(head, body)
        }
        Err(e) => {
            // Before the next pause, in which the caller may go away.
            if e == RequestError::GivenUp {
                in_flight.record_given_up();
            } else {
                in_flight.record_failure();
                if !is_failure {
                    gateway.count_broken_response(call, &in_flight.upstream);
                }
            }
            gateway.record_interruption(call, &in_flight).await;
            AttemptOutcome::Lost(e.reason())
        }
    }
}

/// Returns whether a response is a stream of events. One whose status permits no body is none: its
/// caller would take the end of a streamed body for the next response.
pub(super) fn is_event_stream(response: &UpstreamResponse) -> bool {
    let has_no_body = matches!(
        response.status,
        StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT | StatusCode::NOT_MODIFIED
    );
    !has_no_body
        && response
            .headers
            .get(http::header::CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn build_request(
    names: &HeaderNames,
    call: &Call,
    upstream: &Upstream,
    overrides: &AttemptOverrides,
    time_left: Duration,
) -> Option<OutgoingRequest> {
    let mut request = http::Request::builder()
        .method(call.method.clone())
        .uri(&*call.path_and_query)
        .body(Full::new(call.body.clone()))
        .ok()?;
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let value = |value: &str| HeaderValue::from_str(value).ok();
    let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    headers.insert(names.upstream.clone(), value(upstream.id())?);
    if let Some((organisation, _)) = &call.organisation {
        headers.insert(names.organisation.clone(), value(organisation)?);
    }
    if let Some(model) = &overrides.model {
        headers.insert(names.model.clone(), value(model)?);
    }
    if let Some(after) = overrides.last_event_id {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(after));
    }
    if call.route.affinity {
        headers.insert(names.rank.clone(), HeaderValue::from(rank(call)));
    }
    Some(request)
}

/// Number of route ranks within one organisation rank.
const ROUTE_RANKS: u32 = 3;

/// Returns the rank of the request at the upstream, 0 for the most urgent: by the organisation's
/// rank first, then by the route's.
pub(super) fn rank(call: &Call) -> u32 {
    let organisation = call.organisation.as_ref().map_or(0, |(_, rank)| *rank);
    let route = call.route.rank.min(ROUTE_RANKS - 1);
    (organisation.saturating_mul(ROUTE_RANKS) + route).min(RANK_COUNT as u32 - 1)
}
