//! Learns how slow each upstream is relative to the other upstreams of its service.
//!
//! Handles upstreams that are permanently slower than others, and upstreams that are slowed down
//! for some hundred milliseconds by other work on their machine. The learned slowness comes from
//! response times and holds for minutes; the momentary slowness is reported by the upstream and
//! holds for [`MOMENTARY_TTL`]. One gateway sees too few responses of an upstream, so gateways
//! share both (see [`Notice`]).

use std::cmp::Reverse;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::Name;

/// Bounds of a slowness, learned or momentary, and of the ratio of one sample.
const MIN_SLOWNESS: f64 = 0.25;
const MAX_SLOWNESS: f64 = 4.0;

/// Learned slowness that counts as 1, so that services with equal upstreams are placed as usual.
const USUAL_SLOWNESS: std::ops::RangeInclusive<f64> = 0.87..=1.15;

/// Learned slowness above which an upstream is logged as slow, and below which a slow one is logged
/// as no longer slow. One sample more or less moves the value of an upstream with few by 0.1.
const SLOW_FACTOR: f64 = 1.5;
const NOT_SLOW_FACTOR: f64 = 1.25;

/// Largest difference of the logarithm of a sample from the mean that counts in full. One response
/// that is delayed by something else then hardly moves the mean.
const MAX_DEVIATION: f64 = 0.7;

/// Largest weight of one gateway's samples, in samples.
const MAX_WEIGHT: f64 = 31.0;

/// Time in which the weight of samples halves.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Weight of the assumption that an upstream is as fast as the median one, in samples.
const PRIOR_WEIGHT: f64 = 3.0;

/// Least weight, in samples, of an upstream that counts in a median. Those that have hardly any
/// samples say nothing about the usual speed.
const MIN_MEDIAN_WEIGHT: f64 = 1.0;

/// Age from which another gateway's row is ignored. Each is repeated at least every
/// [`REPEAT_INTERVAL`] while it has weight, but waits for its turn among the others.
const PEER_ROW_TTL: Duration = Duration::from_secs(40);

/// Maximum number of gateways whose rows are kept for one upstream; a new one replaces the oldest.
const MAX_PEER_ROWS: usize = 32;

/// Maximum number of upstreams in the table.
const MAX_UPSTREAMS: usize = 4_096;

/// Maximum number of services with a report time, and of baselines by service and route.
const MAX_BASELINES: usize = 512;

/// Age from which a momentary slowness is ignored. It changes several times a second.
pub const MOMENTARY_TTL: Duration = Duration::from_millis(500);

/// Time for which a report of momentary slowness shows that a service's upstreams send them.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Age from which a load report no longer tells whether a request finds a queue.
const QUEUE_REPORT_TTL: Duration = Duration::from_millis(500);

/// Factor by which a momentary slowness must differ from what other gateways know to be published.
const MOMENTARY_CHANGE: f64 = 1.5;

/// Minimum time between two updates that are sent only for momentary slowness, and the same per
/// other gateway: all gateways together send at most 125 a second, about 5 kB/s to each.
const MOMENTARY_INTERVAL: Duration = Duration::from_millis(250);
const MOMENTARY_INTERVAL_PER_PEER: Duration = Duration::from_millis(8);

/// Maximum number of rows of each kind in a [`Notice`].
pub const MAX_NOTICE_ROWS: usize = 8;

/// Maximum encoded size of a [`Notice`], in bytes: two rows of 9 + 1 + 1 bytes for each of
/// [`MAX_NOTICE_ROWS`], and two lengths. Numbers of upstreams usually take 3 bytes, so a notice
/// with all rows has about 82.
pub const MAX_NOTICE_BYTES: usize = 2 * MAX_NOTICE_ROWS * ROW_BYTES + 2;

/// Maximum encoded size of a row, in bytes.
const ROW_BYTES: usize = 11;

/// Time after which a learned row is published again without a change.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Least weight of a learned row that is published, in samples.
const MIN_PUBLISHED_WEIGHT: f64 = 1.0;

