//! Read-only queries of operators.

mod report;

use serde::Deserialize;
use serde::Serialize;

pub use self::report::BillRow;
pub use self::report::Report;
pub use self::report::SessionRow;
pub use self::report::StatusReport;
pub use self::report::UpstreamRow;
pub use self::report::VersionRow;

use super::State;

/// Most rows of the session and audit reports.
const ROW_LIMIT: usize = 1000;

/// Query of the state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// Current inventory.
    Inventory,
    /// Summary of the whole system.
    Status,
    /// Upstreams in the directory.
    Upstreams,
    /// Numbered document that the inventory was loaded from.
    Document,
    /// Releases of services and their rollouts.
    Releases,
    /// Pinned sessions, the most recently used first.
    Sessions,
    /// Rollouts of model versions.
    Rollouts,
    /// Bills by organisation and target.
    Bill,
    /// Records of the audit trail, oldest first.
    Audit {
        /// Sequence number after which the report starts.
        after: u64,
    },
}

impl State {
    /// Returns the report that answers `query`.
    pub fn query(&self, query: &Query) -> Report {
        match query {
            Query::Inventory => Report::Inventory(self.inventory.clone()),
            Query::Status => Report::Status(Box::new(self.status_report())),
            Query::Upstreams => Report::Upstreams(self.upstream_rows()),
            Query::Document => Report::Document(self.document.clone()),
            Query::Releases => Report::Releases(self.releases.clone()),
            Query::Sessions => Report::Sessions(self.session_rows(ROW_LIMIT)),
            Query::Rollouts => Report::Rollouts(self.rollouts.values().cloned().collect()),
            Query::Bill => Report::Bill(self.bill_rows()),
            Query::Audit { after } => Report::Audit(
                self.audit
                    .iter()
                    .filter(|record| record.seq > *after)
                    .take(ROW_LIMIT)
                    .cloned()
                    .collect(),
            ),
        }
    }
}
