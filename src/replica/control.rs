//! What the leader keeps for the entries: leases, loads, demand and who is there. All of it is
//! rebuilt from the entries' renewals after a failover.

use std::collections::BTreeMap;

use std::time::Duration;

use super::core::Core;
use super::published::Published;

use crate::agreement::Index;

use crate::codec;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::lease::Grantor;
use crate::lease::TTL;
use crate::peer::ConfigView;
use crate::peer::EntryInfo;
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

#[derive(Debug)]
struct Known {
    info: Option<EntryInfo>,
    leaving: bool,
    /// Count of entry changes at which it left the address answer.
    left_at: Option<u64>,
    /// Entry changes that it has acknowledged.
    entries_seen: u64,
    demand: Vec<TargetCount>,
}

/// The leader's soft state.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) grantor: Grantor,
    pub(super) silence: FailureDetector,
    pub(super) since: Duration,
    pub(super) published: Published,
    loads: LoadTable,
    entries: HashMap<u64, Known>,
    entries_changes: u64,
    demand: HashMap<Target, u64>,
    releases: HashMap<Name, Watched>,
}

/// A roll-out that the guard watches. A new leader gathers its evidence anew.
#[derive(Debug)]
struct Watched {
    target: Name,
    stage: Stage,
    since: Duration,
    evidence: Evidence,
}

