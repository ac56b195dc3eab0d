//! Decides which requests must not be sent, because they crash the upstreams that run them.
//!
//! Handles a single request that crashes each upstream which begins to run it, and that its caller
//! sends again, under a new id and to any gateway. [`quarantine`](super::quarantine) handles prompts
//! that have a segment in common.
//!
//! A request is known by its [`Fingerprints`]: one with its query, and one without, in case its
//! caller varies the query. The narrower one is blamed where it explains the crashes.
//!
//! Evidence is a crash while the request was there without progress. A request is quarantined after
//! three crashes that followed each other, with no progress of it anywhere meanwhile. Copies that
//! were at several upstreams when these were lost together count as one, so that a popular request
//! is not blamed for the loss of a data centre. A request that was there each time by chance,
//! beside the one at fault, is told apart by its next attempts: where several requests were at the
//! same crashes, a verdict needs more of them. Where upstreams also crash under others, a verdict
//! is put to the test at once.
//!
//! A gateway that is partitioned from upstreams takes them for crashed. A crash does not count once
//! its upstream has responded to any gateway since, and verdicts that it was needed for end.
//!
//! Gateways tell each other of crashes, of progress that clears a request under suspicion, and of
//! verdicts. Requests at which nothing crashed cost neither state nor messages.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::policy::fingerprint;
use crate::policy::fingerprint::Fingerprints;

/// Crashes in a row after which a request is quarantined.
const MIN_CRASHES: usize = 3;

/// The same if other suspects explain some of the crashes, or the request made progress within
/// [`CLEARANCE_TTL`] and so was at an earlier crash by chance.
const MIN_CRASHES_IN_DOUBT: usize = 4;

/// Time for which progress speaks for a request.
const CLEARANCE_TTL: Duration = Duration::from_secs(60);

/// Least time between two crashes that count as two.
const SIMULTANEOUS: Duration = Duration::from_millis(50);

/// Tolerance for reports that are late when it is decided whether the request was sent after the
/// crash before.
const SEQUENCE_TOLERANCE: Duration = Duration::from_millis(100);

/// Time from a crash after which it counts: the reports of all requests there should have come by
/// then. A part of them may blame the wrong request.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Time for which a crash counts as evidence.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Time for which a verdict holds. The upstreams may have been repaired by then.
const VERDICT_TTL: Duration = Duration::from_secs(86_400);

/// Time before the end of a verdict in which the others are no longer told of it. Otherwise those
/// that have forgotten it would adopt it again from each other.
const VERDICT_MARGIN: Duration = Duration::from_secs(60);

/// Time before a verdict in which crashes under other requests make it doubtful.
const DOUBT_TIME: Duration = Duration::from_secs(10);

/// Times from a doubtful verdict between which any gateway lets one attempt through. They end before
/// the upstreams must be safe from the request.
const EARLY_PROBE_TIMES: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1800)];

/// Times from a verdict at which one gateway lets one attempt through. They are few, because each
/// may crash an upstream.
const PROBE_TIMES: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];

/// The same for a verdict that was doubtful: the first one comes as soon as upstreams should be
/// back, at any gateway, so that a sound request does not wait until it comes to that one.
const DOUBTFUL_PROBE_TIMES: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(1800)];

/// Time from a crash in which the upstream may not be back. Meanwhile the request must not go to the
/// last upstream that is left.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// Time for which crashes and clearances are repeated to the other gateways, in case an update was
/// lost.
const REPEAT_TTL: Duration = Duration::from_secs(5);

/// Maximum number of fingerprints that are kept, of crashes of one request, and of verdicts.
const REQUEST_LIMIT: usize = 1024;
const CRASH_LIMIT: usize = 16;
const VERDICT_LIMIT: usize = 128;

/// Maximum number of crashes, of clearances and of verdicts in one notice.
const NOTICE_CRASH_LIMIT: usize = 32;
const NOTICE_LIMIT: usize = 16;

/// A crash under a request, for the other gateways.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// One of the request's fingerprints.
    pub request: u64,
    /// Number of the upstream's incarnation.
    pub upstream: Index,
    /// Time since the crash was noticed.
    pub age: Duration,
    /// Time from sending the request to the crash.
    pub elapsed: Duration,
}

