//! Flags of `daisyquay-entry`.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
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
use crate::entry::Config;

/// The command line of the program.
pub fn command() -> Command {
    program(
        "daisyquay-entry",
        "Routes callers' requests to upstreams; runs on every entry VM",
    )
    .arg(
        address_arg(
            "listen",
            "DAISYQUAY_LISTEN",
            "Address where callers and upstreams connect",
        )
        .default_value("127.0.0.1:7400"),
    )
    .arg(address_arg(
        "advertise",
        "DAISYQUAY_ADVERTISE",
        "Address that callers are given, if it differs from --listen",
    ))
    .arg(
        address_arg(
            "admin-listen",
            "DAISYQUAY_ADMIN",
            "Address of the admin listener: health, readiness and metrics",
        )
        .default_value("127.0.0.1:7401"),
    )
    .arg(name_arg("vm", "DAISYQUAY_VM", "Name of this VM"))
    .arg(name_arg(
        "data-centre",
        "DAISYQUAY_DATA_CENTRE",
        "Data centre of this VM",
    ))
    .arg(regions_arg())
    .arg(address_list_arg(
        "state",
        "DAISYQUAY_STATE",
        "Peer addresses of the state replicas",
    ))
    .arg(peer_key_arg())
    .arg(address_arg(
        "rater",
        "DAISYQUAY_RATER",
        "Address of the service that rates responses; without it no response is rated",
    ))
    .arg(
        Arg::new("rating-cost")
            .long("rating-cost")
            .env("DAISYQUAY_RATING_COST")
            .value_name("COST")
            .value_parser(parse_cost)
            .default_value("0")
            .help("Cost of rating one response, in the unit of the inventory's prices"),
    )
    .arg(integer_arg(
        "workers",
        "DAISYQUAY_WORKERS",
        "2",
        "Number of worker threads",
        1,
        256,
    ))
    .arg(integer_arg(
        "connections",
        "DAISYQUAY_CONNECTIONS",
        "4096",
        "Maximum number of connections that one worker keeps open",
        1,
        1_000_000,
    ))
    .arg(integer_arg(
        "body-limit",
        "DAISYQUAY_BODY_LIMIT",
        "4194304",
        "Maximum size of a request body, in bytes",
        1024,
        1 << 30,
    ))
    .arg(
        Arg::new("address-valid")
            .long("address-valid")
            .env("DAISYQUAY_ADDRESS_VALID")
            .value_name("SECONDS")
            .value_parser(parse_seconds)
            .default_value("10")
            .help(
                "Seconds for which callers may cache an address response; a graceful shutdown \
                 waits this long",
            ),
    )
}

fn name_arg(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .value_name("NAME")
        .value_parser(parse_name)
        .required(true)
        .help(help)
}

fn integer_arg(
    name: &'static str,
    env: &'static str,
    default: &'static str,
    help: &'static str,
    min: u64,
    max: u64,
) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .value_name("N")
        .value_parser(value_parser!(u64).range(min..=max))
        .default_value(default)
        .help(help)
}

fn parse_cost(text: &str) -> Result<f64, String> {
    text.parse()
        .ok()
        .filter(|cost: &f64| cost.is_finite() && *cost >= 0.0)
        .ok_or_else(|| "write a finite number, 0 or more".to_owned())
}

/// The settings resolved from the command line, the environment and defaults.
pub fn config(matches: &ArgMatches) -> Config {
    let to_usize = |name| usize::try_from(required::<u64>(matches, name)).unwrap_or(usize::MAX);
    Config {
        listen: required(matches, "listen"),
        advertise: optional(matches, "advertise"),
        admin_listen: required(matches, "admin-listen"),
        vm: required(matches, "vm"),
        data_centre: required(matches, "data-centre"),
        regions: required(matches, "regions"),
        state: values(matches, "state"),
        peer_key: required(matches, "peer-key"),
        rater: optional(matches, "rater"),
        rating_cost: required(matches, "rating-cost"),
        workers: to_usize("workers"),
        connections: to_usize("connections"),
        body_limit: to_usize("body-limit"),
        address_ttl: required(matches, "address-valid"),
    }
}
