//! Leases: no holder works under an old revision once the grantor says that a newer one is in
//! force, whatever is lost, delayed or frozen, with clocks that run up to two per cent apart.

use std::time::Duration;

use daisyquay::lease::DISPATCH_TIMEOUT;
use daisyquay::lease::Grantor;
use daisyquay::lease::Holder;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::assert_finds_fault;
use crate::assert_holds;

const STEPS: usize = 200;
const SCHEDULES: u64 = 3000;
const HOLDERS: u8 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u16),
    /// A holder sends a renewal.
    Renew(u8),
    /// A renewal reaches the leader, and its grant is on its way.
    Grant(u16),
    /// A grant reaches its holder.
    Take(u16),
    Lose(u16),
    /// A configuration change is accepted.
    Change,
    /// Another replica becomes leader and knows of no lease.
    Failover,
    /// A holder decides; the dispatch follows within its limit.
    Decide(u8),
    Dispatch(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u16::arbitrary(g);
        let holder = u8::arbitrary(g) % HOLDERS;
        match u8::arbitrary(g) % 16 {
            0..=1 => Self::Pass(pick % 100),
            2 => Self::Pass(pick % 700),
            3 if pick % 4 == 0 => Self::Pass(pick % 3000),
            3..=6 => Self::Renew(holder),
            7..=8 => Self::Grant(pick),
            9..=10 => Self::Take(pick),
            11 => Self::Lose(pick),
            12 => Self::Change,
            13 if pick % 4 == 0 => Self::Failover,
            13..=14 => Self::Decide(holder),
            _ => Self::Dispatch(holder),
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The holder counts from when the grant arrives.
    CountFromArrival,
    /// A new leader forgets that the old one's leases may be alive.
    ForgetOldLeases,
    /// A revision is acknowledged before older decisions have reached the wire.
    AckAtOnce,
    /// Work starts without a look at the lease.
    IgnoreLease,
}

enum Letter {
    Renewal {
        holder: usize,
        sent_at: Duration,
        acked: u64,
    },
    Grant {
        holder: usize,
        sent_at: Duration,
        revision: u64,
    },
}

struct Decision {
    revision: u64,
    until: Duration,
}

struct World {
    fault: Fault,
    now: Duration,
    grantor: Grantor,
    holders: Vec<Holder>,
    decisions: Vec<Option<Decision>>,
    letters: Vec<Letter>,
    revision: u64,
    in_force: u64,
}

impl World {
    /// A holder's clock: some run two per cent slow, which makes its lease last longer.
    fn clock(&self, holder: usize) -> Duration {
        self.now.mul_f64([1.0, 0.98, 1.02][holder])
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Pass(ms) => self.now += Duration::from_millis(ms.into()),
            Step::Renew(holder) => self.renew(holder.into()),
            Step::Grant(pick) => self.grant(pick),
            Step::Take(pick) => self.take(pick),
            Step::Lose(pick) => {
                if !self.letters.is_empty() {
                    let at = usize::from(pick) % self.letters.len();
                    self.letters.remove(at);
                }
            }
            Step::Change => self.revision += 1,
            Step::Failover => {
                let start = if self.fault == Fault::ForgetOldLeases {
                    Duration::ZERO
                } else {
                    self.now
                };
                self.grantor = Grantor::new(start);
                self.letters.clear();
            }
            Step::Decide(holder) => self.decide(holder.into()),
            Step::Dispatch(holder) => self.dispatch(holder.into())?,
        }
        if self.grantor.lagging(self.revision, self.now).is_empty() {
            self.in_force = self.revision;
        }
        Ok(())
    }

    fn renew(&mut self, holder: usize) {
        let sent_at = self.clock(holder);
        let acked = if self.fault == Fault::AckAtOnce {
            self.holders[holder].revision()
        } else {
            self.holders[holder].acked_revision(sent_at)
        };
        self.letters.push(Letter::Renewal {
            holder,
            sent_at,
            acked,
        });
    }

    fn letter(&mut self, pick: u16, renewal: bool) -> Option<Letter> {
        let found: Vec<usize> = (0..self.letters.len())
            .filter(|&i| matches!(self.letters[i], Letter::Renewal { .. }) == renewal)
            .collect();
        let at = *found.get(usize::from(pick) % found.len().max(1))?;
        Some(self.letters.remove(at))
    }

    fn grant(&mut self, pick: u16) {
        let Some(Letter::Renewal {
            holder,
            sent_at,
            acked,
        }) = self.letter(pick, true)
        else {
            return;
        };
        let vm = format!("vm-{holder}").into();
        self.grantor.grant(holder as u64, &vm, acked, self.now);
        self.letters.push(Letter::Grant {
            holder,
            sent_at,
            revision: self.revision,
        });
    }

    fn take(&mut self, pick: u16) {
        let Some(Letter::Grant {
            holder,
            sent_at,
            revision,
        }) = self.letter(pick, false)
        else {
            return;
        };
        let now = self.clock(holder);
        self.holders[holder].apply_revision(revision, now);
        let from = if self.fault == Fault::CountFromArrival {
            now
        } else {
            sent_at
        };
        self.holders[holder].record_grant(from);
    }

    fn may_start(&self, holder: usize) -> bool {
        self.fault == Fault::IgnoreLease || self.holders[holder].is_live(self.clock(holder))
    }

    fn decide(&mut self, holder: usize) {
        if self.may_start(holder) {
            let until = self.clock(holder) + DISPATCH_TIMEOUT;
            self.decisions[holder] = Some(Decision {
                revision: self.holders[holder].revision(),
                until,
            });
        }
    }

    /// The bytes leave, unless the dispatch took too long or the lease has run out since.
    fn dispatch(&mut self, holder: usize) -> Result<(), String> {
        let Some(decision) = self.decisions[holder].take() else {
            return Ok(());
        };
        if self.clock(holder) >= decision.until || !self.may_start(holder) {
            return Ok(());
        }
        if decision.revision < self.in_force {
            return Err(format!(
                "holder {holder} worked under {} while {} is in force",
                decision.revision, self.in_force
            ));
        }
        Ok(())
    }
}

fn run(steps: &[Step], fault: Fault) -> Result<(), String> {
    let holders = usize::from(HOLDERS);
    let mut world = World {
        fault,
        now: Duration::from_secs(10),
        grantor: Grantor::new(Duration::ZERO),
        holders: vec![Holder::default(); holders],
        decisions: (0..holders).map(|_| None).collect(),
        letters: Vec::new(),
        revision: 1,
        in_force: 0,
    };
    steps.iter().try_for_each(|&step| world.step(step))
}

#[test]
fn leases_hold() {
    assert_holds(STEPS, SCHEDULES, |steps: &[Step]| run(steps, Fault::None));
}

#[test]
fn planted_faults_are_found() {
    for fault in [
        Fault::CountFromArrival,
        Fault::ForgetOldLeases,
        Fault::AckAtOnce,
        Fault::IgnoreLease,
    ] {
        assert_finds_fault(
            &format!("{fault:?}"),
            STEPS,
            SCHEDULES,
            |steps: &[Step]| run(steps, fault),
        );
    }
}
