//! Decides how many requests each gateway may send to an upstream that is cold.
//!
//! Handles upstreams that start during traffic, become cold again at any moment, or return with
//! their whole data centre: while cold they crash if they receive far more requests than they
//! tolerate, and to every gateway they look idle.
//!
//! The tolerated rate is divided into whole requests a second. Each gateway gets an equal part of
//! them, and the gateways with the highest rendezvous hash of the upstream and their address get
//! one more. A gateway with a share of `n` starts its requests at least `1 / n` s apart, so no span
//! of one second holds more than the rate, whatever the phases of the gateways.
//!
//! This holds while the gateways' lists of each other differ, because each list includes all
//! gateways that may send: one that is no longer listed is counted for `RETENTION`, one that
//! joins sends nothing until the others know it, and a longer list never gives a larger share. A
//! gateway that is cut off from the replicas uses half of the rate, since the others will divide
//! the whole of it without that gateway.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use super::placement::seeded_hash;
use crate::agreement::Index;
use crate::collections::HashMap;

/// Longest time for which an upstream counts as cold after a report.
pub const MAX_COLD: Duration = Duration::from_secs(3600);

/// Highest rate that a cold upstream may tolerate, in requests a second.
pub const MAX_RATE: f64 = 10_000.0;

/// Lowest rate that is obeyed as configured, in requests a second.
const MIN_RATE: f64 = 0.001;

/// Most gateways that are counted. A gateway that is not counted itself has no turns.
const GATEWAY_LIMIT: usize = 4_096;

/// Most upstreams with a cold period: as many as the directory may hold.
const PERIOD_LIMIT: usize = 20_000;

/// Time for which a gateway counts after it was last listed: its last requests are under way.
const RETENTION: Duration = Duration::from_secs(10);

/// Time without a grant after which a gateway counts itself as cut off. It is shorter than
/// [`RETENTION`], after which the others do no longer count it.
const CUT_OFF_AFTER: Duration = Duration::from_secs(5);

/// Time from the first list of a gateway, or from an increase of its share from zero, to its first
/// turn: two renewals, in which the others receive the same list, and a second after their last
/// request under the former one.
const JOIN_DELAY: Duration = Duration::from_millis(1800);

/// Longest `Retry-After` of a request that has to wait for a turn.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Least span over which the retries of requests that wait for the same turn are spread.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(500);

/// Unit of `Retry-After` in responses.
const RETRY_AFTER_UNIT: Duration = Duration::from_millis(10);

/// Returns the `Retry-After` of a request for which the earliest turn, or the end of the earliest
/// cold period, comes after `wait`, in whole units. `draw`, from 0 to 1, is random and spreads the
/// retries over half of that time, because more requests are rejected during a long wait. Where
/// `wait` exceeds the limit of 5 s, `Retry-After` ends by that limit, and the request may be rejected
/// again.
pub fn retry_after(wait: Duration, draw: f64) -> Duration {
    let earliest = if wait > MAX_RETRY_AFTER {
        MAX_RETRY_AFTER - MIN_RETRY_SPREAD
    } else {
        wait
    };
    let spread = (earliest / 2).max(MIN_RETRY_SPREAD);
    let spread = spread.min(MAX_RETRY_AFTER - earliest);
    let after = earliest + spread.mul_f64(draw);
    // Rounded up: the nearest unit may be before the turn.
    let units = after.as_nanos().div_ceil(RETRY_AFTER_UNIT.as_nanos());
    RETRY_AFTER_UNIT * units as u32
}

/// How a gateway learnt that an upstream is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A row of the directory that introduces an incarnation, which has had no requests yet.
    NewInstance,
    /// A changed row of the directory.
    Heartbeat,
    /// A header of a response.
    Response,
    /// The end of an evacuation of its data centre, while its own report may be in transit.
    Evacuation,
}

impl Source {
    /// Returns the name of the source in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NewInstance => "new_instance",
            Self::Heartbeat => "heartbeat",
            Self::Response => "response",
            Self::Evacuation => "evacuation",
        }
    }
}

/// Coldness of one upstream, as reported now.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Number of the upstream's incarnation.
    pub upstream: Index,
    /// How much longer it is cold; zero if it is warm.
    pub remaining: Duration,
    /// How the gateway learnt it.
    pub source: Source,
    /// Requests a second that it tolerates from all gateways together; 0 for no limit.
    pub per_s: f64,
}

