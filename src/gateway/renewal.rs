//! Periodic renewals at the leader of the state replicas. A renewal carries this gateway's
//! statistics; the grant in reply carries the configuration, the directory of upstreams and the
//! other gateways.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use crate::collections::Name;
use crate::evacuation;
use crate::log::event;
use crate::peer::ConfigUpdate;
use crate::peer::DirectoryUpdate;
use crate::peer::EntryInfo;
use crate::peer::Grant;
use crate::peer::LeaderClient;
use crate::peer::Renewal;
use crate::peer::Reply;
use crate::peer::Request;
use crate::policy::renewal_timing::Progress;
use crate::policy::renewal_timing::RenewalTiming;
use crate::policy::replica_discovery::QUESTION_INTERVAL;
use crate::recovery::Phase;
use crate::upstream::Upstream;

/// Largest configuration update that a grant may carry, in bytes. A larger one is fetched from any
/// replica, so that the leader does not send it to every gateway.
const MAX_GRANTED_CONFIG_BYTES: u32 = 16 * 1024;

/// Number of replicas asked for a configuration update between two renewals.
const UPDATE_ATTEMPTS: usize = 3;

/// Most updates of the directory that are fetched between two renewals, so that the leader hears of
/// this gateway in time.
const DIRECTORY_UPDATES: usize = 8;

/// Interval between two log lines on the search for a leader.
const SEARCH_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Sends renewals for as long as the process runs.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let leader = gateway.leader.clone();
    let mut next_question_at = Duration::ZERO;
    let mut state = RenewalState {
        update_source: gateway.run_id as usize,
        partial_entries_version: Some(0),
        ..RenewalState::default()
    };
    let mut timing = RenewalTiming::new(fastrand::f64());
    loop {
        let sent_at = gateway.now();
        let renewal = state.next_renewal(&gateway, timing.may_list_gateways(sent_at));
        let release_stats = renewal.release_stats.clone();
        let reply = leader.try_call(&Request::Renew(Box::new(renewal))).await;
        let Some(Reply::Grant(grant)) = reply else {
            gateway.restore_release_stats(release_stats);
            state.mark_disconnected(&gateway, &leader);
            timing.record_failure();
            // A large update may have been too much for the leader or the link to it.
            state.has_silent_source = false;
            if leader.needs_replicas() && gateway.now() >= next_question_at {
                next_question_at = gateway.now() + QUESTION_INTERVAL;
                let gateway = gateway.clone();
                tokio::task::spawn_local(async move {
                    gateway
                        .leader
                        .add_reported(gateway.ask_for_replicas().await);
                });
            }
            leader.wait_before_retry().await;
            continue;
        };
        timing.record_grant(gateway.now());
        gateway.record_cold_start_grant(sent_at, grant.entries.as_deref());
        state.apply_grant(&gateway, *grant);
        state.fetch_directory(&gateway, &leader).await;
        state.record_recovery(&gateway);
        state.fetch_config(&gateway, &leader).await;
        state.record_recovery(&gateway);
        let (progress, has_list) = (state.progress(), state.has_list());
        let delay = timing.next_delay(progress, has_list, sent_at, gateway.now());
        tokio::time::sleep(delay).await;
    }
}

impl Gateway {
    /// Reports a phase of the recovery when it is reached for the first time.
    pub(super) fn record_phase(&self, phase: Phase) {
        if !self.recovery.has_reached(phase) {
            self.recovery.record(phase, self.now(), &self.metrics);
        }
    }

    /// Sets the list of gateways. `is_complete` is whether the leader knows all of them.
    fn set_entries(&self, entries: Vec<EntryInfo>, is_complete: bool) {
        self.record_absent_gateways(&entries);
        let has_loads = |info: &&EntryInfo| info.loads_address.is_some();
        event!(
            Info,
            "gateways_known",
            count = entries.iter().filter(has_loads).count(),
            complete = is_complete
        );
        self.has_all_gateways.set(is_complete);
        self.share_retry_budgets(&entries, is_complete);
        let mut routing = (*self.routing()).clone();
        routing.entries = Arc::new(entries);
        self.set_routing(routing);
        self.load_changed.notify_one();
    }

