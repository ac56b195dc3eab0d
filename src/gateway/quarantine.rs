//! Requests that must not be sent because they crash upstreams, by themselves or by a segment of
//! their prompts: the evidence of this gateway's requests, and the exchange of it with the other
//! gateways.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::Gateway;
use super::call::Call;
use super::refusal::Refusal;
use super::upstreams::InFlightRequest;
use crate::agreement::Index;
use crate::collections::Name;
use crate::http_client;
use crate::log::event;
use crate::policy::crashing_requests;
use crate::policy::crashing_requests::CrashingRequests;
use crate::policy::fingerprint;
use crate::policy::lost_responses::Reached;
use crate::policy::prompt;
use crate::policy::quarantine::Notice;
use crate::policy::quarantine::Quarantine;

/// Time limit for the connection that tells a crash from the loss of one connection. The request
/// waits for it before it is retried.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Notices of one service, for the other gateways.
pub(super) type ServiceNotice = (Name, Notice);

impl Gateway {
    /// Records that a response of an upstream of the service made progress.
    pub(super) fn record_progress(&self, service: &Name, call: &Call) {
        if !self.crashing_requests.borrow().is_empty() {
            let request = call.fingerprints();
            self.update_crashing_requests(|requests, now| requests.record_progress(request, now));
        }
        if call.prompt.shared_segments().is_empty() {
            return;
        }
        let segments = call.prompt.shared_segment_ids();
        self.update_quarantine(service, |quarantine, now| {
            quarantine.record_progress(&segments, now);
        });
    }

    /// Records that a response which had not made progress was interrupted, if its upstream has
    /// crashed.
    pub(super) async fn record_interruption(&self, call: &Call, in_flight: &InFlightRequest) {
        let upstream = &in_flight.upstream;
        let Some(service) = upstream.service() else {
            return;
        };
        let segments = call.prompt.shared_segment_ids();
        if !segments.is_empty() {
            self.update_quarantine(service, Quarantine::record_interruption);
        }
        // Another gateway's reports may describe a fault of its own links.
        let is_known = {
            let reachability = self.reachability.borrow();
            reachability.is_refusing(upstream.number, self.now())
        };
        if !is_known {
            let reached = http_client::probe(upstream.address(), PROBE_TIMEOUT).await;
            if reached != Reached::Refused {
                return;
            }
            in_flight.record_refused_connection();
        }
        let request = call.fingerprints();
        event!(
            Info,
            "crash_suspected",
            request = call.id,
            upstream = upstream.id(),
            segments = prompt::log_text(&segments),
            fingerprint = fingerprint::log_text(request.target)
        );
        let sent_at = in_flight.sent_at();
        self.update_crashing_requests(|requests, now| {
            requests.record_crash(request, upstream.number, sent_at, now);
        });
        if !segments.is_empty() {
            // The same request, sent again, is no further evidence against its segments.
            self.update_quarantine(service, |quarantine, now| {
                quarantine.record_crash(upstream.number, request.target, &segments, now);
            });
        }
    }

    /// Returns how long the request is quarantined at least; `None` if it is not.
    pub(super) fn quarantined_for(&self, service: &Name, call: &Call) -> Option<Duration> {
        let by_itself = {
            let requests = self.crashing_requests.borrow();
            let has_verdict = requests.verdicts().next().is_some();
            has_verdict.then(|| requests.quarantined_for(call.fingerprints(), self.now()))
        };
        by_itself
            .flatten()
            .or_else(|| self.prompt_quarantined_for(service, call))
    }

    /// Returns how long the prompt of the request is quarantined; `None` if it is not.
    fn prompt_quarantined_for(&self, service: &Name, call: &Call) -> Option<Duration> {
        let quarantines = self.quarantines.borrow();
        let quarantine = quarantines.get(service)?;
        quarantine.verdicts().next()?;
        quarantine.quarantined_for(&call.prompt.shared_segment_ids(), self.now())
    }

