//! Simulated cluster: replicas, their disks and the network between them.

use std::net::SocketAddr;
use std::time::Duration;

use daisyquay::agreement::Body;
use daisyquay::agreement::Change;
use daisyquay::agreement::Effects;
use daisyquay::agreement::HardState;
use daisyquay::agreement::Index;
use daisyquay::agreement::Log;
use daisyquay::agreement::Membership;
use daisyquay::agreement::Message;
use daisyquay::agreement::Node;
use daisyquay::agreement::Persist;
use daisyquay::agreement::ReplicaId;
use daisyquay::agreement::Restored;
use daisyquay::agreement::Role;
use daisyquay::agreement::Settings;
use daisyquay::agreement::Snapshot;
use daisyquay::agreement::Term;

use super::Step;
use super::oracle::Oracle;
use super::oracle::digest;

/// A fault that the oracle must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Replies are sent before the disk has synced.
    SkipSync,
    /// A replica with a replaced disk keeps its old identity.
    KeepIdentity,
    /// Votes and acknowledgements of learners count as those of a voter.
    CountLearners,
    /// The term and the vote are not persisted.
    ForgetVote,
}

/// Limit on messages in flight; the oldest are dropped.
const MAX_IN_FLIGHT: usize = 200;

/// Rounds within which a healed cluster must commit new commands.
const HEAL_ROUNDS: usize = 150;

/// A write that is not synced yet, with the messages to send after the sync.
struct WriteJob {
    persist: Persist,
    messages: Vec<Message>,
    /// Index and term of the last entry after the write.
    end: (Index, Term),
}

#[derive(Clone)]
struct Disk {
    id: ReplicaId,
    hard_state: HardState,
    log: Log,
}

struct Replica {
    disk: Disk,
    write_queue: Vec<WriteJob>,
    node: Option<Node>,
    /// Last applied index and the digest of the state machine.
    state: (Index, u64),
    clock_offset: Duration,
}

pub(crate) struct World {
    replicas: Vec<Replica>,
    in_flight: Vec<Message>,
    now: Duration,
    oracle: Oracle,
    fault: Fault,
    next_id: u64,
    next_command: u64,
    seed: u64,
    clocks_jumped: bool,
    /// One bit for each replica; replicas with different bits can't communicate.
    partition_bits: u8,
}

/// Returns the peer address of replica `i`.
fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + u16::try_from(i).unwrap()))
}

/// Returns the initial snapshot of a log; its index is 0 as long as the log has no members.
fn empty_snapshot(membership: Membership) -> Snapshot {
    Snapshot {
        index: u64::from(!membership.members.is_empty()),
        term: u64::from(!membership.members.is_empty()),
        membership,
        data: 0_u64.to_le_bytes().to_vec(),
    }
}

fn snapshot_state(log: &Log) -> (Index, u64) {
    let data = log.snapshot().data.as_slice().try_into().unwrap();
    (log.snapshot().index, u64::from_le_bytes(data))
}

impl Disk {
    fn write(&mut self, persist: Persist, fault: Fault) {
        if let Some(hard_state) = persist.hard_state
            && fault != Fault::ForgetVote
        {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = persist.snapshot {
            self.log.install_snapshot(snapshot);
        }
        if let Some(index) = persist.truncate_from {
            self.log.truncate_from(index);
        }
        for entry in persist.entries {
            if entry.index == self.log.last_index() + 1 {
                self.log.push(entry);
            }
        }
    }
}

impl World {
    pub(crate) fn new(count: usize, fault: Fault) -> Self {
        let ids: Vec<ReplicaId> = (1..=count as u64).map(ReplicaId).collect();
        let members = ids.iter().enumerate().map(|(i, &id)| (id, address(i)));
        let mut membership = Membership::from_voters(members);
        if fault == Fault::CountLearners {
            let last = membership.members.values_mut().next_back();
            last.unwrap().voter = false;
        }
        let first = empty_snapshot(membership);
        let replicas = ids
            .iter()
            .map(|&id| {
                let log = Log::new(first.clone(), Vec::new());
                Replica {
                    state: snapshot_state(&log),
                    disk: Disk {
                        id,
                        hard_state: HardState::default(),
                        log,
                    },
                    write_queue: Vec::new(),
                    node: None,
                    clock_offset: Duration::ZERO,
                }
            })
            .collect();
        let mut world = Self {
            replicas,
            in_flight: Vec::new(),
            now: Duration::ZERO,
            oracle: Oracle::default(),
            fault,
            next_id: 100,
            next_command: 0,
            seed: 0,
            clocks_jumped: false,
            partition_bits: 0,
        };
        for i in 0..count {
            world.restart(i);
        }
        world
    }

