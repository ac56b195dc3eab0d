//! TCP options of the connections to upstreams and callers.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::os::fd::AsFd;
use std::os::fd::BorrowedFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

/// TCP user timeout of a connection to an upstream while sent data may be unacknowledged. A peer that
/// lost power or is partitioned sends no reset. The retransmission at 1.4 s falls into this time, so
/// the data survives a peer or a path that is silent for a second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2200);

/// Time after a write from which the data counts as acknowledged. The operating system ends a
/// connection with a user timeout up to two retransmission timeouts later.
const ACKNOWLEDGED_AFTER: Duration = Duration::from_millis(3200);

/// TCP user timeout of a connection to an upstream on which nothing is under way: it is idle or waits
/// for a response. The user timeout decides when keep-alive probes give up, whatever their count; six
/// may be lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(9);

/// Time without a packet before the first keep-alive probe to an upstream. While the user timeout is
/// short, a single lost probe ends the connection one interval later, so that must be after
/// [`ACKNOWLEDGED_AFTER`]. The operating system takes whole seconds only.
const UPSTREAM_KEEPALIVE_TIME: Duration = Duration::from_secs(3);

/// The same for a caller.
const CALLER_KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Interval between keep-alive probes.
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
    set_common_options(socket, CALLER_KEEPALIVE_TIME);
}

/// Sets the options, ignoring errors: a connection without them works, but detects a dead peer
/// later.
fn set_common_options(socket: &impl AsFd, keepalive_time: Duration) {
    let socket = SockRef::from(socket);
    let _ = socket.set_tcp_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(keepalive_time)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

/// State of a connection to an upstream, from which its TCP user timeout follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Nothing, as far as known.
    Idle,
    /// Sent data may be unacknowledged.
    Sending,
    /// Sent data may not fit into the receive buffer of an upstream that pauses in reading.
    Paused,
}

impl Phase {
    fn user_timeout(self) -> Option<Duration> {
        match self {
            Self::Idle => Some(IDLE_TIMEOUT),
            Self::Sending => Some(UNACKNOWLEDGED_TIMEOUT),
            Self::Paused => None,
        }
    }
}

/// Bytes that may still be read until a response goes on: until its head is complete, or the next piece of
/// its body has come. What frames a body may have no end either. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadBudget(Rc<Cell<Option<usize>>>);

impl ReadBudget {
    /// Allows `bytes` from now on.
    pub(super) fn set(&self, bytes: usize) {
        self.0.set(Some(bytes));
    }

    fn charge(&self, bytes: usize) -> io::Result<()> {
        if let Some(left) = self.0.get() {
            let left = left.checked_sub(bytes);
            let left = left.ok_or_else(|| {
                io::Error::other("the response has no end of its head, or of what frames its body")
            })?;
            self.0.set(Some(left));
        }
        Ok(())
    }
}

/// A connection to an upstream.
///
/// Its user timeout is short for some time after each write, so that a dead upstream is noticed soon,
/// and long otherwise, so that keep-alive probes may be lost. It would also end the connection of an
/// upstream that pauses in reading a large request. It is therefore off from the byte that may no
/// longer fit into the receive buffer until the upstream sends something; the time limits of the
/// request apply meanwhile.
pub struct UpstreamStream {
    stream: TcpStream,
    /// Bytes written since the upstream last sent something.
    written: usize,
    phase: Phase,
    /// When the phase [`Phase::Sending`] ends.
    acknowledged_at: Instant,
    /// Wakes at `acknowledged_at` or before; `None` until the first write.
    timer: Option<Pin<Box<Sleep>>>,
    read_budget: ReadBudget,
    has_failed_write: bool,
}

impl UpstreamStream {
    /// Returns the limit on the bytes that are read until a response goes on; none is set at first.
    pub(super) fn read_budget(&self) -> ReadBudget {
        self.read_budget.clone()
    }

    /// Sets the options of a new connection.
    pub fn new(stream: TcpStream) -> Self {
        set_common_options(&stream, UPSTREAM_KEEPALIVE_TIME);
        set_user_timeout(&stream, Phase::Idle.user_timeout());
        Self {
            stream,
            written: 0,
            phase: Phase::Idle,
            acknowledged_at: Instant::now(),
            timer: None,
            read_budget: ReadBudget::default(),
            has_failed_write: false,
        }
    }

    fn set_phase(&mut self, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            set_user_timeout(&self.stream, phase.user_timeout());
        }
    }

    fn start_sending(&mut self) {
        self.acknowledged_at = Instant::now() + ACKNOWLEDGED_AFTER;
        if self.phase != Phase::Sending {
            let at = self.acknowledged_at;
            match &mut self.timer {
                Some(timer) => timer.as_mut().reset(at),
                None => self.timer = Some(Box::pin(sleep_until(at))),
            }
            self.set_phase(Phase::Sending);
        }
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(n)) => {
                self.written += n;
                if self.written > RECEIVE_WINDOW {
                    self.set_phase(Phase::Paused);
                } else {
                    self.start_sending();
                }
            }
            Poll::Ready(Err(_)) => self.has_failed_write = true,
            Poll::Pending => {}
        }
    }

    /// Ends the phase [`Phase::Sending`] if its time has passed.
    fn poll_timer(&mut self, cx: &mut Context<'_>) {
        while self.phase == Phase::Sending
            && let Some(timer) = &mut self.timer
            && timer.as_mut().poll(cx).is_ready()
        {
            if Instant::now() < self.acknowledged_at {
                timer.as_mut().reset(self.acknowledged_at);
            } else {
                self.set_phase(Phase::Idle);
            }
        }
    }
}

impl AsFd for UpstreamStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl Drop for UpstreamStream {
    fn drop(&mut self) {
        if self.phase == Phase::Paused {
            // The operating system need not deliver the rest of an abandoned request.
            self.set_phase(Phase::Sending);
        }
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
        let is_end = matches!(result, Poll::Ready(Ok(())))
            && buf.filled().len() == before
            && buf.remaining() > 0;
        if is_end && this.has_failed_write {
            // The write has taken the error of the connection, which a read would have found.
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if buf.filled().len() > before {
            this.read_budget.charge(buf.filled().len() - before)?;
            this.written = 0;
            if this.phase == Phase::Paused {
                this.start_sending();
            }
        }
        this.poll_timer(cx);
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
        this.poll_timer(cx);
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
        this.poll_timer(cx);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.poll_timer(cx);
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
