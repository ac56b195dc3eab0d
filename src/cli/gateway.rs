//! Flags of `daisyquay-gateway`.

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::address;
use super::addresses;
use super::many;
use super::optional;
use super::parse_name;
use super::parse_seconds;
use super::peer_key;
use super::program;
use super::required;
use crate::collections::Name;
use crate::gateway::Config;
use crate::gateway::HeaderNames;
use crate::policy::retry_budget::Limits;

/// Window over which repeats are bounded.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);

/// Repeats beyond the ratio in one window, over all gateways.
const REPEAT_SLACK: f64 = 50.0;

/// The command line.
pub fn command() -> Command {
    program(
        "daisyquay-gateway",
        "Passes callers' requests on unread, by the routes of the inventory",
    )
    .arg(
        address(
            "listen",
            "DAISYQUAY_GATEWAY_LISTEN",
            "Where callers connect",
        )
        .default_value("127.0.0.1:7600"),
    )
    .arg(
        address(
            "loads-listen",
            "DAISYQUAY_GATEWAY_LOADS",
            "Where it hears of the other gateways' work (UDP)",
        )
        .default_value("127.0.0.1:7601"),
    )
    .arg(address(
        "admin-listen",
        "DAISYQUAY_GATEWAY_ADMIN",
        "Health, readiness and metrics",
    ))
    .arg(
        Arg::new("vm")
            .long("vm")
            .env("DAISYQUAY_VM")
            .value_name("NAME")
            .value_parser(parse_name)
            .required(true)
            .help("Name of this VM"),
    )
    .arg(
        Arg::new("data-centre")
            .long("data-centre")
            .env("DAISYQUAY_DATA_CENTRE")
            .value_name("NAME")
            .value_parser(parse_name)
            .required(true)
            .help("Data centre of this VM"),
    )
    .arg(addresses(
        "state",
        "DAISYQUAY_STATE",
        "Peer addresses of some state replicas",
    ))
    .arg(peer_key())
    .arg(
        Arg::new("body-limit")
            .long("body-limit")
            .env("DAISYQUAY_GATEWAY_BODY_LIMIT")
            .value_name("BYTES")
            .value_parser(value_parser!(u64).range(1024..=1_073_741_824))
            .default_value("8388608")
            .help("Most bytes of a request's body"),
    )
    .arg(
        Arg::new("stop-limit")
            .long("stop-limit")
            .env("DAISYQUAY_GATEWAY_STOP_LIMIT")
            .value_name("SECONDS")
            .value_parser(parse_seconds)
            .default_value("30")
            .help("Time from SIGTERM to the end of the process"),
    )
    .arg(
        Arg::new("repeat-ratio")
            .long("repeat-ratio")
            .env("DAISYQUAY_GATEWAY_REPEAT_RATIO")
            .value_name("RATIO")
            .value_parser(super::parse_share)
            .default_value("0.5")
            .help("Repeats for each request to a service in 10 s, over all gateways"),
    )
}

/// The resolved settings.
pub fn config(matches: &ArgMatches) -> Config {
    let body_limit: u64 = required(matches, "body-limit");
    Config {
        listen: required(matches, "listen"),
        vm: required::<Name>(matches, "vm"),
        data_centre: required::<Name>(matches, "data-centre"),
        state: many(matches, "state"),
        peer_key: required(matches, "peer-key"),
        loads_listen: required(matches, "loads-listen"),
        admin_listen: optional(matches, "admin-listen"),
        body_limit: usize::try_from(body_limit).unwrap_or(usize::MAX),
        stop_limit: required(matches, "stop-limit"),
        retry_budget: Limits {
            ratio: required(matches, "repeat-ratio"),
            slack: REPEAT_SLACK,
            window: REPEAT_WINDOW,
        },
        header_names: HeaderNames::default(),
    }
}
