//! A gateway with admission in front of upstreams whose slots are all in use.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Program;
use crate::support::Response;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::post;
use crate::support::send;
use crate::support::write;

const ROUTES: &str = r#"
[[routes]]
name = "urgent"
host = "previews.example"
prefix = "/urgent/"
timeout_ms = 20000
target_ms = 20000
rank = 0
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "bulk"
host = "previews.example"
prefix = "/bulk/"
timeout_ms = 20000
target_ms = 20000
rank = 2
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "retried"
host = "previews.example"
prefix = "/retried/"
timeout_ms = 20000
target_ms = 20000
attempts = 3
split = [{ service = "previews", weight = 1 }]
"#;

/// Slots of each upstream.
const SLOTS: usize = 2;

/// Requests that the two upstreams get at a time: their slots and one more each.
const CAPACITY: usize = 2 * (SLOTS + 1);

/// Response by which an upstream asks for a pause.
const PAUSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n";

/// Response to a request on the route that is retried.
const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\ndaisyquay-attempt: ID\r\n\
    daisyquay-signature: s-ID\r\ncontent-length: 6\r\n\r\nbroken";

const MAPLE: &str = "Bearer dev-maple-key";
const CASTLES: &str = "Bearer dev-castles-key";

struct Setup {
    _cluster: Cluster,
    _gateway: Program,
    address: SocketAddr,
    upstreams: [Upstream; 2],
    runs: Arc<Mutex<Runs>>,
}

/// What the upstreams have run, except on the route that is retried.
#[derive(Default)]
struct Runs {
    /// Ids of the requests in the order in which they started.
    started: Vec<String>,
    running: usize,
    most_running: usize,
}

impl Runs {
    fn start(&mut self, id: &str) {
        self.started.push(id.to_owned());
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
    }

    /// Returns the position of the last start of a request whose id begins with `name`.
    fn last_start(&self, name: &str) -> usize {
        let at = self.started.iter().rposition(|id| id.starts_with(name));
        at.unwrap()
    }
}

impl Setup {
    /// Starts a gateway and two upstreams that take `work` for each request. They fail at once on
    /// the route that is retried.
    fn new(work: Duration) -> Self {
        let mut cluster = Cluster::start(1, 1);
        cluster.gateway_flags = vec!["--admission".to_owned(), "on".to_owned()];
        let inventory = format!("{INVENTORY}{ROUTES}");
        cluster.apply(&inventory, &["--change-id", "first"]);
        let runs: Arc<Mutex<Runs>> = Arc::default();
        let upstreams = [0, 1].map(|_| {
            let runs = runs.clone();
            Upstream::start(move |seen, out| {
                if seen.request_line.contains(" /retried/") {
                    return write(out, &FAILURE.replace("ID", seen.attempt_id()));
                }
                if seen.request_line.contains("?pause") {
                    return write(out, PAUSE);
                }
                runs.lock().unwrap().start(seen.attempt_id());
                thread::sleep(work);
                runs.lock().unwrap().running -= 1;
                write(out, &ok_response(seen, "tile"))
            })
        });
        for (i, upstream) in upstreams.iter().enumerate() {
            let body = json!({
                "id": format!("u{i}"),
                "incarnation": 1,
                "address": upstream.address.to_string(),
                "data_centre": "dc1",
                "serves": { "service": "previews" },
                "slots": SLOTS,
            });
            let headers = [("authorization", "Bearer dev-upstream-key")];
            eventually("the upstream is announced", || {
                let entry = cluster.entry_addresses[0];
                let reply = post(entry, "/upstream/announce", &headers, &body.to_string())?;
                (reply.status == 204).then_some(())
            });
        }
        let (gateway, address) = cluster.start_gateway();
        eventually("the gateway has its routes", || {
            let reply = call(address, MAPLE, "/nowhere/", "probe", 20_000).0?;
            (reply.status == 404).then_some(())
        });
        Self {
            _cluster: cluster,
            _gateway: gateway,
            address,
            upstreams,
            runs,
        }
    }

    /// Sends a request in a thread of its own.
    fn start(&self, key: &'static str, path: &'static str, id: String) -> JoinHandle<Reply> {
        let address = self.address;
        thread::spawn(move || call(address, key, path, &id, 20_000))
    }

