//! Sends the log's messages, one call at a time to each peer; what queues up goes into the next.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::agreement::Message;
use crate::collections::HashMap;
use crate::peer::Client;
use crate::peer::Request;

/// Messages that wait for one peer; the log repeats what is dropped.
const QUEUE_LIMIT: usize = 256;

/// Time in which a peer must take a batch.
const CALL_LIMIT: Duration = Duration::from_millis(400);

/// Calls to one peer that may be under way.
const CALLS: usize = 4;

#[derive(Default)]
struct Lane {
    queue: Vec<Message>,
    calls: usize,
}

/// Queues of messages by peer.
#[derive(Clone)]
pub(super) struct Outbox {
    own: SocketAddr,
    client: Client,
    lanes: Rc<RefCell<HashMap<SocketAddr, Lane>>>,
}

impl Outbox {
    pub(super) fn new(own: SocketAddr, client: Client) -> Self {
        Self {
            own,
            client,
            lanes: Rc::default(),
        }
    }

    pub(super) fn send(&self, to: SocketAddr, message: Message) {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(to).or_default();
        if lane.queue.len() >= QUEUE_LIMIT {
            lane.queue.remove(0);
        }
        lane.queue.push(message);
        if lane.calls < CALLS {
            lane.calls += 1;
            tokio::task::spawn_local(self.clone().drain(to));
        }
    }

    async fn drain(self, to: SocketAddr) {
        loop {
            let batch = {
                let mut lanes = self.lanes.borrow_mut();
                let lane = lanes.entry(to).or_default();
                if lane.queue.is_empty() {
                    lane.calls -= 1;
                    return;
                }
                std::mem::take(&mut lane.queue)
            };
            let request = Request::Agreement {
                from: self.own,
                messages: batch,
            };
            // A lost batch is the log's own business: it repeats what matters.
            let _ = self.client.call(to, &request, CALL_LIMIT).await;
        }
    }
}
