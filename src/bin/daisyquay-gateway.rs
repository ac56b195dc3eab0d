//! The gateway daemon.

use std::process::ExitCode;
use std::sync::Arc;

use daisyquay::cli;
use daisyquay::clock::System;
use daisyquay::gateway;
use daisyquay::runtime;

fn main() -> ExitCode {
    let matches = cli::gateway::command().get_matches();
    cli::start_log(&matches);
    let cfg = cli::gateway::config(&matches);
    let ended = runtime::block_on("daisyquay-gateway", async {
        let running = gateway::start(cfg, Arc::new(System::new())).await?;
        running.wait_for_shutdown().await;
        Ok::<_, gateway::Error>(())
    });
    cli::report("daisyquay-gateway", ended, cli::ExitCode::Failed)
}
