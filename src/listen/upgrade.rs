//! Requests that offer to change the protocol of their connection.
//!
//! A server may ignore the offer. ntex can't: it takes all that follows for the body, and closes the
//! connection. So the connection is served anew from the same request without the offer.

use std::cell::RefCell;
use std::future::ready;
use std::io;
use std::rc::Rc;

use ntex::http::Method;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::Version;
use ntex::http::h1::Control;
use ntex::http::h1::ControlAck;
use ntex::http::header;
use ntex::io::Base;
use ntex::io::Id;
use ntex::io::Io;
use ntex::util::BytesMut;

use crate::collections::HashMap;

/// Connections that are to be served anew; clones share them.
#[derive(Clone, Default)]
pub(super) struct Declined {
    connections: Rc<RefCell<HashMap<Id, Io>>>,
}

impl Declined {
    /// Returns the connection `id` if its last request offered an upgrade.
    pub(super) fn take(&self, id: Id) -> Option<Io> {
        self.connections.borrow_mut().remove(&id)
    }
}

/// Handles a control message: declines an upgrade, and refuses a tunnel.
pub(super) fn decline(declined: &Declined, message: Control<Base, io::Error>) -> ControlAck<Base> {
    let Control::Upgrade(offer) = message else {
        return message.ack();
    };
    if *offer.get_ref().method() == Method::CONNECT {
        return offer.fail_with(Response::build(StatusCode::METHOD_NOT_ALLOWED).finish());
    }
    let head = head_without_offer(offer.get_ref());
    let io = offer.io().take();
    io.with_read_buf(|buf| {
        let mut unread = BytesMut::with_capacity(head.len() + buf.len());
        unread.extend_from_slice(&head);
        unread.extend_from_slice(buf);
        *buf = unread;
    });
    declined.connections.borrow_mut().insert(io.id(), io);
    // The connection has been taken, so there is nothing else to handle.
    offer.handle(|_, _, _| ready(()))
}

/// Returns the head of a request less its offer. An expectation has been met by now.
fn head_without_offer(req: &Request) -> Vec<u8> {
    let version = if req.version() == Version::HTTP_10 {
        "HTTP/1.0"
    } else {
        "HTTP/1.1"
    };
    let mut head = format!("{} {} {version}\r\n", req.method(), req.uri()).into_bytes();
    for (name, value) in req.headers() {
        if *name == header::UPGRADE || *name == header::EXPECT {
            continue;
        }
        if *name == header::CONNECTION {
            let options = options_without_upgrade(value.to_str().unwrap_or_default());
            if !options.is_empty() {
                append_header(&mut head, name.as_str(), options.as_bytes());
            }
            continue;
        }
        append_header(&mut head, name.as_str(), value.as_bytes());
    }
    head.extend_from_slice(b"\r\n");
    head
}

fn append_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}

/// Returns the options of a `Connection` header that have no `upgrade` in their names: ntex takes
/// any of these for an offer.
fn options_without_upgrade(value: &str) -> String {
    let options: Vec<&str> = value
        .split(',')
        .map(str::trim)
        .filter(|option| !option.to_ascii_lowercase().contains("upgrade"))
        .collect();
    options.join(", ")
}
