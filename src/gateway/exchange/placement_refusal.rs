//! Refusals of requests that no upstream may serve, whatever its load and health.

use std::time::Duration;

use super::Exchange;
use crate::gateway::refusal::Refusal;
use crate::gateway::routing::ServicePool;
use crate::gateway::routing::Upstream;
use crate::policy::exclusion::Exclusion;
use crate::policy::exclusion::Standing;
use crate::policy::exclusion::exclusion;
use crate::policy::regions::region_of;

/// Shortest time after which a request to an evacuated service may be retried.
const MIN_EVACUATED_RETRY: Duration = Duration::from_secs(1);

/// Span after that time over which the retries are spread.
const EVACUATED_RETRY_SPREAD: Duration = Duration::from_secs(1);

impl Exchange {
    /// Returns the refusal of a request that no upstream may serve; `None` if one may, or if the only
    /// ones that might are about to leave.
    pub(super) fn placement_refusal(&self) -> Option<Refusal> {
        let service = self.service.as_ref()?;
        let routing = self.gateway.routing();
        let pool = routing.pool(service).cloned().unwrap_or_default();
        let has_regions = !self.call.regions.is_any();
        if !has_regions && pool.evacuated.is_empty() {
            return None;
        }
        match exclusion(self.standings(&pool), has_regions)? {
            Exclusion::Region => Some(Refusal::unavailable(
                "no_upstream_in_region",
                "the service has no upstream outside evacuated data centres in a region in which the \
                 request may run; retry later",
            )),
            Exclusion::Evacuated => {
                let draw = self.gateway.rng.borrow_mut().f64();
                let retry_after = MIN_EVACUATED_RETRY + EVACUATED_RETRY_SPREAD.mul_f64(draw);
                let refusal = Refusal::unavailable(
                    "evacuated",
                    "all upstreams that may serve the request are in evacuated data centres; retry \
                     later",
                );
                Some(refusal.with_retry_after(retry_after))
            }
        }
    }

    /// Returns what speaks against each upstream of the service, of those whose release may serve
    /// the request.
    fn standings(&self, pool: &ServicePool) -> Vec<Standing> {
        let gateway = &self.gateway;
        let is_stable_only = self.is_stable_only(pool);
        let (now, sharing) = (gateway.now(), gateway.sharing());
        let backpressure = gateway.backpressure.borrow();
        let standing = |upstream: &Upstream, is_evacuated: bool| Standing {
            is_evacuated,
            is_elsewhere: !self.permits(upstream),
            is_leaving: backpressure.wait(upstream.number, &sharing, now).is_none(),
        };
        let upstreams = pool.upstreams.iter().map(|upstream| (upstream, false));
        let evacuated = pool.evacuated.iter().map(|upstream| (upstream, true));
        upstreams
            .chain(evacuated)
            .filter(|(upstream, _)| !is_stable_only || !upstream.is_new)
            .map(|(upstream, is_evacuated)| standing(upstream, is_evacuated))
            .collect()
    }

    /// Returns whether a rollout restricts the request to the stable release. A request for the new
    /// one may be served by both.
    fn is_stable_only(&self, pool: &ServicePool) -> bool {
        self.uses_new_release(pool) == Some(false)
    }

    /// Returns a function that tells which upstreams of a service the request may use: those of a
    /// release that may serve it, in a permitted region.
    pub(super) fn may_use<'a>(
        &'a self,
        pool: &ServicePool,
    ) -> impl Fn(&Upstream) -> bool + use<'a> {
        let is_stable_only = self.is_stable_only(pool);
        move |upstream| !(is_stable_only && upstream.is_new) && self.permits(upstream)
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
