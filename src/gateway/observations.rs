//! What this gateway measures of its upstreams' responses: statistics by release, by which the
//! leader judges rollouts, and the prefill rate of each service.

use std::rc::Rc;
use std::time::Duration;

use super::Gateway;
use super::attempt::CONNECT_TIMEOUT;
use super::call::Call;
use super::routing::Upstream;
use crate::agreement::Index;
use crate::collections::Name;
use crate::http_client;
use crate::peer::ReleaseStats;
use crate::policy::lost_responses::Reached;
use crate::policy::prefill::RateEstimator;
use crate::policy::release_rollout::RouteStats;

/// Key of the response statistics.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct ReleaseStatsKey {
    service: Name,
    route: Name,
    release: Name,
    /// Number of the upstream, which runs the release.
    upstream: Index,
}

/// A request of which no response or only a part of one came.
#[derive(Debug)]
pub(super) struct LostResponse {
    key: ReleaseStatsKey,
    /// Whether it is among the requests already, as its head was.
    is_counted: bool,
}

impl Gateway {
    /// Records that the first token came after `elapsed` from an upstream that had `prefill_tokens`
    /// to process.
    pub(super) fn record_prefill_time(
        &self,
        service: &Name,
        model: Option<Name>,
        prefill_tokens: u64,
        elapsed: Duration,
    ) {
        let mut prefill_rates = self.prefill_rates.borrow_mut();
        let rate = prefill_rates.entry((service.clone(), model)).or_default();
        rate.record_sample(prefill_tokens, elapsed);
    }

    /// Predicts how long an upstream of the service takes for the prefill of `prefill_tokens`;
    /// `None` if its rate is not known yet.
    pub(super) fn predict_prefill_time(
        &self,
        service: &Name,
        model: Option<Name>,
        prefill_tokens: u64,
    ) -> Option<Duration> {
        self.estimate_prefill(service, model, |rate| rate.predict(prefill_tokens))
    }

    /// Predicts how many tokens an upstream of the service prefills in `time`; `None` if its rate
    /// is not known yet.
    pub(super) fn predict_prefill_tokens(
        &self,
        service: &Name,
        model: Option<Name>,
        time: Duration,
    ) -> Option<u64> {
        self.estimate_prefill(service, model, |rate| rate.tokens_in(time))
    }

    /// Returns an estimate for a model. Token counts are scaled to the smallest model, so until
    /// this model has samples, another model of the service serves as an estimate.
    fn estimate_prefill<T>(
        &self,
        service: &Name,
        model: Option<Name>,
        estimate: impl Fn(&RateEstimator) -> Option<T>,
    ) -> Option<T> {
        let prefill_rates = self.prefill_rates.borrow();
        let known = prefill_rates.get(&(service.clone(), model));
        known.and_then(&estimate).or_else(|| {
            let mut same_service = prefill_rates
                .iter()
                .filter(|((name, _), _)| name == service);
            same_service.find_map(|(_, rate)| estimate(rate))
        })
    }

    /// Counts a response of an upstream, successful or not. `time_to_head` is `None` if it does not
    /// count, because the upstream was cold; it is divided by the slowness that the upstream's
    /// machine has among those of the same release.
    pub(super) fn count_response(
        &self,
        call: &Call,
        upstream: &Upstream,
        is_failure: bool,
        time_to_head: Option<Duration>,
    ) {
        let service = upstream.service();
        let slowness = match service.filter(|service| self.manages_load(service)) {
            Some(_) => self.speeds.borrow().learned_in_release(upstream.number),
            None => 1.0,
        };
        self.update_release_stats(call, upstream, |stats| {
            stats.requests += 1;
            stats.failed += u64::from(is_failure);
            if let Some(time_to_head) = time_to_head.filter(|_| !is_failure) {
                stats.record_latency(time_to_head.div_f64(slowness));
            }
        });
    }

    /// Counts a failure of an upstream whose response is unusable.
    pub(super) fn count_failure(&self, call: &Call, upstream: &Upstream) {
        if let Some(key) = self.release_stats_key(call, upstream) {
            self.add_failure(key);
        }
    }