/// Weight that one unit of [`LearnedRow::weight`] stands for, in samples.
const WEIGHT_UNIT: f64 = 1.0 / 8.0;

/// Steps of [`LearnedRow::ratio`] and [`MomentaryRow::ratio`] in which a ratio doubles, and the
/// step that stands for 1.
const STEPS_PER_DOUBLING: f64 = 32.0;
const UNIT_STEP: f64 = 128.0;

/// Unit of [`MomentaryRow::age`].
const AGE_UNIT: Duration = Duration::from_millis(4);

/// Weight of the newest time in a baseline.
const BASELINE_SMOOTHING: f64 = 0.05;

/// Times before a baseline is used. The mean of fewer is mostly noise.
const BASELINE_MIN_SAMPLES: u32 = 5;

/// Requests that wait in an upstream's own queue, as its load reports before and after one of its
/// responses show them.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueReports {
    /// Waiting requests in the last report before the request was sent, and its age then.
    pub before: Option<(u32, Duration)>,
    /// Waiting requests in the report that came with the response.
    pub after: Option<u32>,
}

impl QueueReports {
    /// Returns whether the request may have waited in the queue. The time of its response is then
    /// no sample of the upstream's speed: the part that it waited is not known, and a correction
    /// by requests that came later would make a busy upstream look fast and get more requests.
    pub fn may_have_waited(&self) -> bool {
        let before = self.before.filter(|(_, age)| *age < QUEUE_REPORT_TTL);
        before.map_or(0, |(waiting, _)| waiting) > 0 || self.after.unwrap_or(0) > 0
    }
}

/// Slowness that one gateway has learned of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LearnedRow {
    /// Number of the upstream.
    pub upstream: Index,
    /// Mean ratio of observed to expected time, on a logarithmic scale.
    pub ratio: u8,
    /// Weight of the samples, in eighths of one.
    pub weight: u8,
}

/// Momentary slowness that an upstream reported to one gateway.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MomentaryRow {
    /// Number of the upstream.
    pub upstream: Index,
    /// Duration of work relative to the usual one, on a logarithmic scale.
    pub ratio: u8,
    /// Age of the report when it was published, in units of 4 ms.
    pub age: u8,
}

/// What one gateway tells the others. All values are absolute, so that a later notice makes up for
/// a lost one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Notice {
    /// Learned slowness, the longest unpublished rows first; only in full updates.
    pub learned: Vec<LearnedRow>,
    /// Momentary slowness that has changed noticeably.
    pub momentary: Vec<MomentaryRow>,
}

impl Notice {
    /// Returns whether the notice has no rows.
    pub fn is_empty(&self) -> bool {
        self.learned.is_empty() && self.momentary.is_empty()
    }

    /// Returns the number of rows of both kinds.
    pub fn row_count(&self) -> usize {
        self.learned.len() + self.momentary.len()
    }
}

/// Mean of the logarithms of the samples' ratios, and their weight at `at`.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    log: f64,
    weight: f64,
    at: Duration,
}

impl Mean {
    fn weight_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.weight * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Returns the slowness relative to a median, drawn towards 1 while the weight is small.
    fn relative_to(&self, median: Option<f64>) -> f64 {
        let share = self.weight / (self.weight + PRIOR_WEIGHT);
        significant(median.map_or(1.0, |median| ((self.log - median) * share).exp()))
    }

    fn add(&mut self, log: f64, now: Duration) {
        let weight = self.weight_at(now);
        let log = if weight < MIN_PUBLISHED_WEIGHT {
            log
        } else {
            log.clamp(self.log - MAX_DEVIATION, self.log + MAX_DEVIATION)
        };
        self.log = (self.log * weight + log) / (weight + 1.0);
        self.weight = (weight + 1.0).min(MAX_WEIGHT);
        self.at = now;
    }
}

#[derive(Clone, Copy, Debug)]
struct Momentary {
    slowness: f64,
    reported_at: Duration,
}