    /// Merges changed rows into the directory.
    fn merge_into_directory(&self, rows: Vec<Upstream>) {
        if rows.is_empty() {
            return;
        }
        let routing = self.routing();
        self.apply_cold_rows(&routing.directory, &rows);
        let mut directory = (*routing.directory).clone();
        directory.merge(rows);
        let routing = (*routing).clone().with_directory(directory);
        let directory = routing.directory.clone();
        self.set_routing(routing);
        self.upstreams
            .borrow_mut()
            .retain(|id| directory.get(id).is_some());
        self.refresh_cold_starts();
    }
}

/// What the gateway has received so far, for the next renewal to acknowledge.
#[derive(Default)]
struct RenewalState {
    /// Term of the leader that sent the last grant.
    term: u64,
    /// Whether the leader has this gateway's `info`.
    is_introduced: bool,
    /// Revision of the configuration.
    revision: u64,
    /// Newest revision of the configuration at the leader, as of the last grant.
    leader_revision: u64,
    /// Position of the replica that is asked next for a configuration update.
    update_source: usize,
    /// Log index up to which changes of the directory have been received.
    directory_index: u64,
    /// Lowest log index up to which the leader's directory was current at the last grant.
    leader_directory_index: u64,
    /// Whether all upstreams that the leader knew of at the last grant are held.
    has_whole_directory: bool,
    /// Whether the last replica asked for a piece of the directory had one.
    has_directory_source: bool,
    /// Whether an update of the configuration or the directory has been rejected since the last
    /// renewal.
    has_rejected_update: bool,
    /// Whether a replica asked for an update since the last renewal has not replied.
    has_silent_source: bool,
    /// The leader's change counter for its list of gateways.
    entries_version: u64,
    /// Version of the incomplete list of the gateways; `None` once the complete one is held.
    partial_entries_version: Option<u64>,
    /// Digest of the replicas' addresses.
    replicas_digest: u32,
    /// Whether the last renewal was granted.
    is_connected: bool,
    /// When the search for a leader was last logged.
    search_logged_at: Duration,
}

impl RenewalState {
    /// `wants_list` is whether the leader may send an incomplete list of the gateways.
    fn next_renewal(&self, gateway: &Gateway, wants_list: bool) -> Renewal {
        Renewal {
            entry: gateway.run_id,
            info: (!self.is_introduced).then(|| gateway.info.clone()),
            acked_revision: self.revision,
            revision: self.revision,
            max_config_bytes: self.max_config_bytes(),
            term: self.term,
            directory_index: self.directory_index,
            loads_version: 0,
            entries_version: self.entries_version,
            quality_version: 0,
            replicas_digest: self.replicas_digest,
            loads: Vec::new(),
            demand: Vec::new(),
            release_stats: gateway.drain_release_stats(),
            is_leaving: gateway.is_draining(),
            releases_lease: false,
            partial_entries_version: self.partial_entries_version.filter(|_| wants_list),
        }
    }

    /// The connections to other replicas than the leader may be idle for long and all have fallen
    /// silent. To wait for one after another would take too long, so the leader, which has just
    /// replied, sends the update instead.
    fn max_config_bytes(&self) -> u32 {
        if self.has_silent_source && self.revision > 0 {
            u32::MAX
        } else {
            MAX_GRANTED_CONFIG_BYTES
        }
    }

    /// Returns whether a list of the gateways is held, complete or not.
    fn has_list(&self) -> bool {
        self.partial_entries_version != Some(0)
    }

