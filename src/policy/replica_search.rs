//! Decides which address to call next in the search for the leader of the state replicas.
//!
//! Handles replicas that are replaced at other addresses while a process is cut off or suspended.
//! The leader's last list of replicas may then have no replica that still runs, or only ones that
//! were removed from the log and still reply. So the process keeps the addresses of its settings
//! and those that other processes report, and calls them too once the list has led nowhere.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::HashMap;

/// Duration of a search after which the addresses outside the list are called too. An election
/// takes less.
const WIDEN_AFTER: Duration = Duration::from_millis(1500);

/// Time for which an address counts as silent after a call without a reply.
const SILENCE_TTL: Duration = Duration::from_secs(5);

/// Time after a call without a reply for which an address is not called again only because a replica
/// names it as the leader.
const HINT_DELAY: Duration = Duration::from_secs(1);

/// In a search beyond the list, one call in this many goes to another address. Those of the settings
/// may all be gone while the listed replicas are back.
const CALLS_PER_OTHER: u64 = 3;

/// Most addresses taken from the settings, the leader or another process.
const MAX_ADDRESSES: usize = 64;

/// Most addresses in one log line.
const MAX_LOGGED: usize = 8;

/// What a call has shown of an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// The leader replied.
    Leader,
    /// A replica replied that names another one as the leader.
    Names(SocketAddr),
    /// A replica replied that names no leader.
    NoLeader,
    /// A process replied that doesn't handle such requests.
    Refusal,
    /// A reply that says nothing of the leader.
    Reply,
    /// There was no reply.
    Silence(Silence),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leader => f.write_str("leader"),
            Self::Names(leader) => write!(f, "names:{leader}"),
            Self::NoLeader => f.write_str("no_leader"),
            Self::Refusal => f.write_str("refuses"),
            Self::Reply => f.write_str("replied"),
            Self::Silence(Silence::NotListening) => f.write_str("not_listening"),
            Self::Silence(Silence::Unreachable) => f.write_str("unreachable"),
            Self::Silence(Silence::NoReply) => f.write_str("no_reply"),
        }
    }
}

/// The last call of an address.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Number of the call, counted over all addresses; 0 before the first.
    last_call: u64,
    /// Calls in a row without a reply.
    unanswered: u32,
    /// When the last call was given up; `None` if it got a reply, or if only its connection may have
    /// been dead.
    silent_at: Option<Duration>,
    outcome: Outcome,
}

/// How a call ended without a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Silence {
    /// The address refuses connections, so its VM runs without a process there.
    NotListening,
    /// No connection could be opened in time.
    Unreachable,
    /// There was no reply on an open connection, which may have been dead while new ones work.
    NoReply,
}

/// The addresses among which the leader is searched for.
#[derive(Clone, Debug)]
pub struct Search {
    /// Addresses of the settings.
    configured: Vec<SocketAddr>,
    /// The leader's last list.
    listed: Vec<SocketAddr>,
    /// Position at which each list that is reported begins, counted over it again and again.
    /// Hundreds of processes may receive the same list at the same time.
    first: usize,
    /// What other processes have reported since the last reply of a leader, the latest first.
    reported: Vec<SocketAddr>,
    /// Address that is called next.
    next: SocketAddr,
    contacts: HashMap<SocketAddr, Contact>,
    calls: u64,
    /// When the first call without a reply of the leader ended; `None` while the leader replies.
    lost_at: Option<Duration>,
    /// Whether a leader, or a member of the log that follows one, has replied.
    has_found: bool,
}

impl Search {
    /// Creates a search among the addresses of the settings, that begins with the one at position
    /// `first`, counted over them again and again; `None` if there are none.
    pub fn new(configured: Vec<SocketAddr>, first: usize) -> Option<Self> {
        let configured = bounded(configured);
        let next = *configured.get(first % configured.len().max(1))?;
        Some(Self {
            listed: configured.clone(),
            configured,
            first,
            reported: Vec::new(),
            next,
            contacts: HashMap::default(),
            calls: 0,
            lost_at: None,
            has_found: false,
        })
    }

