//! The model that answers a request whose model the gateway chooses.

use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::free_address;
use crate::support::send;
use crate::support::sse_event;
use crate::support::write;

pub(crate) const ROUTE: &str = r#"
[services.engine]
slots = 8
cache_tokens = 100000
models = [{ name = "small", cost = 0.008 }, { name = "large", cost = 0.12 }]

[[upstream_keys]]
name = "runners"
key_sha256 = "01e5c3f5135d1eea114d68f72ef7b44618c8f003c4b969b0ace62aeee3b0eef6"

[[routes]]
name = "chat"
host = "previews.example"
prefix = "/chat/"
repeat = "stream"
timeout_ms = 8000
target_ms = 2000
attempts = 3
resume = true
ladder = ["small", "large"]
split = [{ service = "previews", weight = 1 }]
"#;

/// Returns the models that ran a request to which the small one answers with `confidence`.
fn models_run(confidence: u32, admission: &str) -> Vec<String> {
    let upstream = Upstream::start(move |seen, out| {
        let event = sse_event(1);
        let response = format!(
            "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: s\r\n\
             daisyquay-confidence: {confidence}\r\ncontent-type: text/event-stream\r\n\
             content-length: {}\r\n\r\n{event}",
            seen.attempt_id(),
            event.len()
        );
        write(out, &response)
    });
    let cluster = Cluster::start(1, 1);
    let (before_keys, _) = INVENTORY.split_once("[[upstream_keys]]").unwrap();
    cluster.apply(&format!("{before_keys}{ROUTE}"), &["--change-id", "first"]);
    announce(&cluster, "u0", upstream.address);
    let address = free_address();
    let _gateway = cluster.start_gateway_with(address, &["--admission", admission]);
    let headers = [
        AUTH_HEADER,
        ("host", "previews.example"),
        ("daisyquay-attempt", "id-1"),
        ("daisyquay-model", "*"),
        ("daisyquay-tokens", "600,200"),
    ];
    let response = eventually("the gateway has its routes and the upstream", || {
        let response = send("POST", address, "/chat/a", &headers, "")?;
        (response.status == 200).then_some(response)
    });
    assert_eq!(response.body, sse_event(1));
    let received = upstream.received();
    let models = received
        .iter()
        .filter_map(|seen| seen.header("daisyquay-model"));
    models.map(str::to_owned).collect()
}

/// A confidence of 60 is above the limit of the present rule, which must not change without the
/// setting.
#[test]
fn doubtful_answer_is_replaced_by_value_only_where_the_gateway_manages_load() {
    assert_eq!(models_run(60, "off"), ["small"]);
    assert_eq!(models_run(60, "on"), ["small", "large"]);
    assert_eq!(models_run(90, "on"), ["small"]);
}