/// A verdict on a request, for the other gateways.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VerdictNotice {
    /// One of the request's fingerprints.
    pub request: u64,
    /// Time since the verdict.
    pub age: Duration,
    /// Attempts let through since then to see whether it holds, early ones not counted.
    pub probes: u8,
    /// Whether other requests may be at fault.
    pub is_doubtful: bool,
    /// Whether an early attempt was let through.
    pub was_probed_early: bool,
}

/// Message with the evidence and the verdicts of one gateway, for the others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Crashes that this gateway has noticed.
    pub crashes: Vec<CrashNotice>,
    /// Requests under suspicion that are cleared, with the time since the progress.
    pub cleared: Vec<(u64, Duration)>,
    /// Verdicts that it knows.
    pub verdicts: Vec<VerdictNotice>,
}

impl Notice {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.verdicts.is_empty()
    }

    /// Returns the number of numbers in it, by which its size is estimated.
    pub(crate) fn number_count(&self) -> usize {
        4 * self.crashes.len() + 2 * self.cleared.len() + 5 * self.verdicts.len()
    }
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    upstream: Index,
    sent_at: Duration,
    at: Duration,
    /// Whether this gateway has noticed it itself.
    is_own: bool,
}

#[derive(Clone, Copy, Debug)]
struct Verdict {
    since: Duration,
    probes: u8,
    /// Whether other requests may be at fault.
    is_doubtful: bool,
    was_probed_early: bool,
}

impl Verdict {
    /// Returns when the next attempt is let through, early ones aside; `None` if none is any more.
    fn next_probe_at(&self) -> Option<Duration> {
        let times = if self.is_doubtful {
            DOUBTFUL_PROBE_TIMES
        } else {
            PROBE_TIMES
        };
        let delay = times.get(usize::from(self.probes))?;
        Some(self.since + *delay)
    }

    fn is_early_probe_due(&self, now: Duration) -> bool {
        let [from, until] = EARLY_PROBE_TIMES;
        let is_possible = self.is_doubtful && !self.was_probed_early;
        is_possible && (self.since + from..=self.since + until).contains(&now)
    }
}

/// Evidence on one request.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Crashes since the last progress.
    crashes: Vec<Crash>,
    /// Last progress; earlier crashes and verdicts don't count.
    cleared_at: Option<Duration>,
    /// Whether that progress was at this gateway.
    is_own_progress: bool,
    verdict: Option<Verdict>,
    /// When a verdict was withdrawn because its crashes were refuted.
    withdrawn_at: Option<Duration>,
}

impl Record {
    /// Returns the number of crashes until `until` that followed each other, at other upstreams than
    /// `explained`.
    fn count_sequence(&self, until: Duration, explained: &HashSet<Index>) -> usize {
        let is_counted = |crash: &&Crash| crash.at <= until && !explained.contains(&crash.upstream);
        let mut crashes: Vec<&Crash> = self.crashes.iter().filter(is_counted).collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut last: Option<Duration> = None;
        let mut count = 0;
        for crash in crashes {
            let follows = last.is_none_or(|last| {
                crash.at > last + SIMULTANEOUS && crash.sent_at + SEQUENCE_TOLERANCE >= last
            });
            if follows {
                last = Some(crash.at);
                count += 1;
            }
        }
        count
    }

    /// Returns whether the request made progress within [`CLEARANCE_TTL`].
    fn is_vouched_for(&self, now: Duration) -> bool {
        self.cleared_at.is_some_and(|at| now < at + CLEARANCE_TTL)
    }

    fn was_at(&self, upstream: Index) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == upstream)
    }

    fn last_crash_at(&self) -> Option<Duration> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Returns when the record changed last, by which the oldest one makes room.
    fn changed_at(&self) -> Duration {
        self.last_crash_at()
            .max(self.cleared_at)
            .unwrap_or_default()
    }

    /// Forgets the evidence before a progress of the request at `at`.
    fn clear(&mut self, at: Duration, is_own: bool) {
        if self.cleared_at.is_some_and(|cleared_at| cleared_at >= at) {
            return;
        }
        self.cleared_at = Some(at);
        self.is_own_progress = is_own;
        self.crashes.retain(|crash| crash.at > at);
        self.verdict = self.verdict.filter(|verdict| verdict.since > at);
    }
}

