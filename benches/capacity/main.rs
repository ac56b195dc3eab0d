//! Measures how costs grow with the size and the load of a cluster, the basis of
//! `docs/CAPACITY.md`. The programs of the cluster run on one machine.
//!
//! `cargo bench --bench capacity` prints all tables; `cargo bench --bench capacity -- control`
//! prints one of them.

#![expect(clippy::unwrap_used, reason = "a benchmark fails by panicking")]

mod changes;
mod control;
mod failover;
mod ledger;
mod sizes;
mod state;
#[path = "../support/mod.rs"]
mod support;

fn main() {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"))
        .collect();
    let tables: [(&str, fn()); 7] = [
        ("sizes", sizes::run),
        ("control", control::run),
        ("requests", ledger::run_requests),
        ("claims", ledger::run_claims),
        ("changes", changes::run),
        ("failover", failover::run),
        ("state", state::run),
    ];
    for (name, print_table) in tables {
        if selected.is_empty() || selected.iter().any(|arg| arg == name) {
            println!("\n## {name}");
            print_table();
        }
    }
}
