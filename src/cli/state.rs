//! Flags of `daisyquay-state`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::address_arg;
use super::address_list_arg;
use super::optional;
use super::parse_data_centres;
use super::parse_operator;
use super::peer_key_arg;
use super::program;
use super::required;
use super::values;
use crate::agreement::Settings;
use crate::replica::AddressFlags;
use crate::replica::Config;
use crate::replica::DEFAULT_ORDER_RESEND_TIME;

/// The command line of the program.
pub fn command() -> Command {
    program(
        "daisyquay-state",
        "Replicates daisyquay's durable state; runs on VMs with a disk",
    )
    .arg(
        address_arg(
            "listen",
            "DAISYQUAY_STATE_LISTEN",
            "Address where daisyquay's processes and operators connect",
        )
        .default_value("127.0.0.1:7500"),
    )
    .arg(address_arg(
        "advertise",
        "DAISYQUAY_STATE_ADVERTISE",
        "Address of this replica in --replicas, if it differs from --listen",
    ))
    .arg(
        address_arg(
            "admin-listen",
            "DAISYQUAY_STATE_ADMIN",
            "Address of the admin listener: health, readiness and metrics",
        )
        .default_value("127.0.0.1:7501"),
    )
    .arg(address_list_arg(
        "replicas",
        "DAISYQUAY_REPLICAS",
        "Peer addresses of all state replicas, including this one",
    ))
    .arg(
        Arg::new("data")
            .long("data")
            .env("DAISYQUAY_DATA")
            .value_name("FOLDER")
            .value_parser(value_parser!(PathBuf))
            .required(true)
            .help("Folder for durable data"),
    )
    .arg(peer_key_arg())
    .arg(
        Arg::new("operators")
            .long("operators")
            .env("DAISYQUAY_OPERATORS")
            .value_name("NAME=SHA256,...")
            .value_delimiter(',')
            .value_parser(parse_operator)
            .help("Names of operators and the hashes of their keys"),
    )
    .arg(
        Arg::new("snapshot-every")
            .long("snapshot-every")
            .env("DAISYQUAY_SNAPSHOT_EVERY")
            .value_name("ENTRIES")
            .value_parser(value_parser!(u64).range(100..=10_000_000))
            .default_value("20000")
            .help("Number of log entries after which a snapshot replaces them"),
    )
    .arg(
        Arg::new("data-centres")
            .long("data-centres")
            .env("DAISYQUAY_DATA_CENTRES")
            .value_name("NAME,...")
            .value_parser(parse_data_centres)
            .default_value("")
            .help("Data centres that can be evacuated before an upstream is announced in them"),
    )
}

/// The settings resolved from the command line, the environment and defaults.
pub fn config(matches: &ArgMatches) -> Config {
    let listen = required(matches, "listen");
    let replicas: Vec<SocketAddr> = values(matches, "replicas");
    Config {
        listen,
        advertise: optional(matches, "advertise").unwrap_or(listen),
        admin_listen: required(matches, "admin-listen"),
        target_voters: replicas.len(),
        replicas,
        contacts: Vec::new(),
        may_bootstrap: true,
        data: required(matches, "data"),
        peer_key: required(matches, "peer-key"),
        operators: values(matches, "operators"),
        data_centres: required(matches, "data-centres"),
        snapshot_every: required(matches, "snapshot-every"),
        order_resend_time: DEFAULT_ORDER_RESEND_TIME,
        settings: Settings::default(),
        address_flags: AddressFlags::default(),
    }
}
