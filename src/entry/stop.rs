//! Graceful shutdown: leave the address responses, keep serving until the last cached address
//! response has expired, finish all requests, release the lease, and exit.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::Shared;
use crate::log::event;

/// Longest wait until the other entries no longer list this one. The state replicas, which tell
/// them, may be unreachable for longer.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks whether another entry still lists this one.
const UNLISTED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for open requests to end once all cached address responses have expired.
const FINISH_TIMEOUT: Duration = Duration::from_secs(600);

/// Interval between checks whether all requests have ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for the last settlements to become durable.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits for a stop signal, then until no caller holds this entry's address any more.
pub(super) async fn drain(shared: &Arc<Shared>) {
    crate::signal::stop_requested().await;
    event!(
        Info,
        "entry_leaving",
        vm = shared.cfg.vm,
        open = shared.open_requests()
    );
    shared.leaving.store(true, Ordering::Relaxed);
    shared.ready.store(false, Ordering::Relaxed);
    if tokio::time::timeout(UNLISTED_TIMEOUT, wait_until_unlisted(shared))
        .await
        .is_err()
    {
        event!(Warn, "stops_while_still_named", vm = shared.cfg.vm);
    }
    // Callers cache the address responses of other entries for up to the TTL.
    tokio::time::sleep(shared.cfg.address_ttl).await;
}

/// Waits until no other entry lists this one. A fixed delay would not do: after a failover, a new
/// leader needs up to a lease's TTL to learn which entries exist.
async fn wait_until_unlisted(shared: &Arc<Shared>) {
    while !shared.is_unlisted.load(Ordering::Relaxed) {
        tokio::time::sleep(UNLISTED_POLL_INTERVAL).await;
    }
}

/// Refuses further requests and waits until the callers have the responses of all others.
pub(super) async fn finish_requests(shared: &Arc<Shared>) {
    shared.closing.store(true, Ordering::SeqCst);
    event!(
        Info,
        "entry_closing",
        vm = shared.cfg.vm,
        open = shared.open_requests()
    );
    let finished = async {
        while shared.open_requests() > 0 {
            tokio::time::sleep(FINISH_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(FINISH_TIMEOUT, finished)
        .await
        .is_err()
    {
        event!(
            Warn,
            "requests_left",
            vm = shared.cfg.vm,
            open = shared.open_requests()
        );
    }
}

/// Tells the link to finish, and waits until it has settled everything and released the lease.
pub(super) async fn release(shared: &Arc<Shared>, releasing: &AtomicBool, link: JoinHandle<()>) {
    releasing.store(true, Ordering::Relaxed);
    if tokio::time::timeout(SETTLE_TIMEOUT, link).await.is_err() {
        event!(Warn, "settlements_left", vm = shared.cfg.vm);
    }
}
