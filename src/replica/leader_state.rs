//! State that only the leader has: the entries with their leases and demand, the upstreams' loads,
//! and the evidence for rollouts. It is not in the log: a new leader rebuilds it from the entries'
//! renewals.

use std::collections::BTreeMap;

use std::time::Duration;

use super::core::Core;
use super::quality_publisher::QualityPublisher;

use crate::agreement::Index;

use crate::codec;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::lease::Grantor;
use crate::lease::TTL;
use crate::peer::ConfigView;
use crate::peer::EntryInfo;
use crate::peer::EntryList;
use crate::peer::Grant;
use crate::peer::ReleaseStats;
use crate::peer::Renewal;
use crate::peer::RolloutView;
use crate::peer::TargetCount;
use crate::peer::UpstreamLoad;
use crate::policy::release_rollout;
use crate::policy::release_rollout::Evidence;
use crate::policy::release_rollout::Verdict;
use crate::policy::slot_allocation;
use crate::state::Stage;
use crate::state::State;
use crate::state::Target;
use crate::upstream::Directory;
use crate::upstream::FailureDetector;
use crate::upstream::LoadTable;
use crate::upstream::Presence;
use crate::upstream::Serves;

/// Time between two searches for upstreams whose heartbeats are overdue: a small part of the time
/// after which they are, and many renewals arrive within it.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(100);

/// An entry with a lease.
#[derive(Debug)]
struct EntryRecord {
    /// `None` until the entry has sent it to this leader.
    info: Option<EntryInfo>,
    is_leaving: bool,
    /// [`LeaderState::entries_version`] at which it left the address responses; `None` while it is
    /// listed.
    unlisted_at_version: Option<u64>,
    /// [`LeaderState::entries_version`] that it has acknowledged.
    acked_entries_version: u64,
    demand: Vec<TargetCount>,
}

/// The leader's state outside the log.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) grantor: Grantor,
    pub(super) failure_detector: FailureDetector,
    pub(super) leader_since: Duration,
    pub(super) quality_publisher: QualityPublisher,
    loads: LoadTable,
    /// By lease holder.
    entries: HashMap<u64, EntryRecord>,
    /// Change counter: grows when the info or the leaving state of an entry changes, and when an
    /// entry is removed.
    entries_version: u64,
    /// The last list for holders without one, before this leader knows all entries.
    partial_entries: Option<EntryList>,
    /// Running and queued requests of all entries, by target.
    demand: HashMap<Target, u64>,
    /// Upstreams that requests should avoid, and when they were determined.
    suspects: Option<(Duration, Vec<Index>)>,
    /// Slots of each target, and the log index up to which they are current.
    slots: Option<(Index, BTreeMap<Target, u64>)>,
    /// Active rollouts, by service.
    rollouts: HashMap<Name, ObservedRollout>,
}

/// The evidence for a service's active rollout. A new leader starts with none.
#[derive(Debug)]
struct ObservedRollout {
    target: Name,
    stage: Stage,
    stage_since: Duration,
    evidence: Evidence,
}

