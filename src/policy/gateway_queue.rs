//! Decides whether a gateway sends a request of a service at once, queues it or rejects it, and
//! which queued request is sent next.
//!
//! Handles services whose upstreams are all at their slots: bursts, an organisation that sends
//! several times its usual load, callers that retry at once, and large prompts among small ones. A
//! request is queued or rejected only while no upstream that it may use has capacity. A rejected or
//! cancelled request is never dispatched.
//!
//! Order of dispatch: requests that have run before (retries, escalations), then by rank; within a
//! rank, organisations by start-time fair queueing; within an organisation, requests that come back
//! after a rejection, then by the latest useful start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::Name;

/// Most queued requests of one service.
pub const QUEUE_LIMIT: usize = 1024;

/// Most queued requests of one organisation.
pub const ORGANISATION_LIMIT: usize = 256;

/// One dispatch in this many goes to the request that has waited longest, so that none starves.
pub const OLDEST_INTERVAL: u32 = 8;

/// Longest time for which smaller requests pass one that lacks KV cache. Afterwards an upstream is
/// kept free for it.
pub const MAX_BYPASS: Duration = Duration::from_millis(250);

/// Longest time for which a request waits for KV cache. Other gateways may use up what this one
/// keeps free, so afterwards the request needs only a slot and waits at the upstream for the rest.
pub const MAX_KV_WAIT: Duration = Duration::from_secs(1);

/// Age up to which a gateway may not know of other gateways' requests: three hops of updates.
pub const UPDATE_AGE: Duration = Duration::from_millis(150);

/// Bounds of `Retry-After`.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// See [`MIN_RETRY_AFTER`].
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time after the end of a pause over which retries are spread.
const PAUSE_RETRY_SPREAD: Duration = Duration::from_millis(250);

/// `Retry-After` before jitter while the dispatch rate is not known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time over which the dispatch rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Time for which the queue must have been in use before its dispatch rate counts as known. The
/// rate of a quiet period says nothing about the capacity.
const MIN_BUSY_TIME: Duration = Duration::from_millis(250);

/// Most dispatches that are kept to measure the rate.
const MAX_DISPATCH_TIMES: usize = 512;

/// Most queued requests whose fit is examined for one dispatch, which bounds its time. Requests
/// that need at least as much as one that did not fit are skipped and do not count.
const MAX_EXAMINED: usize = 32;

/// Most organisations with an account, over all ranks. Those without queued requests are removed
/// first, so the number can exceed it only by the queued requests.
const MAX_ACCOUNTS: usize = 2 * QUEUE_LIMIT;

/// Most rejections that are remembered to recognise requests that come back.
const MAX_RETURNS: usize = 1024;

/// How much earlier than told a caller may come back. `Retry-After` is rounded to 10 ms.
const RETURN_TOLERANCE: Duration = Duration::from_millis(10);

/// How much later than told a caller may come back, beside the time of its `Retry-After`.
const RETURN_DELAY: Duration = Duration::from_millis(500);

/// Attempts of a request, by precedence.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A retry or an escalation of a request that has been sent before.
    Begun,
    /// The first attempt of a request that was probably rejected before. Found by the queue itself.
    Returning,
    /// A first attempt.
    First,
}

/// Capacity and upstreams that a request requires.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Needs {
    /// Tokens that it will hold in the KV cache.
    pub kv_tokens: u64,
    /// Whether it goes to the release that is being rolled out; `None` outside a rollout.
    pub wants_new: Option<bool>,
    /// Upstreams that it may not use, by number.
    pub excluded: Vec<Index>,
}

/// A request that is to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its precedence.
    pub kind: Kind,
    /// Rank, 0 for the most urgent.
    pub rank: u32,
    /// Organisation; empty for anonymous callers.
    pub organisation: Name,
    /// Weight of the organisation in fair queueing; 0 counts as 1.
    pub weight: u32,
    /// Hash of its path, by which a request that comes back is recognised.
    pub path: u64,
    /// Time at which its response must have begun.
    pub deadline: Duration,
    /// Predicted time from dispatch to the first token.
    pub first_token: Duration,
    /// Capacity that it takes, in slots; for fair queueing.
    pub cost: f64,
    /// What it needs of an upstream.
    pub needs: Needs,
}

impl Request {
    /// Latest dispatch for which the response can begin before the deadline.
    fn latest_start(&self) -> Duration {
        self.deadline.saturating_sub(self.first_token)
    }
}

/// Returns the longest time for which an escalation may wait, by the expected gain of its answer (as
/// a share of a good answer's value) and the predicted time to its first token. The response of the
/// smaller model holds a slot meanwhile, in which another request would be worth a good answer in
/// about that time.
pub fn max_escalation_wait(gain: f64, first_token: Duration) -> Duration {
    first_token.mul_f64(gain.clamp(0.0, 1.0))
}

