//! A state replica, an entry and stand-ins in one process, for trying daisyquay out.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::dev;
use daisyquay::runtime;

fn main() -> ExitCode {
    let signals = runtime::hold_signals();
    let matches = cli::dev::command().get_matches();
    cli::start_log_to_stderr(&matches);
    let cfg = cli::dev::config(&matches);
    let result = runtime::run_daemon("daisyquay-dev", signals, dev::run(cfg));
    cli::report_result("daisyquay-dev", result, cli::ExitCode::Failed)
}
