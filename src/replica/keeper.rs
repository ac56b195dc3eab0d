//! What a replica does by the clock.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::admission::Members;
use super::admission::next_change;
use super::core::Core;
use super::writer::Synced;
use crate::agreement::Node;
use crate::agreement::ReplicaId;
use crate::agreement::Role;
use crate::log::event;
use crate::policy::release_rollout::Verdict;
use crate::state::Stage;
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

/// Silence after which a voter counts as lost while another replica waits to take its place.
const LOST_AFTER: Duration = Duration::from_secs(2);

struct MembersSeen<'a> {
    node: &'a Node,
    now: Duration,
}

impl Members for MembersSeen<'_> {
    fn is_lost(&self, id: ReplicaId) -> bool {
        let since = self
            .node
            .last_contact(id)
            .unwrap_or(self.node.leader_since());
        id != self.node.id() && self.now > since + LOST_AFTER
    }

    fn caught_up(&self, id: ReplicaId) -> bool {
        self.node.is_caught_up(id)
    }
}

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
        core.guard_releases();
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
    /// Takes in replicas that asked and lets lost ones go, one step at a time.
    fn admit_replicas(&mut self) {
        let membership = self.node.membership();
        self.joins
            .retain(|_, id| !membership.members.contains_key(id));
        let view = MembersSeen {
            node: &self.node,
            now: self.now(),
        };
        let Some(change) = next_change(membership, &self.joins, self.target_voters, &view) else {
            return;
        };
        let now = self.now();
        if let Ok(effects) = self.node.propose_change(&change, now) {
            event!(Info, "membership_change", change = format!("{change:?}"));
            self.carry_out(effects);
        }
    }

    /// Moves the roll-outs of services on.
    fn guard_releases(&mut self) {
        if !self.serves() {
            return;
        }
        let now = self.now();
        let wall_ms = self.wall_ms();
        for (service, target, verdict) in self.control.judge_releases(&self.state, now, wall_ms) {
            let stage = match verdict {
                Verdict::Wait => continue,
                Verdict::Advance(stage) => {
                    event!(
                        Info,
                        "release_stage",
                        service = service,
                        release = target,
                        stage = format!("{stage:?}")
                    );
                    stage
                }
                Verdict::RollBack { route, new, old } => {
                    event!(
                        Warn,
                        "release_rolled_back",
                        service = service,
                        release = target,
                        route = route,
                        new = new.log_text(),
                        old = old.log_text()
                    );
                    Stage::RolledBack
                }
            };
            self.propose(Op::SetReleaseStage {
                service,
                target,
                stage,
            });
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
            self.propose(Op::MarkSilent { id, incarnation });
        }
    }
}
