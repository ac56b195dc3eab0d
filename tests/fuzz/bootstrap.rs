//! Fuzz test of the creation of the first log: no two logs are ever both held by a majority of
//! their members, so that nothing acknowledged in one is missing in the other. Replicas are killed
//! at any moment of the first start, also before they have kept anything, and up to a majority of
//! them lose their disks; messages of dead replicas arrive late. They hear of other addresses too: of
//! replicas that only join, of processes without a replica, and of any that had the address before.
//! Later settings may name any of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use daisyquay::agreement::ReplicaId;
use daisyquay::peer::BootstrapStatus;
use daisyquay::policy::bootstrap;
use daisyquay::policy::bootstrap::NextStep;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::assert_finds_fault;
use crate::assert_holds;

const STEPS: usize = 190;
const SCHEDULES: u64 = 20_000;

/// Number of processes outside the first start.
const SPARE: u8 = 4;

/// Number of addresses in the settings.
const SEEDS: usize = 3;

/// The log of a replica that was a member before, at an address that is reused.
const FORMER_LOG: usize = usize::MAX;

/// A fault that the oracle must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The permission of one other replica is enough.
    AcceptAnyPermission,
    /// Any replica creates a log, not only the one with the lowest address.
    IgnoreAddressOrder,
    /// Replicas that others have named count as members, like those of the settings.
    CountOthersAsMembers,
    /// The status of replicas that others have named is not looked at.
    IgnoreOthers,
    /// A process without a replica replies like one of the first start without a log.
    ReplyWithoutReplica,
    /// A permission allows any log, also with the addresses of later settings.
    IgnorePermittedAddresses,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A replica asks the next other one, or decides.
    Ask(u8),
    /// A replica receives a log that was sent to it at some time.
    Deliver(u8, u16),
    /// A replica is killed and starts again with its disk.
    Restart(u8),
    /// The same, with an empty disk.
    LoseDisk(u8),
    /// A replica is killed before it has kept anything; only before it has done anything else.
    KillEarly(u8),
    /// A replica hears of an address, which may have another process by now.
    Hear(u8, u8),
    /// An address is reused, by a process without a replica or by a replica with an empty disk.
    ReuseAddress(u8),
    /// A replica is killed and starts again with its disk and other settings.
    ChangeSeeds(u8, u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let replica = u8::arbitrary(g);
        match u8::arbitrary(g) % 40 {
            0..=17 => Self::Ask(replica),
            18..=25 => Self::Deliver(replica, u16::arbitrary(g)),
            26..=29 => Self::Restart(replica),
            30 if bool::arbitrary(g) => Self::LoseDisk(replica),
            30..=31 => Self::KillEarly(replica),
            32..=37 => Self::Hear(replica, u8::arbitrary(g)),
            38 => Self::ReuseAddress(replica),
            _ => Self::ChangeSeeds(replica, u16::arbitrary(g)),
        }
    }
}

type Members = Vec<(ReplicaId, SocketAddr)>;

/// What a replica has learnt in the present round.
#[derive(Clone, Debug, Default)]
struct Round {
    statuses: Vec<(SocketAddr, Option<BootstrapStatus>)>,
    /// Replicas outside the settings that are asked too.
    others: Option<Vec<usize>>,
    elsewhere: Vec<(SocketAddr, Option<BootstrapStatus>)>,
    permitting: BTreeSet<ReplicaId>,
    asked_for_permission: usize,
    confirmed: Vec<(SocketAddr, Option<BootstrapStatus>)>,
}

struct Replica {
    address: SocketAddr,
    id: ReplicaId,
    /// Whether the process at this address has no replica.
    is_forwarder: bool,
    /// Replicas of the settings.
    seeds: BTreeSet<usize>,
    /// Addresses that it has heard of.
    heard: BTreeSet<usize>,
    permission: Option<BTreeSet<SocketAddr>>,
    /// Replicas with a log that it has asked to join.
    joined: Vec<SocketAddr>,
    log: Option<usize>,
    round: Round,
    has_taken_part: bool,
}