/// Evidence and verdicts on requests, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequests {
    records: HashMap<u64, Record>,
    /// When a verdict may be due without further evidence.
    evaluate_at: Option<Duration>,
    /// Whether there is news for the other gateways.
    has_news: bool,
    /// Number of notices so far, by which verdicts take turns in them.
    notices: usize,
}

impl CrashingRequests {
    /// Returns whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that `upstream` crashed while a request, sent there at `sent_at`, was there without
    /// progress.
    pub fn record_crash(
        &mut self,
        request: &Fingerprints,
        upstream: Index,
        sent_at: Duration,
        now: Duration,
    ) {
        self.has_news = true;
        let crash = Crash {
            upstream,
            sent_at,
            at: now,
            is_own: true,
        };
        for fingerprint in request.iter() {
            self.add_crash(fingerprint, crash);
        }
        self.evaluate(now);
    }

    /// Records that a response to the request is complete or has gone on for a while.
    pub fn record_progress(&mut self, request: &Fingerprints, now: Duration) {
        for fingerprint in request.iter() {
            if let Some(record) = self.records.get_mut(&fingerprint) {
                // Full notices bring the others the later times.
                self.has_news |= !record.crashes.is_empty() || record.verdict.is_some();
                record.clear(now, true);
            }
        }
    }

    /// Applies what another gateway has told.
    pub fn apply(&mut self, notice: &Notice, now: Duration) {
        let mut is_new = false;
        for reported in notice.crashes.iter().take(NOTICE_CRASH_LIMIT) {
            let at = now.saturating_sub(reported.age);
            let crash = Crash {
                upstream: reported.upstream,
                sent_at: at.saturating_sub(reported.elapsed),
                at,
                is_own: false,
            };
            is_new |= self.add_crash(reported.request, crash);
        }
        for &(request, age) in notice.cleared.iter().take(NOTICE_LIMIT) {
            if let Some(record) = self.records.get_mut(&request) {
                record.clear(now.saturating_sub(age), false);
            }
        }
        for reported in notice.verdicts.iter().take(VERDICT_LIMIT) {
            if reported.age + VERDICT_MARGIN >= VERDICT_TTL {
                continue;
            }
            let verdict = Verdict {
                since: now.saturating_sub(reported.age),
                probes: reported.probes,
                is_doubtful: reported.is_doubtful,
                was_probed_early: reported.was_probed_early,
            };
            self.adopt_verdict(reported.request, verdict);
        }
        if is_new {
            self.evaluate(now);
        }
    }

    /// Reaches the verdicts for which time had to pass.
    pub fn poll(&mut self, now: Duration) {
        if self.evaluate_at.is_some_and(|at| now >= at) {
            self.evaluate(now);
        }
    }

    /// Forgets the crashes of upstreams that another cause explains.
    pub fn discount(&mut self, upstreams: &HashSet<Index>) {
        for record in self.records.values_mut() {
            record
                .crashes
                .retain(|crash| !upstreams.contains(&crash.upstream));
        }
    }

    /// Forgets the crashes of an upstream at times when it was `alive`, and withdraws the verdicts for
    /// which too few are left.
    pub fn refute(&mut self, upstream: Index, alive: &RangeInclusive<Duration>, now: Duration) {
        for record in self.records.values_mut() {
            let before = record.crashes.len();
            record
                .crashes
                .retain(|crash| crash.upstream != upstream || !alive.contains(&crash.at));
            if record.crashes.len() == before || record.verdict.is_none() {
                continue;
            }
            let nothing = HashSet::default();
            if record.count_sequence(now, &nothing) < MIN_CRASHES {
                record.verdict = None;
                record.withdrawn_at = Some(now);
            }
        }
    }

