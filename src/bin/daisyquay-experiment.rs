//! Experiments that compare routing policies with baselines.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::experiment;

fn main() -> ExitCode {
    let matches = cli::experiment::command().get_matches();
    cli::start_log_to_stderr(&matches);
    let result = experiment::run(&cli::experiment::config(&matches));
    cli::report_result("daisyquay-experiment", result, cli::ExitCode::Failed)
}
