//! Flags of `daisyquay-experiment`.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

use super::many;
use super::optional;
use super::program;
use super::required;
use crate::experiment::Config;
use crate::experiment::Kind;

/// The command line.
pub fn command() -> Command {
    program(
        "daisyquay-experiment",
        "Measures the decisions against plain baselines on the same arrivals",
    )
    .arg(
        Arg::new("kinds")
            .value_name("KIND")
            .num_args(0..)
            .value_parser(PossibleValuesParser::new(["quality", "rollout", "load"]))
            .help("Experiments to run; all without it"),
    )
    .arg(
        Arg::new("seeds")
            .long("seeds")
            .value_name("N")
            .value_parser(value_parser!(u64).range(1..=1000))
            .default_value("5")
            .help("Runs of each, with seeds from 1 on"),
    )
    .arg(
        Arg::new("out")
            .long("out")
            .value_name("FOLDER")
            .value_parser(value_parser!(PathBuf))
            .help("Folder for CSV files and SVG plots"),
    )
}

/// The resolved settings.
pub fn config(matches: &ArgMatches) -> Config {
    let named: Vec<String> = many(matches, "kinds");
    let all = [
        ("quality", Kind::Quality),
        ("rollout", Kind::Rollout),
        ("load", Kind::Load),
    ];
    let kinds = all
        .into_iter()
        .filter(|(name, _)| named.is_empty() || named.iter().any(|known| known == name))
        .map(|(_, kind)| kind)
        .collect();
    Config {
        kinds,
        seeds: required(matches, "seeds"),
        out: optional(matches, "out"),
    }
}
