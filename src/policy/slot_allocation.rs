//! Decides how many slots of a pool the leader grants to each entry.
//!
//! Handles demand that is uneven among the entries and changes between lease renewals.

/// Slots that are granted, as a percentage of the pool. Entries can't exchange slots between
/// renewals; short queues at the upstreams keep them busy in the meantime.
const OVERCOMMIT_PERCENT: u64 = 125;

/// Returns the slots of an entry that has `own` requests of the pool's total `demand`.
///
/// Half of the pool is divided evenly, so that a burst at an idle entry does not wait for the next
/// renewal, and half by demand. Every entry gets at least one slot, so the entries may together
/// exceed the pool by one request each.
pub fn slots_for_entry(pool: u64, entries: u64, own: u64, demand: u64) -> u32 {
    let pool = pool * OVERCOMMIT_PERCENT / 100;
    let even = pool / entries.max(1);
    let by_demand = (pool - pool / 2) * own;
    let slots = by_demand
        .checked_div(demand)
        .map_or(even, |share| even / 2 + share);
    u32::try_from(slots.max(1)).unwrap_or(u32::MAX)
}
