//! Decides when a gateway may send to an upstream that falls over if it has to reject many requests.
//!
//! Handles upstreams that name the rejections a second which they bear, over all gateways. What the
//! gateways know of each other's requests is some milliseconds old, so each of them would send to the
//! slot that has just become free, and all but one would be rejected. Each gateway therefore takes only
//! its share of the free slots, one request at a time where that is less than one: all of them together
//! send about as many requests as there are free slots until they know of each other's. After a
//! rejection all gateways keep away for a part of a second, the one that got it for longer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::HashMap;

/// Rejections a second that are obeyed as named; others count as the nearest of these.
const MIN_REJECTIONS: f64 = 0.1;
const MAX_REJECTIONS: f64 = 1e4;

/// Longest time for which a gateway sends nothing to an upstream that has rejected a request.
const MAX_REJECTION_WAIT: Duration = Duration::from_secs(1);

/// Part of the free slots that all gateways together use until they know of each other's requests. The
/// rest allows for their random arrival.
const USED_SHARE: f64 = 0.4;

/// Least share of the free slots, for a gateway whose demand is not known.
const MIN_SHARE: f64 = 0.02;

/// Longest cycle of turns, in update lags.
const MAX_CYCLE: f64 = 4096.0;

/// Bounds of the update lag.
const MIN_LAG: Duration = Duration::from_millis(10);
/// See [`MIN_LAG`].
const MAX_LAG: Duration = Duration::from_secs(1);

/// Time after an upstream named its rejections during which a response without them does not lift
/// that: responses of several gateways overtake each other.
const LIFT_DELAY: Duration = Duration::from_millis(500);

/// Time for which an upstream that is no longer brittle is remembered, so that late news is recognised.
const LIFTED_TTL: Duration = Duration::from_secs(30);

/// A brittle upstream as one gateway knows it, for the others.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Notice {
    /// Number of the upstream's incarnation.
    pub upstream: Index,
    /// Rejections a second that it bears from all gateways together; `None` if it is not brittle.
    pub rejections_per_s: Option<f64>,
    /// Time since the response that said so.
    pub age: Duration,
    /// Time since it last rejected a request for want of room; `None` if it has not for a while.
    pub rejected_ago: Option<Duration>,
}

/// Slots and requests of an upstream, as one gateway knows them.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Its slots.
    pub slots: u32,
    /// Its requests, of all gateways.
    pub requests: u32,
    /// Requests of this gateway there that the other gateways may not know of yet.
    pub unseen: u32,
    /// Part of the free slots that this gateway may use.
    pub share: f64,
    /// Time until the other gateways know of a request.
    pub lag: Duration,
}

impl Occupancy {
    /// Returns the requests that this gateway may send until the others know of them.
    fn allowance(&self) -> f64 {
        let free = self.slots.saturating_sub(self.requests);
        if self.share >= 1.0 {
            return f64::from(free);
        }
        let free_before = free.saturating_add(self.unseen);
        f64::from(free_before) * self.share.max(MIN_SHARE) * USED_SHARE
    }
}

#[derive(Clone, Copy, Debug)]
struct Row {
    /// Rejections a second; `None` where the upstream is no longer brittle.
    rejections_per_s: Option<f64>,
    /// When the upstream last said so.
    said_at: Duration,
    own_rejection: Option<Duration>,
    any_rejection: Option<Duration>,
    /// When this gateway last sent a request there.
    sent_at: Option<Duration>,
}

/// The brittle upstreams, by the number of their incarnation.
#[derive(Debug)]
pub struct BrittleUpstreams {
    rows: HashMap<Index, Row>,
    /// Offset of this gateway's turns, from 0 to 1; different at each gateway.
    phase: f64,
}

impl BrittleUpstreams {
    /// Creates an empty table. `phase` is uniform from 0 to 1.
    pub fn new(phase: f64) -> Self {
        Self {
            rows: HashMap::default(),
            phase: phase.clamp(0.0, 1.0),
        }
    }

    /// Applies what an upstream said in a response, as this gateway or another one received it.
    /// Returns whether that changes something.
    pub fn apply(&mut self, notice: &Notice, now: Duration) -> bool {
        let said_at = now.saturating_sub(notice.age);
        let per_s = notice
            .rejections_per_s
            .filter(|per_s| per_s.is_finite())
            .map(|per_s| per_s.clamp(MIN_REJECTIONS, MAX_REJECTIONS));
        if per_s.is_none() && !self.rows.contains_key(&notice.upstream) {
            return false;
        }
        let row = self.rows.entry(notice.upstream).or_insert(Row {
            rejections_per_s: None,
            said_at,
            own_rejection: None,
            any_rejection: None,
            sent_at: None,
        });
        let rejected_at = notice.rejected_ago.map(|ago| now.saturating_sub(ago));
        row.any_rejection = row.any_rejection.max(rejected_at);
        let earliest = match per_s {
            None if row.rejections_per_s.is_some() => row.said_at + LIFT_DELAY,
            _ => row.said_at,
        };
        if said_at < earliest {
            return false;
        }
        row.said_at = said_at;
        std::mem::replace(&mut row.rejections_per_s, per_s) != per_s
    }

