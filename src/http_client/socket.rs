//! TCP options of the connections to upstreams and callers.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// TCP user timeout: time within which sent data or a keep-alive probe must be acknowledged. A peer
/// that lost power or is partitioned sends no reset; 1.2 s leaves room for three retransmissions on
/// a lossy link.
const USER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Idle time before the first keep-alive probe, and the interval between probes. The operating
/// system takes whole seconds only.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the options of a connection to an upstream.
pub(super) fn configure_connected_socket(stream: &TcpStream) {
    set_options(stream, USER_TIMEOUT);
}

/// Sets the options of a connection accepted from a caller.
pub(crate) fn configure_accepted_socket(stream: &TcpStream) {
    // A caller's link may be slow, and the timeout only serves to free the resources of a dead one.
    set_options(stream, 4 * USER_TIMEOUT);
}

/// Sets the options, ignoring errors: a connection without them works, but detects a dead peer
/// later.
fn set_options(stream: &TcpStream, user_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(user_timeout));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
