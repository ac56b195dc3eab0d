//! Options of our sockets.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time in which sent bytes must be acknowledged, or a probe answered. A peer that has lost power or
/// is cut off sends no reset; 1.2 s leaves room for three retransmissions on a lossy link.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);

/// Idle time before the first keep-alive probe, and between probes: whole seconds are the finest
/// that the system takes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Prepares a connection that we made.
pub(super) fn configure_connected_socket(stream: &TcpStream) {
    set_options(stream, SILENCE_LIMIT);
}

/// Prepares a connection that a caller made.
pub(crate) fn configure_accepted_socket(stream: &TcpStream) {
    // A caller's link may be slow; the limit only frees what a dead caller holds.
    set_options(stream, 4 * SILENCE_LIMIT);
}

/// Options only make a dead peer known sooner; a connection without them still works.
fn set_options(stream: &TcpStream, silence: Duration) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(silence));
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
