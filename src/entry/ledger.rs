//! Sends ledger operations to the leader in batches. Operations of one request keep their order: a
//! later one is held back until the call with the earlier one has ended.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::oneshot;

use crate::collections::HashSet;
use crate::peer::LeaderClient;
use crate::peer::Reply;
use crate::peer::Request;
use crate::state::RequestId;
use crate::state::command::LedgerOp;
use crate::state::command::LedgerOutcome;

/// Most concurrent calls to the leader.
const MAX_CALLS_IN_FLIGHT: usize = 8;

/// Most operations per call.
const MAX_BATCH_OPS: usize = 512;

/// An operation, and the sender for its outcome where a request waits for it.
type PendingOp = (LedgerOp, Option<oneshot::Sender<LedgerOutcome>>);

#[derive(Default)]
struct Inner {
    queue: Vec<PendingOp>,
    /// Requests with an operation in a call that has not ended.
    in_flight: HashSet<RequestId>,
    calls: usize,
}

/// Queues ledger operations and sends them in batches. Clones share one queue.
#[derive(Clone, Default)]
pub(super) struct Batcher {
    inner: Rc<RefCell<Inner>>,
}

impl Batcher {
    /// Queues an operation. One whose outcome a request waits for is sent at once if possible.
    pub(super) fn push(&self, leader: &LeaderClient, pending: PendingOp) {
        let urgent = pending.1.is_some();
        self.inner.borrow_mut().queue.push(pending);
        if urgent {
            self.flush(leader);
        }
    }

    /// Whether nothing is queued or in flight.
    pub(super) fn is_idle(&self) -> bool {
        let inner = self.inner.borrow();
        inner.queue.is_empty() && inner.calls == 0
    }

    /// Sends a batch of queued operations unless the maximum of concurrent calls is reached.
    pub(super) fn flush(&self, leader: &LeaderClient) {
        let batch = self.inner.borrow_mut().next_batch();
        if !batch.is_empty() {
            let (batcher, leader) = (self.clone(), leader.clone());
            tokio::task::spawn_local(async move { batcher.send(leader, batch).await });
        }
    }

    async fn send(self, leader: LeaderClient, batch: Vec<PendingOp>) {
        let ops: Vec<LedgerOp> = batch.iter().map(|(op, _)| op.clone()).collect();
        let requests: Vec<RequestId> = ops.iter().filter_map(request_id).collect();
        // The call can be retried, because every operation may be sent again: by the request's id,
        // the ledger recognises a claim or a settlement that it has already applied.
        let outcomes = loop {
            match leader.try_call(&Request::Ledger(ops.clone())).await {
                Some(Reply::Ledger(outcomes)) => break outcomes,
                Some(Reply::Refused(_)) => break Vec::new(),
                _ => leader.wait_before_retry().await,
            }
        };
        for ((_, tx), outcome) in batch.into_iter().zip(outcomes) {
            if let Some(tx) = tx {
                let _ = tx.send(outcome);
            }
        }
        let mut inner = self.inner.borrow_mut();
        inner.calls -= 1;
        for request in requests {
            inner.in_flight.remove(&request);
        }
        let more = !inner.queue.is_empty();
        drop(inner);
        if more {
            self.flush(&leader);
        }
    }
}

impl Inner {
    fn next_batch(&mut self) -> Vec<PendingOp> {
        if self.calls >= MAX_CALLS_IN_FLIGHT || self.queue.is_empty() {
            return Vec::new();
        }
        let mut batch = Vec::new();
        let mut rest = Vec::new();
        for pending in self.queue.drain(..) {
            let blocked = request_id(&pending.0).is_some_and(|id| self.in_flight.contains(&id));
            if blocked || batch.len() >= MAX_BATCH_OPS {
                rest.push(pending);
            } else {
                batch.push(pending);
            }
        }
        self.queue = rest;
        if !batch.is_empty() {
            self.calls += 1;
            self.in_flight
                .extend(batch.iter().filter_map(|(op, _)| request_id(op)));
        }
        batch
    }
}

fn request_id(op: &LedgerOp) -> Option<RequestId> {
    match op {
        LedgerOp::Claim(claim) => Some(claim.request),
        LedgerOp::Reassign { request, .. } | LedgerOp::Release(request) => Some(*request),
        LedgerOp::Settle(settlement) => Some(settlement.request),
        LedgerOp::Rate(_) => None,
    }
}