/// Slots and requests of an upstream, as one gateway knows them.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Its slots.
    pub slots: u32,
    /// Its requests, of all gateways.
    pub requests: u32,
    /// Requests of this gateway among them.
    pub own: u32,
    /// Requests of this gateway there as the other gateways may still know them, [`UPDATE_AGE`] ago
    /// or more.
    pub own_before: u32,
    /// Part of the free slots that this gateway may use; see `Demands::share`.
    pub share: f64,
}

/// Returns how many requests this gateway may send to the upstream now.
///
/// An upstream has capacity up to its slots and an eighth of them, at least one. Each gateway may add
/// its share of the free ones and one request more until the others know of its requests; while at
/// most half of the slots are in use, another eighth of them, so that a burst at one gateway is not
/// kept waiting until the others know of its demand. The sum of the shares is 1 at most, so `n`
/// gateways that add requests exceed the capacity by no more than `n`, or `n * (1 + slots / 8)`,
/// rounded up, if half of the slots were free.
pub fn free_slots(occupancy: &Occupancy) -> u32 {
    let slots = occupancy.slots.max(1);
    let limit = slots.saturating_add((slots / 8).max(1));
    let free = limit.saturating_sub(occupancy.requests);
    let extra = if occupancy.requests <= slots / 2 {
        1 + slots.div_ceil(8)
    } else {
        1
    };
    let added = occupancy.own.saturating_sub(occupancy.own_before);
    let free_before = free.saturating_add(added);
    let share = f64::from(free_before) * occupancy.share.clamp(0.0, 1.0);
    let allowance = (share as u32).saturating_add(extra);
    free.min(allowance.saturating_sub(added))
}

/// Capacity of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Number of the upstream.
    pub upstream: Index,
    /// Requests that may be sent there now; see [`free_slots`].
    pub free: u32,
    /// Tokens for which its KV cache has space.
    pub kv_free: u64,
    /// Whether it is idle, so that a request of any size may be sent there.
    pub is_idle: bool,
    /// Whether it runs the release that is being rolled out.
    pub is_new: bool,
    /// Whether it is suspect or cut off by its circuit breaker, and so used only without others.
    pub is_last_resort: bool,
    /// When a pause ends that the upstream has asked for; it takes no request until then.
    pub opens_at: Option<Duration>,
}

impl Place {
    /// Returns whether the request may be sent there now, and not only as a last resort.
    pub fn fits(&self, needs: &Needs) -> bool {
        !self.is_last_resort
            && self.opens_at.is_none()
            && self.free > 0
            && (self.is_idle || self.kv_free >= needs.kv_tokens)
            && needs.wants_new.is_none_or(|new| new == self.is_new)
            && !needs.excluded.contains(&self.upstream)
    }
}

/// Returns which of the places a request is sent to: those with capacity for it; without any, those
/// with a free slot, because after a long wait for KV cache the request needs only that; without
/// any, all. `None` is an upstream that accepts no request or has had this one.
pub fn preferred(places: &[Option<Place>], needs: &Needs) -> Vec<bool> {
    let slot_only = Needs {
        kv_tokens: 0,
        ..needs.clone()
    };
    for needs in [needs, &slot_only] {
        let fits = |place: &Option<Place>| place.is_some_and(|place| place.fits(needs));
        let kept: Vec<bool> = places.iter().map(fits).collect();
        if kept.contains(&true) {
            return kept;
        }
    }
    vec![true; places.len()]
}

/// Capacity of the upstreams of a service that accept requests.
#[derive(Clone, Debug, Default)]
pub struct Room {
    places: Vec<Place>,
    /// Sum of the free slots.
    free: u32,
    is_reserved: bool,
}

/// Result of looking for capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fit {
    /// The place has capacity.
    At(usize),
    /// No upstream that the request may use has a free slot.
    NoSlot,
    /// There are free slots without enough KV cache; the place has the most.
    NoKvCache(usize),
    /// All upstreams that the request may use pause; the earliest end of a pause.
    Paused(Duration),
    /// There is no upstream that the request may use, so waiting does not help.
    NoUpstream,
}

impl Room {
    /// Creates the capacity of a service.
    pub fn new(places: Vec<Place>) -> Self {
        let free = places
            .iter()
            .fold(0, |sum: u32, place| sum.saturating_add(place.free));
        Self {
            places,
            free,
            is_reserved: false,
        }
    }

