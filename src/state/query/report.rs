//! Reports as operators see them.

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

/// An answer to a query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Report {
    /// To `Inventory`.
    Inventory(Arc<Inventory>),
    /// To `Status`.
    Status(Box<StatusReport>),
    /// To `Upstreams`.
    Upstreams(Vec<UpstreamRow>),
    /// To `Document`.
    Document(Option<Document>),
    /// To `Releases`.
    Releases(Releases),
    /// To `Sessions`.
    Sessions(Vec<SessionRow>),
    /// To `Rollouts`.
    Rollouts(Vec<Rollout>),
    /// To `Bill`.
    Bill(Vec<BillRow>),
    /// To `Audit`.
    Audit(Vec<AuditRecord>),
}

/// The whole at a glance.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StatusReport {
    /// Revision accepted last.
    pub revision: u64,
    /// Whether that revision is in force everywhere.
    pub in_force: bool,
    /// Entry VMs that may still work under an older one.
    pub lagging: Vec<Name>,
    /// The leading replica's address.
    pub leader: String,
    /// Its term.
    pub term: u64,
    /// Members of the log: address, identity, `voter` or `learner`.
    pub members: Vec<(String, String, String)>,
    /// Entries with a live lease: VM, data centre, address.
    pub entries: Vec<(Name, Name, String)>,
    /// Entry VMs that are being emptied.
    pub draining: Vec<Name>,
    /// Versions.
    pub versions: Vec<VersionRow>,
    /// Claims that are open.
    pub open_claims: u64,
    /// Pinned sessions.
    pub sessions: u64,
    /// Bytes that the leader's files take.
    pub disk_bytes: u64,
}

/// A version at a glance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionRow {
    /// Version.
    pub version: VersionName,
    /// `active`, `candidate` or `withdrawn`.
    pub state: Name,
    /// Runners that have it loaded.
    pub runners: u64,
    /// Their slots.
    pub slots: u64,
    /// Mean score over all classes, where there is one.
    pub quality: Option<f64>,
    /// Scores taken.
    pub scores: u64,
}

/// An upstream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamRow {
    /// Name.
    pub id: Name,
    /// Incarnation.
    pub incarnation: u64,
    /// Address.
    pub address: String,
    /// Data centre.
    pub data_centre: Name,
    /// Versions or the service.
    pub serves: Vec<String>,
    /// Slots.
    pub slots: u32,
    /// `live` or `left`.
    pub presence: Presence,
}

/// A pinned session.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SessionRow {
    /// Organisation.
    pub organisation: Name,
    /// Session.
    pub session: Name,
    /// Version.
    pub version: VersionName,
    /// Last use seen, in milliseconds since the epoch.
    pub used_ms: u64,
}

/// A bill.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BillRow {
    /// Organisation.
    pub organisation: Name,
    /// Version or service.
    pub target: String,
    /// Requests.
    pub requests: u64,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
    /// Cost in price units.
    pub cost: f64,
    /// Requests without a usable answer.
    pub failed: u64,
}

impl State {
    pub(super) fn status_report(&self) -> StatusReport {
        StatusReport {
            revision: self.revision,
            draining: self.draining.iter().cloned().collect(),
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
            let (runners, slots) = self.runners_of(&name);
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

    fn runners_of(&self, name: &VersionName) -> (u64, u64) {
        let mut found = (0, 0);
        for announced in self.directory.live() {
            if let Serves::Versions(versions) = &announced.serves
                && versions.contains(name)
            {
                found.0 += 1;
                found.1 += u64::from(announced.slots);
            }
        }
        found
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
            let newest = b.used_ms.cmp(&a.used_ms);
            newest.then_with(|| (&a.organisation, &a.session).cmp(&(&b.organisation, &b.session)))
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
