//! Every flag of every program, one file a program. After parsing, nothing looks at raw arguments.

pub mod dev;
pub mod entry;
mod exit;
pub mod experiment;
pub mod gateway;
pub mod operator;
pub mod standin;
pub mod state;

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use simplelog::LevelFilter;

pub use self::exit::ExitCode;
pub use self::exit::report;

use crate::collections::Name;
use crate::config::KeyHash;

/// Least length of a key, in characters.
const KEY_LEAST: usize = 8;

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
                .help("Least level of events that are logged"),
        )
        .after_help(exit::HELP)
}

/// Starts a daemon's logging, on standard output, at the level that was asked for.
pub fn start_log(matches: &ArgMatches) {
    crate::log::start(log_level(matches));
}

/// Starts logging on standard error, for programs that print results.
pub fn start_log_aside(matches: &ArgMatches) {
    crate::log::start_aside(log_level(matches));
}

fn log_level(matches: &ArgMatches) -> LevelFilter {
    matches
        .get_one::<String>("log-level")
        .and_then(|level| level.parse().ok())
        .unwrap_or(LevelFilter::Info)
}

fn address(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .value_name("IP:PORT")
        .value_parser(parse_address)
        .help(help)
}

fn addresses(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    address(name, env, help)
        .value_name("IP:PORT,...")
        .value_delimiter(',')
        .required(true)
}

fn peer_key() -> Arg {
    Arg::new("peer-key")
        .long("peer-key")
        .env("DAISYQUAY_PEER_KEY")
        .hide_env_values(true)
        .value_name("KEY")
        .value_parser(parse_key)
        .required(true)
        .help("Key that daisyquay's own processes show each other, 8 characters at least")
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| "write an IP number and a port, for example 10.0.0.7:7400".to_owned())
}

fn parse_key(text: &str) -> Result<String, String> {
    if text.len() < KEY_LEAST {
        return Err(format!("write {KEY_LEAST} characters at least"));
    }
    Ok(text.to_owned())
}

fn parse_name(text: &str) -> Result<Name, String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if text.is_empty() || text.len() > 128 || !text.chars().all(plain) {
        return Err("write 1 to 128 letters, digits, `-`, `_`, `.` or `:`".to_owned());
    }
    Ok(text.into())
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
        .ok_or_else(|| "write seconds from 0 to 86400".to_owned())
}

fn parse_share(text: &str) -> Result<f64, String> {
    text.parse()
        .ok()
        .filter(|share| (0.0..=1.0).contains(share))
        .ok_or_else(|| "write a number from 0 to 1".to_owned())
}

/// A value that the command line makes sure of.
fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the flag is required or has a default")
}

fn optional<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

fn many<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}
