//! The data folder of a replica.
//!
//! The file `identity` holds the replica's identity, `log` holds frames of records, and `snapshot`
//! holds one frame. A file is replaced atomically: the new content is written to a temporary file,
//! synced and renamed, and then the folder is synced.

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

/// A record of the log file; a frame holds a list of them.
#[derive(Debug, Deserialize, Serialize)]
enum Record {
    HardState(HardState),
    TruncateFrom(Index),
    Entry(Entry),
}

/// An open and locked data folder.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    log_file: File,
    log_bytes: u64,
    snapshot_bytes: u64,
    next_seq: u64,
    // The state after all pending writes, to rewrite the log file when a snapshot replaces its
    // start.
    hard_state: HardState,
    log: Log,
    pending_writes: VecDeque<FileWrite>,
    /// Whether the last write to the log file failed, so that part of it may be in the file.
    has_partial_write: bool,
    _lock: File,
}

/// A pending write to one of the files, with the bytes to write.
#[derive(Debug)]
enum FileWrite {
    AppendLog(Vec<u8>),
    ReplaceSnapshot(Vec<u8>),
    ReplaceLog(Vec<u8>),
}

impl DataFolder {
    /// Opens the folder and restores its state. Creates the folder if it does not exist; a folder
    /// without an identity gets `new_id`.
    ///
    /// # Errors
    ///
    /// A file is corrupt or can't be read, or another process has locked the folder.
    pub fn open(path: &Path, new_id: ReplicaId) -> Result<Opened, Error> {
        create_folder(path)?;
        let lock = acquire_lock(&path.join(LOCK))?;
        let id = read_identity(path, new_id)?;
        let (snapshot, snapshot_bytes) = read_snapshot(path)?;
        let log_path = path.join(LOG);
        let bytes = read_or_empty(&log_path)?;
        let frames = parse_frames(&log_path, &bytes)?;
        let (hard_state, log) = replay(&log_path, &frames.payloads, snapshot)?;
        let truncated_bytes = (bytes.len() - frames.intact_bytes) as u64;
        let file = open_log(&log_path, frames.intact_bytes as u64)?;
        sync_folder(path)?;
        let data_folder = Self {
            path: path.to_owned(),
            log_file: file,
            log_bytes: frames.intact_bytes as u64,
            snapshot_bytes,
            next_seq: frames.next_seq,
            hard_state,
            log: log.clone(),
            pending_writes: VecDeque::new(),
            has_partial_write: false,
            _lock: lock,
        };
        Ok(Opened {
            data_folder,
            id,
            restored: Restored { hard_state, log },
            truncated_bytes,
        })
    }

    /// Enqueues the records as one frame to append to the log, and clears them.
    fn enqueue_append(&mut self, records: &mut Vec<Record>) {
        if records.is_empty() {
            return;
        }
        let bytes = frame::encode(self.next_seq, &codec::encode(records));
        records.clear();
        self.next_seq += 1;
        self.pending_writes.push_back(FileWrite::AppendLog(bytes));
    }

    /// Enqueues the replacement of the snapshot, and of the log by the entries after it.
    fn enqueue_snapshot(&mut self, snapshot: Snapshot) {
        let bytes = frame::encode(0, &codec::encode(&snapshot));
        self.pending_writes
            .push_back(FileWrite::ReplaceSnapshot(bytes));
        self.log.install_snapshot(snapshot);
        let first = self.log.snapshot().index + 1;
        let mut records = vec![Record::HardState(self.hard_state)];
        let entries = self.log.entries_from(first, usize::MAX);
        records.extend(entries.into_iter().map(Record::Entry));
        let bytes = frame::encode(self.next_seq, &codec::encode(&records));
        self.next_seq += 1;
        self.pending_writes.push_back(FileWrite::ReplaceLog(bytes));
    }

    /// Enqueues the writes of a batch.
    fn enqueue_batch(&mut self, batch: Vec<Persist>) {
        let mut records = Vec::new();
        for persist in batch {
            if let Some(hard_state) = persist.hard_state {
                self.hard_state = hard_state;
                records.push(Record::HardState(hard_state));
            }
            if let Some(snapshot) = persist.snapshot {
                self.enqueue_append(&mut records);
                self.enqueue_snapshot(snapshot);
            }
            if let Some(index) = persist.truncate_from {
                self.log.truncate_from(index);
                records.push(Record::TruncateFrom(index));
            }
            for entry in persist.entries {
                if entry.index == self.log.last_index() + 1 {
                    self.log.push(entry.clone());
                    records.push(Record::Entry(entry));
                }
            }
        }
        self.enqueue_append(&mut records);
    }

    /// Performs one write. A failed write can be retried.
    fn perform(&mut self, write: &FileWrite) -> Result<(), Error> {
        match write {
            FileWrite::AppendLog(bytes) => self.append(bytes),
            FileWrite::ReplaceSnapshot(bytes) => {
                replace(&self.path, SNAPSHOT, bytes)?;
                self.snapshot_bytes = bytes.len() as u64;
                Ok(())
            }
            FileWrite::ReplaceLog(bytes) => {
                replace(&self.path, LOG, bytes)?;
                self.log_bytes = bytes.len() as u64;
                self.log_file = open_log(&self.path.join(LOG), self.log_bytes)?;
                Ok(())
            }
        }
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.has_partial_write {
            // Truncates the part of the failed write that follows the last synced frame.
            self.log_file = open_log(&self.path.join(LOG), self.log_bytes)?;
            self.has_partial_write = false;
        }
        let result = self
            .log_file
            .write_all(bytes)
            .and_then(|()| self.log_file.sync_data());
        if let Err(source) = result {
            self.has_partial_write = true;
            let path = display_path(&self.path.join(LOG));
            return Err(source).context(IoSnafu { path });
        }
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }
}

