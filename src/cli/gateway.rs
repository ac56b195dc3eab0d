//! Flags of `daisyquay-gateway`.

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

use super::address_arg;
use super::address_list_arg;
use super::optional;
use super::parse_name;
use super::parse_seconds;
use super::peer_key_arg;
use super::program;
use super::regions_arg;
use super::required;
use super::values;
use crate::collections::Name;
use crate::gateway::AddressFlags;
use crate::gateway::Config;
use crate::gateway::HeaderNames;
use crate::policy::retry_budget::Limits;

/// Window of the retry budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Retries allowed beyond the ratio in one window, across all gateways.
const RETRY_SLACK: f64 = 50.0;

/// The command line of the program.
pub fn command() -> Command {
    program(
        "daisyquay-gateway",
        "Forwards callers' requests by the routes of the inventory, without parsing their bodies",
    )
    .arg(
        address_arg(
            "listen",
            "DAISYQUAY_GATEWAY_LISTEN",
            "Address where callers connect",
        )
        .default_value("127.0.0.1:7600"),
    )
    .arg(
        address_arg(
            "loads-listen",
            "DAISYQUAY_GATEWAY_LOADS",
            "Address for load updates (UDP) and questions (TCP) of the other gateways",
        )
        .default_value("127.0.0.1:7601"),
    )
    .arg(address_arg(
        "admin-listen",
        "DAISYQUAY_GATEWAY_ADMIN",
        "Address of the admin listener: health, readiness and metrics",
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
    .arg(address_list_arg(
        "state",
        "DAISYQUAY_STATE",
        "Peer addresses of some state replicas",
    ))
    .arg(peer_key_arg())
    .arg(
        Arg::new("body-limit")
            .long("body-limit")
            .env("DAISYQUAY_GATEWAY_BODY_LIMIT")
            .value_name("BYTES")
            .value_parser(value_parser!(u64).range(1024..=1_073_741_824))
            .default_value("8388608")
            .help("Maximum size of a request body, in bytes"),
    )
    .arg(
        Arg::new("stop-limit")
            .long("stop-limit")
            .env("DAISYQUAY_GATEWAY_STOP_LIMIT")
            .value_name("SECONDS")
            .value_parser(parse_seconds)
            .default_value("30")
            .help("Maximum time from SIGTERM to the exit of the process, in seconds"),
    )
    .arg(
        Arg::new("repeat-ratio")
            .long("repeat-ratio")
            .env("DAISYQUAY_GATEWAY_REPEAT_RATIO")
            .value_name("RATIO")
            .value_parser(super::parse_share)
            .default_value("0.5")
            .help("Retries allowed per request to a service within 10 s, across all gateways"),
    )
    .arg(
        Arg::new("admission")
            .long("admission")
            .env("DAISYQUAY_ADMISSION")
            .value_parser(PossibleValuesParser::new(["on", "off"]))
            .default_value("off")
            .help("Whether requests wait here, most urgent first, while no upstream has room"),
    )
    .arg(regions_arg())
}

/// The settings resolved from the command line, the environment and defaults.
pub fn config(matches: &ArgMatches) -> Config {
    let body_limit: u64 = required(matches, "body-limit");
    Config {
        listen: required(matches, "listen"),
        vm: required::<Name>(matches, "vm"),
        data_centre: required::<Name>(matches, "data-centre"),
        state: values(matches, "state"),
        contacts: Vec::new(),
        peer_key: required(matches, "peer-key"),
        loads_listen: required(matches, "loads-listen"),
        admin_listen: optional(matches, "admin-listen"),
        body_limit: usize::try_from(body_limit).unwrap_or(usize::MAX),
        stop_limit: required(matches, "stop-limit"),
        retry_budget: Limits::new(required(matches, "repeat-ratio"), RETRY_SLACK, RETRY_WINDOW),
        admission: required::<String>(matches, "admission") == "on",
        regions: required(matches, "regions"),
        header_names: HeaderNames::default(),
        address_flags: AddressFlags::default(),
    }
}