    pub(crate) fn step(&mut self, step: Step) -> Result<(), String> {
        let count = self.replicas.len();
        let replica_index = |replica: u8| usize::from(replica) % count;
        match step {
            Step::AdvanceTime(ms) => self.advance_time(Duration::from_millis(ms.into()))?,
            Step::Deliver(pick) => self.deliver(pick, true, false)?,
            Step::Duplicate(pick) => self.deliver(pick, true, true)?,
            Step::Drop(pick) => self.deliver(pick, false, false)?,
            Step::DeliverAll => self.deliver_all()?,
            Step::Sync(replica) => self.sync(replica_index(replica))?,
            Step::SyncAll => self.sync_all()?,
            Step::Crash(replica, keep) => self.crash(replica_index(replica), keep),
            Step::Restart(replica) => self.restart(replica_index(replica)),
            Step::LoseDisk(replica) => self.lose_disk(replica_index(replica)),
            Step::JumpClock(replica, ms) => {
                self.clocks_jumped = true;
                self.replicas[replica_index(replica)].clock_offset +=
                    Duration::from_millis(ms.into());
            }
            Step::Propose => self.propose()?,
            Step::AdmitReplica => self.admit_replica()?,
            Step::PromoteLearner => self.promote_learner()?,
            Step::Partition(partition_bits) => self.partition_bits = partition_bits,
            Step::Compact(replica) => self.compact(replica_index(replica)),
        }
        self.check_leaders()
    }

    fn local_time(&self, i: usize) -> Duration {
        self.now + self.replicas[i].clock_offset
    }

    fn index_of(&self, id: ReplicaId) -> Option<usize> {
        self.replicas
            .iter()
            .position(|replica| replica.disk.id == id)
    }

    /// Passes an input to a replica, queues its writes and sends its messages.
    fn apply_input(
        &mut self,
        i: usize,
        input: impl FnOnce(&mut Node, Duration) -> Effects,
    ) -> Result<(), String> {
        let now = self.local_time(i);
        let fault = self.fault;
        let replica = &mut self.replicas[i];
        let Some(node) = replica.node.as_mut() else {
            return Ok(());
        };
        let effects = input(node, now);
        let end = (node.log().last_index(), node.log().last_term());
        if let Some(snapshot) = &effects.install_snapshot {
            let data = snapshot.data.as_slice().try_into().unwrap();
            replica.state = (snapshot.index, u64::from_le_bytes(data));
            let expected = self.oracle.digest_at(snapshot.index);
            if replica.state.1 != expected {
                return Err(format!(
                    "the snapshot at index {} has a wrong state digest",
                    snapshot.index
                ));
            }
        }
        for entry in &effects.committed {
            if entry.index != replica.state.0 + 1 {
                return Err(format!(
                    "{} skipped entries before {}",
                    replica.disk.id, entry.index
                ));
            }
            replica.state = (entry.index, digest(replica.state.1, entry));
            self.oracle.record_committed(replica.disk.id, entry)?;
        }
        let mut outgoing = effects.messages_before_sync;
        let skip_sync = fault == Fault::SkipSync;
        if skip_sync {
            outgoing.extend(effects.messages_after_sync.iter().cloned());
        }
        replica.write_queue.push(WriteJob {
            persist: effects.persist,
            messages: if skip_sync {
                Vec::new()
            } else {
                effects.messages_after_sync
            },
            end,
        });
        self.send(outgoing);
        if skip_sync {
            self.complete_sync(i, end)?;
        }
        Ok(())
    }

    fn complete_sync(&mut self, i: usize, end: (Index, Term)) -> Result<(), String> {
        let replica = &mut self.replicas[i];
        let Some(node) = replica.node.as_mut() else {
            return Ok(());
        };
        let effects = node.persisted(end.0, end.1);
        for entry in &effects.committed {
            replica.state = (entry.index, digest(replica.state.1, entry));
            self.oracle.record_committed(replica.disk.id, entry)?;
        }
        self.send(effects.messages_before_sync);
        Ok(())
    }

    fn send(&mut self, messages: Vec<Message>) {
        self.in_flight.extend(messages);
        let excess = self.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        self.in_flight.drain(..excess);
    }

    fn advance_time(&mut self, time: Duration) -> Result<(), String> {
        self.now += time;
        for i in 0..self.replicas.len() {
            self.apply_input(i, |node, now| node.tick(now))?;
        }
        Ok(())
    }

    fn deliver(&mut self, pick: u16, is_received: bool, keeps_copy: bool) -> Result<(), String> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let at = usize::from(pick) % self.in_flight.len();
        let message = if keeps_copy {
            self.in_flight[at].clone()
        } else {
            self.in_flight.remove(at)
        };
        if is_received {
            self.receive(message)?;
        }
        Ok(())
    }

