//! The messages between processes, in a positional encoding: the order and types of fields and
//! variants are part of the protocol.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;

use crate::agreement::Index;
use crate::agreement::Message;
use crate::agreement::ReplicaId;
use crate::codec;
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

use super::ConfigUpdate;
use super::DirectoryUpdate;

/// A request to a state replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Request {
    /// Messages of the log; the reply is [`Reply::Done`], and any response comes as a message of
    /// its own.
    Agreement {
        /// Peer address of the sender. A receiver that is not a member yet knows no other address.
        from: SocketAddr,
        /// The messages.
        messages: Vec<Message>,
    },
    /// Asks a replica whether it has a log.
    BootstrapStatus,
    /// Asks the leader to add the sender as a learner.
    Join {
        /// Identity of the sender's data folder.
        id: ReplicaId,
        /// Peer address of the sender.
        address: SocketAddr,
    },
    /// Renews an entry's lease and exchanges updates.
    Renew(Box<Renewal>),
    /// Asks any replica for the changes of the configuration since a revision.
    ConfigUpdate {
        /// Revision that the sender holds; 0 for none.
        held: u64,
    },
    /// Asks any replica for the next changes of the directory.
    DirectoryUpdate {
        /// Log index up to which the sender's directory is current; 0 for none.
        held: Index,
    },
    /// Operations on the ledger.
    Ledger(Vec<LedgerOp>),
    /// Pins a session to a version.
    Pin(PinRequest),
    /// Tells the leader of heartbeats that the sender has answered: id and incarnation of the
    /// upstreams.
    Heartbeats(Vec<(Name, u64)>),
    /// Forwards an upstream's announcement.
    Announce(Announcement),
    /// Reports that an upstream leaves.
    Leave {
        /// Id of the upstream.
        id: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Submits an operator's change.
    Change(OperatorChange),
    /// Runs an operator's query.
    Query(Query),
    /// An operator's request, forwarded by the process that authenticated the operator.
    OnBehalf {
        /// Name of the operator.
        who: Name,
        /// The operator's request.
        #[serde(deserialize_with = "decode_inner")]
        request: Box<Request>,
    },
    /// Asks any process which replicas there are.
    Replicas,
    /// Asks a replica without a log whether it was permitted to create one of the replicas at these
    /// addresses.
    BootstrapPermission(BTreeSet<SocketAddr>),
    /// Tells any process the peer addresses of the members of the log, as the sender has them from a
    /// leader or a member. A process of a former build refuses this.
    ReportReplicas(Vec<SocketAddr>),
}

/// Decodes the request in an [`Request::OnBehalf`], unless that is within another one: thousands of
/// levels would overflow the stack.
fn decode_inner<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Box<Request>, D::Error> {
    thread_local! {
        static IS_INNER: Cell<bool> = const { Cell::new(false) };
    }
    if IS_INNER.replace(true) {
        return Err(D::Error::custom("a request on behalf of another one"));
    }
    let request = Box::deserialize(deserializer);
    IS_INNER.set(false);
    request
}

/// The reply to a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// The request was handled and has no result.
    Done,
    /// To `BootstrapStatus`.
    BootstrapStatus(BootstrapStatus),
    /// To `Renew`.
    Grant(Box<Grant>),
    /// To `ConfigUpdate`; `None` where the replica has no newer revision.
    ConfigUpdate(Option<ConfigUpdate>),
    /// To `DirectoryUpdate`.
    DirectoryUpdate(DirectoryUpdate),
    /// To `Ledger`.
    Ledger(Vec<LedgerOutcome>),
    /// To `Pin`.
    Pin(PinOutcome),
    /// To `Announce`.
    Announce(AnnounceOutcome),
    /// To `Change`.
    Change(OperatorChangeReply),
    /// To `Query`.
    Report(Box<Report>),
    /// This replica is not the leader, has no valid leader lease, or accepts no commands at
    /// present.
    NotLeader {
        /// Peer address of the leader, where another replica is known to be it.
        leader: Option<SocketAddr>,
    },
    /// The outcome is unknown: the replica lost the leadership while the request was pending.
    OutcomeUnknown,
    /// The sender's key does not permit the request; the text says what to do.
    Refused(Name),
    /// To `Replicas`: the peer addresses of the members of the log; none where the process does not
    /// hear of a leader.
    Replicas(Vec<SocketAddr>),
    /// To `BootstrapPermission`: the identity of the replica; `None` if it has a log or no such
    /// permission.
    BootstrapPermission(Option<ReplicaId>),
}

