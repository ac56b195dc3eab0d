//! Flags of `daisyquay-standin`.

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
use super::parse_share;
use super::program;
use super::required;
use crate::collections::Name;
use crate::config::VersionName;
use crate::standin::Config;

/// The command line.
pub fn command() -> Command {
    program(
        "daisyquay-standin",
        "Stands in for model runners, plain services and the rater; for tests only",
    )
    .arg(
        address("listen", "DAISYQUAY_STANDIN", "Where it takes requests")
            .default_value("127.0.0.1:0"),
    )
    .arg(addresses("entries", "DAISYQUAY_ENTRIES", "Entries to announce to").required(false))
    .arg(text("upstream-key", "Key to announce with"))
    .arg(
        text("id", "Name of the upstream")
            .value_parser(parse_name)
            .default_value("standin"),
    )
    .arg(number(
        "count",
        "1",
        "Upstreams to announce, all at the one address",
    ))
    .arg(
        text("data-centre", "Its data centre")
            .value_parser(parse_name)
            .default_value("dc1"),
    )
    .arg(
        text("versions", "Versions that it serves, as model@version,...")
            .value_delimiter(',')
            .value_parser(parse_version),
    )
    .arg(
        text("service", "Plain service that it serves instead")
            .value_parser(parse_name)
            .conflicts_with("versions"),
    )
    .arg(number("slots", "8", "Requests that it serves at once"))
    .arg(seconds("first", "0.002", "Time to the first token"))
    .arg(seconds("token", "0.0005", "Time between tokens"))
    .arg(seconds("report", "0.5", "Time between load reports"))
    .arg(
        text(
            "quality",
            "What the rater thinks of versions, as model@version=0.8,...",
        )
        .value_delimiter(',')
        .value_parser(parse_quality),
    )
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u32).range(1..=10_000))
        .default_value(default)
        .help(help)
}

fn seconds(name: &'static str, default: &'static str, help: &'static str) -> Arg {
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

/// The resolved settings.
pub fn config(matches: &ArgMatches) -> Config {
    Config {
        listen: required(matches, "listen"),
        entries: many(matches, "entries"),
        upstream_key: optional::<String>(matches, "upstream-key").unwrap_or_default(),
        id: required(matches, "id"),
        count: required(matches, "count"),
        data_centre: required(matches, "data-centre"),
        versions: many(matches, "versions"),
        service: optional::<Name>(matches, "service"),
        slots: required(matches, "slots"),
        initial_delay: required::<Duration>(matches, "first"),
        token_interval: required::<Duration>(matches, "token"),
        report_interval: required::<Duration>(matches, "report"),
        quality: many(matches, "quality"),
    }
}