    fn receive(&mut self, mut message: Message) -> Result<(), String> {
        if self.fault == Fault::CountLearners
            && let Some(copy) = self.copy_for_learner(&message)
        {
            self.receive(copy)?;
        }
        let Some(i) = self.index_of(message.to) else {
            return Ok(());
        };
        let partition_bit = |i: usize| self.partition_bits >> i & 1;
        let from = self.index_of(message.from);
        if from.is_some_and(|from| partition_bit(from) != partition_bit(i)) {
            return Ok(());
        }
        if self.fault == Fault::CountLearners {
            self.impersonate_voter(i, &mut message);
        }
        self.apply_input(i, |node, now| node.receive(message, now))
    }

    /// Returns a copy of a vote request for the learner, which replies in a voter's place; `None`
    /// for other messages.
    fn copy_for_learner(&self, message: &Message) -> Option<Message> {
        let learner = self.replicas.last()?.disk.id;
        let is_vote_request = matches!(message.body, Body::PreVote { .. } | Body::Vote { .. });
        (is_vote_request && message.to != learner).then(|| Message {
            to: learner,
            ..message.clone()
        })
    }

    /// Changes the sender of a learner's reply to a voter.
    fn impersonate_voter(&self, i: usize, message: &mut Message) {
        let Some(node) = &self.replicas[i].node else {
            return;
        };
        let is_reply = matches!(
            message.body,
            Body::VoteReply { .. } | Body::PreVoteReply { .. } | Body::AppendEntriesReply { .. }
        );
        let membership = node.membership();
        if is_reply && !membership.is_voter(message.from) {
            let other = membership.voters().find(|&id| id != node.id());
            message.from = other.unwrap_or(message.from);
        }
    }

    fn deliver_all(&mut self) -> Result<(), String> {
        for message in std::mem::take(&mut self.in_flight) {
            self.receive(message)?;
        }
        Ok(())
    }

    fn sync(&mut self, i: usize) -> Result<(), String> {
        let fault = self.fault;
        let replica = &mut self.replicas[i];
        if replica.node.is_none() {
            return Ok(());
        }
        let jobs: Vec<WriteJob> = replica.write_queue.drain(..).collect();
        for job in jobs {
            self.replicas[i].disk.write(job.persist, fault);
            self.send(job.messages);
            self.complete_sync(i, job.end)?;
        }
        Ok(())
    }

    fn sync_all(&mut self) -> Result<(), String> {
        (0..self.replicas.len()).try_for_each(|i| self.sync(i))
    }

    fn crash(&mut self, i: usize, keep: u8) {
        let fault = self.fault;
        let replica = &mut self.replicas[i];
        if replica.node.take().is_none() {
            return;
        }
        let keep = usize::from(keep) % (replica.write_queue.len() + 1);
        // A prefix of the unsynced writes may have reached the disk.
        let survived: Vec<WriteJob> = replica.write_queue.drain(..).take(keep).collect();
        for job in survived {
            replica.disk.write(job.persist, fault);
        }
    }

    fn restart(&mut self, i: usize) {
        if self.replicas[i].node.is_some() {
            return;
        }
        self.seed += 1;
        let now = self.local_time(i);
        let replica = &mut self.replicas[i];
        let restored = Restored {
            hard_state: replica.disk.hard_state,
            log: replica.disk.log.clone(),
        };
        replica.state = snapshot_state(&restored.log);
        let id = replica.disk.id;
        let node = Node::new(id, restored, Settings::default(), self.seed, now);
        replica.node = Some(node);
    }

    /// Replaces a replica's disk, but only while all replicas are voters and that membership is
    /// committed. Losing another disk before that exceeds the failures that three replicas
    /// tolerate.
    fn lose_disk(&mut self, i: usize) {
        let can_lose_disk = self.leader().is_some_and(|leader| {
            let node = self.replicas[leader].node.as_ref().unwrap();
            let membership = node.membership();
            let is_voter = |replica: &Replica| membership.is_voter(replica.disk.id);
            self.replicas.iter().all(is_voter)
                && membership.members.len() == self.replicas.len()
                && node.log().membership().0 <= node.commit_index()
        });
        if !can_lose_disk {
            return;
        }
        let replica = &mut self.replicas[i];
        replica.node = None;
        replica.write_queue.clear();
        if self.fault != Fault::KeepIdentity {
            replica.disk.id = ReplicaId(self.next_id);
            self.next_id += 1;
        }
        replica.disk.hard_state = HardState::default();
        replica.disk.log = Log::new(empty_snapshot(Membership::default()), Vec::new());
        self.restart(i);
    }

