//! Refusals of requests that no upstream may serve, whatever its load and health.

use std::time::Duration;

use super::Exchange;
use crate::gateway::refusal::Refusal;
use crate::gateway::routing::Upstream;
use crate::policy::exclusion::Availability;
use crate::policy::exclusion::Exclusion;
use crate::policy::exclusion::exclusion;
use crate::policy::regions::region_of;

/// Shortest time after which a request to an evacuated service may be retried.
const MIN_EVACUATED_RETRY: Duration = Duration::from_secs(1);

/// Span after that time over which the retries are spread.
const EVACUATED_RETRY_SPREAD: Duration = Duration::from_secs(1);

impl Exchange {
    /// Returns the refusal of a request that no upstream may serve; `None` if one may, or if there
    /// are only ones that are about to leave.
    pub(super) fn placement_refusal(&self) -> Option<Refusal> {
        let gateway = &self.gateway;
        let service = self.service.as_ref()?;
        let routing = gateway.routing();
        let pool = routing.pool(service).cloned().unwrap_or_default();
        let has_regions = !self.call.regions.is_any();
        if !has_regions && pool.evacuated.is_empty() {
            return None;
        }
        // A request for the new release may be served by both.
        let is_stable_only = self.would_use_new_release(&pool) == Some(false);
        let may_serve = |upstream: &Upstream| !(is_stable_only && upstream.is_new);
        let (now, sharing) = (gateway.now(), gateway.sharing());
        let backpressure = gateway.backpressure.borrow();
        let rows = || {
            let upstreams = pool.upstreams.iter().map(|upstream| (upstream, false));
            upstreams.chain(pool.evacuated.iter().map(|upstream| (upstream, true)))
        };
        let availability = |(upstream, is_evacuated): (&Upstream, bool)| Availability {
            is_evacuated,
            is_outside_regions: !self.permits(upstream),
            is_leaving: backpressure.wait(upstream.number, &sharing, now).is_none(),
        };
        let upstreams = rows().filter(|(upstream, _)| may_serve(upstream));
        let others = rows().filter(|(upstream, _)| !may_serve(upstream));
        let cause = exclusion(
            upstreams.map(availability),
            others.map(availability),
            has_regions,
        );
        match cause? {
            Exclusion::Region => Some(Refusal::unavailable(
                "no_upstream_in_region",
                "no upstream of the service takes the request in a region in which it may run; retry \
                 later",
            )),
            Exclusion::Evacuated => {
                let draw = gateway.rng.borrow_mut().f64();
                let retry_after = MIN_EVACUATED_RETRY + EVACUATED_RETRY_SPREAD.mul_f64(draw);
                let refusal = Refusal::unavailable(
                    "evacuated",
                    "the upstreams that may serve the request are in evacuated data centres; retry \
                     later",
                );
                Some(refusal.with_retry_after(retry_after))
            }
        }
    }

    /// Returns whether the request may run in the region of an upstream.
    pub(super) fn permits(&self, upstream: &Upstream) -> bool {
        let permitted = &self.call.regions;
        permitted.is_any()
            || permitted.permits(region_of(
                &self.gateway.cfg.regions,
                &upstream.announced.data_centre,
            ))
    }
}
