//! Tests that drive the real programs.

mod failures;
mod path;
mod sessions;
mod stops;
mod streams;
mod support;