impl LeaderState {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            grantor: Grantor::new(now),
            failure_detector: FailureDetector::default(),
            leader_since: now,
            quality_publisher: QualityPublisher::default(),
            loads: LoadTable::default(),
            entries: HashMap::default(),
            entries_version: 1,
            partial_entries: None,
            demand: HashMap::default(),
            suspects: None,
            slots: None,
            rollouts: HashMap::default(),
        }
    }

    /// Adds an entry's statistics to the evidence of the rollouts that they belong to.
    fn record_release_stats(&mut self, rows: &[ReleaseStats], state: &State) {
        for row in rows {
            let Some(releases) = state.releases.get(&row.service) else {
                continue;
            };
            let Some(observed) = self.rollouts.get_mut(&row.service) else {
                continue;
            };
            if row.release == observed.target {
                observed
                    .evidence
                    .record(&row.route, true, row.upstream, &row.stats);
            } else if releases.stable.as_ref() == Some(&row.release) {
                observed
                    .evidence
                    .record(&row.route, false, row.upstream, &row.stats);
            }
        }
    }

    /// Evaluates all active rollouts. Each row has the service, its new release and the verdict.
    pub(super) fn evaluate_releases(
        &mut self,
        state: &State,
        now: Duration,
        wall_ms: u64,
    ) -> Vec<(Name, Name, Verdict)> {
        let mut verdicts = Vec::new();
        for (service, releases) in state.releases.iter() {
            let Some(rollout) = releases.active_rollout() else {
                self.rollouts.remove(service);
                continue;
            };
            if releases.stable.as_ref() == Some(&rollout.target) {
                // The command that completes it was lost with its leader.
                let verdict = Verdict::Advance(Stage::Complete);
                verdicts.push((service.clone(), rollout.target.clone(), verdict));
                continue;
            }
            let observed =
                self.rollouts
                    .entry(service.clone())
                    .or_insert_with(|| ObservedRollout {
                        target: rollout.target.clone(),
                        stage: rollout.stage,
                        stage_since: now
                            .saturating_sub(release_rollout::elapsed_in_stage(rollout, wall_ms)),
                        evidence: Evidence::default(),
                    });
            if observed.target != rollout.target {
                observed.evidence = Evidence::default();
            }
            if observed.target != rollout.target {
                observed.target = rollout.target.clone();
                observed.stage = rollout.stage;
                observed.stage_since = now;
            } else if observed.stage != rollout.stage {
                let period = Duration::from_millis(rollout.period_ms);
                observed.stage_since = release_rollout::next_stage_since(
                    observed.stage,
                    observed.stage_since,
                    period,
                    now,
                );
                observed.stage = rollout.stage;
            }
            let in_stage = now.saturating_sub(observed.stage_since);
            let ready = state.has_enough_upstreams(service, &rollout.target);
            let verdict = release_rollout::evaluate(rollout, &observed.evidence, in_stage, ready);
            verdicts.push((service.clone(), rollout.target.clone(), verdict));
        }
        verdicts
    }

    /// Iterates over the active rollouts: service, new release, stage and evidence.
    pub(super) fn observed_rollouts(
        &self,
    ) -> impl Iterator<Item = (&Name, &Name, Stage, &Evidence)> + '_ {
        self.rollouts.iter().map(|(service, observed)| {
            (
                service,
                &observed.target,
                observed.stage,
                &observed.evidence,
            )
        })
    }

    /// Returns the entries that address responses may list: neither leaving nor draining.
    pub(super) fn listed_entries(&self, state: &State) -> Vec<EntryInfo> {
        let mut entries: Vec<EntryInfo> = self
            .entries
            .values()
            .filter(|record| !record.is_leaving)
            .filter_map(|record| record.info.clone())
            .filter(|info| !state.draining.contains(&info.vm))
            .collect();
        entries.sort_by(|a, b| (&a.data_centre, a.address).cmp(&(&b.data_centre, b.address)));
        entries
    }

    /// Returns the entries known so far, for a holder that has the list of version `held`; `None` if
    /// it is current.
    fn partial_entries(&mut self, held: u64, state: &State) -> Option<EntryList> {
        let version = self.entries_version;
        if held == version {
            return None;
        }
        if self
            .partial_entries
            .as_ref()
            .is_none_or(|list| list.version != version)
        {
            let entries = self.listed_entries(state);
            self.partial_entries = Some(EntryList::new(version, &entries));
        }
        self.partial_entries.clone()
    }

    /// Returns whether no other lease holder lists `entry` in its address responses any more. A
    /// holder whose lease has expired sends no address responses.
    fn is_unlisted(&self, entry: u64) -> bool {
        let Some(unlisted_at_version) = self
            .entries
            .get(&entry)
            .and_then(|record| record.unlisted_at_version)
        else {
            return false;
        };
        self.entries.iter().all(|(&other, record)| {
            other == entry || record.acked_entries_version >= unlisted_at_version
        })
    }

    /// Removes entries whose lease has expired.
    pub(super) fn expire(&mut self, now: Duration) {
        for entry in self.grantor.expire(now) {
            self.remove_entry(entry);
        }
    }

    fn remove_entry(&mut self, entry: u64) {
        if let Some(record) = self.entries.remove(&entry) {
            self.entries_version += 1;
            self.adjust_demand(&record.demand, false);
        }
    }

    fn adjust_demand(&mut self, counts: &[TargetCount], add: bool) {
        for row in counts {
            let total = self.demand.entry(row.target.clone()).or_default();
            *total = if add {
                *total + u64::from(row.count)
            } else {
                total.saturating_sub(u64::from(row.count))
            };
        }
        self.demand.retain(|_, total| *total > 0);
    }

    fn apply_renewal(&mut self, renewal: &Renewal, directory: &Directory, now: Duration) {
        let record = self
            .entries
            .entry(renewal.entry)
            .or_insert_with(|| EntryRecord {
                info: None,
                is_leaving: false,
                unlisted_at_version: None,
                acked_entries_version: 0,
                demand: Vec::new(),
            });
        let info_changed = renewal.info.is_some() && record.info != renewal.info;
        if info_changed {
            record.info = renewal.info.clone();
        }
        if info_changed || record.is_leaving != renewal.is_leaving {
            record.is_leaving = renewal.is_leaving;
            self.entries_version += 1;
            record.unlisted_at_version = renewal.is_leaving.then_some(self.entries_version);
        }
        let previous = std::mem::replace(&mut record.demand, renewal.demand.clone());
        self.adjust_demand(&previous, false);
        self.adjust_demand(&renewal.demand, true);
        for row in &renewal.loads {
            let Some(upstream) = directory.by_number(row.number) else {
                continue;
            };
            let (id, incarnation) = (&upstream.announced.id, upstream.announced.incarnation);
            self.failure_detector.record_heartbeat(id, incarnation, now);
            if let Some(level) = row.level {
                self.loads.update(id, incarnation, level, now);
            }
        }
    }

    /// Returns the load levels of one data centre's upstreams that changed after the change counter
    /// had the value `change`.
    fn changed_loads(&self, data_centre: &str, change: u64, state: &State) -> Vec<UpstreamLoad> {
        self.loads
            .changed_after(change)
            .filter_map(|(id, incarnation, level)| {
                let row = state.directory.get(id)?;
                let announced = &row.announced;
                let wanted =
                    &*announced.data_centre == data_centre && announced.incarnation == incarnation;
                wanted.then_some(UpstreamLoad {
                    number: row.number,
                    level: Some(level),
                })
            })
            .collect()
    }

    /// Returns the slots of each target that an entry may use, given its own `demand`.
    fn allocate_slots(&mut self, demand: &[TargetCount], state: &State) -> Vec<TargetCount> {
        let is_current = |(index, _): &(Index, _)| *index == state.applied;
        if !self.slots.as_ref().is_some_and(is_current) {
            self.slots = Some((state.applied, slots_by_target(state)));
        }
        let entries = self.entries.len().max(1) as u64;
        let slots = self.slots.iter().flat_map(|(_, slots)| slots);
        slots
            .map(|(target, &slots)| {
                let total = self.demand.get(target).copied().unwrap_or(0);
                let entry_demand = demand
                    .iter()
                    .find(|row| row.target == *target)
                    .map_or(0, |row| u64::from(row.count));
                let count = slot_allocation::slots_for_entry(slots, entries, entry_demand, total);
                TargetCount {
                    target: target.clone(),
                    count,
                }
            })
            .collect()
    }

    /// Returns the numbers of the upstreams that requests should avoid, because their heartbeats
    /// are overdue, as of the last [`SUSPECTS_INTERVAL`].
    fn suspects(&mut self, directory: &Directory, now: Duration) -> Vec<Index> {
        let is_recent = |(at, _): &(Duration, _)| now < *at + SUSPECTS_INTERVAL;
        if !self.suspects.as_ref().is_some_and(is_recent) {
            let suspects = self.determine_suspects(directory, now);
            self.suspects = Some((now, suspects));
        }
        self.suspects
            .as_ref()
            .map(|(_, suspects)| suspects.clone())
            .unwrap_or_default()
    }

    /// Returns none where the heartbeats of more than a third are overdue: the fault is then more
    /// likely on this side.
    fn determine_suspects(&self, directory: &Directory, now: Duration) -> Vec<Index> {
        let mut total = 0;
        let mut suspects = Vec::new();
        for row in directory.iter().filter(|row| row.accepts_requests()) {
            total += 1;
            let (id, incarnation) = (&row.announced.id, row.announced.incarnation);
            if self.failure_detector.is_suspect(id, incarnation, now) {
                suspects.push(row.number);
            }
        }
        if 3 * suspects.len() > total {
            suspects.clear();
        }
        suspects
    }
}

