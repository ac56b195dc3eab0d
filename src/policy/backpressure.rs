//! Decides which upstreams must not get a request now, because they asked for it in a response.
//!
//! Handles upstreams in need in front of many gateways: one that names a limit on the requests that
//! it takes from all gateways together, one that wants no request of this gateway for a while, and
//! one that says that it is leaving.
//!
//! A limit is divided evenly: each gateway may send one request in each interval of
//! `gateways / limit`, at a phase of its own. A turn that is not used lapses soon. Otherwise a
//! burst after an idle time would use the turns of all gateways at once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::HashSet;

/// Time for which a gateway may use its turn to send to a limited upstream.
const TURN_TTL: Duration = Duration::from_secs(1);

/// Time after a limit was named during which a response without one does not lift it: responses of
/// several gateways overtake each other.
const LIFT_DELAY: Duration = Duration::from_millis(500);

/// Time for which a lifted limit is remembered, so that late news of it is recognised.
const LIFTED_TTL: Duration = Duration::from_secs(30);

/// Limits that are obeyed as named, in requests a second; others count as the nearest of these.
const MIN_LIMIT: f64 = 0.001;
const MAX_LIMIT: f64 = 1e6;

/// Longest pause that an upstream can ask for.
const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// A limit as one gateway has it, for the others.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// Number of the upstream's incarnation.
    pub upstream: Index,
    /// Requests a second from all gateways together; `None` where the limit was lifted.
    pub limit: Option<f64>,
    /// Time since the response that said so.
    pub age: Duration,
}

/// The gateways that share the limits, as this one sees them.
#[derive(Clone, Copy, Debug)]
pub struct Sharing {
    /// Number of gateways, this one included.
    pub gateways: usize,
    /// When in an interval the turns of this gateway begin, from 0 to 1; different at each gateway.
    pub phase: f64,
}

impl Sharing {
    /// Returns the time between two turns of one gateway.
    fn turn_interval(&self, limit: f64) -> Duration {
        Duration::from_secs_f64(self.gateways.max(1) as f64 / limit.clamp(MIN_LIMIT, MAX_LIMIT))
    }
}

/// An upstream's limit, and this gateway's part of it.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Requests a second from all gateways together; `None` where it was lifted.
    per_s: Option<f64>,
    /// When the upstream last said so.
    said_at: Duration,
    /// When the next turn begins, or the oldest one that may still be used.
    next_turn: Duration,
}

impl Limit {
    /// Returns when the first turn begins that has not lapsed; `None` without a limit.
    fn next_turn(&self, sharing: &Sharing, now: Duration) -> Option<Duration> {
        let interval = sharing.turn_interval(self.per_s?);
        let oldest = now.saturating_sub(TURN_TTL);
        let lapsed = oldest.saturating_sub(self.next_turn).as_secs_f64() / interval.as_secs_f64();
        Some(self.next_turn + interval.mul_f64(lapsed.ceil()))
    }
}

/// Limits, pauses and leaves of the upstreams, by the number of their incarnation.
#[derive(Debug, Default)]
pub struct Backpressure {
    limits: HashMap<Index, Limit>,
    paused_until: HashMap<Index, Duration>,
    leaving: HashSet<Index>,
}

impl Backpressure {
    /// Applies the limit in a response of an upstream, or that there is none, as this gateway or
    /// another one received it. Returns whether that changes the limit.
    pub fn apply_limit(&mut self, notice: &LimitNotice, sharing: &Sharing, now: Duration) -> bool {
        let said_at = now.saturating_sub(notice.age);
        let per_s = notice.limit.filter(|limit| limit.is_finite());
        let Some(known) = self.limits.get_mut(&notice.upstream) else {
            if let Some(limit) = per_s {
                let next_turn = now + sharing.turn_interval(limit).mul_f64(sharing.phase);
                let limit = Limit {
                    per_s,
                    said_at,
                    next_turn,
                };
                self.limits.insert(notice.upstream, limit);
            }
            return per_s.is_some();
        };
        let earliest = match per_s {
            None if known.per_s.is_some() => known.said_at + LIFT_DELAY,
            _ => known.said_at,
        };
        if said_at < earliest {
            return false;
        }
        known.said_at = said_at;
        let has_changed = known.per_s != per_s;
        if has_changed && let Some(limit) = per_s {
            let interval = sharing.turn_interval(limit);
            known.next_turn = if known.per_s.is_some() {
                known.next_turn.min(now + interval)
            } else {
                now + interval.mul_f64(sharing.phase)
            };
        }
        known.per_s = per_s;
        has_changed
    }

    /// Records that an upstream wants no request of this gateway for `pause`.
    pub fn record_pause(&mut self, upstream: Index, pause: Duration, now: Duration) {
        let until = now + pause.min(MAX_PAUSE);
        self.paused_until.insert(upstream, until);
    }

    /// Records that an upstream is leaving, and returns whether that is new. It gets no further
    /// request.
    pub fn record_leaving(&mut self, upstream: Index) -> bool {
        self.leaving.insert(upstream)
    }

    /// Records that a request is sent to an upstream; returns whether that is limited.
    pub fn record_sent(&mut self, upstream: Index, sharing: &Sharing, now: Duration) -> bool {
        let Some(limit) = self.limits.get_mut(&upstream) else {
            return false;
        };
        let (Some(per_s), Some(turn)) = (limit.per_s, limit.next_turn(sharing, now)) else {
            return false;
        };
        limit.next_turn = turn + sharing.turn_interval(per_s);
        true
    }

    /// Returns how long an upstream takes no request of this gateway: zero if it takes one now,
    /// `None` if it takes none any more.
    pub fn wait(&self, upstream: Index, sharing: &Sharing, now: Duration) -> Option<Duration> {
        if self.leaving.contains(&upstream) {
            return None;
        }
        let paused_until = self.paused_until.get(&upstream).copied();
        let limit = self.limits.get(&upstream);
        let turn = limit.and_then(|limit| limit.next_turn(sharing, now));
        let at = paused_until.max(turn).unwrap_or_default();
        Some(at.saturating_sub(now))
    }

    /// Returns when an upstream takes requests of this gateway again, if it has asked for a pause and
    /// is not leaving; `None` without a pause.
    pub fn opens_at(&self, upstream: Index, sharing: &Sharing, now: Duration) -> Option<Duration> {
        self.paused_until
            .get(&upstream)
            .filter(|until| now < **until)?;
        self.wait(upstream, sharing, now).map(|wait| now + wait)
    }

    /// Returns all limits, for the other gateways.
    pub fn notices(&self, now: Duration) -> Vec<LimitNotice> {
        self.limits
            .iter()
            .map(|(&upstream, limit)| LimitNotice {
                upstream,
                limit: limit.per_s,
                age: now.saturating_sub(limit.said_at),
            })
            .collect()
    }

    /// Forgets what has ended, and all about upstreams for which `keep` returns `false`.
    pub fn retain(&mut self, now: Duration, keep: impl Fn(Index) -> bool) {
        self.limits.retain(|&upstream, limit| {
            let is_current = limit.per_s.is_some() || now < limit.said_at + LIFTED_TTL;
            is_current && keep(upstream)
        });
        self.leaving.retain(|&upstream| keep(upstream));
        self.paused_until
            .retain(|&upstream, until| now < *until && keep(upstream));
    }
}
