//! Fuzz test of leases: no holder dispatches under an old revision once the grantor reports a newer
//! one as in force. Messages are lost, delayed and reordered, holders pause, leaders fail over, and
//! the holders' clocks run up to 2% slower or faster than the grantor's.

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
    /// Advances the time, in milliseconds.
    AdvanceTime(u16),
    /// A holder sends a renewal.
    SendRenewal(u8),
    /// The leader receives a renewal and sends a grant.
    DeliverRenewal(u16),
    /// A holder receives a grant.
    DeliverGrant(u16),
    /// A message is lost.
    Drop(u16),
    /// A configuration change is accepted, which creates a new revision.
    ChangeConfig,
    /// Another replica, which knows of no leases, becomes leader.
    Failover,
    /// A holder makes a routing decision.
    Decide(u8),
    /// A holder dispatches its last decision, if the timeout and the lease allow it.
    Dispatch(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u16::arbitrary(g);
        let holder = u8::arbitrary(g) % HOLDERS;
        match u8::arbitrary(g) % 16 {
            0..=1 => Self::AdvanceTime(pick % 100),
            2 => Self::AdvanceTime(pick % 700),
            3 if pick % 4 == 0 => Self::AdvanceTime(pick % 3000),
            3..=6 => Self::SendRenewal(holder),
            7..=8 => Self::DeliverRenewal(pick),
            9..=10 => Self::DeliverGrant(pick),
            11 => Self::Drop(pick),
            12 => Self::ChangeConfig,
            13 if pick % 4 == 0 => Self::Failover,
            13..=14 => Self::Decide(holder),
            _ => Self::Dispatch(holder),
        }
    }
}

/// A fault that the test must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The holder counts its lease from when the grant arrives.
    CountFromArrival,
    /// A new leader ignores that leases of the previous one may be live.
    ForgetOldLeases,
    /// A holder acknowledges a revision before older decisions are dispatched.
    AckAtOnce,
    /// A holder starts work without checking its lease.
    IgnoreLease,
}

enum Message {
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
    deadline: Duration,
}

struct World {
    fault: Fault,
    now: Duration,
    grantor: Grantor,
    holders: Vec<Holder>,
    decisions: Vec<Option<Decision>>,
    in_flight: Vec<Message>,
    revision: u64,
    in_force: u64,
}

impl World {
    /// Returns the time on a holder's clock. One clock runs 2% slow, so that its lease lasts longer
    /// by the grantor's clock, and one runs 2% fast.
    fn clock(&self, holder: usize) -> Duration {
        self.now.mul_f64([1.0, 0.98, 1.02][holder])
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::AdvanceTime(ms) => self.now += Duration::from_millis(ms.into()),
            Step::SendRenewal(holder) => self.send_renewal(holder.into()),
            Step::DeliverRenewal(pick) => self.deliver_renewal(pick),
            Step::DeliverGrant(pick) => self.deliver_grant(pick),
            Step::Drop(pick) => {
                if !self.in_flight.is_empty() {
                    let at = usize::from(pick) % self.in_flight.len();
                    self.in_flight.remove(at);
                }
            }
            Step::ChangeConfig => self.revision += 1,
            Step::Failover => {
                let start = if self.fault == Fault::ForgetOldLeases {
                    Duration::ZERO
                } else {
                    self.now
                };
                self.grantor = Grantor::new(start);
                self.in_flight.clear();
            }
            Step::Decide(holder) => self.decide(holder.into()),
            Step::Dispatch(holder) => self.dispatch(holder.into())?,
        }
        if self.grantor.lagging(self.revision, self.now).is_empty() {
            self.in_force = self.revision;
        }
        Ok(())
    }

    fn send_renewal(&mut self, holder: usize) {
        let sent_at = self.clock(holder);
        let acked = if self.fault == Fault::AckAtOnce {
            self.holders[holder].revision()
        } else {
            self.holders[holder].acked_revision(sent_at)
        };
        self.in_flight.push(Message::Renewal {
            holder,
            sent_at,
            acked,
        });
    }

    /// Removes one of the renewals, or of the grants, that are in flight.
    fn remove_message(&mut self, pick: u16, is_renewal: bool) -> Option<Message> {
        let candidates: Vec<usize> = (0..self.in_flight.len())
            .filter(|&i| matches!(self.in_flight[i], Message::Renewal { .. }) == is_renewal)
            .collect();
        let at = *candidates.get(usize::from(pick) % candidates.len().max(1))?;
        Some(self.in_flight.remove(at))
    }

    fn deliver_renewal(&mut self, pick: u16) {
        let Some(Message::Renewal {
            holder,
            sent_at,
            acked,
        }) = self.remove_message(pick, true)
        else {
            return;
        };
        let vm = format!("vm-{holder}").into();
        self.grantor.grant(holder as u64, &vm, acked, self.now);
        self.in_flight.push(Message::Grant {
            holder,
            sent_at,
            revision: self.revision,
        });
    }

    fn deliver_grant(&mut self, pick: u16) {
        let Some(Message::Grant {
            holder,
            sent_at,
            revision,
        }) = self.remove_message(pick, false)
        else {
            return;
        };
        let now = self.clock(holder);
        self.holders[holder].apply_revision(revision, now);
        let lease_start = if self.fault == Fault::CountFromArrival {
            now
        } else {
            sent_at
        };
        self.holders[holder].record_grant(lease_start);
    }

    fn may_start(&self, holder: usize) -> bool {
        self.fault == Fault::IgnoreLease || self.holders[holder].is_live(self.clock(holder))
    }

    fn decide(&mut self, holder: usize) {
        if self.may_start(holder) {
            let deadline = self.clock(holder) + DISPATCH_TIMEOUT;
            self.decisions[holder] = Some(Decision {
                revision: self.holders[holder].revision(),
                deadline,
            });
        }
    }

    /// Dispatches the last decision, unless it timed out or the lease has expired since.
    fn dispatch(&mut self, holder: usize) -> Result<(), String> {
        let Some(decision) = self.decisions[holder].take() else {
            return Ok(());
        };
        if self.clock(holder) >= decision.deadline || !self.may_start(holder) {
            return Ok(());
        }
        if decision.revision < self.in_force {
            return Err(format!(
                "holder {holder} dispatched under revision {} while {} is in force",
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
        in_flight: Vec::new(),
        revision: 1,
        in_force: 0,
    };
    steps.iter().try_for_each(|&step| world.step(step))
}

#[test]
fn no_dispatch_under_an_old_revision_once_a_newer_one_is_in_force() {
    assert_holds(STEPS, SCHEDULES, |steps: &[Step]| run(steps, Fault::None));
}

#[test]
fn finds_injected_faults() {
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
