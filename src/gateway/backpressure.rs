//! Limits, pauses and leaves that upstreams name in their responses, and the exchange of the limits
//! with the other gateways.

use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;

use super::Gateway;
use super::routing::ServicePool;
use super::routing::Upstream;
use crate::agreement::Index;
use crate::collections::HashSet;
use crate::log::event;
use crate::policy::backpressure::LimitNotice;
use crate::policy::backpressure::Sharing;

/// Least time after which a caller tries again whose request was not sent to a brittle upstream
/// without room.
const BRITTLE_RETRY_AFTER: Duration = Duration::from_millis(250);

impl Gateway {
    /// Returns how this gateway shares the upstreams' limits with the others.
    pub(super) fn sharing(&self) -> Sharing {
        Sharing {
            gateways: self.routing.borrow().entries.len(),
            phase: self.turn_phase,
        }
    }

    /// Records what a response of an upstream asks for.
    pub(super) fn record_backpressure(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let names = &self.cfg.header_names;
        let now = self.now();
        let number = upstream.number;
        self.record_cold_header(upstream, headers);
        if headers.contains_key(&names.leaving)
            && self.backpressure.borrow_mut().record_leaving(number)
        {
            event!(Info, "upstream_leaving", upstream = upstream.id());
        }
        let pause = decimal(headers, &http::header::RETRY_AFTER)
            .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        if let Some(pause) = pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
            event!(
                Info,
                "upstream_pause",
                upstream = upstream.id(),
                ms = pause.as_millis()
            );
            let mut backpressure = self.backpressure.borrow_mut();
            backpressure.record_pause(number, pause, now);
        }
        let notice = LimitNotice {
            upstream: number,
            limit: decimal(headers, &names.rate_limit),
            age: Duration::ZERO,
        };
        let sharing = self.sharing();
        let mut backpressure = self.backpressure.borrow_mut();
        if backpressure.apply_limit(&notice, &sharing, now) {
            event!(
                Info,
                "upstream_limit",
                upstream = upstream.id(),
                per_s = notice.limit.map_or("none".to_owned(), |n| n.to_string())
            );
            self.limits_changed.set(true);
            self.load_changed.notify_one();
        }
    }

    /// Applies the limits that another gateway was told.
    pub(super) fn apply_limit_notices(&self, notices: &[LimitNotice]) {
        let (now, sharing) = (self.now(), self.sharing());
        let mut backpressure = self.backpressure.borrow_mut();
        for notice in notices {
            backpressure.apply_limit(notice, &sharing, now);
        }
    }

    /// Returns the limits that the other gateways are to be told of; all if `is_full` or if one has
    /// changed.
    pub(super) fn limit_notices(&self, is_full: bool) -> Vec<LimitNotice> {
        if !self.limits_changed.take() && !is_full {
            return Vec::new();
        }
        self.backpressure.borrow().notices(self.now())
    }

    /// Takes a turn at a limited upstream, as a request is sent there.
    pub(super) fn record_sent(&self, upstream: Index, is_first: bool, now: Duration) {
        let sharing = self.sharing();
        let mut backpressure = self.backpressure.borrow_mut();
        self.brittle.borrow_mut().record_sent(upstream, now);
        if backpressure.record_sent(upstream, &sharing, now) {
            let attempt = if is_first { "first" } else { "further" };
            let labels = [("attempt", attempt)];
            self.metrics
                .add_to_counter("daisyquay_limited_attempts", 1, &labels);
        }
    }

    /// Returns how long no upstream of the service in a region that a request `permits` takes one
    /// because of what they have asked for; `None` if that keeps none of them from it.
    pub(super) fn backpressure_wait(
        &self,
        pool: &ServicePool,
        permits: &dyn Fn(&Upstream) -> bool,
    ) -> Option<Duration> {
        let (now, sharing) = (self.now(), self.sharing());
        let backpressure = self.backpressure.borrow();
        let brittle = self.brittle.borrow();
        let wait = |upstream: &Upstream| {
            let number = upstream.number;
            let wait = backpressure.wait(number, &sharing, now)?;
            if !brittle.contains(number) {
                return Some(wait);
            }
            let until_room = brittle.wait(number, sharing.gateways, now);
            Some(wait.max(until_room).max(BRITTLE_RETRY_AFTER))
        };
        pool.upstreams
            .iter()
            .filter(|upstream| permits(upstream))
            .filter_map(wait)
            .min()
            .filter(|wait| !wait.is_zero())
    }

    /// Forgets what upstreams have asked for that are gone, and what has ended.
    pub(super) fn forget_backpressure(&self) {
        let routing = self.routing();
        let known: HashSet<Index> = routing.directory.iter().map(|row| row.number).collect();
        let mut backpressure = self.backpressure.borrow_mut();
        backpressure.retain(self.now(), |upstream| known.contains(&upstream));
    }
}

/// Returns the value of a header that is a decimal number, not negative.
pub(super) fn decimal(headers: &HeaderMap, name: &http::HeaderName) -> Option<f64> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().filter(|value: &f64| *value >= 0.0)
}
