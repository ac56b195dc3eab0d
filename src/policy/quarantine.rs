//! Decides which prompts must not be sent, because a segment of theirs crashes upstreams.
//!
//! Handles a query of death in front of many gateways: each upstream that begins a response to a
//! prompt with one certain segment crashes, and callers and retries bring it to one upstream after
//! the other.
//!
//! Evidence is a crash, and the requests whose responses had not made progress there. A segment is
//! blamed if requests with it were there at the crashes of several upstreams and none with it made
//! progress anywhere meanwhile. Segments that crashed prompts have in common with sound ones are
//! cleared by the sound ones. Where that can't tell them apart yet, only prompts that have all of
//! them are quarantined, so that the sound ones pass and do tell.
//!
//! Each gateway reaches the verdict itself, from its own evidence and that of the others. It tells
//! them of crashes, of progress that clears a segment under suspicion, and of its verdicts, so that
//! a gateway that has just started learns of these too.

use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::HashSet;

/// Crashes after which a segment is blamed, if none of its prompts makes progress within
/// [`SETTLE_TIME`]. Two may be the attempts of one request that was at two upstreams when they
/// crashed for another reason.
const MIN_CRASHES: usize = 3;

/// Crashes after which a segment is blamed at once.
const MIN_CRASHES_AT_ONCE: usize = 5;

/// Most crashes that a verdict needs.
const MAX_CRASHES: usize = 8;

/// Probability with which a segment may be blamed by chance. The more requests are interrupted
/// anyway, the more crashes a verdict needs.
const CHANCE: f64 = 1e-5;

/// Half-life of the share of requests that are interrupted.
const INTERRUPTION_HALF_LIFE: Duration = Duration::from_secs(5);

/// Number of requests with progress that are assumed before any are counted.
const ASSUMED_PROGRESS: f64 = 20.0;

/// Time from a verdict to the first prompt that is let through to see whether it holds; the next
/// ones wait twice as long each.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(60);

/// Time from the first crash in which prompts that were sent meanwhile can make progress.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Time from a crash after which it counts: the reports of all gateways should be there by then. A
/// part of them may blame the wrong segment.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Crashes that follow each other within this time count as one: upstreams that are lost together
/// have a common cause that is no prompt.
const SIMULTANEOUS: Duration = Duration::from_millis(50);

/// Requests that must have been there at those crashes. One that crashes upstreams by itself is not
/// blamed on its segments, and retries of one request say less than further requests.
const MIN_REQUESTS: usize = 3;

/// Crashes after which a request with the segment is not retried.
const MIN_CRASHES_FOR_RETRY: usize = 2;

/// Time before a crash in which progress of a response clears its segments. Sound segments must not
/// be blamed when many upstreams are lost within a second and nothing makes progress.
const PROGRESS_TTL: Duration = Duration::from_secs(10);

/// Time for which a crash counts as evidence.
const EVIDENCE_TTL: Duration = Duration::from_secs(120);

/// Time for which a verdict holds. The upstreams may have been repaired by then.
const VERDICT_TTL: Duration = Duration::from_secs(1800);

/// Time before the end of a verdict in which the others are no longer told of it. Otherwise those
/// that have forgotten it would adopt it again from each other.
const VERDICT_MARGIN: Duration = Duration::from_secs(60);

/// Time for which crashes and clearances are repeated to the other gateways, in case an update was
/// lost.
const REPEAT_TTL: Duration = Duration::from_secs(5);

/// Maximum number of crashes, of requests of one crash, of segments of one request and of verdicts
/// that are kept.
const CRASH_LIMIT: usize = 32;
const REQUEST_LIMIT: usize = 16;
const SEGMENT_LIMIT: usize = 16;
const VERDICT_LIMIT: usize = 64;

/// Maximum number of segments whose progress is remembered.
const PROGRESS_LIMIT: usize = 8192;