impl Momentary {
    /// Returns the slowness, weighted by age.
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        let freshness = 1.0 - age.as_secs_f64() / MOMENTARY_TTL.as_secs_f64();
        1.0 + (self.slowness - 1.0) * freshness.max(0.0)
    }
}

/// State of one upstream.
#[derive(Clone, Debug)]
struct Row {
    own: Mean,
    /// Means of other gateways, by their run id.
    peers: Vec<(u64, Mean)>,
    momentary: Option<Momentary>,
    /// Momentary slowness that the other gateways know.
    shared: Option<Momentary>,
    /// When the momentary slowness changed to one that is yet to be published.
    unpublished_since: Option<Duration>,
    /// The learned row that was published last, and when.
    published: Option<(LearnedRow, Duration)>,
    /// Learned slowness relative to the service and to the upstreams of the same release.
    slowness: f64,
    slowness_in_release: f64,
    /// Whether it was last reported as slow (see [`Change`]).
    is_slow: bool,
}

impl Default for Row {
    fn default() -> Self {
        Self {
            own: Mean::default(),
            peers: Vec::new(),
            momentary: None,
            shared: None,
            unpublished_since: None,
            published: None,
            slowness: 1.0,
            slowness_in_release: 1.0,
            is_slow: false,
        }
    }
}

impl Row {
    /// Returns the mean over all gateways.
    fn mean(&self, now: Duration) -> Mean {
        let live = |at: Duration| now <= at + PEER_ROW_TTL;
        let peers = self.peers.iter().map(|(_, mean)| mean);
        let all = peers.filter(|mean| live(mean.at)).chain([&self.own]);
        let (sum, weight) = all.fold((0.0, 0.0), |(sum, weight), mean| {
            let mean_weight = mean.weight_at(now);
            (sum + mean_weight * mean.log, weight + mean_weight)
        });
        let log = if weight > 0.0 { sum / weight } else { 0.0 };
        Mean {
            log,
            weight,
            at: now,
        }
    }
}

/// An upstream whose learned slowness has risen above 1.5 or then fallen below 1.25.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Number of the upstream.
    pub upstream: Index,
    /// Its learned slowness.
    pub slowness: f64,
    /// Whether it has risen above 1.5.
    pub is_slow: bool,
}

/// Learned slowness of the upstreams of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Of the fastest upstream.
    pub min: f64,
    /// Of the median upstream.
    pub median: f64,
    /// Of the slowest upstream.
    pub max: f64,
}

/// Slowness of all upstreams, by the number of their incarnation.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    rows: HashMap<Index, Row>,
    /// When an upstream of each service last reported its momentary slowness to this gateway.
    reported_at: HashMap<Name, Duration>,
    last_momentary_update: Option<Duration>,
}

impl Speeds {
    /// Returns the row of an upstream; `None` if the table is full.
    fn row(&mut self, upstream: Index) -> Option<&mut Row> {
        if self.rows.len() >= MAX_UPSTREAMS && !self.rows.contains_key(&upstream) {
            return None;
        }
        Some(self.rows.entry(upstream).or_default())
    }

    /// Records that a response took `observed`, where an upstream of usual speed would have taken
    /// `expected`.
    pub fn record_sample(
        &mut self,
        upstream: Index,
        observed: Duration,
        expected: Duration,
        now: Duration,
    ) {
        if observed.is_zero() || expected.is_zero() {
            return;
        }
        let ratio = observed.as_secs_f64() / expected.as_secs_f64();
        if let Some(row) = self.row(upstream) {
            row.own.add(clamp(ratio).ln(), now);
        }
    }

