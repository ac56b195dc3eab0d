//! Oracle for the replicated log: replicas commit the same entries, and a term has one leader.

use std::collections::BTreeMap;

use daisyquay::agreement::Entry;
use daisyquay::agreement::Index;
use daisyquay::agreement::Payload;
use daisyquay::agreement::ReplicaId;
use daisyquay::agreement::Term;

/// All entries that any replica committed, and the leader of each term.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, ReplicaId>,
    /// Number of committed commands.
    pub(crate) commands: u64,
}

/// Returns the state after `entry`: the test's state machine is a running digest of the commands.
pub(crate) fn digest(before: u64, entry: &Entry) -> u64 {
    let Payload::Command(data) = &entry.payload else {
        return before;
    };
    let mut bytes = before.to_le_bytes().to_vec();
    bytes.extend(data);
    bytes.extend(entry.index.to_le_bytes());
    u64::from(crc32fast::hash(&bytes)) << 16 | (before & 0xffff).wrapping_add(1) & 0xffff
}

impl Oracle {
    /// Records an entry that a replica committed.
    pub(crate) fn record_committed(&mut self, id: ReplicaId, entry: &Entry) -> Result<(), String> {
        match self.committed.get(&entry.index) {
            Some(known) if known != entry => Err(format!(
                "{id} committed {entry:?}, another replica {known:?}"
            )),
            Some(_) => Ok(()),
            None => {
                if matches!(entry.payload, Payload::Command(_)) {
                    self.commands += 1;
                }
                self.committed.insert(entry.index, entry.clone());
                Ok(())
            }
        }
    }

    /// Records that a replica is the leader in a term.
    pub(crate) fn record_leader(&mut self, id: ReplicaId, term: Term) -> Result<(), String> {
        let known = *self.leaders.entry(term).or_insert(id);
        if known == id {
            return Ok(());
        }
        Err(format!("{id} and {known} are both leaders in term {term}"))
    }

    /// Returns the digest of all known committed commands up to `index`.
    pub(crate) fn digest_at(&self, index: Index) -> u64 {
        self.committed
            .range(..=index)
            .fold(0, |before, (_, entry)| digest(before, entry))
    }

    /// Returns the highest committed index.
    pub(crate) fn last_index(&self) -> Index {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }
}
