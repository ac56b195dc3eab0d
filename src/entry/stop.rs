//! A planned stop: leave the address answer, serve until the longest kept answer has run out,
//! finish every request, give the lease back, exit.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::Shared;
use crate::log::event;

/// Longest wait until the other entries no longer name this one: the state may be gone for longer.
const GONE_LIMIT: Duration = Duration::from_secs(60);

/// Time between looks at that.
const GONE_POLL: Duration = Duration::from_millis(50);

/// Longest wait for the last settlements to become durable.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

/// Waits for the order to stop, then until no caller holds this entry's address any more.
pub(super) async fn wait(shared: &Arc<Shared>) {
    crate::signal::stop_requested().await;
    event!(Info, "entry_leaving", vm = shared.cfg.vm);
    shared.leaving.store(true, Ordering::Relaxed);
    shared.ready.store(false, Ordering::Relaxed);
    if tokio::time::timeout(GONE_LIMIT, gone(shared))
        .await
        .is_err()
    {
        event!(Warn, "stops_while_still_named", vm = shared.cfg.vm);
    }
    // Answers that other entries gave before are kept for as long as they said.
    tokio::time::sleep(shared.cfg.address_ttl).await;
}

/// Waits until no other entry names this one. Time alone would not do: a leader that fails over
/// meanwhile takes a lease's length to learn who is there.
async fn gone(shared: &Arc<Shared>) {
    while !shared.gone.load(Ordering::Relaxed) {
        tokio::time::sleep(GONE_POLL).await;
    }
}

/// Settles what is open, then gives the lease back.
pub(super) async fn release(shared: &Arc<Shared>, released: &AtomicBool, link: JoinHandle<()>) {
    released.store(true, Ordering::Relaxed);
    if tokio::time::timeout(SETTLE_LIMIT, link).await.is_err() {
        event!(Warn, "settlements_left", vm = shared.cfg.vm);
    }
}
