//! Regions of routes and organisations, in the gateway and in the entry.

use std::sync::Arc;
use std::sync::Barrier;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;

use serde_json::json;

use crate::gateway::ROUTES;
use crate::gateway::announce_in;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Response;
use crate::support::Upstream;
use crate::support::chat_body;
use crate::support::chat_response;
use crate::support::eventually;
use crate::support::free_address;
use crate::support::ok_response;
use crate::support::post;
use crate::support::send;
use crate::support::write;

/// Route to the same service that may run in the region of dc2 only.
const SOUTH_ROUTE: &str = r#"
[[routes]]
name = "south"
host = "previews.example"
prefix = "/south/"
timeout_ms = 4000
target_ms = 500
regions = ["south"]
split = [{ service = "previews", weight = 1 }]
"#;

const REQUESTS: usize = 20;

/// Guards against a request that is sent to, or retried at, an upstream in another region because
/// that one is nearer or the only one left.
#[test]
fn request_is_sent_only_to_upstreams_in_the_regions_of_its_route_and_its_organisation() {
    let upstreams =
        [(); 2].map(|()| Upstream::start(|request, out| write(out, &ok_response(request, "ok"))));
    let mut cluster = Cluster::start(1, 0);
    cluster.gateway_flags = vec!["--regions".to_owned(), "dc1=north,dc2=south".to_owned()];
    cluster.entry_flags = cluster.gateway_flags.clone();
    cluster.add_entry("dc1");
    let inventory = format!("{INVENTORY}{ROUTES}{SOUTH_ROUTE}");
    cluster.apply(&inventory, &["--change-id", "first"]);
    for (i, upstream) in upstreams.iter().enumerate() {
        announce_in(
            &cluster,
            &format!("dc{}", i + 1),
            &format!("u{i}"),
            upstream.address,
        );
    }
    let (_gateway, address) = cluster.start_gateway();
    let call = |path: &str, id: &str| {
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", id),
        ];
        send("POST", address, path, &headers, "")
    };
    for path in ["/lookup/a", "/south/a"] {
        eventually("a request is served", || {
            call(path, "probe").filter(|response| response.status == 200)
        });
    }
    let counts = || upstreams.each_ref().map(|u| u.received().len());
    let before = counts();
    for i in 0..REQUESTS {
        assert_eq!(call("/south/a", &format!("s{i}")).unwrap().status, 200);
    }
    assert_eq!(counts(), [before[0], before[1] + REQUESTS]);

    // The organisation of the key may use the other region only.
    let restricted =
        inventory.replacen("quality_target", "regions = [\"north\"]\nquality_target", 1);
    cluster.apply(&restricted, &["--change-id", "second"]);
    let before = counts();
    for i in 0..REQUESTS {
        let response = call("/south/a", &format!("t{i}")).unwrap();
        assert_eq!(response.status, 503);
        assert_eq!(response.json()["error"]["code"], "no_upstream_in_region");
        assert_eq!(call("/lookup/a", &format!("u{i}")).unwrap().status, 200);
    }
    assert_eq!(counts(), [before[0] + REQUESTS, before[1]]);

    // The entry follows the organisation's regions and evacuations.
    let call_entry = || {
        let entry = cluster.entry_addresses[0];
        send("GET", entry, "/app/previews/a", &[AUTH_HEADER], "").unwrap()
    };
    let before = counts();
    for _ in 0..REQUESTS {
        let response = call_entry();
        assert_eq!(response.status, 200, "{}", response.body);
    }
    assert_eq!(counts(), [before[0] + REQUESTS, before[1]]);
    let output = cluster.run_cli(&["evacuate", "begin", "dc1", "--wait"]);
    assert!(output.status.success());
    let refused = call_entry();
    assert_eq!(refused.json()["error"]["code"], "no_upstream_in_region");
    let output = cluster.run_cli(&["evacuate", "begin", "dc2", "--wait"]);
    assert!(output.status.success());
    let refused = call_entry();
    assert_eq!(refused.status, 503);
    assert_eq!(refused.json()["error"]["code"], "evacuated");
    assert!(["1", "2"].contains(&refused.header("retry-after")));
    assert_eq!(counts(), [before[0] + REQUESTS, before[1]]);
}

