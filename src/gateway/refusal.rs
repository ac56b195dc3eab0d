//! Final answers that no upstream made.

use std::time::Duration;

use http::StatusCode;
use ntex::http::Response;

use crate::api::ErrorBody;
use crate::api::ErrorDetail;

/// A final answer without a result. Its status promises whether the request has run: 429 and 503
/// say that it has not and never will.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) code: &'static str,
    pub(super) message: String,
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    /// The request can't be served as it is.
    pub(super) fn refused(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// It has not run, and may be served later.
    pub(super) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            retry_after: Some(Duration::from_millis(500)),
            ..Self::refused(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    /// It may have run; no answer came.
    pub(super) fn broken(code: &'static str) -> Self {
        let message = "the upstream's answer was lost; the request may have run";
        Self::refused(StatusCode::BAD_GATEWAY, code, message)
    }

    /// Its time is over while it ran.
    pub(super) fn timed_out() -> Self {
        let message = "no answer within the time limit; the request may have run";
        Self::refused(StatusCode::GATEWAY_TIMEOUT, "timed_out", message)
    }

    pub(super) fn after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The answer that the caller sees.
    pub(super) fn response(&self) -> Response {
        let body = ErrorBody {
            error: ErrorDetail {
                code: self.code.to_owned(),
                message: self.message.clone(),
                param: None,
                type_: "gateway".to_owned(),
            },
        };
        let mut response = Response::build(self.status);
        if let Some(after) = self.retry_after {
            response.header("retry-after", format!("{:.2}", after.as_secs_f64()));
        }
        response.json(&body)
    }
}
