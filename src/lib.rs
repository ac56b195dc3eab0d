//! daisyquay: a model-aware router for model versions and cascades, with its own durable state in a
//! replicated log.
//!
//! The modules that decide (`agreement`, `lease`, `policy`, `state`, `upstream`) do no I/O.
//! `replica`, `entry` and `relay` call them and do the I/O that they ask for.

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
pub mod http_client;
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
pub(crate) mod evacuation;
pub(crate) mod lock_rank;
pub(crate) mod log;
pub(crate) mod metrics;
pub(crate) mod random;
pub(crate) mod recovery;
pub(crate) mod relay;
pub(crate) mod signal;
pub(crate) mod wait_notice;
