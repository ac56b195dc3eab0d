//! One replica of the log as a pure state machine.

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
const APPEND_LIMIT: usize = 512 * 1024;

/// Time before a snapshot that was not answered is sent again.
const SNAPSHOT_RETRY: Duration = Duration::from_secs(2);

/// Timing of elections.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Silence after which a follower may stand for election, at least.
    pub election_min: Duration,
    /// The same, at most.
    pub election_max: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Taken off a leader's lease for clocks that run at different speeds.
    pub drift_margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(900),
            heartbeat: Duration::from_millis(100),
            drift_margin: Duration::from_millis(50),
        }
    }
}

/// What a disk held when the replica started.
#[derive(Clone, Debug)]
pub struct Restored {
    /// Term and vote.
    pub hard: HardState,
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
    ChangeEmpty,
}

/// What must be written and synced, in this order, before `Effects::messages` are sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// Term and vote, where they changed.
    pub hard: Option<HardState>,
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
    pub immediate: Vec<Message>,
    /// What to write and sync.
    pub persist: Persist,
    /// Messages that wait for the sync.
    pub messages: Vec<Message>,
    /// Entries newly committed, in order.
    pub committed: Vec<Entry>,
    /// A snapshot that the state machine loads before `committed`.
    pub install: Option<Snapshot>,
}

