//! Large request bodies of many callers at once.

use std::thread;
use std::time::Duration;

use crate::framing::MEMORY_LIMIT_KB;
use crate::gateway::ROUTES;
use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::ok_response;
use crate::support::send;
use crate::support::write;

/// Time for which the upstream works on a request, whose body is held meanwhile.
const WORK_TIME: Duration = Duration::from_millis(200);

/// Guards against bodies that are bounded one by one and use up the memory together, and against
/// refusals of small ones beside them.
#[test]
fn large_bodies_of_many_callers_stay_within_the_memory_of_a_small_vm() {
    const CALLERS: usize = 30;
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    let upstream = Upstream::start(|seen, out| {
        thread::sleep(WORK_TIME);
        write(out, &ok_response(seen, &seen.body.len().to_string()))
    });
    let cluster = Cluster::start(1, 1);
    let inventory = format!("{INVENTORY}{ROUTES}");
    cluster.apply(&inventory, &["--change-id", "first"]);
    announce(&cluster, "u0", upstream.address);
    let (mut gateway, address) = cluster.start_gateway();
    let call = move |id: &str, body: &str| {
        let headers = [
            AUTH_HEADER,
            ("host", "previews.example"),
            ("daisyquay-attempt", id),
        ];
        send("POST", address, "/hold/a", &headers, body)
    };
    eventually("the gateway serves", || {
        let reply = call("probe", "")?;
        (reply.status == 200).then_some(())
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            thread::spawn(move || {
                let body = "b".repeat(BODY_BYTES);
                let mut refused = 0;
                loop {
                    let reply = call(&format!("large-{caller}-{refused}"), &body).unwrap();
                    if reply.status == 200 {
                        assert_eq!(reply.body, BODY_BYTES.to_string());
                        return refused;
                    }
                    assert_eq!(reply.status, 503, "{}", reply.body);
                    let retry_after = reply.header("retry-after").parse().unwrap();
                    thread::sleep(Duration::from_secs_f64(retry_after));
                    refused += 1;
                }
            })
        })
        .collect();
    let mut small = 0;
    while callers.iter().any(|caller| !caller.is_finished()) {
        let reply = call(&format!("small-{small}"), &"s".repeat(32 * 1024)).unwrap();
        assert_eq!(reply.status, 200, "small-{small}: {}", reply.body);
        small += 1;
    }
    let refused = callers.into_iter().map(|caller| caller.join().unwrap());
    let refused: usize = refused.sum();
    let peak_kb = gateway.peak_memory_kb();
    println!("{refused} large bodies refused, {small} small ones served, {peak_kb} kB");
    assert_eq!(gateway.try_exit_code(), None);
    assert!(peak_kb < MEMORY_LIMIT_KB, "{peak_kb} kB");
    // The upstream received no request that was refused.
    let arrived = upstream.received();
    let large = arrived.iter().filter(|seen| seen.body.len() == BODY_BYTES);
    assert_eq!(large.count(), CALLERS);
}
