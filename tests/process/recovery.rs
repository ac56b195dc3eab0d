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
        let output = cluster.run_cli(&["drain", "entry-0"]);
        assert!(output.status.success() || restart > 0, "{output:?}");
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
                // The leader knows that the list is complete only after 2.4 s.
                let knows_all = log.contains(&format!("gateways_known count={GATEWAYS}"));
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
    assert!(
        status["draining"].to_string().contains("entry-0"),
        "{status}"
    );
}
