//! Slots of the pools that requests wait for.

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

/// Time between looks at queues for requests whose time is over.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

enum Turn {
    Run,
    Refuse { retry_after: Duration },
}

/// One pool for each target.
#[derive(Default)]
pub(crate) struct Pools {
    pools: HashMap<Target, Pool>,
    turns: HashMap<u64, oneshot::Sender<Turn>>,
    tickets: u64,
}

/// What a request says when it asks for a slot.
#[derive(Clone, Debug)]
pub(crate) struct Admit {
    pub(crate) target: Target,
    pub(crate) organisation: Name,
    pub(crate) weight: u32,
    pub(crate) priority: Priority,
    pub(crate) until: Duration,
}

/// A slot of a pool; dropping it lets the next request run.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    target: Target,
    since: Duration,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held = self.shared.now().saturating_sub(self.since);
        let mut pools = self.shared.pools.lock();
        if let Some(pool) = pools.pools.get_mut(&self.target) {
            pool.release_slot(held);
        }
        pools.pump(&self.target);
    }
}

impl Pools {
    /// Takes the slots that the leader granted.
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
            self.pump(&share.target);
        }
    }

    /// Requests that run or wait, by target.
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

    /// Lets waiting requests run while there are slots.
    fn pump(&mut self, target: &Target) {
        let Some(pool) = self.pools.get_mut(target) else {
            return;
        };
        while let Some(waiting) = pool.dispatch_next() {
            let sent = self
                .turns
                .remove(&waiting.ticket)
                .is_some_and(|tx| tx.send(Turn::Run).is_ok());
            if !sent {
                pool.release_slot(Duration::ZERO);
            }
        }
    }

    fn expire(&mut self, now: Duration, draw: f64) {
        for pool in self.pools.values_mut() {
            for (waiting, retry_after) in pool.remove_expired(now, draw) {
                if let Some(tx) = self.turns.remove(&waiting.ticket) {
                    let _ = tx.send(Turn::Refuse { retry_after });
                }
            }
        }
    }
}

/// Refuses waiting requests whose time is over, as long as the process runs.
pub(super) async fn expire(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = shared.now();
        shared.pools.lock().expire(now, fastrand::f64());
    }
}

/// Waits for a slot.
pub(crate) async fn admit(shared: &Arc<Shared>, admit: Admit, draw: f64) -> Result<Slot, Refusal> {
    let now = shared.now();
    let rx = {
        let mut pools = shared.pools.lock();
        pools.tickets += 1;
        let ticket = pools.tickets;
        let waiting = SlotRequest {
            ticket,
            organisation: admit.organisation.clone(),
            weight: admit.weight,
            priority: admit.priority,
            deadline: admit.until,
        };
        let pool = pools.pools.entry(admit.target.clone()).or_default();
        match pool.request_slot(waiting, now, draw) {
            Decision::Admit => None,
            Decision::Reject { retry_after } => return Err(Refusal::busy(retry_after)),
            Decision::Queue => {
                let (tx, rx) = oneshot::channel();
                pools.turns.insert(ticket, tx);
                Some(rx)
            }
        }
    };
    if let Some(rx) = rx {
        match rx.await {
            Ok(Turn::Run) => {}
            Ok(Turn::Refuse { retry_after }) => return Err(Refusal::busy(retry_after)),
            Err(_) => return Err(Refusal::busy(Duration::from_secs(1))),
        }
    }
    let since = shared.now();
    shared.metrics.record_duration(
        "daisyquay_queue_seconds",
        since.saturating_sub(now).as_secs_f64(),
        &[],
    );
    Ok(Slot {
        shared: shared.clone(),
        target: admit.target,
        since,
    })
}