struct World {
    /// The replicas of the first start, then the other processes.
    replicas: Vec<Replica>,
    first_start: BTreeSet<SocketAddr>,
    logs: Vec<Members>,
    /// Log that a majority of its members held at some time.
    chosen: Option<usize>,
    disk_losses: usize,
    next_id: u64,
    fault: Fault,
}

impl World {
    fn new(count: u8, fault: Fault) -> Self {
        // Half of the others have lower addresses than the replicas of the first start.
        let address = |i: u8| match i {
            i if i < count => SocketAddr::from(([10, 0, 1, i + 1], 7500)),
            i => SocketAddr::from(([10, 0, i % 2 * 2, i], 7500)),
        };
        let first_start: BTreeSet<SocketAddr> = (0..count).map(address).collect();
        let replicas = (0..count + SPARE).map(|i| Replica {
            address: address(i),
            id: ReplicaId(u64::from(i) + 1),
            is_forwarder: i == count || i == count + SPARE - 1,
            seeds: (0..usize::from(count)).collect(),
            heard: BTreeSet::new(),
            permission: (i < count).then(|| first_start.clone()),
            joined: Vec::new(),
            log: None,
            round: Round::default(),
            has_taken_part: false,
        });
        Self {
            replicas: replicas.collect(),
            first_start: first_start.clone(),
            logs: Vec::new(),
            chosen: None,
            disk_losses: 0,
            next_id: u64::from(count + SPARE) + 1,
            fault,
        }
    }

    /// Returns what the process at an address replies to a status request.
    fn status(&self, i: usize) -> (SocketAddr, Option<BootstrapStatus>) {
        let replica = &self.replicas[i];
        let status = BootstrapStatus {
            id: replica.id,
            has_log: replica.log.is_some(),
        };
        let replies = !replica.is_forwarder || self.fault == Fault::ReplyWithoutReplica;
        (replica.address, replies.then_some(status))
    }

    fn renew_id(&mut self, i: usize) {
        let replica = &mut self.replicas[i];
        replica.id = ReplicaId(self.next_id);
        replica.permission = None;
        replica.joined.clear();
        replica.log = None;
        replica.round = Round::default();
        replica.heard.clear();
        self.next_id += 1;
    }

    fn restart(&mut self, i: usize) {
        let replica = &mut self.replicas[i];
        replica.round = Round::default();
        replica.heard.clear();
        replica.joined.clear();
    }

    fn seed_addresses(&self, i: usize) -> BTreeSet<SocketAddr> {
        let seeds = self.replicas[i].seeds.iter();
        seeds.map(|&seed| self.replicas[seed].address).collect()
    }

    fn covers(&self, permitted: Option<&BTreeSet<SocketAddr>>, of: usize) -> bool {
        match self.fault {
            Fault::IgnorePermittedAddresses => permitted.is_some(),
            _ => bootstrap::covers(permitted, &self.seed_addresses(of)),
        }
    }

    /// Asks one further replica, and decides once all were asked.
    fn ask(&mut self, i: usize) -> Result<(), String> {
        self.replicas[i].has_taken_part = true;
        if self.replicas[i].is_forwarder {
            return Ok(());
        }
        let seeds = &self.replicas[i].seeds;
        let seeds: Vec<usize> = seeds.iter().copied().filter(|&k| k != i).collect();
        let mut round = std::mem::take(&mut self.replicas[i].round);
        if let Some(&seed) = seeds.get(round.statuses.len()) {
            self.replicas[seed].has_taken_part = true;
            round.statuses.push(self.status(seed));
            self.replicas[i].round = round;
            return Ok(());
        }
        let heard = self.replicas[i].heard.iter().copied();
        let heard = heard.filter(|k| *k != i && !seeds.contains(k));
        let others = round.others.get_or_insert_with(|| heard.collect());
        if let Some(&other) = others.get(round.elsewhere.len()) {
            round.elsewhere.push(self.status(other));
            self.replicas[i].round = round;
            return Ok(());
        }
        match self.decide(i, &round) {
            NextStep::Bootstrap(mut members) if self.replicas[i].log.is_none() => {
                members[0].1 = self.replicas[i].address;
                return self.ask_for_permission(i, &seeds, members, round);
            }
            NextStep::Join(addresses) => {
                self.replicas[i].permission = None;
                self.replicas[i].joined = addresses;
            }
            _ => {}
        }
        Ok(())
    }

