//! How fast the upstreams of a service read prompts, learned from the first tokens of answers.
//!
//! Load patterns that this answers: a crowd that comes back at once after a restart, long prompts on
//! slow models, upstreams that were taken away. The forecast tells a queue from a hang, and an
//! answer that is in time from one that is not.

use std::time::Duration;

/// Least work of a sample, in tokens of the smallest model: the first token of a shorter prompt
/// waits for the step of the batch more than for its reading.
const SAMPLE_LEAST: u64 = 4_000;

/// What a sample leaves of the weight of those before it: some twenty speak.
const FADE: f64 = 0.95;

/// Samples after which a forecast is given.
const SAMPLES_LEAST: u32 = 5;

/// Reading speed of one service, as one gateway sees it.
#[derive(Clone, Debug, Default)]
pub struct RateEstimator {
    tokens: f64,
    seconds: f64,
    samples: u32,
}

impl RateEstimator {
    /// Takes a first token that came `took` after its request was sent to an upstream that had
    /// `reading` tokens to read then, the request's own included.
    pub fn record_sample(&mut self, reading: u64, took: Duration) {
        if reading < SAMPLE_LEAST {
            return;
        }
        self.tokens = self.tokens * FADE + reading as f64;
        self.seconds = self.seconds * FADE + took.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
    }

    /// Time in which an upstream reads so many tokens; `None` while too little is known.
    pub fn predict(&self, reading: u64) -> Option<Duration> {
        if self.samples < SAMPLES_LEAST {
            return None;
        }
        Duration::try_from_secs_f64(self.seconds / self.tokens * reading as f64).ok()
    }
}
