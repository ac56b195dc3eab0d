//! Handles requests of other replicas, entries, gateways and operators.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::core::Core;
use crate::collections::Name;
use crate::lease::Lagging;
use crate::log::event;
use crate::peer::BootstrapStatus;
use crate::peer::Caller;
use crate::peer::Handler;
use crate::peer::OperatorChange;
use crate::peer::OperatorChangeReply;
use crate::peer::Reply;
use crate::peer::Request;
use crate::policy::bootstrap;
use crate::policy::repetition::Relation;
use crate::state::command::Change;
use crate::state::command::ChangeOutcome;
use crate::state::command::ChangeRequest;
use crate::state::command::Op;
use crate::state::command::Outcome;
use crate::state::query::Query;
use crate::state::query::Report;
use crate::upstream::AnnounceOutcome;
use crate::upstream::Announcement;

/// Time between two checks whether a revision is in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time that a renewal waits for the first leader after this replica's start. It is less
/// than the time after which gateways and entries give up a call, so that they don't ask again and
/// again and learn of the leader at once.
pub(super) const LEADER_SEARCH_LIMIT: Duration = Duration::from_millis(400);

/// Longest time that an operator may wait for a revision to be in force.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Handles the requests that arrive at the peer listener.
pub(super) struct ReplicaHandler {
    core: Rc<RefCell<Core>>,
}

impl ReplicaHandler {
    pub(super) fn new(core: Rc<RefCell<Core>>) -> Self {
        Self { core }
    }
}

impl Handler for ReplicaHandler {
    fn call(&self, caller: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        let core = self.core.clone();
        Box::pin(async move {
            match caller {
                Caller::Peer => handle_peer(core, request).await,
                Caller::Operator(who) => handle_operator(core, who, request).await,
            }
        })
    }
}

/// Handles a request sent with the peer key.
pub(super) async fn handle_peer(core: Rc<RefCell<Core>>, request: Request) -> Reply {
    match request {
        Request::Agreement { from, messages } => {
            let mut core = core.borrow_mut();
            for message in messages {
                core.receive(from, message);
            }
            Reply::Done
        }
        Request::BootstrapStatus => {
            let core = core.borrow();
            Reply::BootstrapStatus(BootstrapStatus {
                id: core.node.id(),
                has_log: core.has_log(),
            })
        }
        Request::Join { id, address } => {
            let mut core = core.borrow_mut();
            if !core.has_leader_lease() {
                return not_leader(&core);
            }
            // The member at the address would be removed, but a leader can't remove itself.
            if address == core.address && id != core.node.id() {
                return Reply::Refused(
                    "the leader of the log has this address; pass the joining replica's own \
                     address with --advertise"
                        .into(),
                );
            }
            core.join_requests.insert(address, id);
            Reply::Done
        }
        Request::Renew(renewal) => {
            wait_for_first_leader(&core).await;
            let mut core = core.borrow_mut();
            if !core.has_leader_lease() {
                return not_leader(&core);
            }
            Reply::Grant(Box::new(core.renew(&renewal)))
        }
        Request::ConfigUpdate { held } => {
            Reply::ConfigUpdate(core.borrow_mut().config_history.update_from(held))
        }
        Request::DirectoryUpdate { held } => {
            Reply::DirectoryUpdate(core.borrow_mut().directory_update(held))
        }
        Request::Ledger(ops) => propose(&core, Op::Ledger(ops)).await,
        Request::Pin(pin) => propose(&core, Op::Pin(pin)).await,
        Request::Heartbeats(heartbeats) => record_heartbeats(&mut core.borrow_mut(), &heartbeats),
        Request::Announce(announcement) => announce(core, announcement).await,
        Request::Leave { id, incarnation } => propose(&core, Op::Leave { id, incarnation }).await,
        Request::OnBehalf { who, request } => handle_operator(core, who, *request).await,
        Request::Replicas => Reply::Replicas(core.borrow().replicas_under_leader()),
        Request::ReportReplicas(replicas) => {
            core.borrow_mut().add_reported(replicas);
            Reply::Done
        }
        Request::BootstrapPermission(replicas) => {
            let core = core.borrow();
            let is_permitted =
                !core.has_log() && bootstrap::covers(core.bootstrap_permission.as_ref(), &replicas);
            Reply::BootstrapPermission(is_permitted.then(|| core.node.id()))
        }
        Request::Change(_) | Request::Query(_) => {
            Reply::Refused("this request needs an operator key; pass --operator-key".into())
        }
    }
}

