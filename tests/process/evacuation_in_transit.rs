//! Evacuations that begin while a request or a configuration is on its way, with a stub leader that
//! chooses the moment.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use daisyquay::collections::Name;
use daisyquay::config;
use daisyquay::peer::Caller;
use daisyquay::peer::ConfigUpdate;
use daisyquay::peer::ConfigView;
use daisyquay::peer::DirectoryUpdate;
use daisyquay::peer::Grant;
use daisyquay::peer::Handler;
use daisyquay::peer::Renewal;
use daisyquay::peer::Reply;
use daisyquay::peer::Request;
use daisyquay::peer::TargetCount;
use daisyquay::state::State;
use daisyquay::state::Target;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeRequest;
use daisyquay::state::command::Command;
use daisyquay::state::command::LedgerOp;
use daisyquay::state::command::Op;
use daisyquay::state::command::Outcome;
use daisyquay::upstream::Announcement;
use daisyquay::upstream::Serves;

use crate::gateway::ROUTES;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Upstream;
use crate::support::chat_body;
use crate::support::chat_response;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::send;
use crate::support::start_stub_replica;
use crate::support::write;

const VERSION: &str = "notes@small";

/// A leader whose state the test changes.
#[derive(Clone, Default)]
struct StubLeader {
    state: Arc<Mutex<State>>,
    /// Newest revision that a renewal has named.
    held: Arc<AtomicU64>,
    /// Whether it sends the configuration of revision 1 to whoever fetches one, as a replica does
    /// that lags behind, and none with its grants.
    lags: Arc<AtomicBool>,
    fetches: Arc<AtomicU64>,
    /// Whether a claim has come.
    has_claim: Arc<AtomicBool>,
}

fn view(state: &State) -> ConfigView {
    ConfigView {
        revision: state.revision,
        inventory: state.inventory.clone(),
        evacuated: state.evacuated.clone(),
        ..ConfigView::default()
    }
}

impl StubLeader {
    /// Returns a leader of an upstream in each of dc1 and dc2, and its address.
    fn start(upstreams: &[Upstream; 2], serves: &Serves) -> (Self, SocketAddr) {
        let leader = Self::default();
        let inventory = config::parse(&format!("{INVENTORY}{ROUTES}")).unwrap();
        leader.change(Change::Apply(Arc::new(inventory)));
        for (i, upstream) in upstreams.iter().enumerate() {
            leader.apply(Op::Announce(Announcement {
                id: format!("u{i}").into(),
                incarnation: 1,
                address: upstream.address,
                data_centre: format!("dc{}", i + 1).into(),
                serves: serves.clone(),
                slots: 8,
                fences_orders: false,
                release: None,
                started_ms: None,
                draining: false,
                cold_ms: 0,
            }));
        }
        let address = start_stub_replica(leader.clone());
        (leader, address)
    }

    fn apply(&self, op: Op) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let index = state.applied + 1;
        state.apply(index, Command { at_ms: index, op })
    }

    fn change(&self, change: Change) {
        self.apply(Op::Change(ChangeRequest {
            change_id: change.to_string().into(),
            who: "test".into(),
            expected_revision: None,
            change,
        }));
    }

    fn evacuate(&self, data_centre: Name) {
        self.change(Change::Evacuate {
            data_centre,
            active: true,
            expected_orders: None,
        });
    }

    fn grant(&self, renewal: &Renewal) -> Grant {
        let state = self.state.lock().unwrap();
        let is_sent = renewal.revision < state.revision && !self.lags.load(Ordering::SeqCst);
        Grant {
            term: 1,
            wants_info: false,
            revision: state.revision,
            config: is_sent.then(|| ConfigUpdate::between(&ConfigView::default(), &view(&state))),
            directory: DirectoryUpdate::after(
                &state.directory,
                renewal.directory_index,
                state.applied,
            ),
            loads: Vec::new(),
            loads_version: 0,
            entries: Some(Vec::new()),
            entries_version: 0,
            is_unlisted: false,
            quality: Vec::new(),
            quality_version: 0,
            slots: vec![TargetCount {
                target: Target::Version(VERSION.parse().unwrap()),
                count: 4,
            }],
            replicas: None,
            replicas_digest: 0,
            suspects: Vec::new(),
            partial_entries: None,
        }
    }

    /// Evacuates the data centre of the upstream that the first claim names, and replies once the
    /// sender has that configuration.
    async fn claim(self, ops: Vec<LedgerOp>) -> Reply {
        for op in &ops {
            let LedgerOp::Claim(claim) = op else { continue };
            if self.has_claim.swap(true, Ordering::SeqCst) {
                continue;
            }
            let directory = self.state.lock().unwrap().directory.clone();
            let chosen = directory.get(&claim.upstream).unwrap();
            self.evacuate(chosen.announced.data_centre.clone());
        }
        let revision = self.state.lock().unwrap().revision;
        while self.held.load(Ordering::SeqCst) < revision {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        match self.apply(Op::Ledger(ops)) {
            Outcome::Ledger(outcomes) => Reply::Ledger(outcomes),
            _ => Reply::Done,
        }
    }
}

