//! Recovery after all replicas and gateways have lost power at once.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::ROUTES;
use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Program;
use crate::support::Response;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::send;
use crate::support::write;

/// Longest time from the start of the processes to the first response of each gateway. It allows
/// for a loaded machine.
const SERVED_WITHIN: Duration = Duration::from_secs(3);

/// Time between the starts of two replicas.
const START_SKEW: Duration = Duration::from_millis(60);

const GATEWAYS: usize = 3;

fn call(address: SocketAddr, id: &str) -> Option<Response> {
    let headers = [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", id),
        ("daisyquay-deadline-ms", "3500"),
    ];
    send("POST", address, "/lookup/a", &headers, "")
}

/// Returns what a program has logged since its last start.
fn last_log(cluster: &Cluster, log: &str) -> String {
    let text = std::fs::read_to_string(cluster.folder.join(log)).unwrap();
    let start = text.rfind("_start ").unwrap_or(0);
    text[start..].to_owned()
}

/// Returns the milliseconds of each phase that a log reports.
fn phases(log: &str) -> Vec<(String, u64)> {
    let field = |line: &str, key: &str| {
        let (_, rest) = line.split_once(key)?;
        rest.split(' ').next().map(str::to_owned)
    };
    log.lines()
        .filter(|line| line.contains("event=recovered"))
        .map(|line| {
            let ms = field(line, " ms=").unwrap().parse().unwrap();
            (field(line, " phase=").unwrap(), ms)
        })
        .collect()
}

/// Guards against callers that wait for long after a loss of all power, and against acknowledged
/// changes that are lost by it, and against gateways that don't know of each other for seconds.
#[test]
fn serves_again_soon_after_all_processes_were_killed() {
    let upstream = Upstream::start(|seen, out| write(out, &ok_response(seen, "tile")));
    let mut cluster = Cluster::start(3, 1);
    let inventory = format!("{INVENTORY}{ROUTES}");
    cluster.apply(&inventory, &["--change-id", "first"]);
    announce(&cluster, "u0", upstream.address);
    let mut gateways: Vec<(Program, SocketAddr)> =
        (0..GATEWAYS).map(|_| cluster.start_gateway()).collect();
    for (_, address) in &gateways {
        eventually("a request is served", || {
            call(*address, "before").filter(|response| response.status == 200)
        });
    }
    // More restarts than one are for measurements: `RESTARTS=10`, with `--nocapture`.
    let restarts = std::env::var("RESTARTS").map_or(1, |n| n.parse().unwrap());
    for restart in 0..restarts {
        // The last change is acknowledged immediately before the loss.
        let change = &["drain", "entry-0", "--undo"][..2 + restart % 2];
        let output = cluster.run_cli(change);
        assert!(output.status.success(), "{output:?}");
        for (gateway, _) in &mut gateways {
            gateway.kill();
        }
        cluster.replicas.iter_mut().for_each(Program::kill);
        let start = Instant::now();
        for (gateway, address) in &mut gateways {
            *gateway = cluster.start_gateway_at(*address);
        }
        for i in 0..3 {
            cluster.replicas[i] = cluster.start_replica(i);
            thread::sleep(START_SKEW);
        }
        let times: Vec<Duration> = thread::scope(|scope| {
            let callers: Vec<_> = gateways
                .iter()
                .map(|&(_, address)| {
                    scope.spawn(move || {
                        eventually("a request is served", || {
                            let response = call(address, "after")?;
                            (response.status == 200).then(|| start.elapsed())
                        })
                    })
                })
                .collect();
            callers.into_iter().map(|c| c.join().unwrap()).collect()
        });
        assert!(times.iter().all(|&time| time < SERVED_WITHIN), "{times:?}");
        eprintln!("served after {times:?}");
        for (_, address) in &gateways {
            let log = format!("gateway-{}.log", address.port());
            let expected = ["leader", "configuration", "directory", "first_response"];
            let phases = eventually("all phases and gateways are in the log", || {
                let log = last_log(&cluster, &log);
                let phases = phases(&log);
                let has = |name| phases.iter().any(|(phase, _)| phase == name);
                // The leader knows that the list is complete only after 2.4 s. A gateway whose
                // renewals are delayed may get only that one.
                let knows_all = log.contains(&format!("gateways_known count={GATEWAYS} "));
                (knows_all && expected.into_iter().all(has)).then_some(phases)
            });
            eprintln!("{phases:?}");
            assert_eq!(phases.len(), expected.len(), "{phases:?}");
        }
        for i in 0..3 {
            let phases = phases(&last_log(&cluster, &format!("state-{i}.log")));
            eprintln!("replica {phases:?}");
        }
    }
    let status = eventually("there is a leader", || {
        let status = cluster.show("status");
        status.is_object().then_some(status)
    });
    let is_draining = status["draining"].to_string().contains("entry-0");
    assert_eq!(is_draining, restarts % 2 == 1, "{status}");
}

/// Guards against a slow handshake that never succeeds because each attempt is dropped for the next.
/// The first attempt ends first, beside the repeated ones.
#[test]
fn slow_connection_attempt_goes_on_beside_repeated_ones() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let mut attempts = 1..;
    let connect = daisyquay::peer::repeat_until_reply(|| {
        let attempt = attempts.next();
        async move {
            tokio::time::sleep(Duration::from_millis(450)).await;
            attempt
        }
    });
    let first = tokio::task::LocalSet::new().block_on(&runtime, connect);
    assert_eq!(first, Some(Some(1)));
}

/// Guards against gateways that use the common order of upstreams while they may not know of each
/// other, and against one that takes an incomplete list without others for the complete one.
#[test]
fn first_prompts_are_spread_until_the_list_of_gateways_is_complete() {
    let upstreams =
        [(); 4].map(|()| Upstream::start(|seen, out| write(out, &ok_response(seen, "tile"))));
    let mut cluster = Cluster::start(1, 1);
    let routes = ROUTES.replacen("attempts = 3", "attempts = 3\naffinity = true", 1);
    cluster.apply(&format!("{INVENTORY}{routes}"), &["--change-id", "first"]);
    for (i, upstream) in upstreams.iter().enumerate() {
        announce(&cluster, &format!("u{i}"), upstream.address);
    }
    cluster.replicas[0].kill();
    cluster.replicas[0] = cluster.start_replica(0);
    let (_gateway, address) = cluster.start_gateway();
    for (is_complete, expected) in [(false, 2..=4), (true, 1..=1)] {
        let known = format!("gateways_known count=1 complete={is_complete}");
        eventually("the gateway has the list", || {
            let log = last_log(&cluster, &format!("gateway-{}.log", address.port()));
            log.contains(&known).then_some(())
        });
        let before = upstreams
            .each_ref()
            .map(|upstream| upstream.received().len());
        for i in 0..12 {
            let response = call(address, &format!("{is_complete}-{i}")).unwrap();
            assert_eq!(response.status, 200);
        }
        let after = upstreams
            .each_ref()
            .map(|upstream| upstream.received().len());
        let used = before
            .iter()
            .zip(after)
            .filter(|(before, after)| **before < *after);
        let used = used.count();
        assert!(expected.contains(&used), "{used} {is_complete}");
    }
}
