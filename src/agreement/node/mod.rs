//! One Raft replica as a deterministic state machine without I/O.

mod election;
mod follower;
mod leader;
mod restart;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use snafu::Snafu;

use super::Body;
use super::Change;
use super::Entry;
use super::HardState;
use super::Index;
use super::Log;
use super::Membership;
use super::Message;
use super::Payload;
use super::ReplicaId;
use super::Snapshot;
use super::Term;
use super::progress::Progress;
use super::progress::Rounds;
use restart::Restart;

/// Limit on the bytes of commands in one message, so that a follower that catches up does not delay
/// heartbeats for long.
const APPEND_MAX_BYTES: usize = 512 * 1024;

/// Time after which the leader sends an unacknowledged snapshot again.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Timing of elections, heartbeats and the leader's lease.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Minimum time without a message from a leader after which a follower starts an election.
    /// Within this time replicas also reject vote requests.
    pub election_timeout_min: Duration,
    /// Maximum of the randomized election timeout; also the time without contact to a quorum after
    /// which a leader steps down.
    pub election_timeout_max: Duration,
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Deducted from the leader's lease, because replicas' clocks may run at different rates.
    pub drift_margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_timeout_min: Duration::from_millis(500),
            election_timeout_max: Duration::from_millis(900),
            heartbeat_interval: Duration::from_millis(100),
            drift_margin: Duration::from_millis(50),
        }
    }
}

/// The persistent state that a replica starts from.
#[derive(Clone, Debug)]
pub struct Restored {
    /// Current term and the vote in it.
    pub hard_state: HardState,
    /// Latest snapshot and the entries after it.
    pub log: Log,
}

/// Current Raft role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Asks for pre-votes before it starts an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Accepts proposals and replicates the log.
    Leader,
}

/// Why a proposal was rejected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[snafu(display("this replica is not the leader; send the proposal to {leader:?}"))]
    NotLeader {
        /// The current leader, if it is known.
        leader: Option<ReplicaId>,
    },
    /// An earlier membership change, or the first entry of the leader's term, is not committed yet.
    #[snafu(display("another membership change is not committed yet; retry when it is committed"))]
    ChangePending,
    /// The membership change has no effect, would leave no voter or would remove the leader.
    #[snafu(display(
        "the membership change has no effect, would leave no voter or would remove the leader; \
         check the members with `daisyquay show status`"
    ))]
    InvalidChange,
}

/// State to write and sync, in the order of the fields, before `Effects::messages_after_sync` are
/// sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// Term and vote; `None` if they are unchanged.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the stored log up to its index.
    pub snapshot: Option<Snapshot>,
    /// First index to remove from the log before appending.
    pub truncate_from: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

