//! A plain service that counts what it is asked to do.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::State;
use serde_json::json;

use super::server::Stand;
use crate::engine::ATTEMPT_HEADER;

/// Answers any call with its method, path and body.
pub(crate) async fn call(req: HttpRequest, body: Bytes, stand: State<Arc<Stand>>) -> HttpResponse {
    let faults = stand.faults();
    let text = String::from_utf8_lossy(&body).into_owned();
    *stand.seen().bodies.entry(text.clone()).or_default() += 1;
    if faults.fail {
        return HttpResponse::InternalServerError().finish();
    }
    if faults.freeze {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(stand.cfg.initial_delay.mul_f64(faults.slow)).await;
    let mut builder = HttpResponse::Ok();
    if let Some(attempt) = req.headers().get(ATTEMPT_HEADER) {
        builder.header(ATTEMPT_HEADER, attempt.clone());
    }
    builder.json(&json!({
        "method": req.method().as_str(),
        "path": req.uri().to_string(),
        "body": text,
    }))
}
