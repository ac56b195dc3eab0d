//! Replication progress that a leader tracks for each follower.

use std::collections::VecDeque;
use std::time::Duration;

use super::Index;

/// Broadcast rounds whose send time is kept. A reply to an older round does not extend the leader's
/// lease.
const MAX_TRACKED_ROUNDS: usize = 64;

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Highest index known to be durable on the follower.
    pub(crate) match_index: Index,
    /// Index of the next entry to send.
    pub(crate) next_index: Index,
    /// Send time of the newest round that the follower replied to.
    pub(crate) last_contact: Option<Duration>,
    /// Send time of the latest unacknowledged snapshot, so that not every heartbeat sends it again.
    pub(crate) snapshot_sent_at: Option<Duration>,
}

impl Progress {
    /// Starts tracking a follower whose log is unknown; sending starts after the leader's
    /// `last_index`.
    pub(crate) fn new(last_index: Index) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            last_contact: None,
            snapshot_sent_at: None,
        }
    }
}

/// Send times of the leader's latest broadcast rounds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rounds {
    latest: u64,
    send_times: VecDeque<(u64, Duration)>,
}

impl Rounds {
    /// Starts a round at `now` and returns its number.
    pub(crate) fn start(&mut self, now: Duration) -> u64 {
        self.latest += 1;
        self.send_times.push_back((self.latest, now));
        if self.send_times.len() > MAX_TRACKED_ROUNDS {
            self.send_times.pop_front();
        }
        self.latest
    }

    /// Returns the send time of `round`, or `None` if it is no longer kept.
    pub(crate) fn sent_at(&self, round: u64) -> Option<Duration> {
        self.send_times
            .iter()
            .find(|(sent, _)| *sent == round)
            .map(|&(_, at)| at)
    }
}
