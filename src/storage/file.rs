//! The data folder of one replica.
//!
//! `identity` names the disk, `log` holds frames of records, `snapshot` one frame. Replaced files
//! are written aside, synced, renamed, and the folder is synced.

use std::collections::VecDeque;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::CorruptSnafu;
use super::Error;
use super::IoSnafu;
use super::LockedSnafu;
use super::Opened;
use super::Store;
use super::frame;
use crate::agreement::Entry;
use crate::agreement::HardState;
use crate::agreement::Index;
use crate::agreement::Log;
use crate::agreement::Membership;
use crate::agreement::Persist;
use crate::agreement::ReplicaId;
use crate::agreement::Restored;
use crate::agreement::Snapshot;
use crate::codec;

const IDENTITY: &str = "identity";
const LOCK: &str = "lock";
const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";

/// One record of the log file.
#[derive(Debug, Deserialize, Serialize)]
enum Record {
    Hard(HardState),
    Truncate(Index),
    Entry(Entry),
}

/// An open data folder.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    log: File,
    log_bytes: u64,
    snapshot_bytes: u64,
    next_seq: u64,
    // Kept in memory to rewrite the log file when a snapshot replaces its start.
    hard_state: HardState,
    kept: Log,
    todo: VecDeque<Step>,
    /// Whether a write to the log failed half-way.
    torn: bool,
    _lock: File,
}

/// One change of the files, with the bytes to be written.
#[derive(Debug)]
enum Step {
    Append(Vec<u8>),
    Snapshot(Vec<u8>),
    Log(Vec<u8>),
}

impl DataFolder {
    /// Opens the folder, or makes it with identity `fresh` where it is empty.
    ///
    /// # Errors
    ///
    /// A damaged middle, an unreadable file or a second process on the same folder.
    pub fn open(path: &Path, fresh: ReplicaId) -> Result<Opened, Error> {
        fs::create_dir_all(path).context(IoSnafu { path: show(path) })?;
        let lock = take_lock(&path.join(LOCK))?;
        let id = read_identity(path, fresh)?;
        let (snapshot, snapshot_bytes) = read_snapshot(path)?;
        let log_path = path.join(LOG);
        let bytes = read_or_empty(&log_path)?;
        let frames = read_intact(&log_path, &bytes)?;
        let (hard_state, log) = replay(&log_path, &frames.payloads, snapshot)?;
        let truncated_bytes = (bytes.len() - frames.intact) as u64;
        let file = open_log(&log_path, frames.intact as u64)?;
        sync_folder(path)?;
        let data_folder = Self {
            path: path.to_owned(),
            log: file,
            log_bytes: frames.intact as u64,
            snapshot_bytes,
            next_seq: frames.next_seq,
            hard_state,
            kept: log.clone(),
            todo: VecDeque::new(),
            torn: false,
            _lock: lock,
        };
        Ok(Opened {
            data_folder,
            id,
            restored: Restored { hard_state, log },
            truncated_bytes,
        })
    }

    /// Plans to append records.
    fn plan_append(&mut self, records: &mut Vec<Record>) {
        if records.is_empty() {
            return;
        }
        let bytes = frame::encode(self.next_seq, &codec::encode(records));
        records.clear();
        self.next_seq += 1;
        self.todo.push_back(Step::Append(bytes));
    }

    /// Plans to replace the snapshot, and the log by what the snapshot does not cover.
    fn plan_snapshot(&mut self, snapshot: Snapshot) {
        let bytes = frame::encode(0, &codec::encode(&snapshot));
        self.todo.push_back(Step::Snapshot(bytes));
        self.kept.install_snapshot(snapshot);
        let first = self.kept.snapshot().index + 1;
        let mut records = vec![Record::Hard(self.hard_state)];
        let kept = self.kept.entries_from(first, usize::MAX);
        records.extend(kept.into_iter().map(Record::Entry));
        let bytes = frame::encode(self.next_seq, &codec::encode(&records));
        self.next_seq += 1;
        self.todo.push_back(Step::Log(bytes));
    }

    /// Plans a batch.
    fn plan(&mut self, batch: Vec<Persist>) {
        let mut records = Vec::new();
        for persist in batch {
            if let Some(hard_state) = persist.hard_state {
                self.hard_state = hard_state;
                records.push(Record::Hard(hard_state));
            }
            if let Some(snapshot) = persist.snapshot {
                self.plan_append(&mut records);
                self.plan_snapshot(snapshot);
            }
            if let Some(index) = persist.truncate_from {
                self.kept.truncate_from(index);
                records.push(Record::Truncate(index));
            }
            for entry in persist.entries {
                if entry.index == self.kept.last_index() + 1 {
                    self.kept.push(entry.clone());
                    records.push(Record::Entry(entry));
                }
            }
        }
        self.plan_append(&mut records);
    }