impl Persist {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What the caller has to do after passing an input to a [`Node`].
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Messages that may be sent before the sync: the leader's append entries and snapshots.
    pub messages_before_sync: Vec<Message>,
    /// State to write and sync.
    pub persist: Persist,
    /// Messages that may be sent only after the sync: vote requests and replies.
    pub messages_after_sync: Vec<Message>,
    /// Newly committed entries in log order.
    pub committed: Vec<Entry>,
    /// Snapshot that the state machine must load before it applies `committed`.
    pub install_snapshot: Option<Snapshot>,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Node {
    id: ReplicaId,
    settings: Settings,
    hard_state: HardState,
    log: Log,
    /// Last index that is synced to this replica's disk.
    durable_index: Index,
    commit_index: Index,
    /// Last index that was returned in [`Effects::committed`], or that of the snapshot which the
    /// replica started from or installed.
    delivered_index: Index,
    role: Role,
    leader: Option<ReplicaId>,
    /// Vote requests of the other voters since this replica's start; `None` once it has followed a
    /// leader or led.
    restart: Option<Restart>,
    /// When this replica last received a message from a leader.
    leader_contact: Option<Duration>,
    election_deadline: Duration,
    heartbeat_due: Duration,
    votes: BTreeSet<ReplicaId>,
    progress: BTreeMap<ReplicaId, Progress>,
    rounds: Rounds,
    leader_since: Duration,
    /// Index of the no-op entry that this replica appended when it last became leader.
    term_start_index: Index,
    rng: fastrand::Rng,
    effects: Effects,
}

impl Node {
    /// Starts a replica as a follower from its persistent state. `seed` randomizes its election
    /// timeouts.
    pub fn new(
        id: ReplicaId,
        restored: Restored,
        settings: Settings,
        seed: u64,
        now: Duration,
    ) -> Self {
        let log = restored.log;
        let start = log.snapshot().index;
        let restart = Restart::new(restored.hard_state, &log, now);
        let mut node = Self {
            id,
            settings,
            hard_state: restored.hard_state,
            durable_index: log.last_index(),
            commit_index: start,
            delivered_index: start,
            log,
            role: Role::Follower,
            leader: None,
            restart: Some(restart),
            // Before the restart, this replica may have acknowledged a leader that now relies on it
            // for its lease, so it rejects vote requests for one minimum election timeout, unless
            // `restart` shows earlier that this leader no longer leads.
            leader_contact: Some(now),
            election_deadline: now,
            heartbeat_due: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            rounds: Rounds::default(),
            leader_since: now,
            term_start_index: 0,
            rng: fastrand::Rng::with_seed(seed),
            effects: Effects::default(),
        };
        node.reset_election_timeout(now);
        node
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the highest index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Returns the highest index known to be durable on a member. For other members, only a
    /// leader's value is current; `None` if `id` is unknown.
    pub fn match_index(&self, id: ReplicaId) -> Option<Index> {
        if id == self.id {
            return Some(self.durable_index);
        }
        self.progress.get(&id).map(|progress| progress.match_index)
    }

    /// Returns whether this replica holds the leader lease at `now`: it is the leader, it has
    /// committed an entry of its term, and no other replica can have been elected by `now`.
    pub fn has_lease(&self, now: Duration) -> bool {
        self.role == Role::Leader
            && self.commit_index >= self.term_start_index
            && self.quorum_contact().is_some_and(|contact| {
                now < contact + self.settings.election_timeout_min - self.settings.drift_margin
            })
    }

    /// Returns the send time of the newest round that a member replied to, or `None` if it has
    /// replied to none. The value is current only on the leader.
    pub fn last_contact(&self, id: ReplicaId) -> Option<Duration> {
        self.progress
            .get(&id)
            .and_then(|progress| progress.last_contact)
    }

    /// Makes a leader a follower; the other replicas elect a leader after their election timeouts.
    pub fn step_down(&mut self, now: Duration) -> Effects {
        if self.role == Role::Leader {
            self.become_follower(self.hard_state.term, None, now);
        }
        self.take_effects()
    }

    /// Returns when this replica last became leader.
    pub fn leader_since(&self) -> Duration {
        self.leader_since
    }

    /// Returns whether this replica is the leader and `learner` holds all committed entries, so
    /// that it may be promoted.
    pub fn is_caught_up(&self, learner: ReplicaId) -> bool {
        self.role == Role::Leader
            && self
                .match_index(learner)
                .is_some_and(|m| m >= self.commit_index)
    }

    /// Advances the time: starts an election or sends heartbeats when they are due.
    pub fn tick(&mut self, now: Duration) -> Effects {
        match self.role {
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                let has_timed_out = now >= self.election_deadline;
                if has_timed_out && self.membership().is_voter(self.id) {
                    self.start_pre_vote(now);
                } else {
                    if has_timed_out {
                        // A learner starts no election, but no longer names the leader either.
                        self.leader = None;
                    }
                    self.tick_restart(now);
                }
            }
        }
        self.take_effects()
    }

    /// Handles a message from a peer; drops one that is addressed to another identity.
    pub fn receive(&mut self, message: Message, now: Duration) -> Effects {
        if message.to == self.id && message.from != self.id {
            self.dispatch(message, now);
        }
        self.take_effects()
    }

