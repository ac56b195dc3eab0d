//! Routes: which requests go to which services, and on what terms.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// It is idempotent.
    #[default]
    Idempotent,
    /// It must run at most once.
    Once,
    /// Its answer is a stream of events; it may run again only where the route lets it resume.
    Stream,
}

/// A service's part of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Service.
    pub service: Name,
    /// Its weight against the others of the route; 0 takes it out.
    pub weight: u32,
}

/// A route: requests to one host whose path begins with one prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Name,
    /// Host that the request names.
    pub host: Name,
    /// Prefix of its path; begins and ends with a slash. The longest one wins.
    pub prefix: Name,
    /// What may be repeated.
    #[serde(default)]
    pub repeat: RetryPolicy,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which the answer, or the first event of a stream, should come, in milliseconds.
    pub target_ms: u64,
    /// Rank against other routes; 0 goes first.
    #[serde(default)]
    pub rank: u32,
    /// Models that may answer, smallest first; empty where the caller names the model.
    #[serde(default)]
    pub ladder: Vec<Name>,
    /// Services by weight.
    pub split: Vec<WeightedService>,
    /// Upstreams that one request may be sent to.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Whether callers without a key are served.
    #[serde(default)]
    pub anonymous: bool,
    /// Whether requests name the parts of their prompt, so that cached ones are worth finding.
    #[serde(default)]
    pub affinity: bool,
    /// Whether a broken stream may go on at another upstream.
    #[serde(default)]
    pub resume: bool,
    /// Longest pause between events of a stream that is on time, in milliseconds; 0 where none is
    /// set.
    #[serde(default)]
    pub gap_ms: u64,
}

fn default_attempts() -> u32 {
    1
}

impl Route {
    /// [`Route::timeout_ms`] as a duration.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// [`Route::target_ms`] as a duration.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// Whether a request that may have run can run again.
    pub fn is_safe_to_retry(&self) -> bool {
        match self.repeat {
            RetryPolicy::Idempotent => true,
            RetryPolicy::Once => false,
            RetryPolicy::Stream => self.resume,
        }
    }

    /// The service for a request, with `draw` uniform from 0 to 1.
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
