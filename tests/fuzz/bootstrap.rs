//! Fuzz test of the creation of the first log: no two logs are ever both held by a majority of
//! their members, so that nothing acknowledged in one is missing in the other. Replicas are killed
//! at any moment of the first start, also before they have kept anything, and up to a majority of
//! them lose their disks; messages of dead replicas arrive late.

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

const STEPS: usize = 150;
const SCHEDULES: u64 = 20_000;

/// A fault that the oracle must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The permission of one other replica is enough.
    AcceptAnyPermission,
    /// Any replica creates a log, not only the one with the lowest address.
    IgnoreAddressOrder,
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
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let replica = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..=17 => Self::Ask(replica),
            18..=25 => Self::Deliver(replica, u16::arbitrary(g)),
            26..=29 => Self::Restart(replica),
            30 if bool::arbitrary(g) => Self::LoseDisk(replica),
            _ => Self::KillEarly(replica),
        }
    }
}

type Members = Vec<(ReplicaId, SocketAddr)>;

/// What a replica has learnt in the present round.
#[derive(Clone, Debug, Default)]
struct Round {
    statuses: Vec<(SocketAddr, Option<BootstrapStatus>)>,
    permitting: BTreeSet<ReplicaId>,
    asked_for_permission: usize,
    confirmed: Vec<(SocketAddr, Option<BootstrapStatus>)>,
}

struct Replica {
    address: SocketAddr,
    id: ReplicaId,
    permission: Option<BTreeSet<SocketAddr>>,
    log: Option<usize>,
    round: Round,
    has_taken_part: bool,
}

struct World {
    replicas: Vec<Replica>,
    addresses: BTreeSet<SocketAddr>,
    logs: Vec<Members>,
    /// Log that a majority of its members held at some time.
    chosen: Option<usize>,
    disk_losses: usize,
    next_id: u64,
    fault: Fault,
}

impl World {
    fn new(count: u8, fault: Fault) -> Self {
        let address = |i: u8| SocketAddr::from(([10, 0, 0, i + 1], 7500));
        let addresses: BTreeSet<SocketAddr> = (0..count).map(address).collect();
        let replicas = (0..count).map(|i| Replica {
            address: address(i),
            id: ReplicaId(u64::from(i) + 1),
            permission: Some(addresses.clone()),
            log: None,
            round: Round::default(),
            has_taken_part: false,
        });
        Self {
            replicas: replicas.collect(),
            addresses: addresses.clone(),
            logs: Vec::new(),
            chosen: None,
            disk_losses: 0,
            next_id: u64::from(count) + 1,
            fault,
        }
    }

    fn status(&self, i: usize) -> (SocketAddr, Option<BootstrapStatus>) {
        let replica = &self.replicas[i];
        let status = BootstrapStatus {
            id: replica.id,
            has_log: replica.log.is_some(),
        };
        (replica.address, Some(status))
    }

    fn renew_id(&mut self, i: usize) {
        let replica = &mut self.replicas[i];
        replica.id = ReplicaId(self.next_id);
        replica.permission = None;
        replica.log = None;
        replica.round = Round::default();
        self.next_id += 1;
    }

    /// Asks one further replica, and decides once all were asked.
    fn ask(&mut self, i: usize) {
        self.replicas[i].has_taken_part = true;
        let others: Vec<usize> = (0..self.replicas.len()).filter(|&k| k != i).collect();
        let mut round = std::mem::take(&mut self.replicas[i].round);
        if let Some(&other) = others.get(round.statuses.len()) {
            self.replicas[other].has_taken_part = true;
            round.statuses.push(self.status(other));
            self.replicas[i].round = round;
            return;
        }
        let replica = &self.replicas[i];
        let own_address = match self.fault {
            Fault::IgnoreAddressOrder => SocketAddr::from(([10, 0, 0, 0], 7500)),
            _ => replica.address,
        };
        match bootstrap::decide(own_address, replica.id, &round.statuses, &[]) {
            NextStep::Bootstrap(mut members) if replica.log.is_none() => {
                members[0].1 = replica.address;
                self.ask_for_permission(i, &others, members, round);
            }
            NextStep::Join(_) => self.replicas[i].permission = None,
            _ => {}
        }
    }

    fn ask_for_permission(
        &mut self,
        i: usize,
        others: &[usize],
        members: Members,
        mut round: Round,
    ) {
        let own = self.replicas[i].permission.as_ref();
        if !bootstrap::covers(own, &self.addresses) {
            if let Some(&other) = others.get(round.asked_for_permission) {
                let other = &self.replicas[other];
                let is_covered = bootstrap::covers(other.permission.as_ref(), &self.addresses);
                if is_covered && other.log.is_none() {
                    round.permitting.insert(other.id);
                }
                round.asked_for_permission += 1;
                self.replicas[i].round = round;
                return;
            }
            let is_permitted = match self.fault {
                Fault::AcceptAnyPermission => !round.permitting.is_empty(),
                _ => bootstrap::is_permitted_by_majority(&members, &round.permitting),
            };
            if !is_permitted {
                return;
            }
            self.replicas[i].permission = Some(self.addresses.clone());
        }
        if let Some(&other) = others.get(round.confirmed.len()) {
            round.confirmed.push(self.status(other));
            self.replicas[i].round = round;
            return;
        }
        if round.confirmed != round.statuses {
            return;
        }
        self.replicas[i].log = Some(self.logs.len());
        self.logs.push(members);
    }

    /// Delivers a log to a member without one. A replica that has another log keeps it: both begin
    /// at the same index and term.
    fn deliver(&mut self, i: usize, log: usize) {
        let Some(members) = self.logs.get(log) else {
            return;
        };
        let replica = &mut self.replicas[i];
        if replica.log.is_none() && members.iter().any(|(id, _)| *id == replica.id) {
            replica.log = Some(log);
        }
    }

    fn take(&mut self, step: Step) {
        let count = self.replicas.len();
        match step {
            Step::Ask(i) => self.ask(usize::from(i) % count),
            Step::Deliver(i, log) => {
                let log = usize::from(log) % self.logs.len().max(1);
                self.deliver(usize::from(i) % count, log);
            }
            Step::Restart(i) => self.replicas[usize::from(i) % count].round = Round::default(),
            Step::LoseDisk(i) => {
                if self.disk_losses <= count / 2 {
                    self.disk_losses += 1;
                    self.renew_id(usize::from(i) % count);
                }
            }
            Step::KillEarly(i) => {
                let i = usize::from(i) % count;
                if !self.replicas[i].has_taken_part {
                    self.renew_id(i);
                }
            }
        }
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
            world.take(step);
            world.check()?;
        }
    }
    Ok(())
}

/// Guards against two logs, one of which lacks what was acknowledged in the other.
#[test]
fn no_two_first_logs_are_both_held_by_a_majority() {
    assert_holds(STEPS, SCHEDULES, |steps: &[Step]| run(steps, Fault::None));
}

/// Guards against an oracle that detects nothing.
#[test]
fn finds_injected_bootstrap_faults() {
    for fault in [Fault::AcceptAnyPermission, Fault::IgnoreAddressOrder] {
        assert_finds_fault(&format!("{fault:?}"), STEPS, 50_000, |steps: &[Step]| {
            run(steps, fault)
        });
    }
}
