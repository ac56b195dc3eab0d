//! Settles claims whose entry is gone, from the engine's own record.
//!
//! A claim is looked at once its entry's lease is certainly over. The engine's record says what to
//! bill. An engine that is gone too, or has no record, is asked again until [`GIVE_UP`]; then the
//! request is billed with no tokens, because nobody can show what it used.

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
const ROUND: Duration = Duration::from_secs(1);

/// Claims that one round settles, at most.
const ROUND_LIMIT: usize = 200;

/// Time after which an engine without an answer is given up.
const GIVE_UP: Duration = Duration::from_secs(30);

/// Settles orphaned claims as long as the process runs.
pub(super) async fn reap(core: Rc<RefCell<Core>>) {
    let records = RecordClient::new().await;
    let mut first_seen: HashMap<RequestId, Duration> = HashMap::default();
    loop {
        tokio::time::sleep(ROUND).await;
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
                None if now >= since + GIVE_UP => lost(claim.request),
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

fn orphans(core: &Core) -> Vec<(Claim, Option<std::net::SocketAddr>)> {
    if !core.serves() {
        return Vec::new();
    }
    let now = core.now();
    core.state
        .open_claims()
        .filter(|claim| !core.control.grantor.may_hold(claim.entry, now))
        .take(ROUND_LIMIT)
        .map(|claim| {
            let row = core.state.directory.get(&claim.upstream);
            (claim.clone(), row.map(|row| row.announced.address))
        })
        .collect()
}

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

fn lost(request: RequestId) -> Settlement {
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
