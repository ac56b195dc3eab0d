//! Opens the data folder of a replica, which a predecessor may still hold, or whose disk may be full.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::Config;
use super::bootstrap;
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

/// Opens the data folder, and returns the addresses for which the replica may create a log as well.
/// Waits while another process has locked the folder or its disk is full.
///
/// # Errors
///
/// A file is corrupt or can't be read.
pub(super) async fn open(
    cfg: &Config,
    new_id: ReplicaId,
    clock: &dyn Clock,
) -> Result<(Opened, Option<BTreeSet<SocketAddr>>), Error> {
    let mut wait = WaitNotice::default();
    loop {
        let delay = match try_open(cfg, new_id) {
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
                    let path = cfg.data.display();
                    event!(Info, "data_folder_free", setting = "--data", path = path);
                }
                return result;
            }
        };
        tokio::time::sleep(delay).await;
    }
}

fn try_open(
    cfg: &Config,
    new_id: ReplicaId,
) -> Result<(Opened, Option<BTreeSet<SocketAddr>>), Error> {
    let opened = DataFolder::open(&cfg.data, new_id)?;
    let permission = bootstrap::load_permission(cfg, &opened.restored)?;
    Ok((opened, permission))
}
