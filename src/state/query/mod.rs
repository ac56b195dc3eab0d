//! Queries: what operators may ask. They change nothing.

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

/// Rows of a long report, at most.
const ROW_LIMIT: usize = 1000;

/// A question.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// The inventory in force.
    Inventory,
    /// The whole at a glance.
    Status,
    /// Upstreams.
    Upstreams,
    /// The numbered document that the inventory was loaded from.
    Document,
    /// Releases of services and their roll-outs.
    Releases,
    /// Pinned sessions, the latest used first.
    Sessions,
    /// Roll-outs.
    Rollouts,
    /// Bills by organisation and target.
    Bill,
    /// The audit trail after a line.
    Audit {
        /// Line number.
        after: u64,
    },
}

impl State {
    /// Answers a question.
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
                    .filter(|line| line.seq > *after)
                    .take(ROW_LIMIT)
                    .cloned()
                    .collect(),
            ),
        }
    }
}
