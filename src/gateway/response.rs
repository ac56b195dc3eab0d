//! Converts responses of upstreams into responses for callers.

use bytes::Bytes;
use http::HeaderMap;
use http::header;
use ntex::http::Response;
use ntex::http::ResponseBuilder;
use ntex::http::header::HeaderValue;

use super::Gateway;
use super::headers::HOP_BY_HOP;
use super::headers::PASSED_ON;
use crate::http_client::ResponseHead;

/// Returns a response with a complete body.
pub(super) fn complete(gateway: &Gateway, head: &ResponseHead, body: Bytes) -> Response {
    let mut builder = Response::build(head.status);
    copy_headers(&mut builder, &head.headers);
    let mut response = builder.body(ntex::util::Bytes::copy_from_slice(&body));
    close_if_draining(gateway, &mut response);
    response
}

/// Returns the head of a streaming response.
pub(super) fn streaming_builder(head: &ResponseHead) -> ResponseBuilder {
    let mut builder = Response::build(head.status);
    copy_headers(&mut builder, &head.headers);
    builder
}

fn copy_headers(builder: &mut ResponseBuilder, headers: &HeaderMap) {
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP.contains(&name.as_str())
            || *name == header::CONTENT_LENGTH
            || *name == PASSED_ON;
        if is_dropped {
            continue;
        }
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            builder.header(name.clone(), value);
        }
    }
}

/// Asks the caller to close the connection if the gateway is shutting down.
pub(super) fn close_if_draining(gateway: &Gateway, response: &mut Response) {
    if gateway.is_draining() {
        response
            .head_mut()
            .set_connection_type(ntex::http::ConnectionType::Close);
    }
}