impl Handler for StubLeader {
    fn call(&self, _: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        let reply = match request {
            Request::Renew(renewal) => {
                self.held.fetch_max(renewal.revision, Ordering::SeqCst);
                Reply::Grant(Box::new(self.grant(&renewal)))
            }
            Request::ConfigUpdate { .. } => {
                self.fetches.fetch_add(1, Ordering::SeqCst);
                let mut view = view(&self.state.lock().unwrap());
                if self.lags.load(Ordering::SeqCst) {
                    view.revision = 1;
                    view.evacuated.clear();
                }
                let update = ConfigUpdate::between(&ConfigView::default(), &view);
                Reply::ConfigUpdate(Some(update))
            }
            Request::Ledger(ops) => return Box::pin(self.clone().claim(ops)),
            _ => Reply::Done,
        };
        Box::pin(async { reply })
    }
}

/// Guards against a chat request that is sent to an upstream which was chosen before its data centre
/// was evacuated.
#[test]
fn entry_chooses_again_if_the_evacuation_began_while_the_claim_was_made_durable() {
    let upstreams =
        [(); 2].map(|()| Upstream::start(|request, out| write(out, &chat_response(request))));
    let serves = Serves::Versions(vec![VERSION.parse().unwrap()]);
    let (leader, address) = StubLeader::start(&upstreams, &serves);
    let mut cluster = Cluster::start(0, 0);
    cluster.configured_replicas = vec![address];
    cluster.add_entry("dc1");
    let body = chat_body(VERSION, "hello", 3, false);
    // A request with a key is sent only after its claim is durable.
    eventually("the entry serves a request", || {
        let response = cluster.chat(0, &[("idempotency-key", "k")], &body)?;
        (response.status == 200).then_some(())
    });
    let evacuated = leader.state.lock().unwrap().evacuated.clone();
    assert_eq!(evacuated.len(), 1);
    for (i, upstream) in upstreams.iter().enumerate() {
        let is_evacuated = evacuated.contains(&Name::from(format!("dc{}", i + 1)));
        let expected = usize::from(!is_evacuated);
        assert_eq!(upstream.received().len(), expected, "{evacuated:?}");
    }
}

/// Guards against a gateway that starts anew during an evacuation, and sends requests to the data
/// centre because a replica that lags behind gave it an earlier configuration.
#[test]
fn gateway_without_a_configuration_takes_none_that_is_older_than_the_leaders() {
    let upstreams =
        [(); 2].map(|()| Upstream::start(|request, out| write(out, &ok_response(request, "ok"))));
    let serves = Serves::Service("previews".into());
    let (leader, address) = StubLeader::start(&upstreams, &serves);
    leader.evacuate("dc1".into());
    leader.evacuate("dc2".into());
    leader.lags.store(true, Ordering::SeqCst);
    let mut cluster = Cluster::start(0, 0);
    cluster.configured_replicas = vec![address];
    let (_gateway, address) = cluster.start_gateway();
    let code = || {
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", "a"),
        ];
        let response = send("POST", address, "/lookup/a", &headers, "")?;
        response.json()["error"]["code"].as_str().map(str::to_owned)
    };
    eventually("the earlier configuration is offered often", || {
        (leader.fetches.load(Ordering::SeqCst) >= 6).then_some(())
    });
    assert_eq!(code().as_deref(), Some("no_configuration"));
    leader.lags.store(false, Ordering::SeqCst);
    eventually("the leader's configuration is in force", || {
        let code = code()?;
        assert!(
            ["no_configuration", "evacuated"].contains(&&*code),
            "{code}"
        );
        (code == "evacuated").then_some(())
    });
    assert!(
        upstreams
            .iter()
            .all(|upstream| upstream.received().is_empty())
    );
}
