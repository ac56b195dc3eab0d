//! The requests that have no complete response yet, and what each waits for.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use super::Gateway;
use crate::collections::HashMap;
use crate::collections::Name;

/// Stage of an open request, named after the thing it waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// For the configuration or the rest of the request body.
    Receiving,
    /// For an upstream: capacity, a retry or the end of a pause.
    Queued,
    /// For the head of an upstream's response, and the first event of a stream.
    Sent,
    /// For the rest of a stream whose head the caller has.
    Streaming,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Receiving => "receiving",
            Self::Queued => "queued",
            Self::Sent => "sent",
            Self::Streaming => "streaming",
        })
    }
}

/// An open request, as of its last change of stage.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    pub(super) id: Name,
    /// `None` until the request head has been parsed.
    pub(super) route: Option<Name>,
    pub(super) stage: Stage,
    /// Upstream that has the request; `None` while it is queued.
    pub(super) upstream: Option<Name>,
    /// Whether the caller has the head of the response.
    pub(super) has_head: bool,
    pub(super) opened_at: Duration,
    pub(super) stage_since: Duration,
}

/// The open requests of a gateway.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    rows: RefCell<HashMap<u64, Snapshot>>,
}

impl OpenRequests {
    pub(super) fn count(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Returns the open requests, the oldest first.
    pub(super) fn snapshots(&self) -> Vec<Snapshot> {
        let mut rows: Vec<Snapshot> = self.rows.borrow().values().cloned().collect();
        rows.sort_by_key(|row| row.opened_at);
        rows
    }
}

/// Counts a request as open until it is dropped.
pub(super) struct OpenRequest {
    gateway: Rc<Gateway>,
    key: u64,
}

impl OpenRequest {
    pub(super) fn new(gateway: &Rc<Gateway>, id: &str) -> Self {
        let now = gateway.now();
        let snapshot = Snapshot {
            id: id.into(),
            route: None,
            stage: Stage::Receiving,
            upstream: None,
            has_head: false,
            opened_at: now,
            stage_since: now,
        };
        // Callers may use an id twice, so it can't be the key.
        let key = gateway.next_open_request.get();
        gateway.next_open_request.set(key + 1);
        gateway
            .open_requests
            .rows
            .borrow_mut()
            .insert(key, snapshot);
        Self {
            gateway: gateway.clone(),
            key,
        }
    }

    pub(super) fn set_route(&self, route: &Name) {
        self.update(|row| row.route = Some(route.clone()));
    }

    /// Records what the request waits for from now on.
    pub(super) fn set_stage(&self, stage: Stage, upstream: Option<&Name>) {
        let now = self.gateway.now();
        self.update(|row| {
            row.stage = stage;
            row.has_head |= stage == Stage::Streaming;
            row.upstream = upstream.cloned();
            row.stage_since = now;
        });
    }

    pub(super) fn stage(&self) -> Stage {
        let rows = self.gateway.open_requests.rows.borrow();
        rows.get(&self.key)
            .map_or(Stage::Receiving, |row| row.stage)
    }

    /// Returns the upstream that has the request and has not responded as a whole, and for how long.
    pub(super) fn sent_to(&self) -> Option<(Name, Duration)> {
        let rows = self.gateway.open_requests.rows.borrow();
        let row = rows.get(&self.key)?;
        let upstream = row.upstream.clone()?;
        let elapsed = self.gateway.now().saturating_sub(row.stage_since);
        (row.stage == Stage::Sent).then_some((upstream, elapsed))
    }

    fn update(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut rows = self.gateway.open_requests.rows.borrow_mut();
        if let Some(row) = rows.get_mut(&self.key) {
            change(row);
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.gateway
            .open_requests
            .rows
            .borrow_mut()
            .remove(&self.key);
    }
}
