//! Flags of `daisyquay-entry`.

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
use crate::entry::Config;

/// The command line.
pub fn command() -> Command {
    program(
        "daisyquay-entry",
        "Takes callers' requests and routes them; runs on every entry VM",
    )
    .arg(
        address(
            "listen",
            "DAISYQUAY_LISTEN",
            "Where callers and upstreams connect",
        )
        .default_value("127.0.0.1:7400"),
    )
    .arg(address(
        "advertise",
        "DAISYQUAY_ADVERTISE",
        "Where callers are told to connect, if not at --listen",
    ))
    .arg(
        address(
            "admin-listen",
            "DAISYQUAY_ADMIN",
            "Health, readiness and metrics",
        )
        .default_value("127.0.0.1:7401"),
    )
    .arg(name("vm", "DAISYQUAY_VM", "This VM's name"))
    .arg(name(
        "data-centre",
        "DAISYQUAY_DATA_CENTRE",
        "This VM's data centre",
    ))
    .arg(addresses(
        "state",
        "DAISYQUAY_STATE",
        "Peer addresses of the state replicas",
    ))
    .arg(peer_key())
    .arg(address(
        "rater",
        "DAISYQUAY_RATER",
        "The service that rates answers; without it nothing is rated",
    ))
    .arg(
        Arg::new("rating-cost")
            .long("rating-cost")
            .env("DAISYQUAY_RATING_COST")
            .value_name("COST")
            .value_parser(parse_cost)
            .default_value("0")
            .help("Cost of rating one answer, in the unit of the inventory's prices"),
    )
    .arg(number(
        "workers",
        "DAISYQUAY_WORKERS",
        "2",
        "Worker threads",
        1,
        256,
    ))
    .arg(number(
        "connections",
        "DAISYQUAY_CONNECTIONS",
        "4096",
        "Connections that one worker keeps open at most",
        1,
        1_000_000,
    ))
    .arg(number(
        "body-limit",
        "DAISYQUAY_BODY_LIMIT",
        "4194304",
        "Most bytes of a request's body",
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
            .help("How long callers may keep an address answer; a planned stop waits for it"),
    )
}

fn name(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .value_name("NAME")
        .value_parser(parse_name)
        .required(true)
        .help(help)
}

fn number(
    name: &'static str,
    env: &'static str,
    default: &'static str,
    help: &'static str,
    least: u64,
    most: u64,
) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .value_name("N")
        .value_parser(value_parser!(u64).range(least..=most))
        .default_value(default)
        .help(help)
}

fn parse_cost(text: &str) -> Result<f64, String> {
    text.parse()
        .ok()
        .filter(|cost: &f64| cost.is_finite() && *cost >= 0.0)
        .ok_or_else(|| "write a price, 0 or more".to_owned())
}

/// The resolved settings.
pub fn config(matches: &ArgMatches) -> Config {
    let size = |name| usize::try_from(required::<u64>(matches, name)).unwrap_or(usize::MAX);
    Config {
        listen: required(matches, "listen"),
        advertise: optional(matches, "advertise"),
        admin_listen: required(matches, "admin-listen"),
        vm: required(matches, "vm"),
        data_centre: required(matches, "data-centre"),
        state: many(matches, "state"),
        peer_key: required(matches, "peer-key"),
        rater: optional(matches, "rater"),
        rating_cost: required(matches, "rating-cost"),
        workers: size("workers"),
        connections: size("connections"),
        body_limit: size("body-limit"),
        address_ttl: required(matches, "address-valid"),
    }
}
