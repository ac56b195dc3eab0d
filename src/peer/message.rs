//! The messages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::agreement::Message;
use crate::agreement::ReplicaId;
use crate::collections::Name;
use crate::config::Inventory;
use crate::config::VersionName;
use crate::policy::quality::ScoreHistory;
use crate::policy::release_rollout::RouteStats;
use crate::state::Releases;
use crate::state::Target;
use crate::state::command::Change;
use crate::state::command::ChangeOutcome;
use crate::state::command::LedgerOp;
use crate::state::command::LedgerOutcome;
use crate::state::command::PinOutcome;
use crate::state::command::PinRequest;
use crate::state::query::Query;
use crate::state::query::Report;
use crate::upstream::AnnounceOutcome;
use crate::upstream::Announcement;
use crate::upstream::LoadLevel;
use crate::upstream::Upstream;

/// A request to a state replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Request {
    /// Messages of the log; they have no answer of their own.
    Agreement {
        /// The sender's address: a replica that is no member yet knows no other.
        from: SocketAddr,
        /// The messages.
        messages: Vec<Message>,
    },
    /// Asks an address whether it belongs to a log already.
    BootstrapStatus,
    /// Asks the leader to take in the replica at this address as a learner.
    Join {
        /// Identity of its disk.
        id: ReplicaId,
        /// Its peer listener.
        address: SocketAddr,
    },
    /// An entry renews its lease and exchanges news.
    Renew(Box<Renewal>),
    /// Steps of the ledger.
    Ledger(Vec<LedgerOp>),
    /// Pins a session.
    Pin(PinRequest),
    /// An upstream announced itself to the sender.
    Announce(Announcement),
    /// An upstream leaves.
    Leave {
        /// Upstream.
        id: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// An operator's command.
    Change(OperatorChange),
    /// An operator's question.
    Query(Query),
    /// An operator's request that another replica took in.
    OnBehalf {
        /// Operator.
        who: Name,
        /// What is asked.
        request: Box<Request>,
    },
}

/// The answer to a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// Nothing to say.
    Done,
    /// To `Formation`.
    BootstrapStatus(BootstrapStatus),
    /// To `Renew`.
    Grant(Box<Grant>),
    /// To `Ledger`.
    Ledger(Vec<LedgerOutcome>),
    /// To `Pin`.
    Pin(PinOutcome),
    /// To `Announce`.
    Announce(AnnounceOutcome),
    /// To `Operate`.
    Change(OperatorChangeReply),
    /// To `Ask`.
    Report(Box<Report>),
    /// This replica does not lead, or can't be sure that it does.
    NotLeader {
        /// Whom to ask instead, where known.
        leader: Option<SocketAddr>,
    },
    /// The outcome is unknown: the leader lost its office while the request was under way.
    OutcomeUnknown,
    /// The sender may not ask this, or asked nonsense.
    Refused(Name),
}

/// Whether a replica belongs to a log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BootstrapStatus {
    /// Identity of its disk.
    pub id: ReplicaId,
    /// Whether it knows members of a log.
    pub has_log: bool,
}

/// What an entry sends with each renewal of its lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Renewal {
    /// Lease holder: one run of an entry.
    pub entry: u64,
    /// What it is, once; the leader asks again with [`Grant::introduce`].
    pub info: Option<EntryInfo>,
    /// Revision that it acknowledges.
    pub acked_revision: u64,
    /// Revision that it has.
    pub revision: u64,
    /// Term of the leader whose numbers follow; another leader starts them anew.
    pub term: u64,
    /// Directory that it has.
    pub directory_index: Index,
    /// Loads that it has, by the leader's count.
    pub loads_version: u64,
    /// Entries that it knows, by the leader's count.
    pub entries_version: u64,
    /// Quality that it has, by the leader's count.
    pub quality_version: u64,
    /// Digest of the replicas' addresses that it knows.
    pub replicas_digest: u32,
    /// Loads reported to it since the last renewal, and upstreams heard.
    pub loads: Vec<UpstreamLoad>,
    /// Requests that run or wait, by target.
    pub demand: Vec<TargetCount>,
    /// What ended on releases of services since the last renewal that was granted.
    pub release_stats: Vec<ReleaseStats>,
    /// Whether it is about to stop: it leaves the address answer.
    pub is_leaving: bool,
    /// Whether it gives the lease back.
    pub releases_lease: bool,
}

/// An entry as callers see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryInfo {
    /// Its VM's name.
    pub vm: Name,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Where it hears of the others' work at the upstreams, if it does.
    pub loads_address: Option<SocketAddr>,
}