/// Whether a replica has a log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BootstrapStatus {
    /// Identity of its data folder.
    pub id: ReplicaId,
    /// Whether it knows the members of a log.
    pub has_log: bool,
}

/// A lease renewal of an entry or gateway, with its updates for the leader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Renewal {
    /// Lease holder: identifies one run of the process.
    pub entry: u64,
    /// Name and addresses; `None` where the last grant did not ask for them with
    /// [`Grant::wants_info`].
    pub info: Option<EntryInfo>,
    /// Revision that the holder acknowledges: it sends no more requests that were decided under an
    /// older one.
    pub acked_revision: u64,
    /// Newest revision that the holder has.
    pub revision: u64,
    /// Largest [`Grant::config`] that the holder accepts, in bytes. It requests a larger one with
    /// [`Request::ConfigUpdate`], so that the leader need not send it to every holder.
    pub max_config_bytes: u32,
    /// Term of the leader whose change counters follow. They don't apply to another leader.
    pub term: u64,
    /// Log index up to which the holder's directory is current.
    pub directory_index: Index,
    /// [`Grant::loads_version`] of the last grant.
    pub loads_version: u64,
    /// [`Grant::entries_version`] of the last grant.
    pub entries_version: u64,
    /// [`Grant::quality_version`] of the last grant.
    pub quality_version: u64,
    /// Digest of the replica addresses that the holder knows; 0 for none.
    pub replicas_digest: u32,
    /// Loads and heartbeats that upstreams reported to the holder since the last renewal.
    pub loads: Vec<UpstreamLoad>,
    /// Running and queued requests, by target.
    pub demand: Vec<TargetCount>,
    /// Statistics of the requests to releases of services that ended since the last granted
    /// renewal.
    pub release_stats: Vec<ReleaseStats>,
    /// Whether the holder is about to stop, so that address responses must no longer list it.
    pub is_leaving: bool,
    /// Whether the holder releases its lease instead of renewing it.
    pub releases_lease: bool,
    /// Version of the incomplete list of gateways that the holder has, 0 for none; `None` where it
    /// wants no incomplete list, because it has a complete one or needs none.
    pub partial_entries_version: Option<u64>,
}

/// Name and addresses of an entry or gateway.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryInfo {
    /// Name of its VM.
    pub vm: Name,
    /// Address for callers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Address at which a gateway receives the other gateways' load updates; `None` for an entry,
    /// which receives none.
    pub loads_address: Option<SocketAddr>,
}

/// A load report or heartbeat of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Number of the upstream, which identifies the incarnation in a few bytes: load levels are the
    /// largest part of the traffic between entries and leader.
    pub number: Index,
    /// Its load level; `None` for a heartbeat with an unchanged level.
    pub level: Option<LoadLevel>,
}

/// An entry's statistics of one upstream of a service on one route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReleaseStats {
    /// Service.
    pub service: Name,
    /// Route.
    pub route: Name,
    /// Release that the upstream runs.
    pub release: Name,
    /// Number of the upstream.
    pub upstream: Index,
    /// Statistics of its requests.
    pub stats: RouteStats,
}

/// Quality scores of one version in one class of tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QualityRow {
    /// Version.
    pub version: VersionName,
    /// Class of tasks.
    pub class: Name,
    /// Scores.
    pub history: ScoreHistory,
}

/// A number for one target: an entry's demand in requests, or the slots granted to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetCount {
    /// Target.
    pub target: Target,
    /// Requests or slots.
    pub count: u32,
}

