//! Coldness of upstreams: what the directory, responses and the end of an evacuation say of it, and
//! the rejection of requests for which no upstream is warm enough.

use std::collections::BTreeSet;
use std::time::Duration;

use http::HeaderMap;

use super::Gateway;
use super::refusal::Refusal;
use super::routing::ServicePool;
use super::routing::Upstream;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::log::event;
use crate::peer::EntryInfo;
use crate::policy::cold_start::Report;
use crate::policy::cold_start::Source;
use crate::policy::cold_start::Transition;
use crate::policy::cold_start::retry_after;
use crate::upstream::Announcement;
use crate::upstream::Directory;
use crate::upstream::Serves;
use crate::upstream::Upstream as Row;

/// Time for which an upstream counts as cold after an evacuation of its data centre: a heartbeat
/// interval of 1.2 s and two renewals, in which its own report arrives.
const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(2);

impl Gateway {
    /// Applies what new and changed rows of the directory say; `known` is the directory without
    /// them.
    pub(super) fn apply_cold_rows(&self, known: &Directory, rows: &[Row]) {
        for row in rows {
            let former = known.get(&row.announced.id);
            if former.is_some_and(|former| former.changed_at > row.changed_at) {
                continue;
            }
            let source = match former {
                Some(former) if former.number == row.number => {
                    // The amount is as old as the announcement, which other changes leave alone.
                    if former.announced == row.announced {
                        continue;
                    }
                    Source::Heartbeat
                }
                _ => Source::NewInstance,
            };
            let remaining = Duration::from_millis(row.announced.cold_ms);
            self.apply_cold_report(&row.announced, row.number, remaining, source);
        }
    }

