//! Command lines of all programs, one file per program. Each is resolved into a typed `Config`; the
//! rest of the code doesn't read command-line arguments.

pub mod dev;
pub mod entry;
mod exit;
pub mod experiment;
pub mod gateway;
pub mod operator;
pub mod standin;
pub mod state;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use simplelog::LevelFilter;

pub use self::exit::ExitCode;
pub use self::exit::report_result;

use crate::collections::HashMap;
use crate::collections::Name;
use crate::config::KeyHash;

/// Minimum length of a key, in bytes.
const MIN_KEY_LENGTH: usize = 8;

/// A command with the flags and the help text that all programs share.
fn program(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("DAISYQUAY_LOG_LEVEL")
                .value_parser(PossibleValuesParser::new([
                    "error", "warn", "info", "debug",
                ]))
                .default_value("info")
                .help("Minimum log level"),
        )
        .after_help(exit::EXIT_CODES_HELP)
}

/// Starts logging on standard output, for daemons, at the level of `--log-level`.
pub fn start_log_to_stdout(matches: &ArgMatches) {
    crate::log::start_on_stdout(log_level(matches));
}

/// Starts logging on standard error, for programs that print results on standard output.
pub fn start_log_to_stderr(matches: &ArgMatches) {
    crate::log::start_on_stderr(log_level(matches));
}

fn log_level(matches: &ArgMatches) -> LevelFilter {
    matches
        .get_one::<String>("log-level")
        .and_then(|level| level.parse().ok())
        .unwrap_or(LevelFilter::Info)
}

fn address_arg(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .value_name("IP:PORT")
        .value_parser(parse_address)
        .help(help)
}

fn address_list_arg(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    address_arg(name, env, help)
        .value_name("IP:PORT,...")
        .value_delimiter(',')
        .required(true)
}

fn peer_key_arg() -> Arg {
    Arg::new("peer-key")
        .long("peer-key")
        .env("DAISYQUAY_PEER_KEY")
        .hide_env_values(true)
        .value_name("KEY")
        .value_parser(parse_key)
        .required(true)
        .help("Shared key that daisyquay's processes authenticate with, at least 8 characters")
}

fn regions_arg() -> Arg {
    Arg::new("regions")
        .long("regions")
        .env("DAISYQUAY_REGIONS")
        .value_name("DATA_CENTRE=REGION,...")
        .value_parser(parse_regions)
        .default_value("")
        .help("Region of each data centre; others are regions of their own name")
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| "write an IP address and a port, for example 10.0.0.7:7400".to_owned())
}

fn parse_key(text: &str) -> Result<String, String> {
    if text.len() < MIN_KEY_LENGTH {
        return Err(format!("write at least {MIN_KEY_LENGTH} characters"));
    }
    Ok(text.to_owned())
}

fn parse_name(text: &str) -> Result<Name, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if text.is_empty() || text.len() > 128 || !text.chars().all(is_allowed) {
        return Err("write 1 to 128 letters, digits, `-`, `_`, `.` or `:`".to_owned());
    }
    Ok(text.into())
}

/// Parses a list of regions, `DATA_CENTRE=REGION` separated by commas; empty text is an empty list.
///
/// # Errors
///
/// The entry that is not of that form.
pub fn parse_regions(text: &str) -> Result<HashMap<Name, Name>, String> {
    let entries = text.split(',').filter(|entry| !entry.is_empty());
    entries
        .map(|entry| {
            let (data_centre, region) = entry
                .split_once('=')
                .ok_or_else(|| format!("`{entry}` is no region; write DATA_CENTRE=REGION"))?;
            Ok((parse_name(data_centre)?, parse_name(region)?))
        })
        .collect()
}

/// Parses a list of data centres separated by commas; empty text is an empty list.
///
/// # Errors
///
/// The entry that is not a name.
pub fn parse_data_centres(text: &str) -> Result<BTreeSet<Name>, String> {
    let entries = text.split(',').filter(|entry| !entry.is_empty());
    entries
        .map(|entry| parse_name(entry).map_err(|e| format!("`{entry}`: {e}")))
        .collect()
}

fn parse_operator(text: &str) -> Result<(Name, KeyHash), String> {
    let (name, hash) = text
        .split_once('=')
        .ok_or("write NAME=SHA256, with the hash that `daisyquay hash-key` prints")?;
    Ok((parse_name(name)?, hash.parse()?))
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    text.parse()
        .ok()
        .filter(|seconds| (0.0..=86_400.0).contains(seconds))
        .map(Duration::from_secs_f64)
        .ok_or_else(|| "write a number of seconds from 0 to 86400".to_owned())
}

fn parse_share(text: &str) -> Result<f64, String> {
    text.parse()
        .ok()
        .filter(|share| (0.0..=1.0).contains(share))
        .ok_or_else(|| "write a number from 0 to 1".to_owned())
}

/// The value of a flag that is required or has a default.
fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the flag is required or has a default")
}

/// The value of an optional flag; `None` if it was not given.
fn optional<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

/// All values of a flag that can have several; empty if it was not given.
fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .map(|found| found.cloned().collect())
        .unwrap_or_default()
}
