//! Upstreams' answers as callers see them.

use bytes::Bytes;
use http::HeaderMap;
use http::header;
use ntex::http::Response;
use ntex::http::ResponseBuilder;
use ntex::http::header::HeaderValue;

use super::Gateway;
use super::headers::HOP_BY_HOP;
use crate::http_client::ResponseHead;

/// An answer whose body is whole.
pub(super) fn whole(gateway: &Gateway, head: &ResponseHead, body: Bytes) -> Response {
    let mut builder = Response::build(head.status);
    copy_headers(&mut builder, &head.headers);
    let mut response = builder.body(ntex::util::Bytes::copy_from_slice(&body));
    mark(gateway, &mut response);
    response
}

/// The head of a streamed answer.
pub(super) fn builder(head: &ResponseHead) -> ResponseBuilder {
    let mut builder = Response::build(head.status);
    copy_headers(&mut builder, &head.headers);
    builder
}

fn copy_headers(builder: &mut ResponseBuilder, headers: &HeaderMap) {
    for (name, value) in headers {
        let dropped = HOP_BY_HOP.contains(&name.as_str()) || *name == header::CONTENT_LENGTH;
        if dropped {
            continue;
        }
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            builder.header(name.clone(), value);
        }
    }
}

/// Asks the caller to use another connection next time, where this process is about to stop.
pub(super) fn mark(gateway: &Gateway, response: &mut Response) {
    if gateway.is_leaving() {
        response
            .head_mut()
            .set_connection_type(ntex::http::ConnectionType::Close);
    }
}