    /// Sends `count` requests one after the other, without waiting for their responses.
    fn start_all(
        &self,
        count: usize,
        key: &'static str,
        path: &'static str,
        name: &str,
    ) -> Vec<JoinHandle<Reply>> {
        let start = |i| {
            thread::sleep(Duration::from_millis(2));
            self.start(key, path, format!("{name}-{i}"))
        };
        (0..count).map(start).collect()
    }

    /// Sends `count` requests and waits until the upstreams have received them.
    fn occupy(&self, count: usize) -> Vec<JoinHandle<Reply>> {
        let running = self.start_all(count, MAPLE, "/bulk/", "running");
        eventually("the slots are in use", || {
            (self.received().len() == count).then_some(())
        });
        running
    }

    /// Returns the ids of the requests that the upstreams have received.
    fn received(&self) -> Vec<String> {
        let seen = self.upstreams.iter().flat_map(Upstream::received);
        seen.map(|seen| seen.attempt_id().to_owned()).collect()
    }
}

/// A response, and the time until it came.
type Reply = (Option<Response>, Duration);

fn call(address: SocketAddr, key: &str, path: &str, id: &str, deadline_ms: u64) -> Reply {
    let deadline_ms = deadline_ms.to_string();
    let headers = [
        ("authorization", key),
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", &deadline_ms),
    ];
    let start = Instant::now();
    let reply = send("GET", address, path, &headers, "");
    (reply, start.elapsed())
}

fn join(replies: Vec<JoinHandle<Reply>>) -> Vec<Duration> {
    let replies = replies.into_iter().map(|reply| reply.join().unwrap());
    replies
        .map(|(reply, time)| {
            assert_eq!(reply.unwrap().status, 200);
            time
        })
        .collect()
}

/// Guards against urgent requests that wait behind less urgent ones, and against more requests at an
/// upstream than its slots and the allowance.
#[test]
fn queued_requests_are_sent_most_urgent_first() {
    // Long enough for all requests to be queued before one ends.
    const WORK: Duration = Duration::from_millis(1_500);
    let setup = Setup::new(WORK);
    let mut replies = setup.occupy(CAPACITY);
    replies.extend(setup.start_all(2 * CAPACITY, MAPLE, "/bulk/", "bulk"));
    replies.extend(setup.start_all(4, MAPLE, "/urgent/", "urgent"));
    join(replies);
    let runs = setup.runs.lock().unwrap();
    assert_eq!(runs.most_running, CAPACITY, "the slots are exceeded");
    // All are in the first round after those that ran. Requests of one round arrive in any order.
    assert!(
        runs.last_start("urgent") < 2 * CAPACITY,
        "{:?}",
        runs.started
    );
}

/// Guards against an organisation that takes the others' capacity by sending more.
#[test]
fn organisation_that_sends_more_leaves_the_others_their_share() {
    const WORK: Duration = Duration::from_millis(800);
    let setup = Setup::new(WORK);
    let mut replies = setup.start_all(8 * CAPACITY, MAPLE, "/bulk/", "greedy");
    replies.extend(setup.start_all(CAPACITY, CASTLES, "/bulk/", "modest"));
    join(replies);
    // Its weight is a quarter of all, so it needs four rounds after the first; the whole backlog
    // takes nine, and it would be in the last of them.
    let runs = setup.runs.lock().unwrap();
    assert!(
        runs.last_start("modest") < 7 * CAPACITY,
        "{:?}",
        runs.started
    );
}

/// Guards against rejections that come late or are not true, and against requests that run though
/// their callers have gone.
#[test]
fn rejected_and_cancelled_requests_never_run() {
    const WORK: Duration = Duration::from_secs(4);
    let setup = Setup::new(WORK);
    let mut replies = setup.occupy(CAPACITY);
    replies.extend(setup.start_all(4, MAPLE, "/urgent/", "queued"));
    let mut gone = TcpStream::connect(setup.address).unwrap();
    let head = format!(
        "GET /bulk/ HTTP/1.1\r\nhost: previews.example\r\nauthorization: {MAPLE}\r\n\
         daisyquay-attempt: gone\r\n\r\n"
    );
    gone.write_all(head.as_bytes()).unwrap();
    // Nothing is dispatched in this time, so the four that precede the next request and itself are
    // not to be expected to be dispatched within 1 s.
    thread::sleep(WORK / 4);
    drop(gone);
    let (reply, time) = call(setup.address, MAPLE, "/bulk/", "hopeless", 1_000);
    let reply = reply.unwrap();
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!(reply.json()["error"]["code"], "overloaded");
    // If it was queued, it would be rejected at its latest start, 25 ms before the deadline.
    assert!(time < Duration::from_millis(800), "rejected after {time:?}");
    let retry_after: f64 = reply.header("retry-after").parse().unwrap();
    assert!((0.05..=5.0).contains(&retry_after), "{retry_after}");
    join(replies);
    thread::sleep(Duration::from_secs(1));
    let received = setup.received();
    assert_eq!(received.len(), CAPACITY + 4, "{received:?}");
    assert!(!received.iter().any(|id| id == "hopeless" || id == "gone"));
}