    /// Counts a request of which no response came, unless that is the fault of the link to the upstream.
    pub(super) fn count_lost_response(self: &Rc<Self>, call: &Call, upstream: &Upstream) {
        self.count_loss(call, upstream, false);
    }

    /// Counts the failure of a response that was counted as a success with its head, unless that is the
    /// fault of the link to the upstream.
    pub(super) fn count_broken_response(self: &Rc<Self>, call: &Call, upstream: &Upstream) {
        self.count_loss(call, upstream, true);
    }

    fn count_loss(self: &Rc<Self>, call: &Call, upstream: &Upstream, is_counted: bool) {
        let Some(key) = self.release_stats_key(call, upstream) else {
            return;
        };
        let (gateway, address) = (self.clone(), upstream.address());
        tokio::task::spawn_local(async move {
            let reached = http_client::probe(address, CONNECT_TIMEOUT).await;
            gateway.apply_lost_response(LostResponse { key, is_counted }, reached);
        });
    }

    fn apply_lost_response(&self, response: LostResponse, reached: Reached) {
        let (now, upstream) = (self.now(), response.key.upstream);
        if reached == Reached::Refused {
            let mut reachability = self.reachability.borrow_mut();
            reachability.record_refusal(upstream, now);
            self.load_changed.notify_one();
        }
        let mut lost = self.lost_responses.borrow_mut();
        if let Some(response) = lost.record(response, upstream, reached, now) {
            self.add_loss(response);
        }
    }

    fn add_loss(&self, response: LostResponse) {
        if response.is_counted {
            let mut stats = self.release_stats.borrow_mut();
            stats.entry(response.key).or_default().failed += 1;
        } else {
            self.add_failure(response.key);
        }
    }

    fn add_failure(&self, key: ReleaseStatsKey) {
        let mut stats = self.release_stats.borrow_mut();
        let stats = stats.entry(key).or_default();
        stats.requests += 1;
        stats.failed += 1;
    }

    /// Updates the statistics of the upstream's release.
    fn update_release_stats(
        &self,
        call: &Call,
        upstream: &Upstream,
        update: impl FnOnce(&mut RouteStats),
    ) {
        if let Some(key) = self.release_stats_key(call, upstream) {
            update(self.release_stats.borrow_mut().entry(key).or_default());
        }
    }

    /// Returns the key of the statistics of the upstream's release; `None` outside a rollout, when
    /// they are not used, and for an upstream in an evacuated data centre, whose running requests may
    /// fail because of the maintenance.
    fn release_stats_key(&self, call: &Call, upstream: &Upstream) -> Option<ReleaseStatsKey> {
        let release = upstream.announced.release.as_ref()?;
        let routing = self.routing();
        let service = upstream.service()?;
        if routing.is_evacuated(&upstream.announced.data_centre) {
            return None;
        }
        routing.pool(service)?.new_share?;
        Some(ReleaseStatsKey {
            service: service.clone(),
            route: call.route.name.clone(),
            release: release.clone(),
            upstream: upstream.number,
        })
    }

    /// Returns and clears the statistics since the last call.
    pub(super) fn drain_release_stats(&self) -> Vec<ReleaseStats> {
        let due = {
            let reachability = self.reachability.borrow();
            let mut lost = self.lost_responses.borrow_mut();
            lost.take_due(self.now(), |upstream, at| {
                let alive = reachability.alive_during(upstream);
                alive.is_some_and(|alive| alive.contains(&at))
            })
        };
        for response in due {
            self.add_loss(response);
        }
        self.release_stats
            .borrow_mut()
            .drain()
            .map(|(key, stats)| ReleaseStats {
                service: key.service,
                route: key.route,
                release: key.release,
                upstream: key.upstream,
                stats,
            })
            .collect()
    }

    /// Adds back statistics that could not be sent.
    pub(super) fn restore_release_stats(&self, rows: Vec<ReleaseStats>) {
        let mut stats = self.release_stats.borrow_mut();
        for row in rows {
            let key = ReleaseStatsKey {
                service: row.service,
                route: row.route,
                release: row.release,
                upstream: row.upstream,
            };
            stats.entry(key).or_default().add(&row.stats);
        }
    }
}
