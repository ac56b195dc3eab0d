//! The leader's side of replication.

use std::time::Duration;

use super::APPEND_MAX_BYTES;
use super::Node;
use super::Role;
use super::SNAPSHOT_RETRY_INTERVAL;
use crate::agreement::Body;
use crate::agreement::Entry;
use crate::agreement::Index;
use crate::agreement::Payload;
use crate::agreement::ReplicaId;
use crate::agreement::Term;
use crate::agreement::progress::Progress;

impl Node {
    pub(super) fn tick_leader(&mut self, now: Duration) {
        // Check-quorum: a leader that a cut has silenced steps down by itself.
        let silent_since = self.quorum_contact().unwrap_or(self.leader_since);
        if now > silent_since + self.settings.election_timeout_max {
            self.become_follower(self.hard_state.term, None, now);
            return;
        }
        if now >= self.heartbeat_due {
            self.broadcast(now);
        }
    }

    pub(super) fn append_as_leader(&mut self, payload: Payload) {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last_index() + 1,
            payload,
        };
        self.log.push(entry.clone());
        self.effects.persist.entries.push(entry);
    }

    /// Keeps one progress per other member of the newest membership.
    pub(super) fn reconcile_progress(&mut self) {
        let last = self.log.last_index();
        let id = self.id;
        let members: Vec<ReplicaId> = self.membership().members.keys().copied().collect();
        self.progress.retain(|known, _| members.contains(known));
        for member in members.into_iter().filter(|&member| member != id) {
            self.progress
                .entry(member)
                .or_insert_with(|| Progress::new(last));
        }
    }

    pub(super) fn broadcast(&mut self, now: Duration) {
        self.heartbeat_due = now + self.settings.heartbeat_interval;
        let round = self.rounds.start(now);
        let peers: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for peer in peers {
            self.send_append_entries(peer, round, now);
        }
    }

    pub(super) fn send_append_entries(&mut self, to: ReplicaId, round: u64, now: Duration) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            let due = progress
                .snapshot_sent_at
                .is_none_or(|sent| now >= sent + SNAPSHOT_RETRY_INTERVAL);
            if due {
                progress.snapshot_sent_at = Some(now);
                let snapshot = self.log.snapshot().clone();
                self.send_before_sync(to, Body::InstallSnapshot { snapshot, round });
            }
            return;
        };
        let entries = self.log.entries_from(progress.next_index, APPEND_MAX_BYTES);
        // Optimistic: the next append continues from here; a refusal or a heartbeat steps back.
        progress.next_index += entries.len() as u64;
        let body = Body::AppendEntries {
            prev_index,
            prev_term,
            entries,
            commit: self.commit_index,
            round,
        };
        self.send_before_sync(to, body);
    }

    pub(super) fn on_append_entries_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        matched: bool,
        index: Index,
        round: u64,
        now: Duration,
    ) {
        if term > self.hard_state.term {
            self.become_follower(term, None, now);
            return;
        }
        if self.role != Role::Leader || term < self.hard_state.term {
            return;
        }
        let sent_at = self.rounds.sent_at(round);
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact = progress.last_contact.max(sent_at);
        if !matched {
            progress.next_index = (index + 1).clamp(progress.match_index + 1, last + 1);
            self.send_append_entries(from, round, now);
            return;
        }
        if index > progress.match_index && index <= last {
            progress.match_index = index;
            progress.snapshot_sent_at = None;
        }
        progress.next_index = progress.next_index.max(progress.match_index + 1);
        let behind = progress.next_index <= last;
        self.advance_commit();
        if behind {
            self.send_append_entries(from, round, now);
        }
    }

    /// Commits what a quorum of voters holds durably, if it is of this term.
    pub(super) fn advance_commit(&mut self) {
        let mut matched: Vec<Index> = self
            .membership()
            .voters()
            .map(|id| self.match_index(id).unwrap_or(0))
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = self.membership().quorum_size();
        let Some(&index) = matched.get(quorum - 1) else {
            return;
        };
        if index > self.commit_index && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_index = index;
        }
    }

    /// The latest sending time that a quorum of voters has answered.
    pub(super) fn quorum_contact(&self) -> Option<Duration> {
        let mut heard: Vec<Option<Duration>> = self
            .membership()
            .voters()
            .map(|id| match self.progress.get(&id) {
                Some(progress) => progress.last_contact,
                // This replica itself: always heard.
                None => Some(Duration::MAX / 2),
            })
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard
            .get(self.membership().quorum_size() - 1)
            .copied()
            .flatten()
    }
}
