//! Limits on what requests cost that serve nobody: small pieces of bodies, framing without end, and requests
//! that can't be parsed.
//!
//! Such a request is not refused at once: its caller would send the next one without a pause.

use std::cell::RefCell;
use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use ntex::http::Payload;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::error::DecodeError;
use ntex::http::h1::ProtocolError;
use ntex::io::IoRef;
use ntex::io::types::PeerAddr;
use tokio::time::Instant;

use super::MAX_HEAD_BYTES;
use crate::log::event;
use crate::metrics::Metrics;
use crate::policy::pace::Limits;
use crate::policy::pace::Pace;
use crate::policy::pace::Pieces;

/// Pieces of bodies beyond those that each body may have. Together they take some tens of milliseconds at
/// once, and about a hundredth of a processor for as long as they come.
const PIECE_LIMITS: Limits = Limits {
    burst: 32 * 1024,
    per_s: 10_000,
};

/// Requests that can't be parsed.
const MALFORMED_LIMITS: Limits = Limits {
    burst: 16,
    per_s: 10,
};

/// Bytes of such a request that count as a further one: lines of a head take time.
const MALFORMED_UNIT_BYTES: usize = 16 * 1024;

/// Longest wait of the response to a request that can't be parsed.
const MALFORMED_MAX_WAIT: Duration = Duration::from_secs(10);

/// Pieces after which a body waits, if it does: timers are not that exact.
const PIECES_PER_WAIT: u32 = 64;

/// Most bytes that belong to no piece of a body: the size of a chunk with its extension. Framing is parsed
/// from its start whenever more of it arrives.
const MAX_FRAMING_BYTES: usize = MAX_HEAD_BYTES;

/// The waste of all callers of this thread.
struct Paces {
    started_at: Instant,
    pieces: Pace,
    malformed: Pace,
    metrics: Option<Metrics>,
}

impl Paces {
    fn count(&self, reason: &str) {
        if let Some(metrics) = &self.metrics {
            metrics.add_to_counter("daisyquay_slowed_callers", 1, &[("reason", reason)]);
        }
    }
}

thread_local! {
    static PACES: RefCell<Paces> = RefCell::new(Paces {
        started_at: Instant::now(),
        pieces: Pace::new(PIECE_LIMITS),
        malformed: Pace::new(MALFORMED_LIMITS),
        metrics: None,
    });
}

fn with_paces<T>(f: impl FnOnce(&mut Paces, Duration) -> T) -> T {
    PACES.with_borrow_mut(|paces| {
        let now = paces.started_at.elapsed();
        f(paces, now)
    })
}

/// Counts callers that are slowed in `metrics`.
pub(super) fn set_metrics(metrics: Metrics) {
    with_paces(|paces, _| paces.metrics = Some(metrics));
}

/// Reads the pieces of a body no faster than all callers' small pieces are allowed.
#[derive(Default)]
pub(super) struct PacedReader {
    pieces: Pieces,
    excess: u32,
    is_slow: bool,
}

impl PacedReader {
    /// Waits after a piece of `payload`, if there are too many small ones.
    pub(super) async fn record(&mut self, payload: &Payload, bytes: usize) {
        if !self.pieces.add(bytes) {
            return;
        }
        self.excess += 1;
        if self.excess < PIECES_PER_WAIT {
            return;
        }
        self.excess = 0;
        let wait = with_paces(|paces, now| paces.pieces.add(PIECES_PER_WAIT, now));
        if wait.is_zero() {
            return;
        }
        if !self.is_slow {
            self.is_slow = true;
            event!(Warn, "body_slowed", wait_ms = wait.as_millis());
            with_paces(|paces, _| paces.count("small_pieces"));
            if let Payload::H1(pieces) = payload {
                // Many pieces that wait take many times the memory of their bytes.
                pieces.max_buffer_size(1);
            }
        }
        tokio::time::sleep(wait).await;
    }
}

/// Waits until a request that can't be parsed may be answered.
pub(super) async fn pace_malformed(error: &ProtocolError) {
    let parsed = match error {
        ProtocolError::Decode(DecodeError::TooLarge(bytes)) => *bytes,
        ProtocolError::Decode(_) => 0,
        _ => return,
    };
    let units = u32::try_from(parsed / MALFORMED_UNIT_BYTES).map_or(1, |further| 1 + further);
    let wait = with_paces(|paces, now| {
        let wait = paces.malformed.add(units, now).min(MALFORMED_MAX_WAIT);
        if !wait.is_zero() {
            paces.count("malformed");
        }
        wait
    });
    // A sleep is not ready at once even if it has no length.
    if !wait.is_zero() {
        event!(
            Warn,
            "request_malformed",
            reason = error,
            wait_ms = wait.as_millis()
        );
        tokio::time::sleep(wait).await;
    }
}

/// Waits for the response to a request. Returns nothing, after a while, if the framing of its body has no end.
pub(crate) async fn unless_endless<T>(
    io: Option<&IoRef>,
    response: impl Future<Output = T>,
) -> Option<T> {
    let Some(io) = io else {
        return Some(response.await);
    };
    let unparsed = {
        let mut response = pin!(response);
        let ended = poll_fn(|cx| {
            if let Poll::Ready(reply) = response.as_mut().poll(cx) {
                return Poll::Ready(Ok(reply));
            }
            // The connection polls this whenever it has received more, and keeps what can't be parsed yet.
            let unparsed = io.with_read_src_buf(|buf| buf.len());
            if unparsed > MAX_FRAMING_BYTES {
                Poll::Ready(Err(unparsed))
            } else {
                Poll::Pending
            }
        });
        match ended.await {
            Ok(reply) => return Some(reply),
            Err(unparsed) => unparsed,
        }
    };
    let wait = with_paces(|paces, now| {
        paces.count("framing");
        paces.malformed.add(1, now).min(MALFORMED_MAX_WAIT)
    });
    let address = io.query::<PeerAddr>().get().map(|peer| peer.0.to_string());
    event!(
        Warn,
        "request_given_up",
        address = address.unwrap_or_default(),
        reason = "framing without end",
        held = unparsed,
        wait_ms = wait.as_millis()
    );
    tokio::time::sleep(wait).await;
    None
}

/// Returns the refusal of a request whose framing has no end.
pub(super) fn refuse_endless() -> Response {
    Response::build(StatusCode::BAD_REQUEST)
        .content_type("text/plain")
        .body("the framing of the request body is too large\n")
}
