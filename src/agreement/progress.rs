//! What a leader knows of one follower.

use std::collections::VecDeque;
use std::time::Duration;

use super::Index;

/// Rounds whose sending time is remembered; older ones no longer extend a lease.
const ROUNDS_KEPT: usize = 64;

/// A follower as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to be durable there.
    pub(crate) match_index: Index,
    /// Next index to send.
    pub(crate) next: Index,
    /// When the newest round that it answered had been sent.
    pub(crate) last_contact: Option<Duration>,
    /// When a snapshot was sent last, so that it is not sent again with every heartbeat.
    pub(crate) snapshot_sent: Option<Duration>,
}

impl Progress {
    /// A follower of which nothing is known but the leader's own last index.
    pub(crate) fn new(last_index: Index) -> Self {
        Self {
            match_index: 0,
            next: last_index + 1,
            last_contact: None,
            snapshot_sent: None,
        }
    }
}

/// Sending times of the leader's latest rounds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rounds {
    latest: u64,
    sent: VecDeque<(u64, Duration)>,
}

impl Rounds {
    /// Opens a new round at `now`.
    pub(crate) fn open(&mut self, now: Duration) -> u64 {
        self.latest += 1;
        self.sent.push_back((self.latest, now));
        if self.sent.len() > ROUNDS_KEPT {
            self.sent.pop_front();
        }
        self.latest
    }

    /// When `round` was sent, if it is remembered.
    pub(crate) fn sent_at(&self, round: u64) -> Option<Duration> {
        self.sent
            .iter()
            .find(|(known, _)| *known == round)
            .map(|&(_, at)| at)
    }
}
