//! The core: the log's node, the state machine and what a leader keeps beside them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;

use super::Config;
use super::control::Control;
use super::outbox::Outbox;
use super::writer::Job;
use super::writer::Synced;
use super::writer::Writer;
use crate::admin::Status;
use crate::agreement::Effects;
use crate::agreement::Entry;
use crate::agreement::Index;
use crate::agreement::Message;
use crate::agreement::Node;
use crate::agreement::Payload;
use crate::agreement::Persist;
use crate::agreement::ReplicaId;
use crate::agreement::Restored;
use crate::agreement::Role;
use crate::agreement::Snapshot;
use crate::agreement::Term;
use crate::clock::Clock;
use crate::codec;
use crate::log::event;
use crate::metrics::Metrics;
use crate::peer::Client;
use crate::state::State;
use crate::state::command::Command;
use crate::state::command::Op;
use crate::state::command::Outcome;

/// Commands that may wait for their outcome; more are turned away.
const WAITING_LIMIT: usize = 20_000;

/// Senders whose address is remembered; the log repeats what is lost when they are forgotten.
const SENDER_LIMIT: usize = 64;

struct Waiter {
    term: Term,
    tx: oneshot::Sender<Outcome>,
}

/// Everything that one replica knows.
pub(super) struct Core {
    pub(super) node: Node,
    pub(super) state: State,
    pub(super) control: Control,
    /// Replicas that asked to be taken in, by address.
    pub(super) joins: BTreeMap<SocketAddr, ReplicaId>,
    pub(super) address: SocketAddr,
    pub(super) disk_bytes: u64,
    pub(super) stopping: bool,
    pub(super) target_voters: usize,
    clock: Arc<dyn Clock>,
    writer: Writer,
    outbox: Outbox,
    /// Where messages came from, to answer replicas that the membership does not name yet.
    senders: BTreeMap<ReplicaId, SocketAddr>,
    queue: Vec<(Op, oneshot::Sender<Outcome>)>,
    waiters: BTreeMap<Index, Waiter>,
    snapshot_every: u64,
    led: bool,
    metrics: Metrics,
    ready: Arc<AtomicBool>,
}

