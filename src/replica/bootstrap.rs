//! Creates the first log of a cluster, or joins an existing one with an empty disk.
//!
//! [`crate::policy::bootstrap`] has the conditions for a new log. As soon as a replica with a log is
//! found, this one asks to join it as a learner, under its new identity. It is looked for at the
//! addresses of the settings, and at those that other processes name: the settings may name only VMs
//! that are gone or have no replica.
//!
//! A replica that was removed while it was away finds itself in its own old log. So one that
//! follows no leader for a while asks to join as well; the leader ignores this from a member.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::Config;
use super::core::Core;
use crate::agreement::HardState;
use crate::agreement::Log;
use crate::agreement::Membership;
use crate::agreement::Node;
use crate::agreement::ReplicaId;
use crate::agreement::Restored;
use crate::agreement::Snapshot;
use crate::codec;
use crate::log::event;
use crate::peer::BootstrapStatus;
use crate::peer::Client;
use crate::peer::Reply;
use crate::peer::Request;
use crate::peer::discovery;
use crate::policy::bootstrap;
use crate::policy::bootstrap::NextStep;
use crate::policy::replica_discovery::QUESTION_INTERVAL;
use crate::policy::replica_discovery::Reports;
use crate::state::State;
use crate::storage;
use crate::storage::BootstrapPermission;
use crate::wait_notice::WaitNotice;

/// Time between two rounds of status requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Time within which a replica must reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Term and index of a new log's first snapshot.
const INITIAL_POSITION: u64 = 1;

/// Time without a leader after which a member asks to join: an election takes less.
const LEADERLESS_LIMIT: Duration = Duration::from_secs(1);

/// Time between two log lines on what a replica without a log waits for.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Creates a log or joins one, and joins again after a removal; never returns.
pub(super) async fn bootstrap(core: Rc<RefCell<Core>>, client: Client, cfg: Config) {
    let mut followed_at = core.borrow().now();
    let mut logged_at = followed_at;
    let mut search = WaitNotice::default();
    let mut next_question_at = Duration::ZERO;
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let now = core.borrow().now();
        if is_member(&core) {
            if core.borrow().leader_address().is_some() {
                followed_at = now;
                core.borrow_mut().clear_reported();
                if search.end() {
                    event!(Info, "leader_found", term = core.borrow().node.term());
                }
            }
            if now < followed_at + LEADERLESS_LIMIT {
                continue;
            }
        }
        if now >= next_question_at {
            next_question_at = now + QUESTION_INTERVAL;
            tokio::task::spawn_local(ask_others(core.clone(), cfg.clone()));
        }
        let (round, elsewhere) = tokio::join!(
            Round::run(&client, other_replicas(&core, &cfg)),
            Round::run(&client, replicas_elsewhere(&core, &cfg)),
        );
        if core.borrow().has_log() && search.is_due(now) {
            log_search(&core.borrow(), &round);
        }
        let next_step = decide(&core.borrow(), &cfg, &round, &elsewhere);
        let has_log = core.borrow().has_log();
        let mut can_create = false;
        if let NextStep::Bootstrap(members) = &next_step
            && !has_log
        {
            can_create = is_permitted(&core, &client, &cfg, members).await;
        }
        if !has_log && !can_create && now >= logged_at + WAIT_LOG_INTERVAL {
            log_wait(&next_step, &round);
            logged_at = now;
        }
        match next_step {
            NextStep::Bootstrap(members) if can_create => {
                // The first round saw the replicas at different times. If the second one sees the
                // same, there was a moment between them at which none had a log.
                let confirmed = Round::run(&client, other_replicas(&core, &cfg)).await;
                if confirmed.statuses == round.statuses && !core.borrow().has_log() {
                    core.borrow_mut().bootstrap(members, &cfg);
                }
            }
            NextStep::AwaitReplies(_) | NextStep::AwaitLog(_) | NextStep::Bootstrap(_) => {}
            NextStep::Join(addresses) => {
                end_permission(&core, &cfg).await;
                join(&core, &client, &cfg, &addresses).await;
            }
        }
    }
}

/// Decides what to do after `round` at the configured replicas and members, and one at the replicas
/// that are known beside them.
fn decide(core: &Core, cfg: &Config, round: &Round, elsewhere: &Round) -> NextStep {
    let (statuses, elsewhere) = (&round.statuses, &elsewhere.statuses);
    if cfg.replicas.contains(&cfg.advertise) {
        bootstrap::decide(cfg.advertise, core.node.id(), statuses, elsewhere)
    } else {
        bootstrap::decide_join(statuses, elsewhere)
    }
}

