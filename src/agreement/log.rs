//! The in-memory log from the latest snapshot on.

use super::Entry;
use super::Index;
use super::Membership;
use super::Payload;
use super::Snapshot;
use super::Term;

/// A snapshot and the entries after it.
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
    /// Builds a log from the stored snapshot and entries.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            entries: Vec::new(),
        };
        // INVARIANT: Skips entries that the snapshot covers, and drops all entries after a gap.
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

    /// Returns the snapshot that precedes the first entry.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry, or that of the snapshot if there are no entries.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the term of the last entry, or that of the snapshot if there are no entries.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, or `None` if it is compacted or past the end. The
    /// snapshot's own index has a term.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, or `None` if it is compacted or past the end.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns entries from `first` on with at most `max_bytes` of commands in total. An entry at
    /// `first` is returned even if it is larger.
    pub fn entries_from(&self, first: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut next = first;
        while let Some(entry) = self.get(next) {
            bytes += entry.payload.size();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            next += 1;
        }
        entries
    }

    /// Returns the size of all commands after the snapshot, in bytes.
    pub fn command_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.payload.size()).sum()
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all entries after it.
    pub fn truncate_from(&mut self, index: Index) {
        let len = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(len).unwrap_or(0));
    }

    /// Replaces the entries up to the snapshot's index by the snapshot. Removes all entries if the
    /// log has no entry with the snapshot's index and term.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// Returns the latest membership in the log, committed or not, and its index.
    pub fn membership(&self) -> (Index, &Membership) {
        let latest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                Payload::Noop | Payload::Command(_) => None,
            });
        latest.unwrap_or((self.snapshot.index, &self.snapshot.membership))
    }

    /// Returns the membership that applies at `index`.
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
