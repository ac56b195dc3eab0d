//! Replicas, their disks and the messages between them.

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

/// A fault that the oracle must find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Answers before the disk has synced.
    SkipSync,
    /// A lost disk comes back under its old identity.
    KeepIdentity,

    /// Votes and acknowledgements of learners count as a voter's.
    CountLearners,
    /// Term and vote are not written.
    ForgetVote,
}

/// Messages under way, at most; older ones are lost.
const UNDER_WAY: usize = 200;

/// Rounds in which a healed cluster must commit again.
const HEAL_ROUNDS: usize = 150;

struct Job {
    persist: Persist,
    messages: Vec<Message>,
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
    queue: Vec<Job>,
    node: Option<Node>,
    /// Index and digest of the state machine.
    machine: (Index, u64),
    clock_ahead: Duration,
}

pub(crate) struct World {
    replicas: Vec<Replica>,
    under_way: Vec<Message>,
    now: Duration,
    oracle: Oracle,
    fault: Fault,
    next_id: u64,
    next_command: u64,
    seed: u64,
    clocks_jumped: bool,
    /// One bit a replica; unlike bits are cut off from each other.
    sides: u8,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + u16::try_from(i).unwrap()))
}

fn empty_snapshot(membership: Membership) -> Snapshot {
    Snapshot {
        index: u64::from(!membership.members.is_empty()),
        term: u64::from(!membership.members.is_empty()),
        membership,
        data: 0_u64.to_le_bytes().to_vec(),
    }
}

