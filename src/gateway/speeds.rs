//! How slow the upstreams are, as this gateway and the others observe it (see `policy::speed`).

use std::time::Duration;

use http::HeaderMap;

use super::Gateway;
use super::call::Call;
use super::upstreams::InFlightRequest;
use super::upstreams::LOAD_REPORT_TTL;
use super::upstreams::SMALL_SERVICE_REPORT_TTL;
use crate::agreement::Index;
use crate::collections::HashSet;
use crate::collections::Name;
use crate::log::event;
use crate::policy::prefill::RateEstimator;
use crate::policy::speed::Notice;

/// Slots of a service below which gateways publish each changed number of requests at one of its
/// upstreams. With so few, one request more decides whether another has to wait.
const SMALL_SERVICE_SLOTS: u32 = 64;

/// Position of the momentary slowness in the load header, in percent of the usual duration of work.
const PERCENT_POSITION: usize = 3;

/// Upstreams of services that are placed by expected time, as of the last refresh.
#[derive(Debug, Default)]
pub(super) struct ManagedUpstreams {
    /// All of them, by number.
    all: HashSet<Index>,
    /// Upstreams of services with few slots.
    small: HashSet<Index>,
}

impl ManagedUpstreams {
    /// Returns whether a changed number of requests at the upstream is published.
    pub(super) fn is_of_small_service(&self, upstream: Index) -> bool {
        self.small.contains(&upstream)
    }

    /// Returns the age from which load reports of the upstream are ignored.
    pub(super) fn report_ttl(&self, upstream: Index) -> Duration {
        if self.is_of_small_service(upstream) {
            SMALL_SERVICE_REPORT_TTL
        } else {
            LOAD_REPORT_TTL
        }
    }
}

/// Sample of an upstream's speed. It counts once the response is known to be sound: an upstream whose
/// bodies fail may begin them sooner than others.
#[derive(Debug)]
pub(super) enum SpeedSample {
    /// Times until the first token, observed and expected.
    Prefill {
        observed: Duration,
        expected: Duration,
    },
    /// Time to the head of a response of a plain service.
    Plain {
        observed: Duration,
        learned: f64,
        route: Name,
    },
}

impl Gateway {
    /// Computes the learned slowness again and publishes it as metrics and log lines.
    pub(super) fn refresh_speeds(&self) {
        let now = self.now();
        let routing = self.routing();
        let mut managed = ManagedUpstreams::default();
        let mut known = HashSet::default();
        for (service, pool) in routing.pools() {
            known.extend(pool.upstreams.iter().map(|upstream| upstream.number));
            if !self.manages_load(service) {
                continue;
            }
            let numbers = pool.upstreams.iter().map(|upstream| upstream.number);
            managed.all.extend(numbers.clone());
            let slots = pool
                .upstreams
                .iter()
                .map(|upstream| upstream.announced.slots);
            if slots.fold(0, u32::saturating_add) < SMALL_SERVICE_SLOTS {
                managed.small.extend(numbers);
            }
            let upstreams: Vec<(Index, bool)> = pool
                .upstreams
                .iter()
                .map(|upstream| (upstream.number, upstream.is_new))
                .collect();
            let (changes, summary) = self.speeds.borrow_mut().refresh(&upstreams, now);
            for change in changes {
                let mut upstreams = pool.upstreams.iter();
                let Some(upstream) = upstreams.find(|upstream| upstream.number == change.upstream)
                else {
                    continue;
                };
                let slowness = format!("{:.2}", change.slowness);
                let id = upstream.id();
                if change.is_slow {
                    event!(Info, "upstream_slow", upstream = id, slowness = slowness);
                } else {
                    event!(
                        Info,
                        "upstream_not_slow",
                        upstream = id,
                        slowness = slowness
                    );
                }
            }
            let Some(summary) = summary else {
                continue;
            };
            let figures = [
                ("min", summary.min),
                ("median", summary.median),
                ("max", summary.max),
            ];
            for (figure, value) in figures {
                let labels = [("service", &**service), ("figure", figure)];
                let metrics = &self.metrics;
                metrics.set_labelled_gauge("daisyquay_upstream_slowness", value, &labels);
            }
        }
        let mut speeds = self.speeds.borrow_mut();
        speeds.retain(now, |upstream| known.contains(&upstream));
        drop(speeds);
        *self.managed_upstreams.borrow_mut() = managed;
    }

