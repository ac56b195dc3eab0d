//! The state replica daemon.

use std::process::ExitCode;
use std::sync::Arc;

use daisyquay::cli;
use daisyquay::clock::System;
use daisyquay::replica;
use daisyquay::runtime;

fn main() -> ExitCode {
    let signals = runtime::hold_signals();
    let matches = cli::state::command().get_matches();
    cli::start_log_to_stdout(&matches);
    let cfg = cli::state::config(&matches);
    let result = runtime::run_daemon(
        "daisyquay-state",
        signals,
        replica::run(cfg, Arc::new(System::new())),
    );
    cli::report_result("daisyquay-state", result, cli::ExitCode::Storage)
}
