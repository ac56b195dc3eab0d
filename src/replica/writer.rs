//! The thread that writes and syncs. What queues up while one sync runs goes into the next.

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

/// Time after which a disk that has not finished counts as stuck: dozens of ordinary syncs, and less
/// than an election.
const STUCK_AFTER: Duration = Duration::from_millis(400);

/// Pause before a refused write is tried again.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// What to write, and what may happen once it is durable.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) persist: Persist,
    pub(super) messages: Vec<Message>,
    /// End of the log with this job written.
    pub(super) end: (Index, Term),
}

/// A batch is durable.
#[derive(Debug)]
pub(super) struct Synced {
    pub(super) jobs: usize,
    pub(super) messages: Vec<Message>,
    pub(super) end: (Index, Term),
    pub(super) disk_bytes: u64,
}

/// Hands jobs to the thread.
#[derive(Debug)]
pub(super) struct Writer {
    tx: blocking::Sender<Job>,
    pending: usize,
    /// When the writer last had nothing to do or finished something.
    moved_at: Duration,
}

impl Writer {
    pub(super) fn start(store: Box<dyn Store>, synced: UnboundedSender<Synced>) -> Self {
        let (tx, rx) = blocking::channel();
        thread::spawn(move || write_all(store, &rx, &synced));
        Self {
            tx,
            pending: 0,
            moved_at: Duration::ZERO,
        }
    }

    pub(super) fn submit(&mut self, job: Job, now: Duration) {
        if self.is_idle() {
            self.moved_at = now;
        }
        self.pending += 1;
        // The thread ends only with the process.
        let _ = self.tx.send(job);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending == 0
    }

    pub(super) fn finished(&mut self, jobs: usize, now: Duration) {
        self.pending -= jobs;
        self.moved_at = now;
    }

    /// Whether the disk hangs or refuses what it was given.
    pub(super) fn is_stuck(&self, now: Duration) -> bool {
        !self.is_idle() && now > self.moved_at + STUCK_AFTER
    }
}

/// Saves a batch, however long the disk refuses it: nothing that depends on it leaves meanwhile.
fn save(store: &mut dyn Store, batch: Vec<Persist>) {
    let Err(e) = store.save(batch) else {
        return;
    };
    event!(Error, "disk_refuses", error = e);
    while store.save(Vec::new()).is_err() {
        thread::sleep(REFUSED_PAUSE);
    }
    event!(Info, "disk_writes_again");
}

fn write_all(
    mut store: Box<dyn Store>,
    rx: &blocking::Receiver<Job>,
    synced: &UnboundedSender<Synced>,
) {
    while let Ok(first) = rx.recv() {
        let mut jobs = vec![first];
        jobs.extend(rx.try_iter());
        let mut done = Synced {
            jobs: jobs.len(),
            messages: Vec::new(),
            end: (0, 0),
            disk_bytes: 0,
        };
        let mut batch = Vec::new();
        for job in jobs {
            batch.push(job.persist);
            done.messages.extend(job.messages);
            done.end = job.end;
        }
        save(&mut *store, batch);
        done.disk_bytes = store.size_bytes();
        if synced.send(done).is_err() {
            return;
        }
    }
}
