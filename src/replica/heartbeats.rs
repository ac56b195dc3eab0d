//! Heartbeats of upstreams that a follower has answered, for the leader.
//!
//! Handles thousands of upstreams: if each sent its heartbeats to the leader, the leader would hold
//! all their connections and do little else. A heartbeat that changes nothing in the directory can
//! be answered by any replica, which tells the leader of many at once.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::core::Core;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::peer::Client;
use crate::peer::Reply;
use crate::peer::Request;

/// Time between two batches.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time within which the leader must reply to a batch.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Heartbeats that the leader has not heard of yet.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    /// Incarnation by the upstream's name.
    pending: HashMap<Name, u64>,
    /// Whether the last batch was lost. No heartbeats are answered then: their senders had better
    /// turn to a replica that reaches the leader.
    is_cut_off: bool,
}

impl Heartbeats {
    /// Records a heartbeat; returns whether the leader will hear of it.
    pub(super) fn record(&mut self, id: &Name, incarnation: u64) -> bool {
        if self.is_cut_off {
            return false;
        }
        self.pending.insert(id.clone(), incarnation);
        true
    }
}

/// Sends the heartbeats to the leader in batches; never returns.
pub(super) async fn forward(core: Rc<RefCell<Core>>, client: Client) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(leader) = core.borrow().remote_leader() else {
            core.borrow_mut().heartbeats = Heartbeats::default();
            continue;
        };
        let pending = std::mem::take(&mut core.borrow_mut().heartbeats.pending);
        if pending.is_empty() && !core.borrow().heartbeats.is_cut_off {
            continue;
        }
        let request = Request::Heartbeats(pending.into_iter().collect());
        let reply = client.call(leader, &request, CALL_TIMEOUT).await;
        core.borrow_mut().heartbeats.is_cut_off = !matches!(reply, Ok(Reply::Done));
    }
}
