//! Decides which part of an upstream's free slots a gateway may use, by the demand of all gateways.
//!
//! Handles many gateways that see the same free slots at once, of which some have far more callers
//! than others, and updates that are late or lost.
//!
//! The gateways know different values, and the sum of their shares must not exceed 1 nevertheless.
//! So a gateway counts as its own demand the lowest value that it has published in the last
//! [`WINDOW`], and as that of another the highest that it has received in it. If one update of each
//! gateway within the window has arrived at each other one, no gateway counts more for itself than
//! the others count for it.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::HashMap;

/// Time for which a published demand counts. Each gateway must receive at least one update of each
/// other gateway within it, or the sum of the shares may exceed 1. An update takes up to 0.49 s with
/// 360 gateways and up to 0.13 s with 94.
pub const WINDOW: Duration = Duration::from_millis(650);

/// Longest time between two updates of a gateway that has demand.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a dispatched request counts as demand. With the two above, the transit time of an
/// update (0.13 s with 94 gateways, 0.49 s with 360) and the time for which a share is used again
/// (0.05 s), a share follows the demand within 1.13 s and 1.49 s, if no update is lost.
pub const DISPATCH_SPAN: Duration = Duration::from_millis(200);

/// Maximum number of services in an update.
pub const MAX_ROWS: usize = 16;

/// Maximum size of a notice in an update, in bytes: its presence, the length and up to 8 for each
/// service.
pub const MAX_NOTICE_BYTES: usize = 2 + 8 * MAX_ROWS;

/// Part of the capacity that is divided equally, so that a gateway whose first requests have just
/// arrived is not kept waiting for its demand to become known.
const EQUAL_PART: f64 = 0.25;

/// Maximum number of notices that are kept of one gateway.
const MAX_NOTICES: usize = 64;

/// Maximum number of dispatched requests that count.
const MAX_DISPATCHES: usize = 1024;

/// Dispatches of a service in the last [`DISPATCH_SPAN`].
#[derive(Debug, Default)]
pub struct RecentDispatches(VecDeque<Duration>);

impl RecentDispatches {
    /// Records the dispatch of a request.
    pub fn record(&mut self, now: Duration) {
        if self.count(now) >= MAX_DISPATCHES {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns the number of requests that have been dispatched recently.
    pub fn count(&mut self, now: Duration) -> usize {
        while self.0.front().is_some_and(|at| *at + DISPATCH_SPAN <= now) {
            self.0.pop_front();
        }
        self.0.len()
    }
}

/// Demand of one gateway by service, as it is sent in updates.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Hash of a service's name, and the requests that are queued or were dispatched recently. A
    /// service that is missing has no demand, unless there is no space for it.
    rows: Vec<(u32, u16)>,
}

impl Notice {
    /// Creates a notice of the services with the most demand, at most [`MAX_ROWS`].
    pub fn new(demands: impl Iterator<Item = (u32, usize)>) -> Self {
        let mut rows: Vec<(u32, u16)> = demands
            .filter(|(_, demand)| *demand > 0)
            .map(|(service, demand)| (service, u16::try_from(demand).unwrap_or(u16::MAX)))
            .collect();
        rows.sort_unstable_by_key(|&(service, demand)| (std::cmp::Reverse(demand), service));
        rows.truncate(MAX_ROWS);
        Self { rows }
    }

    /// Returns the number of services in the notice.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the demand for a service; `None` if it is not known.
    fn of(&self, service: u32) -> Option<u16> {
        let rows = self.rows.iter().take(MAX_ROWS);
        let row = rows.clone().find(|(key, _)| *key == service);
        match row {
            Some(&(_, demand)) => Some(demand),
            None => (rows.len() < MAX_ROWS).then_some(0),
        }
    }
}

/// Notices of one gateway, the oldest first.
type Notices = VecDeque<(Duration, Notice)>;

/// Demand of this gateway and the others.
#[derive(Debug, Default)]
pub struct Demands {
    /// Published in the last [`WINDOW`], and the one before.
    own: Notices,
    /// Received in the last [`WINDOW`], or the last one, by run id of the gateway.
    others: HashMap<u64, Notices>,
}

impl Demands {
    /// Returns whether a notice must be published though nothing else has changed.
    pub fn is_due(&self, notice: &Notice, now: Duration) -> bool {
        self.own.back().is_none_or(|(at, _)| {
            let has_demand = !notice.rows.is_empty() || self.had_demand();
            has_demand && now >= *at + REPEAT_INTERVAL
        })
    }