    /// Returns whether a quarantined request may be sent to see whether the verdict on it or its
    /// prompt still holds. Where the verdict is certain, one of the gateways that know each other does
    /// that for all.
    pub(super) fn try_quarantine_probe(&self, service: &Name, call: &Call) -> bool {
        let is_prober = {
            let peer_loads = self.peer_loads.borrow();
            peer_loads.run_ids().all(|run_id| self.run_id <= run_id)
        };
        let (request, now) = (call.fingerprints(), self.now());
        let mut requests = self.crashing_requests.borrow_mut();
        let is_probe = if requests.quarantined_for(request, now).is_some() {
            requests.try_probe(request, is_prober, now)
        } else {
            let mut quarantines = self.quarantines.borrow_mut();
            let quarantine = quarantines.get_mut(service).filter(|_| is_prober);
            let segments = call.prompt.shared_segment_ids();
            quarantine.is_some_and(|quarantine| quarantine.try_probe(&segments, now))
        };
        if is_probe {
            event!(
                Info,
                "quarantine_probe",
                request = call.id,
                segments = call.prompt.shared_log_text(),
                fingerprint = fingerprint::log_text(request.target)
            );
        }
        is_probe
    }

    /// Returns whether the evidence allows to send the request again after an interruption.
    pub(super) fn quarantine_allows_retry(&self, service: &Name, call: &Call) -> bool {
        let requests = self.crashing_requests.borrow();
        if !requests.is_empty() && !requests.allows_retry(call.fingerprints()) {
            return false;
        }
        let quarantines = self.quarantines.borrow();
        quarantines.get(service).is_none_or(|quarantine| {
            quarantine.allows_retry(&call.prompt.shared_segment_ids(), self.now())
        })
    }

    /// Returns for how long the upstreams that crashed under the request may not be back, and which
    /// these are; `None` if there are none.
    pub(super) fn recent_crashes(&self, call: &Call) -> Option<(Vec<Index>, Duration)> {
        let requests = self.crashing_requests.borrow();
        if requests.is_empty() {
            return None;
        }
        requests.recent_crashes(call.fingerprints(), self.now())
    }

