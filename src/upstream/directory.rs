//! The replicated directory of upstreams. An incarnation that has left never comes back: a late
//! announcement or report of it changes nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::Name;
use crate::config::Inventory;
use crate::config::VersionName;

/// Upstreams that the directory holds, those that have left included.
const UPSTREAM_LIMIT: usize = 20_000;

/// Most requests that one upstream may say it serves at once.
const SLOT_LIMIT: u32 = 10_000;

/// Most versions that one upstream may announce.
const VERSION_LIMIT: usize = 256;

/// What an upstream serves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// A model runner with the versions that it has loaded.
    Versions(Vec<VersionName>),
    /// A plain service.
    Service(Name),
}

/// What an upstream says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Unique name.
    pub id: Name,
    /// Grows with each start of the upstream.
    pub incarnation: u64,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: Name,
    /// What it serves.
    pub serves: Serves,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fences_orders: bool,
    /// Version of its software; roll-outs of a service move traffic by it.
    #[serde(default)]
    pub release: Option<Name>,
    /// When it started, in milliseconds since the Unix epoch, where it says so: of two upstreams at
    /// one address the later one is there.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Whether it is about to leave: it finishes what it has and takes no new work.
    #[serde(default)]
    pub draining: bool,
}

impl Announcement {
    /// Whether both were said by one start of one upstream.
    fn same_start(&self, other: &Self) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }
}

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Takes work.
    Live,
    /// Has not been heard for long; takes work again as soon as it is.
    Silent,
    /// Takes no new work; this incarnation never comes back.
    Left,
}

/// One upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Upstream {
    /// What it announced.
    pub announced: Announcement,
    /// Whether it takes work.
    pub presence: Presence,
    /// Command that announced this incarnation; names it in load rows, in a few bytes.
    pub number: Index,
    /// Command that changed this row last.
    pub changed_at: Index,
    /// When the sweep first saw it as left, in milliseconds since the epoch.
    pub left_ms: u64,
}

impl Upstream {
    /// Whether it may be there though it has not been heard for long.
    pub fn may_be_alive(&self) -> bool {
        self.presence == Presence::Silent && !self.announced.draining
    }

    /// Whether new work may go there.
    pub fn accepts_requests(&self) -> bool {
        self.presence == Presence::Live && !self.announced.draining
    }
}

/// What an announcement answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnnounceOutcome {
    /// Taken, or known already.
    Accepted,
    /// An incarnation as new, or the same one that has left, is known.
    Stale,
    /// Not possible.
    Rejected(Name),
}

/// All upstreams.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Directory {
    rows: BTreeMap<Name, Upstream>,
}

impl Directory {
    /// Takes an announcement.
    pub(crate) fn announce(
        &mut self,
        announcement: Announcement,
        inventory: &Inventory,
        index: Index,
    ) -> AnnounceOutcome {
        if let Err(reason) = check(&announcement, inventory) {
            return AnnounceOutcome::Rejected(reason.into());
        }
        if self.address_taken_over(&announcement) {
            return AnnounceOutcome::Stale;
        }
        let mut number = index;
        if let Some(known) = self.rows.get(&announcement.id) {
            let same = known.announced.incarnation == announcement.incarnation;
            if same && known.presence == Presence::Live && known.announced == announcement {
                return AnnounceOutcome::Accepted;
            }
            let newer = announcement.incarnation > known.announced.incarnation;
            let updates = same && known.presence != Presence::Left;
            // A late report from before the drain must not bring it back.
            let revives = same && known.announced.draining && !announcement.draining;
            if revives || !newer && !updates {
                return AnnounceOutcome::Stale;
            }
            if updates {
                number = known.number;
            }
        } else if self.rows.len() >= UPSTREAM_LIMIT {
            let reason = format!("the directory is full with {UPSTREAM_LIMIT} upstreams");
            return AnnounceOutcome::Rejected(reason.into());
        }
        self.leave_address(&announcement, index);
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

    /// Whether the row of this announcement stands already, so that it changes nothing.
    pub fn contains(&self, announcement: &Announcement) -> bool {
        self.rows
            .get(&announcement.id)
            .is_some_and(|row| row.presence == Presence::Live && row.announced == *announcement)
    }

    /// Whether a later start than the announcement's has its address: the report is late, its
    /// sender is gone.
    fn address_taken_over(&self, announcement: &Announcement) -> bool {
        self.rows.values().any(|row| {
            row.presence != Presence::Left
                && row.announced.address == announcement.address
                && !row.announced.same_start(announcement)
                && row.announced.started_ms > announcement.started_ms
        })
    }

    /// Marks others at the announcement's address as left: two can't listen there.
    fn leave_address(&mut self, announcement: &Announcement, index: Index) {
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

    /// Takes a leave of that incarnation or an older one.
    pub(crate) fn leave(&mut self, id: &str, incarnation: u64, index: Index) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if row.announced.incarnation <= incarnation && row.presence != Presence::Left {
            row.presence = Presence::Left;
            row.changed_at = index;
        }
    }

    /// Notes that this incarnation has not been heard for long.
    pub(crate) fn mark_silent(&mut self, id: &str, incarnation: u64, index: Index) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if row.announced.incarnation == incarnation && row.presence == Presence::Live {
            row.presence = Presence::Silent;
            row.changed_at = index;
        }
    }

    /// Drops rows that left, or were heard last, more than an hour ago: no report is late by that
    /// much.
    pub(crate) fn remove_expired(&mut self, at_ms: u64) {
        const KEPT_MS: u64 = 3_600_000;
        for row in self.rows.values_mut() {
            if row.presence != Presence::Live && row.left_ms == 0 {
                row.left_ms = at_ms;
            }
        }
        self.rows
            .retain(|_, row| row.presence == Presence::Live || row.left_ms + KEPT_MS > at_ms);
    }

    /// Takes rows from the directory of another process; newer rows win.
    pub fn merge(&mut self, rows: Vec<Upstream>) {
        for row in rows {
            let id = row.announced.id.clone();
            let newer = self
                .rows
                .get(&id)
                .is_none_or(|known| known.changed_at <= row.changed_at);
            if newer {
                self.rows.insert(id, row);
            }
        }
    }

    /// Rows that changed after `index`.
    pub fn changed_after(&self, index: Index) -> Vec<Upstream> {
        self.rows
            .values()
            .filter(|row| row.changed_at > index)
            .cloned()
            .collect()
    }

    /// The upstream of that name.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.rows.get(id)
    }

    /// The upstream whose incarnation was announced by that command.
    pub fn by_number(&self, number: Index) -> Option<&Upstream> {
        self.rows.values().find(|row| row.number == number)
    }

    /// All rows.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> + '_ {
        self.rows.values()
    }

    /// Upstreams that take work.
    pub fn live(&self) -> impl Iterator<Item = &Announcement> + '_ {
        self.rows
            .values()
            .filter(|row| row.accepts_requests())
            .map(|row| &row.announced)
    }
}

/// Refuses what can't be right.
fn check(announcement: &Announcement, inventory: &Inventory) -> Result<(), String> {
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
