//! One replica of the log as a pure state machine.

mod election;
mod follower;
mod leader;

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

/// Most bytes of commands in one append, so that a catch-up never delays a heartbeat for long.
const APPEND_MAX_BYTES: usize = 512 * 1024;

/// Time before a snapshot that was not answered is sent again.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Timing of elections.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Silence after which a follower may stand for election, at least.
    pub election_timeout_min: Duration,
    /// The same, at most.
    pub election_timeout_max: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Taken off a leader's lease for clocks that run at different speeds.
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

/// What a disk held when the replica started.
#[derive(Clone, Debug)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Snapshot and entries after it.
    pub log: Log,
}

/// What a replica is at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal was not taken.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ProposeError {
    /// Another replica leads.
    #[snafu(display("this replica does not lead; ask {leader:?}"))]
    NotLeader {
        /// The leader, where it is known.
        leader: Option<ReplicaId>,
    },
    /// A membership change is still under way.
    #[snafu(display("another membership change is under way; ask again when it is committed"))]
    ChangePending,
    /// The change would do nothing or leave no voter.
    #[snafu(display("the change does nothing or leaves no voter; check `daisyquay show status`"))]
    InvalidChange,
}

/// What must be written and synced, in this order, before `Effects::messages_after_sync` are sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// Term and vote, where they changed.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the log up to its index.
    pub snapshot: Option<Snapshot>,
    /// First index to drop before appending.
    pub truncate_from: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

impl Persist {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What the shell does after a step.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Messages that may leave before anything is written: a leader's appends.
    pub messages_before_sync: Vec<Message>,
    /// What to write and sync.
    pub persist: Persist,
    /// Messages that wait for the sync.
    pub messages_after_sync: Vec<Message>,
    /// Entries newly committed, in order.
    pub committed: Vec<Entry>,
    /// A snapshot that the state machine loads before `committed`.
    pub install_snapshot: Option<Snapshot>,
}

/// One replica.
#[derive(Debug)]
pub struct Node {
    id: ReplicaId,
    settings: Settings,
    hard_state: HardState,
    log: Log,
    durable_index: Index,
    commit_index: Index,
    delivered_index: Index,
    role: Role,
    leader: Option<ReplicaId>,
    leader_contact: Option<Duration>,
    election_deadline: Duration,
    heartbeat_due: Duration,
    votes: BTreeSet<ReplicaId>,
    progress: BTreeMap<ReplicaId, Progress>,
    rounds: Rounds,
    leader_since: Duration,
    term_start_index: Index,
    rng: fastrand::Rng,
    effects: Effects,
}

impl Node {
    /// Starts a replica from what its disk held. `seed` spreads election timeouts.
    pub fn new(
        id: ReplicaId,
        restored: Restored,
        settings: Settings,
        seed: u64,
        now: Duration,
    ) -> Self {
        let log = restored.log;
        let start = log.snapshot().index;
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
            // A restarted replica may have promised a leader not to vote; it keeps that promise
            // for a whole election timeout because it can't know.
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

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader, where one is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index up to which entries are committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The newest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Last index that a member is known to hold durably; leaders only.
    pub fn match_index(&self, id: ReplicaId) -> Option<Index> {
        if id == self.id {
            return Some(self.durable_index);
        }
        self.progress.get(&id).map(|progress| progress.match_index)
    }

    /// Whether this replica leads, has committed an entry of its term, and knows that no other
    /// leader can have been elected by `now`.
    pub fn has_lease(&self, now: Duration) -> bool {
        self.role == Role::Leader
            && self.commit_index >= self.term_start_index
            && self.quorum_contact().is_some_and(|heard| {
                now < heard + self.settings.election_timeout_min - self.settings.drift_margin
            })
    }

    /// When the newest round that a member answered was sent; leaders only.
    pub fn last_contact(&self, id: ReplicaId) -> Option<Duration> {
        self.progress
            .get(&id)
            .and_then(|progress| progress.last_contact)
    }

    /// Gives up the office, if it has one; the others elect a leader once they miss this one.
    pub fn step_down(&mut self, now: Duration) -> Effects {
        if self.role == Role::Leader {
            self.become_follower(self.hard_state.term, None, now);
        }
        self.take_effects()
    }

    /// When this replica took office.
    pub fn leader_since(&self) -> Duration {
        self.leader_since
    }

    /// Whether `learner` holds everything that is committed, so that it may be promoted.
    pub fn is_caught_up(&self, learner: ReplicaId) -> bool {
        self.role == Role::Leader
            && self
                .match_index(learner)
                .is_some_and(|m| m >= self.commit_index)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) -> Effects {
        match self.role {
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                if now >= self.election_deadline && self.membership().is_voter(self.id) {
                    self.start_pre_vote(now);
                }
            }
        }
        self.take_effects()
    }

    /// Takes a message from a peer.
    pub fn receive(&mut self, message: Message, now: Duration) -> Effects {
        if message.to == self.id && message.from != self.id {
            self.dispatch(message, now);
        }
        self.take_effects()
    }

    /// The shell has synced everything up to `index` of `term`.
    pub fn persisted(&mut self, index: Index, term: Term) -> Effects {
        if self.log.term(index) == Some(term) {
            self.durable_index = self.durable_index.max(index).min(self.log.last_index());
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
        self.take_effects()
    }

    /// Proposes commands; all are appended in order, from the returned index on.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] names whom to ask.
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

    /// Proposes a membership change.
    ///
    /// # Errors
    ///
    /// One change at a time; see [`ProposeError`].
    pub fn propose_change(
        &mut self,
        change: &Change,
        now: Duration,
    ) -> Result<Effects, ProposeError> {
        self.require_leader()?;
        let (index, membership) = self.log.membership();
        let pending = index > self.commit_index || self.commit_index < self.term_start_index;
        if pending {
            return ChangePendingSnafu.fail();
        }
        let Some(next) = membership.with_change(change) else {
            return InvalidChangeSnafu.fail();
        };
        self.append_as_leader(Payload::Membership(next));
        self.reconcile_progress();
        self.broadcast(now);
        Ok(self.take_effects())
    }

    /// Replaces the log up to `index` by `data`, once the shell has made that snapshot durable.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index > self.log.snapshot().index && snapshot.index <= self.delivered_index {
            self.log.install_snapshot(snapshot);
        }
    }

    /// A snapshot of `data` at `index`, ready to be written and given to [`Node::compact`].
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
                commit,
                round,
            } => {
                if self.accept_leader(from, term, round, now) {
                    self.on_append_entries(from, (prev_index, prev_term), entries, commit, round);
                }
            }
            Body::AppendEntriesReply {
                matched,
                index,
                round,
            } => self.on_append_entries_reply(from, term, matched, index, round, now),
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