/// The leader's reply to a renewal: the lease, with updates for the entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Grant {
    /// The leader's term.
    pub term: u64,
    /// Whether the next renewal must have [`Renewal::info`].
    pub wants_info: bool,
    /// Newest revision of the configuration.
    pub revision: u64,
    /// Update to `revision`; `None` where the entry has it already, and where the update exceeds
    /// [`Renewal::max_config_bytes`].
    pub config: Option<ConfigUpdate>,
    /// Next changes of the directory after [`Renewal::directory_index`]. Further ones come with the
    /// next grant or, from any replica, by [`Request::DirectoryUpdate`].
    pub directory: DirectoryUpdate,
    /// Changed load levels of upstreams in the entry's data centre.
    pub loads: Vec<UpstreamLoad>,
    /// The leader's change counter of loads, for [`Renewal::loads_version`].
    pub loads_version: u64,
    /// All listed entries; `None` where they did not change or the leader does not know all yet.
    pub entries: Option<Vec<EntryInfo>>,
    /// The leader's change counter of entries, for [`Renewal::entries_version`].
    pub entries_version: u64,
    /// Whether no other entry lists this one in its address responses any more.
    pub is_unlisted: bool,
    /// Rows of the quality table that changed noticeably.
    pub quality: Vec<QualityRow>,
    /// The leader's change counter of quality rows, for [`Renewal::quality_version`].
    pub quality_version: u64,
    /// Slots that the entry may use, by target.
    pub slots: Vec<TargetCount>,
    /// Peer addresses of all members of the log; `None` where the entry has the same ones.
    pub replicas: Option<Vec<SocketAddr>>,
    /// Digest of the members' peer addresses, for [`Renewal::replicas_digest`].
    pub replicas_digest: u32,
    /// Upstreams whose heartbeats are overdue, by [`crate::upstream::Upstream::number`].
    pub suspects: Vec<Index>,
    /// The entries and gateways that this leader knows so far, for a holder without a list; `None`
    /// where it has this one or the leader knows all.
    pub partial_entries: Option<EntryList>,
}

/// A list of entries and gateways, encoded once for all holders that need it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryList {
    /// Change counter, for [`Renewal::partial_entries_version`].
    pub version: u64,
    data: Arc<[u8]>,
}

impl EntryList {
    /// Encodes a list.
    pub fn new(version: u64, entries: &Vec<EntryInfo>) -> Self {
        Self {
            version,
            data: codec::compress(&codec::encode(entries)).into(),
        }
    }

    /// Returns the list; `None` if it can't be decoded.
    pub fn entries(&self) -> Option<Vec<EntryInfo>> {
        codec::decode(&codec::decompress(&self.data)?).ok()
    }
}

/// The part of the configuration that entries need.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ConfigView {
    /// Revision of the configuration.
    pub revision: u64,
    /// Inventory with its rules.
    pub inventory: Arc<Inventory>,
    /// Versions that operators have withdrawn.
    pub withdrawn: BTreeSet<VersionName>,
    /// VMs whose entries are draining.
    pub draining: BTreeSet<Name>,
    /// Data centres whose upstreams must not get requests.
    pub evacuated: BTreeSet<Name>,
    /// Active version rollouts, by model.
    pub rollouts: BTreeMap<Name, RolloutView>,
    /// Releases of services.
    pub releases: Releases,
}

/// The part of a version rollout that entries need.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RolloutView {
    /// New version.
    pub version: VersionName,
    /// Its share of new sessions, 0 to 1.
    pub share: f64,
}

impl ConfigView {
    /// Returns whether the version exists and isn't withdrawn.
    pub fn is_available(&self, name: &VersionName) -> bool {
        crate::state::is_available(&self.inventory, &self.withdrawn, name)
    }
}

/// A change submitted by an operator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperatorChange {
    /// Id that makes the change idempotent: a resend gets the first outcome.
    pub change_id: Name,
    /// Revision to which the change applies; `None` for any revision.
    pub expected_revision: Option<u64>,
    /// The change.
    pub change: Change,
    /// Longest wait for the change to be in force, in milliseconds; 0 for no wait.
    pub wait_ms: u64,
}

/// The reply to an [`OperatorChange`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperatorChangeReply {
    /// Outcome of the change.
    pub outcome: ChangeOutcome,
    /// Whether the change is in force everywhere; `None` where the operator did not wait.
    pub in_force: Option<bool>,
    /// VMs whose entries may still use an older revision.
    pub lagging: Vec<Name>,
}

impl Grant {
    /// Creates a grant without updates.
    pub(crate) fn empty(term: u64) -> Self {
        Self {
            term,
            wants_info: false,
            revision: 0,
            config: None,
            directory: DirectoryUpdate::empty(0),
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
            partial_entries: None,
        }
    }
}
