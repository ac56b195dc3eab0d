//! Refusals and failures as callers see them.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;

use crate::api::ErrorBody;
use crate::api::ErrorDetail;
use crate::state::RequestId;

/// Whether a request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ran {
    /// Certainly not.
    No,
    /// Certainly.
    Yes,
    /// It may have.
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

/// A final answer without a result.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) ran: Ran,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that has not run.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    pub(crate) fn bad(code: &'static str, message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, code, message)
    }

    pub(crate) fn unknown_key() -> Self {
        let message = "the key is unknown; send `Authorization: Bearer KEY` with a key that the \
                       inventory lists for your organisation";
        Self::new(StatusCode::UNAUTHORIZED, "unknown_key", message)
    }

    /// Too much work for now.
    pub(crate) fn busy(retry_after: Duration) -> Self {
        let message = "all slots are taken; come back after `retry-after` seconds";
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::TOO_MANY_REQUESTS, "busy", message)
        }
    }

    /// This entry can't route at the moment.
    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            retry_after: Some(Duration::from_secs(1)),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    pub(crate) fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// The response.
    pub(crate) fn response(&self, request: RequestId) -> HttpResponse {
        let kind = match self.status.as_u16() {
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
                type_: kind.to_owned(),
                code: self.code.to_owned(),
                param: None,
            },
        };
        let mut builder = HttpResponse::build(self.status);
        builder
            .header("daisyquay-request-id", request.to_string())
            .header("daisyquay-ran", self.ran.as_str());
        if let Some(wait) = self.retry_after {
            builder.header(
                "retry-after",
                wait.as_secs_f64().ceil().max(1.0).to_string(),
            );
        }
        builder.json(&body)
    }
}