    /// Records that the log is synced up to `index`, whose entry has `term`.
    pub fn persisted(&mut self, index: Index, term: Term) -> Effects {
        if self.log.term(index) == Some(term) {
            self.durable_index = self.durable_index.max(index).min(self.log.last_index());
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
        self.take_effects()
    }

    /// Appends commands to the log in order and returns the index of the first one.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] if this replica is not the leader.
    pub fn propose(
        &mut self,
        commands: Vec<Vec<u8>>,
        now: Duration,
    ) -> Result<(Index, Effects), ProposeError> {
        self.require_leader()?;
        let first = self.log.last_index() + 1;
        for command in commands {
            self.append_as_leader(Payload::Command(command));
        }
        self.broadcast(now);
        Ok((first, self.take_effects()))
    }

    /// Appends a membership change to the log.
    ///
    /// # Errors
    ///
    /// This replica is not the leader, an earlier change is not committed yet, or the change is
    /// invalid; see [`ProposeError`].
    pub fn propose_change(
        &mut self,
        change: &Change,
        now: Duration,
    ) -> Result<Effects, ProposeError> {
        self.require_leader()?;
        let (index, membership) = self.log.membership();
        let is_pending = index > self.commit_index || self.commit_index < self.term_start_index;
        if is_pending {
            return ChangePendingSnafu.fail();
        }
        // A restarted replica assumes that the leader of its term is a voter in its log; see
        // `Restart`.
        let removes_self = *change == Change::Remove(self.id);
        let Some(next) = membership.with_change(change).filter(|_| !removes_self) else {
            return InvalidChangeSnafu.fail();
        };
        self.append_as_leader(Payload::Membership(next));
        self.reconcile_progress();
        self.broadcast(now);
        Ok(self.take_effects())
    }

    /// Replaces the log in memory up to the snapshot's index by `snapshot`, which the caller has to
    /// write and sync as well. Ignores a snapshot that is not newer than the current one or that
    /// covers entries not yet returned in [`Effects::committed`].
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index > self.log.snapshot().index && snapshot.index <= self.delivered_index {
            self.log.install_snapshot(snapshot);
        }
    }

    /// Builds a snapshot of the state machine's `data` at `index`, to write and to pass to
    /// [`Node::compact`]; `None` if the log doesn't have that index.
    pub fn snapshot_at(&self, index: Index, data: Vec<u8>) -> Option<Snapshot> {
        Some(Snapshot {
            index,
            term: self.log.term(index)?,
            membership: self.log.membership_at(index).clone(),
            data,
        })
    }

    fn require_leader(&self) -> Result<(), ProposeError> {
        if self.role == Role::Leader {
            return Ok(());
        }
        NotLeaderSnafu {
            leader: self.leader,
        }
        .fail()
    }

    /// Returns the effects collected since the last call, with all newly committed entries.
    fn take_effects(&mut self) -> Effects {
        let mut effects = std::mem::take(&mut self.effects);
        while self.delivered_index < self.commit_index {
            let Some(entry) = self.log.get(self.delivered_index + 1) else {
                break;
            };
            effects.committed.push(entry.clone());
            self.delivered_index += 1;
        }
        effects
    }

    fn dispatch(&mut self, message: Message, now: Duration) {
        let Message {
            from, term, body, ..
        } = message;
        self.record_vote_request(from, term, &body);
        match body {
            Body::PreVote {
                last_index,
                last_term,
            } => self.on_pre_vote(from, term, (last_term, last_index), now),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted, now),
            Body::Vote {
                last_index,
                last_term,
            } => self.on_vote(from, term, (last_term, last_index), now),
            Body::VoteReply { granted } => self.on_vote_reply(from, term, granted, now),
            Body::AppendEntries {
                prev_index,
                prev_term,
                entries,
                leader_commit,
                round,
            } => {
                if self.accept_leader(from, term, round, now) {
                    self.on_append_entries(
                        from,
                        (prev_index, prev_term),
                        entries,
                        leader_commit,
                        round,
                    );
                }
            }
            Body::AppendEntriesReply {
                success,
                index,
                round,
            } => self.on_append_entries_reply(from, term, success, index, round, now),
            Body::InstallSnapshot { snapshot, round } => {
                if self.accept_leader(from, term, round, now) {
                    self.on_install_snapshot(from, snapshot, round);
                }
            }
        }
    }

    fn send_to_voters(&mut self, term: Term, body: &Body) {
        let id = self.id;
        let voters: Vec<ReplicaId> = self.membership().voters().collect();
        for to in voters.into_iter().filter(|&to| to != id) {
            self.send_after_sync(to, term, body.clone());
        }
    }

    fn send_after_sync(&mut self, to: ReplicaId, term: Term, body: Body) {
        self.effects.messages_after_sync.push(Message {
            from: self.id,
            to,
            term,
            body,
        });
    }

    fn send_before_sync(&mut self, to: ReplicaId, body: Body) {
        self.effects.messages_before_sync.push(Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        });
    }
}