/// Maximum number of segment ids of crashes, and of clearances and verdicts, in one update.
const NOTICE_SEGMENT_LIMIT: usize = 64;
const NOTICE_LIMIT: usize = 16;

/// A request whose response had not made progress when its upstream crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InterruptedRequest {
    /// Fingerprint of the request.
    pub request: u64,
    /// Ids of its segments that are not cleared.
    pub segments: Vec<u64>,
}

/// A crash as one gateway has seen it, for the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// Number of the upstream's incarnation.
    pub upstream: Index,
    /// Time since the crash was noticed.
    pub age: Duration,
    /// The gateway's requests there.
    pub requests: Vec<InterruptedRequest>,
}

/// A verdict, for the other gateways.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Ids of the segments; a prompt that has all of them is quarantined.
    pub segments: Vec<u64>,
    /// Time since the verdict.
    pub age: Duration,
}

/// Message with the evidence and the verdicts of one gateway, for the others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Crashes that this gateway has noticed.
    pub crashes: Vec<CrashNotice>,
    /// Segments under suspicion that are cleared, with the time since the progress.
    pub cleared: Vec<(u64, Duration)>,
    /// Verdicts that it knows.
    pub verdicts: Vec<Verdict>,
}

impl Notice {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.verdicts.is_empty()
    }

    /// Returns the number of ids in it, by which its size is estimated.
    pub(crate) fn id_count(&self) -> usize {
        let crashes = self.crashes.iter().flat_map(|crash| &crash.requests);
        let interrupted: usize = crashes.map(|request| 2 + request.segments.len()).sum();
        let verdicts: usize = self.verdicts.iter().map(|v| 2 + v.segments.len()).sum();
        2 * self.crashes.len() + interrupted + 2 * self.cleared.len() + verdicts
    }
}

/// A crash, and the requests of all gateways there that had not made progress.
#[derive(Clone, Debug)]
struct Crash {
    upstream: Index,
    at: Duration,
    requests: Vec<InterruptedRequest>,
    /// The requests of this gateway among them.
    own_requests: Vec<InterruptedRequest>,
}

/// Evidence against one segment.
#[derive(Debug, Default)]
struct Tally {
    crash_times: Vec<Duration>,
    requests: HashSet<u64>,
    /// Segments that all of the requests have, the segment itself included.
    common: Option<Vec<u64>>,
}

impl Tally {
    /// Returns the number of crashes, those that came together counted as one.
    fn crashes(&self) -> usize {
        let mut times = self.crash_times.clone();
        times.sort_unstable();
        let mut last: Option<Duration> = None;
        let mut count = 0;
        for at in times {
            count += usize::from(last.is_none_or(|last| at > last + SIMULTANEOUS));
            last = Some(at);
        }
        count
    }

    /// Returns whether the evidence suffices for a verdict that needs `needed` crashes.
    fn is_proven(&self, needed: usize, now: Duration) -> bool {
        let crashes = self.crashes();
        let first = self.crash_times.iter().min();
        let has_settled = first.is_some_and(|&first| now >= first + SETTLE_TIME);
        self.requests.len() >= MIN_REQUESTS
            && crashes >= needed
            && (crashes >= MIN_CRASHES_AT_ONCE || has_settled)
    }
}

/// Decaying counts of requests that were interrupted and that made progress.
#[derive(Clone, Copy, Debug, Default)]
struct Interruptions {
    interrupted: f64,
    progressed: f64,
    counted_at: Duration,
}

impl Interruptions {
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.counted_at);
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / INTERRUPTION_HALF_LIFE.as_secs_f64());
        self.interrupted *= factor;
        self.progressed *= factor;
        self.counted_at = now;
    }

    /// Returns how many crashes make it improbable that a sound segment was there each time.
    fn needed_crashes(&self) -> usize {
        let requests = self.interrupted + self.progressed + ASSUMED_PROGRESS;
        let share = (self.interrupted / requests).clamp(1e-9, 0.99);
        let needed = (CHANCE.ln() / share.ln()).ceil() as usize;
        needed.clamp(MIN_CRASHES, MAX_CRASHES)
    }
}

