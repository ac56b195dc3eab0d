//! Experiments on the decisions.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::experiment;

fn main() -> ExitCode {
    let matches = cli::experiment::command().get_matches();
    cli::start_log_aside(&matches);
    match experiment::run(&cli::experiment::config(&matches)) {
        Ok(()) => cli::ExitCode::Done.into(),
        Err(e) => {
            eprintln!("daisyquay-experiment: {e}");
            cli::ExitCode::Failed.into()
        }
    }
}
