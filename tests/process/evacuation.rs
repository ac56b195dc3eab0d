//! Evacuation of data centres: the whole path from the order to the upstreams, through a restart of
//! everything.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::Command;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use daisyquay::peer::Caller;
use daisyquay::peer::Client;
use daisyquay::peer::Handler;
use daisyquay::peer::OperatorChange;
use daisyquay::peer::OperatorChangeReply;
use daisyquay::peer::Reply;
use daisyquay::peer::Request;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::state::query::Query;
use daisyquay::state::query::Report;
use daisyquay::state::query::StatusReport;
use serde_json::json;

use crate::gateway::ROUTES;
use crate::gateway::announce_in;
use crate::gateway::send_heartbeat;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::PEER_KEY;
use crate::support::Program;
use crate::support::Response;
use crate::support::Upstream;
use crate::support::chunk;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::post;
use crate::support::run;
use crate::support::send;
use crate::support::sse_event;
use crate::support::start_stub_replica;
use crate::support::stream_response_head;
use crate::support::write;

/// Longest time from the acknowledgement of an order until it is in force.
const IN_FORCE: Duration = Duration::from_secs(5);

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Requests sent to see which data centre they reach.
const SAMPLE: usize = 30;

/// A cluster of three replicas and a gateway in front of one upstream in each of two data centres.
struct Setup {
    cluster: Cluster,
    gateway: Program,
    address: SocketAddr,
    upstreams: [Upstream; 2],
    /// The upstreams send heartbeats until it is dropped.
    _is_running: Arc<()>,
}

fn call(address: SocketAddr, path: &str, id: &str) -> Option<Response> {
    let headers = [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", "60000"),
    ];
    send("POST", address, path, &headers, "")
}

impl Setup {
    /// Streams send their second half only after `gate` was passed.
    fn new(gate: &Arc<Barrier>) -> Self {
        let upstreams = [(), ()].map(|()| {
            let gate = gate.clone();
            Upstream::start(move |request, out| {
                if !request.request_line.contains("/notes/") {
                    return write(out, &ok_response(request, "ok"));
                }
                write(out, &stream_response_head(request));
                write(out, &chunk(&sse_event(1)));
                gate.wait();
                write(out, &chunk(&sse_event(2))) && write(out, "0\r\n\r\n")
            })
        });
        let cluster = Cluster::start(3, 1);
        let inventory = format!("{INVENTORY}{ROUTES}")
            .replace("gap_ms = 400", "gap_ms = 60000")
            .replace("timeout_ms = 8000", "timeout_ms = 60000");
        cluster.apply(&inventory, &["--change-id", "first"]);
        for (i, upstream) in upstreams.iter().enumerate() {
            let data_centre = format!("dc{}", i + 1);
            announce_in(&cluster, &data_centre, &format!("u{i}"), upstream.address);
        }
        let is_running = Arc::new(());
        for (i, upstream) in upstreams.iter().enumerate() {
            let is_running = Arc::downgrade(&is_running);
            let (entry, address) = (cluster.entry_addresses[0], upstream.address);
            thread::spawn(move || {
                while is_running.upgrade().is_some() {
                    thread::sleep(HEARTBEAT_INTERVAL);
                    send_heartbeat(entry, &format!("dc{}", i + 1), &format!("u{i}"), address);
                }
            });
        }
        let (gateway, address) = cluster.start_gateway();
        let setup = Self {
            _is_running: is_running,
            cluster,
            gateway,
            address,
            upstreams,
        };
        setup.wait_until_served();
        setup
    }

    fn wait_until_served(&self) {
        eventually("a request is served", || {
            let response = call(self.address, "/lookup/a", "probe")?;
            (response.status == 200).then_some(())
        });
    }

