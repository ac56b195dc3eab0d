//! How the leader divides a pool's slots among the entries.

/// Slots that are given out, as a share of the pool. Entries can't lend each other slots between
/// renewals; a short queue at the runners keeps them busy meanwhile.
const OVERCOMMIT_PERCENT: u64 = 125;

/// Slots for one entry that has `own` of the pool's whole `demand` of requests.
///
/// Half of the pool is divided evenly, so that a burst at a quiet entry need not wait for the next
/// renewal, and half by demand. An entry gets one slot at least: together the entries may exceed
/// the pool by one request each.
pub fn slots_for_entry(pool: u64, entries: u64, own: u64, demand: u64) -> u32 {
    let pool = pool * OVERCOMMIT_PERCENT / 100;
    let even = pool / entries.max(1);
    let by_demand = (pool - pool / 2) * own;
    let part = by_demand
        .checked_div(demand)
        .map_or(even, |part| even / 2 + part);
    u32::try_from(part.max(1)).unwrap_or(u32::MAX)
}
