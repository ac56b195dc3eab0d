//! The state of one replica: its node of the log, the state machine and the leader's extra state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::Config;
use super::config_history::ConfigHistory;
use super::directory_history::DirectoryHistory;
use super::heartbeats::Heartbeats;
use super::leader_state::LeaderState;
use super::leader_state::config_view;
use super::outbox::Outbox;
use super::release_orders::ReleaseOrders;
use super::writer::SyncedBatch;
use super::writer::WriteJob;
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
use crate::collections::Name;
use crate::log::event;
use crate::metrics::Metrics;
use crate::peer::Client;
use crate::peer::DirectoryUpdate;
use crate::policy::repetition;
use crate::policy::repetition::Relation;
use crate::policy::replica_search::merge_addresses;
use crate::recovery::Phase;
use crate::recovery::Recovery;
use crate::state::AcceptedChange;
use crate::state::State;
use crate::state::command::Change;
use crate::state::command::ChangeOutcome;
use crate::state::command::Command;
use crate::state::command::Op;
use crate::state::command::Outcome;
use crate::wait_notice::WaitNotice;

/// Most commands that are queued or wait for their outcome; further ones are rejected.
const MAX_PENDING_PROPOSALS: usize = 20_000;

/// Size of the commands in the log, in bytes, from which the next snapshot is taken whatever their
/// number. The log is held in memory and on a small disk, and large configurations come in series.
const MAX_LOG_BYTES: usize = 4 * 1024 * 1024;

/// Most senders whose address is remembered. Beyond it all are forgotten; the log resends what is
/// lost by that.
const MAX_REMEMBERED_SENDERS: usize = 64;

/// A proposed command whose outcome a caller waits for.
struct Waiter {
    /// Term in which it was proposed: an entry of another term is another command.
    term: Term,
    kind: CommandKind,
    tx: oneshot::Sender<Outcome>,
}

/// Kind of a pending command. Some requests wait until none of a kind is pending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CommandKind {
    /// Starts the rollout of a service's release.
    ReleaseStart,
    /// Any other change of an operator.
    Change,
    /// A command that is no change of an operator.
    Other,
}

impl CommandKind {
    fn of(op: &Op) -> Self {
        match op {
            Op::Change(request) => match request.change {
                Change::ReleaseStart { .. } => Self::ReleaseStart,
                _ => Self::Change,
            },
            _ => Self::Other,
        }
    }
}

