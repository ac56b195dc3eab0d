//! Serves one request: selects a version, claims the request in the ledger, sends it to an
//! upstream, relays the response and settles the claim.

mod app;
mod attempt;
mod body;
mod chat;
mod claim;
mod eligible;
mod rating;
mod request;
mod select;
mod sse;
mod stream;

pub(crate) use self::app::AppCall;
pub(crate) use self::app::serve_app;
pub(crate) use self::chat::serve_chat;
pub(crate) use self::request::ChatCall;
pub(crate) use self::request::parse_deadline;
pub(crate) use self::request::text_header;
