//! Upstreams that fall over if the gateways make them reject many requests.

use std::collections::VecDeque;
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

/// Slots of an upstream, as announced. No request may wait there.
const SLOTS: usize = 8;

/// Rejections a second that an upstream bears.
const REJECTIONS_PER_S: usize = 4;

/// Time that a request takes there.
const WORK: Duration = Duration::from_millis(400);

/// Time from the first response from which rejections count.
const GRACE: Duration = Duration::from_secs(3);

/// Time from then on.
const TIME: Duration = Duration::from_secs(8);

const UPSTREAMS: usize = 2;

/// Callers of each gateway; three times as many as there is room for.
const CALLERS: usize = 16;

#[derive(Debug, Default)]
struct State {
    running: usize,
    served: usize,
    rejected: VecDeque<Instant>,
    /// When it fell over. It goes on nevertheless.
    falls: Vec<Instant>,
}

/// An upstream that says that it is brittle.
struct Brittle {
    upstream: Upstream,
    state: Arc<Mutex<State>>,
}

impl Brittle {
    fn start() -> Self {
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        let upstream = Upstream::start(move |seen, out| answer(seen, out, &shared));
        Self { upstream, state }
    }
}

fn answer(seen: &ReceivedRequest, out: &mut TcpStream, state: &Mutex<State>) -> bool {
    let (is_accepted, running) = {
        let mut state = state.lock().unwrap();
        let is_accepted = state.running < SLOTS;
        if is_accepted {
            state.running += 1;
        } else {
            let now = Instant::now();
            state.rejected.push_back(now);
            state
                .rejected
                .retain(|at| now.duration_since(*at) < Duration::from_secs(1));
            if state.rejected.len() > REJECTIONS_PER_S {
                state.falls.push(now);
                state.rejected.clear();
            }
        }
        (is_accepted, state.running)
    };
    let headers =
        format!("daisyquay-brittle: {REJECTIONS_PER_S}\r\ndaisyquay-load: {running},0,{SLOTS}\r\n");
    if !is_accepted {
        let head = format!("HTTP/1.1 503 Service Unavailable\r\ndaisyquay-not-run: 1\r\n{headers}");
        let response = ok_response(seen, "full").replacen("HTTP/1.1 200 OK\r\n", &head, 1);
        return write(out, &response);
    }
    thread::sleep(WORK);
    let mut state = state.lock().unwrap();
    state.running -= 1;
    state.served += 1;
    drop(state);
    write(
        out,
        &ok_response(seen, "tile").replacen("\r\n", &format!("\r\n{headers}"), 1),
    )
}

fn call(gateway: SocketAddr, path: &str, id: &str) -> Option<(u16, f64)> {
    let headers = [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", "3000"),
    ];
    let response = send("GET", gateway, path, &headers, "")?;
    let retry_after = response.header("retry-after").parse().unwrap_or(0.1);
    Some((response.status, retry_after))
}

/// Guards against gateways that all send to the slot which has become free, until the upstream falls
/// over.
#[test]
fn gateways_do_not_let_brittle_upstreams_fall_over() {
    let upstreams: Vec<_> = (0..UPSTREAMS).map(|_| Brittle::start()).collect();
    let mut cluster = Cluster::start(1, 1);
    cluster.gateway_flags = vec!["--admission".to_owned(), "on".to_owned()];
    cluster.apply(&format!("{INVENTORY}{ROUTES}"), &["--change-id", "first"]);
    for (i, brittle) in upstreams.iter().enumerate() {
        announce(&cluster, &format!("u{i}"), brittle.upstream.address);
    }
    let gateways: Vec<(Program, SocketAddr)> = (0..3).map(|_| cluster.start_gateway()).collect();
    for (_, address) in &gateways {
        eventually("the gateway has its routes", || {
            (call(*address, "/nowhere/", "probe")?.0 == 404).then_some(())
        });
    }
    // The gateways learn of each other within two renewals.
    thread::sleep(Duration::from_secs(3));
    let counts_from = Instant::now() + GRACE;
    let until = counts_from + TIME;
    let callers: Vec<_> = (0..gateways.len() * CALLERS)
        .map(|caller| {
            let (_, address) = gateways[caller % gateways.len()];
            let path = if caller % 2 == 0 {
                "/lookup/a"
            } else {
                "/hold/a"
            };
            thread::spawn(move || {
                let mut served = 0;
                for i in 0.. {
                    let sent_at = Instant::now();
                    if sent_at >= until {
                        break;
                    }
                    let reply = call(address, path, &format!("id-{caller}-{i}"));
                    let (status, retry_after) = reply.unwrap_or((0, 0.1));
                    served += usize::from(status == 200 && sent_at >= counts_from);
                    if status != 200 {
                        thread::sleep(Duration::from_secs_f64(retry_after));
                    }
                }
                served
            })
        })
        .collect();
    let served: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    let falls: Vec<usize> = upstreams
        .iter()
        .map(|brittle| {
            let state = brittle.state.lock().unwrap();
            state.falls.iter().filter(|at| **at >= counts_from).count()
        })
        .collect();
    let capacity = (UPSTREAMS * SLOTS) as f64 * TIME.as_secs_f64() / WORK.as_secs_f64();
    assert!(
        falls.iter().sum::<usize>() <= 2 + UPSTREAMS / 10,
        "{falls:?}, {served} served"
    );
    assert!(served as f64 >= 0.4 * capacity, "{served} of {capacity}");
}
