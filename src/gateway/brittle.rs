//! Upstreams that fall over if they reject many requests, as they say in their responses.

use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;

use super::Gateway;
use super::backpressure::decimal;
use super::routing::Upstream;
use crate::agreement::Index;
use crate::collections::HashSet;
use crate::log::event;
use crate::policy::brittle::Notice;

/// Time that an update is under way and handled, beside the interval between updates.
const UPDATE_PATH: Duration = Duration::from_millis(15);

impl Gateway {
    /// Records whether the upstream of a response is brittle, and whether it rejected the request for
    /// want of room.
    pub(super) fn record_brittle(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let names = &self.cfg.header_names;
        let now = self.now();
        let notice = Notice {
            upstream: upstream.number,
            rejections_per_s: decimal(headers, &names.brittle).filter(|per_s| per_s.is_finite()),
            age: Duration::ZERO,
            rejected_ago: None,
        };
        let mut brittle = self.brittle.borrow_mut();
        let mut has_news = brittle.apply(&notice, now);
        if has_news {
            event!(
                Info,
                "upstream_brittle",
                upstream = upstream.id(),
                per_s = notice
                    .rejections_per_s
                    .map_or("no".to_owned(), |per_s| per_s.to_string())
            );
        }
        let is_full = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        if is_full.contains(&status)
            && headers.contains_key(&names.not_run)
            && brittle.record_rejection(upstream.number, now)
        {
            has_news = true;
            self.metrics
                .add_to_counter("daisyquay_brittle_rejections", 1, &[]);
        }
        if has_news {
            self.brittle_changed.set(true);
            self.load_changed.notify_one();
        }
    }

    /// Applies what another gateway knows of brittle upstreams.
    pub(super) fn apply_brittle_notices(&self, notices: &[Notice]) {
        let now = self.now();
        let mut brittle = self.brittle.borrow_mut();
        for notice in notices {
            brittle.apply(notice, now);
        }
    }

    /// Returns what the other gateways are to be told; all if `is_full` or if there is news.
    pub(super) fn brittle_notices(&self, is_full: bool) -> Vec<Notice> {
        if !self.brittle_changed.take() && !is_full {
            return Vec::new();
        }
        self.brittle.borrow().notices(self.now())
    }

    /// Returns the time until the other gateways know of a request at a brittle upstream.
    pub(super) fn brittle_lag(&self) -> Duration {
        self.update_age() + UPDATE_PATH
    }

    /// Forgets brittle upstreams that are gone.
    pub(super) fn forget_brittle(&self) {
        let routing = self.routing();
        let known: HashSet<Index> = routing.directory.iter().map(|row| row.number).collect();
        let mut brittle = self.brittle.borrow_mut();
        brittle.retain(self.now(), |upstream| known.contains(&upstream));
    }
}
