//! Updates of the directory of upstreams, in pieces of bounded size.
//!
//! Handles many gateways that start together and all need a directory of thousands of upstreams. A
//! reply stays in the sender's memory until the receiver's link has taken it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::UpdateError;
use crate::agreement::Index;
use crate::codec;
use crate::upstream::Directory;
use crate::upstream::Upstream;

/// Most rows of one update, but for rows that one command changed: these are sent together.
const MAX_ROWS: usize = 192;

/// Rows of the directory that changed after some log index, the earliest changes first.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DirectoryUpdate {
    /// Log index up to which the receiver's directory is current once the rows are merged.
    index: Index,
    /// Whether the sender knows of no later change.
    is_last: bool,
    /// The rows, encoded and compressed; empty if there are none.
    data: Arc<[u8]>,
    /// Log index up to which the sender's directory is current.
    applied: Index,
}

impl DirectoryUpdate {
    /// Returns the next update for a receiver whose directory is current up to `held`. `applied` is
    /// the log index up to which `directory` is current.
    pub fn after(directory: &Directory, held: Index, applied: Index) -> Self {
        let (rows, rest) = directory.changed_after(held, MAX_ROWS);
        let data = if rows.is_empty() {
            Vec::new()
        } else {
            codec::compress(&codec::encode(&rows))
        };
        Self {
            index: rest.unwrap_or_else(|| applied.max(held)),
            is_last: rest.is_none(),
            data: data.into(),
            applied,
        }
    }

    /// Returns an update without rows for a receiver whose directory is current up to `held`.
    pub(crate) fn empty(held: Index) -> Self {
        Self {
            index: held,
            is_last: true,
            data: Arc::default(),
            applied: held,
        }
    }

    /// Returns the log index up to which the receiver's directory is current once the rows are
    /// merged.
    pub fn index(&self) -> Index {
        self.index
    }

    /// Returns whether the sender knows of no later change.
    pub fn is_last(&self) -> bool {
        self.is_last
    }

    /// Returns whether a receiver that merges the rows holds all that changed up to log index
    /// `needed`: a sender that lags behind does not know of the latest changes.
    pub fn is_last_for(&self, needed: Index) -> bool {
        self.is_last && self.applied >= needed
    }

    /// Returns the log index up to which the sender's directory is current.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Returns the same update, sent by a replica that is current up to `applied`.
    pub(crate) fn with_applied(&self, applied: Index) -> Self {
        Self {
            applied,
            ..self.clone()
        }
    }

    /// Returns the rows.
    ///
    /// # Errors
    ///
    /// The rows can't be decoded.
    pub fn rows(&self) -> Result<Vec<Upstream>, UpdateError> {
        if self.data.is_empty() {
            return Ok(Vec::new());
        }
        codec::decompress(&self.data)
            .and_then(|encoded| codec::decode(&encoded).ok())
            .ok_or(UpdateError::Unreadable)
    }
}