    /// Returns whether this gateway holds what it needs to serve requests.
    fn progress(&self) -> Progress {
        if !self.lacks_first_config() && self.has_whole_directory {
            Progress::Complete
        } else if self.has_rejected_update {
            Progress::Rejected
        } else if !self.lacks_first_config() && self.has_directory_source {
            Progress::Partial
        } else {
            Progress::Unavailable
        }
    }

    /// Logs that the leader was lost, and at intervals which replicas have been called.
    fn mark_disconnected(&mut self, gateway: &Gateway, leader: &LeaderClient) {
        let now = gateway.now();
        if !self.is_connected && now < self.search_logged_at + SEARCH_LOG_INTERVAL {
            return;
        }
        self.is_connected = false;
        self.search_logged_at = now;
        let silence = gateway.leader_silence();
        gateway
            .metrics
            .set_gauge("daisyquay_leader_silence_seconds", silence.as_secs_f64());
        event!(
            Warn,
            "state_lost",
            revision = self.revision,
            silent_ms = silence.as_millis(),
            called = leader.log_text()
        );
    }

    fn apply_grant(&mut self, gateway: &Gateway, grant: Grant) {
        if !self.is_connected {
            self.is_connected = true;
            event!(Info, "state_found", term = grant.term);
            gateway
                .metrics
                .set_gauge("daisyquay_leader_silence_seconds", 0.0);
        }
        gateway.record_phase(Phase::Leader);
        self.has_rejected_update = false;
        self.has_silent_source = false;
        self.term = grant.term;
        self.is_introduced = !grant.wants_info;
        self.entries_version = grant.entries_version;
        self.replicas_digest = grant.replicas_digest;
        gateway.upstreams.borrow_mut().set_suspects(&grant.suspects);
        if let Some(replicas) = grant.replicas {
            *gateway.replicas.borrow_mut() = replicas;
        }
        if let Some(entries) = grant.entries {
            self.partial_entries_version = None;
            gateway.set_entries(entries, true);
        } else if let Some(list) = grant.partial_entries
            && let Some(entries) = list.entries()
        {
            // The shares of cold upstreams need the complete list.
            self.partial_entries_version = Some(list.version);
            gateway.set_entries(entries, false);
        }
        self.leader_revision = grant.revision;
        self.leader_directory_index = grant.directory.applied();
        // Before the rows, whose cold periods begin with the limits of the configuration.
        let update = grant.config.as_ref();
        let formerly_evacuated = update.and_then(|update| self.apply_config(gateway, update));
        let rows = self.read_directory_update(&grant.directory);
        gateway.merge_into_directory(rows.unwrap_or_default());
        if let Some(former) = formerly_evacuated {
            // After the rows: they may be older than the end of an evacuation.
            gateway.apply_evacuations_ended(&former);
        }
        gateway.record_leader_revision(self.leader_revision);
    }

    /// Returns whether nothing can be served yet, although a configuration exists.
    fn lacks_first_config(&self) -> bool {
        self.revision == 0 && self.leader_revision > 0
    }

    /// Reports the phases of the recovery that have ended.
    fn record_recovery(&self, gateway: &Gateway) {
        if self.revision > 0 {
            gateway.record_phase(Phase::Configuration);
        }
        if self.has_whole_directory {
            gateway.record_phase(Phase::Directory);
        }
    }

    /// Fetches the rest of the directory from the replicas in turn, if the grant did not have all.
    /// Gateways start at different replicas, which share the load. One that does not reply, lags
    /// behind or sends an update that can't be decoded ends the search until after the next renewal.
    async fn fetch_directory(&mut self, gateway: &Gateway, leader: &LeaderClient) {
        let mut rows = Vec::new();
        for _ in 0..DIRECTORY_UPDATES {
            if self.has_whole_directory {
                break;
            }
            let request = Request::DirectoryUpdate {
                held: self.directory_index,
            };
            let reply = leader.call_replica_at(self.update_source, &request).await;
            let Some(Reply::DirectoryUpdate(update)) = reply else {
                self.has_silent_source = reply.is_none();
                self.try_next_source();
                break;
            };
            let Some(piece) = self.read_directory_update(&update) else {
                self.try_next_source();
                break;
            };
            rows.extend(piece);
            self.has_directory_source = true;
            if update.is_last() && !self.has_whole_directory {
                self.try_next_source();
                break;
            }
        }
        gateway.merge_into_directory(rows);
    }

