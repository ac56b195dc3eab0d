//! The operators' command line at work.

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
use self::call::State;
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

/// Time between looks at the audit trail with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// What `daisyquay` was asked to do.
#[derive(Clone, Debug)]
pub struct Config {
    /// Peer addresses of the state replicas.
    pub state: Vec<SocketAddr>,
    /// The operator's key.
    pub operator_key: String,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub action: Action,
}

/// Flags of a change.
#[derive(Clone, Debug)]
pub struct Guard {
    /// Id of the change; `None` chooses one.
    pub change_id: Option<Name>,
    /// Revision that must be the current one.
    pub expect: Option<u64>,
    /// How long to wait until it is in force; `None` does not wait.
    pub wait: Option<Duration>,
}

/// A step of a roll-out.
#[derive(Clone, Debug)]
pub enum Step {
    /// Starts it.
    Start {
        /// Shares of new sessions.
        stages: Vec<f64>,
    },
    /// Pauses it.
    Pause,
    /// Resumes it, or lifts a halt or a withdrawal.
    Resume,
    /// Withdraws the version.
    Withdraw,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Checks a file.
    Check(PathBuf),
    /// Loads a file.
    Apply(PathBuf, Guard),
    /// Shows something.
    Show(Query),
    /// Changes a roll-out.
    Rollout {
        /// Version.
        version: VersionName,
        /// What to do with it.
        step: Step,
        /// Flags of the change.
        guard: Guard,
    },
    /// Empties an entry VM.
    Drain {
        /// Entry VM.
        vm: Name,
        /// Whether to put it back instead.
        undo: bool,
        /// Flags of the change.
        guard: Guard,
    },
    /// Shows the audit trail.
    Audit {
        /// Whether to go on with new lines.
        follow: bool,
    },
    /// Tells what became of a request.
    Explain {
        /// Request.
        request: String,
        /// Logs.
        files: Vec<PathBuf>,
    },
    /// Prints a key's hash.
    HashKey,
    /// Prints completions for a shell.
    Completions(Shell),
}

/// Does what was asked.
pub async fn run(cfg: Config) -> ExitCode {
    match act(&cfg).await {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("daisyquay: {}", failure.message);
            failure.code
        }
    }
}

async fn act(cfg: &Config) -> Result<ExitCode, Failure> {
    let state = State::new(cfg);
    match &cfg.action {
        Action::Check(path) => {
            read(path)?;
            println!("{}: no problem found", path.display());
            Ok(ExitCode::Done)
        }
        Action::Apply(path, guard) => {
            let change = Change::Apply(Arc::new(read(path)?));
            operate(cfg, &state, guard, change).await
        }
        Action::Rollout {
            version,
            step,
            guard,
        } => operate(cfg, &state, guard, rollout_change(version, step)).await,
        Action::Drain { vm, undo, guard } => {
            let change = Change::Drain {
                vm: vm.clone(),
                draining: !undo,
            };
            operate(cfg, &state, guard, change).await
        }
        Action::Show(query) => {
            let report = state.ask(query.clone()).await?;
            print!("{}", output::report(&report, cfg.json));
            Ok(ExitCode::Done)
        }
        Action::Audit { follow } => audit(cfg, &state, *follow).await,
        Action::Explain { request, files } => explain(request, files, cfg.json),
        Action::HashKey => hash_key(),
        Action::Completions(shell) => {
            let mut command = crate::cli::operator::command();
            clap_complete::generate(*shell, &mut command, "daisyquay", &mut std::io::stdout());
            Ok(ExitCode::Done)
        }
    }
}

fn rollout_change(version: &VersionName, step: &Step) -> Change {
    let version = version.clone();
    match step {
        Step::Start { stages } => Change::RolloutStart {
            version,
            stages: stages.clone(),
        },
        Step::Pause => Change::RolloutPause(version),
        Step::Resume => Change::RolloutResume(version),
        Step::Withdraw => Change::Withdraw(version),
    }
}

fn read(path: &Path) -> Result<Inventory, Failure> {
    let shown = path.display();
    let usage = |message| Failure {
        code: ExitCode::Usage,
        message,
    };
    let text = std::fs::read_to_string(path)
        .map_err(|e| usage(format!("{shown}: {e}; check the path and its rights")))?;
    config::parse(&text)
        .map_err(|problems| usage(format!("{shown}: nothing was applied\n{problems}")))
}

fn explain(request: &str, files: &[PathBuf], json: bool) -> Result<ExitCode, Failure> {
    let story = explain::explain(request, files).map_err(|e| Failure {
        code: match e {
            explain::Error::Read { .. } => ExitCode::Usage,
            explain::Error::Unknown { .. } => ExitCode::Failed,
        },
        message: e.to_string(),
    })?;
    if json {
        println!("{}", serde_json::json!(story));
    } else {
        print!("{story}");
    }
    Ok(ExitCode::Done)
}

fn hash_key() -> Result<ExitCode, Failure> {
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    let key = key.trim_end_matches(['\r', '\n']);
    if read.is_err() || key.is_empty() {
        return Err(Failure {
            code: ExitCode::Usage,
            message: "give the key on standard input, for example `printf %s KEY | daisyquay \
                      hash-key`"
                .to_owned(),
        });
    }
    println!("{}", KeyHash::of(key));
    Ok(ExitCode::Done)
}

async fn operate(
    cfg: &Config,
    state: &State,
    guard: &Guard,
    change: Change,
) -> Result<ExitCode, Failure> {
    let change_id = guard
        .change_id
        .clone()
        .unwrap_or_else(|| format!("cli-{:016x}", fastrand::u64(..)).into());
    let wait = guard.wait.unwrap_or_default();
    let operation = OperatorChange {
        change_id: change_id.clone(),
        expected_revision: guard.expect,
        change,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    };
    let reply = state.operate(operation, wait).await?;
    print!("{}", output::operation(&change_id, &reply, cfg.json));
    Ok(exit_code(&reply))
}

fn exit_code(reply: &OperatorChangeReply) -> ExitCode {
    match (&reply.outcome, reply.in_force) {
        (ChangeOutcome::Accepted { .. }, Some(false)) => ExitCode::NotInForce,
        (ChangeOutcome::Accepted { .. }, _) => ExitCode::Done,
        (ChangeOutcome::Conflict { .. }, _) => ExitCode::Conflict,
        (ChangeOutcome::Refused { .. }, _) => ExitCode::Refused,
    }
}

async fn audit(cfg: &Config, state: &State, follow: bool) -> Result<ExitCode, Failure> {
    let mut after = 0;
    let mut first = true;
    loop {
        let report = state.ask(Query::Audit { after }).await?;
        let Report::Audit(lines) = &report else {
            return Ok(ExitCode::Failed);
        };
        let last = lines.last().map(|line| line.seq);
        if last.is_some() || first {
            print!("{}", output::audit(lines, cfg.json, first));
        }
        first = false;
        match last {
            // There may be more than one answer holds.
            Some(seq) => after = seq,
            None if follow => tokio::time::sleep(FOLLOW_INTERVAL).await,
            None => return Ok(ExitCode::Done),
        }
    }
}