    /// Returns the address to call next: the presumed leader.
    pub fn next(&self) -> SocketAddr {
        self.next
    }

    /// Returns the replicas of the leader's last list.
    pub fn listed(&self) -> &[SocketAddr] {
        &self.listed
    }

    /// Sets the leader's list; an empty one is ignored.
    pub fn set_listed(&mut self, replicas: Vec<SocketAddr>) {
        if replicas.is_empty() {
            return;
        }
        self.listed = bounded(replicas);
        self.forget_unknown();
    }

    /// Adds the replicas that another process has reported, and calls one of those that have been
    /// reported next; an empty list is ignored, and so is any while the leader replies.
    ///
    /// Earlier reports are kept behind it: it may be the older one.
    pub fn add_reported(&mut self, mut replicas: Vec<SocketAddr>) {
        let is_found = self.has_found && self.lost_at.is_none();
        if replicas.is_empty() || is_found {
            return;
        }
        let first = self.first % replicas.len();
        replicas.rotate_left(first);
        merge_addresses(&mut self.reported, replicas);
        self.forget_unknown();
        if let Some(next) = self.least_recent(&self.reported.clone()) {
            self.next = next;
        }
    }

    /// Records a reply of the leader.
    pub fn record_leader(&mut self, address: SocketAddr) {
        self.record_call(address, Outcome::Leader, 0, None);
        self.next = address;
        self.end_search();
    }

    /// Records the list of a member of the log that follows a leader.
    pub fn record_list(&mut self, address: SocketAddr, replicas: Vec<SocketAddr>) {
        self.record_call(address, Outcome::Reply, 0, None);
        self.set_listed(replicas);
        self.end_search();
    }

    fn end_search(&mut self) {
        self.lost_at = None;
        self.has_found = true;
        self.reported.clear();
    }

    /// Records a reply of a replica that is not the leader, and may name it. Returns the address to
    /// call at once; `None` if the caller should wait first.
    pub fn record_follower(
        &mut self,
        address: SocketAddr,
        leader: Option<SocketAddr>,
        now: Duration,
    ) -> Option<SocketAddr> {
        let outcome = leader.map_or(Outcome::NoLeader, Outcome::Names);
        self.record_call(address, outcome, 0, None);
        self.lost_at.get_or_insert(now);
        let leader = leader.filter(|&leader| leader != address);
        match leader {
            // A follower may name a leader that has died until its election timeout, and a replica
            // that was removed from the log for good.
            Some(leader) if !self.is_silent_for(leader, HINT_DELAY, now) => {
                self.next = leader;
                Some(leader)
            }
            _ => {
                self.advance(address, now);
                None
            }
        }
    }

    /// Records the refusal of a process that doesn't handle such requests.
    pub fn record_refusal(&mut self, address: SocketAddr, now: Duration) {
        self.record_call(address, Outcome::Refusal, 0, None);
        self.lost_at.get_or_insert(now);
        self.advance(address, now);
    }

    /// Records a call without a reply.
    pub fn record_silence(&mut self, address: SocketAddr, silence: Silence, now: Duration) {
        self.record_unanswered(address, silence, now);
        self.lost_at.get_or_insert(now);
        self.advance(address, now);
    }

    /// Returns whether the leader's list has led nowhere, so that other processes should be asked.
    pub fn is_wide(&self, now: Duration) -> bool {
        let Some(lost_at) = self.lost_at else {
            return false;
        };
        let mut listed = self.listed.iter();
        now >= lost_at + WIDEN_AFTER || listed.all(|&address| self.is_silent(address, now))
    }

    /// Returns the replica at position `index` of the list, counted over it again and again, without
    /// those that are silent, unless all are.
    pub fn responsive_at(&self, index: usize, now: Duration) -> SocketAddr {
        let is_responsive = |address: &&SocketAddr| !self.is_silent(**address, now);
        let responsive: Vec<&SocketAddr> = self.listed.iter().filter(is_responsive).collect();
        match responsive.len() {
            0 => self.listed[index % self.listed.len()],
            n => *responsive[index % n],
        }
    }