/// When a verdict was reached, and when it is put to the test.
#[derive(Clone, Copy, Debug)]
struct Term {
    since: Duration,
    probe_at: Duration,
}

impl Term {
    fn new(since: Duration) -> Self {
        let probe_at = since + FIRST_PROBE_DELAY;
        Self { since, probe_at }
    }
}

/// Evidence and verdicts on the segments of one service's prompts.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// When a response to a prompt with the segment last made progress, as far as known.
    progress: HashMap<u64, Duration>,
    crashes: VecDeque<Crash>,
    /// Verdicts by their segments, which are in order.
    verdicts: HashMap<Vec<u64>, Term>,
    interruptions: Interruptions,
    /// Segments under suspicion that this gateway's responses have cleared, and when.
    cleared: HashMap<u64, Duration>,
    /// When a verdict may be due without further evidence.
    evaluate_at: Option<Duration>,
    /// Whether there is news for the other gateways.
    has_news: bool,
}

impl Quarantine {
    /// Reaches the verdicts for which time had to pass.
    pub fn poll(&mut self, now: Duration) {
        if self.evaluate_at.is_some_and(|at| now >= at) {
            self.evaluate(now);
        }
    }

    /// Records that a response made progress: it is complete, or has gone on for a while.
    pub fn record_progress(&mut self, segments: &[u64], now: Duration) {
        self.interruptions.decay(now);
        self.interruptions.progressed += 1.0;
        for &segment in segments {
            if self.is_under_suspicion(segment) {
                // Full notices bring the others the later times.
                self.has_news |= self.cleared.insert(segment, now).is_none();
            }
            self.clear(segment, now);
        }
    }

    /// Records that a response of this gateway was interrupted before it had made progress, by a
    /// crash or by something else.
    pub fn record_interruption(&mut self, now: Duration) {
        self.interruptions.decay(now);
        self.interruptions.interrupted += 1.0;
    }

    /// Records that an upstream crashed while a request of this gateway was there whose response
    /// had made no progress.
    pub fn record_crash(&mut self, upstream: Index, request: u64, segments: &[u64], now: Duration) {
        let interrupted = InterruptedRequest {
            request,
            segments: self.suspected(segments, now),
        };
        if interrupted.segments.is_empty() {
            return;
        }
        self.has_news = true;
        let crash = self.crash(upstream, now);
        if crash.own_requests.len() < REQUEST_LIMIT {
            crash.own_requests.push(interrupted.clone());
        }
        add_request(crash, interrupted);
    }

    /// Applies what another gateway has told.
    pub fn apply(&mut self, notice: &Notice, now: Duration) {
        for &(segment, age) in notice.cleared.iter().take(NOTICE_LIMIT) {
            self.clear(segment, now.saturating_sub(age));
        }
        for reported in notice.crashes.iter().take(NOTICE_LIMIT) {
            let at = now.saturating_sub(reported.age);
            let requests = reported.requests.iter().take(REQUEST_LIMIT);
            for request in requests {
                let segments = &request.segments[..request.segments.len().min(SEGMENT_LIMIT)];
                self.answer_suspicion(segments, at);
                let crash = self.crash(reported.upstream, at);
                let segments = segments.to_vec();
                add_request(
                    crash,
                    InterruptedRequest {
                        request: request.request,
                        segments,
                    },
                );
            }
        }
        for verdict in notice.verdicts.iter().take(VERDICT_LIMIT) {
            let since = now.saturating_sub(verdict.age);
            let segments = &verdict.segments[..verdict.segments.len().min(SEGMENT_LIMIT)];
            self.answer_suspicion(segments, since);
            let segments = self.suspected(segments, since);
            if verdict.age + VERDICT_MARGIN < VERDICT_TTL {
                self.add_verdict(segments, since);
            }
        }
    }