/// Logs that a replica with a log follows no leader, with the status of each replica that it knows of.
fn log_search(core: &Core, round: &Round) {
    let texts = round.statuses.iter().map(|(address, status)| {
        let text = match status {
            Some(status) if status.has_log => "log",
            Some(_) => "no_log",
            None if round.refusing.contains(address) => "refuses",
            None => "silent",
        };
        format!("{address}={text}")
    });
    let texts: Vec<String> = texts.collect();
    event!(
        Warn,
        "leader_missing",
        term = core.node.term(),
        index = core.node.log().last_index(),
        voters = core.node.membership().voters().count(),
        replicas = texts.join(",")
    );
}

/// Logs what a replica without a log waits for.
fn log_wait(next_step: &NextStep, round: &Round) {
    let (reason, replicas) = match next_step {
        NextStep::AwaitReplies(silent) => ("no reply", silent.clone()),
        NextStep::AwaitLog(lowest) => ("the lowest address creates the log", vec![*lowest]),
        NextStep::Bootstrap(_) => ("not permitted to create a log", Vec::new()),
        NextStep::Join(addresses) => ("asks to join", addresses.clone()),
    };
    let join = |addresses: &[SocketAddr]| {
        let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        texts.join(",")
    };
    event!(
        Warn,
        "log_missing",
        reason = reason,
        replicas = join(&replicas),
        refusing = join(&round.refusing)
    );
}

/// Returns the addresses for which this replica may create a log. A permission of the settings is
/// durable when this returns, before the replica takes part.
pub(super) fn load_permission(
    cfg: &Config,
    restored: &Restored,
) -> Result<Option<BTreeSet<SocketAddr>>, storage::Error> {
    let stored = BootstrapPermission::in_folder(&cfg.data);
    let held = stored.read()?;
    let (_, membership) = restored.log.membership();
    if !membership.members.is_empty() {
        if held.is_some() {
            remove_permission(&stored);
        }
        return Ok(None);
    }
    let replicas = configured_replicas(cfg);
    let is_granted = cfg.may_bootstrap && replicas.contains(&cfg.advertise);
    if !is_granted || held.as_ref() == Some(&replicas) {
        return Ok(held);
    }
    stored.write(&replicas)?;
    Ok(Some(replicas))
}

/// Removes a permission that is of no use any more. It may stay if the disk fails: a replica with a
/// log, or one that reaches another with a log, does not use it.
fn remove_permission(stored: &BootstrapPermission) {
    if let Err(e) = stored.remove() {
        event!(Warn, "bootstrap_permission_kept", error = e);
    }
}

/// Ends the permission of a replica that knows of a log.
async fn end_permission(core: &Rc<RefCell<Core>>, cfg: &Config) {
    if core.borrow_mut().bootstrap_permission.take().is_none() {
        return;
    }
    let stored = BootstrapPermission::in_folder(&cfg.data);
    let _ = tokio::task::spawn_blocking(move || remove_permission(&stored)).await;
}

/// Returns whether this replica may create a log: by its own permission, or by that of a majority
/// of the `members`, which it then keeps as its own.
async fn is_permitted(
    core: &Rc<RefCell<Core>>,
    client: &Client,
    cfg: &Config,
    members: &[(ReplicaId, SocketAddr)],
) -> bool {
    let replicas = configured_replicas(cfg);
    if bootstrap::covers(core.borrow().bootstrap_permission.as_ref(), &replicas) {
        return true;
    }
    let request = Request::BootstrapPermission(replicas.clone());
    let mut permitting = BTreeSet::new();
    for &(_, address) in members.iter().filter(|(_, a)| *a != cfg.advertise) {
        // A build without this request refuses it, so it doesn't count as permitting.
        let reply = client.call(address, &request, CALL_TIMEOUT).await;
        if let Ok(Reply::BootstrapPermission(Some(id))) = reply {
            permitting.insert(id);
        }
    }
    if !bootstrap::is_permitted_by_majority(members, &permitting) {
        return false;
    }
    // The others end their permissions when they hear of the log, which is lost if this process is
    // killed before the log is durable.
    let stored = BootstrapPermission::in_folder(&cfg.data);
    let written = replicas.clone();
    match tokio::task::spawn_blocking(move || stored.write(&written)).await {
        Ok(Ok(())) => {
            core.borrow_mut().bootstrap_permission = Some(replicas);
            event!(Info, "bootstrap_permitted", by = permitting.len());
            true
        }
        Ok(Err(e)) => {
            event!(Error, "disk_refuses", error = e);
            false
        }
        Err(_) => false,
    }
}

fn configured_replicas(cfg: &Config) -> BTreeSet<SocketAddr> {
    cfg.replicas.iter().copied().collect()
}

