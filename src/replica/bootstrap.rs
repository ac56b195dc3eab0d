//! Creates the first log of a cluster, or joins an existing one with an empty disk.
//!
//! A replica with an empty disk can't tell whether it is new or has lost its data. So a log is
//! created only when *all* configured addresses reply and *none* of them has a log. As soon as one
//! of them has a log, the replica asks to join it as a learner, under its new identity.
//!
//! A replica that was removed while it was away finds itself in its own old log. So one that
//! follows no leader for a while asks to join as well; the leader ignores this from a member.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
use crate::state::State;

/// Time between two rounds of status requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Time within which a replica must reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Term and index of a new log's first snapshot.
const INITIAL_POSITION: u64 = 1;

/// Time without a leader after which a member asks to join: an election takes less.
const LEADERLESS_LIMIT: Duration = Duration::from_secs(1);

/// Creates a log or joins one, and joins again after a removal; never returns.
pub(super) async fn bootstrap(core: Rc<RefCell<Core>>, client: Client, cfg: Config) {
    let mut followed_at = core.borrow().now();
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let now = core.borrow().now();
        if is_member(&core) {
            if core.borrow().leader_address().is_some() {
                followed_at = now;
            }
            if now < followed_at + LEADERLESS_LIMIT {
                continue;
            }
        }
        let mut statuses = Vec::new();
        for address in other_replicas(&core, &cfg) {
            statuses.push((address, fetch_status(&client, address).await));
        }
        let id = core.borrow().node.id();
        let next_step = if cfg.replicas.contains(&cfg.advertise) {
            decide(cfg.advertise, id, &statuses)
        } else {
            decide_join(&statuses)
        };
        match next_step {
            NextStep::Bootstrap(members) if cfg.may_bootstrap && !has_log(&core) => {
                core.borrow_mut().bootstrap(members, &cfg);
            }
            NextStep::Wait | NextStep::Bootstrap(_) => {}
            NextStep::Join(addresses) => join(&core, &client, &cfg, &addresses).await,
        }
    }
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

/// What to do after one round of status requests.
#[derive(Debug, Eq, PartialEq)]
enum NextStep {
    /// Asks again in the next round.
    Wait,
    /// Creates a log with these members.
    Bootstrap(Vec<(ReplicaId, SocketAddr)>),
    /// Asks the replicas at these addresses, which have a log, to join it.
    Join(Vec<SocketAddr>),
}

/// Decides for a replica outside the configured ones, which may join a log but not create one.
fn decide_join(statuses: &[(SocketAddr, Option<BootstrapStatus>)]) -> NextStep {
    let addresses: Vec<SocketAddr> = statuses
        .iter()
        .filter(|(_, status)| status.is_some_and(|status| status.has_log))
        .map(|(address, _)| *address)
        .collect();
    if addresses.is_empty() {
        return NextStep::Wait;
    }
    NextStep::Join(addresses)
}

fn decide(
    own_address: SocketAddr,
    id: ReplicaId,
    statuses: &[(SocketAddr, Option<BootstrapStatus>)],
) -> NextStep {
    if let NextStep::Join(addresses) = decide_join(statuses) {
        return NextStep::Join(addresses);
    }
    let mut members = vec![(id, own_address)];
    for (address, status) in statuses {
        let Some(status) = status else {
            return NextStep::Wait;
        };
        members.push((status.id, *address));
    }
    // The replica with the lowest address creates the log and sends it to the others.
    let lowest = members.iter().map(|(_, address)| *address).min();
    if lowest == Some(own_address) {
        NextStep::Bootstrap(members)
    } else {
        NextStep::Wait
    }
}

fn is_member(core: &Rc<RefCell<Core>>) -> bool {
    let core = core.borrow();
    let id = core.node.id();
    core.node.membership().members.contains_key(&id)
}

fn has_log(core: &Rc<RefCell<Core>>) -> bool {
    !core.borrow().node.membership().members.is_empty()
}

async fn fetch_status(client: &Client, address: SocketAddr) -> Option<BootstrapStatus> {
    match client
        .call(address, &Request::BootstrapStatus, CALL_TIMEOUT)
        .await
    {
        Ok(Reply::BootstrapStatus(status)) => Some(status),
        _ => None,
    }
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
            term: INITIAL_POSITION.max(self.node.term()),
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