    /// Returns whether the request must not be sent; if so, for how long from now on at least.
    pub fn quarantined_for(&self, request: &Fingerprints, now: Duration) -> Option<Duration> {
        let verdicts = request.iter().filter_map(|f| self.records.get(&f)?.verdict);
        verdicts
            .filter_map(|verdict| {
                let ends_at = verdict.since + VERDICT_TTL;
                let can_probe_early = verdict.is_doubtful && !verdict.was_probed_early;
                let probe_times = [
                    can_probe_early.then_some(verdict.since + EARLY_PROBE_TIMES[0]),
                    verdict.next_probe_at(),
                ];
                let next_at = probe_times.into_iter().flatten().find(|&at| at > now);
                next_at.unwrap_or(ends_at).checked_sub(now)
            })
            .filter(|left| !left.is_zero())
            .max()
    }

    /// Returns whether a quarantined request may be sent to see whether the verdict holds, and counts
    /// it as sent if so. Only one gateway `is_prober`; the first probes of a doubtful verdict may be
    /// sent by any.
    pub fn try_probe(&mut self, request: &Fingerprints, is_prober: bool, now: Duration) -> bool {
        let is_due = |verdict: &Verdict| {
            let may_probe = is_prober || verdict.is_doubtful && verdict.probes == 0;
            let next_at = verdict.next_probe_at().filter(|_| may_probe);
            verdict.is_early_probe_due(now) || next_at.is_some_and(|at| now >= at)
        };
        let verdicts = request.iter().filter_map(|f| self.records.get(&f)?.verdict);
        let mut verdicts = verdicts.peekable();
        if verdicts.peek().is_none() || !verdicts.all(|verdict| is_due(&verdict)) {
            return false;
        }
        for fingerprint in request.iter() {
            let record = self.records.get_mut(&fingerprint);
            let Some(verdict) = record.and_then(|record| record.verdict.as_mut()) else {
                continue;
            };
            if verdict.is_early_probe_due(now) {
                verdict.was_probed_early = true;
            } else {
                verdict.probes += 1;
            }
        }
        self.has_news = true;
        true
    }

    /// Returns whether the request may be sent again, without its caller asking, after it was
    /// interrupted.
    pub fn allows_retry(&self, request: &Fingerprints) -> bool {
        request.iter().all(|f| self.crash_count(f) < MIN_CRASHES)
    }

    /// Returns the upstreams that crashed under the request and may not be back, and for how long;
    /// `None` if there are none.
    pub fn recent_crashes(
        &self,
        request: &Fingerprints,
        now: Duration,
    ) -> Option<(Vec<Index>, Duration)> {
        let records = request.iter().filter_map(|f| self.records.get(&f));
        let crashes: Vec<&Crash> = records.flat_map(|record| &record.crashes).collect();
        let until = crashes.iter().map(|crash| crash.at).max()? + RESTART_TIME;
        let left = until.checked_sub(now).filter(|left| !left.is_zero())?;
        Some((crashes.iter().map(|crash| crash.upstream).collect(), left))
    }