impl Store for DataFolder {
    fn save(&mut self, batch: Vec<Persist>) -> Result<(), Error> {
        self.enqueue_batch(batch);
        while let Some(write) = self.pending_writes.pop_front() {
            if let Err(e) = self.perform(&write) {
                self.pending_writes.push_front(write);
                return Err(e);
            }
        }
        Ok(())
    }

    fn size_bytes(&self) -> u64 {
        self.log_bytes + self.snapshot_bytes
    }
}

fn display_path(path: &Path) -> String {
    path.display().to_string()
}

/// Locks the lock file at `path`, so that only one process uses the data folder.
fn acquire_lock(path: &Path) -> Result<File, Error> {
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .context(IoSnafu {
            path: display_path(path),
        })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => LockedSnafu {
            path: display_path(path),
        }
        .fail(),
        Err(fs::TryLockError::Error(source)) => Err(source).context(IoSnafu {
            path: display_path(path),
        }),
    }
}

pub(super) fn read_or_empty(path: &Path) -> Result<Vec<u8>, Error> {
    match fs::read(path) {
        Ok(bytes) => Ok(bytes),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(e) => Err(e).context(IoSnafu {
            path: display_path(path),
        }),
    }
}

/// Parses the frames of the file at `path`, or fails if one of them is corrupt.
fn parse_frames(path: &Path, bytes: &[u8]) -> Result<frame::Frames, Error> {
    let frames = frame::read(bytes);
    match frames.corrupt_offset {
        Some(offset) => CorruptSnafu {
            path: display_path(path),
            offset: offset as u64,
        }
        .fail(),
        None => Ok(frames),
    }
}

fn decode<T: DeserializeOwned>(path: &Path, bytes: &[u8]) -> Result<T, Error> {
    codec::decode(bytes).map_err(|e| Error::Decode {
        path: display_path(path),
        reason: e.to_string(),
    })
}

/// Reads the replica's identity, or stores `new_id` if the folder has none.
fn read_identity(folder: &Path, new_id: ReplicaId) -> Result<ReplicaId, Error> {
    let path = folder.join(IDENTITY);
    let bytes = read_or_empty(&path)?;
    let frames = parse_frames(&path, &bytes)?;
    if let Some(payload) = frames.payloads.first() {
        return decode(&path, payload);
    }
    replace(folder, IDENTITY, &frame::encode(0, &codec::encode(&new_id)))?;
    Ok(new_id)
}

/// Reads the snapshot and its file's size; returns an empty snapshot if there is none.
fn read_snapshot(folder: &Path) -> Result<(Snapshot, u64), Error> {
    let path = folder.join(SNAPSHOT);
    let bytes = read_or_empty(&path)?;
    if bytes.is_empty() {
        return Ok((empty_snapshot(), 0));
    }
    let frames = parse_frames(&path, &bytes)?;
    // The snapshot file is renamed into place only after it is synced, so a damaged frame is
    // corruption and not a torn tail.
    let Some(payload) = frames.payloads.first() else {
        return CorruptSnafu {
            path: display_path(&path),
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

/// Restores the term, the vote and the log from the records of the log file.
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
                Record::HardState(latest) => hard_state = latest,
                Record::TruncateFrom(index) => entries.retain(|entry| entry.index < index),
                Record::Entry(entry) => {
                    // After a crash between the renames of the snapshot and the log, the log still
                    // has entries that the snapshot covers; `Log::new` skips them.
                    entries.push(entry);
                }
            }
        }
    }
    Ok((hard_state, Log::new(snapshot, entries)))
}

/// Opens the log file for appending and truncates it to `len` bytes.
fn open_log(path: &Path, len: u64) -> Result<File, Error> {
    let context = || IoSnafu {
        path: display_path(path),
    };
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|_| context())?;
    file.set_len(len).with_context(|_| context())?;
    file.sync_all().with_context(|_| context())?;
    Ok(file)
}

/// Atomically replaces the file `name` in `folder` by `bytes`.
pub(super) fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), Error> {
    let path = folder.join(name);
    let temp_path = folder.join(format!("{name}.new"));
    let write = || -> io::Result<()> {
        let mut file = File::create(&temp_path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temp_path, &path)
    };
    write().context(IoSnafu {
        path: display_path(&path),
    })?;
    sync_folder(folder)
}

/// Creates a folder and its missing parents, and syncs the folder that holds each new one, without which
/// a loss of power could remove it with all its files.
fn create_folder(path: &Path) -> Result<(), Error> {
    if path.is_dir() {
        return Ok(());
    }
    let parent = match path.parent() {
        Some(parent) if parent.as_os_str().is_empty() => Path::new("."),
        Some(parent) => parent,
        None => path,
    };
    if parent != path {
        create_folder(parent)?;
    }
    fs::create_dir(path)
        .or_else(|e| match e.kind() {
            // Another process has created it meanwhile.
            io::ErrorKind::AlreadyExists if path.is_dir() => Ok(()),
            _ => Err(e),
        })
        .context(IoSnafu {
            path: display_path(path),
        })?;
    match sync_folder(parent) {
        // A folder that may be written but not read can't be synced.
        Err(Error::Io { source, .. }) if source.kind() == io::ErrorKind::PermissionDenied => Ok(()),
        result => result,
    }
}

pub(super) fn sync_folder(folder: &Path) -> Result<(), Error> {
    File::open(folder)
        .and_then(|dir| dir.sync_all())
        .context(IoSnafu {
            path: display_path(folder),
        })
}
