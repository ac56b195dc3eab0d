//! The decisions. Each is a pure function over a state, an event, the time and a random source.

pub mod admission;
pub mod budget;
pub mod choice;
pub mod fanout;
pub mod ladder;
pub mod pace;
pub mod patience;
pub mod placement;
pub mod plan;
pub mod prompt;
pub mod quality;
pub mod release;
pub mod retry;
pub mod rollout;
pub mod sessions;
pub mod share;
