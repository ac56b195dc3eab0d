//! The permission to create the first log, in the data folder of a replica.
//!
//! The file `bootstrap` holds one frame with the addresses for which the operator gave it. Builds
//! that do not know the file ignore it.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;

use super::Error;
use super::IoSnafu;
use super::file;
use super::frame;
use crate::codec;

const BOOTSTRAP: &str = "bootstrap";

/// The permission in a locked data folder.
#[derive(Clone, Debug)]
pub struct BootstrapPermission {
    folder: PathBuf,
}

impl BootstrapPermission {
    /// Returns the permission in the folder.
    pub fn in_folder(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
        }
    }

    /// Returns the addresses of the replicas that a log may be created of; `None` if there is no
    /// permission or it can't be decoded.
    ///
    /// # Errors
    ///
    /// The file can't be read.
    pub fn read(&self) -> Result<Option<BTreeSet<SocketAddr>>, Error> {
        let bytes = file::read_or_empty(&self.folder.join(BOOTSTRAP))?;
        let frames = frame::read(&bytes);
        Ok(frames
            .payloads
            .first()
            .and_then(|payload| codec::decode(payload).ok()))
    }

    /// Stores a permission; it is durable when this returns `Ok`.
    ///
    /// # Errors
    ///
    /// The disk is full or fails.
    pub fn write(&self, replicas: &BTreeSet<SocketAddr>) -> Result<(), Error> {
        let bytes = frame::encode(0, &codec::encode(replicas));
        file::replace(&self.folder, BOOTSTRAP, &bytes)
    }

    /// Removes the permission, if there is one.
    ///
    /// # Errors
    ///
    /// The disk fails.
    pub fn remove(&self) -> Result<(), Error> {
        let path = self.folder.join(BOOTSTRAP);
        match fs::remove_file(&path) {
            Ok(()) => file::sync_folder(&self.folder),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(e) => Err(e).context(IoSnafu {
                path: path.display().to_string(),
            }),
        }
    }
}