impl Control {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            grantor: Grantor::new(now),
            silence: FailureDetector::default(),
            since: now,
            published: Published::default(),
            loads: LoadTable::default(),
            entries: HashMap::default(),
            entries_changes: 1,
            demand: HashMap::default(),
            releases: HashMap::default(),
        }
    }

    /// Takes in what an entry saw of releases that are being rolled out.
    fn note_seen(&mut self, rows: &[ReleaseStats], state: &State) {
        for row in rows {
            let Some(line) = state.releases.get(&row.service) else {
                continue;
            };
            let Some(watched) = self.releases.get_mut(&row.service) else {
                continue;
            };
            if row.release == watched.target {
                watched.evidence.record(&row.route, true, &row.stats);
            } else if line.stable.as_ref() == Some(&row.release) {
                watched.evidence.record(&row.route, false, &row.stats);
            }
        }
    }

    /// Judges all open roll-outs: service, release and verdict.
    pub(super) fn judge_releases(
        &mut self,
        state: &State,
        now: Duration,
        wall_ms: u64,
    ) -> Vec<(Name, Name, Verdict)> {
        let mut verdicts = Vec::new();
        for (service, line) in state.releases.iter() {
            let Some(rollout) = line.active_rollout() else {
                self.releases.remove(service);
                continue;
            };
            let watched = self
                .releases
                .entry(service.clone())
                .or_insert_with(|| Watched {
                    target: rollout.target.clone(),
                    stage: rollout.stage,
                    since: now.saturating_sub(release_rollout::elapsed_in_stage(rollout, wall_ms)),
                    evidence: Evidence::default(),
                });
            if watched.target != rollout.target {
                watched.evidence = Evidence::default();
            }
            if watched.target != rollout.target || watched.stage != rollout.stage {
                watched.target = rollout.target.clone();
                watched.stage = rollout.stage;
                watched.since = now;
            }
            let in_stage = now.saturating_sub(watched.since);
            let ready = enough_upstreams(state, service, &rollout.target);
            let verdict = release_rollout::evaluate(rollout, &watched.evidence, in_stage, ready);
            verdicts.push((service.clone(), rollout.target.clone(), verdict));
        }
        verdicts
    }

    /// Entries that callers may be sent to.
    pub(super) fn entries(&self, state: &State) -> Vec<EntryInfo> {
        let mut entries: Vec<EntryInfo> = self
            .entries
            .values()
            .filter(|known| !known.leaving)
            .filter_map(|known| known.info.clone())
            .filter(|info| !state.draining.contains(&info.vm))
            .collect();
        entries.sort_by(|a, b| (&a.data_centre, a.address).cmp(&(&b.data_centre, b.address)));
        entries
    }

    /// Whether every other lease holder answers callers without `entry`. A holder whose lease has
    /// run out answers no caller.
    fn is_gone(&self, entry: u64) -> bool {
        let Some(left_at) = self.entries.get(&entry).and_then(|known| known.left_at) else {
            return false;
        };
        self.entries
            .iter()
            .all(|(&other, known)| other == entry || known.entries_seen >= left_at)
    }

    /// Drops entries whose lease has run out.
    pub(super) fn expire(&mut self, now: Duration) {
        for entry in self.grantor.expire(now) {
            self.forget(entry);
        }
    }

    fn forget(&mut self, entry: u64) {
        if let Some(known) = self.entries.remove(&entry) {
            self.entries_changes += 1;
            self.add_demand(&known.demand, false);
        }
    }

    fn add_demand(&mut self, shares: &[TargetCount], add: bool) {
        for share in shares {
            let total = self.demand.entry(share.target.clone()).or_default();
            *total = if add {
                *total + u64::from(share.count)
            } else {
                total.saturating_sub(u64::from(share.count))
            };
        }
        self.demand.retain(|_, total| *total > 0);
    }

    fn take(&mut self, renewal: &Renewal, directory: &Directory, now: Duration) {
        let known = self.entries.entry(renewal.entry).or_insert_with(|| Known {
            info: None,
            leaving: false,
            left_at: None,
            entries_seen: 0,
            demand: Vec::new(),
        });
        let introduced = renewal.info.is_some() && known.info != renewal.info;
        if introduced {
            known.info = renewal.info.clone();
        }
        if introduced || known.leaving != renewal.is_leaving {
            known.leaving = renewal.is_leaving;
            self.entries_changes += 1;
            known.left_at = renewal.is_leaving.then_some(self.entries_changes);
        }
        let before = std::mem::replace(&mut known.demand, renewal.demand.clone());
        self.add_demand(&before, false);
        self.add_demand(&renewal.demand, true);
        for row in &renewal.loads {
            let Some(upstream) = directory.by_number(row.number) else {
                continue;
            };
            let (id, incarnation) = (&upstream.announced.id, upstream.announced.incarnation);
            self.silence.record_heartbeat(id, incarnation, now);
            if let Some(level) = row.level {
                self.loads.update(id, incarnation, level, now);
            }
        }
    }

    /// Levels of one data centre that changed after `seen`.
    fn loads_for(&self, data_centre: &str, seen: u64, state: &State) -> Vec<UpstreamLoad> {
        self.loads
            .changed_after(seen)
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

    /// Slots that an entry may use, by its part of the demand.
    fn shares(&self, demand: &[TargetCount], state: &State) -> Vec<TargetCount> {
        let slots = slots_by_target(state);
        let entries = self.entries.len().max(1) as u64;
        slots
            .into_iter()
            .map(|(target, slots)| {
                let total = self.demand.get(&target).copied().unwrap_or(0);
                let own = demand
                    .iter()
                    .find(|share| share.target == target)
                    .map_or(0, |share| u64::from(share.count));
                let count = slot_allocation::slots_for_entry(slots, entries, own, total);
                TargetCount { target, count }
            })
            .collect()
    }
}