    /// Applies the remaining cold time in a response of an upstream, if it names one.
    pub(super) fn record_cold_header(&self, upstream: &Upstream, headers: &HeaderMap) {
        let value = headers.get(&self.cfg.header_names.cold_ms);
        let ms: Option<u64> = value
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.trim().parse().ok());
        if let Some(ms) = ms {
            let remaining = Duration::from_millis(ms);
            let source = Source::Response;
            self.apply_cold_report(&upstream.announced, upstream.number, remaining, source);
        }
    }

    /// Treats the upstreams of data centres that are evacuated no longer as cold; `former` are the
    /// data centres that were evacuated before.
    pub(super) fn apply_evacuations_ended(&self, former: &BTreeSet<Name>) {
        let routing = self.routing();
        let Some(config) = &routing.config else {
            return;
        };
        let ended: BTreeSet<&Name> = former.difference(&config.evacuated).collect();
        if ended.is_empty() {
            return;
        }
        let rows = routing.directory.iter();
        for row in rows.filter(|row| ended.contains(&row.announced.data_centre)) {
            let remaining = COLD_AFTER_EVACUATION;
            let source = Source::Evacuation;
            self.apply_cold_report(&row.announced, row.number, remaining, source);
        }
    }

    fn apply_cold_report(
        &self,
        announced: &Announcement,
        number: Index,
        remaining: Duration,
        source: Source,
    ) {
        let report = Report {
            upstream: number,
            remaining,
            source,
            per_s: self.cold_per_s(announced),
        };
        let phase = self.rng.borrow_mut().f64();
        let mut upstreams = self.upstreams.borrow_mut();
        match upstreams.cold_starts.apply(&report, phase, self.now()) {
            Some(Transition::Cold) => log_cold(announced, &report),
            Some(Transition::Warm) => event!(Info, "upstream_warm", upstream = announced.id),
            None => {}
        }
    }

    /// Returns the requests a second that a cold upstream tolerates; 0 for no limit.
    fn cold_per_s(&self, announced: &Announcement) -> f64 {
        let Serves::Service(service) = &announced.serves else {
            return 0.0;
        };
        let routing = self.routing();
        let config = routing.config.as_ref();
        let service = config.and_then(|config| config.inventory.service(service));
        service.map_or(0.0, |service| service.cold_per_s)
    }

    /// Records a grant of the leader in reply to a renewal sent at `sent_at`, with the gateways if
    /// their list has changed.
    pub(super) fn record_cold_start_grant(&self, sent_at: Duration, entries: Option<&[EntryInfo]>) {
        let now = self.now();
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.cold_starts.record_grant(sent_at, now);
        if let Some(entries) = entries {
            // Entries of the chat path have no loads address.
            let gateways = entries.iter().filter(|info| info.loads_address.is_some());
            let listed = gateways.map(|info| info.address);
            upstreams
                .cold_starts
                .set_gateways(self.info.address, listed, now);
        }
    }

    /// Ends cold periods that have passed, and updates the limits of the others.
    pub(super) fn refresh_cold_starts(&self) {
        let now = self.now();
        let routing = self.routing();
        let mut upstreams = self.upstreams.borrow_mut();
        let cold_starts = &mut upstreams.cold_starts;
        let rows: HashMap<Index, &Announcement> = if cold_starts.is_empty() {
            HashMap::default()
        } else {
            let rows = routing.directory.iter();
            rows.map(|row| (row.number, &row.announced)).collect()
        };
        for number in cold_starts.remove_ended(now) {
            if let Some(announced) = rows.get(&number) {
                event!(Info, "upstream_warm", upstream = announced.id);
            }
        }
        cold_starts.retain(|number| rows.contains_key(&number), now);
        let begun = cold_starts.refresh(now, |number| {
            let announced = rows.get(&number);
            announced.map_or(0.0, |announced| self.cold_per_s(announced))
        });
        for report in begun {
            if let Some(announced) = rows.get(&report.upstream) {
                log_cold(announced, &report);
            }
        }
        let lost = cold_starts.take_lost();
        if lost > 0 {
            self.count_cold_turns("lost", lost);
        }
    }

    /// Returns whether an upstream is cold.
    pub(super) fn is_cold(&self, upstream: Index) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.cold_starts.is_cold(upstream, self.now())
    }

    /// Counts turns at cold upstreams that were `used` or `lost`, and requests `refused` for want of
    /// one.
    pub(super) fn count_cold_turns(&self, outcome: &'static str, count: u64) {
        let labels = [("outcome", outcome)];
        self.metrics
            .add_to_counter("daisyquay_cold_turns", count, &labels);
    }

    /// Returns the refusal of a request for which all upstreams of the service in a region that it
    /// `permits`, but the `tried` ones, are limited now, at least one because it is cold; `None` if
    /// that is not so.
    pub(super) fn cold_refusal(
        &self,
        pool: &ServicePool,
        tried: &[Name],
        permits: &dyn Fn(&Upstream) -> bool,
    ) -> Option<Refusal> {
        let (now, sharing) = (self.now(), self.sharing());
        let upstreams = self.upstreams.borrow();
        let backpressure = self.backpressure.borrow();
        let mut has_cold = false;
        let mut wait = Duration::MAX;
        for upstream in &pool.upstreams {
            if tried.contains(upstream.id()) || !permits(upstream) {
                continue;
            }
            // One that is about to leave takes no request any more.
            let Some(other_wait) = backpressure.wait(upstream.number, &sharing, now) else {
                continue;
            };
            let cold_wait = upstreams.cold_starts.wait(upstream.number, now);
            has_cold |= !cold_wait.is_zero();
            wait = wait.min(cold_wait.max(other_wait));
        }
        if !has_cold || wait.is_zero() {
            return None;
        }
        let retry_after = retry_after(wait, self.rng.borrow_mut().f64());
        self.count_cold_turns("refused", 1);
        Some(
            Refusal::unavailable(
                "upstreams_cold",
                "the upstreams are starting and take few requests; retry later",
            )
            .with_retry_after(retry_after),
        )
    }
}

fn log_cold(announced: &Announcement, report: &Report) {
    event!(
        Info,
        "upstream_cold",
        upstream = announced.id,
        ms = report.remaining.as_millis(),
        source = report.source.name()
    );
}
