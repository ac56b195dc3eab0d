//! TCP options of the connections to upstreams and callers.

use std::io;
use std::io::IoSlice;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
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

/// Bytes of a request that the receive buffer of an upstream takes even if it reads none of them.
const RECEIVE_WINDOW: usize = 48 * 1024;

/// Sets the options of a connection accepted from a caller, or of a listener, whose connections
/// inherit them.
///
/// It has no user timeout, which also counts while a caller that acknowledges everything does not
/// read. The probes detect a dead caller that waits, and `listen` ends connections that take nothing
/// for too long.
pub(crate) fn configure_accepted_socket(socket: &impl AsFd) {
    set_common_options(socket);
}

/// Sets the options, ignoring errors: a connection without them works, but detects a dead peer
/// later.
fn set_common_options(socket: &impl AsFd) {
    let socket = SockRef::from(socket);
    let _ = socket.set_tcp_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

/// A connection to an upstream.
///
/// The user timeout would also end the connection of an upstream that pauses in reading a large
/// request. It is therefore off from the byte that may no longer fit into the receive buffer until
/// the upstream sends something; the time limits of the request apply meanwhile.
pub(super) struct UpstreamStream {
    stream: TcpStream,
    /// Bytes written since the upstream last sent something.
    written: usize,
    may_pause: bool,
}

impl UpstreamStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        set_common_options(&stream);
        set_user_timeout(&stream, Some(USER_TIMEOUT));
        Self {
            stream,
            written: 0,
            may_pause: false,
        }
    }

    fn set_may_pause(&mut self, may_pause: bool) {
        if self.may_pause != may_pause {
            self.may_pause = may_pause;
            let timeout = (!may_pause).then_some(USER_TIMEOUT);
            set_user_timeout(&self.stream, timeout);
        }
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = result {
            self.written += n;
            self.set_may_pause(self.written > RECEIVE_WINDOW);
        }
    }
}

impl Drop for UpstreamStream {
    fn drop(&mut self) {
        // The operating system need not deliver the rest of an abandoned request.
        self.set_may_pause(false);
    }
}

fn set_user_timeout(stream: &TcpStream, timeout: Option<Duration>) {
    let _ = SockRef::from(stream).set_tcp_user_timeout(timeout);
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            this.written = 0;
            this.set_may_pause(false);
        }
        result
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.record_write(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
