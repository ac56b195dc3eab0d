//! Refusals of requests that no upstream may serve, whatever its load and health.

use std::time::Duration;

use super::Exchange;
use crate::gateway::refusal::Refusal;
use crate::gateway::routing::Upstream;
use crate::policy::regions::region_of;

/// Shortest time after which a request to an evacuated service may be retried.
const MIN_EVACUATED_RETRY: Duration = Duration::from_secs(1);

/// Span after that time over which the retries are spread.
const EVACUATED_RETRY_SPREAD: Duration = Duration::from_secs(1);

impl Exchange {
    /// Returns the refusal of a request that no upstream may serve; `None` if one may.
    pub(super) fn placement_refusal(&self) -> Option<Refusal> {
        let service = self.service.as_ref()?;
        let routing = self.gateway.routing();
        let pool = routing.pool(service);
        if pool.is_none_or(|pool| !pool.is_evacuated) {
            let upstreams = pool.map_or(&[][..], |pool| &pool.upstreams);
            let is_permitted = self.call.regions.is_any()
                || upstreams.iter().any(|upstream| self.permits(upstream));
            return (!is_permitted).then(|| {
                Refusal::unavailable(
                    "no_upstream_in_region",
                    "the service has no upstream outside evacuated data centres in a region in which \
                     the request may run; retry later",
                )
            });
        }
        let draw = self.gateway.rng.borrow_mut().f64();
        let retry_after = MIN_EVACUATED_RETRY + EVACUATED_RETRY_SPREAD.mul_f64(draw);
        let refusal = Refusal::unavailable(
            "evacuated",
            "all upstreams of the service are in evacuated data centres; retry later",
        );
        Some(refusal.with_retry_after(retry_after))
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
