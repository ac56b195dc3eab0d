//! Which regions a request may run in, and which gateways a caller is sent to.

use std::net::SocketAddr;

use daisyquay::collections::HashMap;
use daisyquay::collections::Name;
use daisyquay::config::Route;
use daisyquay::policy::exclusion::Availability;
use daisyquay::policy::exclusion::Exclusion;
use daisyquay::policy::exclusion::exclusion;
use daisyquay::policy::regions::CallerLocation;
use daisyquay::policy::regions::PermittedRegions;
use daisyquay::policy::regions::gateways_for_caller;
use daisyquay::policy::regions::region_of;

/// Data centres of the upstreams and gateways, with their regions; dc5 is not in the settings.
const DATA_CENTRES: [&str; 5] = ["dc1", "dc2", "dc3", "dc4", "dc5"];

fn regions() -> HashMap<Name, Name> {
    let rows = [
        ("dc1", "north"),
        ("dc2", "north"),
        ("dc3", "south"),
        ("dc4", "west"),
    ];
    let rows = rows.into_iter();
    rows.map(|(data_centre, region)| (data_centre.into(), region.into()))
        .collect()
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|&name| name.into()).collect()
}

fn route(regions: &[&str]) -> Route {
    let text =
        "name = \"r\"\nhost = \"h\"\nprefix = \"/\"\ntimeout_ms = 1\ntarget_ms = 1\nsplit = []\n";
    Route {
        regions: names(regions),
        ..toml::from_str(text).unwrap()
    }
}

/// Guards against a request that runs in a region that its route or its organisation excludes.
#[test]
fn request_may_use_upstreams_that_both_its_route_and_its_organisation_permit() {
    let table: [(&[&str], &[&str], &[&str]); 9] = [
        (&[], &[], &DATA_CENTRES),
        (&["north"], &[], &["dc1", "dc2"]),
        (&[], &["north"], &["dc1", "dc2"]),
        (&["north", "south"], &["south", "west"], &["dc3"]),
        (&["north"], &["south"], &[]),
        (&["dc5"], &[], &["dc5"]),
        (&["dc1"], &[], &[]),
        (&["north", "dc5"], &["dc5", "north"], &["dc1", "dc2", "dc5"]),
        (&["elsewhere"], &[], &[]),
    ];
    let regions = regions();
    for (route, organisation, expected) in table {
        let permitted = PermittedRegions::new(&names(route), &names(organisation));
        let usable: Vec<&str> = DATA_CENTRES
            .into_iter()
            .filter(|data_centre| permitted.permits(region_of(&regions, data_centre)))
            .collect();
        assert_eq!(usable, expected, "{route:?} {organisation:?}");
        assert_eq!(
            permitted.is_any(),
            route.is_empty() && organisation.is_empty()
        );
    }
}

fn addresses(
    gateways: &[&str],
    routes: &[&[&str]],
    data_centre: &str,
    region: &str,
) -> Vec<String> {
    let gateways: Vec<(&str, SocketAddr)> = gateways
        .iter()
        .map(|&name| {
            let number: u16 = name[2..].parse().unwrap();
            (name, SocketAddr::from(([10, 0, 0, 1], number)))
        })
        .collect();
    let routes: Vec<Route> = routes.iter().map(|names| route(names)).collect();
    let caller = CallerLocation {
        data_centre,
        region,
    };
    let permitted = PermittedRegions::of_host(routes.iter());
    let addresses = gateways_for_caller(&gateways, caller, &permitted, &regions());
    addresses
        .iter()
        .map(|address| format!("dc{}", address.port()))
        .collect()
}

/// Guards against a caller that is sent to a gateway outside the regions of its host while there is
/// one inside, and against other answers for hosts without regions.
#[test]
fn caller_is_sent_to_gateways_in_the_regions_of_its_host() {
    let all = &DATA_CENTRES;
    let north: &[&str] = &["north"];
    let north_south: &[&str] = &["north", "south"];
    // Its own data centre, its region, permitted regions.
    assert_eq!(addresses(all, &[north], "dc1", "north"), ["dc1"]);
    assert_eq!(addresses(&all[1..], &[north], "dc1", "north"), ["dc2"]);
    assert_eq!(addresses(all, &[north], "dc3", "south"), ["dc1", "dc2"]);
    assert_eq!(addresses(all, &[north_south], "dc9", "south"), ["dc3"]);
    // None is permitted: as for other hosts.
    assert_eq!(addresses(&all[2..], &[north], "dc3", "south"), ["dc3"]);
    assert_eq!(
        addresses(&all[2..4], &[north], "dc1", "north"),
        ["dc3", "dc4"]
    );
    // Not all routes name regions, or there is no route.
    assert_eq!(addresses(all, &[north, &[]], "dc3", "south"), ["dc3"]);
    assert_eq!(addresses(all, &[], "dc3", "south"), ["dc3"]);
    assert_eq!(addresses(&all[..2], &[], "dc3", "south"), ["dc1", "dc2"]);
    // Routes with different lists: what all permit, or else what any permits.
    assert_eq!(
        addresses(all, &[north_south, north], "dc3", "south"),
        ["dc1", "dc2"]
    );
    assert_eq!(
        addresses(all, &[&["south"], north], "dc3", "south"),
        ["dc3"]
    );
    assert!(addresses(&[], &[north], "dc1", "north").is_empty());
}

/// Guards against a rejection that names no cause, or another one, where some upstreams are leaving,
/// evacuated or in other regions.
#[test]
fn exclusion_is_the_cause_of_the_upstreams_that_are_not_leaving() {
    let usable = Availability::default();
    let evacuated = Availability {
        is_evacuated: true,
        ..usable
    };
    let outside = Availability {
        is_outside_regions: true,
        ..usable
    };
    let leaving = Availability {
        is_leaving: true,
        ..usable
    };
    let gone = Availability {
        is_leaving: true,
        ..outside
    };
    let evacuated_outside = Availability {
        is_evacuated: true,
        ..outside
    };
    let (by_evacuation, by_region) = (Some(Exclusion::Evacuated), Some(Exclusion::Region));
    let table: [(&[Availability], &[Availability], _, _); 16] = [
        (&[usable, evacuated, outside], &[], None, None),
        (&[evacuated], &[], by_evacuation, by_evacuation),
        (&[leaving, evacuated], &[], by_evacuation, by_evacuation),
        (&[leaving], &[], None, None),
        (&[], &[], None, by_region),
        (&[leaving, outside], &[], by_region, by_region),
        (&[evacuated, outside], &[], by_region, by_region),
        (&[evacuated, gone], &[], by_evacuation, by_evacuation),
        // Outside the regions even after the evacuation.
        (&[evacuated_outside, leaving], &[], by_region, by_region),
        (&[evacuated_outside, gone], &[], by_region, by_region),
        (&[evacuated_outside], &[usable], by_region, by_region),
        (
            &[evacuated_outside],
            &[evacuated],
            by_evacuation,
            by_evacuation,
        ),
        (
            &[evacuated_outside, evacuated, leaving],
            &[],
            by_evacuation,
            by_evacuation,
        ),
        // A release without upstreams.
        (&[], &[usable], None, None),
        (&[], &[evacuated, outside], None, None),
        (&[], &[outside], None, by_region),
    ];
    for (upstreams, others, any_region, some_regions) in table {
        let found = [false, true]
            .map(|has_regions| exclusion(upstreams.to_vec(), others.to_vec(), has_regions));
        assert_eq!(
            found,
            [any_region, some_regions],
            "{upstreams:?} {others:?}"
        );
    }
}