fn machine_of(log: &Log) -> (Index, u64) {
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
                    machine: machine_of(&log),
                    disk: Disk {
                        id,
                        hard_state: HardState::default(),
                        log,
                    },
                    queue: Vec::new(),
                    node: None,
                    clock_ahead: Duration::ZERO,
                }
            })
            .collect();
        let mut world = Self {
            replicas,
            under_way: Vec::new(),
            now: Duration::ZERO,
            oracle: Oracle::default(),
            fault,
            next_id: 100,
            next_command: 0,
            seed: 0,
            clocks_jumped: false,
            sides: 0,
        };
        for i in 0..count {
            world.restart(i);
        }
        world
    }

    pub(crate) fn step(&mut self, step: Step) -> Result<(), String> {
        let count = self.replicas.len();
        let which = |replica: u8| usize::from(replica) % count;
        match step {
            Step::Pass(ms) => self.pass(Duration::from_millis(ms.into()))?,
            Step::Deliver(pick) => self.deliver(pick, true, false)?,
            Step::Duplicate(pick) => self.deliver(pick, true, true)?,
            Step::Lose(pick) => self.deliver(pick, false, false)?,
            Step::Settle => self.settle()?,
            Step::Sync(replica) => self.sync(which(replica))?,
            Step::SyncAll => self.sync_all()?,
            Step::Crash(replica, keep) => self.crash(which(replica), keep),
            Step::Restart(replica) => self.restart(which(replica)),
            Step::LoseDisk(replica) => self.lose_disk(which(replica)),
            Step::Jump(replica, ms) => {
                self.clocks_jumped = true;
                self.replicas[which(replica)].clock_ahead += Duration::from_millis(ms.into());
            }
            Step::Propose => self.propose()?,
            Step::Admit => self.admit()?,
            Step::Promote => self.promote()?,
            Step::Part(sides) => self.sides = sides,
            Step::Compact(replica) => self.compact(which(replica)),
        }
        self.check_leaders()
    }

    fn time_at(&self, i: usize) -> Duration {
        self.now + self.replicas[i].clock_ahead
    }

    fn index_of(&self, id: ReplicaId) -> Option<usize> {
        self.replicas
            .iter()
            .position(|replica| replica.disk.id == id)
    }

    /// Runs one input of a replica and carries out its effects.
    fn with(
        &mut self,
        i: usize,
        input: impl FnOnce(&mut Node, Duration) -> Effects,
    ) -> Result<(), String> {
        let now = self.time_at(i);
        let fault = self.fault;
        let replica = &mut self.replicas[i];
        let Some(node) = replica.node.as_mut() else {
            return Ok(());
        };
        let effects = input(node, now);
        let end = (node.log().last_index(), node.log().last_term());
        if let Some(snapshot) = &effects.install_snapshot {
            let data = snapshot.data.as_slice().try_into().unwrap();
            replica.machine = (snapshot.index, u64::from_le_bytes(data));
            let expected = self.oracle.digest_at(snapshot.index);
            if replica.machine.1 != expected {
                return Err(format!(
                    "a snapshot at {} has another state",
                    snapshot.index
                ));
            }
        }
        for entry in &effects.committed {
            if entry.index != replica.machine.0 + 1 {
                return Err(format!("{} skipped to {}", replica.disk.id, entry.index));
            }
            replica.machine = (entry.index, digest(replica.machine.1, entry));
            self.oracle.committed(replica.disk.id, entry)?;
        }
        let mut leaving = effects.messages_before_sync;
        let early = fault == Fault::SkipSync;
        if early {
            leaving.extend(effects.messages_after_sync.iter().cloned());
        }
        replica.queue.push(Job {
            persist: effects.persist,
            messages: if early {
                Vec::new()
            } else {
                effects.messages_after_sync
            },
            end,
        });
        self.send(leaving);
        if early {
            self.with_persisted(i, end)?;
        }
        Ok(())
    }

    fn with_persisted(&mut self, i: usize, end: (Index, Term)) -> Result<(), String> {
        let replica = &mut self.replicas[i];
        let Some(node) = replica.node.as_mut() else {
            return Ok(());
        };
        let effects = node.persisted(end.0, end.1);
        for entry in &effects.committed {
            replica.machine = (entry.index, digest(replica.machine.1, entry));
            self.oracle.committed(replica.disk.id, entry)?;
        }
        self.send(effects.messages_before_sync);
        Ok(())
    }

    fn send(&mut self, messages: Vec<Message>) {
        self.under_way.extend(messages);
        let over = self.under_way.len().saturating_sub(UNDER_WAY);
        self.under_way.drain(..over);
    }

    fn pass(&mut self, time: Duration) -> Result<(), String> {
        self.now += time;
        for i in 0..self.replicas.len() {
            self.with(i, |node, now| node.tick(now))?;
        }
        Ok(())
    }

    fn deliver(&mut self, pick: u16, arrives: bool, stays: bool) -> Result<(), String> {
        if self.under_way.is_empty() {
            return Ok(());
        }
        let at = usize::from(pick) % self.under_way.len();
        let message = if stays {
            self.under_way[at].clone()
        } else {
            self.under_way.remove(at)
        };
        if arrives {
            self.arrive(message)?;
        }
        Ok(())
    }

    fn arrive(&mut self, mut message: Message) -> Result<(), String> {
        if self.fault == Fault::CountLearners
            && let Some(copy) = self.for_learner(&message)
        {
            self.arrive(copy)?;
        }
        let Some(i) = self.index_of(message.to) else {
            return Ok(());
        };
        let side = |i: usize| self.sides >> i & 1;
        let from = self.index_of(message.from);
        if from.is_some_and(|from| side(from) != side(i)) {
            return Ok(());
        }
        if self.fault == Fault::CountLearners {
            self.pass_off_learner(i, &mut message);
        }
        self.with(i, |node, now| node.receive(message, now))
    }

    /// A copy of a request for the learner to answer in a voter's place.
    fn for_learner(&self, message: &Message) -> Option<Message> {
        let learner = self.replicas.last()?.disk.id;
        let vote = matches!(message.body, Body::PreVote { .. } | Body::Vote { .. });
        (vote && message.to != learner).then(|| Message {
            to: learner,
            ..message.clone()
        })
    }

    /// Lets a learner's answer count as that of a voter.
    fn pass_off_learner(&self, i: usize, message: &mut Message) {
        let Some(node) = &self.replicas[i].node else {
            return;
        };
        let answer = matches!(
            message.body,
            Body::VoteReply { .. } | Body::PreVoteReply { .. } | Body::AppendEntriesReply { .. }
        );
        let membership = node.membership();
        if answer && !membership.is_voter(message.from) {
            let other = membership.voters().find(|&id| id != node.id());
            message.from = other.unwrap_or(message.from);
        }
    }

    fn settle(&mut self) -> Result<(), String> {
        for message in std::mem::take(&mut self.under_way) {
            self.arrive(message)?;
        }
        Ok(())
    }

    fn sync(&mut self, i: usize) -> Result<(), String> {
        let fault = self.fault;
        let replica = &mut self.replicas[i];
        if replica.node.is_none() {
            return Ok(());
        }
        let jobs: Vec<Job> = replica.queue.drain(..).collect();
        for job in jobs {
            self.replicas[i].disk.write(job.persist, fault);
            self.send(job.messages);
            self.with_persisted(i, job.end)?;
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
        let keep = usize::from(keep) % (replica.queue.len() + 1);
        // Some of what was not synced may have reached the disk all the same.
        let survived: Vec<Job> = replica.queue.drain(..).take(keep).collect();
        for job in survived {
            replica.disk.write(job.persist, fault);
        }
    }

    fn restart(&mut self, i: usize) {
        if self.replicas[i].node.is_some() {
            return;
        }
        self.seed += 1;
        let now = self.time_at(i);
        let replica = &mut self.replicas[i];
        let restored = Restored {
            hard_state: replica.disk.hard_state,
            log: replica.disk.log.clone(),
        };
        replica.machine = machine_of(&restored.log);
        let id = replica.disk.id;
        let node = Node::new(id, restored, Settings::default(), self.seed, now);
        replica.node = Some(node);
    }

    /// Only while every address has a voter that has all that is committed: what more is lost is
    /// more than three replicas promise to survive.
    fn lose_disk(&mut self, i: usize) {
        let whole = self.leader().is_some_and(|leader| {
            let node = self.replicas[leader].node.as_ref().unwrap();
            let membership = node.membership();
            let known = |replica: &Replica| membership.is_voter(replica.disk.id);
            self.replicas.iter().all(known)
                && membership.members.len() == self.replicas.len()
                && node.log().membership().0 <= node.commit_index()
        });
        if !whole {
            return;
        }
        let replica = &mut self.replicas[i];
        replica.node = None;
        replica.queue.clear();
        if self.fault != Fault::KeepIdentity {
            replica.disk.id = ReplicaId(self.next_id);
            self.next_id += 1;
        }
        replica.disk.hard_state = HardState::default();
        replica.disk.log = Log::new(empty_snapshot(Membership::default()), Vec::new());
        self.restart(i);
    }

    /// The leader of the highest term.
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
        self.with(leader, |node, now| match node.propose(vec![command], now) {
            Ok((_, effects)) => effects,
            Err(_) => Effects::default(),
        })
    }

    /// What the state daemon does for replicas that ask to be taken in.
    fn admit(&mut self) -> Result<(), String> {
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
            Some(lost) => Change::Remove(lost),
            None => Change::AddLearner(id, at),
        };
        self.with(leader, |node, now| {
            node.propose_change(&change, now).unwrap_or_default()
        })
    }

    fn promote(&mut self) -> Result<(), String> {
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
        self.with(leader, |node, now| {
            node.propose_change(&Change::Promote(id), now)
                .unwrap_or_default()
        })
    }

    fn compact(&mut self, i: usize) {
        let replica = &mut self.replicas[i];
        let Some(node) = replica.node.as_mut() else {
            return;
        };
        let (index, state) = replica.machine;
        if index <= node.log().snapshot().index {
            return;
        }
        let Some(snapshot) = node.snapshot_at(index, state.to_le_bytes().to_vec()) else {
            return;
        };
        node.compact(snapshot.clone());
        let end = (node.log().last_index(), node.log().last_term());
        let persist = Persist {
            snapshot: Some(snapshot),
            ..Persist::default()
        };

        replica.queue.push(Job {
            persist,
            messages: Vec::new(),
            end,
        });
    }

    /// One leader a term; a lease only with the newest leader, as long as clocks run alike.
    fn check_leaders(&mut self) -> Result<(), String> {
        let mut leased = Vec::new();
        let mut newest = 0;
        for i in 0..self.replicas.len() {
            let now = self.time_at(i);
            let Some(node) = &self.replicas[i].node else {
                continue;
            };
            if node.role() == Role::Leader {
                newest = newest.max(node.term());
                self.oracle.leads(node.id(), node.term())?;
                if node.has_lease(now) {
                    leased.push(node.term());
                }
            }
        }
        let stale = leased.iter().any(|&term| term < newest);
        if stale && !self.clocks_jumped {
            return Err(format!("leases in terms {leased:?} while {newest} leads"));
        }
        Ok(())
    }

    /// Everything works again: the log must go on and hold all that was ever committed.
    pub(crate) fn heal(&mut self) -> Result<(), String> {
        self.sides = 0;
        for i in 0..self.replicas.len() {
            self.restart(i);
        }
        let before = self.oracle.commands;
        for _ in 0..HEAL_ROUNDS {
            self.pass(Duration::from_millis(50))?;
            self.sync_all()?;
            self.settle()?;
            self.sync_all()?;
            self.admit()?;
            self.promote()?;
            self.propose()?;
            self.check_leaders()?;
            if self.oracle.commands > before + 3 && self.all_agree() {
                return Ok(());
            }
        }
        Err("a healed cluster does not go on".to_owned())
    }

    fn all_agree(&self) -> bool {
        let last = self.oracle.last();
        let expected = self.oracle.digest_at(last);
        self.replicas
            .iter()
            .filter(|replica| replica.machine.0 == last)
            .all(|replica| replica.machine.1 == expected)
    }
}
