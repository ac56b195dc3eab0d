//! Calls from inside a process to the leader, wherever it runs.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::core::Core;
use super::handler::handle_peer;
use crate::collections::Name;
use crate::peer::Client;
use crate::peer::LeaderClient;
use crate::peer::OperatorChange;
use crate::peer::Reply;
use crate::peer::Request;
use crate::state::command::Change;
use crate::state::command::ChangeOutcome;
use crate::state::query::Query;
use crate::state::query::Report;

/// Time within which the leader must reply to one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two attempts to reach the leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a stopping process still answers new calls, though it refuses them.
const REFUSE_TIME: Duration = Duration::from_millis(300);

/// Interval between checks whether all calls of a stopping process have ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Most upstreams' reports that wait for the leader at a time. Each holds the buffers of its
/// connection, and without a leader thousands of upstreams report again and again.
const MAX_WAITING_REPORTS: usize = 256;

/// Calls the leader; clones share the replica or the connections.
#[derive(Clone)]
pub struct Handle {
    link: Link,
    waiting_reports: Rc<Cell<usize>>,
    open_calls: Rc<Cell<usize>>,
    is_stopping: Rc<Cell<bool>>,
}

/// Counts a call as open until it is dropped.
struct OpenCall(Rc<Cell<usize>>);

impl OpenCall {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Counts a report as waiting until it is dropped.
struct WaitingReport(Rc<Cell<usize>>);

impl WaitingReport {
    /// Returns `None` where [`MAX_WAITING_REPORTS`] wait already.
    fn new(waiting: &Rc<Cell<usize>>) -> Option<Self> {
        if waiting.get() >= MAX_WAITING_REPORTS {
            return None;
        }
        waiting.set(waiting.get() + 1);
        Some(Self(waiting.clone()))
    }
}

impl Drop for WaitingReport {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An order to start or end the evacuation of a data centre.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// Data centre.
    pub data_centre: Name,
    /// Whether to start the evacuation; false ends it.
    pub active: bool,
}

#[derive(Clone)]
enum Link {
    /// Through the replica in this process, which may be the leader itself.
    Local {
        core: Rc<RefCell<Core>>,
        client: Client,
    },
    /// From a process without a replica.
    Remote(LeaderClient),
}

impl Handle {
    pub(super) fn new(core: Rc<RefCell<Core>>, client: Client) -> Self {
        Self::with_link(Link::Local { core, client })
    }

    fn with_link(link: Link) -> Self {
        Self {
            link,
            waiting_reports: Rc::default(),
            open_calls: Rc::default(),
            is_stopping: Rc::default(),
        }
    }

    /// Creates a handle for a process without a replica.
    pub(super) fn remote(leader: LeaderClient) -> Self {
        Self::with_link(Link::Remote(leader))
    }

    /// Refuses further calls, and waits until the open ones have ended. They are no longer repeated,
    /// so each ends once its last attempt does.
    pub async fn finish_calls(&self) {
        self.is_stopping.set(true);
        tokio::time::sleep(REFUSE_TIME).await;
        while self.open_calls.get() > 0 {
            tokio::time::sleep(FINISH_POLL_INTERVAL).await;
        }
    }

    /// Returns the number of calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.open_calls.get()
    }

    /// Returns whether the process is stopping, and refuses further calls.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Returns the peer address of the replica to which an upstream should send its next reports:
    /// the one in this process, so that the upstreams stay spread over the replicas, or else the
    /// leader. Returns `None` where no leader is known.
    pub fn report_address(&self) -> Option<SocketAddr> {
        match &self.link {
            Link::Local { core, .. } => {
                let core = core.borrow();
                core.leader_address().map(|_| core.address)
            }
            Link::Remote(leader) => leader.leader_address(),
        }
    }