/// One replica.
#[derive(Debug)]
pub struct Node {
    id: ReplicaId,
    settings: Settings,
    hard: HardState,
    log: Log,
    durable: Index,
    commit: Index,
    delivered: Index,
    role: Role,
    leader: Option<ReplicaId>,
    leader_heard: Option<Duration>,
    election_at: Duration,
    heartbeat_at: Duration,
    votes: BTreeSet<ReplicaId>,
    progress: BTreeMap<ReplicaId, Progress>,
    rounds: Rounds,
    office_since: Duration,
    office_index: Index,
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
            hard: restored.hard,
            durable: log.last_index(),
            commit: start,
            delivered: start,
            log,
            role: Role::Follower,
            leader: None,
            // A restarted replica may have promised a leader not to vote; it keeps that promise
            // for a whole election timeout because it can't know.
            leader_heard: Some(now),
            election_at: now,
            heartbeat_at: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            rounds: Rounds::default(),
            office_since: now,
            office_index: 0,
            rng: fastrand::Rng::with_seed(seed),
            effects: Effects::default(),
        };
        node.reset_election(now);
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
        self.hard.term
    }

    /// The leader, where one is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index up to which entries are committed.
    pub fn commit(&self) -> Index {
        self.commit
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
    pub fn matched(&self, id: ReplicaId) -> Option<Index> {
        if id == self.id {
            return Some(self.durable);
        }
        self.progress.get(&id).map(|progress| progress.matched)
    }

    /// Whether this replica leads, has committed an entry of its term, and knows that no other
    /// leader can have been elected by `now`.
    pub fn has_lease(&self, now: Duration) -> bool {
        self.role == Role::Leader
            && self.commit >= self.office_index
            && self.quorum_heard().is_some_and(|heard| {
                now < heard + self.settings.election_min - self.settings.drift_margin
            })
    }

    /// When this replica took office.
    pub fn office_since(&self) -> Duration {
        self.office_since
    }

    /// Whether `learner` holds everything that is committed, so that it may be promoted.
    pub fn caught_up(&self, learner: ReplicaId) -> bool {
        self.role == Role::Leader && self.matched(learner).is_some_and(|m| m >= self.commit)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) -> Effects {
        match self.role {
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                if now >= self.election_at && self.membership().is_voter(self.id) {
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
            self.durable = self.durable.max(index).min(self.log.last_index());
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
            self.append_own(Payload::Command(command));
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
        let pending = index > self.commit || self.commit < self.office_index;
        if pending {
            return ChangePendingSnafu.fail();
        }
        let Some(next) = membership.with(change) else {
            return ChangeEmptySnafu.fail();
        };
        self.append_own(Payload::Membership(next));
        self.sync_progress();
        self.broadcast(now);
        Ok(self.take_effects())
    }

    /// Replaces the log up to `index` by `data`, once the shell has made that snapshot durable.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index > self.log.snapshot().index && snapshot.index <= self.delivered {
            self.log.install(snapshot);
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
        while self.delivered < self.commit {
            let Some(entry) = self.log.get(self.delivered + 1) else {
                break;
            };
            effects.committed.push(entry.clone());
            self.delivered += 1;
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
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(from, term, round, now) {
                    self.on_append(from, (prev_index, prev_term), entries, commit, round);
                }
            }
            Body::AppendReply {
                matched,
                index,
                round,
            } => self.on_append_reply(from, term, matched, index, round, now),
            Body::InstallSnapshot { snapshot, round } => {
                if self.accept_leader(from, term, round, now) {
                    self.on_snapshot(from, snapshot, round);
                }
            }
        }
    }

    // Elections.

    fn start_pre_vote(&mut self, now: Duration) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        self.reset_election(now);
        if self.votes.len() >= self.membership().quorum() {
            self.start_vote(now);
            return;
        }
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.hard.term + 1, &body);
    }

    fn start_vote(&mut self, now: Duration) {
        self.role = Role::Candidate;
        self.hard = HardState {
            term: self.hard.term + 1,
            vote: Some(self.id),
        };
        self.effects.persist.hard = Some(self.hard);
        self.votes = BTreeSet::from([self.id]);
        self.reset_election(now);
        if self.votes.len() >= self.membership().quorum() {
            self.take_office(now);
            return;
        }
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.hard.term, &body);
    }

    /// A leader heard lately makes this replica refuse votes: that is what a leader's lease rests
    /// on, and what keeps a replica that comes back from a cut from unseating a healthy leader.
    fn leader_is_fresh(&self, now: Duration) -> bool {
        self.role == Role::Leader
            || self
                .leader_heard
                .is_some_and(|heard| now < heard + self.settings.election_min)
    }

    fn log_is_current(&self, theirs: (Term, Index)) -> bool {
        theirs >= (self.log.last_term(), self.log.last_index())
    }

    fn on_pre_vote(&mut self, from: ReplicaId, term: Term, last: (Term, Index), now: Duration) {
        let granted =
            term > self.hard.term && !self.leader_is_fresh(now) && self.log_is_current(last);
        // A refusal carries our own term, so that a candidate that lags behind catches up.
        let term = if granted { term } else { self.hard.term };
        self.reply(from, term, Body::PreVoteReply { granted });
    }

    fn on_pre_vote_reply(&mut self, from: ReplicaId, term: Term, granted: bool, now: Duration) {
        if !granted {
            if term > self.hard.term {
                self.follow(term, None, now);
            }
            return;
        }
        if self.role != Role::PreCandidate || term != self.hard.term + 1 {
            return;
        }
        if self.count_vote(from) {
            self.start_vote(now);
        }
    }

    fn on_vote(&mut self, from: ReplicaId, term: Term, last: (Term, Index), now: Duration) {
        if term < self.hard.term || self.leader_is_fresh(now) {
            let refusal = Body::VoteReply { granted: false };
            self.reply(from, self.hard.term, refusal);
            return;
        }
        if term > self.hard.term {
            self.follow(term, None, now);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free && self.log_is_current(last);
        if granted {
            self.hard.vote = Some(from);
            self.effects.persist.hard = Some(self.hard);
            self.reset_election(now);
        }
        self.reply(from, term, Body::VoteReply { granted });
    }

    fn on_vote_reply(&mut self, from: ReplicaId, term: Term, granted: bool, now: Duration) {
        if term > self.hard.term {
            self.follow(term, None, now);
            return;
        }
        if self.role != Role::Candidate || term != self.hard.term || !granted {
            return;
        }
        if self.count_vote(from) {
            self.take_office(now);
        }
    }

    /// Counts a voter's vote; learners count for nothing.
    fn count_vote(&mut self, from: ReplicaId) -> bool {
        if !self.membership().is_voter(from) {
            return false;
        }
        self.votes.insert(from);
        self.votes.len() >= self.membership().quorum()
    }

    fn take_office(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.office_since = now;
        self.progress.clear();
        self.rounds = Rounds::default();
        self.append_own(Payload::Noop);
        self.office_index = self.log.last_index();
        self.sync_progress();
        self.broadcast(now);
    }

    fn follow(&mut self, term: Term, leader: Option<ReplicaId>, now: Duration) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.effects.persist.hard = Some(self.hard);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now);
    }

    fn reset_election(&mut self, now: Duration) {
        let spread = self.settings.election_max - self.settings.election_min;
        self.election_at = now + self.settings.election_min + spread.mul_f64(self.rng.f64());
    }

    // Replication, follower's side.

    fn accept_leader(&mut self, from: ReplicaId, term: Term, round: u64, now: Duration) -> bool {
        if term < self.hard.term {
            let body = Body::AppendReply {
                matched: false,
                index: 0,
                round,
            };
            self.reply(from, self.hard.term, body);
            return false;
        }
        self.follow(term, Some(from), now);
        self.leader_heard = Some(now);
        true
    }

    fn on_append(
        &mut self,
        from: ReplicaId,
        prev: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let (prev_index, prev_term) = prev;
        let covered = prev_index < self.log.snapshot().index;
        if !covered && self.log.term(prev_index) != Some(prev_term) {
            let hint = prev_index.saturating_sub(1).min(self.log.last_index());
            self.reply_append(from, false, hint, round);
            return;
        }
        let last = prev_index + entries.len() as u64;
        self.merge(entries);
        self.commit = self.commit.max(commit.min(last));
        self.reply_append(from, true, last, round);
    }

    fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.snapshot().index {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.drop_conflict(entry.index),
                None => {}
            }
            self.log.push(entry.clone());
            self.effects.persist.entries.push(entry);
        }
    }

    fn drop_conflict(&mut self, index: Index) {
        debug_assert!(index > self.commit, "a committed entry is never replaced");
        self.log.truncate_from(index);
        self.durable = self.durable.min(index - 1);
        self.effects.persist.truncate_from = Some(index);
    }

    fn on_snapshot(&mut self, from: ReplicaId, snapshot: Snapshot, round: u64) {
        let index = snapshot.index;
        if index > self.commit {
            self.log.install(snapshot.clone());
            self.commit = index;
            self.delivered = index;
            self.durable = self.durable.max(index).min(self.log.last_index());
            self.effects.persist.snapshot = Some(snapshot.clone());
            self.effects.install = Some(snapshot);
        }
        self.reply_append(from, true, index, round);
    }

    fn reply_append(&mut self, to: ReplicaId, matched: bool, index: Index, round: u64) {
        let body = Body::AppendReply {
            matched,
            index,
            round,
        };
        self.reply(to, self.hard.term, body);
    }

    // Replication, leader's side.

    fn tick_leader(&mut self, now: Duration) {
        // Check-quorum: a leader that a cut has silenced steps down by itself.
        let silent_since = self.quorum_heard().unwrap_or(self.office_since);
        if now > silent_since + self.settings.election_max {
            self.follow(self.hard.term, None, now);
            return;
        }
        if now >= self.heartbeat_at {
            self.broadcast(now);
        }
    }

    fn append_own(&mut self, payload: Payload) {
        let entry = Entry {
            term: self.hard.term,
            index: self.log.last_index() + 1,
            payload,
        };
        self.log.push(entry.clone());
        self.effects.persist.entries.push(entry);
    }

    /// Keeps one progress per other member of the newest membership.
    fn sync_progress(&mut self) {
        let last = self.log.last_index();
        let id = self.id;
        let members: Vec<ReplicaId> = self.membership().members.keys().copied().collect();
        self.progress.retain(|known, _| members.contains(known));
        for member in members.into_iter().filter(|&member| member != id) {
            self.progress
                .entry(member)
                .or_insert_with(|| Progress::new(last));
        }
    }

    fn broadcast(&mut self, now: Duration) {
        self.heartbeat_at = now + self.settings.heartbeat;
        let round = self.rounds.open(now);
        let peers: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for peer in peers {
            self.send_append(peer, round, now);
        }
    }

    fn send_append(&mut self, to: ReplicaId, round: u64, now: Duration) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            let due = progress
                .snapshot_sent
                .is_none_or(|sent| now >= sent + SNAPSHOT_RETRY);
            if due {
                progress.snapshot_sent = Some(now);
                let snapshot = self.log.snapshot().clone();
                self.send_now(to, Body::InstallSnapshot { snapshot, round });
            }
            return;
        };
        let entries = self.log.from(progress.next, APPEND_LIMIT);
        // Optimistic: the next append continues from here; a refusal or a heartbeat steps back.
        progress.next += entries.len() as u64;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        self.send_now(to, body);
    }

    fn on_append_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        matched: bool,
        index: Index,
        round: u64,
        now: Duration,
    ) {
        if term > self.hard.term {
            self.follow(term, None, now);
            return;
        }
        if self.role != Role::Leader || term < self.hard.term {
            return;
        }
        let sent_at = self.rounds.sent_at(round);
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard = progress.heard.max(sent_at);
        if !matched {
            progress.next = (index + 1).clamp(progress.matched + 1, last + 1);
            self.send_append(from, round, now);
            return;
        }
        if index > progress.matched && index <= last {
            progress.matched = index;
            progress.snapshot_sent = None;
        }
        progress.next = progress.next.max(progress.matched + 1);
        let behind = progress.next <= last;
        self.advance_commit();
        if behind {
            self.send_append(from, round, now);
        }
    }

    /// Commits what a quorum of voters holds durably, if it is of this term.
    fn advance_commit(&mut self) {
        let mut matched: Vec<Index> = self
            .membership()
            .voters()
            .map(|id| self.matched(id).unwrap_or(0))
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = self.membership().quorum();
        let Some(&index) = matched.get(quorum - 1) else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }

    /// The latest sending time that a quorum of voters has answered.
    fn quorum_heard(&self) -> Option<Duration> {
        let mut heard: Vec<Option<Duration>> = self
            .membership()
            .voters()
            .map(|id| match self.progress.get(&id) {
                Some(progress) => progress.heard,
                // This replica itself: always heard.
                None => Some(Duration::MAX / 2),
            })
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(self.membership().quorum() - 1).copied().flatten()
    }

    fn send_to_voters(&mut self, term: Term, body: &Body) {
        let id = self.id;
        let voters: Vec<ReplicaId> = self.membership().voters().collect();
        for to in voters.into_iter().filter(|&to| to != id) {
            self.reply(to, term, body.clone());
        }
    }

    fn reply(&mut self, to: ReplicaId, term: Term, body: Body) {
        self.effects.messages.push(Message {
            from: self.id,
            to,
            term,
            body,
        });
    }

    fn send_now(&mut self, to: ReplicaId, body: Body) {
        self.effects.immediate.push(Message {
            from: self.id,
            to,
            term: self.hard.term,
            body,
        });
    }
}
