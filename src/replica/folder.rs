//! Opens the data folder of a replica, which a predecessor may still hold.

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
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Opens the data folder; waits while another process has locked it.
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
        match DataFolder::open(path, new_id) {
            Err(Error::Locked { path }) => {
                if wait.is_due(clock.now()) {
                    event!(Warn, "data_folder_locked", setting = "--data", path = path);
                }
            }
            result => {
                if wait.end() {
                    let path = path.display();
                    event!(Info, "data_folder_free", setting = "--data", path = path);
                }
                return result;
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