/// Waits until this replica knows a leader, if it has known none since its start.
async fn wait_for_first_leader(core: &Rc<RefCell<Core>>) {
    let search = core.borrow().leader_search();
    if let Some(leader_found) = search {
        let _ = tokio::time::timeout(LEADER_SEARCH_LIMIT, leader_found.notified()).await;
    }
}

fn record_heartbeats(core: &mut Core, heartbeats: &[(Name, u64)]) -> Reply {
    if !core.has_leader_lease() {
        return not_leader(core);
    }
    for (id, incarnation) in heartbeats {
        record_heartbeat(core, id, *incarnation);
    }
    Reply::Done
}

/// Records a heartbeat of an incarnation that is in the directory. A late one of a former
/// incarnation does not say that the upstream runs.
fn record_heartbeat(core: &mut Core, id: &Name, incarnation: u64) {
    let row = core.state.directory.get(id);
    if row.is_some_and(|row| row.announced.incarnation == incarnation) {
        let now = core.now();
        core.leader_state
            .failure_detector
            .record_heartbeat(id, incarnation, now);
    }
}

/// Records the heartbeat once its announcement is accepted, and proposes the announcement only if
/// it changes the directory: one that changes nothing costs no write to the log, and a follower
/// answers it as well. An invalid one, such as one that names a service that is not in the
/// inventory, is rejected by the leader without a command, because its sender repeats it with each
/// heartbeat.
async fn announce(core: Rc<RefCell<Core>>, announcement: Announcement) -> Reply {
    let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
    {
        let mut core = core.borrow_mut();
        if core.state.directory.contains(&announcement) {
            let is_recorded = if core.has_leader_lease() {
                record_heartbeat(&mut core, &id, incarnation);
                true
            } else {
                core.remote_leader().is_some() && core.heartbeats.record(&id, incarnation)
            };
            if is_recorded {
                return Reply::Announce(AnnounceOutcome::Accepted);
            }
        } else if core.has_leader_lease() {
            let state = &core.state;
            let rejection = state.directory.rejection(&announcement, &state.inventory);
            // The change may add what the announcement names, and is applied before it.
            if let Some(reason) = rejection.filter(|_| !core.has_pending_change()) {
                return Reply::Announce(AnnounceOutcome::Rejected(reason));
            }
        }
    }
    let reply = propose(&core, Op::Announce(announcement)).await;
    if matches!(reply, Reply::Announce(AnnounceOutcome::Accepted)) {
        let mut core = core.borrow_mut();
        if core.has_leader_lease() {
            record_heartbeat(&mut core, &id, incarnation);
        }
    }
    reply
}

async fn handle_operator(core: Rc<RefCell<Core>>, who: Name, request: Request) -> Reply {
    match request {
        Request::Change(change) => apply_change(core, who, change).await,
        Request::Query(query) => run_query(&core.borrow(), &query),
        _ => Reply::Refused("this request needs the peer key".into()),
    }
}

fn not_leader(core: &Core) -> Reply {
    Reply::NotLeader {
        leader: core.remote_leader(),
    }
}

fn submit(core: &Rc<RefCell<Core>>, op: Op) -> Result<oneshot::Receiver<Outcome>, Reply> {
    let mut core = core.borrow_mut();
    match core.propose(op) {
        Some(rx) => Ok(rx),
        None => Err(not_leader(&core)),
    }
}

async fn propose(core: &Rc<RefCell<Core>>, op: Op) -> Reply {
    let rx = match submit(core, op) {
        Ok(rx) => rx,
        Err(reply) => return reply,
    };
    match rx.await {
        Ok(Outcome::Ledger(outcomes)) => Reply::Ledger(outcomes),
        Ok(Outcome::Pin(outcome)) => Reply::Pin(outcome),
        Ok(Outcome::Announce(outcome)) => Reply::Announce(outcome),
        Ok(Outcome::Change(_) | Outcome::Done) => Reply::Done,
        Err(_) => Reply::OutcomeUnknown,
    }
}

