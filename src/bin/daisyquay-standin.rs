//! Simulated upstreams and rater, for tests.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::runtime;
use daisyquay::standin;

fn main() -> ExitCode {
    let signals = runtime::hold_signals();
    let matches = cli::standin::command().get_matches();
    cli::start_log_to_stdout(&matches);
    let cfg = cli::standin::config(&matches);
    let print_address = |address| println!("listening on {address}");
    let result = runtime::run_daemon(
        "daisyquay-standin",
        signals,
        standin::run(cfg, print_address),
    )
    .map_err(|e| format!("{e}; choose another --listen"));
    cli::report_result("daisyquay-standin", result, cli::ExitCode::Failed)
}
