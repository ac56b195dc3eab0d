//! Routes: which requests go to which services, with their timeouts and retries.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;

/// Whether a request may be retried after an upstream may have run it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// May be retried: the request is idempotent.
    #[default]
    Idempotent,
    /// Must run at most once.
    Once,
    /// The response is a stream of events; may be retried only where the route has
    /// [`resume`](Route::resume) set.
    Stream,
}

/// A service of a route, with its weight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the route's other services; 0 for no requests.
    pub weight: u32,
}

/// A route for the requests to one host whose path begins with one prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Name,
    /// Host name of the requests.
    pub host: Name,
    /// Prefix of the requests' path; begins and ends with a slash. The longest match wins.
    pub prefix: Name,
    /// Whether requests may be retried.
    #[serde(default)]
    pub repeat: RetryPolicy,
    /// Longest time that a caller waits, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the response, or to the first event of a stream, in milliseconds.
    pub target_ms: u64,
    /// Priority rank against other routes; 0 is served first.
    #[serde(default)]
    pub rank: u32,
    /// Models to escalate through, smallest first; empty where the caller names the model.
    #[serde(default)]
    pub ladder: Vec<Name>,
    /// Services among which requests are split by weight.
    pub split: Vec<WeightedService>,
    /// Most upstreams to which one request is sent.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Whether callers without an API key are served.
    #[serde(default)]
    pub anonymous: bool,
    /// Whether requests name the segments of their prompt, so that they can be placed where a
    /// prefix is cached.
    #[serde(default)]
    pub affinity: bool,
    /// Whether a broken stream may be resumed at another upstream.
    #[serde(default)]
    pub resume: bool,
    /// Longest time between events of a stream that counts as on time, in milliseconds; 0 for none.
    #[serde(default)]
    pub gap_ms: u64,
    /// Regions in which its requests may run; empty for any.
    #[serde(default)]
    pub regions: Vec<Name>,
}

fn default_attempts() -> u32 {
    1
}

impl Route {
    /// Returns [`Route::timeout_ms`] as a duration.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns [`Route::target_ms`] as a duration.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// Returns whether a request that an upstream may have run can be retried.
    pub fn is_safe_to_retry(&self) -> bool {
        match self.repeat {
            RetryPolicy::Idempotent => true,
            RetryPolicy::Once => false,
            RetryPolicy::Stream => self.resume,
        }
    }

    /// Picks the service for a request by weight, with `draw` uniform from 0 to 1. Returns `None`
    /// where no service has a weight.
    pub fn pick_service(&self, draw: f64) -> Option<&Name> {
        let total: u64 = self.split.iter().map(|split| u64::from(split.weight)).sum();
        let mut left = draw * total as f64;
        let mut chosen = None;
        for split in self.split.iter().filter(|split| split.weight > 0) {
            chosen = Some(&split.service);
            left -= f64::from(split.weight);
            if left < 0.0 {
                break;
            }
        }
        chosen
    }
}
