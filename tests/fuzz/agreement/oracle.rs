//! What must hold of the log, told as simply as possible.

use std::collections::BTreeMap;

use daisyquay::agreement::Entry;
use daisyquay::agreement::Index;
use daisyquay::agreement::Payload;
use daisyquay::agreement::ReplicaId;
use daisyquay::agreement::Term;

/// Everything that was ever seen committed, and who led.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, ReplicaId>,
    /// Commands that were seen committed.
    pub(crate) commands: u64,
}

/// A running digest of the commands up to an index: the state machine of this test.
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
    /// A replica reports an entry as committed.
    pub(crate) fn committed(&mut self, id: ReplicaId, entry: &Entry) -> Result<(), String> {
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

    /// A replica leads in a term.
    pub(crate) fn leads(&mut self, id: ReplicaId, term: Term) -> Result<(), String> {
        let known = *self.leaders.entry(term).or_insert(id);
        if known == id {
            return Ok(());
        }
        Err(format!("{id} and {known} both lead in term {term}"))
    }

    /// The digest of all commands up to `index`, as far as they were seen.
    pub(crate) fn digest_at(&self, index: Index) -> u64 {
        self.committed
            .range(..=index)
            .fold(0, |before, (_, entry)| digest(before, entry))
    }

    /// Last index that was seen committed.
    pub(crate) fn last(&self) -> Index {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }
}