    /// Returns the leader of the highest term, if there is a leader.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.replicas.len())
            .filter_map(|i| Some((i, self.replicas[i].node.as_ref()?)))
            .filter(|(_, node)| node.role() == Role::Leader)
            .max_by_key(|(_, node)| node.term())
            .map(|(i, _)| i)
    }

    fn propose(&mut self) -> Result<(), String> {
        let Some(leader) = self.leader() else {
            return Ok(());
        };
        self.next_command += 1;
        let command = self.next_command.to_le_bytes().to_vec();
        self.apply_input(leader, |node, now| match node.propose(vec![command], now) {
            Ok((_, effects)) => effects,
            Err(_) => Effects::default(),
        })
    }

    /// Proposes a membership change for a replica that is not a member, as the state daemon does
    /// for replicas that ask to join.
    fn admit_replica(&mut self) -> Result<(), String> {
        let Some(leader) = self.leader() else {
            return Ok(());
        };
        let node = self.replicas[leader].node.as_ref().unwrap();
        let membership = node.membership();
        let missing = (0..self.replicas.len())
            .map(|i| (address(i), self.replicas[i].disk.id))
            .find(|(_, id)| !membership.members.contains_key(id));
        let Some((at, id)) = missing else {
            return Ok(());
        };
        let change = match membership.member_at(at) {
            Some(replaced) => Change::Remove(replaced),
            None => Change::AddLearner(id, at),
        };
        self.apply_input(leader, |node, now| {
            node.propose_change(&change, now).unwrap_or_default()
        })
    }

    fn promote_learner(&mut self) -> Result<(), String> {
        let Some(leader) = self.leader().filter(|_| self.fault != Fault::CountLearners) else {
            return Ok(());
        };
        let node = self.replicas[leader].node.as_ref().unwrap();
        let learner = node
            .membership()
            .members
            .iter()
            .find(|(id, member)| !member.voter && node.is_caught_up(**id));
        let Some((&id, _)) = learner else {
            return Ok(());
        };
        self.apply_input(leader, |node, now| {
            node.propose_change(&Change::Promote(id), now)
                .unwrap_or_default()
        })
    }

    fn compact(&mut self, i: usize) {
        let replica = &mut self.replicas[i];
        let Some(node) = replica.node.as_mut() else {
            return;
        };
        let (index, digest) = replica.state;
        if index <= node.log().snapshot().index {
            return;
        }
        let Some(snapshot) = node.snapshot_at(index, digest.to_le_bytes().to_vec()) else {
            return;
        };
        node.compact(snapshot.clone());
        let end = (node.log().last_index(), node.log().last_term());
        let persist = Persist {
            snapshot: Some(snapshot),
            ..Persist::default()
        };
        replica.write_queue.push(WriteJob {
            persist,
            messages: Vec::new(),
            end,
        });
    }

    /// Checks that each term has at most one leader and, unless clocks jumped, that no leader of an
    /// earlier term holds the leader lease.
    fn check_leaders(&mut self) -> Result<(), String> {
        let mut lease_terms = Vec::new();
        let mut latest_term = 0;
        for i in 0..self.replicas.len() {
            let now = self.local_time(i);
            let Some(node) = &self.replicas[i].node else {
                continue;
            };
            if node.role() == Role::Leader {
                latest_term = latest_term.max(node.term());
                self.oracle.record_leader(node.id(), node.term())?;
                if node.has_lease(now) {
                    lease_terms.push(node.term());
                }
            }
        }
        let has_stale_lease = lease_terms.iter().any(|&term| term < latest_term);
        if has_stale_lease && !self.clocks_jumped {
            return Err(format!(
                "leases held in terms {lease_terms:?} while term {latest_term} has a leader"
            ));
        }
        Ok(())
    }

    /// Ends all faults and checks that the cluster commits new commands and that replicas agree on
    /// everything that was ever committed.
    pub(crate) fn heal(&mut self) -> Result<(), String> {
        self.partition_bits = 0;
        for i in 0..self.replicas.len() {
            self.restart(i);
        }
        let before = self.oracle.commands;
        for _ in 0..HEAL_ROUNDS {
            self.advance_time(Duration::from_millis(50))?;
            self.sync_all()?;
            self.deliver_all()?;
            self.sync_all()?;
            self.admit_replica()?;
            self.promote_learner()?;
            self.propose()?;
            self.check_leaders()?;
            if self.oracle.commands > before + 3 && self.all_agree() {
                return Ok(());
            }
        }
        Err("the healed cluster does not commit new commands or its replicas disagree".to_owned())
    }

    fn all_agree(&self) -> bool {
        let last = self.oracle.last_index();
        let expected = self.oracle.digest_at(last);
        self.replicas
            .iter()
            .filter(|replica| replica.state.0 == last)
            .all(|replica| replica.state.1 == expected)
    }
}
