//! A bounded queue in front of standard output: a reader that stops reading costs lines, never time.

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

/// Lines that wait to be written: about a megabyte.
const QUEUE_LIMIT: usize = 4096;

/// Longest wait for the queue when the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Time between looks at the queue then.
const FLUSH_POLL: Duration = Duration::from_millis(2);

static WAITING: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Takes the logger's bytes and queues whole lines.
pub(super) struct Queue {
    line: Vec<u8>,
    tx: SyncSender<Vec<u8>>,
}

impl Queue {
    /// Starts the thread that writes to `out`.
    pub(super) fn start(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LIMIT);
        thread::spawn(move || write_all(out, &rx));
        Self {
            line: Vec::new(),
            tx,
        }
    }
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            WAITING.fetch_add(1, Ordering::Relaxed);
            if self.tx.try_send(line).is_err() {
                WAITING.fetch_sub(1, Ordering::Relaxed);
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut out: impl Write, rx: &Receiver<Vec<u8>>) {
    while let Ok(line) = rx.recv() {
        // Nobody can be told of a closed standard output.
        let _ = out.write_all(&line);
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = super::begin(log::Level::Warn, "log_lines_dropped");
            let line = super::pair(line, "count", &dropped);
            let _ = writeln!(out, "{line}");
        }
        let _ = out.flush();
        WAITING.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until what is queued has been written, if that happens soon.
pub(crate) fn flush() {
    let until = Instant::now() + FLUSH_LIMIT;
    while WAITING.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        thread::sleep(FLUSH_POLL);
    }
}
