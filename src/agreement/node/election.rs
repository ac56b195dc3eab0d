//! Leader election: pre-vote, vote and role changes.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Node;
use super::Role;
use crate::agreement::Body;
use crate::agreement::HardState;
use crate::agreement::Index;
use crate::agreement::Payload;
use crate::agreement::ReplicaId;
use crate::agreement::Term;
use crate::agreement::progress::Rounds;

impl Node {
    pub(super) fn start_pre_vote(&mut self, now: Duration) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        self.reset_election_timeout(now);
        if self.votes.len() >= self.membership().quorum_size() {
            self.start_election(now);
            return;
        }
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.hard_state.term + 1, &body);
    }

    pub(super) fn start_election(&mut self, now: Duration) {
        debug_assert!(
            !self.has_recent_leader(now),
            "a candidate votes for itself, so it must be allowed to vote"
        );
        self.role = Role::Candidate;
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        };
        self.effects.persist.hard_state = Some(self.hard_state);
        self.votes = BTreeSet::from([self.id]);
        self.reset_election_timeout(now);
        if self.votes.len() >= self.membership().quorum_size() {
            self.become_leader(now);
            return;
        }
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.hard_state.term, &body);
    }

    /// Returns whether this replica is the leader or received a message from one within the minimum
    /// election timeout. It then rejects vote requests: the leader's lease relies on that, and it
    /// prevents a replica that returns from a network partition from deposing a healthy leader.
    pub(super) fn has_recent_leader(&self, now: Duration) -> bool {
        self.role == Role::Leader
            || self
                .leader_contact
                .is_some_and(|contact| now < contact + self.settings.election_timeout_min)
    }

    /// Returns whether a candidate's last entry is at least as up to date as this replica's.
    pub(super) fn is_log_up_to_date(&self, candidate_last: (Term, Index)) -> bool {
        candidate_last >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last: (Term, Index),
        now: Duration,
    ) {
        let granted = term > self.hard_state.term
            && !self.has_recent_leader(now)
            && self.is_log_up_to_date(last);
        // A rejection carries this replica's term, which a candidate with an older term adopts.
        let term = if granted { term } else { self.hard_state.term };
        self.send_after_sync(from, term, Body::PreVoteReply { granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        granted: bool,
        now: Duration,
    ) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(term, None, now);
            }
            return;
        }
        if self.role != Role::PreCandidate || term != self.hard_state.term + 1 {
            return;
        }
        if self.record_vote(from) {
            self.start_election(now);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last: (Term, Index),
        now: Duration,
    ) {
        if term < self.hard_state.term || self.has_recent_leader(now) {
            let rejection = Body::VoteReply { granted: false };
            self.send_after_sync(from, self.hard_state.term, rejection);
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None, now);
        }
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = can_vote && self.is_log_up_to_date(last);
        if granted {
            self.hard_state.vote = Some(from);
            self.effects.persist.hard_state = Some(self.hard_state);
            self.reset_election_timeout(now);
        }
        self.send_after_sync(from, term, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        granted: bool,
        now: Duration,
    ) {
        if term > self.hard_state.term {
            self.become_follower(term, None, now);
            return;
        }
        if self.role != Role::Candidate || term != self.hard_state.term || !granted {
            return;
        }
        if self.record_vote(from) {
            self.become_leader(now);
        }
    }

    /// Records a granted vote, unless `from` is not a voter, and returns whether the votes form a
    /// quorum.
    pub(super) fn record_vote(&mut self, from: ReplicaId) -> bool {
        if !self.membership().is_voter(from) {
            return false;
        }
        self.votes.insert(from);
        self.votes.len() >= self.membership().quorum_size()
    }

    /// Starts leading: appends a no-op entry of the new term and announces the leader to all peers.
    pub(super) fn become_leader(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.restart = None;
        self.leader_since = now;
        self.progress.clear();
        self.rounds = Rounds::default();
        self.append_as_leader(Payload::Noop);
        self.term_start_index = self.log.last_index();
        self.reconcile_progress();
        self.broadcast(now);
    }

    /// Follows `leader`, or no known leader, in `term`; a higher term clears the vote.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Duration) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.effects.persist.hard_state = Some(self.hard_state);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timeout(now);
    }

    /// Draws a random election timeout, so that two replicas rarely start an election at the same
    /// time.
    pub(super) fn reset_election_timeout(&mut self, now: Duration) {
        let jitter_range = self.settings.election_timeout_max - self.settings.election_timeout_min;
        self.election_deadline =
            now + self.settings.election_timeout_min + jitter_range.mul_f64(self.rng.f64());
    }
}