    /// Returns whether this gateway has published any demand recently. The end of it is repeated,
    /// because a lost update would otherwise leave the others with the last demand.
    pub fn had_demand(&self) -> bool {
        self.own.iter().any(|(_, notice)| !notice.rows.is_empty())
    }

    /// Records that a notice is published.
    pub fn record_published(&mut self, notice: Notice, now: Duration) {
        while self.own.get(1).is_some_and(|(at, _)| *at + WINDOW <= now) {
            self.own.pop_front();
        }
        // The lowest value of the window counts, so the ones between two others must be kept. A
        // gateway publishes at most every 10 ms.
        self.own.push_back((now, notice));
    }

    /// Applies a notice of another gateway, which is newer than those before.
    pub fn apply(&mut self, gateway: u64, notice: Notice, now: Duration) {
        let notices = self.others.entry(gateway).or_default();
        while notices.len() >= MAX_NOTICES
            || notices.front().is_some_and(|(at, _)| *at + WINDOW <= now)
        {
            notices.pop_front();
        }
        notices.push_back((now, notice));
    }

    /// Forgets the gateways for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.others.retain(|&gateway, _| keep(gateway));
    }

    /// Returns the part of the free slots of a service's upstreams that this gateway may use, from 0
    /// to 1. `gateways` is the number of all gateways, and `others` are the run ids of those from
    /// which updates are received. Those that `is_busy` with requests to the service and whose
    /// demand is not known count as much as the others on average.
    pub fn share(
        &self,
        service: u32,
        gateways: usize,
        others: impl Iterator<Item = u64>,
        is_busy: impl Fn(u64) -> bool,
        now: Duration,
    ) -> f64 {
        if gateways <= 1 {
            return 1.0;
        }
        let Some(own) = self.own_demand(service, now) else {
            return 0.0;
        };
        let own = f64::from(own);
        let mut total = own;
        let (mut known, mut unknown) = (1, 0);
        for gateway in others {
            match self.demand_of(gateway, service, now) {
                Some(0) => {}
                Some(demand) => {
                    total += f64::from(demand);
                    known += 1;
                }
                None => unknown += u32::from(is_busy(gateway)),
            }
        }
        let equal = 1.0 / gateways as f64;
        if total == 0.0 {
            return if unknown == 0 {
                equal
            } else {
                EQUAL_PART * equal
            };
        }
        let known_part = f64::from(known) / f64::from(known + unknown);
        (1.0 - EQUAL_PART) * own / total * known_part + EQUAL_PART * equal
    }

    /// Returns the lowest demand of this gateway that another may know; `None` if the gateway has
    /// not published for long enough.
    fn own_demand(&self, service: u32, now: Duration) -> Option<u16> {
        let since = now.checked_sub(WINDOW)?;
        let is_before = |(at, _): &&(Duration, Notice)| *at <= since;
        let before = self.own.iter().rev().find(is_before)?;
        let later = self.own.iter().rev().take_while(|(at, _)| *at > since);
        let values = later.chain([before]);
        values
            .map(|(_, notice)| notice.of(service).unwrap_or_default())
            .min()
    }

    /// Returns the highest recent demand of another gateway; `None` if it is not known.
    fn demand_of(&self, gateway: u64, service: u32, now: Duration) -> Option<u16> {
        let notices = self.others.get(&gateway)?;
        let recent = notices.iter().filter(|(at, _)| now < *at + WINDOW);
        let mut highest = None;
        for (_, notice) in recent {
            highest = highest.max(Some(notice.of(service)?));
        }
        // A gateway without demand publishes more rarely than one with demand.
        let last = || notices.back()?.1.of(service).filter(|demand| *demand == 0);
        highest.or_else(last)
    }
}
