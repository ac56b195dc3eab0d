//! Why no upstream of a service may serve a request, whatever the load and health of the upstreams.

/// Whether an upstream may serve a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// Its data centre is evacuated.
    pub is_evacuated: bool,
    /// Its region is not one of those in which the request may run.
    pub is_outside_regions: bool,
    /// It takes no more requests because it is about to stop.
    pub is_leaving: bool,
}

/// Cause for which a request has no upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// The upstreams are in evacuated data centres.
    Evacuated,
    /// The upstreams that are neither evacuated nor leaving are in regions that are not permitted.
    Region,
}

/// Returns the cause for which none of the upstreams may serve a request. `None` if one may, or if
/// there are only leaving ones.
///
/// `upstreams` are those of releases that may serve the request, `others` the rest of the service;
/// these are examined only if none of the former may serve it. `has_regions` tells whether the
/// request may run in some regions only.
///
/// Leaving upstreams are no cause beside others, which would serve the request if they were not
/// excluded. An evacuated one counts as evacuated even if it is leaving. One that is also outside
/// the regions counts as outside, because it may not serve the request after the evacuation either,
/// unless the whole service is evacuated.
pub fn exclusion(
    upstreams: impl IntoIterator<Item = Availability>,
    others: impl IntoIterator<Item = Availability>,
    has_regions: bool,
) -> Option<Exclusion> {
    let (mut has_evacuated, mut has_evacuated_outside, mut has_outside) = (false, false, false);
    let (mut all_evacuated, mut has_permitted) = (true, false);
    for upstream in upstreams {
        all_evacuated &= upstream.is_evacuated;
        has_permitted |= !upstream.is_outside_regions;
        match (upstream.is_evacuated, upstream.is_outside_regions) {
            (true, false) => has_evacuated = true,
            (true, true) => has_evacuated_outside = true,
            (false, _) if upstream.is_leaving => {}
            (false, true) => has_outside = true,
            (false, false) => return None,
        }
    }
    if has_outside {
        return Some(Exclusion::Region);
    }
    if has_evacuated {
        return Some(Exclusion::Evacuated);
    }
    for upstream in others {
        all_evacuated &= upstream.is_evacuated;
        has_permitted |= !upstream.is_outside_regions;
    }
    if has_evacuated_outside {
        return Some(if all_evacuated {
            Exclusion::Evacuated
        } else {
            Exclusion::Region
        });
    }
    (has_regions && !has_permitted).then_some(Exclusion::Region)
}
