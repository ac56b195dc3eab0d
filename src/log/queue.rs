//! Bounded queue of log lines between the process and standard output: if the reader of standard
//! output stalls, lines are dropped and logging never blocks.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of queued lines: about a megabyte.
const QUEUE_CAPACITY: usize = 4096;

/// Maximum time that `flush` waits for the queue to empty.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which `flush` checks the queue.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

static PENDING_LINES: AtomicU64 = AtomicU64::new(0);
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writer for the logger that queues whole lines; lines that don't fit are dropped and counted.
pub(super) struct LineQueue {
    line: Vec<u8>,
    tx: SyncSender<Vec<u8>>,
}

impl LineQueue {
    /// Starts the thread that writes queued lines to `out`.
    pub(super) fn start(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        thread::spawn(move || write_lines(out, &rx));
        Self {
            line: Vec::new(),
            tx,
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            PENDING_LINES.fetch_add(1, Ordering::Relaxed);
            if self.tx.try_send(line).is_err() {
                PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut out: impl Write, rx: &Receiver<Vec<u8>>) {
    while let Ok(line) = rx.recv() {
        // There is no place to report an error of standard output.
        let _ = out.write_all(&line);
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = super::start_line(log::Level::Warn, "log_lines_dropped");
            let line = super::append_pair(line, "count", &dropped);
            let _ = writeln!(out, "{line}");
        }
        let _ = out.flush();
        PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until all queued lines have been written, at most `FLUSH_TIMEOUT`. Called before the
/// process exits.
pub(crate) fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while PENDING_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}
