//! Admission: each target has a pool of slots, and requests wait in its queue for one.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::Refusal;
use super::Shared;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::peer::TargetCount;
use crate::policy::admission::Decision;
use crate::policy::admission::Pool;
use crate::policy::admission::Priority;
use crate::policy::admission::SlotRequest;
use crate::state::Target;

/// Interval at which the queues are checked for expired requests.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// How a queued request's wait ended.
enum QueueOutcome {
    Admitted,
    Rejected { retry_after: Duration },
}

/// The pools by target, and the requests that wait in them.
#[derive(Default)]
pub(crate) struct Pools {
    pools: HashMap<Target, Pool>,
    /// Notifies the waiting requests, by ticket.
    waiters: HashMap<u64, oneshot::Sender<QueueOutcome>>,
    last_ticket: u64,
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    pub(crate) target: Target,
    pub(crate) organisation: Name,
    /// The organisation's weight in fair queueing.
    pub(crate) weight: u32,
    pub(crate) priority: Priority,
    /// Time at which the request leaves the queue and is refused.
    pub(crate) queue_deadline: Duration,
}

/// A slot of a pool. Dropping it frees the slot for the next request.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    target: Target,
    acquired_at: Duration,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held = self.shared.now().saturating_sub(self.acquired_at);
        let mut pools = self.shared.pools.lock();
        if let Some(pool) = pools.pools.get_mut(&self.target) {
            pool.release_slot(held);
        }
        pools.admit_waiting(&self.target);
    }
}

impl Pools {
    /// Sets each pool to the slots that the leader granted; the pool of a target that is not in
    /// `shares` gets none.
    pub(crate) fn resize(&mut self, shares: &[TargetCount]) {
        for (target, pool) in &mut self.pools {
            if !shares.iter().any(|share| share.target == *target) {
                pool.resize(0);
            }
        }
        for share in shares {
            let pool = self.pools.entry(share.target.clone()).or_default();
            pool.resize(share.count);
        }
        for share in shares {
            self.admit_waiting(&share.target);
        }
    }

    /// Returns the number of running and waiting requests per target, for the next renewal.
    pub(crate) fn demand(&self) -> Vec<TargetCount> {
        let mut demand = Vec::new();
        for (target, pool) in &self.pools {
            let busy = pool.running() as usize + pool.queued();
            if busy > 0 {
                demand.push(TargetCount {
                    target: target.clone(),
                    count: u32::try_from(busy).unwrap_or(u32::MAX),
                });
            }
        }
        demand
    }

    /// Admits waiting requests while slots are free.
    fn admit_waiting(&mut self, target: &Target) {
        let Some(pool) = self.pools.get_mut(target) else {
            return;
        };
        while let Some(waiting) = pool.dispatch_next() {
            let sent = self
                .waiters
                .remove(&waiting.ticket)
                .is_some_and(|tx| tx.send(QueueOutcome::Admitted).is_ok());
            if !sent {
                pool.release_slot(Duration::ZERO);
            }
        }
    }

    /// Rejects the waiting requests whose deadline has passed.
    fn expire_waiting(&mut self, now: Duration, draw: f64) {
        for pool in self.pools.values_mut() {
            for (waiting, retry_after) in pool.remove_expired(now, draw) {
                if let Some(tx) = self.waiters.remove(&waiting.ticket) {
                    let _ = tx.send(QueueOutcome::Rejected { retry_after });
                }
            }
        }
    }
}

/// Refuses requests that have waited too long, until the process ends.
pub(super) async fn run_expiry(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = shared.now();
        shared.pools.lock().expire_waiting(now, fastrand::f64());
    }
}

/// Waits for a slot. `draw` is a random number from 0 to 1 that spreads the retries of refused
/// callers.
///
/// # Errors
///
/// The target has no slots, its queue is too long, or the request's time in the queue is over.
pub(crate) async fn acquire_slot(
    shared: &Arc<Shared>,
    request: AdmissionRequest,
    draw: f64,
) -> Result<Slot, Refusal> {
    let now = shared.now();
    let rx = {
        let mut pools = shared.pools.lock();
        pools.last_ticket += 1;
        let ticket = pools.last_ticket;
        let queued = SlotRequest {
            ticket,
            organisation: request.organisation.clone(),
            weight: request.weight,
            priority: request.priority,
            deadline: request.queue_deadline,
        };
        let pool = pools.pools.entry(request.target.clone()).or_default();
        match pool.request_slot(queued, now, draw) {
            Decision::Admit => None,
            Decision::Reject { retry_after } => return Err(Refusal::busy(retry_after)),
            Decision::Queue => {
                let (tx, rx) = oneshot::channel();
                pools.waiters.insert(ticket, tx);
                Some(rx)
            }
        }
    };
    if let Some(rx) = rx {
        match rx.await {
            Ok(QueueOutcome::Admitted) => {}
            Ok(QueueOutcome::Rejected { retry_after }) => return Err(Refusal::busy(retry_after)),
            Err(_) => return Err(Refusal::busy(Duration::from_secs(1))),
        }
    }
    let acquired_at = shared.now();
    shared.metrics.record_duration(
        "daisyquay_queue_seconds",
        acquired_at.saturating_sub(now).as_secs_f64(),
        &[],
    );
    Ok(Slot {
        shared: shared.clone(),
        target: request.target,
        acquired_at,
    })
}
