//! Refusals: the error responses that callers get.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;

use crate::api::ErrorBody;
use crate::api::ErrorDetail;
use crate::state::RequestId;

/// Whether a request has run, as sent in the `daisyquay-ran` header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ran {
    /// It has not run.
    No,
    /// It has run.
    Yes,
    /// It may have run.
    Unknown,
}

impl Ran {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// An error response.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// Machine-readable reason.
    pub(crate) code: &'static str,
    /// What was wrong and what to do, for people.
    pub(crate) message: String,
    pub(crate) ran: Ran,
    /// For the `retry-after` header; `None` omits it.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Creates a refusal of an invalid request (status 400).
    pub(crate) fn bad(code: &'static str, message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, code, message)
    }

    /// Creates the refusal of a request without a valid API key (status 401).
    pub(crate) fn unknown_key() -> Self {
        let message = "the API key is missing or unknown; send `Authorization: Bearer KEY` with a \
                       key that the inventory lists for your organisation";
        Self::new(StatusCode::UNAUTHORIZED, "unknown_key", message)
    }

    /// Creates the refusal of a request that found no free slot in time (status 429).
    pub(crate) fn busy(retry_after: Duration) -> Self {
        let message = "all slots are in use; retry after the seconds in the `retry-after` header";
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::TOO_MANY_REQUESTS, "busy", message)
        }
    }

    /// Creates a refusal for a temporary condition (status 503), to be retried after a second.
    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            retry_after: Some(Duration::from_secs(1)),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    /// Sets whether the request has run.
    pub(crate) fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Renders the refusal as the HTTP response to `request`.
    pub(crate) fn response(&self, request: RequestId) -> HttpResponse {
        let error_type = match self.status.as_u16() {
            401 => "authentication_error",
            403 => "permission_error",
            404 => "not_found_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let body = ErrorBody {
            error: ErrorDetail {
                message: self.message.clone(),
                type_: error_type.to_owned(),
                code: self.code.to_owned(),
                param: None,
            },
        };
        let mut builder = HttpResponse::build(self.status);
        builder
            .header("daisyquay-request-id", request.to_string())
            .header("daisyquay-ran", self.ran.as_str());
        if let Some(retry_after) = self.retry_after {
            builder.header(
                "retry-after",
                retry_after.as_secs_f64().ceil().max(1.0).to_string(),
            );
        }
        builder.json(&body)
    }
}
