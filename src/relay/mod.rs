//! Serves one request: choose, claim, dispatch, relay, settle.

mod app;
mod ask;
mod attempt;
mod chat;
mod claim;
mod rating;
mod select;
mod sse;
mod stream;

pub(crate) use self::app::AppCall;
pub(crate) use self::app::call as call_app;
pub(crate) use self::ask::Ask;
pub(crate) use self::ask::deadline;
pub(crate) use self::ask::header;
pub(crate) use self::chat::chat;