    /// Returns what to tell the other gateways, at most `peer_count` of them.
    pub(super) fn speed_notice(&self, is_full: bool, peer_count: usize) -> Notice {
        let managed = self.managed_upstreams.borrow();
        let accepts = |upstream| managed.all.contains(&upstream);
        let now = self.now();
        let mut speeds = self.speeds.borrow_mut();
        speeds.notice(is_full, peer_count, now, accepts)
    }

    /// Applies what another gateway tells.
    pub(super) fn apply_speed_notice(&self, run_id: u64, notice: &Notice) {
        if !notice.is_empty() {
            let now = self.now();
            self.speeds.borrow_mut().apply(run_id, notice, now);
        }
    }

    /// Returns the usual response time of the request on a plain service; `None` while unknown.
    pub(super) fn usual_response_time(&self, service: &Name, call: &Call) -> Option<Duration> {
        let baselines = self.response_times.borrow();
        baselines.expected(service, &call.route.name)
    }
}

impl InFlightRequest {
    /// Records the momentary slowness that the upstream reports in its response headers, if any.
    pub(super) fn record_momentary_slowness(&self, headers: &HeaderMap) {
        let gateway = &self.gateway;
        let header = headers.get(&gateway.cfg.header_names.load);
        let percent = header
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.split(',').nth(PERCENT_POSITION))
            .and_then(|percent| percent.trim().parse().ok());
        let (Some(percent), Some(service)) = (percent, self.upstream.service()) else {
            return;
        };
        let now = gateway.now();
        let mut speeds = gateway.speeds.borrow_mut();
        speeds.record_momentary(service, self.upstream.number, percent, now);
    }

    /// Takes the time to the response head as a sample of the upstream's speed. It is divided by the
    /// momentary slowness that came with it, which is not to be learned.
    pub(super) fn take_speed_sample(&mut self, call: &Call) {
        let gateway = &self.gateway;
        let Some(service) = self.upstream.service() else {
            return;
        };
        if !gateway.manages_load(service) || self.is_cold() || self.queue.may_have_waited() {
            return;
        }
        let number = self.upstream.number;
        let now = gateway.now();
        let momentary = gateway.speeds.borrow().momentary(number, now);
        let learned = gateway.speeds.borrow().learned(number);
        let elapsed = self.elapsed().div_f64(momentary);
        self.speed_sample = if call.route.affinity {
            let tokens = self.prefill_tokens_ahead;
            gateway
                .predict_prefill_time(service, self.model.clone(), tokens)
                .filter(|_| RateEstimator::is_sample(tokens))
                .map(|expected| SpeedSample::Prefill {
                    observed: elapsed,
                    expected,
                })
        } else {
            // Above its slots, the upstream queues requests, and the wait is not its slowness.
            Some(SpeedSample::Plain {
                observed: elapsed.div_f64(self.utilization.max(1.0)),
                learned,
                route: call.route.name.clone(),
            })
        };
    }

    /// Records the sample, if there is one.
    pub(super) fn commit_speed_sample(&mut self) {
        let gateway = &self.gateway;
        let (Some(sample), Some(service)) = (self.speed_sample.take(), self.upstream.service())
        else {
            return;
        };
        let (observed, expected) = match sample {
            SpeedSample::Prefill { observed, expected } => (observed, Some(expected)),
            SpeedSample::Plain {
                observed,
                learned,
                route,
            } => {
                let mut response_times = gateway.response_times.borrow_mut();
                let expected = response_times.expected(service, &route);
                response_times.record(service, &route, observed.div_f64(learned));
                (observed, expected)
            }
        };
        if let Some(expected) = expected {
            let mut speeds = gateway.speeds.borrow_mut();
            speeds.record_sample(self.upstream.number, observed, expected, gateway.now());
        }
    }
}
