//! Upstreams that one request may use, whatever their load and health.

use std::sync::Arc;
use std::time::Duration;

use super::select;
use crate::config::Organisation;
use crate::entry::Refusal;
use crate::entry::View;
use crate::entry::Worker;
use crate::policy::regions::PermittedRegions;
use crate::policy::regions::region_of;
use crate::state::Target;
use crate::upstream::Announcement;

/// Upstreams that one request may use: not in evacuated data centres, and in the organisation's
/// regions.
pub(super) struct Eligible<'a> {
    worker: &'a Worker,
    view: &'a View,
    permitted: PermittedRegions,
}

impl<'a> Eligible<'a> {
    pub(super) fn new(worker: &'a Worker, view: &'a View, organisation: &Organisation) -> Self {
        let permitted = PermittedRegions::new(&[], &organisation.regions);
        Self::with_regions(worker, view, permitted)
    }

    pub(super) fn with_regions(
        worker: &'a Worker,
        view: &'a View,
        permitted: PermittedRegions,
    ) -> Self {
        Self {
            worker,
            view,
            permitted,
        }
    }

    /// Iterates over the upstreams that serve `target`.
    pub(super) fn upstreams(
        &self,
        target: &Target,
    ) -> impl Iterator<Item = &'a Arc<Announcement>> + '_ {
        let regions = &self.worker.shared.cfg.regions;
        self.view.upstreams(target).iter().filter(|upstream| {
            self.permitted
                .permits(region_of(regions, &upstream.data_centre))
        })
    }

    /// Returns whether an upstream serves `target`.
    pub(super) fn is_served(&self, target: &Target) -> bool {
        self.upstreams(target).next().is_some()
    }

    /// Returns whether `target` has no upstream because of an evacuation or the organisation's
    /// regions.
    pub(super) fn is_barred(&self, target: &Target) -> bool {
        let is_restricted = self.view.has_upstreams(target) || !self.permitted.is_any();
        is_restricted && !self.is_served(target)
    }

    /// Returns the refusal of a request to `target` without an upstream.
    pub(super) fn refusal(&self, target: &Target) -> Refusal {
        if self.view.is_target_evacuated(target) {
            let message = format!(
                "all upstreams of `{target}` are in evacuated data centres; retry the request"
            );
            // The header has whole seconds; two values keep callers from retrying all at once.
            let seconds = if self.worker.draw() < 0.5 { 1 } else { 2 };
            return Refusal {
                retry_after: Some(Duration::from_secs(seconds)),
                ..Refusal::unavailable("evacuated", message)
            };
        }
        if !self.permitted.is_any() && !self.is_served(target) {
            let message = format!(
                "`{target}` has no upstream outside evacuated data centres in a region that your \
                 organisation may use; retry later"
            );
            return Refusal::unavailable("no_upstream_in_region", message);
        }
        select::no_upstream(&target.to_string())
    }
}
