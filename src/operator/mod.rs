//! Runs the commands of `daisyquay`, the operators' command line.

mod call;
mod output;

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap_complete::Shell;

use self::call::Failure;
use self::call::StateClient;
use crate::cli::ExitCode;
use crate::collections::Name;
use crate::config;
use crate::config::Inventory;
use crate::config::KeyHash;
use crate::config::VersionName;
use crate::explain;
use crate::peer::OperatorChange;
use crate::peer::OperatorChangeReply;
use crate::state::command::Change;
use crate::state::command::ChangeOutcome;
use crate::state::query::Query;
use crate::state::query::Report;

/// Polling interval of the audit trail with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of one run of `daisyquay`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Peer addresses of the state replicas.
    pub state: Vec<SocketAddr>,
    /// Key that authenticates the operator.
    pub operator_key: String,
    /// Whether to print JSON instead of tables.
    pub json: bool,
    /// Command to run.
    pub action: Action,
}

/// Flags that all changes share.
#[derive(Clone, Debug)]
pub struct ChangeOptions {
    /// Id of the change, which makes retries idempotent; `None` generates one.
    pub change_id: Option<Name>,
    /// Revision that must be the current one for the change to be accepted; `None` accepts any.
    pub expected_revision: Option<u64>,
    /// How long to wait until every entry has applied the change; `None` doesn't wait.
    pub wait: Option<Duration>,
}

/// A change of a version's rollout.
#[derive(Clone, Debug)]
pub enum RolloutCommand {
    /// Starts a rollout.
    Start {
        /// Shares of new sessions at each stage, 0 to 1.
        stages: Vec<f64>,
    },
    /// Pauses the rollout: no new sessions are assigned to the version.
    Pause,
    /// Resumes the rollout, or lifts a halt or a withdrawal.
    Resume,
    /// Withdraws the version: it gets no new requests.
    Withdraw,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Action {
    /// Validates an inventory file.
    Check(PathBuf),
    /// Applies an inventory file.
    Apply(PathBuf, ChangeOptions),
    /// Prints a report of the state.
    Show(Query),
    /// Changes a rollout.
    Rollout {
        /// Version that is rolled out.
        version: VersionName,
        /// Change to make.
        command: RolloutCommand,
        /// Flags of the change.
        options: ChangeOptions,
    },
    /// Drains an entry VM: removes it from address responses.
    Drain {
        /// Name of the entry VM.
        vm: Name,
        /// Whether to end the draining instead.
        undo: bool,
        /// Flags of the change.
        options: ChangeOptions,
    },
    /// Starts or ends the evacuation of a data centre.
    Evacuate {
        /// Data centre.
        data_centre: Name,
        /// Whether to start the evacuation; false ends it.
        active: bool,
        /// Flags of the change.
        options: ChangeOptions,
    },
    /// Prints the audit trail.
    Audit {
        /// Whether to keep printing new records.
        follow: bool,
    },
    /// Explains the outcome of a request.
    Explain {
        /// Id of the request.
        request: String,
        /// Log files of gateways and state replicas.
        files: Vec<PathBuf>,
    },
    /// Prints the hash of a key read from standard input.
    HashKey,
    /// Prints a completion script for a shell.
    Completions(Shell),
}

/// Runs the command and returns its exit code; an error is printed on standard error.
pub async fn run(cfg: Config) -> ExitCode {
    match execute(&cfg).await {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("daisyquay: {}", failure.message);
            failure.code
        }
    }
}

async fn execute(cfg: &Config) -> Result<ExitCode, Failure> {
    let state = StateClient::new(cfg);
    match &cfg.action {
        Action::Check(path) => {
            read_inventory(path)?;
            println!("{}: no problem found", path.display());
            Ok(ExitCode::Done)
        }
        Action::Apply(path, options) => {
            let change = Change::Apply(Arc::new(read_inventory(path)?));
            submit_change(cfg, &state, options, change).await
        }
        Action::Rollout {
            version,
            command,
            options,
        } => submit_change(cfg, &state, options, rollout_change(version, command)).await,
        Action::Drain { vm, undo, options } => {
            let change = Change::Drain {
                vm: vm.clone(),
                draining: !undo,
            };
            submit_change(cfg, &state, options, change).await
        }
        Action::Evacuate {
            data_centre,
            active,
            options,
        } => order_evacuation(cfg, &state, options, data_centre, *active).await,
        Action::Show(query) => {
            let report = state.query(query.clone()).await?;
            print!("{}", output::report(&report, cfg.json));
            Ok(ExitCode::Done)
        }
        Action::Audit { follow } => print_audit(cfg, &state, *follow).await,
        Action::Explain { request, files } => print_explanation(request, files, cfg.json),
        Action::HashKey => print_key_hash(),
        Action::Completions(shell) => {
            let mut command = crate::cli::operator::command();
            clap_complete::generate(*shell, &mut command, "daisyquay", &mut std::io::stdout());
            Ok(ExitCode::Done)
        }
    }
}

fn rollout_change(version: &VersionName, command: &RolloutCommand) -> Change {
    let version = version.clone();
    match command {
        RolloutCommand::Start { stages } => Change::RolloutStart {
            version,
            stages: stages.clone(),
        },
        RolloutCommand::Pause => Change::RolloutPause(version),
        RolloutCommand::Resume => Change::RolloutResume(version),
        RolloutCommand::Withdraw => Change::Withdraw(version),
    }
}