    /// Records the momentary slowness that an upstream of the service reported, in percent of the
    /// usual duration of work. Zero is not a duration and is ignored.
    pub fn record_momentary(
        &mut self,
        service: &Name,
        upstream: Index,
        percent: u32,
        now: Duration,
    ) {
        if percent == 0 {
            return;
        }
        if self.reported_at.len() < MAX_BASELINES || self.reported_at.contains_key(service) {
            self.reported_at.insert(service.clone(), now);
        }
        let Some(row) = self.row(upstream) else {
            return;
        };
        let slowness = clamp(f64::from(percent) / 100.0);
        let previous = row.momentary.replace(Momentary {
            slowness,
            reported_at: now,
        });
        let has_changed = |from: f64| (slowness / from).max(from / slowness) >= MOMENTARY_CHANGE;
        let changed_at = match row.unpublished_since {
            Some(since) if !previous.is_some_and(|previous| has_changed(previous.slowness)) => {
                since
            }
            _ => now,
        };
        let known = row.shared.map_or(1.0, |shared| shared.at(now));
        row.unpublished_since = has_changed(known).then_some(changed_at);
    }

    /// Returns whether upstreams of the service report their momentary slowness to this gateway.
    pub fn has_reports(&self, service: &Name, now: Duration) -> bool {
        self.reported_at
            .get(service)
            .is_some_and(|&at| now <= at + REPORT_TTL)
    }

    /// Returns the slowness of an upstream now: the learned one times the momentary one.
    pub fn slowness(&self, upstream: Index, now: Duration) -> f64 {
        self.rows.get(&upstream).map_or(1.0, |row| {
            let momentary = row.momentary.map_or(1.0, |momentary| momentary.at(now));
            row.slowness * momentary
        })
    }

    /// Returns the momentary slowness of an upstream now.
    pub fn momentary(&self, upstream: Index, now: Duration) -> f64 {
        let row = self.rows.get(&upstream);
        row.and_then(|row| row.momentary)
            .map_or(1.0, |momentary| momentary.at(now))
    }

    /// Returns the learned slowness of an upstream relative to its service.
    pub fn learned(&self, upstream: Index) -> f64 {
        self.rows.get(&upstream).map_or(1.0, |row| row.slowness)
    }

    /// Returns the learned slowness of an upstream relative to those of the same release, so that a
    /// release that is slow as a whole is not taken for one on slow machines.
    pub fn learned_in_release(&self, upstream: Index) -> f64 {
        let row = self.rows.get(&upstream);
        row.map_or(1.0, |row| row.slowness_in_release)
    }

    /// Returns what to publish now. Learned rows are part of full updates; momentary ones cause an
    /// update of their own only so often. `accepts` is whether the upstream's service takes part.
    pub fn notice(
        &mut self,
        is_full: bool,
        peer_count: usize,
        now: Duration,
        accepts: impl Fn(Index) -> bool,
    ) -> Notice {
        Notice {
            learned: if is_full {
                self.learned_rows(now, &accepts)
            } else {
                Vec::new()
            },
            momentary: self.momentary_rows(is_full, peer_count, now, &accepts),
        }
    }

    fn learned_rows(&mut self, now: Duration, accepts: &impl Fn(Index) -> bool) -> Vec<LearnedRow> {
        let rows = self.rows.iter();
        let mut due: Vec<(Option<Duration>, LearnedRow)> = rows
            .filter_map(|(&upstream, row)| {
                let weight = row.own.weight_at(now);
                if weight < MIN_PUBLISHED_WEIGHT || !accepts(upstream) {
                    return None;
                }
                let learned = LearnedRow {
                    upstream,
                    ratio: encode_ratio(row.own.log.exp()),
                    weight: (weight / WEIGHT_UNIT) as u8,
                };
                let is_due = row.published.is_none_or(|(published, at)| {
                    now >= at + REPEAT_INTERVAL || published.ratio.abs_diff(learned.ratio) > 2
                });
                is_due.then_some((row.published.map(|(_, at)| at), learned))
            })
            .collect();
        due.sort_unstable_by_key(|(at, row)| (*at, row.upstream));
        due.truncate(MAX_NOTICE_ROWS);
        for (_, learned) in &due {
            if let Some(row) = self.rows.get_mut(&learned.upstream) {
                row.published = Some((*learned, now));
            }
        }
        due.into_iter().map(|(_, row)| row).collect()
    }

