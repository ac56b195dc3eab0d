//! How an upstream has behaved towards this entry: failures open a circuit, slowness costs rank.

use std::time::Duration;

/// Failures in a row that open a circuit.
const FAILURES_TO_OPEN: u32 = 3;

/// First pause of an opened circuit; it doubles with each failed probe.
const PAUSE_FIRST: Duration = Duration::from_millis(500);

/// Longest pause of an opened circuit.
const PAUSE_LIMIT: Duration = Duration::from_secs(16);

/// Weight of the newest first-token time in the running mean.
const NEWEST: f64 = 0.2;

/// Whether requests may go to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Circuit {
    /// They may.
    Closed,
    /// One may, to probe.
    HalfOpen,
    /// None may.
    Open,
}

/// What this entry knows of one upstream by its own requests.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    open_until: Option<Duration>,
    pause: Duration,
    probing: bool,
    /// Whether it has answered before.
    met: bool,
    first_s: Option<f64>,
}

impl Health {
    /// Whether a request may go there now.
    pub fn circuit(&self, now: Duration) -> Circuit {
        match self.open_until {
            None => Circuit::Closed,
            Some(until) if now >= until && !self.probing => Circuit::HalfOpen,
            Some(_) => Circuit::Open,
        }
    }

    /// A request goes there; in a probe, others wait for its result.
    pub fn record_start(&mut self) {
        self.probing = self.open_until.is_some();
    }

    /// The first token came after `first`. That of the very first answer is not measured: it took a new
    /// connection, and an upstream that counts as slow gets no requests that could show otherwise.
    pub fn record_success(&mut self, first: Duration) {
        let seconds = first.as_secs_f64();
        let mean = self.first_s.unwrap_or(seconds);
        *self = Self {
            met: true,
            first_s: self.met.then_some(mean + NEWEST * (seconds - mean)),
            ..Self::default()
        };
    }

    /// The request ended with neither success nor failure of the upstream's.
    pub fn record_cancelled(&mut self) {
        self.probing = false;
    }

    /// The request failed by the upstream's fault.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        let reopened = self.probing;
        self.probing = false;
        if self.failures < FAILURES_TO_OPEN && !reopened {
            return;
        }
        self.pause = if self.pause.is_zero() {
            PAUSE_FIRST
        } else {
            (self.pause * 2).min(PAUSE_LIMIT)
        };
        self.open_until = Some(now + self.pause);
    }

    /// Running mean of the time to the first token, in seconds.
    pub fn mean_latency_s(&self) -> Option<f64> {
        self.first_s
    }

    /// Notes that a request has waited `waited` without a first token: an upstream that hangs is
    /// known as slow before its requests end.
    pub fn record_wait(&mut self, waited: Duration) {
        let seconds = waited.as_secs_f64();
        if self.first_s.is_some_and(|mean| mean < seconds) {
            self.first_s = Some(seconds);
        }
    }
}
