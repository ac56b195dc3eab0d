//! The routing decisions.
//!
//! Each is a function of explicit state, the time and a random source, and does no I/O, so that
//! tests can replay load patterns and faults without a network.

pub mod absent_gateways;
pub mod admission;
pub mod backpressure;
pub mod bootstrap;
pub mod brittle;
pub mod buffer_budget;
pub mod cold_start;
pub mod crashing_requests;
pub mod demand;
pub mod escalation;
pub mod exclusion;
pub mod fanout;
pub mod fingerprint;
pub mod gateway_queue;
pub mod load_balancing;
pub mod lost_responses;
pub mod model_choice;
pub mod overdue_stream;
pub mod pace;
pub mod piece_budget;
pub mod placement;
pub mod plan;
pub mod prefill;
pub mod prompt;
pub mod quality;
pub mod quarantine;
pub mod reachability;
pub mod regions;
pub mod release_rollout;
pub mod renewal_timing;
pub mod repetition;
pub mod replica_discovery;
pub mod replica_search;
pub mod retry;
pub mod retry_budget;
pub mod service_reachability;
pub mod sessions;
pub mod slot_allocation;
pub mod speed;
pub mod stalled_callers;
pub mod timeouts;
pub mod version_rollout;