    fn momentary_rows(
        &mut self,
        is_full: bool,
        peer_count: usize,
        now: Duration,
        accepts: &impl Fn(Index) -> bool,
    ) -> Vec<MomentaryRow> {
        let peers = u32::try_from(peer_count).unwrap_or(u32::MAX);
        let interval = MOMENTARY_INTERVAL.max(MOMENTARY_INTERVAL_PER_PEER.saturating_mul(peers));
        let is_due = self
            .last_momentary_update
            .is_none_or(|at| now >= at + interval);
        if !is_due && !is_full {
            return Vec::new();
        }
        let mut changed: Vec<(Duration, Index, Momentary)> = Vec::new();
        for (&upstream, row) in &mut self.rows {
            let Some((since, momentary)) = row.unpublished_since.zip(row.momentary) else {
                continue;
            };
            if accepts(upstream) && now < momentary.reported_at + MOMENTARY_TTL {
                changed.push((since, upstream, momentary));
            } else {
                row.unpublished_since = None;
            }
        }
        // The others wait for the next notice, and are left out when they are too old by then.
        changed.sort_unstable_by_key(|&(since, upstream, _)| (Reverse(since), upstream));
        changed.truncate(MAX_NOTICE_ROWS);
        let mut news = Vec::with_capacity(changed.len());
        for (_, upstream, momentary) in changed {
            if let Some(row) = self.rows.get_mut(&upstream) {
                row.unpublished_since = None;
                row.shared = Some(momentary);
            }
            let age = now.saturating_sub(momentary.reported_at);
            news.push(MomentaryRow {
                upstream,
                ratio: encode_ratio(momentary.slowness),
                age: u8::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u8::MAX),
            });
        }
        if !news.is_empty() {
            self.last_momentary_update = Some(now);
        }
        news
    }

    /// Applies a notice of another gateway's run. Rows beyond [`MAX_NOTICE_ROWS`] are ignored.
    pub fn apply(&mut self, run_id: u64, notice: &Notice, now: Duration) {
        for learned in notice.learned.iter().take(MAX_NOTICE_ROWS) {
            let Some(row) = self.row(learned.upstream) else {
                continue;
            };
            let mean = Mean {
                log: decode_ratio(learned.ratio).ln(),
                weight: (f64::from(learned.weight) * WEIGHT_UNIT).min(MAX_WEIGHT),
                at: now,
            };
            let peers = &mut row.peers;
            if let Some((_, known)) = peers.iter_mut().find(|(id, _)| *id == run_id) {
                *known = mean;
            } else if peers.len() < MAX_PEER_ROWS {
                peers.push((run_id, mean));
            } else if let Some(oldest) = peers.iter_mut().min_by_key(|(_, mean)| mean.at) {
                *oldest = (run_id, mean);
            }
        }
        for reported in notice.momentary.iter().take(MAX_NOTICE_ROWS) {
            let Some(row) = self.row(reported.upstream) else {
                continue;
            };
            let momentary = Momentary {
                slowness: decode_ratio(reported.ratio),
                reported_at: now.saturating_sub(AGE_UNIT * u32::from(reported.age)),
            };
            row.shared = Some(momentary);
            let is_newer = row
                .momentary
                .is_none_or(|known| known.reported_at < momentary.reported_at);
            if is_newer {
                row.momentary = Some(momentary);
                row.unpublished_since = None;
            }
        }
    }

    /// Removes the upstreams for which `keep` returns `false`, and old report times.
    pub fn retain(&mut self, now: Duration, keep: impl Fn(Index) -> bool) {
        self.rows.retain(|&upstream, _| keep(upstream));
        self.reported_at.retain(|_, at| now <= *at + REPORT_TTL);
    }

    /// Computes the learned slowness of the upstreams of one service again, given as the number of
    /// each and whether it runs the release that is being rolled out. Reports which have become
    /// slow or have recovered.
    pub fn refresh(
        &mut self,
        upstreams: &[(Index, bool)],
        now: Duration,
    ) -> (Vec<Change>, Option<Summary>) {
        let means: Vec<(Index, bool, Mean)> = upstreams
            .iter()
            .map(|&(upstream, is_new)| {
                let row = self.rows.get(&upstream);
                let mean = row.map_or_else(Mean::default, |row| row.mean(now));
                (upstream, is_new, mean)
            })
            .collect();
        let median_of = |accepts: &dyn Fn(bool) -> bool| {
            let counted = means
                .iter()
                .filter(|(_, is_new, mean)| accepts(*is_new) && mean.weight >= MIN_MEDIAN_WEIGHT);
            median(counted.map(|(.., mean)| mean.log).collect())
        };
        let median = median_of(&|_| true);
        let by_release = [median_of(&|is_new| !is_new), median_of(&|is_new| is_new)];
        let mut changes = Vec::new();
        let mut values = Vec::with_capacity(means.len());
        for (upstream, is_new, mean) in means {
            let slowness = mean.relative_to(median);
            values.push(slowness);
            let Some(row) = self.rows.get_mut(&upstream) else {
                continue;
            };
            let limit = if row.is_slow {
                NOT_SLOW_FACTOR
            } else {
                SLOW_FACTOR
            };
            let is_slow = slowness > limit;
            if std::mem::replace(&mut row.is_slow, is_slow) != is_slow {
                changes.push(Change {
                    upstream,
                    slowness,
                    is_slow,
                });
            }
            row.slowness = slowness;
            row.slowness_in_release = mean.relative_to(by_release[usize::from(is_new)]);
        }
        values.sort_unstable_by(f64::total_cmp);
        let summary = values
            .first()
            .zip(values.last())
            .map(|(&min, &max)| Summary {
                min,
                median: values[values.len() / 2],
                max,
            });
        (changes, summary)
    }
}

