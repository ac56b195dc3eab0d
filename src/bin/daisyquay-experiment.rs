//! Experiments on the decisions.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::experiment;

fn main() -> ExitCode {
    let matches = cli::experiment::command().get_matches();
    cli::start_log_aside(&matches);
    let ended = experiment::run(&cli::experiment::config(&matches));
    cli::report("daisyquay-experiment", ended, cli::ExitCode::Failed)
}