    fn decide(&self, i: usize, round: &Round) -> NextStep {
        let replica = &self.replicas[i];
        let (mut statuses, mut elsewhere) = (round.statuses.clone(), round.elsewhere.clone());
        match self.fault {
            Fault::IgnoreOthers => elsewhere.clear(),
            Fault::CountOthersAsMembers => statuses.append(&mut elsewhere),
            _ => {}
        }
        if !replica.seeds.contains(&i) {
            return bootstrap::decide_join(&statuses, &elsewhere);
        }
        let own_address = match self.fault {
            Fault::IgnoreAddressOrder => SocketAddr::from(([10, 0, 0, 0], 7500)),
            _ => replica.address,
        };
        bootstrap::decide(own_address, replica.id, &statuses, &elsewhere)
    }

    fn ask_for_permission(
        &mut self,
        i: usize,
        others: &[usize],
        members: Members,
        mut round: Round,
    ) -> Result<(), String> {
        if !self.covers(self.replicas[i].permission.as_ref(), i) {
            if let Some(&other) = others.get(round.asked_for_permission) {
                let other = &self.replicas[other];
                let is_covered = self.covers(other.permission.as_ref(), i);
                if is_covered && other.log.is_none() {
                    round.permitting.insert(other.id);
                }
                round.asked_for_permission += 1;
                self.replicas[i].round = round;
                return Ok(());
            }
            let is_permitted = match self.fault {
                Fault::AcceptAnyPermission => !round.permitting.is_empty(),
                _ => bootstrap::is_permitted_by_majority(&members, &round.permitting),
            };
            if !is_permitted {
                return Ok(());
            }
            self.replicas[i].permission = Some(self.seed_addresses(i));
        }
        if let Some(&other) = others.get(round.confirmed.len()) {
            round.confirmed.push(self.status(other));
            self.replicas[i].round = round;
            return Ok(());
        }
        if round.confirmed != round.statuses {
            return Ok(());
        }
        self.create(i, members, &round)
    }

    /// Creates a log, unless the replica must not.
    fn create(&mut self, i: usize, members: Members, round: &Round) -> Result<(), String> {
        let statuses = round.statuses.iter().chain(&round.elsewhere);
        let mut logs = statuses.filter(|(_, status)| status.is_some_and(|status| status.has_log));
        if let Some((address, _)) = logs.next() {
            return Err(format!("created a log beside the one at {address}"));
        }
        let addresses: BTreeSet<SocketAddr> = members.iter().map(|&(_, a)| a).collect();
        if addresses != self.first_start {
            return Err(format!("not the replicas of the first start: {members:?}"));
        }
        let mut forwarders = self.replicas.iter().filter(|replica| replica.is_forwarder);
        if let Some(member) = forwarders.find(|f| members.iter().any(|(id, _)| *id == f.id)) {
            return Err(format!("a member without a replica: {}", member.address));
        }
        self.replicas[i].log = Some(self.logs.len());
        self.logs.push(members);
        Ok(())
    }

    /// Delivers a log to a member without one, or to a replica that has asked one with this log to
    /// join. A replica that has another log keeps it: both begin at the same index and term.
    fn deliver(&mut self, i: usize, log: usize) {
        let Some(members) = self.logs.get(log) else {
            return;
        };
        let replica = &self.replicas[i];
        let is_member = members.iter().any(|(id, _)| *id == replica.id);
        let mut holders = self.replicas.iter().filter(|r| r.log == Some(log));
        let has_joined = holders.any(|holder| replica.joined.contains(&holder.address));
        if replica.log.is_none() && !replica.is_forwarder && (is_member || has_joined) {
            self.replicas[i].log = Some(log);
        }
    }

