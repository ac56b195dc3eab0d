//! The admin listener: `/healthz`, `/readyz` and `/metrics`.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use ntex::server::Server;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpResponse;
use ntex::web::HttpServer;

use crate::metrics::Metrics;

/// The state that the admin listener exposes.
#[derive(Clone)]
pub(crate) struct Status {
    /// Rendered at `/metrics`.
    pub(crate) metrics: Metrics,
    /// Whether `/readyz` returns 200 rather than 503.
    pub(crate) ready: Arc<AtomicBool>,
}

/// Starts the admin server on `listener`.
///
/// # Errors
///
/// The operating system refuses the listener.
pub(crate) fn serve(listener: TcpListener, status: Status) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(status.clone())
            .route("/healthz", web::get().to(healthz))
            .route("/readyz", web::get().to(readyz))
            .route("/metrics", web::get().to(metrics))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

async fn healthz() -> &'static str {
    "ok\n"
}

async fn readyz(status: web::types::State<Status>) -> HttpResponse {
    if status.ready.load(Ordering::Relaxed) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready: no live lease or no leader\n")
}

async fn metrics(status: web::types::State<Status>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(status.metrics.render())
}
