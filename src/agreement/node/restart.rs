//! Elections after a restart of all voters, without the wait for the lease of a former leader.
//!
//! A replica that restarts may have acknowledged a leader that relies on it for its lease, so it
//! does not vote for one minimum election timeout. It need not wait if that leader has restarted
//! too, or has stepped down. Let `t` be the term on disk at the start:
//!
//! - It has acknowledged leaders of terms up to `t` only, because the term is synced before the
//!   reply is sent.
//! - If the last entry of its log has term `t`, a leader of `t` was elected. No lease of an earlier
//!   term was valid from then on, and the log has the entries that the leader held when it was
//!   elected, so the leader is among the voters of this log.
//! - A replica that asks for votes in a term above `t` does not lead in `t` at that time, and never
//!   will again.
//!
//! So once all other voters have asked for votes in terms above `t`, no lease of a former leader is
//! valid that this replica has acknowledged. To let each other know, restarted replicas send
//! pre-vote requests at short intervals. These change no state at the receivers and don't depose a
//! leader. If a voter stays away, the full wait applies.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Node;
use super::Role;
use crate::agreement::Body;
use crate::agreement::HardState;
use crate::agreement::Index;
use crate::agreement::Log;
use crate::agreement::ReplicaId;
use crate::agreement::Term;

/// Interval between pre-vote requests after a restart.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// Time after a restart for which pre-vote requests are sent at short intervals: after a loss of
/// power all VMs start within 2 s of each other, and the first one must still send requests when the
/// last one has started.
const PROBE_PERIOD: Duration = Duration::from_secs(4);

/// Vote requests that a replica has received since its start, and its state on disk at that time.
#[derive(Debug)]
pub(super) struct Restart {
    started_at: Duration,
    /// Term and vote on disk at the start.
    hard_state: HardState,
    /// Whether the log has an entry of that term.
    has_entry_of_term: bool,
    /// Replicas that have asked for votes in a later term, with the term and index of their last
    /// entries.
    heard: BTreeMap<ReplicaId, (Term, Index)>,
    next_probe_at: Duration,
}

impl Restart {
    /// Creates the record of a replica that starts at `now` with this state on disk.
    pub(super) fn new(hard_state: HardState, log: &Log, now: Duration) -> Self {
        Self {
            started_at: now,
            hard_state,
            has_entry_of_term: log.last_term() == hard_state.term,
            heard: BTreeMap::new(),
            next_probe_at: now,
        }
    }
}

impl Node {
    /// Records that `from` asks for votes, and ends the wait for a former leader's lease if no
    /// voter can hold it any more.
    pub(super) fn record_vote_request(&mut self, from: ReplicaId, term: Term, body: &Body) {
        let (Body::PreVote {
            last_index,
            last_term,
        }
        | Body::Vote {
            last_index,
            last_term,
        }) = *body
        else {
            return;
        };
        let Some(restart) = &mut self.restart else {
            return;
        };
        if term > restart.hard_state.term {
            restart.heard.insert(from, (last_term, last_index));
        }
        self.end_restart_wait();
    }

    /// Allows this replica to vote, and returns `true`, if no voter leads in the term in which this
    /// replica last acknowledged a leader.
    fn end_restart_wait(&mut self) -> bool {
        let can_vote = self.restart.as_ref().is_some_and(|restart| {
            let mut voters = self.membership().voters();
            restart.has_entry_of_term
                && voters.all(|id| id == self.id || restart.heard.contains_key(&id))
        });
        if can_vote {
            self.leader_contact = None;
        }
        can_vote
    }

    /// Sends pre-vote requests after a restart. Once all voters have restarted, the one with the
    /// most complete log starts the election, so that votes are not split. One that has voted for
    /// another since its start leaves the term to that candidate until the election timeout.
    pub(super) fn tick_restart(&mut self, now: Duration) {
        let Some(restart) = &mut self.restart else {
            return;
        };
        let is_due = now >= restart.next_probe_at && now < restart.started_at + PROBE_PERIOD;
        if !is_due || self.role == Role::Candidate {
            return;
        }
        restart.next_probe_at = now + PROBE_INTERVAL;
        if !self.membership().is_voter(self.id) {
            return;
        }
        if self.end_restart_wait() && self.is_first_candidate() && !self.has_voted_since_restart() {
            self.start_pre_vote(now);
            return;
        }
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.hard_state.term + 1, &body);
    }

    /// Returns whether this replica has voted for another one in the present term since its start.
    fn has_voted_since_restart(&self) -> bool {
        let is_new = |restart: &Restart| restart.hard_state != self.hard_state;
        self.restart.as_ref().is_some_and(is_new)
            && self.hard_state.vote.is_some_and(|vote| vote != self.id)
    }

    /// Returns whether no voter heard of has a more complete log, or an equal one and a lower
    /// identity.
    fn is_first_candidate(&self) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        let heard = self.restart.iter().flat_map(|restart| &restart.heard);
        let mut voters = heard.filter(|(id, _)| self.membership().is_voter(**id));
        voters.all(|(&id, &last)| last < own || last == own && id > self.id)
    }
}
