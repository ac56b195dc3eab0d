//! Finds the leader among the state replicas and sends requests to it.

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

/// Time limit for finding a leader and getting its reply, in addition to `--wait`.
const LEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for the reply of one replica, in addition to `--wait`.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause before the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A failed command.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) code: ExitCode,
    /// Reason and remedy, for standard error.
    pub(super) message: String,
}

/// Client of the state replicas.
pub(super) struct StateClient {
    client: Client,
    replicas: Vec<SocketAddr>,
}

impl StateClient {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            client: Client::new(&cfg.operator_key),
            replicas: cfg.state.clone(),
        }
    }

    /// Returns the leader's report for a query.
    pub(super) async fn query(&self, query: Query) -> Result<Report, Failure> {
        match self.call(Request::Query(query), Duration::ZERO).await? {
            Reply::Report(report) => Ok(*report),
            other => Err(unexpected(&other)),
        }
    }

    /// Sends a change to the leader, which waits up to `wait` for it to be in force.
    pub(super) async fn submit(
        &self,
        change: OperatorChange,
        wait: Duration,
    ) -> Result<OperatorChangeReply, Failure> {
        match self.call(Request::Change(change), wait).await? {
            Reply::Change(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Tries the replicas in turn until the leader replies, or as many have rejected the key as there
    /// are. A change may be sent more than once; its id makes that idempotent.
    async fn call(&self, request: Request, wait: Duration) -> Result<Reply, Failure> {
        let deadline = std::time::Instant::now() + LEADER_TIMEOUT + wait;
        let mut may_have_run = false;
        let mut last_error = None;
        let mut next = 0;
        let mut rejections = 0;
        let mut named = None;
        while std::time::Instant::now() < deadline {
            let address = named
                .take()
                .unwrap_or_else(|| self.replicas[next % self.replicas.len()]);
            match self
                .client
                .call(address, &request, REPLICA_TIMEOUT + wait)
                .await
            {
                Ok(Reply::NotLeader { leader }) => {
                    // The leader may have replaced one of the replicas in `--state`.
                    named = leader.filter(|&leader| leader != address);
                    if named.is_none() {
                        next += 1;
                    }
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                Ok(Reply::OutcomeUnknown) => {
                    may_have_run = true;
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                Ok(reply) => return Ok(reply),
                // A process without a replica has no operators.
                Err(CallError::Unauthorized { .. }) if rejections + 1 < self.replicas.len() => {
                    rejections += 1;
                    next += 1;
                }
                Err(e @ (CallError::Unauthorized { .. } | CallError::Protocol { .. })) => {
                    return Err(Failure {
                        code: ExitCode::Refused,
                        message: e.to_string(),
                    });
                }
                Err(e) => {
                    may_have_run |= matches!(e, CallError::NoReply { .. });
                    last_error = Some(e.to_string());
                    next += 1;
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
        let reason = last_error.unwrap_or_else(|| "there is no leader".to_owned());
        if may_have_run && matches!(request, Request::Change(_)) {
            return Err(Failure {
                code: ExitCode::Unknown,
                message: format!(
                    "the outcome is unknown ({reason}); retry with the same --change-id"
                ),
            });
        }
        Err(Failure {
            code: ExitCode::Unreachable,
            message: format!("no state replica responds ({reason}); check --state"),
        })
    }
}

fn unexpected(reply: &Reply) -> Failure {
    let message = match reply {
        Reply::Refused(reason) => reason.to_string(),
        _ => "unexpected reply; run the same version of daisyquay here and on the state replicas"
            .to_owned(),
    };
    Failure {
        code: ExitCode::Refused,
        message,
    }
}
