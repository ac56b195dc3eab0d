//! Tables of the replicated state.

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
use crate::upstream::Serves;

/// Identity of one request, chosen by the entry that receives it; displayed as 32 hex digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What serves a request: a model version or a plain service.
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

/// Record of a request that may be running on an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Claimed request.
    pub request: RequestId,
    /// Organisation that is billed.
    pub organisation: Name,
    /// Target as chosen first; a cascade may end on another version.
    pub target: Target,
    /// Upstream that runs it: the first one chosen, or the one of the latest `Reassign`.
    pub upstream: Name,
    /// Identity of the entry process, as lease holder, that forwards the request.
    pub entry: u64,
    /// `Idempotency-Key` header; `None` if the caller sent none.
    pub idempotency_key: Option<Name>,
    /// Session; `None` if the caller named none.
    pub session: Option<Name>,
    /// Whether the request must run at most once, so that it is never rerun under its key.
    pub at_most_once: bool,
}

/// A claim that is not settled yet, with the time of the claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OpenClaim {
    pub(crate) claim: Claim,
    pub(crate) at_ms: u64,
    /// Whether settling bills the request; false for a rerun under an idempotency key.
    pub(crate) billed: bool,
}

/// What is recorded for an `Idempotency-Key`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct IdempotencyRecord {
    /// First request with the key.
    pub request: RequestId,
    /// Whether that request has been settled.
    pub settled: bool,
    /// Number of reruns granted under the key.
    pub reruns: u32,
    /// First use of the key, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Model version to which a session is pinned.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pin {
    /// Version that serves the session's requests.
    pub version: VersionName,
    /// Last recorded use, in milliseconds since the Unix epoch.
    pub used_ms: u64,
}

/// Accumulated usage and cost of one organisation on one target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Bill {
    /// Number of billed requests.
    pub requests: u64,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
    /// Cost in millionths of the price unit.
    pub cost_micro: u64,
    /// Billed requests without a complete response; the fields above include their usage.
    pub failed: u64,
}

/// State of a version's rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutState {
    /// The version gets the current stage's share of new sessions.
    Running,
    /// The version gets no new sessions and keeps those it has.
    Paused,
    /// The guard or an operator stopped the rollout; the version is withdrawn.
    Halted {
        /// The guard's evidence, or that an operator withdrew the version.
        reason: Name,
    },
    /// All stages have passed; the version is active.
    Complete,
}

/// Rollout of a new version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rollout {
    /// The new version.
    pub version: VersionName,
    /// Share of new sessions at each stage: over 0, up to 1, strictly increasing.
    pub stages: Vec<f64>,
    /// Index of the current stage; equals the number of stages once complete.
    pub stage: usize,
    /// Whether it is running, paused, halted or complete.
    pub state: RolloutState,
    /// Requests claimed for the version since the rollout started or was resumed after a halt.
    pub exposed: u64,
    /// Value of `exposed` when the current stage began.
    pub exposed_at_stage: u64,
    /// Samples of the new version and of the other versions of its model.
    pub evidence: Evidence,
}

impl Rollout {
    /// Returns the share of new sessions that the version gets now, 0 to 1.
    pub fn share(&self) -> f64 {
        match self.state {
            RolloutState::Running => self.stages.get(self.stage).copied().unwrap_or(1.0),
            RolloutState::Complete => 1.0,
            RolloutState::Paused | RolloutState::Halted { .. } => 0.0,
        }
    }
}

/// A numbered configuration document of an operator's own system, stored verbatim so that the
/// system can read it back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Number given by the operator; the document with the highest number is current.
    pub number: u64,
    /// The document as it was sent.
    pub text: Arc<str>,
}

/// One record of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Sequence number in the trail, from 1.
    pub seq: u64,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operator, or `guard` for halts and stage changes by the rollout guard.
    pub who: Name,
    /// Id of the change.
    pub change_id: Name,
    /// Summary of the requested change.
    pub what: Name,
    /// Configuration revision after the change.
    pub revision: u64,
    /// Result of the change.
    pub outcome: ChangeOutcome,
}

/// Digest and outcome of a change, by which a retry is recognised and answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangeRecord {
    pub(crate) digest: u32,
    pub(crate) outcome: ChangeOutcome,
}