    /// Forwards an upstream's report to the leader. Returns `None` after `limit`, and at once where
    /// too many reports wait already. `request` must be idempotent, as for [`Handle::call`].
    pub async fn report(&self, request: Request, limit: Duration) -> Option<Reply> {
        let _waiting = WaitingReport::new(&self.waiting_reports)?;
        self.call(request, limit).await
    }

    /// Calls the leader until it has replied. Returns `None` after `limit`, or earlier if the process
    /// is stopping. A request whose outcome is unknown is sent again, so `request` must be
    /// idempotent.
    pub async fn call(&self, request: Request, limit: Duration) -> Option<Reply> {
        let _open = self.open_call()?;
        tokio::time::timeout(limit, self.call_until_reply(request))
            .await
            .ok()?
    }

    /// Returns `None` where the process is stopping.
    fn open_call(&self) -> Option<OpenCall> {
        (!self.is_stopping()).then(|| OpenCall::new(&self.open_calls))
    }

    /// Like [`Handle::call`], with the rights of the operator `who`.
    pub async fn call_as_operator(
        &self,
        who: &Name,
        request: Request,
        limit: Duration,
    ) -> Option<Reply> {
        let request = Request::OnBehalf {
            who: who.clone(),
            request: Box::new(request),
        };
        self.call(request, limit).await
    }

    /// Starts or ends the evacuation of a data centre; `None` if the outcome is not known after
    /// `limit`.
    ///
    /// The same order may be given again after an opposite one, so each call is a change of its own.
    /// It applies only if no other order is accepted between its reading of their number and its
    /// own acceptance: a copy that a broken link delivers later must not undo an order given since.
    pub async fn evacuate(
        &self,
        who: &Name,
        order: &Evacuation,
        limit: Duration,
    ) -> Option<ChangeOutcome> {
        let _open = self.open_call()?;
        tokio::time::timeout(limit, self.evacuate_after_current_orders(who, order))
            .await
            .ok()?
    }

    async fn evacuate_after_current_orders(
        &self,
        who: &Name,
        order: &Evacuation,
    ) -> Option<ChangeOutcome> {
        let on_behalf = |request| Request::OnBehalf {
            who: who.clone(),
            request: Box::new(request),
        };
        let status = on_behalf(Request::Query(Query::Status));
        let Reply::Report(report) = self.call_until_reply(status).await? else {
            return None;
        };
        let Report::Status(status) = *report else {
            return None;
        };
        let mut orders = status.evacuation_orders;
        loop {
            let change = on_behalf(Request::Change(OperatorChange {
                change_id: format!("evacuation-{:016x}", fastrand::u64(..)).into(),
                expected_revision: None,
                change: Change::Evacuate {
                    data_centre: order.data_centre.clone(),
                    active: order.active,
                    expected_orders: Some(orders),
                },
                wait_ms: 0,
            }));
            let Reply::Change(reply) = self.call_until_reply(change).await? else {
                return None;
            };
            match reply.outcome {
                ChangeOutcome::EvacuationConflict { orders: current } => orders = current,
                outcome => return Some(outcome),
            }
        }
    }

    /// Returns `None` if an attempt fails while the process is stopping.
    async fn call_until_reply(&self, request: Request) -> Option<Reply> {
        loop {
            let reply = self.try_call(&request).await;
            if reply.is_some() || self.is_stopping() {
                return reply;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn try_call(&self, request: &Request) -> Option<Reply> {
        match &self.link {
            Link::Local { core, client } => {
                let reply = handle_peer(core.clone(), request.clone()).await;
                let Reply::NotLeader { leader } = reply else {
                    return definite(reply);
                };
                let reply = client.call(leader?, request, CALL_TIMEOUT).await;
                definite(reply.ok()?)
            }
            Link::Remote(leader) => leader.try_call(request).await,
        }
    }
}

/// Returns the reply unless the request must be sent again.
fn definite(reply: Reply) -> Option<Reply> {
    match reply {
        Reply::NotLeader { .. } | Reply::OutcomeUnknown => None,
        reply => Some(reply),
    }
}
