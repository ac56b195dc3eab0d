//! What a replica does by the clock.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::core::Core;
use super::writer::Synced;
use crate::agreement::Change;
use crate::agreement::ReplicaId;
use crate::agreement::Role;
use crate::log::event;
use crate::state::command::Op;

/// Time between ticks of the log.
const TICK: Duration = Duration::from_millis(10);

/// Time between rounds of housekeeping.
const KEEP: Duration = Duration::from_millis(200);

/// Rounds of housekeeping between looks at which qualities have moved.
const QUALITY_ROUNDS: u64 = 5;

/// Rounds of housekeeping between sweeps of what has expired.
const SWEEP_ROUNDS: u64 = 150;

/// How long a stopping leader goes on, so that its last answers leave.
const DRAIN: Duration = Duration::from_millis(300);

/// Feeds back what the writer has synced.
pub(super) async fn follow_writer(core: Rc<RefCell<Core>>, mut synced: UnboundedReceiver<Synced>) {
    while let Some(done) = synced.recv().await {
        core.borrow_mut().synced(done);
    }
}

/// Lets the log's time pass.
pub(super) async fn tick(core: Rc<RefCell<Core>>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.borrow_mut().tick();
    }
}

/// Housekeeping.
pub(super) async fn keep(core: Rc<RefCell<Core>>) {
    let mut interval = tokio::time::interval(KEEP);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for round in 1_u64.. {
        interval.tick().await;
        let mut core = core.borrow_mut();
        core.compact();
        core.publish();
        if core.node.role() != Role::Leader {
            continue;
        }
        let now = core.now();
        core.control.expire(now);
        core.admit_replicas();
        core.expire_upstreams();
        if round % QUALITY_ROUNDS == 0 {
            let core = &mut *core;
            core.control.published.refresh(&core.state.quality);
        }
        if round % SWEEP_ROUNDS == 0 {
            core.propose(Op::Sweep);
        }
    }
}

/// Lets what is under way end before the process stops.
pub(super) async fn drain(core: &Rc<RefCell<Core>>) {
    core.borrow_mut().stopping = true;
    tokio::time::sleep(DRAIN).await;
}

impl Core {
    /// Takes in replicas that asked, one step at a time: the lost identity at the same address
    /// goes, the new one learns, and votes once it holds all that is committed.
    fn admit_replicas(&mut self) {
        for (address, id) in self.joins.clone() {
            if let Some(change) = self.next_change(address, id) {
                event!(Info, "membership_change", change = format!("{change:?}"));
                let now = self.now();
                if let Ok(effects) = self.node.propose_change(&change, now) {
                    self.carry_out(effects);
                }
                return;
            }
        }
        self.promote_learner();
    }

    fn next_change(&self, address: SocketAddr, id: ReplicaId) -> Option<Change> {
        let membership = self.node.membership();
        if membership.members.contains_key(&id) {
            return None;
        }
        match membership.at(address) {
            Some(lost) => Some(Change::Remove(lost)),
            None => Some(Change::AddLearner(id, address)),
        }
    }

    fn promote_learner(&mut self) {
        let learner = self
            .node
            .membership()
            .members
            .iter()
            .find(|(id, member)| !member.voter && self.node.caught_up(**id))
            .map(|(&id, _)| id);
        let Some(id) = learner else {
            return;
        };
        let now = self.now();
        if let Ok(effects) = self.node.propose_change(&Change::Promote(id), now) {
            event!(Info, "membership_change", change = "promote", id = id);
            self.carry_out(effects);
        }
    }

    fn expire_upstreams(&mut self) {
        if !self.serves() {
            return;
        }
        for (id, incarnation) in self.dead_upstreams() {
            event!(
                Warn,
                "upstream_silent",
                upstream = id,
                incarnation = incarnation
            );
            self.propose(Op::Leave { id, incarnation });
        }
    }
}
