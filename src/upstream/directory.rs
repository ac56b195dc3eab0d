//! The replicated directory, which decides which upstreams may get requests.
//!
//! Handles announcements and reports that arrive late or out of order: an incarnation that has left
//! never returns, and neither does one whose address a later start has taken over.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::Name;
use crate::config::Inventory;
use crate::config::VersionName;

/// Most upstreams in the directory, those that have left included.
const UPSTREAM_LIMIT: usize = 20_000;

/// Most slots that one upstream may announce.
const SLOT_LIMIT: u32 = 10_000;

/// Most versions that one upstream may announce.
const VERSION_LIMIT: usize = 256;

/// What an upstream serves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// A model runner, with the versions that it has loaded.
    Versions(Vec<VersionName>),
    /// A plain service, by its name.
    Service(Name),
}

/// What an upstream announces about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Unique name of the upstream.
    pub id: Name,
    /// Increases with each start of the upstream.
    pub incarnation: u64,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: Name,
    /// Model versions or service that it serves.
    pub serves: Serves,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it rejects commands with a stale fencing token.
    #[serde(default)]
    pub fences_orders: bool,
    /// Release of its software, by which rollouts of its service divide the traffic.
    #[serde(default)]
    pub release: Option<Name>,
    /// Start time, in milliseconds since the Unix epoch, if announced. Of two upstreams at one
    /// address, the one that started later is running there.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Whether it is about to leave: it finishes its requests and accepts no new ones.
    #[serde(default)]
    pub draining: bool,
    /// How much longer it expects to be cold, in milliseconds; 0 while it is warm.
    #[serde(default)]
    pub cold_ms: u64,
}

impl Announcement {
    /// Returns whether both come from the same incarnation of the same upstream.
    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }

    /// Returns whether `later` says the same, apart from how much longer a cold upstream is cold. That
    /// amount falls with every heartbeat, of which each would cost a command of the log; a larger
    /// amount is a new cold period.
    fn is_equivalent(&self, later: &Self) -> bool {
        let Self {
            id,
            incarnation,
            address,
            data_centre,
            serves,
            slots,
            fences_orders,
            release,
            started_ms,
            draining,
            cold_ms,
        } = self;
        *id == later.id
            && *incarnation == later.incarnation
            && *address == later.address
            && *data_centre == later.data_centre
            && *serves == later.serves
            && *slots == later.slots
            && *fences_orders == later.fences_orders
            && *release == later.release
            && *started_ms == later.started_ms
            && *draining == later.draining
            && (*cold_ms > 0) == (later.cold_ms > 0)
            && later.cold_ms <= *cold_ms
    }
}

/// Whether an upstream may get requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Its heartbeats arrive; it may get requests unless it is draining.
    Live,
    /// Its heartbeats have stopped; it may get requests again after the next one.
    Silent,
    /// It has left, and this incarnation never returns.
    Left,
}

/// A row of the directory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Upstream {
    /// Its latest announcement.
    pub announced: Announcement,
    /// Whether it may get requests.
    pub presence: Presence,
    /// Log index of the command that announced this incarnation; identifies it in a few bytes when
    /// processes exchange load levels.
    pub number: Index,
    /// Log index of the command that changed this row last.
    pub changed_at: Index,
    /// When a sweep first found it no longer live, in milliseconds since the Unix epoch; 0 before.
    pub left_ms: u64,
}

impl Upstream {
    /// Returns whether it may be running although its heartbeats have stopped.
    pub fn may_be_alive(&self) -> bool {
        self.presence == Presence::Silent && !self.announced.draining
    }

    /// Returns whether new requests may go there.
    pub fn accepts_requests(&self) -> bool {
        self.presence == Presence::Live && !self.announced.draining
    }
}

/// Result of an announcement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnnounceOutcome {
    /// It was applied, or the directory had it already.
    Accepted,
    /// It is out of date: the incarnation was replaced, has left or is draining, or a later start
    /// has taken over its address.
    Stale,
    /// It is invalid or the directory is full; carries the reason.
    Rejected(Name),
}

