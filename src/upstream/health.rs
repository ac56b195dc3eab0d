//! Decides whether requests may go to an upstream, from the results of earlier ones.
//!
//! Handles upstreams that fail, hang or respond slowly. Consecutive failures open a circuit
//! breaker, which half-opens for a probe after a delay that doubles with each failed probe. A
//! moving average of the latency lets load balancing avoid slow upstreams.

use std::time::Duration;

/// Consecutive failures that open the circuit.
const FAILURES_TO_OPEN: u32 = 3;

/// Delay from opening the circuit to the first probe; it doubles with each failed probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(500);

/// Longest delay to the next probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(16);

/// Weight of the newest latency in the moving average.
const SMOOTHING: f64 = 0.2;

/// Responses in a row, without a whole one between, that were given up to free memory, from which each
/// counts as a failure. A sound upstream has some whole ones among as many.
const GIVEN_UP_TO_FAIL: u32 = 32;

/// State of an upstream's circuit breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Circuit {
    /// Requests may go there.
    Closed,
    /// One request may go there, as a probe.
    HalfOpen,
    /// No request may go there.
    Open,
}

/// Health of one upstream, as one process observes it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    /// When the circuit last opened. Requests that were sent before belong to the trouble that opened
    /// it, and tell nothing more.
    opened_at: Option<Duration>,
    open_until: Option<Duration>,
    probe_delay: Duration,
    is_probing: bool,
    /// Whether a response without an end was among the failures, so that only a whole one shows that the
    /// upstream works.
    needs_whole_response: bool,
    /// Responses that were given up to free memory, since the last whole one.
    given_up: u32,
    /// Whether it has responded before.
    has_responded: bool,
    mean_latency_s: Option<f64>,
}

impl Health {
    /// Returns the state of the circuit breaker.
    pub fn circuit(&self, now: Duration) -> Circuit {
        match self.open_until {
            None => Circuit::Closed,
            Some(until) if now >= until && !self.is_probing => Circuit::HalfOpen,
            Some(_) => Circuit::Open,
        }
    }

    /// Records that a request is sent. If it is a probe, the circuit is open until its result.
    pub fn record_start(&mut self) {
        self.is_probing = self.open_until.is_some();
    }

    /// Records a whole response whose first token or head came after `latency`, and closes the circuit.
    ///
    /// The latency of the first response is ignored. It includes the setup of a connection, and an
    /// upstream that counted as slow would get no requests that could correct it.
    pub fn record_success(&mut self, latency: Duration) {
        self.record_latency(latency);
        self.record_whole();
    }

    /// Records the latency of a response, of which the rest is still to come.
    pub fn record_latency(&mut self, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let mean = self.mean_latency_s.unwrap_or(seconds);
        self.mean_latency_s = self
            .has_responded
            .then_some(mean + SMOOTHING * (seconds - mean));
        self.has_responded = true;
    }

    /// Records a response of a cold upstream, and closes the circuit. Its latency does not count.
    pub fn record_cold_success(&mut self) {
        self.record_whole();
    }

    /// Records a whole response whose latency has been recorded before, and closes the circuit.
    pub fn record_whole(&mut self) {
        *self = Self {
            opened_at: self.opened_at,
            has_responded: self.has_responded,
            mean_latency_s: self.mean_latency_s,
            ..Self::default()
        };
    }

    /// Records that a response which may go on for long has begun soundly, and closes the circuit
    /// without waiting for its end. As it may still break off, the failures so far count until a whole
    /// response: one more opens the circuit for twice as long.
    pub fn record_progress(&mut self, sent_at: Duration) {
        if self.is_before_opening(sent_at) || self.needs_whole_response {
            return;
        }
        self.is_probing = false;
        self.open_until = None;
    }

    /// Records a request, sent at `sent_at`, that ended without a success or a failure of the upstream.
    pub fn record_cancelled(&mut self, sent_at: Duration) {
        if !self.is_before_opening(sent_at) {
            self.is_probing = false;
        }
    }

    /// Records a failure of the upstream, which may open the circuit. Many requests may fail at once, so
    /// those sent before the circuit opened neither lengthen its delay nor end a probe.
    pub fn record_failure(&mut self, sent_at: Duration, now: Duration) {
        if self.is_before_opening(sent_at) {
            return;
        }
        self.failures += 1;
        let was_probe = self.is_probing;
        self.is_probing = false;
        if self.failures < FAILURES_TO_OPEN && !was_probe {
            return;
        }
        self.probe_delay = if self.probe_delay.is_zero() {
            FIRST_PROBE_DELAY
        } else {
            (self.probe_delay * 2).min(MAX_PROBE_DELAY)
        };
        self.opened_at = Some(now);
        self.open_until = Some(now + self.probe_delay);
    }

    /// Records the failure of a response that may have no end. Such a response begins soundly, so progress
    /// does not close the circuit any more.
    pub fn record_endless(&mut self, sent_at: Duration, now: Duration) {
        self.needs_whole_response = true;
        self.record_failure(sent_at, now);
    }

    /// Records a response that was given up to free memory for others.
    pub fn record_given_up(&mut self, sent_at: Duration, now: Duration) {
        self.given_up = self.given_up.saturating_add(1);
        if self.given_up >= GIVEN_UP_TO_FAIL {
            self.record_failure(sent_at, now);
        } else {
            self.record_cancelled(sent_at);
        }
    }

    fn is_before_opening(&self, sent_at: Duration) -> bool {
        self.opened_at.is_some_and(|opened_at| sent_at < opened_at)
    }

    /// Returns the moving average of the latency, in seconds; `None` until the second response.
    pub fn mean_latency_s(&self) -> Option<f64> {
        self.mean_latency_s
    }

    /// Records that a request has waited `waited` without a first token, so that an upstream that
    /// hangs counts as slow before its requests time out.
    pub fn record_wait(&mut self, waited: Duration) {
        let seconds = waited.as_secs_f64();
        if self.mean_latency_s.is_some_and(|mean| mean < seconds) {
            self.mean_latency_s = Some(seconds);
        }
    }
}
