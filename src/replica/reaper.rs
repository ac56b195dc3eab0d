//! Settles the claims of entries that are gone, from the engine's usage record.
//!
//! A claim is orphaned once its entry certainly holds no lease any more. The engine's usage record
//! says what to bill. An engine that is unreachable or has no record is asked again for
//! [`GIVE_UP_AFTER`]; then the request is billed with 0 tokens, because its use can't be proved.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::core::Core;
use crate::collections::HashMap;
use crate::engine::RecordClient;
use crate::engine::UsageRecord;
use crate::log::event;
use crate::state::Claim;
use crate::state::RequestId;
use crate::state::command::Ending;
use crate::state::command::LedgerOp;
use crate::state::command::Op;
use crate::state::command::Settlement;

/// Time between rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Most orphaned claims that one round handles.
const MAX_CLAIMS_PER_ROUND: usize = 200;

/// Time from finding an orphaned claim until it is settled without a usage record.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);

/// Settles orphaned claims in rounds; never returns.
pub(super) async fn settle_orphans(core: Rc<RefCell<Core>>) {
    let records = RecordClient::new();
    let mut first_seen: HashMap<RequestId, Duration> = HashMap::default();
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let orphans = orphans(&core.borrow());
        let known: Vec<RequestId> = orphans.iter().map(|(claim, _)| claim.request).collect();
        first_seen.retain(|request, _| known.contains(request));
        for (claim, address) in orphans {
            let now = core.borrow().now();
            let since = *first_seen.entry(claim.request).or_insert(now);
            let record = match address {
                Some(address) => records.fetch(address, claim.request).await,
                None => None,
            };
            let settlement = match record {
                Some(record) => settlement(claim.request, &record),
                None if now >= since + GIVE_UP_AFTER => lost_settlement(claim.request),
                None => continue,
            };
            event!(
                Warn,
                "claim_reaped",
                request = claim.request,
                ending = format!("{:?}", settlement.ending)
            );
            let op = Op::Ledger(vec![LedgerOp::Settle(settlement)]);
            core.borrow_mut().propose(op);
        }
    }
}

/// Returns the claims of entries without a lease, each with its upstream's address if it is known.
fn orphans(core: &Core) -> Vec<(Claim, Option<std::net::SocketAddr>)> {
    if !core.has_leader_lease() {
        return Vec::new();
    }
    let now = core.now();
    core.state
        .open_claims()
        .filter(|claim| !core.leader_state.grantor.may_hold(claim.entry, now))
        .take(MAX_CLAIMS_PER_ROUND)
        .map(|claim| {
            let row = core.state.directory.get(&claim.upstream);
            (claim.clone(), row.map(|row| row.announced.address))
        })
        .collect()
}

/// Returns the settlement of a claim according to its engine's record.
fn settlement(request: RequestId, record: &UsageRecord) -> Settlement {
    Settlement {
        request,
        tokens_in: record.tokens_in,
        tokens_out: record.tokens_out,
        ending: if record.whole {
            Ending::Whole
        } else {
            Ending::Cancelled
        },
        ttft_ms: 0,
        earlier_steps: Vec::new(),
        final_target: None,
    }
}

/// Returns the settlement of a claim whose use of tokens is unknown.
fn lost_settlement(request: RequestId) -> Settlement {
    Settlement {
        request,
        tokens_in: 0,
        tokens_out: 0,
        ending: Ending::Lost,
        ttft_ms: 0,
        earlier_steps: Vec::new(),
        final_target: None,
    }
}
