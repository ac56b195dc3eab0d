//! Responses that the gateway makes itself when it cannot return one from an upstream.

use std::time::Duration;

use http::StatusCode;
use ntex::http::Response;

use crate::api::ErrorBody;
use crate::api::ErrorDetail;

/// An error response of the gateway. Its status tells whether the request has run: 408, 429 and
/// 503 guarantee that it has not and will not.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) code: &'static str,
    pub(super) message: String,
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a `retry-after` header.
    pub(super) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// 503: the request has not run and can be retried later.
    pub(super) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            retry_after: Some(Duration::from_millis(500)),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    /// 503 of a gateway that shuts down: the request has not run, and another gateway can serve it at
    /// once.
    pub(super) fn stopping() -> Self {
        Self::unavailable(
            "stopping",
            "this gateway is shutting down; retry at another gateway",
        )
        .with_retry_after(Duration::ZERO)
    }

    /// 502: the request may have run, but its response was lost.
    pub(super) fn bad_gateway(code: &'static str) -> Self {
        let message = "the response of the upstream was lost; the request may have run";
        Self::new(StatusCode::BAD_GATEWAY, code, message)
    }

    /// 504: the deadline passed while the request may have been running.
    pub(super) fn gateway_timeout() -> Self {
        let message = "no response before the deadline; the request may have run";
        Self::new(StatusCode::GATEWAY_TIMEOUT, "timed_out", message)
    }

    pub(super) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the HTTP response, with a JSON error body.
    pub(super) fn to_response(&self) -> Response {
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
        if self.status == StatusCode::REQUEST_TIMEOUT {
            // The unread rest of the body would be taken for the next request.
            response.force_close();
        }
        response.json(&body)
    }
}
