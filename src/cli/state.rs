//! Flags of `daisyquay-state`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::address;
use super::addresses;
use super::many;
use super::optional;
use super::parse_operator;
use super::peer_key;
use super::program;
use super::required;
use crate::agreement::Settings;
use crate::replica::Config;

/// The command line.
pub fn command() -> Command {
    program(
        "daisyquay-state",
        "Keeps daisyquay's durable state; runs on the VMs with a disk",
    )
    .arg(
        address(
            "listen",
            "DAISYQUAY_STATE_LISTEN",
            "Where other processes connect",
        )
        .default_value("127.0.0.1:7500"),
    )
    .arg(address(
        "advertise",
        "DAISYQUAY_STATE_ADVERTISE",
        "Its address among --replicas, if not --listen",
    ))
    .arg(
        address(
            "admin-listen",
            "DAISYQUAY_STATE_ADMIN",
            "Health, readiness and metrics",
        )
        .default_value("127.0.0.1:7501"),
    )
    .arg(addresses(
        "replicas",
        "DAISYQUAY_REPLICAS",
        "Peer addresses of all state replicas, this one's included",
    ))
    .arg(
        Arg::new("data")
            .long("data")
            .env("DAISYQUAY_DATA")
            .value_name("FOLDER")
            .value_parser(value_parser!(PathBuf))
            .required(true)
            .help("Folder for everything that must survive"),
    )
    .arg(peer_key())
    .arg(
        Arg::new("operators")
            .long("operators")
            .env("DAISYQUAY_OPERATORS")
            .value_name("NAME=SHA256,...")
            .value_delimiter(',')
            .value_parser(parse_operator)
            .help("Operators and the hashes of their keys"),
    )
    .arg(
        Arg::new("snapshot-every")
            .long("snapshot-every")
            .env("DAISYQUAY_SNAPSHOT_EVERY")
            .value_name("ENTRIES")
            .value_parser(value_parser!(u64).range(100..=10_000_000))
            .default_value("20000")
            .help("Log entries after which a snapshot replaces them"),
    )
}

/// The resolved settings.
pub fn config(matches: &ArgMatches) -> Config {
    let listen = required(matches, "listen");
    let replicas: Vec<SocketAddr> = many(matches, "replicas");
    Config {
        listen,
        advertise: optional(matches, "advertise").unwrap_or(listen),
        admin_listen: required(matches, "admin-listen"),
        target_voters: replicas.len(),
        replicas,
        may_bootstrap: true,
        data: required(matches, "data"),
        peer_key: required(matches, "peer-key"),
        operators: many(matches, "operators"),
        snapshot_every: required(matches, "snapshot-every"),
        settings: Settings::default(),
    }
}