    /// Iterates over the fingerprints of requests that are quarantined.
    pub fn verdicts(&self) -> impl Iterator<Item = u64> + '_ {
        let records = self.records.iter();
        records.filter_map(|(&request, record)| record.verdict.map(|_| request))
    }

    /// Returns the number of crashes that count against a fingerprint.
    pub fn crash_count(&self, request: u64) -> usize {
        let record = self.records.get(&request);
        record.map_or(0, |record| record.crashes.len())
    }

    /// Returns whether there is news for the other gateways.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns what the other gateways are to be told, and marks it as told. A full notice repeats
    /// what is recent, and verdicts; the other is empty without news.
    pub fn next_notice(&mut self, is_full: bool, now: Duration) -> Notice {
        if !std::mem::take(&mut self.has_news) && !is_full || self.records.is_empty() {
            return Notice::default();
        }
        self.notices = self.notices.wrapping_add(1);
        Notice {
            crashes: self.recent_own_crashes(now),
            cleared: self.recent_own_clearances(now),
            verdicts: self.verdict_notices(now),
        }
    }

    /// Forgets what no longer counts.
    pub fn remove_expired(&mut self, now: Duration) {
        for record in self.records.values_mut() {
            record.crashes.retain(|crash| now < crash.at + EVIDENCE_TTL);
            record.cleared_at = record.cleared_at.filter(|&at| now < at + EVIDENCE_TTL);
            let verdict = record.verdict;
            record.verdict = verdict.filter(|verdict| now < verdict.since + VERDICT_TTL);
            record.withdrawn_at = record.withdrawn_at.filter(|&at| now < at + REPEAT_TTL);
        }
        self.records.retain(|_, record| {
            let has_evidence = !record.crashes.is_empty() || record.cleared_at.is_some();
            has_evidence || record.verdict.is_some() || record.withdrawn_at.is_some()
        });
    }

    /// Adds a crash; returns `false` if it is known or doesn't count.
    fn add_crash(&mut self, request: u64, crash: Crash) -> bool {
        self.make_room_for(request);
        let record = self.records.entry(request).or_default();
        let is_cleared = record.cleared_at.is_some_and(|at| at >= crash.at);
        if is_cleared || record.was_at(crash.upstream) {
            return false;
        }
        if record.crashes.len() >= CRASH_LIMIT {
            record.crashes.remove(0);
        }
        record.crashes.push(crash);
        true
    }

    /// Removes the record that says least, if a new one would exceed the limit.
    fn make_room_for(&mut self, request: u64) {
        if self.records.len() < REQUEST_LIMIT || self.records.contains_key(&request) {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, record)| {
            let crashes = record.crashes.len();
            (record.verdict.is_some(), crashes, record.changed_at())
        });
        if let Some((&least, _)) = least {
            self.records.remove(&least);
        }
    }

    fn adopt_verdict(&mut self, request: u64, verdict: Verdict) {
        let is_known = self.records.get(&request).is_some_and(|record| {
            // The others may tell of the same verdict until they have heard of the refutation.
            let is_withdrawn = record
                .withdrawn_at
                .is_some_and(|at| at + REPORT_DELAY >= verdict.since);
            let is_cleared = record.cleared_at.is_some_and(|at| at >= verdict.since);
            record.verdict.is_some() || is_cleared || is_withdrawn
        });
        if !is_known {
            self.add_verdict(request, verdict);
        } else if let Some(known) = self
            .records
            .get_mut(&request)
            .and_then(|record| record.verdict.as_mut())
        {
            // The others' ages grow on their way, so a verdict that is known keeps its time.
            known.probes = known.probes.max(verdict.probes);
            known.is_doubtful |= verdict.is_doubtful;
            known.was_probed_early |= verdict.was_probed_early;
        }
    }

    fn add_verdict(&mut self, request: u64, verdict: Verdict) {
        let mut verdicts: Vec<(Duration, u64)> = self
            .records
            .iter()
            .filter_map(|(&request, record)| Some((record.verdict?.since, request)))
            .collect();
        if verdicts.len() >= VERDICT_LIMIT {
            verdicts.sort_unstable();
            self.records.remove(&verdicts[0].1);
        }
        self.make_room_for(request);
        self.records.entry(request).or_default().verdict = Some(verdict);
        self.has_news = true;
    }

    /// Reaches the verdicts that the evidence allows.
    fn evaluate(&mut self, now: Duration) {
        let until = now.saturating_sub(REPORT_DELAY);
        let suspects: Vec<(u64, &Record)> = self
            .records
            .iter()
            .filter(|(_, record)| record.crashes.len() >= MIN_CRASHES)
            .map(|(&request, record)| (request, record))
            .collect();
        let mut convicted = Vec::new();
        let mut evaluate_at: Option<Duration> = None;
        for &(request, record) in suspects.iter().filter(|(_, r)| r.verdict.is_none()) {
            // The reports on its last crashes may not all be there yet.
            let waiting = record.crashes.iter().map(|crash| crash.at + REPORT_DELAY);
            evaluate_at = waiting.filter(|&at| at > now).chain(evaluate_at).min();
            if record.count_sequence(until, &HashSet::default()) < MIN_CRASHES {
                continue;
            }
            let others = suspects.iter().filter(|(other, _)| {
                let is_narrow_enough = !fingerprint::is_of_path(*other);
                *other != request && (is_narrow_enough || fingerprint::is_of_path(request))
            });
            let explained: HashSet<Index> = others
                .flat_map(|(_, other)| other.crashes.iter().map(|crash| crash.upstream))
                .filter(|&upstream| record.was_at(upstream))
                .collect();
            let is_clear = !record.is_vouched_for(now)
                && record.count_sequence(until, &explained) >= MIN_CRASHES;
            if is_clear || record.count_sequence(until, &HashSet::default()) >= MIN_CRASHES_IN_DOUBT
            {
                let is_doubtful = !is_clear || self.has_other_crashes(record, now);
                convicted.push((request, is_doubtful));
            }
        }
        self.evaluate_at = evaluate_at;
        for (request, is_doubtful) in convicted {
            let verdict = Verdict {
                since: now,
                probes: 0,
                is_doubtful,
                was_probed_early: false,
            };
            self.add_verdict(request, verdict);
        }
    }

    /// Returns whether upstreams crashed lately at which the request was not.
    fn has_other_crashes(&self, record: &Record, now: Duration) -> bool {
        let mut crashes = self.records.values().flat_map(|record| &record.crashes);
        crashes.any(|crash| now < crash.at + DOUBT_TIME && !record.was_at(crash.upstream))
    }

    /// Returns the recent crashes that this gateway has noticed, those of the most suspect requests
    /// first.
    fn recent_own_crashes(&self, now: Duration) -> Vec<CrashNotice> {
        let mut crashes: Vec<(usize, u64, Crash)> = Vec::new();
        for (&request, record) in &self.records {
            let recent = record.crashes.iter();
            let recent = recent.filter(|crash| crash.is_own && now <= crash.at + REPEAT_TTL);
            crashes.extend(recent.map(|&crash| (record.crashes.len(), request, crash)));
        }
        crashes.sort_unstable_by_key(|&(count, request, crash)| {
            std::cmp::Reverse((count, crash.at, request))
        });
        crashes.truncate(NOTICE_CRASH_LIMIT);
        let notices = crashes.into_iter().map(|(_, request, crash)| CrashNotice {
            request,
            upstream: crash.upstream,
            age: now.saturating_sub(crash.at),
            elapsed: crash.at.saturating_sub(crash.sent_at),
        });
        notices.collect()
    }

    /// Returns the newest clearances by progress at this gateway.
    fn recent_own_clearances(&self, now: Duration) -> Vec<(u64, Duration)> {
        let mut cleared: Vec<(u64, Duration)> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_own_progress)
            .filter_map(|(&request, record)| Some((request, now.checked_sub(record.cleared_at?)?)))
            .filter(|(_, age)| *age <= REPEAT_TTL)
            .collect();
        cleared.sort_unstable_by_key(|&(request, age)| (age, request));
        cleared.truncate(NOTICE_LIMIT);
        cleared
    }

    /// Returns the newest verdicts, and others in turn.
    fn verdict_notices(&self, now: Duration) -> Vec<VerdictNotice> {
        let mut verdicts: Vec<VerdictNotice> = self
            .records
            .iter()
            .filter_map(|(&request, record)| {
                let verdict = record.verdict?;
                Some(VerdictNotice {
                    request,
                    age: now.saturating_sub(verdict.since),
                    probes: verdict.probes,
                    is_doubtful: verdict.is_doubtful,
                    was_probed_early: verdict.was_probed_early,
                })
            })
            .filter(|verdict| verdict.age + VERDICT_MARGIN < VERDICT_TTL)
            .collect();
        verdicts.sort_unstable_by_key(|verdict| (verdict.age, verdict.request));
        if verdicts.len() > NOTICE_LIMIT {
            let newest = NOTICE_LIMIT / 2;
            let turn = self.notices * newest % (verdicts.len() - newest);
            verdicts[newest..].rotate_left(turn);
            verdicts.truncate(NOTICE_LIMIT);
        }
        verdicts
    }
}