fn slots_by_target(state: &State) -> BTreeMap<Target, u64> {
    let mut slots = BTreeMap::new();
    let live = state.directory.live();
    for announced in live.filter(|announced| !state.is_evacuated(&announced.data_centre)) {
        let targets = match &announced.serves {
            Serves::Versions(versions) => versions.iter().cloned().map(Target::Version).collect(),
            Serves::Service(service) => vec![Target::Service(service.clone())],
        };
        for target in targets {
            *slots.entry(target).or_default() += u64::from(announced.slots);
        }
    }
    slots
}

/// Returns the part of the state that entries and gateways need as their configuration.
pub(super) fn config_view(state: &State) -> ConfigView {
    let rollouts = state
        .rollouts
        .iter()
        .filter(|(_, rollout)| rollout.is_open())
        .map(|(model, rollout)| {
            let view = RolloutView {
                version: rollout.version.clone(),
                share: rollout.share(),
            };
            (model.clone(), view)
        })
        .collect();
    ConfigView {
        revision: state.revision,
        inventory: state.inventory.clone(),
        withdrawn: state.withdrawn.clone(),
        draining: state.draining.clone(),
        evacuated: state.evacuated.clone(),
        rollouts,
        releases: state.releases.clone(),
    }
}

impl Core {
    /// Renews or releases an entry's lease. The caller has checked that this replica holds the
    /// leader lease.
    pub(super) fn renew(&mut self, renewal: &Renewal) -> Grant {
        let now = self.now();
        let term = self.node.term();
        if renewal.releases_lease {
            self.leader_state.grantor.release(renewal.entry);
            self.leader_state.remove_entry(renewal.entry);
            return Grant::empty(term);
        }
        self.leader_state
            .apply_renewal(renewal, &self.state.directory, now);
        self.leader_state
            .record_release_stats(&renewal.release_stats, &self.state);
        // Change counters of another leader are not comparable with this one's: the entry gets
        // everything then.
        let same_leader = renewal.term == term;
        let known_version = |version: u64| if same_leader { version } else { 0 };
        let info = self
            .leader_state
            .entries
            .get(&renewal.entry)
            .and_then(|record| record.info.clone());
        // `?` and the empty name stand in until this leader has the entry's info.
        let (vm, data_centre): (Name, Name) =
            info.as_ref().map_or(("?".into(), "".into()), |info| {
                (info.vm.clone(), info.data_centre.clone())
            });
        let grantor = &mut self.leader_state.grantor;
        grantor.grant(renewal.entry, &vm, renewal.acked_revision, now);
        let mut grant = Grant::empty(term);
        grant.wants_info = info.is_none();
        grant.revision = self.state.revision;
        grant.config = self
            .config_history
            .update_from(renewal.revision)
            .filter(|update| update.size() <= renewal.max_config_bytes as usize);
        grant.directory = self.directory_update(renewal.directory_index);
        if let Some(record) = self.leader_state.entries.get_mut(&renewal.entry) {
            record.acked_entries_version = known_version(renewal.entries_version);
        }
        let leader_state = &self.leader_state;
        grant.loads = leader_state.changed_loads(
            &data_centre,
            known_version(renewal.loads_version),
            &self.state,
        );
        grant.loads_version = leader_state.loads.last_change();
        grant.entries_version = leader_state.entries_version;
        // A new leader learns of entries one renewal at a time, and knows all that hold a lease
        // after one lease time. Until then, entries keep the list of the former leader.
        let has_all_entries = now >= leader_state.leader_since + TTL;
        if has_all_entries && known_version(renewal.entries_version) != leader_state.entries_version
        {
            grant.entries = Some(leader_state.listed_entries(&self.state));
        }
        if !has_all_entries {
            grant.entries_version = 0;
        }
        // A holder that has just introduced itself asks again once the others have done so too.
        let wants_partial = renewal
            .partial_entries_version
            .filter(|_| !has_all_entries && renewal.info.is_none());
        grant.is_unlisted = has_all_entries && leader_state.is_unlisted(renewal.entry);
        if let Some(held) = wants_partial {
            let held = known_version(held);
            grant.partial_entries = self.leader_state.partial_entries(held, &self.state);
        }
        let replicas: Vec<_> = self
            .node
            .membership()
            .members
            .values()
            .map(|member| member.address)
            .collect();
        grant.slots = self
            .leader_state
            .allocate_slots(&renewal.demand, &self.state);
        grant.suspects = self.leader_state.suspects(&self.state.directory, now);
        grant.replicas_digest = crc32fast::hash(&codec::encode(&replicas));
        if grant.replicas_digest != renewal.replicas_digest {
            grant.replicas = Some(replicas);
        }
        let quality = &self.leader_state.quality_publisher;
        grant.quality = quality.changed_after(known_version(renewal.quality_version));
        grant.quality_version = quality.last_change();
        grant
    }

    /// Returns id and incarnation of the live upstreams that the failure detector considers failed.
    pub(super) fn failed_upstreams(&mut self) -> Vec<(Name, u64)> {
        let now = self.now();
        let mut by_data_centre: BTreeMap<&Name, Vec<(&Name, u64)>> = BTreeMap::new();
        for row in self.state.directory.iter() {
            if row.presence == Presence::Live {
                let announced = &row.announced;
                by_data_centre
                    .entry(&announced.data_centre)
                    .or_default()
                    .push((&announced.id, announced.incarnation));
            }
        }
        let mut failed = Vec::new();
        for live in by_data_centre.values() {
            for (id, incarnation) in self
                .leader_state
                .failure_detector
                .failed_upstreams(live, now)
            {
                failed.push((id.clone(), incarnation));
            }
        }
        failed
    }
}
