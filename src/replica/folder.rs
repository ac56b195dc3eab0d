//! Opens the data folder of a replica, which a predecessor may still hold, or whose disk may be full.

use std::path::Path;
use std::time::Duration;

use crate::agreement::ReplicaId;
use crate::clock::Clock;
use crate::log::event;
use crate::storage::DataFolder;
use crate::storage::Error;
use crate::storage::Opened;
use crate::wait_notice::WaitNotice;

/// Interval between attempts to lock the folder.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between attempts to open a folder whose disk is full.
const SPACE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Opens the data folder; waits while another process has locked it or its disk is full.
///
/// # Errors
///
/// A file is corrupt or can't be read.
pub(super) async fn open(
    path: &Path,
    new_id: ReplicaId,
    clock: &dyn Clock,
) -> Result<Opened, Error> {
    let mut wait = WaitNotice::default();
    loop {
        let delay = match DataFolder::open(path, new_id) {
            Err(Error::Locked { path }) => {
                if wait.is_due(clock.now()) {
                    event!(Warn, "data_folder_locked", setting = "--data", path = path);
                }
                LOCK_RETRY_INTERVAL
            }
            Err(e) if e.is_out_of_space() => {
                if wait.is_due(clock.now()) {
                    event!(Warn, "data_folder_full", setting = "--data", reason = e);
                }
                SPACE_RETRY_INTERVAL
            }
            result => {
                if wait.end() {
                    let path = path.display();
                    event!(Info, "data_folder_free", setting = "--data", path = path);
                }
                return result;
            }
        };
        tokio::time::sleep(delay).await;
    }
}