/// Guards against a rejection whose cause and `Retry-After` come from upstreams that the request may
/// not use.
#[test]
fn rejection_counts_only_upstreams_in_permitted_regions() {
    let near = Upstream::start(|request, out| write(out, &ok_response(request, "ok")));
    let calls = AtomicU32::new(0);
    let permitted = Upstream::start(move |request, out| {
        let head = match calls.fetch_add(1, Ordering::SeqCst) {
            0 => "503 Busy\r\nretry-after: 4\r\ndaisyquay-not-run: 1",
            _ => "200 OK\r\ndaisyquay-cold-ms: 20000",
        };
        write(out, &ok_response(request, "ok").replacen("200 OK", head, 1))
    });
    let mut cluster = Cluster::start(1, 1);
    cluster.gateway_flags = vec!["--regions".to_owned(), "dc1=north,dc2=south".to_owned()];
    let service = "name = \"previews\"\n";
    let limits = format!("{service}cold_per_s = 0.2\ncold_start_ms = 20000\n");
    let inventory = INVENTORY.replacen(service, &limits, 1);
    let inventory = format!("{inventory}{ROUTES}{SOUTH_ROUTE}");
    cluster.apply(&inventory, &["--change-id", "first"]);
    announce_in(&cluster, "dc1", "u0", near.address);
    announce_in(&cluster, "dc2", "u1", permitted.address);
    let (_gateway, address) = cluster.start_gateway();
    let call = |id: &str| {
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", id),
        ];
        send("POST", address, "/south/a", &headers, "")
    };
    let code = |response: &Response| response.json()["error"]["code"].clone();
    let paused = eventually("the upstream asks for a pause", || {
        call("paused").filter(|response| code(response) == "no_upstream")
    });
    let retry_after: f64 = paused.header("retry-after").parse().unwrap();
    assert!((2.0..=4.0).contains(&retry_after), "{retry_after}");
    // A response names the cold time; the turns of the cold upstream are seconds apart.
    eventually("a request is served after the pause", || {
        call("served").filter(|response| response.status == 200)
    });
    let refused = (0..2).map(|i| call(&format!("cold-{i}")).unwrap());
    let codes: Vec<_> = refused.map(|response| code(&response)).collect();
    assert!(codes.contains(&json!("upstreams_cold")), "{codes:?}");
    assert!(near.received().is_empty());
}

/// Guards against a queued request that waits until its latest start because an upstream that it may
/// not use is full, after the evacuation of the last one that it may use.
#[test]
fn queued_request_is_refused_once_its_last_upstream_is_evacuated() {
    /// Requests that an upstream with one slot gets at a time.
    const CAPACITY: usize = 2;
    let gate = Arc::new(Barrier::new(2 * CAPACITY + 1));
    let upstreams = [(); 2].map(|()| {
        let gate = gate.clone();
        Upstream::start(move |request, out| {
            if request.request_line.contains("/hold") {
                gate.wait();
            }
            write(out, &ok_response(request, "ok"))
        })
    });
    let mut cluster = Cluster::start(1, 1);
    let flags = ["--admission", "on", "--regions", "dc1=north,dc2=south"];
    cluster.gateway_flags = flags.map(str::to_owned).to_vec();
    let north = SOUTH_ROUTE.replace("south", "north");
    let inventory = format!("{INVENTORY}{north}{SOUTH_ROUTE}").replace("= 4000", "= 60000");
    cluster.apply(&inventory, &["--change-id", "first"]);
    for (i, upstream) in upstreams.iter().enumerate() {
        let body = json!({
            "id": format!("u{i}"),
            "incarnation": 1,
            "address": upstream.address.to_string(),
            "data_centre": format!("dc{}", i + 1),
            "serves": { "service": "previews" },
            "slots": 1,
        });
        let headers = [("authorization", "Bearer dev-upstream-key")];
        eventually("the upstream is announced", || {
            let entry = cluster.entry_addresses[0];
            let reply = post(entry, "/upstream/announce", &headers, &body.to_string())?;
            (reply.status == 204).then_some(())
        });
    }
    let (address, admin) = (free_address(), free_address());
    let _gateway = cluster.start_gateway_with(address, &["--admin-listen", &admin.to_string()]);
    let call = |path: &str| {
        let id = format!("{:016x}", fastrand::u64(..));
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", &id),
            ("daisyquay-deadline-ms", "60000"),
        ];
        send("POST", address, path, &headers, "")
    };
    for path in ["/north/a", "/south/a"] {
        eventually("a request is served", || {
            call(path).filter(|response| response.status == 200)
        });
    }
    let before: usize = upstreams.iter().map(|u| u.received().len()).sum();
    thread::scope(|scope| {
        let held: Vec<_> = ["/north/hold", "/south/hold"]
            .repeat(CAPACITY)
            .into_iter()
            .map(|path| scope.spawn(move || call(path)))
            .collect();
        eventually("the slots are in use", || {
            let received: usize = upstreams.iter().map(|u| u.received().len()).sum();
            (received == before + 2 * CAPACITY).then_some(())
        });
        let queued = scope.spawn(|| call("/south/a").unwrap());
        eventually("the request is queued", || {
            let metrics = send("GET", admin, "/metrics", &[], "")?;
            let mut lines = metrics.body.lines();
            lines
                .any(|line| line.starts_with("daisyquay_queue_length{") && line.ends_with(" 1"))
                .then_some(())
        });
        let output = cluster.run_cli(&["evacuate", "begin", "dc2", "--wait"]);
        assert!(output.status.success(), "{output:?}");
        // All slots are still in use.
        let refused = queued.join().unwrap();
        let code = &refused.json()["error"]["code"];
        assert_eq!(code, "no_upstream_in_region");
        gate.wait();
        for held in held {
            assert_eq!(held.join().unwrap().unwrap().status, 200);
        }
    });
}

