//! How a log begins, and how a replica with an empty disk finds its way in.
//!
//! A replica with an empty disk can't know whether it is new or has lost what it held. So a log is
//! formed only when *all* configured addresses answer and *all* say that they know of none; as soon
//! as one knows a log, the replica asks to join that as a learner, under its new identity.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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

/// Time between rounds of asking.
const ROUND: Duration = Duration::from_millis(250);

/// Time in which an address must answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Term and index of a new log's first snapshot.
const FIRST: u64 = 1;

/// Forms a log or joins one, then returns.
pub(super) async fn form(core: Rc<RefCell<Core>>, client: Client, cfg: Config) {
    loop {
        if is_member(&core) {
            return;
        }
        let others: Vec<SocketAddr> = cfg
            .replicas
            .iter()
            .copied()
            .filter(|&address| address != cfg.advertise)
            .collect();
        let mut answers = Vec::new();
        for &address in &others {
            answers.push((address, ask(&client, address).await));
        }
        let id = core.borrow().node.id();
        let verdict = if cfg.replicas.contains(&cfg.advertise) {
            verdict(cfg.advertise, id, &answers)
        } else {
            joins_only(&answers)
        };
        match verdict {
            Verdict::Form(members) if cfg.may_bootstrap => {
                core.borrow_mut().form(members, &cfg);
                return;
            }
            Verdict::Wait | Verdict::Form(_) => {}
            Verdict::Join(address) => join(&core, &client, &cfg, address).await,
        }
        tokio::time::sleep(ROUND).await;
    }
}

/// What to do after one round of asking.
#[derive(Debug, Eq, PartialEq)]
enum Verdict {
    Wait,
    Form(Vec<(ReplicaId, SocketAddr)>),
    Join(SocketAddr),
}

/// What a replica does that is not among the first ones.
fn joins_only(answers: &[(SocketAddr, Option<BootstrapStatus>)]) -> Verdict {
    answers
        .iter()
        .find(|(_, answer)| answer.is_some_and(|answer| answer.has_log))
        .map_or(Verdict::Wait, |(address, _)| Verdict::Join(*address))
}

fn verdict(
    own: SocketAddr,
    id: ReplicaId,
    answers: &[(SocketAddr, Option<BootstrapStatus>)],
) -> Verdict {
    if let Verdict::Join(address) = joins_only(answers) {
        return Verdict::Join(address);
    }
    let mut members = vec![(id, own)];
    for (address, answer) in answers {
        let Some(answer) = answer else {
            return Verdict::Wait;
        };
        members.push((answer.id, *address));
    }
    // One forms the log; the others hear from it.
    let first = members.iter().map(|(_, address)| *address).min();
    if first == Some(own) {
        Verdict::Form(members)
    } else {
        Verdict::Wait
    }
}

fn is_member(core: &Rc<RefCell<Core>>) -> bool {
    let core = core.borrow();
    let id = core.node.id();
    core.node.membership().members.contains_key(&id)
}

async fn ask(client: &Client, address: SocketAddr) -> Option<BootstrapStatus> {
    match client
        .call(address, &Request::BootstrapStatus, ANSWER_LIMIT)
        .await
    {
        Ok(Reply::BootstrapStatus(formation)) => Some(formation),
        _ => None,
    }
}

async fn join(core: &Rc<RefCell<Core>>, client: &Client, cfg: &Config, address: SocketAddr) {
    let request = Request::Join {
        id: core.borrow().node.id(),
        address: cfg.advertise,
    };
    let reply = client.call(address, &request, ANSWER_LIMIT).await;
    if let Ok(Reply::NotLeader {
        leader: Some(leader),
    }) = reply
    {
        let _ = client.call(leader, &request, ANSWER_LIMIT).await;
    }
}

impl Core {
    /// Begins a log whose members all vote.
    fn form(&mut self, members: Vec<(ReplicaId, SocketAddr)>, cfg: &Config) {
        event!(Info, "log_formed", members = members.len());
        let snapshot = Snapshot {
            index: FIRST,
            term: FIRST,
            membership: Membership::from_voters(members),
            data: codec::encode(&State::default()),
        };
        let hard_state = HardState {
            term: FIRST.max(self.node.term()),
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