/// Change of an upstream's state by a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// A cold period began.
    Cold,
    /// The cold period ended early.
    Warm,
}

/// A cold period of an upstream.
#[derive(Clone, Copy, Debug)]
struct Period {
    until: Duration,
    /// Requests a second from all gateways together; 0 for no limit.
    per_s: f64,
    /// Requests a second of this gateway.
    share: u32,
    /// Earliest start of the next request.
    next_turn: Duration,
    /// How the gateway learnt of it.
    source: Source,
    /// Random part of an interval by which the first turn is delayed, from 0 to 1.
    phase: f64,
    /// Whether there has been a limit in the period. Until then its begin is not reported as a
    /// transition, and neither is its end.
    is_reported: bool,
    /// Turns that have passed unused, parts of them included.
    lost: f64,
    /// Time up to which these are counted.
    counted_until: Duration,
}

impl Period {
    /// Returns the least time between the starts of two requests of this gateway.
    fn interval(&self) -> Duration {
        let rate = f64::from(self.share.max(1)).min(self.per_s.max(MIN_RATE));
        // Rounded up, so that no second holds one request more.
        Duration::from_nanos((1e9 / rate).ceil() as u64)
    }

    /// Counts the turns that have passed unused until `now`, while the gateway had `turns` at all.
    fn count_lost(&mut self, turns: &Range<Duration>, now: Duration) {
        if self.share > 0 {
            let begin = turns.start.max(self.next_turn).max(self.counted_until);
            let unused = turns.end.min(self.until).saturating_sub(begin);
            self.lost += unused.div_duration_f64(self.interval());
        }
        self.counted_until = now;
    }
}

/// Cold periods of the upstreams by the number of their incarnation, and the gateways that share
/// the tolerated rates.
#[derive(Debug, Default)]
pub struct ColdStarts {
    periods: HashMap<Index, Period>,
    own: Option<SocketAddr>,
    /// Known gateways, each with the time since which it is not listed any more.
    gateways: HashMap<SocketAddr, Option<Duration>>,
    /// When this gateway's turns begin; `None` until it is listed.
    turns_from: Option<Duration>,
    /// When the renewal was sent that the last grant replied to.
    last_grant: Duration,
    is_cut_off: bool,
    /// Unused turns of periods that have ended.
    lost: f64,
}

impl ColdStarts {
    /// Records a grant in reply to a renewal that was sent at `sent_at`. The leader has counted this
    /// gateway from then on at the earliest; it may have removed it since if the reply was delayed.
    pub fn record_grant(&mut self, sent_at: Duration, now: Duration) {
        self.count_lost(now);
        // After a suspension, no refresh may have found the last grant old before this one arrives.
        let was_cut_off = self.is_cut_off || now >= self.last_grant + CUT_OFF_AFTER;
        self.last_grant = self.last_grant.max(sent_at);
        let is_recent = now < self.last_grant + CUT_OFF_AFTER;
        if was_cut_off && is_recent {
            self.is_cut_off = false;
            self.turns_from = self.turns_from.max(Some(now + JOIN_DELAY));
            self.recompute_shares(now);
        }
    }

    /// Replaces the list of gateways; `own` is the address of this one.
    pub fn set_gateways(
        &mut self,
        own: SocketAddr,
        listed: impl IntoIterator<Item = SocketAddr>,
        now: Duration,
    ) {
        self.count_lost(now);
        self.own = Some(own);
        let was_listed = self.is_listed(own);
        for missing_since in self.gateways.values_mut() {
            missing_since.get_or_insert(now);
        }
        for address in listed {
            if self.gateways.len() < GATEWAY_LIMIT || self.gateways.contains_key(&address) {
                self.gateways.insert(address, None);
            }
        }
        if !was_listed && self.is_listed(own) {
            self.turns_from = self.turns_from.max(Some(now + JOIN_DELAY));
        }
        self.recompute_shares(now);
    }

