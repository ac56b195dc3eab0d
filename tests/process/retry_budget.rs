//! The retry budget of a service, over gateways that start while it is in use.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use daisyquay::peer::Caller;
use daisyquay::peer::Client;
use daisyquay::peer::Handler;
use daisyquay::peer::Reply;
use daisyquay::peer::Request;

use crate::gateway::ROUTES;
use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::PEER_KEY;
use crate::support::Program;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::send;
use crate::support::start_stub_replica;
use crate::support::write;

/// Length of the budget's window, and the retries that it allows beyond the ratio, as documented for
/// `daisyquay-gateway`.
const WINDOW: Duration = Duration::from_secs(10);
const SLACK: usize = 50;

const RATIO: f64 = 0.1;

/// Requests that each gateway gets after its start. Each is rejected by all upstreams that it
/// reaches, four at most.
const REQUESTS: usize = 16;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

/// Upstreams that reject every request, and what reached them.
struct Rejecting {
    cluster: Cluster,
    upstreams: Vec<Upstream>,
    arrivals: Arrivals,
}

impl Rejecting {
    fn new() -> Self {
        let cluster = Cluster::start(1, 1);
        let inventory = format!("{INVENTORY}{ROUTES}");
        cluster.apply(&inventory, &["--change-id", "first"]);
        let arrivals = Arrivals::default();
        let upstreams = (0..5).map(|_| start_rejecting(&arrivals)).collect();
        let rejecting = Self {
            cluster,
            upstreams,
            arrivals,
        };
        for (i, upstream) in rejecting.upstreams.iter().enumerate() {
            announce(&rejecting.cluster, &format!("u{i}"), upstream.address);
        }
        rejecting
    }

    fn start_gateway(&self) -> (Program, SocketAddr) {
        let address = crate::support::free_address();
        let flags = ["--repeat-ratio", &RATIO.to_string()];
        let program = self.cluster.start_gateway_with(address, &flags);
        eventually("the gateway has its routes", || {
            let reply = call(address, "/nowhere/", "probe")?;
            (reply.status == 404).then_some(())
        });
        (program, address)
    }

    /// Checks the arrivals of every window against the budget. All requests count in each window, so
    /// that a test that takes longer is no stricter.
    fn check(&self, requests: usize) {
        let arrivals = self.arrivals.lock().unwrap();
        let mut known = std::collections::HashSet::new();
        let repeats: Vec<Instant> = arrivals
            .iter()
            .filter(|(_, id)| !known.insert(id))
            .map(|(at, _)| *at)
            .collect();
        assert_eq!(known.len(), requests, "some requests reached no upstream");
        let in_window = |end: &Instant| {
            let is_inside = |at: &&Instant| *at <= end && **at + WINDOW > *end;
            repeats.iter().filter(is_inside).count()
        };
        let most = repeats.iter().map(in_window).max().unwrap_or(0);
        let allowed = (requests as f64 * RATIO) as usize + SLACK;
        assert!(
            most <= allowed,
            "{most} arrivals beyond the first of their request within {WINDOW:?}, {allowed} allowed"
        );
    }
}

fn start_rejecting(arrivals: &Arrivals) -> Upstream {
    let arrivals = arrivals.clone();
    Upstream::start(move |request, out| {
        let id = request.attempt_id().to_owned();
        arrivals.lock().unwrap().push((Instant::now(), id));
        let response = format!(
            "HTTP/1.1 503 Full\r\ndaisyquay-attempt: {}\r\ndaisyquay-not-run: 1\r\n\
             content-length: 0\r\n\r\n",
            request.attempt_id()
        );
        write(out, &response)
    })
}

fn call(address: SocketAddr, path: &str, id: &str) -> Option<crate::support::Response> {
    let headers = [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", "6000"),
    ];
    send("GET", address, path, &headers, "")
}

fn send_requests(address: SocketAddr, name: &str) {
    for i in 0..REQUESTS {
        let reply = call(address, "/lookup/", &format!("{name}-{i}"));
        assert_eq!(reply.map(|reply| reply.status), Some(503));
    }
}

/// Guards against a gateway that spends the slack again after each start, although what its former
/// processes have spent still counts in the window.
#[test]
fn restarted_gateway_does_not_spend_the_slack_of_the_window_again() {
    let rejecting = Rejecting::new();
    let lives = 4;
    for life in 0..lives {
        let (mut gateway, address) = rejecting.start_gateway();
        send_requests(address, &format!("life-{life}"));
        gateway.kill();
        // The leader lists a gateway that has ended until its lease expires.
        thread::sleep(daisyquay::lease::TTL);
    }
    rejecting.check(lives * REQUESTS);
}

/// Passes renewals to a replica and leaves the list of gateways out of the grants.
struct WithoutList {
    replica: SocketAddr,
}

impl Handler for WithoutList {
    fn call(&self, _: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        let replica = self.replica;
        Box::pin(async move {
            let client = Client::new(PEER_KEY);
            match client.call(replica, &request, CALL_TIMEOUT).await {
                Ok(Reply::Grant(mut grant)) => {
                    grant.replicas = None;
                    grant.entries = None;
                    grant.entries_version = 0;
                    grant.partial_entries = None;
                    Reply::Grant(grant)
                }
                Ok(reply) => reply,
                Err(_) => Reply::NotLeader { leader: None },
            }
        })
    }
}

/// Guards against gateways that each take the whole slack while they don't know of each other, as
/// after a loss of power: the first grants of a new leader have no list of gateways.
#[test]
fn gateways_without_a_list_of_gateways_do_not_each_spend_the_whole_slack() {
    let mut rejecting = Rejecting::new();
    let replica = rejecting.cluster.replica_addresses[0];
    rejecting.cluster.configured_replicas = vec![start_stub_replica(WithoutList { replica })];
    let gateways: Vec<_> = (0..4).map(|_| rejecting.start_gateway()).collect();
    for (i, (_, address)) in gateways.iter().enumerate() {
        send_requests(*address, &format!("gateway-{i}"));
    }
    rejecting.check(gateways.len() * REQUESTS);
}
