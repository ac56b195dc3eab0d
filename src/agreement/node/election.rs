//! Elections: pre-vote, vote, taking office.

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

    /// A leader heard lately makes this replica refuse votes: that is what a leader's lease rests
    /// on, and what keeps a replica that comes back from a cut from unseating a healthy leader.
    pub(super) fn has_recent_leader(&self, now: Duration) -> bool {
        self.role == Role::Leader
            || self
                .leader_contact
                .is_some_and(|heard| now < heard + self.settings.election_timeout_min)
    }

    pub(super) fn is_log_up_to_date(&self, theirs: (Term, Index)) -> bool {
        theirs >= (self.log.last_term(), self.log.last_index())
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
        // A refusal carries our own term, so that a candidate that lags behind catches up.
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
            let refusal = Body::VoteReply { granted: false };
            self.send_after_sync(from, self.hard_state.term, refusal);
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None, now);
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = free && self.is_log_up_to_date(last);
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

    /// Counts a voter's vote; learners count for nothing.
    pub(super) fn record_vote(&mut self, from: ReplicaId) -> bool {
        if !self.membership().is_voter(from) {
            return false;
        }
        self.votes.insert(from);
        self.votes.len() >= self.membership().quorum_size()
    }

    pub(super) fn become_leader(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_since = now;
        self.progress.clear();
        self.rounds = Rounds::default();
        self.append_as_leader(Payload::Noop);
        self.term_start_index = self.log.last_index();
        self.reconcile_progress();
        self.broadcast(now);
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Duration) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.effects.persist.hard_state = Some(self.hard_state);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timeout(now);
    }

    pub(super) fn reset_election_timeout(&mut self, now: Duration) {
        let spread = self.settings.election_timeout_max - self.settings.election_timeout_min;
        self.election_deadline =
            now + self.settings.election_timeout_min + spread.mul_f64(self.rng.f64());
    }
}
