//! Load patterns against the decisions that answer them, without a network.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod budget;
mod choice;
mod fanout;
mod ladder;
mod pace;
mod patience;
mod placement;
mod release;
mod sessions;
