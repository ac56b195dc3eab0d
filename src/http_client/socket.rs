//! TCP options of the connections to upstreams and callers.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// TCP user timeout of a connection to an upstream: time within which sent data or a keep-alive
/// probe must be acknowledged. A peer that lost power or is partitioned sends no reset; 1.2 s leaves
/// room for three retransmissions on a lossy link.
const USER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Idle time before the first keep-alive probe, and the interval between probes. The operating
/// system takes whole seconds only.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection without a user timeout ends. A lossy link loses some.
const KEEPALIVE_PROBES: u32 = 8;

/// Most bytes that the operating system takes from this process before it can send them. The rest
/// stays where it is counted, and the progress of a slow caller is seen in steps of half of this.
const UNSENT_LIMIT: u32 = 128 * 1024;

/// Sets the options of a connection to an upstream.
pub(super) fn configure_connected_socket(stream: &TcpStream) {
    set_common_options(stream);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Sets the options of a connection accepted from a caller.
///
/// It has no user timeout, which also counts while a caller that acknowledges everything does not
/// read. The probes detect a dead caller that waits, and `listen` ends connections that take nothing
/// for too long.
pub(crate) fn configure_accepted_socket(stream: &TcpStream) {
    set_common_options(stream);
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_LIMIT);
}

/// Sets the options, ignoring errors: a connection without them works, but detects a dead peer
/// later.
fn set_common_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}