/// A level of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// [`Upstream::number`]: names the incarnation in a few bytes, as levels are what control
    /// sends most of.
    pub number: Index,
    /// Its level; `None` where it was heard and the level is unchanged.
    pub level: Option<LoadLevel>,
}

/// What an entry saw of one release of a service on one route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReleaseStats {
    /// Service.
    pub service: Name,
    /// Route.
    pub route: Name,
    /// Release.
    pub release: Name,
    /// What was seen.
    pub stats: RouteStats,
}

/// Scores of one version in one class of task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QualityRow {
    /// Version.
    pub version: VersionName,
    /// Class of task.
    pub class: Name,
    /// Scores.
    pub history: ScoreHistory,
}

/// A number of requests for one target: a demand, or the slots granted for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetCount {
    /// Target.
    pub target: Target,
    /// Requests.
    pub count: u32,
}

/// What the leader answers to a renewal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Grant {
    /// The leader's term.
    pub term: u64,
    /// Whether the leader wants [`Renewal::info`] next time.
    pub wants_info: bool,
    /// Configuration, where it is newer than the entry's.
    pub config: Option<Box<ConfigView>>,
    /// Upstreams that changed.
    pub upstreams: Vec<Upstream>,
    /// Directory that the entry has now.
    pub directory_index: Index,
    /// Levels that changed, of the entry's data centre.
    pub loads: Vec<UpstreamLoad>,
    /// Count for [`Renewal::loads_seen`].
    pub loads_version: u64,
    /// All entries, where they changed.
    pub entries: Option<Vec<EntryInfo>>,
    /// Count for [`Renewal::entries_seen`].
    pub entries_version: u64,
    /// Whether no other entry names this one in its address answer any more.
    pub is_unlisted: bool,
    /// Rows of the quality table that changed enough to matter.
    pub quality: Vec<QualityRow>,
    /// Count for [`Renewal::quality_seen`].
    pub quality_version: u64,
    /// Slots that the entry may use, by target.
    pub slots: Vec<TargetCount>,
    /// Peer addresses of all members of the log, where they differ from what the entry knows.
    pub replicas: Option<Vec<SocketAddr>>,
    /// Digest of those addresses, for [`Renewal::replicas_seen`].
    pub replicas_digest: u32,
    /// Upstreams that have not been heard for a while, by [`Upstream::number`].
    pub suspects: Vec<Index>,
}

/// The configuration as entries need it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ConfigView {
    /// Revision.
    pub revision: u64,
    /// Inventory and rules.
    pub inventory: Arc<Inventory>,
    /// Withdrawn versions.
    pub withdrawn: BTreeSet<VersionName>,
    /// Entry VMs that are being emptied.
    pub draining: BTreeSet<Name>,
    /// Roll-outs by model.
    pub rollouts: BTreeMap<Name, RolloutView>,
    /// Releases of services.
    pub releases: Releases,
}

/// A roll-out as entries need it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RolloutView {
    /// New version.
    pub version: VersionName,
    /// Its share of new sessions.
    pub share: f64,
}

impl ConfigView {
    /// Whether `name` exists and may take new work in general.
    pub fn is_available(&self, name: &VersionName) -> bool {
        crate::state::is_available(&self.inventory, &self.withdrawn, name)
    }
}

/// An operator's command.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperatorChange {
    /// Id by which a resend is known.
    pub change_id: Name,
    /// Revision that the operator had seen.
    pub expected_revision: Option<u64>,
    /// The change.
    pub change: Change,
    /// How long to wait until it is in force, in milliseconds; 0 does not wait.
    pub wait_ms: u64,
}

/// What became of an operator's command.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperatorChangeReply {
    /// Outcome.
    pub outcome: ChangeOutcome,
    /// Whether it is in force everywhere; `None` where nobody waited.
    pub in_force: Option<bool>,
    /// Entry VMs that may still work under an older revision.
    pub lagging: Vec<Name>,
}

impl Grant {
    /// A grant with no news.
    pub(crate) fn empty(term: u64) -> Self {
        Self {
            term,
            wants_info: false,
            config: None,
            upstreams: Vec::new(),
            directory_index: 0,
            loads: Vec::new(),
            loads_version: 0,
            entries: None,
            entries_version: 0,
            is_unlisted: false,
            quality: Vec::new(),
            quality_version: 0,
            slots: Vec::new(),
            replicas: None,
            replicas_digest: 0,
            suspects: Vec::new(),
        }
    }
}