fn read_inventory(path: &Path) -> Result<Inventory, Failure> {
    let path_text = path.display();
    let usage_failure = |message| Failure {
        code: ExitCode::Usage,
        message,
    };
    let text = std::fs::read_to_string(path).map_err(|e| {
        usage_failure(format!(
            "{path_text}: {e}; check the path and its permissions"
        ))
    })?;
    config::parse(&text)
        .map_err(|problems| usage_failure(format!("{path_text}: nothing was applied\n{problems}")))
}

fn print_explanation(request: &str, files: &[PathBuf], json: bool) -> Result<ExitCode, Failure> {
    let explanation = explain::explain(request, files).map_err(|e| Failure {
        code: match e {
            explain::Error::Read { .. } => ExitCode::Usage,
            explain::Error::Unknown { .. } => ExitCode::Failed,
        },
        message: e.to_string(),
    })?;
    if json {
        println!("{}", serde_json::json!(explanation));
    } else {
        print!("{explanation}");
    }
    Ok(ExitCode::Done)
}

fn print_key_hash() -> Result<ExitCode, Failure> {
    let mut key = String::new();
    let result = std::io::stdin().read_to_string(&mut key);
    let key = key.trim_end_matches(['\r', '\n']);
    if result.is_err() || key.is_empty() {
        return Err(Failure {
            code: ExitCode::Usage,
            message: "pass the key on standard input, for example `printf %s KEY | daisyquay \
                      hash-key`"
                .to_owned(),
        });
    }
    println!("{}", KeyHash::of(key));
    Ok(ExitCode::Done)
}

async fn submit_change(
    cfg: &Config,
    state: &StateClient,
    options: &ChangeOptions,
    change: Change,
) -> Result<ExitCode, Failure> {
    let (change_id, reply) = send_change(state, options, change).await?;
    print!("{}", output::change_result(&change_id, &reply, cfg.json));
    Ok(exit_code(&reply))
}

/// Starts or ends the evacuation of a data centre. The order applies only to the number of orders
/// that was read before, so that a late copy does not undo a later order; after a conflict it is
/// sent again with the current number. The number has no part in a change's identity, so a retry
/// under the same change id gets the first outcome.
async fn order_evacuation(
    cfg: &Config,
    state: &StateClient,
    options: &ChangeOptions,
    data_centre: &Name,
    active: bool,
) -> Result<ExitCode, Failure> {
    let Report::Status(status) = state.query(Query::Status).await? else {
        return Ok(ExitCode::Failed);
    };
    let mut expected_orders = status.evacuation_orders;
    loop {
        let change = Change::Evacuate {
            data_centre: data_centre.clone(),
            active,
            expected_orders: Some(expected_orders),
        };
        let (change_id, reply) = send_change(state, options, change).await?;
        if let ChangeOutcome::EvacuationConflict { orders } = reply.outcome {
            expected_orders = orders;
            continue;
        }
        print!("{}", output::change_result(&change_id, &reply, cfg.json));
        return Ok(exit_code(&reply));
    }
}

/// Sends a change and returns its id and the reply.
async fn send_change(
    state: &StateClient,
    options: &ChangeOptions,
    change: Change,
) -> Result<(Name, OperatorChangeReply), Failure> {
    let change_id = options
        .change_id
        .clone()
        .unwrap_or_else(|| format!("cli-{:016x}", fastrand::u64(..)).into());
    let wait = options.wait.unwrap_or_default();
    let request = OperatorChange {
        change_id: change_id.clone(),
        expected_revision: options.expected_revision,
        change,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    };
    let reply = state.submit(request, wait).await?;
    Ok((change_id, reply))
}

fn exit_code(reply: &OperatorChangeReply) -> ExitCode {
    match (&reply.outcome, reply.in_force) {
        (ChangeOutcome::Accepted { .. }, Some(false)) => ExitCode::NotInForce,
        (ChangeOutcome::Accepted { .. }, _) => ExitCode::Done,
        (ChangeOutcome::Conflict { .. } | ChangeOutcome::EvacuationConflict { .. }, _) => {
            ExitCode::Conflict
        }
        (ChangeOutcome::Refused { .. }, _) => ExitCode::Refused,
    }
}

async fn print_audit(cfg: &Config, state: &StateClient, follow: bool) -> Result<ExitCode, Failure> {
    let mut after_seq = 0;
    let mut is_first = true;
    loop {
        let report = state.query(Query::Audit { after: after_seq }).await?;
        let Report::Audit(records) = &report else {
            return Ok(ExitCode::Failed);
        };
        let last_seq = records.last().map(|record| record.seq);
        if last_seq.is_some() || is_first {
            print!("{}", output::audit(records, cfg.json, is_first));
        }
        is_first = false;
        match last_seq {
            // One report holds a limited number of records, so there may be more.
            Some(seq) => after_seq = seq,
            None if follow => tokio::time::sleep(FOLLOW_INTERVAL).await,
            None => return Ok(ExitCode::Done),
        }
    }
}
