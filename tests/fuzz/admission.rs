//! Fuzzes the admission queues: no slot is lost or granted twice, every queued request is
//! dispatched, cancelled or expires, organisations get their weights, and deferrable requests their
//! share.

use std::collections::BTreeSet;
use std::time::Duration;

use daisyquay::policy::admission::Decision;
use daisyquay::policy::admission::Pool;
use daisyquay::policy::admission::Priority;
use daisyquay::policy::admission::SlotRequest;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::assert_holds;

const STEPS: usize = 200;
const SCHEDULES: u64 = 1000;
const MAX_WAIT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
enum Step {
    Request { organisation: u8, deferrable: bool },
    Finish,
    Resize(u8),
    Wait(u16),
    Cancel(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=5 => Self::Request {
                organisation: u8::arbitrary(g) % 3,
                deferrable: bool::arbitrary(g),
            },
            6..=8 => Self::Finish,
            9 => Self::Resize(u8::arbitrary(g) % 6),
            10 => Self::Wait(u16::arbitrary(g) % 700),
            _ => Self::Cancel(u8::arbitrary(g)),
        }
    }
}

fn slot_request(ticket: u64, organisation: u8, deferrable: bool, now: Duration) -> SlotRequest {
    SlotRequest {
        ticket,
        organisation: format!("org-{organisation}").into(),
        weight: u32::from(organisation) + 1,
        priority: if deferrable {
            Priority::Deferrable
        } else {
            Priority::Interactive
        },
        deadline: now + MAX_WAIT,
    }
}

fn run(steps: &[Step]) -> Result<(), String> {
    let mut pool = Pool::default();
    let (mut slots, mut running, mut ticket) = (2_u32, 0_u32, 0_u64);
    pool.resize(slots);
    let mut now = Duration::ZERO;
    let mut queued = BTreeSet::new();
    for step in steps {
        match *step {
            Step::Request {
                organisation,
                deferrable,
            } => {
                ticket += 1;
                match pool.request_slot(
                    slot_request(ticket, organisation, deferrable, now),
                    now,
                    0.5,
                ) {
                    Decision::Admit => running += 1,
                    Decision::Queue => {
                        queued.insert(ticket);
                    }
                    Decision::Reject { retry_after } if retry_after.is_zero() => {
                        return Err("a rejection without retry-after".to_owned());
                    }
                    Decision::Reject { .. } => {}
                }
            }
            Step::Finish if running > 0 => {
                running -= 1;
                pool.release_slot(Duration::from_millis(100));
            }
            Step::Finish => {}
            Step::Resize(n) => {
                slots = n.into();
                pool.resize(slots);
            }
            Step::Wait(ms) => {
                now += Duration::from_millis(ms.into());
                for (expired, _) in pool.remove_expired(now, 0.5) {
                    if expired.deadline > now || !queued.remove(&expired.ticket) {
                        return Err(format!(
                            "{expired:?} was removed before its deadline or was not queued"
                        ));
                    }
                }
            }
            Step::Cancel(pick) => {
                let at = usize::from(pick) % queued.len().max(1);
                if let Some(&ticket) = queued.iter().nth(at) {
                    queued.remove(&ticket);
                    pool.cancel(ticket);
                }
            }
        }
        while let Some(next) = pool.dispatch_next() {
            if !queued.remove(&next.ticket) {
                return Err(format!("{next:?} was dispatched and not queued"));
            }
            running += 1;
            if running > slots {
                return Err(format!("{running} requests run on {slots} slots"));
            }
        }
        if running < slots && !queued.is_empty() {
            return Err("a slot is free while requests are queued".to_owned());
        }
        if pool.queued() != queued.len() || pool.running() != running {
            return Err("the pool's counts differ from the model's".to_owned());
        }
    }
    Ok(())
}

#[test]
fn queues_lose_no_slot_or_request() {
    assert_holds(STEPS, SCHEDULES, run);
}

#[test]
fn organisations_get_their_weights_and_deferrable_requests_their_share() {
    let mut pool = Pool::default();
    pool.resize(1);
    let deadline = Duration::from_secs(1_000_000);
    let mut ticket = 0;
    let mut submit = |pool: &mut Pool, organisation: u8, deferrable: bool| {
        ticket += 1;
        let request = slot_request(ticket, organisation, deferrable, deadline);
        pool.request_slot(request, Duration::ZERO, 0.0);
    };
    submit(&mut pool, 0, false);
    for _ in 0..300 {
        submit(&mut pool, 0, false);
        submit(&mut pool, 2, false);
        submit(&mut pool, 1, true);
    }
    let mut served = [0.0_f64; 3];
    for _ in 0..200 {
        pool.release_slot(Duration::from_millis(1));
        let next = pool.dispatch_next().unwrap();
        let organisation: usize = next.organisation[4..].parse().unwrap();
        served[organisation] += 1.0;
    }
    assert_eq!(served[1], 20.0, "not one in ten dispatches was deferrable");
    let ratio = served[2] / served[0];
    assert!(
        (ratio - 3.0).abs() < 0.2,
        "organisations with weights 1 and 3 got {served:?}"
    );
}
