//! Why no upstream of a service may serve a request, whatever the load and health of the upstreams.

/// What speaks against sending a request to an upstream of a release that may serve it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Its data centre is evacuated.
    pub is_evacuated: bool,
    /// Its region is not one of those in which the request may run.
    pub is_elsewhere: bool,
    /// It takes no more requests because it is about to stop.
    pub is_leaving: bool,
}

/// Cause for which a request has no upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// All upstreams that are not leaving are in evacuated data centres.
    Evacuated,
    /// No upstream outside evacuated data centres is in a permitted region.
    Region,
}

/// Returns the cause for which none of the upstreams may serve a request. `None` if one may, or if
/// the only ones that might are leaving. `has_regions` tells whether the request may run in some
/// regions only.
///
/// Leaving upstreams are no cause beside others, which would serve the request if they were not
/// excluded. An evacuated one counts as evacuated even if it is leaving.
pub fn exclusion(
    upstreams: impl IntoIterator<Item = Standing>,
    has_regions: bool,
) -> Option<Exclusion> {
    let (mut has_evacuated, mut has_elsewhere, mut has_leaving) = (false, false, false);
    for upstream in upstreams {
        match upstream {
            Standing {
                is_evacuated: true, ..
            } => has_evacuated = true,
            Standing {
                is_leaving: true,
                is_elsewhere,
                ..
            } => has_leaving |= !is_elsewhere,
            Standing {
                is_elsewhere: true, ..
            } => has_elsewhere = true,
            Standing { .. } => return None,
        }
    }
    if has_elsewhere {
        Some(Exclusion::Region)
    } else if has_evacuated {
        Some(Exclusion::Evacuated)
    } else {
        (has_regions && !has_leaving).then_some(Exclusion::Region)
    }
}