    fn order(&self, action: &str, data_centre: &str) -> String {
        let output = self.cluster.run_cli(&["evacuate", action, data_centre]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{text}");
        text
    }

    /// Returns how many of `SAMPLE` requests reach each data centre.
    fn sample(&self) -> [usize; 2] {
        let before = self.upstreams.each_ref().map(|u| u.received().len());
        for i in 0..SAMPLE {
            let response = call(self.address, "/lookup/a", &format!("sample-{i}")).unwrap();
            assert_eq!(response.status, 200, "{}", response.body);
        }
        let after = self.upstreams.each_ref().map(|u| u.received().len());
        [after[0] - before[0], after[1] - before[1]]
    }

    fn wait_until_only(&self, data_centre: usize) {
        eventually("requests reach one data centre only", || {
            (self.sample()[1 - data_centre] == 0).then_some(())
        });
    }
}

/// Guards against an evacuation that cuts off running streams, lets a request through, or is
/// forgotten when all replicas or the gateway start anew.
#[test]
fn evacuated_data_centre_gets_no_request_until_the_evacuation_is_finished() {
    let gate = Arc::new(Barrier::new(2));
    let mut setup = Setup::new(&gate);
    // The gateway prefers its own data centre.
    assert_eq!(setup.sample(), [SAMPLE, 0]);
    let address = setup.address;
    let stream = thread::spawn(move || call(address, "/notes/a", "stream"));
    eventually("the stream runs in dc1", || {
        let received = setup.upstreams[0].received();
        received
            .iter()
            .any(|request| request.attempt_id() == "stream")
            .then_some(())
    });
    setup.order("begin", "dc1");
    thread::sleep(IN_FORCE);
    assert_eq!(setup.sample(), [0, SAMPLE]);
    gate.wait();
    let response = stream.join().unwrap().unwrap();
    assert_eq!(response.body, format!("{}{}", sse_event(1), sse_event(2)));
    assert!(!response.is_truncated);

    for replica in &mut setup.cluster.replicas {
        replica.kill();
    }
    setup.gateway.kill();
    for i in 0..3 {
        setup.cluster.replicas[i] = setup.cluster.start_replica(i);
    }
    setup.gateway = setup.cluster.start_gateway_at(setup.address);
    setup.wait_until_served();
    assert_eq!(setup.sample(), [0, SAMPLE]);
    let status = eventually("there is a leader", || {
        let status = setup.cluster.show("status");
        status.is_object().then_some(status)
    });
    assert_eq!(status["evacuated"], json!(["dc1"]));

    setup.order("finish", "dc1");
    setup.wait_until_only(0);
}

/// Guards against requests that wait for their deadline, or are sent all the same, while no data
/// centre may serve them, and against callers that all retry at the same moment.
#[test]
fn refuses_requests_at_once_while_all_upstreams_are_evacuated() {
    let setup = Setup::new(&Arc::new(Barrier::new(1)));
    setup.order("begin", "dc1");
    setup.order("begin", "dc2");
    let unchanged = setup.order("begin", "dc2");
    assert!(unchanged.contains("revision 3"), "{unchanged}");
    thread::sleep(IN_FORCE);
    let before = setup.upstreams.each_ref().map(|u| u.received().len());
    let mut waits = Vec::new();
    for i in 0..SAMPLE {
        let start = std::time::Instant::now();
        let response = call(setup.address, "/lookup/a", &format!("r{i}")).unwrap();
        assert!(start.elapsed() < Duration::from_millis(500));
        assert_eq!(response.status, 503);
        assert_eq!(response.json()["error"]["code"], "evacuated");
        waits.push(response.header("retry-after").parse().unwrap());
    }
    assert!(waits.iter().all(|wait: &f64| (1.0..=2.0).contains(wait)));
    waits.sort_by(f64::total_cmp);
    waits.dedup();
    assert!(waits.len() > SAMPLE / 2, "{waits:?}");
    assert_eq!(
        setup.upstreams.each_ref().map(|u| u.received().len()),
        before
    );
    let unknown = setup.cluster.run_cli(&["evacuate", "begin", "dc9"]);
    let text = String::from_utf8_lossy(&unknown.stdout).into_owned()
        + &String::from_utf8_lossy(&unknown.stderr);
    assert!(!unknown.status.success());
    assert!(
        text.contains("dc9") && text.contains("--data-centres"),
        "{text}"
    );
    setup.order("finish", "dc2");
    setup.wait_until_served();
    setup.wait_until_only(1);
}

/// A leader that reports 7 evacuation orders and has accepted 9 when the first change arrives.
#[derive(Clone, Default)]
struct BusyLeader {
    changes: Arc<Mutex<Vec<OperatorChange>>>,
}

impl Handler for BusyLeader {
    fn call(&self, _: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        let reply = match request {
            Request::Change(change) => {
                let mut changes = self.changes.lock().unwrap();
                changes.push(change);
                Reply::Change(OperatorChangeReply {
                    outcome: if changes.len() == 1 {
                        ChangeOutcome::EvacuationConflict { orders: 9 }
                    } else {
                        ChangeOutcome::Accepted { revision: 3 }
                    },
                    in_force: None,
                    lagging: Vec::new(),
                })
            }
            _ => Reply::Report(Box::new(Report::Status(Box::new(StatusReport {
                evacuation_orders: 7,
                ..StatusReport::default()
            })))),
        };
        Box::pin(async { reply })
    }
}

/// Guards against an order of the command line that applies after later orders, whatever its flags,
/// and against one that is given up when another order comes first or that then loses its id.
#[test]
fn order_of_the_command_line_applies_only_to_the_current_number_of_orders() {
    for (flags, id, revision) in [
        (&[][..], None, None),
        (&["--change-id", "a"][..], Some("a"), None),
        (&["--expect-revision", "3"][..], None, Some(3)),
    ] {
        let leader = BusyLeader::default();
        let address = start_stub_replica(leader.clone()).to_string();
        let output = run(Command::new(env!("CARGO_BIN_EXE_daisyquay"))
            .args(["--state", &address, "--operator-key", PEER_KEY])
            .args(["evacuate", "begin", "dc1"])
            .args(flags));
        assert!(output.status.success(), "{output:?}");
        let changes = leader.changes.lock().unwrap();
        let orders = changes.iter().map(|change| match change.change {
            Change::Evacuate {
                expected_orders, ..
            } => (expected_orders, change.expected_revision),
            _ => panic!("{change:?}"),
        });
        assert!(orders.eq([(Some(7), revision), (Some(9), revision)]));
        match id {
            Some(id) => assert!(changes.iter().all(|change| *change.change_id == *id)),
            None => assert_ne!(changes[0].change_id, changes[1].change_id),
        }
    }
}

/// Sends a request to the leader on behalf of an operator.
fn call_leader(replica: SocketAddr, request: Request) -> Option<Reply> {
    let request = Request::OnBehalf {
        who: "ann".into(),
        request: Box::new(request),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let client = Client::new(PEER_KEY);
    let call = client.call(replica, &request, Duration::from_secs(3));
    tokio::task::LocalSet::new().block_on(&runtime, call).ok()
}

fn releases(cluster: &Cluster) -> String {
    eventually("the leader reports the releases", || {
        let replica = cluster.replica_addresses[cluster.leader()];
        match call_leader(replica, Request::Query(Query::Releases))? {
            Reply::Report(report) => match *report {
                Report::Releases(releases) => Some(format!("{releases:?}")),
                _ => None,
            },
            _ => None,
        }
    })
}

/// Guards against a gateway that loses or reorders the orders that the other replicas accept while the
/// leader is cut off, or that takes an earlier configuration from it afterwards.
#[test]
fn gateway_applies_the_orders_of_a_cut_of_the_leader() {
    let setup = Setup::new(&Arc::new(Barrier::new(1)));
    setup.order("begin", "dc1");
    setup.wait_until_only(1);
    let leader = &setup.cluster.replicas[setup.cluster.leader()];
    leader.suspend();
    for (action, data_centre) in [("finish", "dc1"), ("begin", "dc2")] {
        eventually("the order is accepted", || {
            let order = ["evacuate", action, data_centre, "--change-id", action];
            setup.cluster.run_cli(&order).status.success().then_some(())
        });
    }
    setup.wait_until_only(0);
    leader.resume();
    eventually("the former leader follows", || {
        let status = setup.cluster.show("status");
        (status["evacuation_orders"] == 3 && status["evacuated"] == json!(["dc2"])).then_some(())
    });
    assert_eq!(setup.sample(), [SAMPLE, 0]);
}

/// Guards against an order that is lost or applied twice while the leader is cut off from the other
/// replicas, that changes a rollout or a drain, and against a request that is refused without the
/// cause while the rollout restricts it to the release in the evacuated data centre.
#[test]
fn evacuation_leaves_a_rollout_and_a_drain_as_they_are_and_takes_effect_once() {
    let upstreams =
        [(); 2].map(|()| Upstream::start(|request, out| write(out, &ok_response(request, "ok"))));
    let cluster = Cluster::start(3, 1);
    let inventory = format!("{INVENTORY}{ROUTES}");
    cluster.apply(&inventory, &["--change-id", "first"]);
    let announce = |i: usize| {
        let body = json!({
            "id": format!("u{i}"),
            "incarnation": 1,
            "address": upstreams[i].address.to_string(),
            "data_centre": format!("dc{}", i + 1),
            "serves": { "service": "previews" },
            "slots": 8,
            "release": format!("v{}", i + 1),
        });
        let headers = [("authorization", "Bearer dev-upstream-key")];
        eventually("the upstream is announced", || {
            let entry = cluster.entry_addresses[0];
            let reply = post(entry, "/upstream/announce", &headers, &body.to_string())?;
            (reply.status == 204).then_some(())
        });
    };
    announce(0);
    eventually("the first release is the stable one", || {
        releases(&cluster).contains("v1").then_some(())
    });
    let start = Request::Change(OperatorChange {
        change_id: "rollout".into(),
        expected_revision: None,
        change: Change::ReleaseStart {
            service: "previews".into(),
            target: "v2".into(),
            period_ms: 3_600_000,
        },
        wait_ms: 0,
    });
    let leader = cluster.leader();
    let reply = call_leader(cluster.replica_addresses[leader], start);
    assert!(matches!(reply, Some(Reply::Change(_))), "{reply:?}");
    announce(1);
    assert!(cluster.run_cli(&["drain", "entry-9"]).status.success());
    let before = releases(&cluster);

    // The leader is cut off; the others accept the order, and its repetition has the same outcome.
    let order = ["evacuate", "begin", "dc1", "--change-id", "begin"];
    cluster.replicas[leader].suspend();
    let first = eventually("the order is accepted", || {
        let output = cluster.run_cli(&order);
        output.status.success().then_some(output)
    });
    cluster.replicas[leader].resume();
    assert_eq!(cluster.run_cli(&order).stdout, first.stdout);
    let status = cluster.show("status");
    assert_eq!(status["evacuated"], json!(["dc1"]));
    assert_eq!(status["evacuation_orders"], 1);
    assert_eq!(status["draining"], json!(["entry-9"]));
    assert_eq!(releases(&cluster), before);

    let (_gateway, address) = cluster.start_gateway();
    let outcome = |id: &str| {
        let response = call(address, "/lookup/a", id)?;
        let code = response.json()["error"]["code"].as_str().map(str::to_owned);
        Some((code, response))
    };
    eventually("the gateway has its configuration", || {
        let code = outcome("probe")?.0;
        (code.is_none() || code.as_deref() == Some("evacuated")).then_some(())
    });
    let mut evacuated = 0;
    for i in 0..SAMPLE {
        let (code, response) = outcome(&format!("sample-{i}")).unwrap();
        match code.as_deref() {
            // One of the few requests for the new release.
            None => assert_eq!(response.status, 200),
            Some("evacuated") => {
                evacuated += 1;
                let wait: f64 = response.header("retry-after").parse().unwrap();
                assert!((1.0..=2.0).contains(&wait), "{wait}");
            }
            Some(code) => panic!("{code}"),
        }
    }
    assert!(evacuated > SAMPLE / 2, "{evacuated}");
    assert!(upstreams[0].received().is_empty());
}
