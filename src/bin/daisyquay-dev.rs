//! All of daisyquay in one process, to try it.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::dev;
use daisyquay::runtime;

fn main() -> ExitCode {
    let matches = cli::dev::command().get_matches();
    cli::start_log_aside(&matches);
    let cfg = cli::dev::config(&matches);
    let ended = runtime::block_on("daisyquay-dev", dev::run(cfg));
    cli::report("daisyquay-dev", ended, cli::ExitCode::Failed)
}