    /// Returns the addresses called and the outcome of the last call of each, the latest call first,
    /// for the log.
    pub fn log_text(&self) -> String {
        let mut contacts: Vec<_> = self.contacts.iter().collect();
        contacts.sort_by_key(|(_, contact)| std::cmp::Reverse(contact.last_call));
        let texts = contacts.iter().take(MAX_LOGGED);
        let texts = texts.map(|(address, contact)| format!("{address}={}", contact.outcome));
        texts.collect::<Vec<String>>().join(",")
    }

    /// Records a reply that says nothing of the leader.
    pub fn record_reply(&mut self, address: SocketAddr) {
        self.record_call(address, Outcome::Reply, 0, None);
    }

    /// Records a call without a reply, to an address that was not presumed to be the leader.
    pub fn record_unanswered(&mut self, address: SocketAddr, silence: Silence, now: Duration) {
        let before = self.contacts.get(&address);
        let unanswered = before.map_or(0, |contact| contact.unanswered) + 1;
        let is_silent = silence != Silence::NoReply || unanswered > 1;
        let outcome = Outcome::Silence(silence);
        self.record_call(address, outcome, unanswered, is_silent.then_some(now));
    }

    fn record_call(
        &mut self,
        address: SocketAddr,
        outcome: Outcome,
        unanswered: u32,
        silent_at: Option<Duration>,
    ) {
        self.calls += 1;
        let contact = Contact {
            last_call: self.calls,
            unanswered,
            silent_at,
            outcome,
        };
        self.contacts.insert(address, contact);
        self.forget_unknown();
    }

    fn is_silent(&self, address: SocketAddr, now: Duration) -> bool {
        self.is_silent_for(address, SILENCE_TTL, now)
    }

    /// Returns whether the last call got no reply and was given up less than `ttl` ago.
    fn is_silent_for(&self, address: SocketAddr, ttl: Duration, now: Duration) -> bool {
        let contact = self.contacts.get(&address);
        let silent_at = contact.and_then(|contact| contact.silent_at);
        silent_at.is_some_and(|at| now < at + ttl)
    }

    /// Presumes another address to be the leader, unless another call has changed the presumed
    /// leader meanwhile.
    fn advance(&mut self, tried: SocketAddr, now: Duration) {
        if self.next != tried {
            return;
        }
        let mut others = self.reported.clone();
        others.extend(&self.configured);
        others.retain(|address| !self.listed.contains(address));
        let is_other = self.is_wide(now) && self.calls.is_multiple_of(CALLS_PER_OTHER);
        let next = self.least_recent(&others).filter(|_| is_other);
        if let Some(next) = next.or_else(|| self.least_recent(&self.listed)) {
            self.next = next;
        }
    }

    /// Returns the first of the addresses whose last call is the longest ago.
    fn least_recent(&self, among: &[SocketAddr]) -> Option<SocketAddr> {
        let last_call = |address: &&SocketAddr| {
            let contact = self.contacts.get(*address);
            contact.map_or(0, |contact| contact.last_call)
        };
        among.iter().min_by_key(last_call).copied()
    }

    /// Forgets the calls of addresses that are in no list, but for the presumed leader.
    fn forget_unknown(&mut self) {
        if self.contacts.len() <= 4 * MAX_ADDRESSES {
            return;
        }
        let Self {
            configured,
            listed,
            reported,
            next,
            contacts,
            ..
        } = self;
        contacts.retain(|address, _| {
            address == next
                || configured.contains(address)
                || listed.contains(address)
                || reported.contains(address)
        });
    }
}

/// Puts `newer` before the addresses, without duplicates, and drops the oldest beyond
/// [`MAX_ADDRESSES`].
pub(crate) fn merge_addresses(addresses: &mut Vec<SocketAddr>, newer: Vec<SocketAddr>) {
    let newer = bounded(newer);
    addresses.retain(|address| !newer.contains(address));
    addresses.splice(0..0, newer);
    addresses.truncate(MAX_ADDRESSES);
}

fn bounded(mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
