//! Replication on followers: append entries and snapshots from the leader.

use std::time::Duration;

use super::Node;
use crate::agreement::Body;
use crate::agreement::Entry;
use crate::agreement::Index;
use crate::agreement::ReplicaId;
use crate::agreement::Snapshot;
use crate::agreement::Term;

impl Node {
    /// Follows `from` as the leader of `term` and returns `true`, or rejects a request of an older
    /// term and returns `false`.
    pub(super) fn accept_leader(
        &mut self,
        from: ReplicaId,
        term: Term,
        round: u64,
        now: Duration,
    ) -> bool {
        if term < self.hard_state.term {
            let body = Body::AppendEntriesReply {
                success: false,
                index: 0,
                round,
            };
            self.send_after_sync(from, self.hard_state.term, body);
            return false;
        }
        self.become_follower(term, Some(from), now);
        self.leader_contact = Some(now);
        self.restart = None;
        true
    }

    pub(super) fn on_append_entries(
        &mut self,
        from: ReplicaId,
        prev: (Index, Term),
        entries: Vec<Entry>,
        leader_commit: Index,
        round: u64,
    ) {
        let (prev_index, prev_term) = prev;
        let is_compacted = prev_index < self.log.snapshot().index;
        if !is_compacted && self.log.term(prev_index) != Some(prev_term) {
            let hint = prev_index.saturating_sub(1).min(self.log.last_index());
            self.reply_append_entries(from, false, hint, round);
            return;
        }
        let last = prev_index + entries.len() as u64;
        self.merge_entries(entries);
        self.commit_index = self.commit_index.max(leader_commit.min(last));
        self.reply_append_entries(from, true, last, round);
    }

    /// Appends the entries that the log does not hold yet, and replaces conflicting ones.
    pub(super) fn merge_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.snapshot().index {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_conflict(entry.index),
                None => {}
            }
            self.log.push(entry.clone());
            self.effects.persist.entries.push(entry);
        }
    }

    /// Removes the conflicting entry at `index` and all entries after it.
    pub(super) fn truncate_conflict(&mut self, index: Index) {
        debug_assert!(
            index > self.commit_index,
            "a committed entry must not be truncated"
        );
        self.log.truncate_from(index);
        self.durable_index = self.durable_index.min(index - 1);
        self.effects.persist.truncate_from = Some(index);
    }

    pub(super) fn on_install_snapshot(&mut self, from: ReplicaId, snapshot: Snapshot, round: u64) {
        let index = snapshot.index;
        if index > self.commit_index {
            self.log.install_snapshot(snapshot.clone());
            self.commit_index = index;
            self.delivered_index = index;
            self.durable_index = self.durable_index.max(index).min(self.log.last_index());
            self.effects.persist.snapshot = Some(snapshot.clone());
            self.effects.install_snapshot = Some(snapshot);
        }
        self.reply_append_entries(from, true, index, round);
    }

    pub(super) fn reply_append_entries(
        &mut self,
        to: ReplicaId,
        success: bool,
        index: Index,
        round: u64,
    ) {
        let body = Body::AppendEntriesReply {
            success,
            index,
            round,
        };
        self.send_after_sync(to, self.hard_state.term, body);
    }
}