    fn find(&self, needs: &Needs, ignores_kv_cache: bool) -> Fit {
        let is_allowed = |place: &Place, wants_new: Option<bool>| {
            wants_new.is_none_or(|new| new == place.is_new)
                && !needs.excluded.contains(&place.upstream)
        };
        let is_open =
            |place: &Place| place.opens_at.is_none() && is_allowed(place, needs.wants_new);
        let mut wants_new = needs.wants_new;
        // As in the choice of the upstream: the stable release may serve what the new one cannot.
        if wants_new == Some(true) && !self.places.iter().any(is_open) {
            wants_new = Some(false);
        }
        let mut opens_at = None;
        let mut result = Fit::NoUpstream;
        let mut is_last_resort = true;
        let mut best = (0, 0);
        for (i, place) in self.places.iter().enumerate() {
            if place.opens_at.is_some() {
                if is_allowed(place, wants_new) || is_allowed(place, needs.wants_new) {
                    opens_at = opens_at.into_iter().chain(place.opens_at).min();
                }
                continue;
            }
            if !is_allowed(place, wants_new) || place.is_last_resort && !is_last_resort {
                continue;
            }
            if is_last_resort && !place.is_last_resort {
                is_last_resort = false;
                result = Fit::NoUpstream;
                best = (0, 0);
            }
            let fits = place.is_idle || ignores_kv_cache || place.kv_free >= needs.kv_tokens;
            result = match result {
                _ if place.free == 0 => match result {
                    Fit::NoUpstream => Fit::NoSlot,
                    result => result,
                },
                Fit::At(_) if !fits || best >= (place.free, place.kv_free) => result,
                Fit::NoKvCache(_) if !fits && best.1 >= place.kv_free => result,
                _ => {
                    best = (place.free, place.kv_free);
                    if fits { Fit::At(i) } else { Fit::NoKvCache(i) }
                }
            };
        }
        match (result, opens_at) {
            (Fit::NoUpstream, Some(opens_at)) => Fit::Paused(opens_at),
            (result, _) => result,
        }
    }

    /// Returns the earliest end of a pause if all upstreams pause.
    fn paused_until(&self) -> Option<Duration> {
        let is_paused = self.places.iter().all(|place| place.opens_at.is_some());
        let ends = self.places.iter().filter_map(|place| place.opens_at);
        ends.min().filter(|_| is_paused)
    }

    /// Takes capacity for a request and returns the number of the upstream.
    fn take(&mut self, index: usize, needs: &Needs) -> Index {
        let place = &mut self.places[index];
        place.free = place.free.saturating_sub(1);
        place.kv_free = place.kv_free.saturating_sub(needs.kv_tokens);
        place.is_idle = false;
        self.free = self.free.saturating_sub(1);
        place.upstream
    }

    /// Keeps a place free of other requests, at most one at a time.
    fn reserve(&mut self, index: usize) {
        if !self.is_reserved {
            self.is_reserved = true;
            self.free = self.free.saturating_sub(self.places[index].free);
            self.places[index].free = 0;
        }
    }
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Its response cannot begin before its deadline.
    Late,
    /// The upstreams pause until it is late.
    Paused,
    /// The queue is full.
    Full,
    /// The queue is full or the request is late, and its organisation has more than its share.
    Share,
}

/// A rejection with what it was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// When the caller should try again, from now.
    pub retry_after: Duration,
    /// Queued requests of the service.
    pub queued: usize,
    /// Queued requests that would be dispatched before it.
    pub ahead: usize,
    /// Dispatches a second; `None` if not known.
    pub rate: Option<f64>,
}

/// What happens to a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// It is sent now.
    AtOnce,
    /// It waits under this ticket.
    Queued(u64),
    /// It is never sent.
    Rejected(Rejection),
}

/// A queued request that is to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Its ticket.
    pub ticket: u64,
    /// Number of an upstream that has capacity for it; [`None`] if there is no upstream that it may
    /// use.
    pub upstream: Option<Index>,
    /// How long it waited.
    pub waited: Duration,
}

#[derive(Debug)]
struct Entry {
    request: Request,
    account: usize,
    queued_at: Duration,
    /// When it was first found to lack KV cache.
    lacks_kv_since: Option<Duration>,
}

impl Entry {
    /// Classes in strict order.
    fn class(&self) -> (bool, u32) {
        class(&self.request)
    }

    /// Takes capacity for the request and returns the upstream; `None` if there is none that it may
    /// use, now or later. Otherwise returns whether it lacks a slot rather than KV cache; an
    /// upstream is kept free for it if it has lacked KV cache for long enough.
    fn find(&mut self, room: &mut Room, now: Duration) -> Result<Option<Index>, bool> {
        let needs = &self.request.needs;
        match room.find(needs, self.ignores_kv_cache(now)) {
            Fit::At(index) => Ok(Some(room.take(index, needs))),
            Fit::NoUpstream => Ok(None),
            Fit::NoSlot | Fit::Paused(_) => Err(true),
            Fit::NoKvCache(index) => {
                let since = *self.lacks_kv_since.get_or_insert(now);
                if now >= since + MAX_BYPASS {
                    room.reserve(index);
                }
                Err(false)
            }
        }
    }

    /// Returns whether the request may need less than each of `unfit`, whose flag is whether it
    /// lacked a slot.
    fn may_fit(&self, unfit: &[(Needs, bool)], now: Duration) -> bool {
        let needs = &self.request.needs;
        unfit.iter().all(|(failed, lacks_slot)| {
            needs.wants_new != failed.wants_new
                || !failed.excluded.iter().all(|i| needs.excluded.contains(i))
                || !lacks_slot && (needs.kv_tokens < failed.kv_tokens || self.ignores_kv_cache(now))
        })
    }