/// Result of submitting an operator's change to the leader.
enum Submission {
    /// The outcome is known without a command in the log.
    Decided(ChangeOutcome),
    /// The change was proposed; the receiver gets its outcome.
    Proposed(oneshot::Receiver<Outcome>),
}

/// Proposes a change that has an id, unless it was applied before or must be refused.
///
/// # Errors
///
/// The reply to the sender, where the change has no outcome.
fn submit_named(core: &Rc<RefCell<Core>>, request: ChangeRequest) -> Result<Submission, Reply> {
    let recorded = recorded_outcome(&core.borrow(), &request);
    if let Some(outcome) = recorded {
        return Ok(Submission::Decided(outcome));
    }
    let refusal = refusal_of_unknown_data_centre(&core.borrow(), &request.change);
    match refusal {
        Some(refusal) => Err(refusal),
        None => submit(core, Op::Change(request)).map(Submission::Proposed),
    }
}

/// Decides, as the leader, whether a change that came without an id repeats an earlier one, and
/// proposes it if it does not.
///
/// # Errors
///
/// The reply to the sender, which has to send the change again.
fn submit_unnamed(core: &Rc<RefCell<Core>>, request: ChangeRequest) -> Result<Submission, Reply> {
    let mut core = core.borrow_mut();
    if !core.has_leader_lease() {
        return Err(not_leader(&core));
    }
    let is_release_start = matches!(request.change, Change::ReleaseStart { .. });
    if is_release_start && core.has_pending_release_start() {
        // Whether that one is accepted decides what becomes of this one.
        return Err(Reply::OutcomeUnknown);
    }
    if let Some(accepted) = core.state.latest_in_same_words(&request) {
        // A document that was accepted stays accepted, and its number keeps it from being applied
        // again.
        let relation = if is_release_start {
            core.relate_to_release_order(&accepted)
        } else {
            Relation::Repetition
        };
        match relation {
            Relation::Repetition => {
                let revision = accepted.revision;
                return Ok(Submission::Decided(ChangeOutcome::Accepted { revision }));
            }
            Relation::Unknown => return Err(Reply::OutcomeUnknown),
            Relation::New => {}
        }
    }
    if let Some(reason) = core.state.refusal_of_unnamed(&request) {
        event!(
            Info,
            "change_refused",
            who = request.who,
            change = request.change,
            reason = reason
        );
        let reason = reason.into();
        return Ok(Submission::Decided(ChangeOutcome::Refused { reason }));
    }
    let (commands, position) = core.state.commands_of_unnamed(request);
    match core.propose_all(commands) {
        Some(mut receivers) => Ok(Submission::Proposed(receivers.swap_remove(position))),
        None => Err(not_leader(&core)),
    }
}

async fn apply_change(core: Rc<RefCell<Core>>, who: Name, change: OperatorChange) -> Reply {
    let wait = Duration::from_millis(change.wait_ms).min(MAX_WAIT);
    let change_id = change.change_id.clone();
    let request = ChangeRequest {
        change_id: change.change_id,
        who: who.clone(),
        expected_revision: change.expected_revision,
        change: change.change,
    };
    let evacuation = match &request.change {
        Change::Evacuate {
            data_centre,
            active,
            ..
        } => Some((data_centre.clone(), *active)),
        _ => None,
    };
    let is_unnamed = request.change.derived_id().as_ref() == Some(&request.change_id);
    let submission = if is_unnamed {
        submit_unnamed(&core, request)
    } else {
        submit_named(&core, request)
    };
    let outcome = match submission {
        Ok(Submission::Decided(outcome)) => outcome,
        Ok(Submission::Proposed(rx)) => {
            let Ok(Outcome::Change(outcome)) = rx.await else {
                return Reply::OutcomeUnknown;
            };
            outcome
        }
        Err(reply) => return reply,
    };
    let revision = core.borrow().state.revision;
    event!(
        Info,
        "change",
        who = who,
        change_id = change_id,
        revision = revision
    );
    if let (Some((data_centre, active)), ChangeOutcome::Accepted { revision }) =
        (evacuation, &outcome)
    {
        event!(
            Info,
            "evacuation_ordered",
            data_centre = data_centre,
            active = active,
            revision = revision
        );
    }
    let mut reply = OperatorChangeReply {
        outcome,
        in_force: None,
        lagging: Vec::new(),
    };
    if let ChangeOutcome::Accepted { revision } = reply.outcome
        && !wait.is_zero()
    {
        match wait_until_in_force(&core, revision, wait).await {
            Some(lagging) => {
                reply.in_force = Some(lagging.is_empty());
                reply.lagging = lagging;
            }
            None => return Reply::OutcomeUnknown,
        }
    }
    Reply::Change(reply)
}

