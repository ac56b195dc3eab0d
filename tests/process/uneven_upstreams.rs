//! Gateways in front of two upstreams of which one takes four times as long.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::backpressure::Setup;
use crate::backpressure::response_with;
use crate::support::Upstream;
use crate::support::write;

/// Returns the share of requests that the slow upstream gets after some seconds, if the upstreams
/// report that load.
fn share_of_slow_upstream(load: &'static str) -> f64 {
    let start = |work: Duration| {
        let count = Arc::new(AtomicUsize::new(0));
        let counter = count.clone();
        let upstream = Upstream::start(move |seen, out| {
            counter.fetch_add(1, Ordering::Relaxed);
            thread::sleep(work);
            let header = format!("daisyquay-load: {load}");
            write(out, &response_with(seen, &header));
            true
        });
        (upstream, count)
    };
    let (usual, usual_count) = start(Duration::from_millis(15));
    let (slow, slow_count) = start(Duration::from_millis(60));
    let setup = Setup::new(2, [usual.address, slow.address]);
    setup.send_for(Duration::from_secs(8));
    let before = (
        usual_count.load(Ordering::Relaxed),
        slow_count.load(Ordering::Relaxed),
    );
    let statuses = setup.send_for(Duration::from_secs(3));
    assert!(statuses.iter().all(|status| *status == Some(200)));
    let usual = usual_count.load(Ordering::Relaxed) - before.0;
    let slow = slow_count.load(Ordering::Relaxed) - before.1;
    slow as f64 / (usual + slow) as f64
}

/// Guards against gateways that learn nothing from response times, and against ones that do so
/// where the upstreams do not report their momentary slowness.
#[test]
fn learned_slowness_moves_requests_only_where_upstreams_report_a_fourth_figure() {
    let with = share_of_slow_upstream("0,0,8,100");
    let without = share_of_slow_upstream("0,0,8");
    assert!(with < 0.15, "with the fourth figure: {with}");
    assert!(without > 0.25, "without it: {without}");
}
