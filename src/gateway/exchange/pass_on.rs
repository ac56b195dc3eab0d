//! Passes requests on to another gateway, which serves them like those of its own callers.
//!
//! The other gateway decides everything: it admits the request, chooses its release and upstream,
//! repeats, escalates and resumes. It does not pass the request on again.

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use ntex::http::Request;
use ntex::http::Response;

use super::Exchange;
use super::FinalResponse;
use super::MIN_TIME_LEFT;
use crate::config::KeyHash;
use crate::gateway::Gateway;
use crate::gateway::attempt::CONNECT_TIMEOUT;
use crate::gateway::attempt::RESPONSE_BODY_LIMIT_BYTES;
use crate::gateway::attempt::is_event_stream;
use crate::gateway::call::header_text;
use crate::gateway::headers::PASSED_ON;
use crate::gateway::open_requests::Stage;
use crate::gateway::refusal::Refusal;
use crate::gateway::stream::PassedOnStream;
use crate::http_client::OutgoingRequest;
use crate::http_client::RequestError;
use crate::http_client::ResponseHead;
use crate::http_client::Reuse;
use crate::http_client::UpstreamResponse;
use crate::log::event;
use crate::peer::EntryInfo;
use crate::policy::service_reachability::Path;

/// Number of gateways to which one request is passed on, if they do not take it.
const MAX_GATEWAYS: usize = 3;

/// Codes of the refusals after which another gateway may serve a request that was passed on.
const NOT_TAKEN_CODES: [&str; 4] = [
    "no_configuration",
    "outdated_configuration",
    "stopping",
    "unreachable",
];

/// Header fields that a gateway adds to a request which it forwards to another gateway.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(in crate::gateway) struct PassedOn {
    /// Attempts in which the request may have run.
    pub(in crate::gateway) runs: u32,
    /// Whether the retry budget has counted the first attempt.
    pub(in crate::gateway) is_counted: bool,
}

/// Returns the key by which the gateways of a deployment recognise a request that one of them has
/// passed on.
pub(in crate::gateway) fn key(peer_key: &str) -> KeyHash {
    KeyHash::of(&format!("passed-on {peer_key}"))
}

impl PassedOn {
    /// Returns what another gateway tells of the request; `None` if it comes from a caller.
    pub(in crate::gateway) fn read(gateway: &Gateway, req: &Request) -> Option<Self> {
        let mut fields = header_text(req, &PASSED_ON)?.split(' ');
        let key: KeyHash = fields.next()?.parse().ok()?;
        let runs = fields.next()?.parse().ok()?;
        let is_counted = fields.next()? == "1";
        key.matches(&gateway.pass_on_key)
            .then_some(Self { runs, is_counted })
    }

    fn to_header(self, key: &KeyHash) -> Option<HeaderValue> {
        let is_counted = u32::from(self.is_counted);
        HeaderValue::from_str(&format!("{key} {} {is_counted}", self.runs)).ok()
    }
}

/// Adds to the refusal of a request that another gateway has passed on what that one needs: the id,
/// and whether a third one may serve the request.
pub(super) fn mark_refusal(
    gateway: &Gateway,
    id: &str,
    refusal: &Refusal,
    response: &mut Response,
) {
    let headers = response.headers_mut();
    if let Ok(id) = ntex::http::header::HeaderValue::from_str(id) {
        headers.insert(gateway.cfg.header_names.attempt_id.clone(), id);
    }
    if NOT_TAKEN_CODES.contains(&refusal.code) {
        let value = ntex::http::header::HeaderValue::from_static("not-taken");
        headers.insert(PASSED_ON, value);
    }
}

/// Returns the refusal of a request that another gateway has passed on in vain.
pub(super) fn unreachable_refusal() -> Refusal {
    Refusal::unavailable(
        "unreachable",
        "this gateway does not reach the upstreams of the service; retry at another gateway",
    )
}

