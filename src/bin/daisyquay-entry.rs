//! The entry daemon.

use std::process::ExitCode;
use std::sync::Arc;

use daisyquay::cli;
use daisyquay::clock::System;
use daisyquay::entry;
use daisyquay::runtime;

fn main() -> ExitCode {
    let signals = runtime::hold_signals();
    let matches = cli::entry::command().get_matches();
    cli::start_log_to_stdout(&matches);
    let cfg = cli::entry::config(&matches);
    let result = runtime::run_daemon(
        "daisyquay-entry",
        signals,
        entry::run(cfg, Arc::new(System::new())),
    );
    cli::report_result("daisyquay-entry", result, cli::ExitCode::Failed)
}
