//! Flags of `daisyquay-dev`.

use clap::ArgMatches;
use clap::Command;

use super::address;
use super::program;
use super::required;
use crate::dev::Config;

/// The command line.
pub fn command() -> Command {
    program(
        "daisyquay-dev",
        "Runs one state replica, one entry and stand-in upstreams on loopback, to try daisyquay",
    )
    .arg(
        address("listen", "DAISYQUAY_LISTEN", "Where callers connect")
            .default_value("127.0.0.1:7400"),
    )
}

/// The resolved settings.
pub fn config(matches: &ArgMatches) -> Config {
    Config {
        listen: required(matches, "listen"),
    }
}
