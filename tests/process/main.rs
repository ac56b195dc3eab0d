//! Tests that drive the real programs.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod failures;
mod gateway;
mod golden;
mod path;
mod replacement;
mod sessions;
mod soak;
mod stops;
mod streams;
mod support;
