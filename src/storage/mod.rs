//! Files that outlive the process: the log, the snapshot and the replica's identity.

mod file;
mod frame;

use snafu::Snafu;

use crate::agreement::Persist;
use crate::agreement::ReplicaId;
use crate::agreement::Restored;

pub use self::file::DataFolder;
pub use self::frame::Frames;
pub use self::frame::encode as encode_frame;
pub use self::frame::read as read_frames;

/// Where a replica keeps what must survive.
pub trait Store: Send {
    /// Writes and syncs a batch; all of it is durable when this returns.
    ///
    /// # Errors
    ///
    /// A disk that is full or fails. Nothing of the batch counts as durable then; another call,
    /// with an empty batch or a further one, carries it on from where it failed.
    fn save(&mut self, batch: Vec<Persist>) -> Result<(), Error>;

    /// Bytes that the files take.
    fn size_bytes(&self) -> u64;
}

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct Opened {
    /// The folder, ready for writing.
    pub data_folder: DataFolder,
    /// Identity of this disk.
    pub id: ReplicaId,
    /// Term, vote, snapshot and log.
    pub restored: Restored,
    /// Bytes of a torn tail that were cut off.
    pub truncated_bytes: u64,
}

/// Why the files can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The operating system refused.
    #[snafu(display("{path}: {source}; check the folder's rights and free space"))]
    Io {
        /// File or folder.
        path: String,
        /// Reason given.
        source: std::io::Error,
    },
    /// A record before the end is damaged.
    #[snafu(display(
        "{path}: damaged at byte {offset}, with intact records after it; this is not a torn tail. \
         Move the data folder away and start again with an empty one: the replica rejoins as a \
         learner and copies the log from the others"
    ))]
    Corrupt {
        /// File.
        path: String,
        /// Where the damage starts.
        offset: u64,
    },
    /// A checked record does not decode.
    #[snafu(display(
        "{path}: a record can't be decoded ({reason}); it was written by another version of \
         daisyquay-state: start that version, or move the folder away and rejoin"
    ))]
    Decode {
        /// File.
        path: String,
        /// Reason given.
        reason: String,
    },
    /// Another process holds the folder.
    #[snafu(display("{path}: another daisyquay-state uses this folder; stop it or give another"))]
    Locked {
        /// Lock file.
        path: String,
    },
}
