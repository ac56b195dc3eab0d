//! Batches ledger steps towards the leader. Steps of one request keep their order: a later one
//! waits until the call that carries an earlier one has ended.

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

/// Calls that may be under way at once.
const CALLS: usize = 8;

/// Steps in one call, at most.
const BATCH_LIMIT: usize = 512;

type Step = (LedgerOp, Option<oneshot::Sender<LedgerOutcome>>);

#[derive(Default)]
struct Inner {
    queue: Vec<Step>,
    busy: HashSet<RequestId>,
    calls: usize,
}

/// The batcher.
#[derive(Clone, Default)]
pub(super) struct Batcher {
    inner: Rc<RefCell<Inner>>,
}

impl Batcher {
    /// Queues a step. One that somebody waits for leaves at once if it can.
    pub(super) fn push(&self, link: &LeaderClient, step: Step) {
        let urgent = step.1.is_some();
        self.inner.borrow_mut().queue.push(step);
        if urgent {
            self.flush(link);
        }
    }

    /// Whether nothing is queued or under way.
    pub(super) fn is_idle(&self) -> bool {
        let inner = self.inner.borrow();
        inner.queue.is_empty() && inner.calls == 0
    }

    /// Sends what is queued, as far as calls are free.
    pub(super) fn flush(&self, link: &LeaderClient) {
        let batch = self.inner.borrow_mut().take_batch();
        if !batch.is_empty() {
            let (batcher, link) = (self.clone(), link.clone());
            tokio::task::spawn_local(async move { batcher.send(link, batch).await });
        }
    }

    async fn send(self, link: LeaderClient, batch: Vec<Step>) {
        let ops: Vec<LedgerOp> = batch.iter().map(|(op, _)| op.clone()).collect();
        let requests: Vec<RequestId> = ops.iter().filter_map(request_of).collect();
        // Every step may be repeated: a claim or a settlement that was carried out already is
        // known by its request.
        let outcomes = loop {
            match link.try_call(&Request::Ledger(ops.clone())).await {
                Some(Reply::Ledger(outcomes)) => break outcomes,
                Some(Reply::Refused(_)) => break Vec::new(),
                _ => link.wait_before_retry().await,
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
            inner.busy.remove(&request);
        }
        let more = !inner.queue.is_empty();
        drop(inner);
        if more {
            self.flush(&link);
        }
    }
}

impl Inner {
    fn take_batch(&mut self) -> Vec<Step> {
        if self.calls >= CALLS || self.queue.is_empty() {
            return Vec::new();
        }
        let mut batch = Vec::new();
        let mut rest = Vec::new();
        for step in self.queue.drain(..) {
            let blocked = request_of(&step.0).is_some_and(|id| self.busy.contains(&id));
            if blocked || batch.len() >= BATCH_LIMIT {
                rest.push(step);
            } else {
                batch.push(step);
            }
        }
        self.queue = rest;
        if !batch.is_empty() {
            self.calls += 1;
            self.busy
                .extend(batch.iter().filter_map(|(op, _)| request_of(op)));
        }
        batch
    }
}

fn request_of(op: &LedgerOp) -> Option<RequestId> {
    match op {
        LedgerOp::Claim(claim) => Some(claim.request),
        LedgerOp::Reassign { request, .. } | LedgerOp::Release(request) => Some(*request),
        LedgerOp::Settle(settlement) => Some(settlement.request),
        LedgerOp::Rate(_) => None,
    }
}