/// Guards against a queue that is emptied while all upstreams pause, though the pause ends in time,
/// and against requests that wait for the end of a pause that comes too late.
#[test]
fn requests_wait_for_the_end_of_a_pause_that_leaves_them_in_time() {
    const WORK: Duration = Duration::from_millis(50);
    let setup = Setup::new(WORK);
    eventually("both upstreams pause", || {
        call(setup.address, MAPLE, "/bulk/?pause", "pausing", 20_000).0?;
        let received = setup.upstreams.iter().map(|row| row.received().len());
        received.min().filter(|least| *least > 0)
    });
    let waiting = setup.start(MAPLE, "/bulk/", "waiting".to_owned());
    let (reply, time) = call(setup.address, MAPLE, "/bulk/", "hopeless", 3_000);
    let reply = reply.unwrap();
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert!(
        time < Duration::from_millis(1_500),
        "rejected after {time:?}"
    );
    let retry_after: f64 = reply.header("retry-after").parse().unwrap();
    assert!((2.0..=8.5).contains(&retry_after), "{retry_after}");
    for time in join(vec![waiting]) {
        // More than 3 s of the pause were left, or the other request would not be rejected.
        assert!(time > Duration::from_secs(2), "{time:?}");
    }
}

/// Guards against a retry whose rejection replaces the earlier answer: the request has run, so the
/// caller must not be told that it was rejected.
#[test]
fn rejected_retry_keeps_its_earlier_answer() {
    const WORK: Duration = Duration::from_secs(4);
    let setup = Setup::new(WORK);
    let running = setup.occupy(CAPACITY - 1);
    // It fails at the upstream with the last free slot; the other one has none until it is late.
    let (reply, time) = call(setup.address, MAPLE, "/retried/", "failing", 1_500);
    let reply = reply.unwrap();
    assert_eq!((reply.status, &*reply.body), (500, "broken"));
    assert!(time > Duration::from_secs(1), "not queued: {time:?}");
    join(running);
    let received = setup.received();
    assert_eq!(received.len(), CAPACITY, "{received:?}");
}

/// Guards against failed requests that wait for a retry which the retry budget will not allow.
#[test]
fn failure_without_a_retry_left_is_answered_at_once() {
    const WORK: Duration = Duration::from_secs(8);
    const DEADLINE_MS: u64 = 4_000;
    const FAILURES: usize = 120;
    let setup = Setup::new(WORK);
    let running = setup.occupy(CAPACITY - 1);
    let fail = |i| {
        thread::sleep(Duration::from_millis(5));
        let address = setup.address;
        let id = format!("failing-{i}");
        thread::spawn(move || call(address, MAPLE, "/retried/", &id, DEADLINE_MS))
    };
    let failing: Vec<JoinHandle<Reply>> = (0..FAILURES).map(fail).collect();
    let replies: Vec<Reply> = failing.into_iter().map(|row| row.join().unwrap()).collect();
    let is_failure = |(reply, _): &Reply| reply.as_ref().is_some_and(|reply| reply.status == 500);
    assert!(replies.iter().all(is_failure));
    let half = Duration::from_millis(DEADLINE_MS / 2);
    assert!(replies[0].1 > half, "no retry waited");
    // The budget allows 46 retries and 0.46 of the first attempts.
    let at_once = replies.iter().filter(|(_, time)| *time < half).count();
    assert!(at_once >= FAILURES / 10, "{at_once} answered at once");
    join(running);
}
