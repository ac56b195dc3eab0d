//! TCP options of the connections between processes.

use std::os::fd::AsFd;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;

/// TCP user timeout: time without an acknowledgement of sent data or of a keep-alive probe after which
/// a connection ends. A peer that lost power sends no reset, and its connections would add up to the
/// limit of the listener.
const USER_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without a packet before the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);

/// Interval between probes. The user timeout, not their count, decides when they give up.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Sets the options, ignoring errors: a connection without them works, but stays open after its peer
/// is gone.
pub(super) fn configure(socket: &impl AsFd) {
    let socket = SockRef::from(socket);
    // Nagle's algorithm would delay small messages.
    let _ = socket.set_tcp_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}
