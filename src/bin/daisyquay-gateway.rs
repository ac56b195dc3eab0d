//! The gateway daemon.

use std::process::ExitCode;
use std::sync::Arc;

use daisyquay::cli;
use daisyquay::clock::System;
use daisyquay::gateway;
use daisyquay::runtime;

fn main() -> ExitCode {
    let signals = runtime::hold_signals();
    let matches = cli::gateway::command().get_matches();
    cli::start_log_to_stdout(&matches);
    let cfg = cli::gateway::config(&matches);
    let result = runtime::run_daemon("daisyquay-gateway", signals, async {
        let start = gateway::start(cfg, &[], Arc::new(System::new()));
        let Some(started) = runtime::unless_stopped(start).await else {
            return Ok(());
        };
        let (server, _) = started?;
        server.wait_for_shutdown().await;
        Ok::<_, gateway::Error>(())
    });
    cli::report_result("daisyquay-gateway", result, cli::ExitCode::Failed)
}