    /// Returns whether the disk of a replica may be lost, and counts it.
    fn may_lose_disk(&mut self, i: usize) -> bool {
        let count = self.first_start.len();
        if i >= count {
            return true;
        }
        let may_lose = self.disk_losses <= count / 2;
        self.disk_losses += usize::from(may_lose);
        may_lose
    }

    fn take(&mut self, step: Step) -> Result<(), String> {
        let count = self.first_start.len();
        let all = self.replicas.len();
        match step {
            // Those of the first start are asked as often as all others, one by one.
            Step::Ask(i) if i < 192 => self.ask(usize::from(i) % count)?,
            Step::Ask(i) => self.ask(usize::from(i) % all)?,
            Step::Deliver(i, log) => {
                let log = usize::from(log) % self.logs.len().max(1);
                self.deliver(usize::from(i) % all, log);
            }
            Step::Restart(i) => self.restart(usize::from(i) % all),
            Step::LoseDisk(i) => {
                let i = usize::from(i) % count;
                if self.may_lose_disk(i) {
                    self.renew_id(i);
                }
            }
            Step::KillEarly(i) => {
                let i = usize::from(i) % count;
                if !self.replicas[i].has_taken_part {
                    self.renew_id(i);
                }
            }
            Step::Hear(i, address) => {
                let address = usize::from(address) % all;
                self.replicas[usize::from(i) % all].heard.insert(address);
            }
            Step::ReuseAddress(i) => {
                let i = usize::from(i) % all;
                if self.may_lose_disk(i) {
                    self.renew_id(i);
                    self.replicas[i].is_forwarder ^= true;
                    if i == all - 1 && !self.replicas[i].is_forwarder {
                        self.replicas[i].log = Some(FORMER_LOG);
                    }
                }
            }
            Step::ChangeSeeds(i, first) => {
                let i = usize::from(i) % all;
                self.restart(i);
                let first = usize::from(first);
                let seeds = (0..SEEDS).map(|k| (first >> (4 * k)) % all);
                self.replicas[i].seeds = match first % 4 {
                    0 => (0..count).collect(),
                    _ => seeds.collect(),
                };
            }
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        for (log, members) in self.logs.iter().enumerate() {
            let holders = self.replicas.iter().filter(|replica| {
                replica.log == Some(log) && members.iter().any(|(id, _)| *id == replica.id)
            });
            if holders.count() <= members.len() / 2 {
                continue;
            }
            let first = *self.chosen.get_or_insert(log);
            if self.logs[first] != *members {
                return Err(format!("two logs: {:?} and {members:?}", self.logs[first]));
            }
        }
        Ok(())
    }
}

fn run(steps: &[Step], fault: Fault) -> Result<(), String> {
    for count in [3, 5] {
        let mut world = World::new(count, fault);
        for &step in steps {
            world.take(step)?;
            world.check()?;
        }
    }
    Ok(())
}

/// Guards against two logs, one of which lacks what was acknowledged in the other, and against a log
/// of a replica that has heard of another one or that may only join.
#[test]
fn no_two_first_logs_are_both_held_by_a_majority() {
    assert_holds(STEPS, SCHEDULES, |steps: &[Step]| run(steps, Fault::None));
}

/// Guards against an oracle that detects nothing.
#[test]
fn finds_injected_bootstrap_faults() {
    for fault in [
        Fault::AcceptAnyPermission,
        Fault::IgnoreAddressOrder,
        Fault::CountOthersAsMembers,
        Fault::IgnoreOthers,
        Fault::ReplyWithoutReplica,
        Fault::IgnorePermittedAddresses,
    ] {
        assert_finds_fault(&format!("{fault:?}"), STEPS, 50_000, |steps: &[Step]| {
            run(steps, fault)
        });
    }
}
