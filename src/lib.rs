//! daisyquay: a model-aware router for versions and cascades, with its own durable state.
//!
//! The decisions (`agreement`, `lease`, `policy`, `state`, `upstream`) are pure; `replica`, `entry`
//! and `relay` are the shells that feed them and carry out what they decide.

pub mod agreement;
pub mod cli;
pub mod clock;
pub mod collections;
pub mod config;
pub mod dev;
pub mod entry;
pub mod experiment;
pub mod explain;
pub mod gateway;
pub mod lease;
pub mod listen;
pub mod operator;
pub mod peer;
pub mod policy;
pub mod replica;
pub mod runtime;
pub mod standin;
pub mod state;
pub mod storage;
pub mod upstream;

pub(crate) mod admin;
pub(crate) mod api;
pub(crate) mod codec;
pub(crate) mod engine;
pub(crate) mod http_client;
pub(crate) mod lock_rank;
pub(crate) mod log;
pub(crate) mod metrics;
pub(crate) mod relay;
pub(crate) mod signal;
