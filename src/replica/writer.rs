//! The thread that writes and syncs. What queues up while one sync runs goes into the next.

use std::sync::mpsc as blocking;
use std::thread;

use tokio::sync::mpsc::UnboundedSender;

use crate::agreement::Index;
use crate::agreement::Message;
use crate::agreement::Persist;
use crate::agreement::Term;
use crate::log::event;
use crate::storage::Store;

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
}

impl Writer {
    pub(super) fn start(store: Box<dyn Store>, synced: UnboundedSender<Synced>) -> Self {
        let (tx, rx) = blocking::channel();
        thread::spawn(move || write_all(store, &rx, &synced));
        Self { tx, pending: 0 }
    }

    pub(super) fn submit(&mut self, job: Job) {
        self.pending += 1;
        // The thread ends only with the process.
        let _ = self.tx.send(job);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending == 0
    }

    pub(super) fn finished(&mut self, jobs: usize) {
        self.pending -= jobs;
    }
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
        if let Err(e) = store.save(batch) {
            // What a failed sync left on the disk is unknown: only a restart reads it again.
            event!(Error, "storage_failed", error = e);
            std::process::exit(crate::cli::ExitCode::Storage.code());
        }
        done.disk_bytes = store.size();
        if synced.send(done).is_err() {
            return;
        }
    }
}
