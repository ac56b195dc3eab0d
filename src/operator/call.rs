//! Calls the leader, wherever it is.

use std::net::SocketAddr;
use std::time::Duration;

use super::Config;
use crate::cli::ExitCode;
use crate::peer::CallError;
use crate::peer::Client;
use crate::peer::OperatorChange;
use crate::peer::OperatorChangeReply;
use crate::peer::Reply;
use crate::peer::Request;
use crate::state::query::Query;
use crate::state::query::Report;

/// Time in which a leader must be found and answer, beyond what the operator waits for.
const LIMIT: Duration = Duration::from_secs(10);

/// Time in which one replica must answer, beyond what the operator waits for.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Pause between rounds.
const PAUSE: Duration = Duration::from_millis(100);

/// Why nothing came of it.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) code: ExitCode,
    pub(super) message: String,
}

/// The replicated state as operators reach it.
pub(super) struct State {
    client: Client,
    replicas: Vec<SocketAddr>,
}

impl State {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            client: Client::new(&cfg.operator_key),
            replicas: cfg.state.clone(),
        }
    }

    pub(super) async fn ask(&self, query: Query) -> Result<Report, Failure> {
        match self.call(Request::Query(query), Duration::ZERO).await? {
            Reply::Report(report) => Ok(*report),
            other => Err(unexpected(&other)),
        }
    }

    pub(super) async fn operate(
        &self,
        operation: OperatorChange,
        wait: Duration,
    ) -> Result<OperatorChangeReply, Failure> {
        match self.call(Request::Change(operation), wait).await? {
            Reply::Change(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Tries the replicas in turn. A change may be sent more than once: its id makes that harmless.
    async fn call(&self, request: Request, wait: Duration) -> Result<Reply, Failure> {
        let until = std::time::Instant::now() + LIMIT + wait;
        let mut may_have_run = false;
        let mut last = None;
        let mut next = 0;
        while std::time::Instant::now() < until {
            let address = self.replicas[next % self.replicas.len()];
            match self.client.call(address, &request, CALL_LIMIT + wait).await {
                Ok(Reply::NotLeader { leader }) => {
                    let known = self
                        .replicas
                        .iter()
                        .position(|&known| Some(known) == leader);
                    next = known.unwrap_or(next + 1);
                    tokio::time::sleep(PAUSE).await;
                }
                Ok(Reply::OutcomeUnknown) => {
                    may_have_run = true;
                    tokio::time::sleep(PAUSE).await;
                }
                Ok(reply) => return Ok(reply),
                Err(e @ (CallError::Unauthorized { .. } | CallError::Protocol { .. })) => {
                    return Err(Failure {
                        code: ExitCode::Refused,
                        message: e.to_string(),
                    });
                }
                Err(e) => {
                    may_have_run |= matches!(e, CallError::NoReply { .. });
                    last = Some(e.to_string());
                    next += 1;
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        let why = last.unwrap_or_else(|| "there is no leader".to_owned());
        if may_have_run && matches!(request, Request::Change(_)) {
            return Err(Failure {
                code: ExitCode::Unknown,
                message: format!(
                    "the outcome is unknown ({why}); repeat with the same --change-id"
                ),
            });
        }
        Err(Failure {
            code: ExitCode::Unreachable,
            message: format!("no state replica answers ({why}); check --state"),
        })
    }
}

fn unexpected(reply: &Reply) -> Failure {
    let message = match reply {
        Reply::Refused(reason) => reason.to_string(),
        _ => "an unexpected answer; run the same version on both sides".to_owned(),
    };
    Failure {
        code: ExitCode::Refused,
        message,
    }
}
