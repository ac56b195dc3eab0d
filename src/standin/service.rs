//! A plain service that counts its requests by their body.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::State;
use serde_json::json;

use super::server::StandIn;
use crate::engine::ATTEMPT_HEADER;

/// Responds to any request with its method, path and body, subject to the faults that are set.
pub(crate) async fn call(
    req: HttpRequest,
    body: Bytes,
    standin: State<Arc<StandIn>>,
) -> HttpResponse {
    let faults = standin.faults();
    let text = String::from_utf8_lossy(&body).into_owned();
    *standin.seen().bodies.entry(text.clone()).or_default() += 1;
    if faults.fail {
        return HttpResponse::InternalServerError().finish();
    }
    if faults.freeze {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(standin.cfg.initial_delay.mul_f64(faults.slow)).await;
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