fn clamp(slowness: f64) -> f64 {
    slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
}

/// Returns a learned slowness within its bounds, and 1 if it differs too little from that.
fn significant(slowness: f64) -> f64 {
    if USUAL_SLOWNESS.contains(&slowness) {
        1.0
    } else {
        clamp(slowness)
    }
}

/// Returns the median; `None` of no values.
fn median(mut logs: Vec<f64>) -> Option<f64> {
    logs.sort_unstable_by(f64::total_cmp);
    let upper = *logs.get(logs.len() / 2)?;
    Some(f64::midpoint(logs[(logs.len() - 1) / 2], upper))
}

fn encode_ratio(ratio: f64) -> u8 {
    (UNIT_STEP + clamp(ratio).log2() * STEPS_PER_DOUBLING).round() as u8
}

fn decode_ratio(step: u8) -> f64 {
    clamp(((f64::from(step) - UNIT_STEP) / STEPS_PER_DOUBLING).exp2())
}

/// Usual response time of each route on each plain service, as one gateway observes it.
#[derive(Clone, Debug, Default)]
pub struct Baselines {
    by_route: HashMap<(Name, Name), (f64, u32)>,
}

impl Baselines {
    /// Records the response time on an upstream of usual speed.
    pub fn record(&mut self, service: &Name, route: &Name, time: Duration) {
        let key = (service.clone(), route.clone());
        if time.is_zero() {
            return;
        }
        if self.by_route.len() >= MAX_BASELINES && !self.by_route.contains_key(&key) {
            // Routes that are gone have filled the table; the others are learned again in seconds.
            self.by_route.clear();
        }
        let (mean, samples) = self.by_route.entry(key).or_default();
        *samples = samples.saturating_add(1);
        let smoothing = BASELINE_SMOOTHING.max(1.0 / f64::from(*samples));
        *mean += smoothing * (time.as_secs_f64().ln() - *mean);
    }

    /// Returns the geometric mean of the response times; `None` with too few of them.
    pub fn expected(&self, service: &Name, route: &Name) -> Option<Duration> {
        let (mean, samples) = self.by_route.get(&(service.clone(), route.clone()))?;
        if *samples < BASELINE_MIN_SAMPLES {
            return None;
        }
        Duration::try_from_secs_f64(mean.exp()).ok()
    }
}
