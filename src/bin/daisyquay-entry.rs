//! The entry daemon.

use std::process::ExitCode;
use std::sync::Arc;

use daisyquay::cli;
use daisyquay::clock::System;
use daisyquay::entry;
use daisyquay::runtime;

fn main() -> ExitCode {
    let matches = cli::entry::command().get_matches();
    cli::start_log(&matches);
    let cfg = cli::entry::config(&matches);
    let ended = runtime::block_on("daisyquay-entry", entry::run(cfg, Arc::new(System::new())));
    cli::report("daisyquay-entry", ended, cli::ExitCode::Failed)
}
