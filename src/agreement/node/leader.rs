//! Replication on the leader: appends, commit index and check quorum.

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
        // Check quorum: a leader that is partitioned from a quorum of voters steps down.
        let last_contact = self.quorum_contact().unwrap_or(self.leader_since);
        if now > last_contact + self.settings.election_timeout_max {
            self.become_follower(self.hard_state.term, None, now);
            return;
        }
        if now >= self.heartbeat_due {
            self.broadcast(now);
        }
    }

    /// Appends a new entry of the current term.
    pub(super) fn append_as_leader(&mut self, payload: Payload) {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last_index() + 1,
            payload,
        };
        self.log.push(entry.clone());
        self.effects.persist.entries.push(entry);
    }

    /// Adds and removes followers' progress to match the latest membership.
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

    /// Starts a round: sends append entries, or a heartbeat, to every follower.
    pub(super) fn broadcast(&mut self, now: Duration) {
        self.heartbeat_due = now + self.settings.heartbeat_interval;
        let round = self.rounds.start(now);
        let peers: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for peer in peers {
            self.send_append_entries(peer, round, now);
        }
    }

    /// Sends the entries that `to` lacks, or a snapshot if the log no longer has them.
    pub(super) fn send_append_entries(&mut self, to: ReplicaId, round: u64, now: Duration) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            let is_due = progress
                .snapshot_sent_at
                .is_none_or(|sent| now >= sent + SNAPSHOT_RETRY_INTERVAL);
            if is_due {
                progress.snapshot_sent_at = Some(now);
                let snapshot = self.log.snapshot().clone();
                self.send_before_sync(to, Body::InstallSnapshot { snapshot, round });
            }
            return;
        };
        let entries = self.log.entries_from(progress.next_index, APPEND_MAX_BYTES);
        // Pipelining: advances before the reply arrives. A rejection, such as that of the next
        // heartbeat after a lost message, moves the next index back.
        progress.next_index += entries.len() as u64;
        let body = Body::AppendEntries {
            prev_index,
            prev_term,
            entries,
            leader_commit: self.commit_index,
            round,
        };
        self.send_before_sync(to, body);
    }

    pub(super) fn on_append_entries_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        success: bool,
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
        if !success {
            progress.next_index = (index + 1).clamp(progress.match_index + 1, last + 1);
            self.send_append_entries(from, round, now);
            return;
        }
        if index > progress.match_index && index <= last {
            progress.match_index = index;
            progress.snapshot_sent_at = None;
        }
        progress.next_index = progress.next_index.max(progress.match_index + 1);
        let is_behind = progress.next_index <= last;
        self.advance_commit();
        if is_behind {
            self.send_append_entries(from, round, now);
        }
    }

    /// Advances the commit index to the highest index that is durable on a quorum of voters, if
    /// that entry is of the current term. Raft commits entries of earlier terms only along with one
    /// of the current term.
    pub(super) fn advance_commit(&mut self) {
        let mut match_indexes: Vec<Index> = self
            .membership()
            .voters()
            .map(|id| self.match_index(id).unwrap_or(0))
            .collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = self.membership().quorum_size();
        let Some(&index) = match_indexes.get(quorum - 1) else {
            return;
        };
        if index > self.commit_index && self.log.term(index) == Some(self.hard_state.term) {
            // Followers must learn soon that the entries of earlier terms are committed: gateways
            // ask them for the configuration.
            if self.commit_index < self.term_start_index {
                self.heartbeat_due = Duration::ZERO;
            }
            self.commit_index = index;
        }
    }

    /// Returns the latest time such that a quorum of voters has replied to a round sent then or
    /// later; `None` if no quorum has replied.
    pub(super) fn quorum_contact(&self) -> Option<Duration> {
        let mut contacts: Vec<Option<Duration>> = self
            .membership()
            .voters()
            .map(|id| match self.progress.get(&id) {
                Some(progress) => progress.last_contact,
                // The leader itself is always in contact.
                None => Some(Duration::MAX / 2),
            })
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts
            .get(self.membership().quorum_size() - 1)
            .copied()
            .flatten()
    }
}