/// Result of passing a request on to one gateway.
enum Outcome {
    /// The other gateway did not get the request, or has not served it and will not.
    NotTaken(&'static str),
    /// The request may have run, but there is no usable response.
    Lost(&'static str),
    Response(FinalResponse),
}

impl Exchange {
    /// Passes the request on to another gateway if this one does not reach its service; `None` if it
    /// is to be served over this gateway's own connections.
    pub(super) async fn leave_unreachable_service(
        &mut self,
    ) -> Option<Result<FinalResponse, Refusal>> {
        let service = self.service.clone()?;
        let was_probe = std::mem::take(&mut self.is_path_probe);
        if self.keeps_own_path || self.runs > 0 && self.gateway.recent_crashes(&self.call).is_some()
        {
            // Another gateway may not know yet that upstreams have crashed under the request.
            return None;
        }
        // A probe that failed needs no budget: their rate is bounded, and few reach an upstream.
        self.is_charged |= was_probe && self.runs > 0;
        match self.gateway.path(&service, &self.call) {
            Path::Own => None,
            Path::Probe => {
                self.is_path_probe = true;
                None
            }
            Path::OtherGateway if self.call.passed_on.is_some() => {
                let is_unreachable = self
                    .gateway
                    .services_reached
                    .borrow()
                    .is_unreachable(&service);
                (is_unreachable && self.runs == 0).then(|| Err(unreachable_refusal()))
            }
            Path::OtherGateway => self.pass_on().await,
        }
    }

    /// Waits until the request should leave this gateway after all.
    pub(super) async fn wait_until_unreachable(&self) {
        match &self.service {
            Some(service) if !self.keeps_own_path && !self.is_path_probe => {
                let gateway = &self.gateway;
                gateway.wait_until_unreachable(service, &self.call).await;
            }
            _ => std::future::pending().await,
        }
    }

    /// Passes on a request that no upstream could be reached for; `None` if that is not possible.
    pub(super) async fn pass_on_unplaced(&mut self) -> Option<Result<FinalResponse, Refusal>> {
        if self.runs > 0 || self.refusals > 0 || self.unreachable == 0 {
            return None;
        }
        if self.call.passed_on.is_some() {
            return Some(Err(unreachable_refusal()));
        }
        self.pass_on().await
    }

    /// Passes the request on; `None` if no other gateway has taken it.
    async fn pass_on(&mut self) -> Option<Result<FinalResponse, Refusal>> {
        let service = self.service.clone()?;
        let gateway = self.gateway.clone();
        let had_runs = self.runs > 0;
        let mut peers = gateway.gateways_reaching(&service, &self.call);
        if peers.is_empty() {
            peers.extend(gateway.gateway_that_may_reach(&self.call));
        }
        for peer in peers.into_iter().take(MAX_GATEWAYS) {
            if self.call.time_left(gateway.now()) < MIN_TIME_LEFT
                || self.runs >= self.call.attempts()
                || gateway.gives_final_answers.get()
            {
                break;
            }
            if self.runs > 0 && !self.is_charged {
                self.is_charged = gateway.try_retry(&service);
                if !self.is_charged {
                    self.last_failure = "retry budget exhausted";
                    break;
                }
            }
            let message = PassedOn {
                runs: self.runs,
                is_counted: !self.is_first_attempt(),
            };
            // An attempt that the deadline cancels is never reported as not run.
            self.runs += 1;
            self.open.set_stage(Stage::Sent, Some(&peer.vm));
            let outcome = self.pass_on_to(&peer, message).await;
            let (label, reason) = match &outcome {
                Outcome::NotTaken(reason) => ("not_taken", *reason),
                Outcome::Lost(reason) => ("lost", *reason),
                Outcome::Response(_) => ("answered", "-"),
            };
            gateway
                .metrics
                .add_to_counter("daisyquay_passed_on", 1, &[("outcome", label)]);
            event!(
                Info,
                "passed_on",
                request = self.call.id,
                route = self.call.route.name,
                to = peer.address,
                outcome = label,
                reason = reason,
                left_ms = self.call.time_left(gateway.now()).as_millis()
            );
            match outcome {
                Outcome::NotTaken(reason) => {
                    self.runs -= 1;
                    self.last_failure = reason;
                }
                Outcome::Lost(reason) => {
                    self.last_failure = reason;
                    self.is_charged = false;
                    if !self.call.route.is_safe_to_retry() {
                        return Some(Err(Refusal::bad_gateway("answer_lost")));
                    }
                }
                Outcome::Response(response) => {
                    let is_refused = matches!(
                        &response,
                        FinalResponse::PassedOn(head, _) if self.is_rejection(head)
                    );
                    if had_runs && is_refused {
                        return Some(Err(Refusal::bad_gateway("answer_lost")));
                    }
                    return Some(Ok(response));
                }
            }
        }
        self.keeps_own_path = true;
        self.open.set_stage(Stage::Queued, None);
        None
    }

    /// Returns whether a response is a gateway's statement that the request has not run.
    fn is_rejection(&self, head: &ResponseHead) -> bool {
        let names = &self.gateway.cfg.header_names;
        !head.headers.contains_key(&names.signature)
            && matches!(
                head.status,
                StatusCode::REQUEST_TIMEOUT
                    | StatusCode::TOO_MANY_REQUESTS
                    | StatusCode::SERVICE_UNAVAILABLE
            )
    }

    async fn pass_on_to(&self, peer: &EntryInfo, message: PassedOn) -> Outcome {
        let gateway = &self.gateway;
        let Some(request) = self.passed_on_request(message) else {
            return Outcome::NotTaken("invalid request target or header");
        };
        let limit = CONNECT_TIMEOUT.min(self.call.time_left(gateway.now()));
        let sent = gateway
            .connections
            .send(peer.address, request, limit, Reuse::Allowed)
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(e) => {
                gateway.connections.close_idle(peer.address);
                return match e {
                    RequestError::Refused | RequestError::NotSent(_) => {
                        Outcome::NotTaken(e.reason())
                    }
                    RequestError::Interrupted(_)
                    | RequestError::Unattributed(_)
                    | RequestError::Endless(_)
                    | RequestError::GivenUp => Outcome::Lost(e.reason()),
                };
            }
        };
        if response.headers.contains_key(PASSED_ON) {
            // The connection can be reused once the body is read.
            response.discard().await;
            return Outcome::NotTaken("refused by the other gateway");
        }
        if is_event_stream(&response) && response.status.is_success() {
            return match self.begin_passed_on_stream(response).await {
                Ok(response) => Outcome::Response(response),
                Err(e) => Outcome::Lost(e.reason()),
            };
        }
        match response.read_to_end(RESPONSE_BODY_LIMIT_BYTES).await {
            Ok((mut head, body)) => {
                let names = &gateway.cfg.header_names;
                if !head.headers.contains_key(&names.signature) {
                    // Only the gateways need the id of a refusal.
                    head.headers.remove(&names.attempt_id);
                }
                Outcome::Response(FinalResponse::PassedOn(head, body))
            }
            Err(e) => Outcome::Lost(e.reason()),
        }
    }

    async fn begin_passed_on_stream(
        &self,
        response: UpstreamResponse,
    ) -> Result<FinalResponse, RequestError> {
        let stream = PassedOnStream::begin(
            self.gateway.clone(),
            self.call.clone(),
            self.open.clone(),
            response,
        )
        .await?;
        self.open.set_stage(Stage::Streaming, None);
        Ok(FinalResponse::PassedOnStream(Box::new(stream)))
    }

    /// Returns the caller's request with the time that is left for it.
    fn passed_on_request(&self, message: PassedOn) -> Option<OutgoingRequest> {
        let (call, gateway) = (&self.call, &self.gateway);
        let names = &gateway.cfg.header_names;
        let mut request = http::Request::builder()
            .method(call.method.clone())
            .uri(&*call.path_and_query)
            .body(Full::<Bytes>::new(call.body.clone()))
            .ok()?;
        let headers = request.headers_mut();
        headers.clone_from(&call.headers);
        if let Some(key) = &call.authorization {
            headers.insert(header::AUTHORIZATION, key.clone());
        }
        if call.gateway_chooses_model {
            headers.insert(names.model.clone(), HeaderValue::from_static("*"));
        }
        let time_left = call.time_left(gateway.now());
        let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
        headers.insert(PASSED_ON, message.to_header(&gateway.pass_on_key)?);
        Some(request)
    }
}
