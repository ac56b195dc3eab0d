//! Flags of `daisyquay-standin`.

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::address_arg;
use super::address_list_arg;
use super::optional;
use super::parse_name;
use super::parse_seconds;
use super::parse_share;
use super::program;
use super::required;
use super::values;
use crate::collections::Name;
use crate::config::VersionName;
use crate::standin::Config;

/// The command line of the program.
pub fn command() -> Command {
    program(
        "daisyquay-standin",
        "Simulates model runners, plain services and the rater; for tests only",
    )
    .arg(
        address_arg(
            "listen",
            "DAISYQUAY_STANDIN",
            "Address where it accepts requests",
        )
        .default_value("127.0.0.1:0"),
    )
    .arg(
        address_list_arg(
            "entries",
            "DAISYQUAY_ENTRIES",
            "Addresses of the entries to announce itself to",
        )
        .required(false),
    )
    .arg(text_arg(
        "upstream-key",
        "Key that authenticates the announcements",
    ))
    .arg(
        text_arg("id", "Name of the upstream")
            .value_parser(parse_name)
            .default_value("standin"),
    )
    .arg(integer_arg(
        "count",
        "1",
        "Number of upstreams to announce, all with the same address",
    ))
    .arg(
        text_arg("data-centre", "Data centre of the upstream")
            .value_parser(parse_name)
            .default_value("dc1"),
    )
    .arg(
        text_arg("versions", "Model versions to serve, as model@version,...")
            .value_delimiter(',')
            .value_parser(parse_version),
    )
    .arg(
        text_arg(
            "service",
            "Plain service to serve instead of model versions",
        )
        .value_parser(parse_name)
        .conflicts_with("versions"),
    )
    .arg(integer_arg(
        "slots",
        "8",
        "Number of requests that each announced upstream serves concurrently",
    ))
    .arg(seconds_arg(
        "first",
        "0.002",
        "Time to first token, in seconds",
    ))
    .arg(seconds_arg(
        "token",
        "0.0005",
        "Time between tokens, in seconds",
    ))
    .arg(seconds_arg(
        "report",
        "0.5",
        "Interval between load reports, in seconds",
    ))
    .arg(
        text_arg(
            "quality",
            "Scores that the rater gives to versions, as model@version=0.8,...",
        )
        .value_delimiter(',')
        .value_parser(parse_quality),
    )
}

fn text_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

fn integer_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u32).range(1..=10_000))
        .default_value(default)
        .help(help)
}

fn seconds_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("SECONDS")
        .value_parser(parse_seconds)
        .default_value(default)
        .help(help)
}

fn parse_version(text: &str) -> Result<VersionName, String> {
    text.parse()
}

fn parse_quality(text: &str) -> Result<(VersionName, f64), String> {
    let (version, score) = text.split_once('=').ok_or("write model@version=0.8")?;
    Ok((version.parse()?, parse_share(score)?))
}

/// The settings resolved from the command line, the environment and defaults.
pub fn config(matches: &ArgMatches) -> Config {
    Config {
        listen: required(matches, "listen"),
        entries: values(matches, "entries"),
        upstream_key: optional::<String>(matches, "upstream-key").unwrap_or_default(),
        id: required(matches, "id"),
        count: required(matches, "count"),
        data_centre: required(matches, "data-centre"),
        versions: values(matches, "versions"),
        service: optional::<Name>(matches, "service"),
        slots: required(matches, "slots"),
        initial_delay: required::<Duration>(matches, "first"),
        token_interval: required::<Duration>(matches, "token"),
        report_interval: required::<Duration>(matches, "report"),
        quality: values(matches, "quality"),
    }
}