/// A replica's state, used from one thread.
pub(super) struct Core {
    pub(super) node: Node,
    pub(super) state: State,
    pub(super) leader_state: LeaderState,
    pub(super) config_history: ConfigHistory,
    directory_history: DirectoryHistory,
    pub(super) heartbeats: Heartbeats,
    /// Replicas that asked to join the log, by address.
    pub(super) join_requests: BTreeMap<SocketAddr, ReplicaId>,
    pub(super) address: SocketAddr,
    pub(super) disk_bytes: u64,
    pub(super) is_stopping: bool,
    pub(super) target_voters: usize,
    /// Longest time for which operators send an order without an id again.
    order_resend_time: Duration,
    /// Data centres named in the settings.
    data_centres: BTreeSet<Name>,
    clock: Arc<dyn Clock>,
    writer: Writer,
    outbox: Outbox,
    /// Source addresses of messages, to reply to replicas that are not in the membership yet.
    sender_addresses: BTreeMap<ReplicaId, SocketAddr>,
    /// Replicas that other processes have named while this one followed no leader, the latest first.
    reported: Vec<SocketAddr>,
    /// Commands not yet proposed.
    queue: Vec<(Op, oneshot::Sender<Outcome>)>,
    /// Proposed commands, by log index.
    waiters: BTreeMap<Index, Waiter>,
    snapshot_every: u64,
    /// Whether this replica was leader when the role was last checked.
    was_leader: bool,
    metrics: Metrics,
    recovery: Recovery,
    pub(super) release_orders: ReleaseOrders,
    /// Notified when the first leader since the start is known and can serve.
    leader_found: Rc<Notify>,
    /// While voters are lost and no learner can replace them.
    pub(super) voter_loss: WaitNotice,
    disk_stall: WaitNotice,
    ready: Arc<AtomicBool>,
    /// Addresses of the replicas that this one may create a log of; `None` once it knows of a log.
    pub(super) bootstrap_permission: Option<BTreeSet<SocketAddr>>,
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
        let mut config_history = ConfigHistory::default();
        config_history.record(config_view(&state));
        let node = Node::new(id, restored, cfg.settings, fastrand::u64(..), now);
        Self {
            node,
            state,
            leader_state: LeaderState::new(now),
            config_history,
            directory_history: DirectoryHistory::default(),
            heartbeats: Heartbeats::default(),
            join_requests: BTreeMap::new(),
            address: cfg.advertise,
            disk_bytes: 0,
            is_stopping: false,
            target_voters: cfg.target_voters,
            order_resend_time: cfg.order_resend_time,
            data_centres: cfg.data_centres.clone(),
            clock,
            writer,
            outbox: Outbox::new(cfg.advertise, client),
            sender_addresses: BTreeMap::new(),
            reported: Vec::new(),
            queue: Vec::new(),
            waiters: BTreeMap::new(),
            snapshot_every: cfg.snapshot_every,
            was_leader: false,
            metrics: Metrics::new(),
            recovery: Recovery::new(now),
            release_orders: ReleaseOrders::new(now),
            leader_found: Rc::default(),
            voter_loss: WaitNotice::default(),
            disk_stall: WaitNotice::default(),
            ready: Arc::default(),
            bootstrap_permission: None,
        }
    }

    /// Returns whether this replica knows the members of a log.
    pub(super) fn has_log(&self) -> bool {
        !self.node.membership().members.is_empty()
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(super) fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    /// Returns the metrics and the readiness flag for the admin listener.
    pub(super) fn admin_status(&self) -> Status {
        Status {
            metrics: self.metrics.clone(),
            ready: self.ready.clone(),
        }
    }

    /// Returns the next changes of the directory for a holder that is current up to `held`.
    pub(super) fn directory_update(&mut self, held: Index) -> DirectoryUpdate {
        self.directory_history
            .update_after(&self.state.directory, held, self.state.applied)
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the size of the log's commands and snapshots that wait to be sent, in bytes.
    pub(super) fn queued_bytes(&self) -> usize {
        self.outbox.queued_bytes()
    }

    /// Returns whether a data centre can be evacuated: the directory or the settings have it, or it
    /// is evacuated now.
    pub(super) fn knows_data_centre(&self, data_centre: &Name) -> bool {
        self.data_centres.contains(data_centre) || self.state.knows_data_centre(data_centre)
    }

    /// Returns whether this replica is the leader and its lease allows reads from its state.
    pub(super) fn has_leader_lease(&self) -> bool {
        self.node.has_lease(self.now())
    }

    /// Returns the leader's peer address, or `None` where no leader is known.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.node.leader()?;
        let member = self.node.membership().members.get(&leader)?;
        Some(member.address)
    }

    /// Returns the leader's peer address, where another replica is known to be it.
    pub(super) fn remote_leader(&self) -> Option<SocketAddr> {
        self.leader_address()
            .filter(|&leader| leader != self.address)
    }

    /// Adds replicas that another process has named; ignored while this one follows a leader.
    pub(super) fn add_reported(&mut self, replicas: Vec<SocketAddr>) {
        if self.leader_address().is_none() {
            merge_addresses(&mut self.reported, replicas);
        }
    }

    /// Forgets the replicas that other processes have named.
    pub(super) fn clear_reported(&mut self) {
        self.reported.clear();
    }

    /// Returns the peer addresses of replicas that are not in the settings: the members of the own
    /// log, those that other processes have named, and those that have sent messages of a log. The
    /// leader sends them to a member that has lost its disk, too.
    pub(super) fn known_replicas(&self) -> BTreeSet<SocketAddr> {
        let members = self.node.membership().members.values();
        let members = members.map(|member| member.address);
        let senders = self.sender_addresses.values().copied();
        let reported = self.reported.iter().copied();
        members.chain(senders).chain(reported).collect()
    }

    /// Returns the peer addresses of the members of the log; none where no leader is known.
    pub(super) fn replicas_under_leader(&self) -> Vec<SocketAddr> {
        if self.remote_leader().is_none() && !self.has_leader_lease() {
            return Vec::new();
        }
        let members = self.node.membership().members.values();
        members.map(|member| member.address).collect()
    }

    /// Queues a command. The receiver gets its outcome, or an error where the outcome is unknown.
    /// Returns `None` where this replica is not the leader, is stopping, or has too many pending
    /// commands.
    pub(super) fn propose(&mut self, op: Op) -> Option<oneshot::Receiver<Outcome>> {
        self.propose_all(vec![op])?.pop()
    }

    /// Queues commands that follow each other in the log without others between them, as [`propose`]
    /// does one.
    ///
    /// [`propose`]: Self::propose
    pub(super) fn propose_all(&mut self, ops: Vec<Op>) -> Option<Vec<oneshot::Receiver<Outcome>>> {
        let full = self.pending_commands() >= MAX_PENDING_PROPOSALS;
        if self.node.role() != Role::Leader || full || self.is_stopping {
            return None;
        }
        let mut receivers = Vec::with_capacity(ops.len());
        for op in ops {
            let (tx, rx) = oneshot::channel();
            self.queue.push((op, tx));
            receivers.push(rx);
        }
        if self.writer.is_idle() {
            self.flush();
        }
        Some(receivers)
    }

    /// Returns whether an operator's change is queued or proposed here and not yet applied. While
    /// this replica has the leader lease, all changes of former leaders are applied.
    pub(super) fn has_pending_change(&self) -> bool {
        self.pending_kinds().any(|kind| kind != CommandKind::Other)
    }

    /// Returns the same for the start of a release's rollout.
    pub(super) fn has_pending_release_start(&self) -> bool {
        self.pending_kinds()
            .any(|kind| kind == CommandKind::ReleaseStart)
    }

    fn pending_kinds(&self) -> impl Iterator<Item = CommandKind> + '_ {
        let queued = self.queue.iter().map(|(op, _)| CommandKind::of(op));
        queued.chain(self.waiters.values().map(|waiter| waiter.kind))
    }

    /// Relates an order to roll a release out to an earlier one in the same words, as the leader.
    pub(super) fn relate_to_release_order(&self, earlier: &AcceptedChange) -> Relation {
        let (now, wall_ms) = (self.now(), self.wall_ms());
        let age = self
            .release_orders
            .age(earlier, self.node.term(), now, wall_ms);
        let relation = repetition::relate(&age, self.order_resend_time);
        event!(
            Info,
            "release_order_in_same_words",
            earlier = earlier.id,
            relation = format!("{relation:?}"),
            known_ms = age.known_for.as_millis(),
            is_own = age.is_own,
            wall_ms = age.wall_age.map_or(-1.0, |age| age.as_secs_f64() * 1e3)
        );
        relation
    }

    /// Returns the number of commands whose outcome a caller waits for.
    pub(super) fn pending_commands(&self) -> usize {
        self.queue.len() + self.waiters.len()
    }

    /// Proposes all queued commands: those that arrived during one sync share the next.
    fn flush(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let at_ms = self.clock.wall_ms();
        let queue = std::mem::take(&mut self.queue);
        let mut commands = Vec::with_capacity(queue.len());
        let mut senders = Vec::with_capacity(queue.len());
        for (op, tx) in queue {
            let kind = CommandKind::of(&op);
            commands.push(Command { at_ms, op }.to_bytes());
            senders.push((tx, kind));
        }
        let term = self.node.term();
        // If this replica is no longer the leader, the senders are dropped and the receivers fail.
        if let Ok((first, effects)) = self.node.propose(commands, self.clock.now()) {
            for (i, (tx, kind)) in senders.into_iter().enumerate() {
                let waiter = Waiter { term, kind, tx };
                self.waiters.insert(first + i as u64, waiter);
            }
            self.apply_effects(effects);
        }
    }

    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        if let Some(stalled) = self.writer.stuck_for(now) {
            if self.disk_stall.is_due(now) {
                event!(Warn, "disk_stalls", ms = stalled.as_millis());
            }
            // A leader that can't write blocks all commands, and a candidate that can't write would
            // do the same as leader. So the leader steps down, and the election timer is not
            // ticked.
            if self.node.role() == Role::Leader {
                event!(
                    Warn,
                    "leader_yields",
                    id = self.node.id(),
                    reason = "disk is stuck"
                );
                let effects = self.node.step_down(now);
                self.apply_effects(effects);
            }
            return;
        }
        let effects = self.node.tick(now);
        self.apply_effects(effects);
    }

    pub(super) fn receive(&mut self, from: SocketAddr, message: Message) {
        if self.sender_addresses.len() >= MAX_REMEMBERED_SENDERS {
            self.sender_addresses.clear();
        }
        self.sender_addresses.insert(message.from, from);
        let effects = self.node.receive(message, self.clock.now());
        self.apply_effects(effects);
    }

    pub(super) fn on_synced(&mut self, synced: SyncedBatch) {
        if self.disk_stall.end() {
            event!(Info, "disk_goes_on");
        }
        self.writer.record_synced(synced.jobs, self.clock.now());
        self.disk_bytes = synced.disk_bytes;
        for message in synced.messages {
            self.send(message);
        }
        let (index, term) = synced.log_end;
        let effects = self.node.persisted(index, term);
        self.apply_effects(effects);
        if self.writer.is_idle() {
            self.flush();
        }
    }

    pub(super) fn apply_effects(&mut self, effects: Effects) {
        for message in effects.messages_before_sync {
            self.send(message);
        }
        if effects.persist.is_empty() && self.writer.is_idle() {
            for message in effects.messages_after_sync {
                self.send(message);
            }
        } else if !effects.persist.is_empty() || !effects.messages_after_sync.is_empty() {
            let log = self.node.log();
            let job = WriteJob {
                persist: effects.persist,
                messages: effects.messages_after_sync,
                log_end: (log.last_index(), log.last_term()),
            };
            self.writer.submit(job, self.clock.now());
        }
        if let Some(snapshot) = &effects.install_snapshot {
            self.state = decode_state(snapshot);
            self.release_orders = ReleaseOrders::new(self.clock.now());
            self.config_history.record(config_view(&self.state));
        }
        for entry in effects.committed {
            self.apply(entry);
        }
        self.handle_role_change();
        self.record_leader_found();
    }

    /// Reports the first leader since the start, once it can serve.
    fn record_leader_found(&self) {
        if self.recovery.has_reached(Phase::Leader) {
            return;
        }
        if self.remote_leader().is_some() || self.has_leader_lease() {
            self.recovery
                .record(Phase::Leader, self.now(), &self.metrics);
            self.leader_found.notify_waiters();
        }
    }

    /// Returns what to wait for until the first leader since the start is known; `None` if one was
    /// known before.
    pub(super) fn leader_search(&self) -> Option<Rc<Notify>> {
        (!self.recovery.has_reached(Phase::Leader)).then(|| self.leader_found.clone())
    }

    fn apply(&mut self, entry: Entry) {
        let waiter = self.waiters.remove(&entry.index);
        let Payload::Command(data) = &entry.payload else {
            self.state.applied = entry.index;
            return;
        };
        match Command::from_bytes(data) {
            Some(command) => {
                let order = release_order(&command.op);
                let outcome = self.state.apply(entry.index, command);
                if let Some(id) = order
                    && matches!(outcome, Outcome::Change(ChangeOutcome::Accepted { .. }))
                {
                    let is_own = waiter.as_ref().is_some_and(|w| w.term == entry.term);
                    let term = is_own.then_some(entry.term);
                    self.release_orders.record(id, term, self.clock.now());
                }
                if self.state.revision > self.config_history.revision() {
                    self.config_history.record(config_view(&self.state));
                }
                if let Some(waiter) = waiter.filter(|waiter| waiter.term == entry.term) {
                    let _ = waiter.tx.send(outcome);
                }
            }
            None => {
                // Skipping the entry would let the replicas' states diverge.
                event!(
                    Error,
                    "command_unreadable",
                    index = entry.index,
                    error = "damaged, or written by a newer build; run that build"
                );
                std::process::exit(crate::cli::ExitCode::Storage.code());
            }
        }
    }

    /// Resets the leader's state when this replica becomes leader, and drops pending commands when
    /// it steps down.
    fn handle_role_change(&mut self) {
        let is_leader = self.node.role() == Role::Leader;
        if is_leader == self.was_leader {
            return;
        }
        self.was_leader = is_leader;
        let term = self.node.term();
        if is_leader {
            event!(Info, "leader_elected", id = self.node.id(), term = term);
            self.leader_state = LeaderState::new(self.clock.now());
        } else {
            event!(
                Info,
                "leader_stepped_down",
                id = self.node.id(),
                term = term
            );
            // Pending commands may still be committed by the next leader. Dropping the senders
            // reports their outcome as unknown.
            self.waiters.clear();
            self.queue.clear();
            self.join_requests.clear();
        }
    }

    fn send(&self, message: Message) {
        let member = self.node.membership().members.get(&message.to);
        let address = member.map(|member| member.address);
        if let Some(address) = address.or_else(|| self.sender_addresses.get(&message.to).copied()) {
            self.outbox.send(address, message);
        }
    }

    /// Takes a snapshot and compacts the log once enough entries or bytes were applied since the
    /// last one.
    pub(super) fn compact(&mut self) {
        let applied = self.state.applied;
        let since = applied.saturating_sub(self.node.log().snapshot().index);
        let is_large = since > 0 && self.node.log().command_bytes() > MAX_LOG_BYTES;
        if since < self.snapshot_every && !is_large {
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
        let log_end = (log.last_index(), log.last_term());
        let persist = Persist {
            snapshot: Some(snapshot),
            ..Persist::default()
        };
        let job = WriteJob {
            persist,
            messages: Vec::new(),
            log_end,
        };
        self.writer.submit(job, self.clock.now());
    }

    /// Updates the metrics and the readiness flag: ready while a leader is known.
    pub(super) fn update_metrics(&self) {
        let metrics = &self.metrics;
        let ready = self.node.leader().is_some();
        self.ready.store(ready, Ordering::Relaxed);
        metrics.set_gauge("daisyquay_term", self.node.term() as f64);
        metrics.set_gauge("daisyquay_leader", f64::from(u8::from(self.was_leader)));
        metrics.set_gauge("daisyquay_revision", self.state.revision as f64);
        metrics.set_gauge("daisyquay_commit_index", self.node.commit_index() as f64);
        metrics.set_gauge(
            "daisyquay_open_claims",
            self.state.open_claims().count() as f64,
        );
        metrics.set_gauge("daisyquay_sessions", self.state.pinned_sessions() as f64);
        metrics.set_gauge("daisyquay_disk_bytes", self.disk_bytes as f64);
        let voters = self.node.membership().voters().count();
        metrics.set_gauge("daisyquay_voters", voters as f64);
        metrics.set_gauge("daisyquay_target_voters", self.target_voters as f64);
        if !self.was_leader {
            metrics.set_gauge("daisyquay_missing_voters", 0.0);
            metrics.set_gauge("daisyquay_learners", 0.0);
        }
    }
}

/// Returns the id of a change that starts a release's rollout; `None` for any other command.
fn release_order(op: &Op) -> Option<Name> {
    match op {
        Op::Change(request) if CommandKind::of(op) == CommandKind::ReleaseStart => {
            Some(request.change_id.clone())
        }
        _ => None,
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
