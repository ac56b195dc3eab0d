//! A thread that writes and syncs the log. Jobs that queue up during one sync share the next one.

use std::sync::mpsc as blocking;
use std::thread;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use crate::agreement::Index;
use crate::agreement::Message;
use crate::agreement::Persist;
use crate::agreement::Term;
use crate::log::event;
use crate::storage::Store;

/// Time without progress after which the disk counts as stuck: dozens of ordinary syncs, and less
/// than an election takes.
const STUCK_AFTER: Duration = Duration::from_millis(400);

/// Time between two attempts to write after the disk has reported an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A write, with the messages to send once it is durable.
#[derive(Debug)]
pub(super) struct WriteJob {
    pub(super) persist: Persist,
    pub(super) messages: Vec<Message>,
    /// Index and term of the last log entry once this job is written.
    pub(super) log_end: (Index, Term),
}

/// Reports that a batch of jobs is durable.
#[derive(Debug)]
pub(super) struct SyncedBatch {
    pub(super) jobs: usize,
    pub(super) messages: Vec<Message>,
    pub(super) log_end: (Index, Term),
    pub(super) disk_bytes: u64,
}

/// Queues jobs for the writer thread and tracks its progress.
#[derive(Debug)]
pub(super) struct Writer {
    tx: blocking::Sender<WriteJob>,
    pending: usize,
    /// When the thread last completed a batch, or became busy after being idle.
    last_progress: Duration,
}

impl Writer {
    pub(super) fn start(store: Box<dyn Store>, synced: UnboundedSender<SyncedBatch>) -> Self {
        let (tx, rx) = blocking::channel();
        thread::spawn(move || write_loop(store, &rx, &synced));
        Self {
            tx,
            pending: 0,
            last_progress: Duration::ZERO,
        }
    }

    pub(super) fn submit(&mut self, job: WriteJob, now: Duration) {
        if self.is_idle() {
            self.last_progress = now;
        }
        self.pending += 1;
        // The send can't fail while the process runs: the thread ends only with it.
        let _ = self.tx.send(job);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending == 0
    }

    pub(super) fn record_synced(&mut self, jobs: usize, now: Duration) {
        self.pending -= jobs;
        self.last_progress = now;
    }

    /// Returns the time without progress if jobs are pending and none was completed for
    /// [`STUCK_AFTER`], because the disk hangs or reports errors.
    pub(super) fn stuck_for(&self, now: Duration) -> Option<Duration> {
        let stalled = now.saturating_sub(self.last_progress);
        (!self.is_idle() && stalled > STUCK_AFTER).then_some(stalled)
    }
}

/// Saves a batch, and retries for as long as the disk reports errors. Returns only once the batch
/// is durable, so that no message that depends on it is sent before.
fn save_with_retry(store: &mut dyn Store, batch: Vec<Persist>) {
    let Err(e) = store.save(batch) else {
        return;
    };
    event!(Error, "disk_refuses", error = e);
    while store.save(Vec::new()).is_err() {
        thread::sleep(RETRY_INTERVAL);
    }
    event!(Info, "disk_writes_again");
}

fn write_loop(
    mut store: Box<dyn Store>,
    rx: &blocking::Receiver<WriteJob>,
    synced: &UnboundedSender<SyncedBatch>,
) {
    while let Ok(first) = rx.recv() {
        let mut jobs = vec![first];
        jobs.extend(rx.try_iter());
        let mut synced_batch = SyncedBatch {
            jobs: jobs.len(),
            messages: Vec::new(),
            log_end: (0, 0),
            disk_bytes: 0,
        };
        let mut batch = Vec::new();
        for job in jobs {
            batch.push(job.persist);
            synced_batch.messages.extend(job.messages);
            synced_batch.log_end = job.log_end;
        }
        save_with_retry(&mut *store, batch);
        synced_batch.disk_bytes = store.size_bytes();
        if synced.send(synced_batch).is_err() {
            return;
        }
    }
}