    fn ignores_kv_cache(&self, now: Duration) -> bool {
        self.lacks_kv_since
            .is_some_and(|since| now >= since + MAX_KV_WAIT)
    }
}

fn class(request: &Request) -> (bool, u32) {
    (request.kind != Kind::Begun, request.rank)
}

fn lane_key(request: &Request, ticket: u64) -> LaneKey {
    (request.kind, request.latest_start(), ticket)
}

/// Fair-queueing state of an organisation in one rank.
#[derive(Debug)]
struct Account {
    rank: u32,
    weight: f64,
    /// Virtual start time of its next request.
    start: f64,
    queued: usize,
}

/// Position of an organisation's first request among those of its class: the virtual start of the
/// account, the latest start of the request, and the account. The virtual start is not negative, so
/// its bits are in the order of its values.
type HeadKey = (u64, Duration, usize);

/// Order of a request within an organisation: its precedence, latest start and ticket.
type LaneKey = (Kind, Duration, u64);

/// Queued requests of one organisation in one class.
#[derive(Debug, Default)]
struct Lane {
    requests: BTreeSet<LaneKey>,
    head: Option<HeadKey>,
}

/// Queued requests of one class. A dispatch and an arrival must not take a pass over the queue.
#[derive(Debug, Default)]
struct Class {
    /// By account.
    lanes: HashMap<usize, Lane>,
    heads: BTreeSet<HeadKey>,
    queued: usize,
}

impl Class {
    /// Moves an organisation to the position of its first request.
    fn update_head(&mut self, account: usize, start: f64) {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return;
        };
        let first = lane.requests.first();
        let head = first.map(|&(_, latest_start, _)| (start.to_bits(), latest_start, account));
        if let Some(previous) = std::mem::replace(&mut lane.head, head) {
            self.heads.remove(&previous);
        }
        match head {
            Some(head) => {
                self.heads.insert(head);
            }
            None => {
                self.lanes.remove(&account);
            }
        }
    }

    fn insert(&mut self, account: usize, start: f64, key: LaneKey) {
        let lane = self.lanes.entry(account).or_default();
        if lane.requests.insert(key) {
            self.queued += 1;
        }
        self.update_head(account, start);
    }

    fn remove(&mut self, account: usize, start: f64, key: &LaneKey) {
        if let Some(lane) = self.lanes.get_mut(&account)
            && lane.requests.remove(key)
        {
            self.queued -= 1;
        }
        self.update_head(account, start);
    }

    /// Iterates over the tickets in the order of dispatch.
    fn tickets(&self) -> impl Iterator<Item = u64> + '_ {
        let accounts = self.heads.iter().map(|(_, _, account)| account);
        let lanes = accounts.filter_map(|account| self.lanes.get(account));
        lanes.flat_map(|lane| lane.requests.iter().map(|&(_, _, ticket)| ticket))
    }
}

/// The number of queued requests of one organisation over all ranks, and the weight of the
/// organisation's most recent request.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedOrganisation {
    queued: usize,
    weight: f64,
}

/// A rejection whose caller may come back.
#[derive(Debug)]
struct ExpectedReturn {
    organisation: Name,
    path: u64,
    from: Duration,
    until: Duration,
}

/// The queue of one service at one gateway.
#[derive(Debug, Default)]
pub struct Queue {
    /// By ticket, so in the order of arrival.
    entries: BTreeMap<u64, Entry>,
    /// The same in the order of dispatch, by class.
    classes: BTreeMap<(bool, u32), Class>,
    /// The same by latest start.
    by_latest_start: BTreeSet<(Duration, u64)>,
    next_ticket: u64,
    accounts: Vec<Account>,
    /// Index of an account by rank and organisation.
    account_indices: HashMap<(u32, Name), usize>,
    free_accounts: Vec<usize>,
    /// Virtual time by rank.
    virtual_times: BTreeMap<u32, f64>,
    organisations: HashMap<Name, QueuedOrganisation>,
    /// Sum of the weights of the organisations with queued requests.
    total_weight: f64,
    /// Sum by rank of the weights of the accounts with queued requests.
    rank_weights: HashMap<u32, f64>,
    /// Dispatches since the last one in favour of the longest waiting request.
    since_oldest: u32,
    busy_since: Option<Duration>,
    dispatch_times: VecDeque<Duration>,
    returns: VecDeque<ExpectedReturn>,
}