    /// Carries out one step. A step that failed may be carried out again.
    fn carry_out(&mut self, step: &Step) -> Result<(), Error> {
        match step {
            Step::Append(bytes) => self.append(bytes),
            Step::Snapshot(bytes) => {
                replace(&self.path, SNAPSHOT, bytes)?;
                self.snapshot_bytes = bytes.len() as u64;
                Ok(())
            }
            Step::Log(bytes) => {
                replace(&self.path, LOG, bytes)?;
                self.log_bytes = bytes.len() as u64;
                self.log = open_log(&self.path.join(LOG), self.log_bytes)?;
                Ok(())
            }
        }
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.torn {
            // Part of a failed write may stand behind the last good record.
            self.log = open_log(&self.path.join(LOG), self.log_bytes)?;
            self.torn = false;
        }
        let written = self
            .log
            .write_all(bytes)
            .and_then(|()| self.log.sync_data());
        if let Err(source) = written {
            self.torn = true;
            let path = show(&self.path.join(LOG));
            return Err(source).context(IoSnafu { path });
        }
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }
}

impl Store for DataFolder {
    fn save(&mut self, batch: Vec<Persist>) -> Result<(), Error> {
        self.plan(batch);
        while let Some(step) = self.todo.pop_front() {
            if let Err(e) = self.carry_out(&step) {
                self.todo.push_front(step);
                return Err(e);
            }
        }
        Ok(())
    }

    fn size_bytes(&self) -> u64 {
        self.log_bytes + self.snapshot_bytes
    }
}

fn show(path: &Path) -> String {
    path.display().to_string()
}

fn take_lock(path: &Path) -> Result<File, Error> {
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .context(IoSnafu { path: show(path) })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => LockedSnafu { path: show(path) }.fail(),
        Err(fs::TryLockError::Error(source)) => Err(source).context(IoSnafu { path: show(path) }),
    }
}

fn read_or_empty(path: &Path) -> Result<Vec<u8>, Error> {
    match fs::read(path) {
        Ok(bytes) => Ok(bytes),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(e) => Err(e).context(IoSnafu { path: show(path) }),
    }
}

fn read_intact(path: &Path, bytes: &[u8]) -> Result<frame::Frames, Error> {
    let frames = frame::read(bytes);
    match frames.corrupt_at {
        Some(offset) => CorruptSnafu {
            path: show(path),
            offset: offset as u64,
        }
        .fail(),
        None => Ok(frames),
    }
}

fn decode<T: DeserializeOwned>(path: &Path, bytes: &[u8]) -> Result<T, Error> {
    codec::decode(bytes).map_err(|e| Error::Decode {
        path: show(path),
        reason: e.to_string(),
    })
}

fn read_identity(folder: &Path, fresh: ReplicaId) -> Result<ReplicaId, Error> {
    let path = folder.join(IDENTITY);
    let bytes = read_or_empty(&path)?;
    let frames = read_intact(&path, &bytes)?;
    if let Some(payload) = frames.payloads.first() {
        return decode(&path, payload);
    }
    replace(folder, IDENTITY, &frame::encode(0, &codec::encode(&fresh)))?;
    Ok(fresh)
}

fn read_snapshot(folder: &Path) -> Result<(Snapshot, u64), Error> {
    let path = folder.join(SNAPSHOT);
    let bytes = read_or_empty(&path)?;
    if bytes.is_empty() {
        return Ok((empty_snapshot(), 0));
    }
    let frames = read_intact(&path, &bytes)?;
    // A snapshot is renamed into place only when it is whole, so damage here is never a torn tail.
    let Some(payload) = frames.payloads.first() else {
        return CorruptSnafu {
            path: show(&path),
            offset: 0_u64,
        }
        .fail();
    };
    Ok((decode(&path, payload)?, bytes.len() as u64))
}

fn empty_snapshot() -> Snapshot {
    Snapshot {
        index: 0,
        term: 0,
        membership: Membership::default(),
        data: Vec::new(),
    }
}

fn replay(
    path: &Path,
    payloads: &[Vec<u8>],
    snapshot: Snapshot,
) -> Result<(HardState, Log), Error> {
    let mut hard_state = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    for payload in payloads {
        for record in decode::<Vec<Record>>(path, payload)? {
            match record {
                Record::Hard(newer) => hard_state = newer,
                Record::Truncate(index) => entries.retain(|entry| entry.index < index),
                Record::Entry(entry) => {
                    // After a crash between the two renames of a snapshot, the log starts earlier.
                    entries.push(entry);
                }
            }
        }
    }
    Ok((hard_state, Log::new(snapshot, entries)))
}

fn open_log(path: &Path, intact: u64) -> Result<File, Error> {
    let context = || IoSnafu { path: show(path) };
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|_| context())?;
    file.set_len(intact).with_context(|_| context())?;
    file.sync_all().with_context(|_| context())?;
    Ok(file)
}

fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), Error> {
    let path = folder.join(name);
    let aside = folder.join(format!("{name}.new"));
    let write = || -> io::Result<()> {
        let mut file = File::create(&aside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&aside, &path)
    };
    write().context(IoSnafu { path: show(&path) })?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    File::open(folder)
        .and_then(|dir| dir.sync_all())
        .context(IoSnafu { path: show(folder) })
}
