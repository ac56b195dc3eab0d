//! Regions in which a request may run, and the gateways that callers of a host should connect to.

use std::net::SocketAddr;

use crate::collections::HashMap;
use crate::collections::Name;
use crate::config::Route;

/// Returns the region of a data centre: the one in the settings, or one of its own name.
pub fn region_of<'a>(regions: &'a HashMap<Name, Name>, data_centre: &'a str) -> &'a str {
    regions
        .get(data_centre)
        .map_or(data_centre, |region| &**region)
}

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PermittedRegions {
    /// `None` for any region.
    regions: Option<Vec<Name>>,
}

impl PermittedRegions {
    /// Combines the lists of a route and an organisation, each of which is empty for any region.
    pub fn new(route: &[Name], organisation: &[Name]) -> Self {
        let regions = match (route, organisation) {
            ([], []) => None,
            (list, []) | ([], list) => Some(list.to_vec()),
            (route, organisation) => {
                let common = route.iter().filter(|region| organisation.contains(region));
                Some(common.cloned().collect())
            }
        };
        Self { regions }
    }

    /// Returns the regions that all routes of a host permit, or if there is none, those that any of
    /// them permits. A host has no restriction if it has no route or one without regions.
    pub fn of_host<'a>(routes: impl Iterator<Item = &'a Route>) -> Self {
        let mut all: Option<Vec<Name>> = None;
        let mut any: Vec<Name> = Vec::new();
        for route in routes {
            if route.regions.is_empty() {
                return Self::default();
            }
            any.extend(route.regions.iter().cloned());
            all = Some(match all {
                None => route.regions.clone(),
                Some(all) => {
                    let common = all.into_iter().filter(|name| route.regions.contains(name));
                    common.collect()
                }
            });
        }
        Self {
            regions: all.map(|all| if all.is_empty() { any } else { all }),
        }
    }

    /// Returns whether a request may run in any region.
    pub fn is_any(&self) -> bool {
        self.regions.is_none()
    }

    /// Returns whether a request may run in a region.
    pub fn permits(&self, region: &str) -> bool {
        self.regions
            .as_ref()
            .is_none_or(|regions| regions.iter().any(|permitted| **permitted == *region))
    }
}

/// Where a caller is.
#[derive(Clone, Copy, Debug)]
pub struct CallerLocation<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its region; empty if it did not name one.
    pub region: &'a str,
}

/// Returns the addresses of the gateways, given with their data centres, that a caller of a host
/// should connect to: those in its data centre or its region if that is permitted, or else those in
/// permitted regions. If there is none, or the host has no restriction, these are the ones in its
/// data centre, or else all.
pub fn gateways_for_caller(
    gateways: &[(&str, SocketAddr)],
    caller: CallerLocation<'_>,
    permitted: &PermittedRegions,
    regions: &HashMap<Name, Name>,
) -> Vec<SocketAddr> {
    let select = |is_selected: &dyn Fn(&str) -> bool| -> Option<Vec<SocketAddr>> {
        let selected: Vec<SocketAddr> = gateways
            .iter()
            .filter(|(data_centre, _)| is_selected(data_centre))
            .map(|&(_, address)| address)
            .collect();
        (!selected.is_empty()).then_some(selected)
    };
    let is_local = |data_centre: &str| data_centre == caller.data_centre;
    let is_permitted = |data_centre: &str| permitted.permits(region_of(regions, data_centre));
    let is_near = |data_centre: &str| region_of(regions, data_centre) == caller.region;
    let by_region = || {
        select(&|name| is_local(name) && is_permitted(name))
            .or_else(|| select(&|name| is_near(name) && is_permitted(name)))
            .or_else(|| select(&is_permitted))
    };
    let restricted = if permitted.is_any() {
        None
    } else {
        by_region()
    };
    restricted
        .or_else(|| select(&is_local))
        .or_else(|| select(&|_| true))
        .unwrap_or_default()
}