/// All upstreams by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Directory {
    rows: BTreeMap<Name, Upstream>,
}

impl Directory {
    /// Applies an announcement.
    pub(crate) fn announce(
        &mut self,
        announcement: Announcement,
        inventory: &Inventory,
        index: Index,
    ) -> AnnounceOutcome {
        if let Some(reason) = self.rejection(&announcement, inventory) {
            return AnnounceOutcome::Rejected(reason);
        }
        if self.is_address_taken_over(&announcement) {
            return AnnounceOutcome::Stale;
        }
        let mut number = index;
        if let Some(known) = self.rows.get(&announcement.id) {
            let is_same = known.announced.incarnation == announcement.incarnation;
            if known.presence == Presence::Live && known.announced.is_equivalent(&announcement) {
                return AnnounceOutcome::Accepted;
            }
            let is_newer = announcement.incarnation > known.announced.incarnation;
            let is_update = is_same && known.presence != Presence::Left;
            // An announcement from before the drain that arrives late must not undo it.
            let undoes_drain = is_same && known.announced.draining && !announcement.draining;
            if undoes_drain || !is_newer && !is_update {
                return AnnounceOutcome::Stale;
            }
            if is_update {
                number = known.number;
            }
        }
        self.evict_from_address(&announcement, index);
        let row = Upstream {
            presence: Presence::Live,
            number,
            changed_at: index,
            left_ms: 0,
            announced: announcement,
        };
        self.rows.insert(row.announced.id.clone(), row);
        AnnounceOutcome::Accepted
    }

    /// Returns whether applying the announcement changes nothing: the directory has the same one, or
    /// one that differs only in how much longer the upstream is cold.
    pub fn contains(&self, announcement: &Announcement) -> bool {
        self.rows.get(&announcement.id).is_some_and(|row| {
            row.presence == Presence::Live && row.announced.is_equivalent(announcement)
        })
    }

    /// Returns why applying the announcement would be rejected, with the remedy; `None` if it is
    /// valid, and the directory has space or the announcement is late. A rejected one changes
    /// nothing, so that the leader need not write it to the log.
    pub fn rejection(&self, announcement: &Announcement, inventory: &Inventory) -> Option<Name> {
        if let Err(reason) = validate(announcement, inventory) {
            return Some(reason.into());
        }
        let is_full = self.rows.len() >= UPSTREAM_LIMIT
            && !self.rows.contains_key(&announcement.id)
            && !self.is_address_taken_over(announcement);
        is_full.then(|| format!("the directory is full with {UPSTREAM_LIMIT} upstreams").into())
    }

    /// Returns whether an upstream that started later uses the announced address: the announcement
    /// is late, and its sender has stopped.
    fn is_address_taken_over(&self, announcement: &Announcement) -> bool {
        self.rows.values().any(|row| {
            row.presence != Presence::Left
                && row.announced.address == announcement.address
                && !row.announced.is_same_incarnation(announcement)
                && row.announced.started_ms > announcement.started_ms
        })
    }

    /// Marks other upstreams at the announced address as left: two can't listen there.
    fn evict_from_address(&mut self, announcement: &Announcement, index: Index) {
        for row in self.rows.values_mut() {
            if row.presence != Presence::Left
                && row.announced.address == announcement.address
                && row.announced.id != announcement.id
            {
                row.presence = Presence::Left;
                row.changed_at = index;
            }
        }
    }

