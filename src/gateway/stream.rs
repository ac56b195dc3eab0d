//! A streamed answer on its way to the caller: whole events only, resumed where it breaks.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_core::Stream;
use ntex::http::Request;
use ntex::http::Response;
use ntex::io::IoRef;
use ntex::util::Bytes;

use super::Gateway;
use super::events::Events;
use super::exchange::Exchange;
use super::picture::Runner;
use super::reply;
use super::runners::Sent;
use crate::http_client::RequestError;
use crate::http_client::ResponseHead;
use crate::http_client::UpstreamResponse;
use crate::log::event;
use crate::policy::timeouts;

/// Streams an answer to the caller of `req`.
pub(super) fn response(gateway: &Rc<Gateway>, relay: Relay, req: &Request) -> Response {
    let mut builder = reply::builder(&relay.head);
    let body = Body {
        io: req.io().cloned(),
        next: None,
        relay: Some(relay),
    };
    let mut response = builder.streaming(body);
    reply::mark(gateway, &mut response);
    response
}

/// One streamed answer, over the upstreams that make it.
pub(super) struct Relay {
    exchange: Exchange,
    head: ResponseHead,
    answer: Option<UpstreamResponse>,
    work: Sent,
    events: Events,
    /// Whether it was silent for too long and no other upstream could take over.
    waits_on: bool,
}

enum Next {
    /// Whole events.
    Events(Bytes),
    /// The last event has been sent.
    End,
    /// The stream can't go on.
    Broken(&'static str),
}

enum Taken {
    Events,
    End,
    Broken(&'static str),
}

impl Relay {
    pub(super) fn new(exchange: Exchange, answer: UpstreamResponse, work: Sent) -> Self {
        let head = ResponseHead {
            status: answer.status,
            headers: answer.headers.clone(),
        };
        let names = &exchange.gateway().cfg.header_names;
        let events = Events::after(exchange.call().resume_after(names));
        Self {
            exchange,
            head,
            answer: Some(answer),
            work,
            events,
            waits_on: false,
        }
    }

    fn left(&self) -> Duration {
        let now = self.exchange.gateway().now();
        self.exchange.call().left(now)
    }

    async fn next(&mut self) -> Next {
        loop {
            if let Some(whole) = self.events.take() {
                return Next::Events(whole);
            }
            let left = self.left();
            let wait = self.patience().map_or(left, |patience| patience.min(left));
            let Some(answer) = self.answer.as_mut() else {
                return Next::End;
            };
            let chunk = tokio::time::timeout(wait, answer.next_chunk()).await;
            let reason = match chunk {
                Err(_) if wait == left => return Next::Broken("the time is over"),
                Err(_) => {
                    self.waits_on = true;
                    "no event for too long"
                }
                Ok(chunk) => match self.take_chunk(chunk) {
                    Taken::Events => continue,
                    Taken::End => return Next::End,
                    Taken::Broken(reason) => {
                        self.answer = None;
                        reason
                    }
                },
            };
            // Silence alone is no reason to end an answer: without another upstream it goes on.
            let Some(runner) = self.exchange.next_resumption() else {
                if self.answer.is_some() {
                    continue;
                }
                return Next::Broken(reason);
            };
            if !self.resume(reason, runner).await {
                return Next::Broken(reason);
            }
        }
    }

    /// How long the upstream may be silent; `None` where nothing else can be done.
    fn patience(&self) -> Option<Duration> {
        if self.waits_on || !self.exchange.may_resume() {
            return None;
        }
        timeouts::stream_event(Duration::from_millis(self.exchange.call().route.gap_ms))
    }

    fn take_chunk(&mut self, chunk: Option<Result<bytes::Bytes, RequestError>>) -> Taken {
        match chunk {
            Some(Ok(chunk)) => match self.events.push(&chunk) {
                Ok(()) => Taken::Events,
                Err(reason) => Taken::Broken(reason),
            },
            None if self.events.is_between() => {
                if let Some(answer) = self.answer.take() {
                    answer.release_connection();
                }
                Taken::End
            }
            None => Taken::Broken("the stream ended within an event"),
            Some(Err(failure)) => Taken::Broken(failure.reason()),
        }
    }

    async fn resume(&mut self, reason: &'static str, runner: Runner) -> bool {
        // The former upstream must stop before another goes on.
        self.answer = None;
        self.work.failed();
        let gateway = self.exchange.gateway().clone();
        gateway.note_bad(self.exchange.call(), &self.work.runner);
        event!(
            Info,
            "stream_broke",
            request = self.exchange.call().id,
            upstream = self.work.runner.id(),
            reason = reason,
            events = self.events.sent()
        );
        let after = self.events.last_id();
        let left = self.left();
        let resumed = tokio::time::timeout(left, self.exchange.resume(runner, after)).await;
        let Ok(Some((answer, work))) = resumed else {
            return false;
        };
        self.answer = Some(answer);
        self.work = work;
        self.waits_on = false;
        self.events.drop_partial();
        true
    }
}

type NextFuture = Pin<Box<dyn Future<Output = (Relay, Next)>>>;

/// The body as the server polls it. Dropping it cancels the work at the upstream.
struct Body {
    relay: Option<Relay>,
    next: Option<NextFuture>,
    io: Option<IoRef>,
}

impl Stream for Body {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if let Some(mut relay) = this.relay.take() {
            this.next = Some(Box::pin(async move {
                let next = relay.next().await;
                (relay, next)
            }));
        }
        let Some(next) = this.next.as_mut() else {
            return Poll::Pending;
        };
        let Poll::Ready((relay, next)) = next.as_mut().poll(cx) else {
            return Poll::Pending;
        };
        this.next = None;
        match next {
            Next::Events(events) => {
                this.relay = Some(relay);
                Poll::Ready(Some(Ok(events)))
            }
            Next::End => Poll::Ready(None),
            Next::Broken(reason) => {
                event!(
                    Info,
                    "stream_given_up",
                    request = relay.exchange.call().id,
                    reason = reason,
                    events = relay.events.sent()
                );
                // An error here would make the server write an answer into the open one; closing
                // the connection shows the caller that the stream is not whole.
                match &this.io {
                    Some(io) => {
                        io.close();
                        Poll::Pending
                    }
                    None => Poll::Ready(Some(Err(std::io::Error::other(reason)))),
                }
            }
        }
    }
}
