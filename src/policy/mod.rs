//! The decisions. Each is a pure function over a state, an event, the time and a random source.

pub mod admission;
pub mod choice;
pub mod plan;
pub mod quality;
pub mod retry;
pub mod rollout;
pub mod share;