    /// Applies a report. `phase`, from 0 to 1, is random and spreads the first turns of the
    /// gateways; the limit does not depend on it. Returns the transition of an upstream that has had a
    /// limit in its cold period.
    pub fn apply(&mut self, report: &Report, phase: f64, now: Duration) -> Option<Transition> {
        let upstream = report.upstream;
        let until = now + report.remaining.min(MAX_COLD);
        let turns = self.turns(now);
        if let Some(period) = self.periods.get_mut(&upstream)
            && now < period.until
        {
            period.count_lost(&turns, now);
            if report.remaining.is_zero() {
                self.lost += period.lost;
                let is_reported = period.is_reported;
                self.periods.remove(&upstream);
                return is_reported.then_some(Transition::Warm);
            }
            period.until = match report.source {
                Source::Evacuation => period.until.max(until),
                _ => until,
            };
            return None;
        }
        let has_space = self.periods.len() < PERIOD_LIMIT || self.periods.contains_key(&upstream);
        if report.remaining.is_zero() || !has_space {
            return None;
        }
        let mut period = Period {
            until,
            per_s: report.per_s,
            share: self.share(upstream, report.per_s),
            next_turn: now,
            source: report.source,
            phase,
            is_reported: report.per_s > 0.0,
            lost: 0.0,
            counted_until: now,
        };
        let interval = period.interval();
        period.next_turn += interval.mul_f64(phase);
        if report.source != Source::NewInstance {
            // It may have had requests of this gateway within the last second.
            period.next_turn += interval;
        }
        if let Some(mut former) = self.periods.insert(upstream, period) {
            former.count_lost(&turns, now);
            self.lost += former.lost;
        }
        period.is_reported.then_some(Transition::Cold)
    }

    /// Updates the tolerated rates, which `per_s` returns, and this gateway's shares. Returns the
    /// cold periods that have a limit for the first time, as when the configuration arrives after
    /// the directory.
    pub fn refresh(&mut self, now: Duration, per_s: impl Fn(Index) -> f64) -> Vec<Report> {
        self.count_lost(now);
        let mut has_changed = false;
        let mut limited = Vec::new();
        let mut begun = Vec::new();
        for (&upstream, period) in &mut self.periods {
            let per_s = per_s(upstream);
            has_changed |= period.per_s.to_bits() != per_s.to_bits();
            let had_limit = period.per_s > 0.0;
            period.per_s = per_s;
            if had_limit || !(per_s > 0.0 && now < period.until) {
                continue;
            }
            limited.push(upstream);
            if !std::mem::replace(&mut period.is_reported, true) {
                begun.push(Report {
                    upstream,
                    remaining: period.until - now,
                    source: period.source,
                    per_s,
                });
            }
        }
        if now >= self.last_grant + CUT_OFF_AFTER {
            // The list is kept as it is: the absence of others can't be known.
            has_changed |= !self.is_cut_off;
            self.is_cut_off = true;
        } else {
            let count = self.gateways.len();
            self.gateways
                .retain(|_, missing| missing.is_none_or(|since| now < since + RETENTION));
            has_changed |= self.gateways.len() != count;
        }
        // The work grows with the number of cold upstreams times that of the gateways.
        if has_changed {
            self.recompute_shares(now);
        }
        for upstream in limited {
            if let Some(period) = self.periods.get_mut(&upstream) {
                // The former turn is by the interval without a limit, of up to 1,000 s. The delay
                // covers requests that the upstream has had without a limit.
                let delay = JOIN_DELAY + period.interval().mul_f64(period.phase);
                period.next_turn = now + delay;
            }
        }
        begun
    }

    /// Records that a request is sent to an upstream; returns whether that took a turn.
    pub fn record_sent(&mut self, upstream: Index, now: Duration) -> bool {
        let is_cold = self.is_cold(upstream, now);
        let turns = self.turns(now);
        if let Some(period) = self.periods.get_mut(&upstream).filter(|_| is_cold) {
            period.count_lost(&turns, now);
            period.next_turn = now + period.interval();
        }
        is_cold
    }

    /// Returns whether an upstream is cold and its service has a limit for that.
    pub fn is_cold(&self, upstream: Index, now: Duration) -> bool {
        let period = self.periods.get(&upstream);
        period.is_some_and(|period| now < period.until && period.per_s > 0.0)
    }

