//! The replica's periodic tasks.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::core::Core;
use super::membership::MemberStatus;
use super::membership::next_change;
use super::writer::SyncedBatch;
use crate::agreement::Node;
use crate::agreement::ReplicaId;
use crate::agreement::Role;
use crate::log::event;
use crate::policy::release_rollout::Verdict;
use crate::state::Stage;
use crate::state::command::Op;

/// Time between ticks of the log's node.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);

/// Rounds of housekeeping between two checks for changed rows of the quality table.
const QUALITY_INTERVAL_ROUNDS: u64 = 5;

/// Rounds of housekeeping between two log lines on the evidence for each active rollout.
const EVIDENCE_INTERVAL_ROUNDS: u64 = 10;

/// Rounds of housekeeping between two removals of expired records from the state.
const SWEEP_INTERVAL_ROUNDS: u64 = 150;

/// Time that a stopping replica keeps running, so that its last replies are sent.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// Time without contact after which a voter counts as lost, so that a learner may replace it.
const LOST_AFTER: Duration = Duration::from_secs(2);

/// Time since the last contact for which a member counts as responsive: several heartbeats of the log.
const RESPONSIVE_FOR: Duration = Duration::from_millis(500);

/// Member states as the leader's node sees them.
struct LogMemberStatus<'a> {
    node: &'a Node,
    now: Duration,
}

impl MemberStatus for LogMemberStatus<'_> {
    fn is_lost(&self, id: ReplicaId) -> bool {
        let since = self
            .node
            .last_contact(id)
            .unwrap_or(self.node.leader_since());
        id != self.node.id() && self.now > since + LOST_AFTER
    }

    fn is_responsive(&self, id: ReplicaId) -> bool {
        let contact = self.node.last_contact(id);
        contact.is_some_and(|at| self.now <= at + RESPONSIVE_FOR)
    }

    fn is_leader(&self, id: ReplicaId) -> bool {
        id == self.node.id()
    }

    fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.node.is_caught_up(id)
    }
}

/// Applies the writer's reports of synced batches.
pub(super) async fn process_synced(
    core: Rc<RefCell<Core>>,
    mut synced: UnboundedReceiver<SyncedBatch>,
) {
    while let Some(batch) = synced.recv().await {
        core.borrow_mut().on_synced(batch);
    }
}

/// Ticks the log's node; never returns.
pub(super) async fn tick(core: Rc<RefCell<Core>>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.borrow_mut().tick();
    }
}

/// Compacts the log and updates the metrics; on the leader, also expires leases, changes the
/// membership, marks silent upstreams, advances rollouts, publishes changed rows of the quality
/// table and removes expired records from the state.
pub(super) async fn run_housekeeping(core: Rc<RefCell<Core>>) {
    let mut interval = tokio::time::interval(HOUSEKEEPING_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for round in 1_u64.. {
        interval.tick().await;
        let mut core = core.borrow_mut();
        core.compact();
        core.update_metrics();
        if core.node.role() != Role::Leader {
            continue;
        }
        let now = core.now();
        core.leader_state.expire(now);
        core.update_membership();
        core.report_lost_voters();
        core.mark_silent_upstreams();
        core.advance_releases();
        if round % EVIDENCE_INTERVAL_ROUNDS == 0 {
            core.log_release_evidence();
        }
        if round % QUALITY_INTERVAL_ROUNDS == 0 {
            let core = &mut *core;
            core.leader_state
                .quality_publisher
                .update(&core.state.quality);
        }
        if round % SWEEP_INTERVAL_ROUNDS == 0 {
            core.propose(Op::Sweep);
        }
    }
}

/// Rejects new commands and gives pending ones [`DRAIN_TIME`] to end.
pub(super) async fn drain(core: &Rc<RefCell<Core>>) {
    core.borrow_mut().is_stopping = true;
    tokio::time::sleep(DRAIN_TIME).await;
}

impl Core {
    /// Proposes the next membership change, if any.
    fn update_membership(&mut self) {
        let membership = self.node.membership();
        self.join_requests
            .retain(|_, id| !membership.members.contains_key(id));
        let status = LogMemberStatus {
            node: &self.node,
            now: self.now(),
        };
        let Some(change) =
            next_change(membership, &self.join_requests, self.target_voters, &status)
        else {
            return;
        };
        let now = self.now();
        if let Ok(effects) = self.node.propose_change(&change, now) {
            event!(Info, "membership_change", change = format!("{change:?}"));
            self.apply_effects(effects);
        }
    }

    /// Reports, as the leader, how many voters are lost or missing, and logs it while no learner is
    /// there to replace them. Until then the log tolerates fewer failures than the settings say.
    fn report_lost_voters(&mut self) {
        let now = self.now();
        let status = LogMemberStatus {
            node: &self.node,
            now,
        };
        let membership = self.node.membership();
        let lost = membership.voters().filter(|&id| status.is_lost(id));
        let lost = lost.filter_map(|id| membership.members.get(&id));
        let lost: Vec<String> = lost.map(|member| member.address.to_string()).collect();
        let voters = membership.voters().count();
        let members = membership.members.iter();
        let learners = members.filter(|(id, member)| !member.voter && !status.is_lost(**id));
        let learners = learners.count();
        let missing = lost.len() + self.target_voters.saturating_sub(voters);
        let metrics = self.metrics();
        metrics.set_gauge("daisyquay_missing_voters", missing as f64);
        metrics.set_gauge("daisyquay_learners", learners as f64);
        if missing <= learners {
            self.voter_loss.end();
        } else if self.voter_loss.is_due(now) {
            event!(
                Warn,
                "voters_missing",
                voters = voters,
                target = self.target_voters,
                learners = learners,
                lost = lost.join(",")
            );
        }
    }

    /// Advances the services' rollouts to their next stage or rolls them back.
    fn advance_releases(&mut self) {
        if !self.has_leader_lease() {
            return;
        }
        let now = self.now();
        let wall_ms = self.wall_ms();
        for (service, target, verdict) in
            self.leader_state
                .evaluate_releases(&self.state, now, wall_ms)
        {
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

    /// Logs what the active rollouts are judged by.
    fn log_release_evidence(&self) {
        for (service, release, stage, evidence) in self.leader_state.observed_rollouts() {
            for (route, new, old) in evidence.iter() {
                event!(
                    Info,
                    "release_evidence",
                    service = service,
                    release = release,
                    stage = format!("{stage:?}"),
                    route = route,
                    new = new.log_text(),
                    old = old.log_text()
                );
            }
        }
    }

    /// Proposes to mark upstreams as silent that the failure detector considers failed.
    fn mark_silent_upstreams(&mut self) {
        if !self.has_leader_lease() {
            return;
        }
        for (id, incarnation) in self.failed_upstreams() {
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
