//! Decides whether this gateway reaches the upstreams of a service at all, so that its requests go
//! to another gateway while it does not.
//!
//! Handles a VM that has lost the path to all upstreams of a service, or of all services, while its
//! callers and the other gateways still reach it. Its connections to the upstreams may hang, be
//! reset, or go on while new ones are refused. A single upstream that fails says nothing of the
//! path, and neither does a failure after which another upstream responds.

use std::time::Duration;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::Name;

/// Upstreams that must fail in a row before their service counts as unreachable; all of them in a
/// smaller service.
const FAILED_UPSTREAMS: usize = 2;

/// Weight of the attempts that must fail in a row, also in a service with a single upstream: two whose
/// connections failed, or four without a response, which a slow upstream leaves as well.
const FAILED_WEIGHT: u32 = 4;

/// Time after the last failed attempt from which the failures before it no longer count.
const FAILURE_TTL: Duration = Duration::from_secs(5);

/// Shortest time between two probes of one service; a random part of the same length is added, so
/// that the gateways of a data centre do not return all at once.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which a probe that has not ended is taken to be lost.
const PROBE_LIMIT: Duration = Duration::from_secs(4);

/// Time between two probes by requests that must not run twice. They are used only if no other
/// request comes, since an unsuccessful probe may lose its request.
const RUN_ONCE_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest outage after which the requests return gradually, and the time in which they do.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
const RETURN_TIME: Duration = Duration::from_secs(1);

/// How an attempt ended without a byte of response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened, or it broke.
    Connection,
    /// The upstream was silent until the attempt was given up.
    Silence,
}

impl Failure {
    fn weight(self) -> u32 {
        match self {
            Self::Connection => 2,
            Self::Silence => 1,
        }
    }
}

/// Way of a request to the upstreams of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Over this gateway's own connections.
    Own,
    /// Likewise, as the only request at the time, to find out whether they work again.
    Probe,
    /// Through another gateway.
    OtherGateway,
}

/// What this gateway knows of its paths to the upstreams, by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceReachability {
    services: HashMap<Name, Service>,
}

#[derive(Clone, Debug, Default)]
struct Service {
    /// Upstreams that failed since the last response of one; at most [`FAILED_UPSTREAMS`].
    failed: Vec<Index>,
    /// Weight of their failures.
    failed_weight: u32,
    last_failure: Duration,
    /// `None` while the service is reachable.
    outage: Option<Outage>,
    /// When the last outage ended, if requests still return gradually.
    returning_since: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Outage {
    since: Duration,
    next_probe: Duration,
    next_run_once_probe: Duration,
    /// Whether an upstream has accepted a connection since the last failure.
    can_connect: bool,
}

impl ServiceReachability {
    /// Records an attempt that ended without a byte of response. `upstreams` is the number of
    /// upstreams of the service, and `draw` is uniform from 0 to 1. Returns whether the service has
    /// become unreachable by it.
    pub fn record_failure(
        &mut self,
        service: &Name,
        upstream: Index,
        failure: Failure,
        upstreams: usize,
        draw: f64,
        now: Duration,
    ) -> bool {
        let row = self.services.entry(service.clone()).or_default();
        if let Some(outage) = &mut row.outage {
            outage.can_connect = false;
            outage.next_probe = now + probe_delay(draw);
            return false;
        }
        if now > row.last_failure + FAILURE_TTL {
            row.failed.clear();
            row.failed_weight = 0;
        }
        row.last_failure = now;
        row.failed_weight = row.failed_weight.saturating_add(failure.weight());
        if row.failed.len() < FAILED_UPSTREAMS && !row.failed.contains(&upstream) {
            row.failed.push(upstream);
        }
        let is_unreachable = row.failed_weight >= FAILED_WEIGHT
            && row.failed.len() >= FAILED_UPSTREAMS.min(upstreams);
        if is_unreachable {
            row.returning_since = None;
            row.outage = Some(Outage {
                since: now,
                next_probe: now + probe_delay(draw),
                next_run_once_probe: now + RUN_ONCE_PROBE_INTERVAL,
                can_connect: false,
            });
        }
        is_unreachable
    }