/// Guards against a chat request that is sent to an evacuated data centre or to another region than
/// its organisation's, and against an evacuation that cuts off one which is running.
#[test]
fn chat_request_follows_evacuations_and_the_regions_of_its_organisation() {
    const HELD: &str = "held";
    let gate = Arc::new(Barrier::new(2));
    let upstreams = [(); 2].map(|()| {
        let gate = gate.clone();
        Upstream::start(move |request, out| {
            if request.body.contains(HELD) {
                gate.wait();
            }
            write(out, &chat_response(request))
        })
    });
    let mut cluster = Cluster::start(1, 0);
    cluster.entry_flags = vec!["--regions".to_owned(), "dc1=north,dc2=south".to_owned()];
    cluster.add_entry("dc1");
    let restricted =
        INVENTORY.replacen("quality_target", "regions = [\"north\"]\nquality_target", 1);
    cluster.apply(&restricted, &["--change-id", "first"]);
    for (i, upstream) in upstreams.iter().enumerate() {
        let body = json!({
            "id": format!("u{i}"),
            "incarnation": 1,
            "address": upstream.address.to_string(),
            "data_centre": format!("dc{}", i + 1),
            "serves": { "versions": ["notes@small"] },
            "slots": 8,
        });
        let headers = [("authorization", "Bearer dev-upstream-key")];
        eventually("the upstream is announced", || {
            let entry = cluster.entry_addresses[0];
            let reply = post(entry, "/upstream/announce", &headers, &body.to_string())?;
            (reply.status == 204).then_some(())
        });
    }
    let call = |prompt: &str| cluster.chat(0, &[], &chat_body("notes@small", prompt, 3, false));
    let evacuate = |action: &str, data_centre: &str| {
        let output = cluster.run_cli(&["evacuate", action, data_centre, "--wait"]);
        assert!(output.status.success(), "{output:?}");
    };
    let counts = || upstreams.each_ref().map(|u| u.received().len());
    eventually("a request is served", || {
        call("probe").filter(|response| response.status == 200)
    });
    // One region, then an evacuation under a running request.
    let before = counts();
    for _ in 0..REQUESTS {
        assert_eq!(call("north").unwrap().status, 200);
    }
    assert_eq!(counts(), [before[0] + REQUESTS, before[1]]);
    thread::scope(|scope| {
        let held = scope.spawn(|| call(HELD).unwrap());
        eventually("the request runs", || {
            (counts()[0] > before[0] + REQUESTS).then_some(())
        });
        evacuate("begin", "dc1");
        let refused = call("refused").unwrap();
        assert_eq!(refused.json()["error"]["code"], "no_upstream_in_region");
        gate.wait();
        assert_eq!(held.join().unwrap().status, 200);
    });
    // Any region.
    cluster.apply(INVENTORY, &["--change-id", "second"]);
    let before = counts();
    for _ in 0..REQUESTS {
        assert_eq!(call("south").unwrap().status, 200);
    }
    assert_eq!(counts(), [before[0], before[1] + REQUESTS]);
    evacuate("begin", "dc2");
    let refused = call("refused").unwrap();
    assert_eq!(refused.json()["error"]["code"], "evacuated");
    assert!(["1", "2"].contains(&refused.header("retry-after")));
    evacuate("finish", "dc1");
    assert_eq!(call("back").unwrap().status, 200);
    assert_eq!(counts(), [before[0] + 1, before[1] + REQUESTS]);
}