impl Core {
    pub(super) fn new(
        cfg: &Config,
        id: ReplicaId,
        restored: Restored,
        writer: Writer,
        client: Client,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let now = clock.now();
        let state = decode_state(restored.log.snapshot());
        let node = Node::new(id, restored, cfg.settings, fastrand::u64(..), now);
        Self {
            node,
            state,
            control: Control::new(now),
            joins: BTreeMap::new(),
            address: cfg.advertise,
            disk_bytes: 0,
            stopping: false,
            target_voters: cfg.target_voters,
            clock,
            writer,
            outbox: Outbox::new(cfg.advertise, client),
            senders: BTreeMap::new(),
            queue: Vec::new(),
            waiters: BTreeMap::new(),
            snapshot_every: cfg.snapshot_every,
            led: false,
            metrics: Metrics::new(),
            ready: Arc::default(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(super) fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    /// What the admin listener shows.
    pub(super) fn shown(&self) -> Status {
        Status {
            metrics: self.metrics.clone(),
            ready: self.ready.clone(),
        }
    }

    /// Whether this replica leads and may answer from its state.
    pub(super) fn serves(&self) -> bool {
        self.node.has_lease(self.now())
    }

    /// The leader's address, where it is known.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.node.leader()?;
        let member = self.node.membership().members.get(&leader)?;
        Some(member.address)
    }

    /// Queues a command; the receiver gets its outcome, or fails where that stays unknown.
    /// `None` where this replica does not lead or has too much to do.
    pub(super) fn propose(&mut self, op: Op) -> Option<oneshot::Receiver<Outcome>> {
        let full = self.waiters.len() + self.queue.len() >= WAITING_LIMIT;
        if self.node.role() != Role::Leader || full || self.stopping {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        self.queue.push((op, tx));
        if self.writer.is_idle() {
            self.flush();
        }
        Some(rx)
    }

    /// Proposes all that is queued: what came while one sync ran shares the next.
    fn flush(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let at_ms = self.clock.wall_ms();
        let queue = std::mem::take(&mut self.queue);
        let mut commands = Vec::with_capacity(queue.len());
        let mut senders = Vec::with_capacity(queue.len());
        for (op, tx) in queue {
            commands.push(codec::encode(&Command { at_ms, op }));
            senders.push(tx);
        }
        let term = self.node.term();
        // A replica that has lost its office drops the senders: the outcome is "not taken".
        if let Ok((first, effects)) = self.node.propose(commands, self.clock.now()) {
            for (i, tx) in senders.into_iter().enumerate() {
                self.waiters.insert(first + i as u64, Waiter { term, tx });
            }
            self.carry_out(effects);
        }
    }

    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        if self.writer.is_stuck(now) {
            // A leader that can't write holds up everyone; a candidate that can't would be no better.
            if self.node.role() == Role::Leader {
                event!(
                    Warn,
                    "leader_yields",
                    id = self.node.id(),
                    reason = "disk is stuck"
                );
                let effects = self.node.step_down(now);
                self.carry_out(effects);
            }
            return;
        }
        let effects = self.node.tick(now);
        self.carry_out(effects);
    }

    pub(super) fn receive(&mut self, from: SocketAddr, message: Message) {
        if self.senders.len() >= SENDER_LIMIT {
            self.senders.clear();
        }
        self.senders.insert(message.from, from);
        let effects = self.node.receive(message, self.clock.now());
        self.carry_out(effects);
    }

    pub(super) fn synced(&mut self, synced: Synced) {
        self.writer.finished(synced.jobs, self.clock.now());
        self.disk_bytes = synced.disk_bytes;
        for message in synced.messages {
            self.send(message);
        }
        let (index, term) = synced.end;
        let effects = self.node.persisted(index, term);
        self.carry_out(effects);
        if self.writer.is_idle() {
            self.flush();
        }
    }

    pub(super) fn carry_out(&mut self, effects: Effects) {
        for message in effects.messages_before_sync {
            self.send(message);
        }
        if effects.persist.is_empty() && self.writer.is_idle() {
            for message in effects.messages_after_sync {
                self.send(message);
            }
        } else if !effects.persist.is_empty() || !effects.messages_after_sync.is_empty() {
            let log = self.node.log();
            let job = Job {
                persist: effects.persist,
                messages: effects.messages_after_sync,
                end: (log.last_index(), log.last_term()),
            };
            self.writer.submit(job, self.clock.now());
        }
        if let Some(snapshot) = &effects.install_snapshot {
            self.state = decode_state(snapshot);
        }
        for entry in effects.committed {
            self.apply(entry);
        }
        self.follow_role();
    }

    fn apply(&mut self, entry: Entry) {
        let waiter = self.waiters.remove(&entry.index);
        let Payload::Command(data) = &entry.payload else {
            self.state.applied = entry.index;
            return;
        };
        match codec::decode::<Command>(data) {
            Ok(command) => {
                let outcome = self.state.apply(entry.index, command);
                if let Some(waiter) = waiter.filter(|waiter| waiter.term == entry.term) {
                    let _ = waiter.tx.send(outcome);
                }
            }
            Err(e) => {
                // Going on would let the replicas' states drift apart.
                event!(Error, "command_unreadable", index = entry.index, error = e);
                std::process::exit(crate::cli::ExitCode::Storage.code());
            }
        }
    }

    /// Starts and ends what only a leader keeps.
    fn follow_role(&mut self) {
        let leads = self.node.role() == Role::Leader;
        if leads == self.led {
            return;
        }
        self.led = leads;
        let term = self.node.term();
        if leads {
            event!(Info, "leader_elected", id = self.node.id(), term = term);
            self.control = Control::new(self.clock.now());
        } else {
            event!(
                Info,
                "leader_stepped_down",
                id = self.node.id(),
                term = term
            );
            // Outcomes that are still open are unknown here: dropping the senders says so.
            self.waiters.clear();
            self.queue.clear();
            self.joins.clear();
        }
    }

    fn send(&self, message: Message) {
        let member = self.node.membership().members.get(&message.to);
        let address = member.map(|member| member.address);
        if let Some(address) = address.or_else(|| self.senders.get(&message.to).copied()) {
            self.outbox.send(address, message);
        }
    }

    /// Replaces the log's start by a snapshot when enough was applied since the last one.
    pub(super) fn compact(&mut self) {
        let applied = self.state.applied;
        let since = applied.saturating_sub(self.node.log().snapshot().index);
        if since < self.snapshot_every {
            return;
        }
        let data = codec::encode(&self.state);
        let Some(snapshot) = self.node.snapshot_at(applied, data) else {
            return;
        };
        event!(
            Info,
            "snapshot",
            index = applied,
            bytes = snapshot.data.len()
        );
        self.node.compact(snapshot.clone());
        self.save_snapshot(snapshot);
    }

    pub(super) fn save_snapshot(&mut self, snapshot: Snapshot) {
        let log = self.node.log();
        let end = (log.last_index(), log.last_term());
        let persist = Persist {
            snapshot: Some(snapshot),
            ..Persist::default()
        };
        let job = Job {
            persist,
            messages: Vec::new(),
            end,
        };
        self.writer.submit(job, self.clock.now());
    }

    /// Publishes figures for `/metrics`.
    pub(super) fn publish(&self) {
        let metrics = &self.metrics;
        let ready = self.node.leader().is_some();
        self.ready.store(ready, Ordering::Relaxed);
        metrics.set_gauge("daisyquay_term", self.node.term() as f64);
        metrics.set_gauge("daisyquay_leader", f64::from(u8::from(self.led)));
        metrics.set_gauge("daisyquay_revision", self.state.revision as f64);
        metrics.set_gauge("daisyquay_commit_index", self.node.commit_index() as f64);
        metrics.set_gauge(
            "daisyquay_open_claims",
            self.state.open_claims().count() as f64,
        );
        metrics.set_gauge("daisyquay_sessions", self.state.pinned_sessions() as f64);
        metrics.set_gauge("daisyquay_disk_bytes", self.disk_bytes as f64);
    }
}

fn decode_state(snapshot: &Snapshot) -> State {
    if snapshot.data.is_empty() {
        return State::default();
    }
    match codec::decode(&snapshot.data) {
        Ok(state) => state,
        Err(e) => {
            event!(
                Error,
                "snapshot_unreadable",
                index = snapshot.index,
                error = e
            );
            std::process::exit(crate::cli::ExitCode::Storage.code());
        }
    }
}
