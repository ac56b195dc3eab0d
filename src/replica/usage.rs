//! Reports what takes the memory of this replica.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::core::Core;
use crate::agreement::Role;
use crate::log::event;
use crate::peer::Traffic;

/// Time between two updates of the metrics.
const INTERVAL: Duration = Duration::from_secs(1);

/// Resident memory from which each update is logged, in bytes. A replica of a few hundred VMs needs
/// less in normal operation.
const LOGGED_FROM_BYTES: u64 = 32 * 1024 * 1024;

/// Updates the metrics of memory and of what may take it; never returns.
pub(super) async fn report(core: Rc<RefCell<Core>>, traffic: Rc<Traffic>) {
    let mut reply_bytes = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let resident = resident_bytes().unwrap_or_default();
        let replied = traffic.reply_bytes() - reply_bytes;
        reply_bytes = traffic.reply_bytes();
        let largest_reply = traffic.take_largest_reply_bytes();
        let core = core.borrow();
        let queued = core.queued_bytes();
        let log = core.node.log().command_bytes();
        let metrics = core.metrics();
        metrics.set_gauge("daisyquay_resident_bytes", resident as f64);
        metrics.set_gauge("daisyquay_peer_connections", traffic.connections() as f64);
        metrics.set_gauge("daisyquay_log_bytes", log as f64);
        metrics.set_gauge("daisyquay_queued_message_bytes", queued as f64);
        metrics.add_to_counter("daisyquay_reply_bytes", replied, &[]);
        if resident >= LOGGED_FROM_BYTES {
            event!(
                Warn,
                "memory",
                resident = resident,
                leader = core.node.role() == Role::Leader,
                connections = traffic.connections(),
                replied = replied,
                largest_reply = largest_reply,
                queued = queued,
                log = log,
                upstreams = core.state.directory.iter().count()
            );
        }
    }
}

/// Returns the resident memory of this process, in bytes; `None` where the system does not tell.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1024)
}