    /// Records a response of an upstream of the service, whatever its status. Returns for how long
    /// the service was unreachable, if it was.
    pub fn record_response(&mut self, service: &Name, now: Duration) -> Option<Duration> {
        let row = self.services.get_mut(service)?;
        row.failed.clear();
        row.failed_weight = 0;
        let Some(outage) = row.outage.take() else {
            if row.returning_since.is_none() {
                self.services.remove(service);
            }
            return None;
        };
        let length = now.saturating_sub(outage.since);
        row.returning_since = (length >= MIN_OUTAGE).then_some(now);
        Some(length)
    }

    /// Returns whether this gateway does not reach the upstreams of a service.
    pub fn is_unreachable(&self, service: &Name) -> bool {
        let row = self.services.get(service);
        row.is_some_and(|row| row.outage.is_some())
    }

    /// Returns the services that are unreachable.
    pub fn unreachable(&self) -> impl Iterator<Item = &Name> {
        let rows = self.services.iter();
        rows.filter(|(_, row)| row.outage.is_some())
            .map(|(service, _)| service)
    }

    /// Chooses the way of a request. `may_repeat` is whether it may run twice, and `draw` is uniform
    /// from 0 to 1.
    pub fn path(&mut self, service: &Name, may_repeat: bool, draw: f64, now: Duration) -> Path {
        let Some(row) = self.services.get_mut(service) else {
            return Path::Own;
        };
        let Some(outage) = &mut row.outage else {
            let Some(since) = row.returning_since else {
                return Path::Own;
            };
            let elapsed = now.saturating_sub(since);
            if elapsed >= RETURN_TIME {
                row.returning_since = None;
            }
            return if elapsed.as_secs_f64() >= draw * RETURN_TIME.as_secs_f64() {
                Path::Own
            } else {
                Path::OtherGateway
            };
        };
        let is_due = outage.can_connect
            && now >= outage.next_probe
            && (may_repeat || now >= outage.next_run_once_probe);
        if !is_due {
            return Path::OtherGateway;
        }
        outage.next_probe = now + PROBE_LIMIT;
        outage.next_run_once_probe = now + RUN_ONCE_PROBE_INTERVAL;
        Path::Probe
    }

    /// Returns the unreachable services to which a connection should be opened now, to find out
    /// whether an upstream accepts it. Its result is due within 4 s.
    pub fn take_due_probes(&mut self, now: Duration) -> Vec<Name> {
        let mut due = Vec::new();
        for (service, row) in &mut self.services {
            if let Some(outage) = &mut row.outage
                && !outage.can_connect
                && now >= outage.next_probe
            {
                outage.next_probe = now + PROBE_LIMIT;
                due.push(service.clone());
            }
        }
        due
    }

    /// Records whether an upstream of the service has accepted a connection. `draw` is uniform from
    /// 0 to 1.
    pub fn record_probe(&mut self, service: &Name, is_connected: bool, draw: f64, now: Duration) {
        let row = self.services.get_mut(service);
        if let Some(outage) = row.and_then(|row| row.outage.as_mut()) {
            outage.can_connect = is_connected;
            outage.next_probe = if is_connected {
                now
            } else {
                now + probe_delay(draw)
            };
        }
    }

    /// Forgets the services for which `keep` returns `false`, and failures that no longer count.
    pub fn retain(&mut self, now: Duration, keep: impl Fn(&Name) -> bool) {
        self.services.retain(|service, row| {
            let is_recent = now <= row.last_failure + FAILURE_TTL;
            keep(service) && (row.outage.is_some() || is_recent)
        });
    }
}

fn probe_delay(draw: f64) -> Duration {
    PROBE_INTERVAL + PROBE_INTERVAL.mul_f64(draw.clamp(0.0, 1.0))
}