    /// Marks that incarnation, or an older one, as left.
    pub(crate) fn leave(&mut self, id: &str, incarnation: u64, index: Index) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if row.announced.incarnation <= incarnation && row.presence != Presence::Left {
            row.presence = Presence::Left;
            row.changed_at = index;
        }
    }

    /// Marks this incarnation as silent: its heartbeats have stopped.
    pub(crate) fn mark_silent(&mut self, id: &str, incarnation: u64, index: Index) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if row.announced.incarnation == incarnation && row.presence == Presence::Live {
            row.presence = Presence::Silent;
            row.changed_at = index;
        }
    }

    /// Removes rows that have not been live for over an hour, because no report arrives that late.
    pub(crate) fn remove_expired(&mut self, at_ms: u64) {
        const RETENTION_MS: u64 = 3_600_000;
        for row in self.rows.values_mut() {
            if row.presence != Presence::Live && row.left_ms == 0 {
                row.left_ms = at_ms;
            }
        }
        self.rows
            .retain(|_, row| row.presence == Presence::Live || row.left_ms + RETENTION_MS > at_ms);
    }

    /// Merges rows from the directory of another process; the row that changed later wins.
    pub fn merge(&mut self, rows: Vec<Upstream>) {
        for row in rows {
            let id = row.announced.id.clone();
            let is_newer = self
                .rows
                .get(&id)
                .is_none_or(|known| known.changed_at <= row.changed_at);
            if is_newer {
                self.rows.insert(id, row);
            }
        }
    }

    /// Returns the rows that changed after `index`, the earliest changes first, and the index of
    /// the last change among them if there are later ones. There are at most `limit` rows, but rows
    /// that one command changed are not split.
    pub fn changed_after(&self, index: Index, limit: usize) -> (Vec<Upstream>, Option<Index>) {
        let mut changed: Vec<&Upstream> = self
            .rows
            .values()
            .filter(|row| row.changed_at > index)
            .collect();
        let mut rest = None;
        if changed.len() > limit {
            changed.sort_unstable_by_key(|row| row.changed_at);
            let last = changed[limit.max(1) - 1].changed_at;
            let end = changed.partition_point(|row| row.changed_at <= last);
            rest = (end < changed.len()).then_some(last);
            changed.truncate(end);
        }
        (changed.into_iter().cloned().collect(), rest)
    }

    /// Returns the upstream of that name.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.rows.get(id)
    }

    /// Returns the upstream whose incarnation was announced by the command at that log index.
    pub fn by_number(&self, number: Index) -> Option<&Upstream> {
        self.rows.values().find(|row| row.number == number)
    }

    /// Iterates over all rows in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> + '_ {
        self.rows.values()
    }

    /// Iterates over the announcements of upstreams that accept requests.
    pub fn live(&self) -> impl Iterator<Item = &Announcement> + '_ {
        self.rows
            .values()
            .filter(|row| row.accepts_requests())
            .map(|row| &row.announced)
    }
}

/// Validates an announcement.
///
/// # Errors
///
/// Returns the field that is invalid, with what to announce instead.
fn validate(announcement: &Announcement, inventory: &Inventory) -> Result<(), String> {
    let id = &announcement.id;
    if id.is_empty() || id.len() > 128 || !id.chars().all(|c| c.is_ascii_graphic()) {
        return Err("id: write 1 to 128 printable characters".to_owned());
    }
    if announcement.data_centre.is_empty() || announcement.data_centre.len() > 64 {
        return Err("data_centre: write 1 to 64 characters".to_owned());
    }
    if !(1..=SLOT_LIMIT).contains(&announcement.slots) {
        return Err(format!(
            "slots = {}: write a number from 1 to {SLOT_LIMIT}",
            announcement.slots
        ));
    }
    let address = announcement.address;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(format!(
            "address = {address}: write an address that can be connected to"
        ));
    }
    match &announcement.serves {
        Serves::Versions(versions) => {
            if versions.is_empty() || versions.len() > VERSION_LIMIT {
                return Err(format!("versions: name 1 to {VERSION_LIMIT}"));
            }
            let unknown = versions
                .iter()
                .find(|name| inventory.version(name).is_none());
            match unknown {
                Some(name) => Err(format!(
                    "version `{name}` is not in the inventory; add it with `daisyquay apply` first"
                )),
                None => Ok(()),
            }
        }
        Serves::Service(service) if inventory.service(service).is_none() => Err(format!(
            "service `{service}` is not in the inventory; add it with `daisyquay apply` first"
        )),
        Serves::Service(_) => Ok(()),
    }
}
