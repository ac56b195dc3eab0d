//! The gateway's admin listener: `/healthz`, `/readyz` and `/metrics`.

use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;

use super::Gateway;

/// Answers one request.
pub(super) fn answer(gateway: &Gateway, req: &Request) -> Response {
    match req.path() {
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" if gateway.is_ready() => text(StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "not ready: no configuration yet, or about to stop\n".to_owned(),
        ),
        "/metrics" => text(StatusCode::OK, gateway.metrics.render()),
        _ => text(StatusCode::NOT_FOUND, String::new()),
    }
}

fn text(status: StatusCode, text: String) -> Response {
    Response::build(status)
        .content_type("text/plain; version=0.0.4")
        .body(text)
}
