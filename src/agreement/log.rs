//! The log in memory, from the last snapshot on.

use super::Entry;
use super::Index;
use super::Membership;
use super::Payload;
use super::Snapshot;
use super::Term;

/// Entries after a snapshot.
///
/// # Invariants
///
/// Entry `i` of `entries` has index `snapshot.index + 1 + i`.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Builds a log from what a disk held.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            entries: Vec::new(),
        };
        // INVARIANT: Entries that the snapshot covers are dropped, a gap ends the log.
        for entry in entries {
            if entry.index <= log.snapshot.index {
                continue;
            }
            if entry.index != log.last_index() + 1 {
                break;
            }
            log.entries.push(entry);
        }
        log
    }

    /// The snapshot that the log starts from.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of `index`, if the log still has it.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `from` on, at most `limit` bytes of commands but at least one entry.
    pub fn entries_from(&self, from: Index, limit: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        let mut next = from;
        while let Some(entry) = self.get(next) {
            if let Payload::Command(data) = &entry.payload {
                bytes += data.len();
            }
            if bytes > limit && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            next += 1;
        }
        taken
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Drops `index` and all after it.
    pub fn truncate_from(&mut self, index: Index) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(0));
    }

    /// Replaces the log up to the snapshot's index; a log that disagrees with it is dropped whole.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// The newest membership in the log and its index.
    pub fn membership(&self) -> (Index, &Membership) {
        let found = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                Payload::Noop | Payload::Command(_) => None,
            });
        found.unwrap_or((self.snapshot.index, &self.snapshot.membership))
    }

    /// The membership in force at `index`.
    pub fn membership_at(&self, index: Index) -> &Membership {
        self.entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index)
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some(membership),
                Payload::Noop | Payload::Command(_) => None,
            })
            .unwrap_or(&self.snapshot.membership)
    }
}