impl Queue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides about a request. All queued requests that fit `room` must have been dispatched
    /// before, so that none is overtaken. `jitter` is uniform from 0 to 1.
    pub fn arrive(
        &mut self,
        mut request: Request,
        room: &mut Room,
        now: Duration,
        jitter: f64,
    ) -> Arrival {
        let mut pause = None;
        match room.find(&request.needs, false) {
            Fit::At(index) => {
                room.take(index, &request.needs);
                if !self.is_empty() {
                    self.record_dispatch(now);
                }
                return Arrival::AtOnce;
            }
            Fit::NoUpstream => return Arrival::AtOnce,
            Fit::Paused(opens_at) => pause = Some(opens_at),
            Fit::NoSlot | Fit::NoKvCache(_) => {}
        }
        if let Some(opens_at) = pause.filter(|opens_at| *opens_at > request.latest_start()) {
            let reason = Reason::Paused;
            return Arrival::Rejected(self.reject_paused(&request, reason, opens_at, now, jitter));
        }
        if request.kind == Kind::First && self.take_return(&request, now) {
            request.kind = Kind::Returning;
        }
        let of_organisation = self.queued_of(&request.organisation);
        let is_full = self.len() >= QUEUE_LIMIT || of_organisation >= ORGANISATION_LIMIT;
        let ahead = self.count_ahead(&request);
        // The rate of a pause says nothing about the time after it.
        let rate = self.highest_rate(now).filter(|_| pause.is_none());
        let wait = rate.map_or(Duration::ZERO, |rate| time_for(ahead + 1, rate));
        if is_full || now.saturating_add(wait) > request.latest_start() {
            // At a limit, a request counts as the one by which its organisation exceeds its share.
            let added = usize::from(is_full);
            let reason = if self.exceeds_share(&request, added) {
                Reason::Share
            } else if is_full {
                Reason::Full
            } else {
                Reason::Late
            };
            return Arrival::Rejected(match pause {
                Some(opens_at) => self.reject_paused(&request, reason, opens_at, now, jitter),
                None => self.reject(&request, reason, ahead, now, jitter),
            });
        }
        let ticket = self.push(request, now);
        // A pause of only those upstreams that this request may use does not stop the others.
        if let Some(opens_at) = room.paused_until() {
            self.busy_since = Some(opens_at);
        }
        Arrival::Queued(ticket)
    }

    /// Removes the requests whose response can no longer begin before the deadline because all
    /// upstreams that they may use pause; `jitter` is uniform from 0 to 1. Must be called when
    /// `room` has been computed anew; later arrivals are checked by [`Self::arrive`].
    pub fn remove_paused(
        &mut self,
        room: &Room,
        now: Duration,
        jitter: f64,
    ) -> Vec<(u64, Rejection)> {
        let ends = room.places.iter().filter_map(|place| place.opens_at);
        let Some(last_end) = ends.max().filter(|_| !self.is_empty()) else {
            return Vec::new();
        };
        // Whether all permitted upstreams pause does not depend on the KV cache, so the places are
        // examined once for requests that may use the same ones.
        let mut ends_by_needs: HashMap<(Option<bool>, &[Index]), Option<Duration>> =
            HashMap::default();
        let mut late: Vec<(u64, Duration)> = Vec::new();
        for &(latest_start, ticket) in self.by_latest_start.range(..(last_end, 0)) {
            let Some(entry) = self.entries.get(&ticket) else {
                continue;
            };
            let needs = &entry.request.needs;
            let end = *ends_by_needs
                .entry((needs.wants_new, &needs.excluded))
                .or_insert_with(|| match room.find(needs, true) {
                    Fit::Paused(opens_at) => Some(opens_at),
                    _ => None,
                });
            late.extend(
                end.filter(|end| *end > latest_start)
                    .map(|end| (ticket, end)),
            );
        }
        drop(ends_by_needs);
        let removed: Vec<(u64, Duration, Entry)> = late
            .into_iter()
            .filter_map(|(ticket, opens_at)| Some((ticket, opens_at, self.remove(ticket, now)?)))
            .collect();
        if let Some(opens_at) = room.paused_until().filter(|_| !self.is_empty()) {
            self.busy_since = self.busy_since.max(Some(opens_at));
        }
        let reject = |(ticket, opens_at, entry): (u64, Duration, Entry)| {
            let request = &entry.request;
            let rejection = self.reject_paused(request, Reason::Paused, opens_at, now, jitter);
            (ticket, rejection)
        };
        removed.into_iter().map(reject).collect()
    }

    /// Removes the request that is to be sent next and takes its capacity from `room`; `None` if
    /// none fits.
    pub fn dispatch_next(&mut self, room: &mut Room, now: Duration) -> Option<Dispatch> {
        let mut unfit: Vec<(Needs, bool)> = Vec::new();
        if self.since_oldest + 1 >= OLDEST_INTERVAL
            && let Some(mut entry) = self.entries.first_entry()
        {
            let ticket = *entry.key();
            match entry.get_mut().find(room, now) {
                Ok(upstream) => {
                    self.since_oldest = 0;
                    return Some(self.dispatch(ticket, upstream, now));
                }
                Err(lacks_slot) => unfit.push((entry.get().request.needs.clone(), lacks_slot)),
            }
        }
        if room.free == 0 && !room.places.is_empty() {
            return None;
        }
        let most_unfit = unfit.len() + MAX_EXAMINED;
        let mut found = None;
        for ticket in self.classes.values().flat_map(Class::tickets) {
            let Some(entry) = self.entries.get_mut(&ticket) else {
                continue;
            };
            if !entry.may_fit(&unfit, now) {
                continue;
            }
            match entry.find(room, now) {
                Ok(upstream) => {
                    found = Some((ticket, entry.account, upstream));
                    break;
                }
                Err(lacks_slot) => unfit.push((entry.request.needs.clone(), lacks_slot)),
            }
            if unfit.len() >= most_unfit {
                break;
            }
        }
        let (ticket, account, upstream) = found?;
        self.since_oldest = self.since_oldest.saturating_add(1);
        let account = &self.accounts[account];
        let virtual_time = self.virtual_times.entry(account.rank).or_default();
        *virtual_time = virtual_time.max(account.start);
        Some(self.dispatch(ticket, upstream, now))
    }

    /// Returns the earliest time after which [`Self::remove_late`] removes a request.
    pub fn earliest_latest_start(&self) -> Option<Duration> {
        self.by_latest_start.first().map(|&(at, _)| at)
    }

    /// Removes the requests whose response can no longer begin before the deadline; `jitter` is
    /// uniform from 0 to 1.
    pub fn remove_late(&mut self, now: Duration, jitter: f64) -> Vec<(u64, Rejection)> {
        let late = self.by_latest_start.range(..(now, 0));
        let late: Vec<u64> = late.map(|&(_, ticket)| ticket).collect();
        // After an outage the whole queue may be late at once, so what takes a pass over the queue
        // is computed once for requests of the same organisation and precedence.
        let mut over_share: HashMap<Name, bool> = HashMap::default();
        for ticket in &late {
            let Some(entry) = self.entries.get(ticket) else {
                continue;
            };
            let organisation = &entry.request.organisation;
            if !over_share.contains_key(organisation) {
                let is_over = self.exceeds_share(&entry.request, 0);
                over_share.insert(organisation.clone(), is_over);
            }
        }
        let removed: Vec<(u64, Entry)> = late
            .into_iter()
            .filter_map(|ticket| Some((ticket, self.remove(ticket, now)?)))
            .collect();
        let mut ahead_by_kind: HashMap<(Kind, u32, Name), usize> = HashMap::default();
        let reject = |(ticket, entry): (u64, Entry)| {
            let request = entry.request;
            let organisation = request.organisation.clone();
            let is_over = over_share.get(&organisation).copied().unwrap_or_default();
            let reason = if is_over { Reason::Share } else { Reason::Late };
            // All requests that are left have a later latest start, so that of this one does not
            // change the result.
            let ahead = *ahead_by_kind
                .entry((request.kind, request.rank, organisation))
                .or_insert_with(|| self.count_ahead(&request));
            let rejection = self.reject(&request, reason, ahead, now, jitter);
            (ticket, rejection)
        };
        removed.into_iter().map(reject).collect()
    }

    /// Removes the requests for which no upstream is left, whatever the capacity, and returns their
    /// tickets; `is_left` tells whether one is.
    pub fn remove_unplaceable(
        &mut self,
        is_left: impl Fn(&Needs) -> bool,
        now: Duration,
    ) -> Vec<u64> {
        // Most requests may use the same upstreams, of which there may be hundreds.
        let mut known: HashMap<(Option<bool>, &[Index]), bool> = HashMap::default();
        let mut removed = Vec::new();
        for (&ticket, entry) in &self.entries {
            let needs = &entry.request.needs;
            let key = (needs.wants_new, &*needs.excluded);
            if !*known.entry(key).or_insert_with(|| is_left(needs)) {
                removed.push(ticket);
            }
        }
        for &ticket in &removed {
            self.remove(ticket, now);
        }
        removed
    }

    /// Removes a queued request whose caller has gone; returns whether it was queued.
    pub fn cancel(&mut self, ticket: u64, now: Duration) -> bool {
        self.remove(ticket, now).is_some()
    }

    fn push(&mut self, request: Request, now: Duration) -> u64 {
        let account = self.account(&request);
        let virtual_time = self.virtual_times.get(&request.rank).copied();
        let row = &mut self.accounts[account];
        if row.queued == 0 {
            row.start = row.start.max(virtual_time.unwrap_or_default());
        }
        row.queued += 1;
        if row.queued == 1 {
            *self.rank_weights.entry(request.rank).or_default() += row.weight;
        }
        let organisation = request.organisation.clone();
        let known = self.organisations.entry(organisation).or_default();
        let weight = f64::from(request.weight.max(1));
        self.total_weight += weight - known.weight;
        known.weight = weight;
        known.queued += 1;
        self.busy_since.get_or_insert(now);
        self.next_ticket += 1;
        let key = lane_key(&request, self.next_ticket);
        self.by_latest_start.insert((key.1, key.2));
        let class = self.classes.entry(class(&request)).or_default();
        class.insert(account, row.start, key);
        let entry = Entry {
            request,
            account,
            queued_at: now,
            lacks_kv_since: None,
        };
        self.entries.insert(self.next_ticket, entry);
        self.next_ticket
    }

    /// Returns the index of the organisation's account, a new one if it has none.
    fn account(&mut self, request: &Request) -> usize {
        let key = (request.rank, request.organisation.clone());
        if let Some(&index) = self.account_indices.get(&key) {
            return index;
        }
        if self.account_indices.len() >= MAX_ACCOUNTS {
            let accounts = &self.accounts;
            let free = &mut self.free_accounts;
            self.account_indices.retain(|_, &mut index| {
                let is_used = accounts[index].queued > 0;
                if !is_used {
                    free.push(index);
                }
                is_used
            });
        }
        let account = Account {
            rank: request.rank,
            weight: f64::from(request.weight.max(1)),
            start: 0.0,
            queued: 0,
        };
        let index = match self.free_accounts.pop() {
            Some(index) => {
                self.accounts[index] = account;
                index
            }
            None => {
                self.accounts.push(account);
                self.accounts.len() - 1
            }
        };
        self.account_indices.insert(key, index);
        index
    }

    fn dispatch(&mut self, ticket: u64, upstream: Option<Index>, now: Duration) -> Dispatch {
        self.record_dispatch(now);
        let entry = self.entries.get(&ticket);
        let waited = entry.map_or(Duration::ZERO, |entry| now.saturating_sub(entry.queued_at));
        if let Some(entry) = entry {
            let index = entry.account;
            let account = &mut self.accounts[index];
            account.start += entry.request.cost.max(1.0) / account.weight;
            for is_first in [false, true] {
                if let Some(class) = self.classes.get_mut(&(is_first, account.rank)) {
                    class.update_head(index, account.start);
                }
            }
        }
        self.remove(ticket, now);
        Dispatch {
            ticket,
            upstream,
            waited,
        }
    }

    fn remove(&mut self, ticket: u64, now: Duration) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        let account = &mut self.accounts[entry.account];
        account.queued = account.queued.saturating_sub(1);
        if account.queued == 0
            && let Some(weight) = self.rank_weights.get_mut(&account.rank)
        {
            *weight -= account.weight;
        }
        let key = lane_key(&entry.request, ticket);
        self.by_latest_start.remove(&(key.1, key.2));
        if let Some(class) = self.classes.get_mut(&entry.class()) {
            class.remove(entry.account, account.start, &key);
            if class.queued == 0 {
                self.classes.remove(&entry.class());
            }
        }
        let organisation = &entry.request.organisation;
        if let Some(known) = self.organisations.get_mut(organisation) {
            known.queued = known.queued.saturating_sub(1);
            if known.queued == 0 {
                self.total_weight -= known.weight;
                self.organisations.remove(organisation);
            }
        }
        if self.entries.is_empty() {
            // Without contention there is nothing to share out.
            self.accounts.clear();
            self.account_indices.clear();
            self.free_accounts.clear();
            self.virtual_times.clear();
            self.organisations.clear();
            self.total_weight = 0.0;
            self.rank_weights.clear();
            self.busy_since = None;
            self.dispatch_times.clear();
            self.returns.retain(|expected| now <= expected.until);
        }
        Some(entry)
    }

    fn record_dispatch(&mut self, now: Duration) {
        if self.dispatch_times.len() >= MAX_DISPATCH_TIMES {
            self.dispatch_times.pop_front();
        }
        self.dispatch_times.push_back(now);
    }

    /// Returns the recent dispatches while requests were queued, and the seconds in which they came;
    /// `None` if requests have not been queued for long enough.
    fn recent_dispatches(&self, now: Duration) -> Option<(usize, f64)> {
        let busy = now.saturating_sub(self.busy_since?);
        if busy < MIN_BUSY_TIME {
            return None;
        }
        let mut window = busy.min(RATE_WINDOW);
        if self.dispatch_times.len() >= MAX_DISPATCH_TIMES
            && let Some(&first) = self.dispatch_times.front()
        {
            window = window
                .min(now.saturating_sub(first))
                .max(MIN_BUSY_TIME / 10);
        }
        let since = now.saturating_sub(window);
        let recent = self.dispatch_times.iter().rev();
        let count = recent.take_while(|&&at| at >= since).count();
        Some((count, window.as_secs_f64()))
    }

    /// Returns the dispatches a second; without any, the rate at which the next one would come now.
    fn rate(&self, now: Duration) -> Option<f64> {
        let (count, seconds) = self.recent_dispatches(now)?;
        Some(count.max(1) as f64 / seconds)
    }

    /// Returns a rate that the real one hardly exceeds: two standard deviations above the measured
    /// one. A gateway with few requests sees few dispatches, and must not reject on chance.
    fn highest_rate(&self, now: Duration) -> Option<f64> {
        let (count, seconds) = self.recent_dispatches(now)?;
        let count = (count + 1) as f64;
        Some((count + 2.0 * count.sqrt()) / seconds)
    }

    fn queued_of(&self, organisation: &Name) -> usize {
        let known = self.organisations.get(organisation);
        known.map_or(0, |known| known.queued)
    }

    /// Returns whether the request's organisation, with `added` further requests, has more of the
    /// queue than its weight entitles it to, while others wait. An organisation that waits alone
    /// takes nothing from others.
    fn exceeds_share(&self, request: &Request, added: usize) -> bool {
        let own = self.queued_of(&request.organisation);
        if own == 0 || own == self.len() {
            return false;
        }
        let weight = f64::from(request.weight.max(1));
        let known = self.organisations.get(&request.organisation);
        let total = self.total_weight - known.map_or(0.0, |known| known.weight) + weight;
        (own + added) as f64 * total > (self.len() + added) as f64 * weight
    }

    /// Estimates the queued requests that would be dispatched before this one.
    fn count_ahead(&self, request: &Request) -> usize {
        let own_class = class(request);
        let more_urgent = self.classes.range(..own_class);
        let urgent: usize = more_urgent.map(|(_, class)| class.queued).sum();
        let Some(class) = self.classes.get(&own_class) else {
            return urgent;
        };
        let key = (request.rank, request.organisation.clone());
        let account = self.account_indices.get(&key).copied();
        let lane = account.and_then(|account| class.lanes.get(&account));
        let last = lane_key(request, u64::MAX);
        let own = lane.map_or(0, |lane| lane.requests.range(..=last).count());
        let others = class.queued - lane.map_or(0, |lane| lane.requests.len());
        let own_account = account.map(|account| &self.accounts[account]);
        let own_weight = own_account
            .filter(|account| account.queued > 0)
            .map_or(0.0, |account| account.weight);
        let weights = self.rank_weights.get(&request.rank);
        let other_weights = weights.copied().unwrap_or_default() - own_weight;
        let weight = f64::from(request.weight.max(1));
        let interleaved = ((own + 1) as f64 * other_weights / weight) as usize;
        urgent + own + others.min(interleaved)
    }

    /// Returns whether the request is probably one that was rejected before, and forgets that one.
    fn take_return(&mut self, request: &Request, now: Duration) -> bool {
        while self
            .returns
            .front()
            .is_some_and(|expected| now > expected.until)
        {
            self.returns.pop_front();
        }
        let found = self.returns.iter().position(|expected| {
            expected.path == request.path
                && (expected.from..=expected.until).contains(&now)
                && expected.organisation == request.organisation
        });
        found.and_then(|index| self.returns.remove(index)).is_some()
    }

    /// Returns the rejection of a request that is not queued, and expects it back.
    fn reject(
        &mut self,
        request: &Request,
        reason: Reason,
        ahead: usize,
        now: Duration,
        jitter: f64,
    ) -> Rejection {
        let rate = self.rate(now);
        let wait = rate.map_or(DEFAULT_RETRY_AFTER, |rate| time_for(ahead + 1, rate));
        let retry_after = wait
            .mul_f64(1.0 + jitter.clamp(0.0, 1.0) / 2.0)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.expect_return(request, retry_after, now);
        Rejection {
            reason,
            retry_after,
            queued: self.len(),
            ahead,
            rate,
        }
    }

    /// Returns the rejection of a request until the end of a pause, and expects it back then.
    fn reject_paused(
        &mut self,
        request: &Request,
        reason: Reason,
        opens_at: Duration,
        now: Duration,
        jitter: f64,
    ) -> Rejection {
        let retry_after = opens_at.saturating_sub(now).max(MIN_RETRY_AFTER)
            + PAUSE_RETRY_SPREAD.mul_f64(jitter.clamp(0.0, 1.0));
        self.expect_return(request, retry_after, now);
        Rejection {
            reason,
            retry_after,
            queued: self.len(),
            ahead: 0,
            rate: None,
        }
    }

    fn expect_return(&mut self, request: &Request, retry_after: Duration, now: Duration) {
        if request.kind != Kind::Begun {
            if self.returns.len() >= MAX_RETURNS {
                self.returns.pop_front();
            }
            self.returns.push_back(ExpectedReturn {
                organisation: request.organisation.clone(),
                path: request.path,
                from: (now + retry_after).saturating_sub(RETURN_TOLERANCE),
                until: now + retry_after * 2 + RETURN_DELAY,
            });
        }
    }
}

/// Returns the time in which so many requests are dispatched, an hour at most.
fn time_for(requests: usize, rate: f64) -> Duration {
    Duration::from_secs_f64((requests as f64 / rate.max(1e-3)).min(3600.0))
}
