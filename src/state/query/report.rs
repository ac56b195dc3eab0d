//! Reports that answer operators' queries; their field names are those of the JSON output.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;
use crate::config::Inventory;
use crate::config::VersionName;
use crate::config::VersionState;
use crate::state::AuditRecord;
use crate::state::Document;
use crate::state::Releases;
use crate::state::Rollout;
use crate::state::State;
use crate::upstream::Presence;
use crate::upstream::Serves;

/// Result of a query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Report {
    /// Result of `Query::Inventory`.
    Inventory(Arc<Inventory>),
    /// Result of `Query::Status`.
    Status(Box<StatusReport>),
    /// Result of `Query::Upstreams`, by name.
    Upstreams(Vec<UpstreamRow>),
    /// Result of `Query::Document`; `None` if the inventory came without a document.
    Document(Option<Document>),
    /// Result of `Query::Releases`.
    Releases(Releases),
    /// Result of `Query::Sessions`, the most recently used first.
    Sessions(Vec<SessionRow>),
    /// Result of `Query::Rollouts`, by model.
    Rollouts(Vec<Rollout>),
    /// Result of `Query::Bill`, by organisation and target.
    Bill(Vec<BillRow>),
    /// Result of `Query::Audit`, oldest first.
    Audit(Vec<AuditRecord>),
}

/// Summary of the whole system.
///
/// The state fills in its own fields; the leader adds what only it knows, such as its address and
/// the live leases.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StatusReport {
    /// Current configuration revision.
    pub revision: u64,
    /// Whether every entry applies that revision.
    pub in_force: bool,
    /// Entry VMs that may still apply an older revision.
    pub lagging: Vec<Name>,
    /// Address of the leader.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Members of the log: address, identity, `voter` or `learner`.
    pub members: Vec<(String, String, String)>,
    /// Entries with a live lease: VM, data centre, address.
    pub entries: Vec<(Name, Name, String)>,
    /// Entry VMs that are draining.
    pub draining: Vec<Name>,
    /// Data centres that are evacuated.
    pub evacuated: Vec<Name>,
    /// Number of accepted evacuation orders.
    pub evacuation_orders: u64,
    /// Model versions of the inventory.
    pub versions: Vec<VersionRow>,
    /// Number of open claims.
    pub open_claims: u64,
    /// Number of pinned sessions.
    pub sessions: u64,
    /// Size of the leader's data files, in bytes.
    pub disk_bytes: u64,
}

/// Summary of a model version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionRow {
    /// Name of the version.
    pub version: VersionName,
    /// `active`, `candidate` or `withdrawn`.
    pub state: Name,
    /// Number of live runners that have the version loaded.
    pub runners: u64,
    /// Sum of their slots.
    pub slots: u64,
    /// Mean estimated quality over all task classes, 0 to 1, weighted by the number of scores in
    /// each; `None` without scores.
    pub quality: Option<f64>,
    /// Number of scores recorded.
    pub scores: u64,
}

/// Row of the upstream report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamRow {
    /// Unique name.
    pub id: Name,
    /// Latest incarnation that announced itself.
    pub incarnation: u64,
    /// Address for requests, as `IP:PORT`.
    pub address: String,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// Names of the loaded versions, or of the service.
    pub serves: Vec<String>,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// `live`, `silent` or `left`.
    pub presence: Presence,
}

/// Row of the session report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SessionRow {
    /// Organisation that the session belongs to.
    pub organisation: Name,
    /// Session name.
    pub session: Name,
    /// Version to which the session is pinned.
    pub version: VersionName,
    /// Last recorded use, in milliseconds since the Unix epoch.
    pub used_ms: u64,
}

/// Row of the bill report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BillRow {
    /// Billed organisation.
    pub organisation: Name,
    /// Name of the version or service.
    pub target: String,
    /// Number of billed requests.
    pub requests: u64,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
    /// Cost in price units.
    pub cost: f64,
    /// Billed requests without a complete response.
    pub failed: u64,
}

impl State {
    pub(super) fn status_report(&self) -> StatusReport {
        StatusReport {
            revision: self.revision,
            draining: self.draining.iter().cloned().collect(),
            evacuated: self.evacuated.iter().cloned().collect(),
            evacuation_orders: self.evacuation_orders,
            versions: self.version_rows(),
            open_claims: self.claims.len() as u64,
            sessions: self.pins.len() as u64,
            ..StatusReport::default()
        }
    }

    fn version_rows(&self) -> Vec<VersionRow> {
        let mut rows = Vec::new();
        for (name, version) in self.inventory.versions() {
            let state = match version.state {
                _ if self.withdrawn.contains(&name) => "withdrawn",
                VersionState::Active => "active",
                VersionState::Candidate => "candidate",
                VersionState::Withdrawn => "withdrawn",
            };
            let (runners, slots) = self.count_runners(&name);
            let mut scores = 0;
            let mut sum = 0.0;
            for (_, _, row) in self.quality.iter().filter(|(known, _, _)| **known == name) {
                scores += row.total;
                sum += row.estimate(version.quality).mean * row.total as f64;
            }
            rows.push(VersionRow {
                version: name,
                state: state.into(),
                runners,
                slots,
                quality: (scores > 0).then(|| sum / scores as f64),
                scores,
            });
        }
        rows
    }

    /// Returns the number of live runners of a version and the sum of their slots.
    fn count_runners(&self, name: &VersionName) -> (u64, u64) {
        let mut counts = (0, 0);
        for announcement in self.directory.live() {
            if let Serves::Versions(versions) = &announcement.serves
                && versions.contains(name)
            {
                counts.0 += 1;
                counts.1 += u64::from(announcement.slots);
            }
        }
        counts
    }

    pub(super) fn upstream_rows(&self) -> Vec<UpstreamRow> {
        let row = |upstream: &crate::upstream::Upstream| {
            let announced = &upstream.announced;
            let serves = match &announced.serves {
                Serves::Versions(versions) => versions.iter().map(ToString::to_string).collect(),
                Serves::Service(service) => vec![service.to_string()],
            };
            UpstreamRow {
                id: announced.id.clone(),
                incarnation: announced.incarnation,
                address: announced.address.to_string(),
                data_centre: announced.data_centre.clone(),
                serves,
                slots: announced.slots,
                presence: upstream.presence,
            }
        };
        self.directory.iter().map(row).collect()
    }

    pub(super) fn session_rows(&self, limit: usize) -> Vec<SessionRow> {
        let mut rows: Vec<SessionRow> = self
            .pins
            .iter()
            .map(|((organisation, session), pin)| SessionRow {
                organisation: organisation.clone(),
                session: session.clone(),
                version: pin.version.clone(),
                used_ms: pin.used_ms,
            })
            .collect();
        rows.sort_by(|a, b| {
            let by_last_use = b.used_ms.cmp(&a.used_ms);
            by_last_use
                .then_with(|| (&a.organisation, &a.session).cmp(&(&b.organisation, &b.session)))
        });
        rows.truncate(limit);
        rows
    }

    pub(super) fn bill_rows(&self) -> Vec<BillRow> {
        self.bills
            .iter()
            .map(|((organisation, target), bill)| BillRow {
                organisation: organisation.clone(),
                target: target.to_string(),
                requests: bill.requests,
                tokens_in: bill.tokens_in,
                tokens_out: bill.tokens_out,
                cost: bill.cost_micro as f64 / 1e6,
                failed: bill.failed,
            })
            .collect()
    }
}