/// The replicated state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Configuration revision: counts accepted changes, by operators and by the system itself;
    /// never decreases.
    pub revision: u64,
    /// Id of the change that made the current revision, or `guard` if the releases of a service
    /// changed; `None` before the first.
    pub(crate) revision_change_id: Option<Name>,
    /// Inventory that an operator applied last, with versions that rollouts have activated since.
    pub inventory: Arc<Inventory>,
    /// Versions withdrawn by an operator or by the guard, whatever their state in the inventory.
    pub withdrawn: BTreeSet<VersionName>,
    /// Entry VMs that are draining.
    pub draining: BTreeSet<Name>,
    /// Data centres that are evacuated: their upstreams must not get requests.
    pub evacuated: BTreeSet<Name>,
    /// Number of accepted evacuation orders, including those that changed nothing. The revision
    /// can't take its place: a repeated order makes none, and other changes make some.
    pub evacuation_orders: u64,
    /// Rollouts by model name; the latest of each model.
    pub rollouts: BTreeMap<Name, Rollout>,
    /// Document that the inventory was loaded from; `None` if it came without one.
    pub document: Option<Document>,
    /// Releases of services and their rollouts.
    pub releases: Releases,
    /// Upstreams by their announcements.
    pub directory: Directory,
    /// Quality of versions as estimated from ratings.
    pub quality: QualityTable,
    pub(crate) changes: HashMap<Name, ChangeRecord>,
    /// Ids in `changes`, oldest first.
    pub(crate) change_order: VecDeque<Name>,
    pub(crate) audit: VecDeque<AuditRecord>,
    pub(crate) audit_seq: u64,
    pub(crate) claims: HashMap<RequestId, OpenClaim>,
    /// Idempotency keys by organisation and key.
    pub(crate) idempotency_keys: HashMap<(Name, Name), IdempotencyRecord>,
    /// Pins by organisation and session.
    pub(crate) pins: HashMap<(Name, Name), Pin>,
    pub(crate) bills: BTreeMap<(Name, Target), Bill>,
    /// Log index of the last command applied.
    pub applied: Index,
}

impl State {
    /// Whether the version exists and is not withdrawn, so that it may get new requests.
    pub fn is_available(&self, name: &VersionName) -> bool {
        is_available(&self.inventory, &self.withdrawn, name)
    }

    /// Returns whether upstreams in a data centre must not get requests.
    pub(crate) fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns whether a data centre is evacuated or has upstreams in the directory.
    pub fn knows_data_centre(&self, data_centre: &Name) -> bool {
        self.is_evacuated(data_centre)
            || self
                .directory
                .iter()
                .any(|row| row.announced.data_centre == *data_centre)
    }

    /// Returns whether the new release of a service has at least half as many upstreams as its other
    /// releases together. Upstreams in evacuated data centres don't count.
    pub fn has_enough_upstreams(&self, service: &Name, target: &Name) -> bool {
        let (mut new, mut old) = (0_usize, 0_usize);
        for announced in self.directory.live() {
            if !matches!(&announced.serves, Serves::Service(name) if name == service)
                || self.is_evacuated(&announced.data_centre)
            {
                continue;
            }
            if announced.release.as_ref() == Some(target) {
                new += 1;
            } else {
                old += 1;
            }
        }
        new > 0 && 2 * new >= old
    }

    /// Iterates over the open claims in no particular order.
    pub fn open_claims(&self) -> impl Iterator<Item = &Claim> + '_ {
        self.claims.values().map(|open| &open.claim)
    }

    /// Returns the number of pinned sessions.
    pub fn pinned_sessions(&self) -> usize {
        self.pins.len()
    }

    /// Returns the bills by organisation and target.
    pub fn bills(&self) -> &BTreeMap<(Name, Target), Bill> {
        &self.bills
    }

    /// Returns the pin of a session; `None` if it is not pinned.
    pub fn pin(&self, organisation: &Name, session: &Name) -> Option<&Pin> {
        self.pins.get(&(organisation.clone(), session.clone()))
    }
}

/// Whether the version exists and is withdrawn neither in `inventory` nor by `withdrawn`.
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