/// Asks other processes which replicas there are. The addresses of the settings are among them: a
/// process without a replica may have one of them.
async fn ask_others(core: Rc<RefCell<Core>>, cfg: Config) {
    let mut addresses = cfg.contacts.clone();
    addresses.extend(
        cfg.replicas
            .iter()
            .filter(|&&replica| replica != cfg.advertise),
    );
    let mut rng = fastrand::Rng::new();
    let listed = discovery::ask_for_replicas(&cfg.peer_key, addresses, &mut rng).await;
    core.borrow_mut().add_reported(listed);
}

/// Tells the VMs of the settings which replicas there are; never returns.
pub(super) async fn report_replicas(core: Rc<RefCell<Core>>, cfg: Config) {
    let current = || core.borrow().replicas_under_leader();
    discovery::report_replicas(&cfg.peer_key, &cfg.replicas, Reports::at_once(), current).await;
}

/// Returns the addresses of replicas that are neither configured nor members of the own log.
fn replicas_elsewhere(core: &Rc<RefCell<Core>>, cfg: &Config) -> BTreeSet<SocketAddr> {
    let mut addresses = core.borrow().known_replicas();
    let others = other_replicas(core, cfg);
    addresses.retain(|address| *address != cfg.advertise && !others.contains(address));
    addresses
}

/// Returns the addresses of the configured replicas and of the members of the own log, without this
/// replica's.
fn other_replicas(core: &Rc<RefCell<Core>>, cfg: &Config) -> BTreeSet<SocketAddr> {
    let core = core.borrow();
    let members = core.node.membership().members.values();
    let mut addresses: BTreeSet<SocketAddr> = members.map(|member| member.address).collect();
    addresses.extend(&cfg.replicas);
    addresses.remove(&cfg.advertise);
    addresses
}

/// A round of status requests.
struct Round {
    /// By address.
    statuses: Vec<(SocketAddr, Option<BootstrapStatus>)>,
    /// Addresses at which a process without a replica replied.
    refusing: Vec<SocketAddr>,
}

impl Round {
    /// Asks the replicas at `addresses` whether they have a log.
    async fn run(client: &Client, addresses: BTreeSet<SocketAddr>) -> Self {
        let mut calls = JoinSet::new();
        for address in addresses {
            let client = client.clone();
            calls.spawn_local(async move {
                let reply = client.call(address, &Request::BootstrapStatus, CALL_TIMEOUT);
                (address, reply.await)
            });
        }
        let mut replies = calls.join_all().await;
        replies.sort_unstable_by_key(|&(address, _)| address);
        let mut round = Self {
            statuses: Vec::new(),
            refusing: Vec::new(),
        };
        for (address, reply) in replies {
            let status = match reply {
                Ok(Reply::BootstrapStatus(status)) => Some(status),
                Ok(_) => {
                    round.refusing.push(address);
                    None
                }
                Err(_) => None,
            };
            round.statuses.push((address, status));
        }
        round
    }
}

fn is_member(core: &Rc<RefCell<Core>>) -> bool {
    let core = core.borrow();
    let id = core.node.id();
    core.node.membership().members.contains_key(&id)
}

/// Asks the leader to join, through the first of the replicas that is the leader or knows it.
async fn join(core: &Rc<RefCell<Core>>, client: &Client, cfg: &Config, replicas: &[SocketAddr]) {
    let request = Request::Join {
        id: core.borrow().node.id(),
        address: cfg.advertise,
    };
    for &address in replicas {
        let mut reply = client.call(address, &request, CALL_TIMEOUT).await;
        if let Ok(Reply::NotLeader {
            leader: Some(leader),
        }) = reply
        {
            reply = client.call(leader, &request, CALL_TIMEOUT).await;
        }
        match reply {
            Ok(Reply::Done) => return,
            Ok(Reply::Refused(reason)) => event!(Warn, "join_refused", reason = reason),
            _ => {}
        }
    }
}

impl Core {
    /// Creates a log in which all `members` are voters.
    fn bootstrap(&mut self, members: Vec<(ReplicaId, SocketAddr)>, cfg: &Config) {
        event!(Info, "log_formed", members = members.len());
        let snapshot = Snapshot {
            index: INITIAL_POSITION,
            term: INITIAL_POSITION,
            membership: Membership::from_voters(members),
            data: codec::encode(&State::default()),
        };
        let hard_state = HardState {
            // A term in which this replica has not voted yet.
            term: self.node.term() + 1,
            vote: None,
        };
        let restored = Restored {
            hard_state,
            log: Log::new(snapshot.clone(), Vec::new()),
        };
        let now = self.now();
        let id = self.node.id();
        self.node = Node::new(id, restored, cfg.settings, fastrand::u64(..), now);
        self.save_snapshot(snapshot);
    }
}
