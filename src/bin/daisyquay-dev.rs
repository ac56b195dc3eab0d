//! All of daisyquay in one process, to try it.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::dev;
use daisyquay::runtime;

fn main() -> ExitCode {
    let matches = cli::dev::command().get_matches();
    cli::start_log_aside(&matches);
    let cfg = cli::dev::config(&matches);
    match runtime::block_on("daisyquay-dev", dev::run(cfg)) {
        Ok(()) => cli::ExitCode::Done.into(),
        Err(message) => {
            eprintln!("daisyquay-dev: {message}");
            cli::ExitCode::Failed.into()
        }
    }
}
