//! One small helper that starts the real programs on loopback and talks to them.

mod cluster;
mod http;
mod program;
mod proxy;
mod upstream;

pub(crate) use self::cluster::AUTH_HEADER;
pub(crate) use self::cluster::Cluster;
pub(crate) use self::cluster::INVENTORY;
pub(crate) use self::http::Response;
pub(crate) use self::http::chat_body;
pub(crate) use self::http::get;
pub(crate) use self::http::post;
pub(crate) use self::http::send;
pub(crate) use self::http::stream_text;
pub(crate) use self::program::Program;
pub(crate) use self::proxy::PartitionProxy;
pub(crate) use self::upstream::ReceivedRequest;
pub(crate) use self::upstream::Upstream;
pub(crate) use self::upstream::chunk;
pub(crate) use self::upstream::ok_response;
pub(crate) use self::upstream::sse_event;
pub(crate) use self::upstream::stream_response_head;
pub(crate) use self::upstream::write;

use std::time::Duration;
use std::time::Instant;

/// How long a state of affairs may take to come about before a test gives up on it. It bounds a
/// hang; no test passes or fails by speed.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until `check` gives a value.
pub(crate) fn eventually<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(Instant::now() < until, "never came about: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