    /// Returns how long an upstream takes no request of this gateway because it is cold; zero if it
    /// takes one now.
    pub fn wait(&self, upstream: Index, now: Duration) -> Duration {
        let Some(period) = self.periods.get(&upstream) else {
            return Duration::ZERO;
        };
        if !self.is_cold(upstream, now) {
            return Duration::ZERO;
        }
        let left = period.until.saturating_sub(now);
        let is_outdated = self.is_outdated(now);
        match self.turns_from {
            Some(from) if period.share > 0 && !is_outdated => {
                let turn = period.next_turn.max(from);
                turn.saturating_sub(now).min(left)
            }
            _ => left,
        }
    }

    /// Returns whether no upstream is in a cold period.
    pub fn is_empty(&self) -> bool {
        self.periods.is_empty()
    }

    /// Removes the cold periods that have ended, and returns the upstreams of those that had a
    /// limit.
    pub fn remove_ended(&mut self, now: Duration) -> Vec<Index> {
        self.count_lost(now);
        let ended = self.periods.extract_if(|_, period| now >= period.until);
        let ended = ended.inspect(|(_, period)| self.lost += period.lost);
        let reported = ended.filter(|(_, period)| period.is_reported);
        reported.map(|(upstream, _)| upstream).collect()
    }

    /// Forgets the upstreams for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(Index) -> bool, now: Duration) {
        self.count_lost(now);
        let ended = self.periods.extract_if(|&upstream, _| !keep(upstream));
        self.lost += ended.map(|(_, period)| period.lost).sum::<f64>();
    }

    /// Returns the turns of this gateway that passed unused in the periods that have ended since the
    /// last call. The part of a turn is kept for the next call. Turns at upstreams that take no
    /// requests meanwhile, as in an evacuated data centre, are included.
    pub fn take_lost(&mut self) -> u64 {
        let whole = self.lost.floor();
        self.lost -= whole;
        whole as u64
    }

    fn count_lost(&mut self, now: Duration) {
        let turns = self.turns(now);
        for period in self.periods.values_mut() {
            period.count_lost(&turns, now);
        }
    }

    /// Returns the time up to `now` in which this gateway had turns where it has a share.
    fn turns(&self, now: Duration) -> Range<Duration> {
        let until = if self.is_outdated(now) {
            self.last_grant + CUT_OFF_AFTER
        } else {
            now
        };
        self.turns_from.unwrap_or(until)..until
    }

    /// Returns whether the list may be old although no refresh has found it so yet, as after a
    /// suspension.
    fn is_outdated(&self, now: Duration) -> bool {
        !self.is_cut_off && now >= self.last_grant + CUT_OFF_AFTER
    }

    fn is_listed(&self, gateway: SocketAddr) -> bool {
        self.gateways.get(&gateway).is_some_and(Option::is_none)
    }

    fn recompute_shares(&mut self, now: Duration) {
        let mut periods = std::mem::take(&mut self.periods);
        for (&upstream, period) in &mut periods {
            let former = period.share;
            period.share = self.share(upstream, period.per_s);
            if former == 0 && period.share > 0 {
                period.next_turn = period.next_turn.max(now + JOIN_DELAY);
            }
        }
        self.periods = periods;
    }

    /// Returns the requests a second that this gateway may send to an upstream.
    fn share(&self, upstream: Index, per_s: f64) -> u32 {
        // False also for a number that is not valid.
        let is_limited = per_s > 0.0;
        let Some(own) = self.own.filter(|_| is_limited) else {
            return 0;
        };
        // One that is not listed any more, as on a drained VM, stops at once: the others count it
        // for `RETENTION`, and may have received the list earlier.
        if !self.is_listed(own) {
            return 0;
        }
        let mut total = per_s.clamp(1.0, MAX_RATE) as u32;
        if self.is_cut_off {
            total = total.div_ceil(2);
        }
        let hash = |gateway: SocketAddr| (seeded_hash(&gateway, upstream), gateway);
        let own_hash = hash(own);
        let addresses = self.gateways.keys();
        let higher = addresses
            .filter(|&&gateway| hash(gateway) > own_hash)
            .count();
        let count = self.gateways.len();
        let rest = total as usize % count;
        (total as usize / count + usize::from(higher < rest)) as u32
    }
}
