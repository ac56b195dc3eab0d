//! Flags of `daisyquay-experiment`.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

use super::optional;
use super::program;
use super::required;
use super::values;
use crate::experiment::Config;
use crate::experiment::Kind;

/// The command line of the program.
pub fn command() -> Command {
    program(
        "daisyquay-experiment",
        "Compares daisyquay's policies with simple baselines under the same random seeds",
    )
    .arg(
        Arg::new("kinds")
            .value_name("KIND")
            .num_args(0..)
            .value_parser(PossibleValuesParser::new(["quality", "rollout", "load"]))
            .help("Experiments to run; all if none is given"),
    )
    .arg(
        Arg::new("seeds")
            .long("seeds")
            .value_name("N")
            .value_parser(value_parser!(u64).range(1..=1000))
            .default_value("5")
            .help("Runs of each experiment, with seeds 1 to N"),
    )
    .arg(
        Arg::new("out")
            .long("out")
            .value_name("FOLDER")
            .value_parser(value_parser!(PathBuf))
            .help("Output folder for CSV files and SVG plots"),
    )
}

/// The settings resolved from the command line, the environment and defaults.
pub fn config(matches: &ArgMatches) -> Config {
    let selected: Vec<String> = values(matches, "kinds");
    let all = [
        ("quality", Kind::Quality),
        ("rollout", Kind::Rollout),
        ("load", Kind::Load),
    ];
    let kinds = all
        .into_iter()
        .filter(|(name, _)| selected.is_empty() || selected.iter().any(|kind| kind == name))
        .map(|(_, kind)| kind)
        .collect();
    Config {
        kinds,
        seeds: required(matches, "seeds"),
        out: optional(matches, "out"),
    }
}