/// Whether the new release has half as many upstreams as all others of the service.
fn enough_upstreams(state: &State, service: &Name, target: &Name) -> bool {
    let (mut new, mut old) = (0_usize, 0_usize);
    for announced in state.directory.live() {
        if !matches!(&announced.serves, Serves::Service(name) if name == service) {
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

fn slots_by_target(state: &State) -> BTreeMap<Target, u64> {
    let mut slots = BTreeMap::new();
    for announced in state.directory.live() {
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

fn config_view(state: &State) -> ConfigView {
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
        rollouts,
        releases: state.releases.clone(),
    }
}

impl Core {
    /// Renews an entry's lease; the caller has made sure that this replica may.
    pub(super) fn renew(&mut self, renewal: &Renewal) -> Grant {
        let now = self.now();
        let term = self.node.term();
        if renewal.releases_lease {
            self.control.grantor.release(renewal.entry);
            self.control.forget(renewal.entry);
            return Grant::empty(term);
        }
        self.control.take(renewal, &self.state.directory, now);
        self.control.note_seen(&renewal.release_stats, &self.state);
        // Counts of another leader mean nothing here.
        let same_leader = renewal.term == term;
        let seen = |count: u64| if same_leader { count } else { 0 };
        let info = self
            .control
            .entries
            .get(&renewal.entry)
            .and_then(|known| known.info.clone());
        let (vm, data_centre): (Name, Name) =
            info.as_ref().map_or(("?".into(), "".into()), |info| {
                (info.vm.clone(), info.data_centre.clone())
            });
        let grantor = &mut self.control.grantor;
        grantor.grant(renewal.entry, &vm, renewal.acked_revision, now);
        let mut grant = Grant::empty(term);
        grant.wants_info = info.is_none();
        if renewal.revision < self.state.revision {
            grant.config = Some(Box::new(config_view(&self.state)));
        }
        grant.upstreams = self.state.directory.changed_after(renewal.directory_index);
        grant.directory_index = self.state.applied;
        if let Some(known) = self.control.entries.get_mut(&renewal.entry) {
            known.entries_seen = seen(renewal.entries_version);
        }
        let control = &self.control;
        grant.loads = control.loads_for(&data_centre, seen(renewal.loads_version), &self.state);
        grant.loads_version = control.loads.last_change();
        grant.entries_version = control.entries_changes;
        // A new leader hears of entries one by one; callers keep the old answer until it knows all.
        let settled = now >= control.since + TTL;
        if settled && seen(renewal.entries_version) != control.entries_changes {
            grant.entries = Some(control.entries(&self.state));
        }
        if !settled {
            grant.entries_version = 0;
        }
        grant.is_unlisted = settled && control.is_gone(renewal.entry);
        grant.slots = control.shares(&renewal.demand, &self.state);
        let replicas: Vec<_> = self
            .node
            .membership()
            .members
            .values()
            .map(|member| member.address)
            .collect();
        grant.suspects = self.silent_upstreams();
        grant.replicas_digest = crc32fast::hash(&codec::encode(&replicas));
        if grant.replicas_digest != renewal.replicas_digest {
            grant.replicas = Some(replicas);
        }
        grant.quality = control.published.after(seen(renewal.quality_version));
        grant.quality_version = control.published.count();
        grant
    }

    /// Upstreams to be avoided, by number. The silence of many says more about us than about them.
    fn silent_upstreams(&self) -> Vec<Index> {
        let now = self.now();
        let live = self
            .state
            .directory
            .iter()
            .filter(|row| row.accepts_requests());
        let mut total = 0;
        let mut silent = Vec::new();
        for row in live {
            total += 1;
            let announced = &row.announced;
            let silence = &self.control.silence;
            if silence.is_suspect(&announced.id, announced.incarnation, now) {
                silent.push(row.number);
            }
        }
        if 3 * silent.len() > total {
            silent.clear();
        }
        silent
    }

    /// Upstreams that are live but presumably dead.
    pub(super) fn dead_upstreams(&mut self) -> Vec<(Name, u64)> {
        let now = self.now();
        let mut centres: BTreeMap<&Name, Vec<(&Name, u64)>> = BTreeMap::new();
        for row in self.state.directory.iter() {
            if row.presence == Presence::Live {
                let announced = &row.announced;
                centres
                    .entry(&announced.data_centre)
                    .or_default()
                    .push((&announced.id, announced.incarnation));
            }
        }
        let mut dead = Vec::new();
        for live in centres.values() {
            for (id, incarnation) in self.control.silence.failed_upstreams(live, now) {
                dead.push((id.clone(), incarnation));
            }
        }
        dead
    }
}