/// Returns the reply to an order to evacuate a data centre that nobody knows; `None` for any other
/// change. Only the leader's directory is current. An order to finish is never refused as unknown:
/// a data centre may be known only while it is evacuated, and the order may be repeated.
fn refusal_of_unknown_data_centre(core: &Core, change: &Change) -> Option<Reply> {
    let Change::Evacuate {
        data_centre,
        active,
        ..
    } = change
    else {
        return None;
    };
    if !core.has_leader_lease() {
        return Some(not_leader(core));
    }
    if !active || core.knows_data_centre(data_centre) {
        return None;
    }
    let reason = format!(
        "data centre `{data_centre}` is not known; write one that `daisyquay show upstreams` \
         lists, or add it to --data-centres of the state replicas"
    );
    Some(Reply::Change(OperatorChangeReply {
        outcome: ChangeOutcome::Refused {
            reason: reason.into(),
        },
        in_force: None,
        lagging: Vec::new(),
    }))
}

/// Returns the outcome of a change that was applied before, so that a retry costs no entry in the
/// log; `None` for a new change, and where this replica can't know.
fn recorded_outcome(core: &Core, request: &ChangeRequest) -> Option<ChangeOutcome> {
    if !core.has_leader_lease() {
        return None;
    }
    core.state
        .recorded_outcome(&request.change_id, request.digest())
}

/// Waits until `revision` is in force or `wait` has passed. Returns the VMs that lag at the end, or
/// `None` where this replica has lost the leadership and can't know.
async fn wait_until_in_force(
    core: &Rc<RefCell<Core>>,
    revision: u64,
    wait: Duration,
) -> Option<Vec<Name>> {
    let deadline = core.borrow().now() + wait;
    loop {
        {
            let core = core.borrow();
            let now = core.now();
            let lagging = lagging(&core, revision);
            // The lease is checked after `lagging` was computed: if it is valid now, it was valid
            // then too.
            if core.has_leader_lease() && (lagging.is_empty() || now >= deadline) {
                return Some(lagging);
            }
            if now >= deadline {
                return None;
            }
        }
        tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

/// Returns the VMs whose entries may still use a revision older than `revision`, and a row for the
/// former leader's leases while they may still be valid.
fn lagging(core: &Core, revision: u64) -> Vec<Name> {
    core.leader_state
        .grantor
        .lagging(revision, core.now())
        .into_iter()
        .map(|lagging| match lagging {
            Lagging::Holder(vm) => vm,
            Lagging::Unknown => "leases of the former leader".into(),
        })
        .collect()
}

fn run_query(core: &Core, query: &Query) -> Reply {
    if !core.has_leader_lease() {
        return not_leader(core);
    }
    let mut report = core.state.query(query);
    if let Report::Status(status) = &mut report {
        status.lagging = lagging(core, core.state.revision);
        status.in_force = status.lagging.is_empty();
        status.leader = core.address.to_string();
        status.term = core.node.term();
        status.disk_bytes = core.disk_bytes;
        for (id, member) in &core.node.membership().members {
            let role = if member.voter { "voter" } else { "learner" };
            status
                .members
                .push((member.address.to_string(), id.to_string(), role.to_owned()));
        }
        for info in core.leader_state.listed_entries(&core.state) {
            status
                .entries
                .push((info.vm, info.data_centre, info.address.to_string()));
        }
    }
    Reply::Report(Box::new(report))
}
