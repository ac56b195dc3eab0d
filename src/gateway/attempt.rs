//! One attempt: a request sent to one upstream, and what its answer means.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http_body_util::Full;

use super::Gateway;
use super::call::Call;
use super::headers::HeaderNames;
use super::loads::Work;
use super::picture::Runner;
use super::runners::Sent;
use crate::collections::Name;
use crate::http_client::OutgoingRequest;
use crate::http_client::RequestError;
use crate::http_client::ResponseHead;
use crate::http_client::UpstreamResponse;
use crate::log::event;
use crate::policy::timeouts;
use crate::policy::timeouts::RANK_COUNT;

/// Time in which an upstream must take a connection: three round trips between data centres and a
/// retransmission.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Most bytes of an answer that is not a stream.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// What one attempt came to.
pub(super) enum Ended {
    /// It has not run there.
    NotRun(&'static str),
    /// It may have run; there is no answer.
    Lost(&'static str),
    /// The upstream answered, with the whole body.
    Whole(ResponseHead, Bytes),
    /// The upstream answers with a stream, of which nothing has been read.
    Stream(Box<UpstreamResponse>, Sent),
}

/// What an attempt adds to the caller's request.
#[derive(Clone, Debug, Default)]
pub(super) struct Extra {
    /// Model, where the gateway chooses it.
    pub(super) model: Option<Name>,
    /// Event after which a broken stream goes on.
    pub(super) resume_after: Option<u64>,
}

/// Sends `call` to `runner` and waits for the head of the answer; where the request `may_fail_over`, no
/// longer than an upstream that does not hang would need.
pub(super) async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    runner: &Runner,
    extra: &Extra,
    may_fail_over: bool,
) -> Ended {
    let mut work = Sent::start(
        gateway,
        runner.clone(),
        extra.model.clone(),
        rank(call),
        burden(gateway, call, runner, extra.model.clone()),
    );
    let left = call.left(gateway.now());
    let Some(request) = outgoing(&gateway.cfg.header_names, call, runner, extra, left) else {
        return Ended::NotRun("the request can't be written");
    };
    let address = runner.address();
    let sent = gateway.pool.send(address, request, CONNECT_LIMIT.min(left));
    let sent = if may_fail_over {
        await_head(sent, &work, call.route.target()).await
    } else {
        sent.await
    };
    match sent {
        Ok(answer) => judge(gateway, call, answer, work).await,
        Err(failure) => {
            gateway.pool.close_idle(address);
            work.failed();
            match failure {
                RequestError::NotSent(reason) => Ended::NotRun(reason),
                RequestError::Interrupted(reason) => {
                    gateway.note_bad(call, runner);
                    Ended::Lost(reason)
                }
            }
        }
    }
}

/// Waits for `sent` until its upstream seems to hang. What is known of its pace grows meanwhile, so
/// the limit is looked at again when it has passed.
async fn await_head(
    sent: impl Future<Output = Result<UpstreamResponse, RequestError>>,
    work: &Sent,
    target: Duration,
) -> Result<UpstreamResponse, RequestError> {
    let mut sent = std::pin::pin!(sent);
    loop {
        let mut left = work.patience(target).saturating_sub(work.elapsed());
        if left.is_zero() {
            if !work.is_queued(target) {
                return Err(RequestError::Interrupted("no answer for too long"));
            }
            left = timeouts::recheck_interval(target);
        }
        if let Ok(sent) = tokio::time::timeout(left, &mut sent).await {
            return sent;
        }
    }
}

/// What the request lays on the upstream.
pub(super) fn burden(gateway: &Gateway, call: &Call, runner: &Runner, model: Option<Name>) -> Work {
    let prompt = &call.prompt;
    let picture = gateway.picture();
    let slowness = match (&model, runner.service()) {
        (Some(model), Some(service)) => picture.slowness(service, model),
        _ => 1.0,
    };
    Work {
        requests: 1,
        reading: (prompt.tokens_in as f64 * slowness) as u64,
        held: prompt.tokens_in.saturating_add(prompt.tokens_out / 2),
    }
}

async fn judge(
    gateway: &Rc<Gateway>,
    call: &Call,
    answer: UpstreamResponse,
    mut work: Sent,
) -> Ended {
    let names = &gateway.cfg.header_names;
    work.report(&answer.headers);
    if !is_for(names, call, &answer) {
        // An answer to another request: the connection is closed, ours may be under way.
        work.failed();
        return Ended::Lost("the answer belongs to another request");
    }
    let refused = answer.headers.contains_key(&names.not_run)
        || answer.status == StatusCode::MISDIRECTED_REQUEST;
    if refused {
        // Its body is of no use, but reading it saves a new connection.
        let _ = answer.read_to_end(ANSWER_LIMIT).await;
        return Ended::NotRun("the upstream refused it");
    }
    if !answer.headers.contains_key(&names.signature) {
        work.failed();
        gateway.note_bad(call, &work.runner);
        return Ended::Lost("the answer has no signature");
    }
    let failed = !answer.status.is_success();
    event!(
        Debug,
        "answer",
        request = call.id,
        route = call.route.name,
        upstream = work.runner.id(),
        status = answer.status.as_u16(),
        first_ms = work.elapsed().as_millis(),
        tokens_in = call.prompt.tokens_in,
        tokens_out = call.prompt.tokens_out,
        confidence = answer
            .headers
            .get(&names.confidence)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("-")
    );
    gateway.note_answer(call, &work.runner, failed, work.elapsed());
    if !failed {
        work.first_token();
    }
    work.answered();
    if is_stream(&answer) && !failed {
        return Ended::Stream(Box::new(answer), work);
    }
    match answer.read_to_end(ANSWER_LIMIT).await {
        Ok((head, body)) => Ended::Whole(head, body),
        Err(failure) => Ended::Lost(failure.reason()),
    }
}

fn is_for(names: &HeaderNames, call: &Call, answer: &UpstreamResponse) -> bool {
    answer
        .headers
        .get(&names.attempt_id)
        .is_none_or(|echoed| echoed.as_bytes() == call.id.as_bytes())
}

fn is_stream(answer: &UpstreamResponse) -> bool {
    answer
        .headers
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn outgoing(
    names: &HeaderNames,
    call: &Call,
    runner: &Runner,
    extra: &Extra,
    left: Duration,
) -> Option<OutgoingRequest> {
    let mut request = http::Request::builder()
        .method(call.method.clone())
        .uri(&*call.target)
        .body(Full::new(call.body.clone()))
        .ok()?;
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let text = |text: &str| HeaderValue::from_str(text).ok();
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    headers.insert(names.upstream.clone(), text(runner.id())?);
    if let Some((organisation, _)) = &call.organisation {
        headers.insert(names.organisation.clone(), text(organisation)?);
    }
    if let Some(model) = &extra.model {
        headers.insert(names.model.clone(), text(model)?);
    }
    if let Some(after) = extra.resume_after {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(after));
    }
    if call.route.affinity {
        headers.insert(names.rank.clone(), HeaderValue::from(rank(call)));
    }
    Some(request)
}

/// Routes that are told apart within one organisation's rank.
const ROUTE_RANKS: u32 = 3;

/// Rank at the upstream: the organisation's goes before the route's.
pub(super) fn rank(call: &Call) -> u32 {
    let organisation = call.organisation.as_ref().map_or(0, |(_, rank)| *rank);
    let route = call.route.rank.min(ROUTE_RANKS - 1);
    (organisation.saturating_mul(ROUTE_RANKS) + route).min(RANK_COUNT as u32 - 1)
}
