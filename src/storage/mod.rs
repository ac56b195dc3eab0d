//! Persistent storage of a state replica: its identity, the log and the snapshot.

mod file;
mod frame;
mod permission;

use std::io::ErrorKind;

use snafu::Snafu;

use crate::agreement::Persist;
use crate::agreement::ReplicaId;
use crate::agreement::Restored;

pub use self::file::DataFolder;
pub use self::frame::Frames;
pub use self::frame::encode as encode_frame;
pub use self::frame::read as read_frames;
pub use self::permission::BootstrapPermission;

/// Durable storage for a replica's persistent state.
pub trait Store: Send {
    /// Writes and syncs a batch; all of it is durable when this returns `Ok`.
    ///
    /// # Errors
    ///
    /// The disk is full or fails. The batch does not count as durable then; the next call, with an
    /// empty batch or a further one, first retries from the write that failed.
    fn save(&mut self, batch: Vec<Persist>) -> Result<(), Error>;

    /// Returns the size of the log and the snapshot in bytes.
    fn size_bytes(&self) -> u64;
}

/// An opened data folder and the state restored from it.
#[derive(Debug)]
pub struct Opened {
    /// The data folder, ready for writing.
    pub data_folder: DataFolder,
    /// The replica's identity, which is bound to this disk.
    pub id: ReplicaId,
    /// Restored term, vote, snapshot and log.
    pub restored: Restored,
    /// Bytes of a torn tail that were truncated from the log file.
    pub truncated_bytes: u64,
}

/// Why the data folder can't be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file operation failed.
    #[snafu(display("{path}: {source}; check the folder's permissions and free disk space"))]
    Io {
        /// Path of the file or folder.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A frame is damaged, and it is not a torn tail: an intact newer frame follows it, or the file
    /// is the snapshot.
    #[snafu(display(
        "{path}: corrupt at byte {offset}, with intact records after it; this is not a torn tail. \
         Move the data folder away and restart with an empty one: the replica rejoins as a \
         learner and receives the log from the other replicas"
    ))]
    Corrupt {
        /// Path of the file.
        path: String,
        /// Byte offset of the first damaged frame.
        offset: u64,
    },
    /// A record has a valid checksum but can't be decoded.
    #[snafu(display(
        "{path}: a record can't be decoded ({reason}); it was written by another version of \
         daisyquay-state: start that version, or move the data folder away to rejoin as a learner"
    ))]
    Decode {
        /// Path of the file.
        path: String,
        /// Error of the decoder.
        reason: String,
    },
    /// Another process has locked the data folder.
    #[snafu(display(
        "{path}: locked by another daisyquay-state process; stop it or choose another data folder"
    ))]
    Locked {
        /// Path of the lock file.
        path: String,
    },
}

impl Error {
    /// Returns whether a write failed because the disk, or a quota of it, is full.
    pub(crate) fn is_out_of_space(&self) -> bool {
        let Self::Io { source, .. } = self else {
            return false;
        };
        matches!(
            source.kind(),
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded
        )
    }
}
