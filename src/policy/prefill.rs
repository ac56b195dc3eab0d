//! Estimates how fast the upstreams of a service prefill prompts, from the times to first token.
//!
//! Handles bursts of retries after a restart, long prompts on slow models, and services that have
//! lost upstreams. With the estimate, [`timeouts`](super::timeouts) distinguishes a backlogged
//! upstream from one that hangs, and [`escalation`](super::escalation) decides whether a second
//! prefill would finish in time.

use std::time::Duration;

/// Shortest backlog of a sample, in tokens of the smallest model. The first token of a shorter
/// prompt waits for a batch step rather than for its prefill.
const MIN_SAMPLE_TOKENS: u64 = 4_000;

/// Factor by which each sample reduces the weight of the earlier ones, which leaves about twenty
/// with an effect.
const DECAY: f64 = 0.95;

/// Samples before the first prediction.
const MIN_SAMPLES: u32 = 5;

/// Prefill rate of one service, as one gateway observes it.
#[derive(Clone, Debug, Default)]
pub struct RateEstimator {
    tokens: f64,
    seconds: f64,
    samples: u32,
}

impl RateEstimator {
    /// Records a first token that came `ttft` after its request was sent. The upstream then had
    /// `prefill_tokens` to prefill, those of the request included.
    pub fn record_sample(&mut self, prefill_tokens: u64, ttft: Duration) {
        if !Self::is_sample(prefill_tokens) {
            return;
        }
        self.tokens = self.tokens * DECAY + prefill_tokens as f64;
        self.seconds = self.seconds * DECAY + ttft.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns whether a backlog of that many tokens is long enough for a sample.
    pub fn is_sample(prefill_tokens: u64) -> bool {
        prefill_tokens >= MIN_SAMPLE_TOKENS
    }

    /// Returns the time in which an upstream prefills that many tokens; `None` with too few
    /// samples.
    pub fn predict(&self, prefill_tokens: u64) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        Duration::try_from_secs_f64(self.seconds / self.tokens * prefill_tokens as f64).ok()
    }

    /// Returns the tokens that an upstream prefills in `time`; `None` with too few samples.
    pub fn tokens_in(&self, time: Duration) -> Option<u64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        Some((time.as_secs_f64() * self.tokens / self.seconds) as u64)
    }
}
