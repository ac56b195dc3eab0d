//! Upstreams that ask for fewer requests in their responses: a limit that all gateways share, a
//! pause, and a leave.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::ROUTES;
use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Program;
use crate::support::ReceivedRequest;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::send;
use crate::support::write;

/// Time between two requests to one gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// An upstream that records when its requests arrive.
pub(crate) struct TimedUpstream {
    pub(crate) upstream: Upstream,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl TimedUpstream {
    pub(crate) fn start(
        script: impl Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let log = arrivals.clone();
        let upstream = Upstream::start(move |seen, out| {
            log.lock().unwrap().push(Instant::now());
            script(seen, out)
        });
        Self { upstream, arrivals }
    }

    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        let mut arrivals = self.arrivals.lock().unwrap().clone();
        arrivals.sort_unstable();
        arrivals
    }

    /// Returns the number of requests that arrived from `from` until `until`.
    fn count(&self, from: Instant, until: Instant) -> usize {
        let arrivals = self.arrivals();
        arrivals
            .iter()
            .filter(|at| (from..until).contains(*at))
            .count()
    }
}

/// Returns a complete response with a further header line.
pub(crate) fn response_with(seen: &ReceivedRequest, header: &str) -> String {
    ok_response(seen, "tile").replacen("\r\n", &format!("\r\n{header}\r\n"), 1)
}

/// Gateways in front of two upstreams.
pub(crate) struct Setup {
    _cluster: Cluster,
    gateways: Vec<(Program, SocketAddr)>,
}

impl Setup {
    pub(crate) fn new(gateways: usize, upstreams: [SocketAddr; 2]) -> Self {
        let cluster = Cluster::start(1, 1);
        let inventory = format!("{INVENTORY}{ROUTES}");
        cluster.apply(&inventory, &["--change-id", "first"]);
        for (i, address) in upstreams.into_iter().enumerate() {
            announce(&cluster, &format!("u{i}"), address);
        }
        let gateways: Vec<_> = (0..gateways).map(|_| cluster.start_gateway()).collect();
        for (_, address) in &gateways {
            eventually("the gateway has its routes", || {
                let reply = call(*address, "/nowhere/", "probe")?;
                (reply == 404).then_some(())
            });
        }
        // The gateways learn of each other within two renewals.
        thread::sleep(Duration::from_secs(3));
        Self {
            _cluster: cluster,
            gateways,
        }
    }

    /// Sends requests to all gateways for `time` and returns the statuses.
    pub(crate) fn send_for(&self, time: Duration) -> Vec<Option<u16>> {
        let until = Instant::now() + time;
        let senders: Vec<_> = self
            .gateways
            .iter()
            .enumerate()
            .map(|(i, &(_, address))| {
                thread::spawn(move || {
                    let mut statuses = Vec::new();
                    while Instant::now() < until {
                        let id = format!("id-{i}-{}", statuses.len());
                        statuses.push(call(address, "/lookup/a", &id));
                        thread::sleep(REQUEST_INTERVAL);
                    }
                    statuses
                })
            })
            .collect();
        let results = senders.into_iter().map(|sender| sender.join().unwrap());
        results.flatten().collect()
    }
}

fn call(gateway: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let headers = [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", "6000"),
    ];
    let response = send("GET", gateway, path, &headers, "")?;
    Some(response.status)
}

/// Guards against gateways that send more to an upstream than the limit that it named.
#[test]
fn gateways_together_stay_within_the_limit_that_an_upstream_names() {
    const LIMIT: f64 = 1.0;
    const GRACE: Duration = Duration::from_secs(3);
    const WINDOW: Duration = Duration::from_secs(4);
    let limited = TimedUpstream::start(|seen, out| {
        write(
            out,
            &response_with(seen, &format!("daisyquay-rate-limit: {LIMIT}")),
        )
    });
    let other = TimedUpstream::start(|seen, out| write(out, &ok_response(seen, "tile")));
    let setup = Setup::new(3, [limited.upstream.address, other.upstream.address]);
    let statuses = setup.send_for(Duration::from_secs(12));
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
    let arrivals = limited.arrivals();
    let from = arrivals[0] + GRACE;
    let windows = arrivals.iter().filter(|&&at| at >= from);
    let most = windows
        .map(|&at| limited.count(at, at + WINDOW))
        .max()
        .unwrap_or(0);
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    assert!(most as f64 <= allowed, "{most} requests in {WINDOW:?}");
    assert!(
        most > 0,
        "a limited upstream gets requests within its limit"
    );
}

/// Guards against requests to an upstream that has asked the gateway to wait.
#[test]
fn sends_nothing_to_an_upstream_during_the_pause_that_it_asks_for() {
    const PAUSE: Duration = Duration::from_secs(3);
    let busy = TimedUpstream::start(|seen, out| {
        let head = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 3\r\ndaisyquay-not-run: 1";
        let response = ok_response(seen, "busy").replacen("HTTP/1.1 200 OK", head, 1);
        write(out, &response)
    });
    let other = TimedUpstream::start(|seen, out| write(out, &ok_response(seen, "tile")));
    let setup = Setup::new(1, [busy.upstream.address, other.upstream.address]);
    let statuses = setup.send_for(Duration::from_secs(5));
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
    let arrivals = busy.arrivals();
    let first = arrivals[0];
    let grace = Duration::from_millis(500);
    assert!(
        busy.count(first + grace, first + PAUSE) <= 2,
        "{arrivals:?}"
    );
    let after = arrivals.iter().filter(|&&at| at >= first + PAUSE).count();
    assert!(
        after > 0,
        "the upstream gets requests again after its pause"
    );
}

/// Guards against requests to an upstream that tells of its leave in its responses only.
#[test]
fn sends_nothing_to_an_upstream_that_says_in_a_response_that_it_is_leaving() {
    const DRAIN: Duration = Duration::from_secs(2);
    let leaving =
        TimedUpstream::start(|seen, out| write(out, &response_with(seen, "daisyquay-leaving: 1")));
    let other = TimedUpstream::start(|seen, out| write(out, &ok_response(seen, "tile")));
    let setup = Setup::new(1, [leaving.upstream.address, other.upstream.address]);
    let statuses = setup.send_for(Duration::from_secs(5));
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
    let arrivals = leaving.arrivals();
    let first = arrivals[0];
    let late = arrivals.iter().filter(|&&at| at >= first + DRAIN).count();
    assert_eq!(late, 0, "{arrivals:?}");
}
