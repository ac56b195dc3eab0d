//! The tables of the replicated state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::command::ChangeOutcome;
use super::releases::Releases;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::config::Inventory;
use crate::config::VersionName;
use crate::config::VersionState;
use crate::policy::quality::QualityTable;
use crate::policy::version_rollout::Evidence;
use crate::upstream::Directory;

/// Identity of one request, chosen by the entry that takes it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What a request runs on.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Target {
    /// A version of a model.
    Version(VersionName),
    /// A plain service.
    Service(Name),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(name) => name.fmt(f),
            Self::Service(name) => f.write_str(name),
        }
    }
}

/// A request that may be running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Request.
    pub request: RequestId,
    /// Who is billed.
    pub organisation: Name,
    /// What it runs on.
    pub target: Target,
    /// Upstream that it was sent to first.
    pub upstream: Name,
    /// Lease holder that runs it.
    pub entry: u64,
    /// `Idempotency-Key`, if the caller gave one.
    pub idempotency_key: Option<Name>,
    /// Session, if the caller named one.
    pub session: Option<Name>,
    /// Whether it must run at most once.
    pub at_most_once: bool,
}

/// A claim with the time at which it was made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OpenClaim {
    pub(crate) claim: Claim,
    pub(crate) at_ms: u64,
    pub(crate) billed: bool,
}

/// What an idempotency key stands for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct IdempotencyRecord {
    /// First request with the key.
    pub request: RequestId,
    /// Whether that request has been settled.
    pub settled: bool,
    /// Runs after the first, of calls that may be repeated.
    pub reruns: u32,
    /// When the key was first used.
    pub at_ms: u64,
}

/// A session's version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pin {
    /// Version that the session keeps.
    pub version: VersionName,
    /// Last use seen, in milliseconds since the epoch.
    pub used_ms: u64,
}

/// What one organisation owes for one target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Bill {
    /// Requests billed.
    pub requests: u64,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
    /// Cost in millionths of the price unit.
    pub cost_micro: u64,
    /// Requests that ended without a usable answer; they are counted above at what they used.
    pub failed: u64,
}

/// Where a roll-out stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutState {
    /// New sessions reach the version by the stage's share.
    Running,
    /// No new session reaches it; those that it has stay.
    Paused,
    /// The guard found it bad; it takes no new work.
    Halted {
        /// What the guard saw.
        reason: Name,
    },
    /// All stages passed; the version is active.
    Complete,
}

/// A roll-out of one version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rollout {
    /// The new version.
    pub version: VersionName,
    /// Share of new sessions at each stage, 0 to 1, rising.
    pub stages: Vec<f64>,
    /// Current stage.
    pub stage: usize,
    /// Where it stands.
    pub state: RolloutState,
    /// Requests claimed for the version since it started.
    pub exposed: u64,
    /// Requests claimed when the current stage began.
    pub exposed_at_stage: u64,
    /// What has been seen of the new version and of the others of its model.
    pub evidence: Evidence,
}

impl Rollout {
    /// Share of new sessions that the version gets now.
    pub fn share(&self) -> f64 {
        match self.state {
            RolloutState::Running => self.stages.get(self.stage).copied().unwrap_or(1.0),
            RolloutState::Complete => 1.0,
            RolloutState::Paused | RolloutState::Halted { .. } => 0.0,
        }
    }
}

/// A configuration as an operator's own system wrote it, kept to be read back as it was sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Number given by the operator; the highest one holds.
    pub number: u64,
    /// The text.
    pub text: Arc<str>,
}

/// One line of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Position in the trail.
    pub seq: u64,
    /// When, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Operator, or `guard` for the system's own halts and stages.
    pub who: Name,
    /// The change's id.
    pub change_id: Name,
    /// What was asked for.
    pub what: Name,
    /// Revision after it.
    pub revision: u64,
    /// What became of it.
    pub outcome: ChangeOutcome,
}

/// A remembered change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangeRecord {
    pub(crate) digest: u32,
    pub(crate) outcome: ChangeOutcome,
}

/// All tables.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Counts accepted changes of configuration; never goes back.
    pub revision: u64,
    /// Change that made the current revision.
    pub(crate) revision_by: Option<Name>,
    /// What operators loaded last.
    pub inventory: Arc<Inventory>,
    /// Versions withdrawn by command or by the guard, whatever the inventory says.
    pub withdrawn: BTreeSet<VersionName>,
    /// Entry VMs that are being emptied.
    pub draining: BTreeSet<Name>,
    /// Roll-outs by model.
    pub rollouts: BTreeMap<Name, Rollout>,
    /// The numbered document that the inventory was loaded from, if it came with one.
    pub document: Option<Document>,
    /// Releases of services, and their roll-outs.
    pub releases: Releases,
    /// Upstreams that announced themselves.
    pub directory: Directory,
    /// Learned quality.
    pub quality: QualityTable,
    pub(crate) changes: HashMap<Name, ChangeRecord>,
    pub(crate) change_order: VecDeque<Name>,
    pub(crate) audit: VecDeque<AuditRecord>,
    pub(crate) audit_seq: u64,
    pub(crate) claims: HashMap<RequestId, OpenClaim>,
    pub(crate) idempotency_keys: HashMap<(Name, Name), IdempotencyRecord>,
    pub(crate) pins: HashMap<(Name, Name), Pin>,
    pub(crate) bills: BTreeMap<(Name, Target), Bill>,
    /// Index of the last command applied.
    pub applied: Index,
}

impl State {
    /// Whether `name` exists and may take new work in general.
    pub fn is_available(&self, name: &VersionName) -> bool {
        is_available(&self.inventory, &self.withdrawn, name)
    }

    /// Open claims, in no order.
    pub fn open_claims(&self) -> impl Iterator<Item = &Claim> + '_ {
        self.claims.values().map(|open| &open.claim)
    }

    /// Number of pinned sessions.
    pub fn pinned_sessions(&self) -> usize {
        self.pins.len()
    }

    /// Bills by organisation and target.
    pub fn bills(&self) -> &BTreeMap<(Name, Target), Bill> {
        &self.bills
    }

    /// The pin of a session.
    pub fn pin(&self, organisation: &Name, session: &Name) -> Option<&Pin> {
        self.pins.get(&(organisation.clone(), session.clone()))
    }
}

/// Whether `name` exists and is withdrawn neither in the file nor by command.
pub(crate) fn is_available(
    inventory: &Inventory,
    withdrawn: &BTreeSet<VersionName>,
    name: &VersionName,
) -> bool {
    !withdrawn.contains(name)
        && inventory
            .version(name)
            .is_some_and(|version| version.state != VersionState::Withdrawn)
}
