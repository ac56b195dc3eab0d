//! A planned stop: leave the address answer, serve until the longest kept answer has run out,
//! finish every request, give the lease back, exit.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::Shared;
use crate::lease;
use crate::log::event;

/// Longest wait for the last settlements to become durable.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

/// Waits for the order to stop, then until no caller holds this entry's address any more.
pub(super) async fn wait(shared: &Arc<Shared>) {
    crate::signal::stop_requested().await;
    event!(Info, "entry_leaving", vm = shared.cfg.vm);
    shared.leaving.store(true, Ordering::Relaxed);
    shared.ready.store(false, Ordering::Relaxed);
    // Other entries hear of it within two renewals; answers that they gave before then are kept
    // for as long as they said.
    let kept = shared.cfg.address_valid + 2 * lease::RENEWAL;
    tokio::time::sleep(kept).await;
}

/// Settles what is open, then gives the lease back.
pub(super) async fn release(shared: &Arc<Shared>, released: &AtomicBool, link: JoinHandle<()>) {
    released.store(true, Ordering::Relaxed);
    if tokio::time::timeout(SETTLE_LIMIT, link).await.is_err() {
        event!(Warn, "settlements_left", vm = shared.cfg.vm);
    }
}
