//! What a leader knows of one follower.

use std::collections::VecDeque;
use std::time::Duration;

use super::Index;

/// Rounds whose sending time is remembered; older ones no longer extend a lease.
const MAX_TRACKED_ROUNDS: usize = 64;

/// A follower as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to be durable there.
    pub(crate) match_index: Index,
    /// Next index to send.
    pub(crate) next_index: Index,
    /// When the newest round that it answered had been sent.
    pub(crate) last_contact: Option<Duration>,
    /// When a snapshot was sent last, so that it is not sent again with every heartbeat.
    pub(crate) snapshot_sent_at: Option<Duration>,
}

impl Progress {
    /// A follower of which nothing is known but the leader's own last index.
    pub(crate) fn new(last_index: Index) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            last_contact: None,
            snapshot_sent_at: None,
        }
    }
}

/// Sending times of the leader's latest rounds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rounds {
    latest: u64,
    send_times: VecDeque<(u64, Duration)>,
}

impl Rounds {
    /// Opens a new round at `now`.
    pub(crate) fn start(&mut self, now: Duration) -> u64 {
        self.latest += 1;
        self.send_times.push_back((self.latest, now));
        if self.send_times.len() > MAX_TRACKED_ROUNDS {
            self.send_times.pop_front();
        }
        self.latest
    }

    /// When `round` was sent, if it is remembered.
    pub(crate) fn sent_at(&self, round: u64) -> Option<Duration> {
        self.send_times
            .iter()
            .find(|(known, _)| *known == round)
            .map(|&(_, at)| at)
    }
}