    /// Forgets the crash of an upstream at a time when it was `alive`, and withdraws the verdicts for
    /// which too few are left.
    pub fn refute(&mut self, upstream: Index, alive: &RangeInclusive<Duration>) {
        let is_refuted = |crash: &Crash| crash.upstream == upstream && alive.contains(&crash.at);
        let refuted: Vec<Crash> = self
            .crashes
            .iter()
            .filter(|c| is_refuted(c))
            .cloned()
            .collect();
        if refuted.is_empty() {
            return;
        }
        self.crashes.retain(|crash| !is_refuted(crash));
        let crashes = &self.crashes;
        self.verdicts.retain(|segments, _| {
            let explains = |crash: &Crash| {
                let mut requests = crash.requests.iter();
                requests.any(|request| segments.iter().all(|s| request.segments.contains(s)))
            };
            let left = crashes.iter().filter(|crash| explains(crash)).count();
            left >= MIN_CRASHES || !refuted.iter().any(explains)
        });
    }

    /// Returns whether a prompt must not be sent; if so, for how long.
    pub fn quarantined_for(&self, segments: &[u64], now: Duration) -> Option<Duration> {
        self.verdicts
            .iter()
            .filter(|(verdict, _)| verdict.iter().all(|segment| segments.contains(segment)))
            .filter_map(|(_, term)| (term.since + VERDICT_TTL).checked_sub(now))
            .max()
            .filter(|left| !left.is_zero())
    }

    /// Returns whether a quarantined prompt may be sent to see whether the verdict holds, and counts
    /// it as sent if so. Only one gateway may ask.
    pub fn try_probe(&mut self, segments: &[u64], now: Duration) -> bool {
        let mut terms = self
            .verdicts
            .iter_mut()
            .filter(|(verdict, _)| verdict.iter().all(|segment| segments.contains(segment)))
            .map(|(_, term)| term)
            .peekable();
        if terms.peek().is_none() {
            return false;
        }
        let mut is_due = true;
        for term in terms {
            is_due &= now >= term.probe_at;
            if is_due {
                term.probe_at = now + now.saturating_sub(term.since);
            }
        }
        is_due
    }

    /// Returns whether a request that was interrupted may be sent again.
    pub fn allows_retry(&self, segments: &[u64], now: Duration) -> bool {
        if self.crashes.is_empty() {
            return true;
        }
        let tallies = self.tallies(now, now);
        segments.iter().all(|segment| {
            tallies
                .get(segment)
                .is_none_or(|tally| tally.crashes() < MIN_CRASHES_FOR_RETRY)
        })
    }

    /// Returns the segments that nothing clears of a crash at `at`.
    pub fn suspected(&self, segments: &[u64], at: Duration) -> Vec<u64> {
        segments
            .iter()
            .copied()
            .take(SEGMENT_LIMIT)
            .filter(|&segment| !self.is_cleared(segment, at))
            .collect()
    }

