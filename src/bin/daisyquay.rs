//! The operators' command line.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::operator;
use daisyquay::runtime;

fn main() -> ExitCode {
    let matches = cli::operator::command().get_matches();
    cli::start_log_to_stderr(&matches);
    let cfg = cli::operator::config(&matches);
    runtime::block_on("daisyquay", operator::run(cfg)).into()
}