    fn try_next_source(&mut self) {
        self.has_directory_source = false;
        self.update_source = self.update_source.wrapping_add(1);
    }

    /// Returns the rows of an update and records up to which log index they lead; `None` if the
    /// update is rejected.
    fn read_directory_update(&mut self, update: &DirectoryUpdate) -> Option<Vec<Upstream>> {
        match update.rows() {
            Ok(rows) => {
                // A replica that lags behind lacks the last pieces.
                let needed = self.leader_directory_index.max(self.directory_index);
                self.has_whole_directory = update.is_last_for(needed);
                self.directory_index = self.directory_index.max(update.index());
                Some(rows)
            }
            Err(e) => {
                event!(Warn, "directory_update_rejected", error = e);
                self.has_whole_directory = false;
                self.has_rejected_update = true;
                None
            }
        }
    }

    /// Fetches the configuration from the replicas in turn, if the leader has a newer one. Gateways
    /// start at different replicas, which share the load. One that does not reply, here or when asked
    /// for the directory, ends the search, unless no configuration is held yet: the next renewal
    /// brings the update and the news of upstreams, and must not wait for long. One whose update is
    /// rejected ends the search as well.
    async fn fetch_config(&mut self, gateway: &Gateway, leader: &LeaderClient) {
        for _ in 0..UPDATE_ATTEMPTS {
            let waits_for_grant = self.has_silent_source && self.revision > 0;
            if self.revision >= self.leader_revision || waits_for_grant {
                return;
            }
            let request = Request::ConfigUpdate {
                held: self.revision,
            };
            let reply = leader.call_replica_at(self.update_source, &request).await;
            match reply {
                // A replica that lags behind may not know of an evacuation yet. While nothing else
                // is held, nothing is served, so its configuration is no improvement.
                Some(Reply::ConfigUpdate(Some(update)))
                    if self.revision > 0 || update.revision() >= self.leader_revision =>
                {
                    let Some(former) = self.apply_config(gateway, &update) else {
                        self.update_source = self.update_source.wrapping_add(1);
                        return;
                    };
                    gateway.apply_evacuations_ended(&former);
                }
                reply => {
                    self.update_source = self.update_source.wrapping_add(1);
                    self.has_silent_source = reply.is_none();
                }
            }
        }
    }

    /// Applies an update of the configuration. Returns the data centres that were evacuated before;
    /// `None` if the update is rejected.
    fn apply_config(&mut self, gateway: &Gateway, update: &ConfigUpdate) -> Option<BTreeSet<Name>> {
        let routing = (*gateway.routing()).clone();
        let held = routing.config.clone().unwrap_or_default();
        if update.revision() <= self.revision {
            return Some(held.evacuated.clone());
        }
        let config = match update.apply(&held) {
            Ok(config) => config,
            Err(e) => {
                event!(Warn, "config_update_rejected", error = e);
                self.has_rejected_update = true;
                return None;
            }
        };
        self.revision = config.revision;
        gateway.start_directory_wait();
        event!(
            Info,
            "config_taken",
            revision = self.revision,
            bytes = update.size()
        );
        gateway
            .metrics
            .set_gauge("daisyquay_revision", self.revision as f64);
        gateway.set_routing(routing.with_config(Arc::new(config)));
        if let Some(config) = &gateway.routing().config {
            evacuation::report(&gateway.metrics, &held, config);
        }
        gateway.refresh_cold_starts();
        Some(held.evacuated.clone())
    }
}