    /// Iterates over the segments of all verdicts.
    pub fn verdicts(&self) -> impl Iterator<Item = &[u64]> + '_ {
        self.verdicts.keys().map(Vec::as_slice)
    }

    /// Returns the upstreams that crashed under prompts which are quarantined.
    pub fn explained_upstreams(&self, now: Duration) -> HashSet<Index> {
        let is_explained = |crash: &&Crash| {
            let mut requests = crash.requests.iter();
            requests.any(|request| self.quarantined_for(&request.segments, now).is_some())
        };
        let explained = self.crashes.iter().filter(is_explained);
        explained.map(|crash| crash.upstream).collect()
    }

    /// Returns whether there is news for the other gateways.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns the number of crashes that are kept as evidence.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns what the other gateways are to be told, and marks it as told. A full notice repeats
    /// what is recent, and all verdicts; the other is empty without news.
    pub fn next_notice(&mut self, is_full: bool, now: Duration) -> Notice {
        if !std::mem::take(&mut self.has_news) && !is_full {
            return Notice::default();
        }
        let mut ids_left = NOTICE_SEGMENT_LIMIT;
        let mut crashes = Vec::new();
        let recent = self.crashes.iter().rev();
        for crash in recent.filter(|crash| now <= crash.at + REPEAT_TTL) {
            let requests: Vec<InterruptedRequest> = crash
                .own_requests
                .iter()
                .take_while(|request| {
                    let fits = request.segments.len() <= ids_left;
                    ids_left = ids_left.saturating_sub(request.segments.len());
                    fits
                })
                .cloned()
                .collect();
            if !requests.is_empty() && crashes.len() < NOTICE_LIMIT {
                crashes.push(CrashNotice {
                    upstream: crash.upstream,
                    age: now.saturating_sub(crash.at),
                    requests,
                });
            }
        }
        Notice {
            crashes,
            cleared: self
                .cleared
                .iter()
                .map(|(&segment, &at)| (segment, now.saturating_sub(at)))
                .take(NOTICE_LIMIT)
                .collect(),
            verdicts: self
                .verdicts
                .iter()
                .filter(|(_, term)| now + VERDICT_MARGIN < term.since + VERDICT_TTL)
                .map(|(segments, term)| Verdict {
                    segments: segments.clone(),
                    age: now.saturating_sub(term.since),
                })
                .take(NOTICE_LIMIT)
                .collect(),
        }
    }

    /// Forgets what no longer counts.
    pub fn remove_expired(&mut self, now: Duration) {
        self.crashes.retain(|crash| now < crash.at + EVIDENCE_TTL);
        self.verdicts
            .retain(|_, term| now < term.since + VERDICT_TTL);
        self.cleared.retain(|_, at| now < *at + REPEAT_TTL);
        self.progress
            .retain(|_, at| now < *at + EVIDENCE_TTL + PROGRESS_TTL);
    }

    fn is_cleared(&self, segment: u64, at: Duration) -> bool {
        self.progress
            .get(&segment)
            .is_some_and(|&progress| progress + PROGRESS_TTL >= at)
    }

    fn is_under_suspicion(&self, segment: u64) -> bool {
        let has = |segments: &[u64]| segments.contains(&segment);
        let mut interrupted = self.crashes.iter().flat_map(|crash| &crash.requests);
        interrupted.any(|request| has(&request.segments))
            || self.verdicts.keys().any(|verdict| has(verdict))
    }

    /// Tells the others of own progress that clears segments which they suspect.
    fn answer_suspicion(&mut self, segments: &[u64], at: Duration) {
        for &segment in segments {
            if let Some(&progress) = self.progress.get(&segment)
                && progress + PROGRESS_TTL >= at
                && self.cleared.insert(segment, progress).is_none()
            {
                self.has_news = true;
            }
        }
    }

    /// Records progress and withdraws the verdicts that it refutes.
    fn clear(&mut self, segment: u64, at: Duration) {
        if self.progress.len() >= PROGRESS_LIMIT && !self.progress.contains_key(&segment) {
            self.progress
                .retain(|_, progress| at < *progress + PROGRESS_TTL);
            if self.progress.len() >= PROGRESS_LIMIT {
                return;
            }
        }
        let progress = self.progress.entry(segment).or_default();
        *progress = at.max(*progress);
        let refuted: Vec<Vec<u64>> = self
            .verdicts
            .iter()
            .filter(|(segments, term)| {
                segments.contains(&segment) && term.since <= at + PROGRESS_TTL
            })
            .map(|(segments, _)| segments.clone())
            .collect();
        for mut segments in refuted {
            if let Some(term) = self.verdicts.remove(&segments) {
                segments.retain(|&other| other != segment);
                self.add_verdict(segments, term.since);
            }
        }
    }

    /// Returns the crash of an incarnation, which is added if it is new.
    fn crash(&mut self, upstream: Index, at: Duration) -> &mut Crash {
        let known = self.crashes.iter().position(|c| c.upstream == upstream);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= CRASH_LIMIT {
                self.crashes.pop_front();
            }
            self.evaluate_at.get_or_insert(at + REPORT_DELAY);
            self.crashes.push_back(Crash {
                upstream,
                at,
                requests: Vec::new(),
                own_requests: Vec::new(),
            });
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }

    fn add_verdict(&mut self, mut segments: Vec<u64>, since: Duration) {
        if segments.is_empty() || self.verdicts.len() >= VERDICT_LIMIT {
            return;
        }
        segments.sort_unstable();
        // The others' ages grow on their way, so a verdict that is known keeps its time.
        let known = self.verdicts.get(&segments);
        if known.is_none_or(|known| since >= known.since + VERDICT_TTL) {
            self.verdicts.insert(segments, Term::new(since));
            self.has_news = true;
        }
    }

    /// Reaches the verdicts that the evidence allows, the best supported one first: the crashes
    /// that it explains say nothing of other segments.
    fn evaluate(&mut self, now: Duration) {
        let needed = self.interruptions.needed_crashes();
        while self.verdicts.len() < VERDICT_LIMIT {
            let mut tallies = self.tallies(now.saturating_sub(REPORT_DELAY), now);
            let Some(best) = strongest(&tallies) else {
                break;
            };
            let Some(tally) = tallies.remove(&best) else {
                break;
            };
            let common = tally.common.as_deref().unwrap_or_default();
            // Others that were there each time explain the crashes as well, unless they come with
            // this one only.
            tallies.retain(|segment, _| !common.contains(segment));
            let rival = strongest(&tallies).and_then(|rival| tallies.get(&rival));
            let is_clear = rival.is_none_or(|rival| rival.crashes() < tally.crashes());
            if !tally.is_proven(needed, now) || !is_clear && tally.crashes() < MAX_CRASHES {
                break;
            }
            self.add_verdict(common.to_vec(), now);
        }
        let newest = self.crashes.iter().map(|crash| crash.at).max();
        self.evaluate_at = newest
            .filter(|&at| now < at + SETTLE_TIME)
            .map(|_| now + REPORT_DELAY);
    }

    /// Counts the crashes until `until` that no verdict explains, by segment.
    fn tallies(&self, until: Duration, now: Duration) -> HashMap<u64, Tally> {
        let mut tallies: HashMap<u64, Tally> = HashMap::default();
        let current = self.crashes.iter();
        for crash in current.filter(|crash| crash.at <= until && now < crash.at + EVIDENCE_TTL) {
            let mut requests = crash.requests.iter();
            if requests.any(|request| self.quarantined_for(&request.segments, now).is_some()) {
                continue;
            }
            for request in &crash.requests {
                let suspected = self.suspected(&request.segments, crash.at);
                for &segment in &suspected {
                    let tally = tallies.entry(segment).or_default();
                    if tally.crash_times.last() != Some(&crash.at) {
                        tally.crash_times.push(crash.at);
                    }
                    tally.requests.insert(request.request);
                    match &mut tally.common {
                        Some(common) => common.retain(|other| suspected.contains(other)),
                        None => tally.common = Some(suspected.clone()),
                    }
                }
            }
        }
        tallies
    }
}

/// Returns the segment with the most crashes. Of several, that which came with the most others makes
/// the narrowest verdict.
fn strongest(tallies: &HashMap<u64, Tally>) -> Option<u64> {
    let best = tallies.iter().max_by_key(|(segment, tally)| {
        let common = tally.common.as_ref().map_or(0, Vec::len);
        (tally.crashes(), common, **segment)
    });
    best.map(|(&segment, _)| segment)
}

/// Adds a request to a crash, unless it is known or there are too many.
fn add_request(crash: &mut Crash, interrupted: InterruptedRequest) {
    let mut requests = crash.requests.iter();
    let is_known = requests.any(|known| known.request == interrupted.request);
    if !is_known && crash.requests.len() < REQUEST_LIMIT {
        crash.requests.push(interrupted);
    }
}