    /// Waits until the request is quarantined.
    pub(super) async fn wait_for_quarantine(&self, service: Option<&Name>, call: &Call) {
        let Some(service) = service else {
            return std::future::pending().await;
        };
        loop {
            let changed = self.quarantine_changed.notified();
            if self.quarantined_for(service, call).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Returns what the other gateways are to be told of requests that crash upstreams.
    pub(super) fn crash_notice(&self, is_full: bool) -> crashing_requests::Notice {
        let mut requests = self.crashing_requests.borrow_mut();
        requests.next_notice(is_full, self.now())
    }

    /// Applies what another gateway has told of requests that crash upstreams.
    pub(super) fn apply_crash_notice(&self, notice: &crashing_requests::Notice) {
        if !notice.is_empty() {
            let notice = self.without_refuted_crashes(notice);
            self.update_crashing_requests(|requests, now| requests.apply(&notice, now));
        }
    }

    /// Forgets the crashes of an upstream at times when it was `alive`.
    pub(super) fn refute_crashes(&self, upstream: Index, alive: &RangeInclusive<Duration>) {
        self.update_crashing_requests(|requests, now| requests.refute(upstream, alive, now));
        self.update_quarantines(|quarantine, _| quarantine.refute(upstream, alive));
    }

    /// Updates the table of requests that crash upstreams, logs the verdicts that this changes, and
    /// wakes the requests that wait for them and the publisher.
    fn update_crashing_requests(&self, update: impl FnOnce(&mut CrashingRequests, Duration)) {
        let mut requests = self.crashing_requests.borrow_mut();
        let before: Vec<u64> = requests.verdicts().collect();
        update(&mut requests, self.now());
        if requests.has_news() {
            self.load_changed.notify_one();
        }
        let after: Vec<u64> = requests.verdicts().collect();
        let is_changed = before.len() != after.len() || !after.iter().all(|v| before.contains(v));
        if !is_changed {
            return;
        }
        for added in after.iter().filter(|verdict| !before.contains(verdict)) {
            event!(
                Warn,
                "request_quarantined",
                fingerprint = fingerprint::log_text(*added),
                crashes = requests.crash_count(*added)
            );
        }
        for removed in before.iter().filter(|verdict| !after.contains(verdict)) {
            event!(
                Warn,
                "request_quarantine_ended",
                fingerprint = fingerprint::log_text(*removed)
            );
        }
        self.metrics
            .set_gauge("daisyquay_quarantined_requests", after.len() as f64);
        self.quarantine_changed.notify_waiters();
    }

    /// Returns what the other gateways are to be told.
    pub(super) fn quarantine_notices(&self, is_full: bool) -> Vec<ServiceNotice> {
        let now = self.now();
        let mut quarantines = self.quarantines.borrow_mut();
        quarantines
            .iter_mut()
            .map(|(service, quarantine)| (service.clone(), quarantine.next_notice(is_full, now)))
            .filter(|(_, notice)| !notice.is_empty())
            .collect()
    }

    /// Applies what another gateway has told.
    pub(super) fn apply_quarantine_notices(&self, notices: &[ServiceNotice]) {
        for (service, notice) in notices {
            // A service that is not known here has no upstreams to protect.
            if self.routing().pool(service).is_some() {
                let known = self.reachability.borrow();
                let now = self.now();
                let mut notice = notice.clone();
                notice.crashes.retain(|crash| {
                    let alive = known.alive_during(crash.upstream);
                    !alive.is_some_and(|alive| alive.contains(&now.saturating_sub(crash.age)))
                });
                drop(known);
                self.update_quarantine(service, |quarantine, now| quarantine.apply(&notice, now));
            }
        }
    }

    /// Forgets what no longer counts.
    pub(super) fn forget_quarantine_evidence(&self) {
        self.update_quarantines(Quarantine::remove_expired);
        self.update_crashing_requests(CrashingRequests::remove_expired);
    }

    /// Reaches the verdicts for which time had to pass.
    pub(super) fn poll_quarantines(&self) {
        self.update_quarantines(Quarantine::poll);
        self.update_crashing_requests(CrashingRequests::poll);
    }

    fn update_quarantines(&self, update: impl Fn(&mut Quarantine, Duration)) {
        let services: Vec<Name> = self.quarantines.borrow().keys().cloned().collect();
        for service in services {
            self.update_quarantine(&service, &update);
        }
    }

    /// Updates the quarantine of a service, logs the verdicts that this changes, and wakes the
    /// requests that wait for them and the publisher.
    fn update_quarantine(&self, service: &Name, update: impl FnOnce(&mut Quarantine, Duration)) {
        let now = self.now();
        let mut quarantines = self.quarantines.borrow_mut();
        let quarantine = quarantines.entry(service.clone()).or_default();
        let verdicts = |quarantine: &Quarantine| -> Vec<Vec<u64>> {
            quarantine.verdicts().map(<[u64]>::to_vec).collect()
        };
        let before = verdicts(quarantine);
        update(quarantine, now);
        if quarantine.has_news() {
            self.load_changed.notify_one();
        }
        let after = verdicts(quarantine);
        if before == after {
            return;
        }
        for added in after.iter().filter(|verdict| !before.contains(verdict)) {
            event!(
                Warn,
                "segments_quarantined",
                service = service,
                segments = prompt::log_text(added),
                crashes = quarantine.crash_count()
            );
        }
        for removed in before.iter().filter(|verdict| !after.contains(verdict)) {
            event!(
                Warn,
                "quarantine_ended",
                service = service,
                segments = prompt::log_text(removed)
            );
        }
        let explained = quarantine.explained_upstreams(now);
        self.crashing_requests.borrow_mut().discount(&explained);
        let count: usize = quarantines.values().map(|q| q.verdicts().count()).sum();
        self.metrics
            .set_gauge("daisyquay_quarantine_verdicts", count as f64);
        self.quarantine_changed.notify_waiters();
    }
}

/// Returns the refusal for a request that is quarantined for `left`.
pub(super) fn refusal(left: Duration) -> Refusal {
    Refusal::unavailable(
        "quarantined",
        "this request or a part of its prompt crashes upstreams; change it, or retry later",
    )
    .with_retry_after(left)
}