    /// Records that an upstream rejected a request of this gateway for want of room; returns whether
    /// it is brittle, so that the other gateways must know.
    pub fn record_rejection(&mut self, upstream: Index, now: Duration) -> bool {
        let row = self.brittle_mut(upstream);
        row.is_some_and(|row| {
            row.own_rejection = Some(now);
            row.any_rejection = Some(now);
            true
        })
    }

    /// Returns whether nothing is known of brittle upstreams.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether an upstream is brittle.
    pub fn contains(&self, upstream: Index) -> bool {
        let row = self.rows.get(&upstream);
        row.is_some_and(|row| row.rejections_per_s.is_some())
    }

    /// Returns how many requests this gateway may send to an upstream now; `None` if it is not
    /// brittle. `gateways` is the number of gateways, this one included.
    pub fn free_slots(
        &self,
        upstream: Index,
        occupancy: &Occupancy,
        gateways: usize,
        now: Duration,
    ) -> Option<u32> {
        let row = self.rows.get(&upstream)?;
        let per_s = row.rejections_per_s?;
        if !rejection_wait(row, per_s, gateways, now).is_zero() {
            return Some(0);
        }
        let free = occupancy.slots.saturating_sub(occupancy.requests);
        let allowance = occupancy.allowance();
        if allowance >= 1.0 {
            let unseen = if occupancy.share < 1.0 {
                occupancy.unseen
            } else {
                0
            };
            return Some((allowance as u32).saturating_sub(unseen).min(free));
        }
        let has_turn = free > 0 && self.has_turn(upstream, row, allowance, occupancy.lag, now);
        Some(u32::from(has_turn))
    }

    /// Returns whether this gateway has a turn at an upstream of which it may use less than one slot,
    /// and has not used it. A turn takes the update lag, and there is one in each cycle of as many
    /// update lags as it takes to earn a slot, rounded up to a power of two. The turns of a longer
    /// cycle are among those of a shorter one, so a change of the free slots gives no further turn.
    fn has_turn(
        &self,
        upstream: Index,
        row: &Row,
        allowance: f64,
        lag: Duration,
        now: Duration,
    ) -> bool {
        let lag = lag.clamp(MIN_LAG, MAX_LAG);
        let cycle = (1.0 / allowance.max(1.0 / MAX_CYCLE)) as u64;
        let cycle = u128::from((cycle + 1).next_power_of_two());
        let offset = lag.mul_f64(self.phase * MAX_CYCLE);
        let turn_at = |at: Duration| (at + offset).as_nanos() / lag.as_nanos();
        let turn = turn_at(now);
        let is_used = row.sent_at.is_some_and(|at| turn_at(at) == turn);
        !is_used && (turn + u128::from(upstream)) % cycle == 0
    }

    /// Records that a request is sent to an upstream.
    pub fn record_sent(&mut self, upstream: Index, now: Duration) {
        if let Some(row) = self.brittle_mut(upstream) {
            row.sent_at = Some(now);
        }
    }

    /// Returns how long this gateway keeps away from an upstream after a rejection, zero if it does
    /// not; `gateways` is the number of gateways, this one included.
    pub fn wait(&self, upstream: Index, gateways: usize, now: Duration) -> Duration {
        let row = self.rows.get(&upstream);
        row.and_then(|row| Some(rejection_wait(row, row.rejections_per_s?, gateways, now)))
            .unwrap_or_default()
    }

    /// Returns all that is known, for the other gateways.
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        self.rows
            .iter()
            .map(|(&upstream, row)| Notice {
                upstream,
                rejections_per_s: row.rejections_per_s,
                age: now.saturating_sub(row.said_at),
                rejected_ago: row
                    .any_rejection
                    .map(|at| now.saturating_sub(at))
                    .filter(|ago| *ago < MAX_REJECTION_WAIT),
            })
            .collect()
    }

    /// Forgets what has ended, and all about upstreams for which `keep` returns `false`.
    pub fn retain(&mut self, now: Duration, keep: impl Fn(Index) -> bool) {
        self.rows.retain(|&upstream, row| {
            let is_current = row.rejections_per_s.is_some() || now < row.said_at + LIFTED_TTL;
            is_current && keep(upstream)
        });
    }

    fn brittle_mut(&mut self, upstream: Index) -> Option<&mut Row> {
        let row = self.rows.get_mut(&upstream)?;
        row.rejections_per_s.is_some().then_some(row)
    }
}

/// Returns how long a gateway keeps away after the last rejection that it knows of, and after its own:
/// if no other gateway knew of it, each of them could get one in that time.
fn rejection_wait(row: &Row, per_s: f64, gateways: usize, now: Duration) -> Duration {
    let until = |rejected_at: Option<Duration>, gateways: usize| {
        let seconds = gateways as f64 / per_s;
        let wait = Duration::from_secs_f64(seconds.min(MAX_REJECTION_WAIT.as_secs_f64()));
        rejected_at.map_or(Duration::ZERO, |at| at + wait)
    };
    until(row.any_rejection, 1)
        .max(until(row.own_rejection, gateways.max(1)))
        .saturating_sub(now)
}
