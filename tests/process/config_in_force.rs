//! Changes of the configuration are in force on each gateway in time, and never undone, whatever
//! happens to the replicas.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Program;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::get;
use crate::support::ok_response;

/// Longest time from the acknowledgement of a change until it is in force on a gateway that reaches
/// the replicas.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Time for which a gateway must have reached the replicas before that limit applies.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Returns the inventory after change `n`: it has the route of that change only.
fn inventory(n: usize) -> String {
    format!(
        "{INVENTORY}
[[routes]]
name = \"change-{n}\"
host = \"previews.example\"
prefix = \"/change-{n}/\"
timeout_ms = 1000
target_ms = 500
attempts = 1
split = [{{ service = \"previews\", weight = 1 }}]
"
    )
}

/// Returns the status of a response to a request on the route of change `n`.
fn status(gateway: SocketAddr, n: usize) -> Option<u16> {
    let headers = [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", "probe"),
    ];
    get(gateway, &format!("/change-{n}/a"), &headers).map(|response| response.status)
}

struct Setup {
    cluster: Cluster,
    gateways: Vec<(Program, SocketAddr)>,
    /// Number of the last change.
    last_change: usize,
    _upstream: Upstream,
}

impl Setup {
    fn new(gateways: usize) -> Self {
        let upstream = Upstream::start(|request, out| {
            crate::support::write(out, &ok_response(request, "served"))
        });
        let cluster = Cluster::start(3, 1);
        cluster.apply(&inventory(0), &["--change-id", "change-0"]);
        announce(&cluster, "u0", upstream.address);
        let gateways: Vec<_> = (0..gateways).map(|_| cluster.start_gateway()).collect();
        for (_, address) in &gateways {
            eventually("the gateway serves", || {
                (status(*address, 0)? == 200).then_some(())
            });
        }
        // The gateways learn of each other.
        thread::sleep(CONTACT_TIME);
        Self {
            cluster,
            gateways,
            last_change: 0,
            _upstream: upstream,
        }
    }

    /// Adds a route and drops the one before. Returns when this was acknowledged.
    fn change(&mut self) -> Instant {
        self.last_change += 1;
        let n = self.last_change;
        let path = self.cluster.folder.join("inventory.toml");
        std::fs::write(&path, inventory(n)).unwrap();
        let path = path.display().to_string();
        let id = format!("change-{n}");
        eventually("the change is acknowledged", || {
            let output = self.cluster.run_cli(&["apply", &path, "--change-id", &id]);
            output.status.success().then_some(())
        });
        Instant::now()
    }

    /// Checks that gateway `i` serves the added route and no longer the dropped one.
    fn check_in_force(&self, i: usize) {
        let (address, n) = (self.gateways[i].1, self.last_change);
        let added = status(address, n);
        let dropped = status(address, n - 1);
        assert_eq!(
            (added, dropped),
            (Some(200), Some(404)),
            "gateway {i}, change {n}"
        );
    }
}

/// Guards against a gateway that keeps only the addresses of the leader's last list of replicas, and
/// runs by an old configuration for good once all of these are gone.
#[test]
fn gateway_suspended_while_all_replicas_are_replaced_follows_changes_again() {
    let mut setup = Setup::new(2);
    setup.gateways[0].0.suspend();
    for i in 0..3 {
        setup.cluster.replace_replica(i);
    }
    let acked_at = setup.change();
    thread::sleep((acked_at + APPLY_LIMIT).saturating_duration_since(Instant::now()));
    setup.check_in_force(1);
    setup.gateways[0].0.resume();
    thread::sleep(CONTACT_TIME);
    setup.check_in_force(0);
    let acked_at = setup.change();
    thread::sleep((acked_at + APPLY_LIMIT).saturating_duration_since(Instant::now()));
    setup.check_in_force(0);
}
