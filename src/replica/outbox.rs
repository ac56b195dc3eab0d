//! Sends the log's messages to the other replicas, with a bounded number of calls per peer.
//! Messages that queue up meanwhile are sent as one batch by the next call.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::agreement::Message;
use crate::collections::HashMap;
use crate::peer::Client;
use crate::peer::Request;

/// Most messages queued for one peer. Beyond it the oldest is dropped; the log resends what is
/// still needed.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Time within which a peer must reply to a batch.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Most concurrent calls to one peer.
const MAX_CONCURRENT_CALLS: usize = 4;

#[derive(Default)]
struct PeerQueue {
    messages: Vec<Message>,
    active_calls: usize,
}

/// Sends messages through one queue per peer; clones share the queues.
#[derive(Clone)]
pub(super) struct Outbox {
    own_address: SocketAddr,
    client: Client,
    queues: Rc<RefCell<HashMap<SocketAddr, PeerQueue>>>,
}

impl Outbox {
    pub(super) fn new(own_address: SocketAddr, client: Client) -> Self {
        Self {
            own_address,
            client,
            queues: Rc::default(),
        }
    }

    pub(super) fn send(&self, to: SocketAddr, message: Message) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(to).or_default();
        if queue.messages.len() >= MAX_QUEUED_MESSAGES {
            queue.messages.remove(0);
        }
        queue.messages.push(message);
        if queue.active_calls < MAX_CONCURRENT_CALLS {
            queue.active_calls += 1;
            tokio::task::spawn_local(self.clone().send_queued(to));
        }
    }

    /// Returns the size of the log's commands and snapshots in the queued messages, in bytes.
    pub(super) fn queued_bytes(&self) -> usize {
        let queues = self.queues.borrow();
        let messages = queues.values().flat_map(|queue| &queue.messages);
        messages.map(Message::payload_bytes).sum()
    }

    async fn send_queued(self, to: SocketAddr) {
        loop {
            let batch = {
                let mut queues = self.queues.borrow_mut();
                let queue = queues.entry(to).or_default();
                if queue.messages.is_empty() {
                    queue.active_calls -= 1;
                    return;
                }
                std::mem::take(&mut queue.messages)
            };
            let request = Request::Agreement {
                from: self.own_address,
                messages: batch,
            };
            // A lost batch needs no retry here: the log resends what is still needed.
            let _ = self.client.call(to, &request, CALL_TIMEOUT).await;
        }
    }
}
