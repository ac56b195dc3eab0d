//! Flags of `daisyquay-dev`.

use clap::ArgMatches;
use clap::Command;

use super::address_arg;
use super::program;
use super::required;
use crate::dev::Config;

/// The command line of the program.
pub fn command() -> Command {
    program(
        "daisyquay-dev",
        "Runs a state replica, an entry and stand-in upstreams on loopback, to try out daisyquay",
    )
    .arg(
        address_arg(
            "listen",
            "DAISYQUAY_LISTEN",
            "Address where callers connect",
        )
        .default_value("127.0.0.1:7400"),
    )
}

/// The settings resolved from the command line, the environment and defaults.
pub fn config(matches: &ArgMatches) -> Config {
    Config {
        listen: required(matches, "listen"),
    }
}
