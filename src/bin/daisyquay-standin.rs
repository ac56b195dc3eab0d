//! Stand-ins of what the platform gives, for tests.

use std::process::ExitCode;

use daisyquay::cli;
use daisyquay::runtime;
use daisyquay::standin;

fn main() -> ExitCode {
    let matches = cli::standin::command().get_matches();
    cli::start_log(&matches);
    let cfg = cli::standin::config(&matches);
    let tell = |address| println!("listening on {address}");
    let ended = runtime::block_on("daisyquay-standin", standin::run(cfg, tell))
        .map_err(|e| format!("{e}; choose another --listen"));
    cli::report("daisyquay-standin", ended, cli::ExitCode::Failed)
}
