//! The slopes behind docs/CAPACITY.md, measured with the real programs on one machine.
//!
//! `cargo bench --bench capacity` prints all tables; `cargo bench --bench capacity -- control` one.

#![expect(clippy::unwrap_used, reason = "a bench fails by panicking")]

mod changes;
mod control;
mod failover;
mod ledger;
mod sizes;
mod state;
#[path = "../support/mod.rs"]
mod support;

fn main() {
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"))
        .collect();
    let tables: [(&str, fn()); 7] = [
        ("sizes", sizes::run),
        ("control", control::run),
        ("requests", ledger::requests),
        ("claims", ledger::claims),
        ("changes", changes::run),
        ("failover", failover::run),
        ("state", state::run),
    ];
    for (name, table) in tables {
        if wanted.is_empty() || wanted.iter().any(|known| known == name) {
            println!("\n## {name}");
            table();
        }
    }
}
