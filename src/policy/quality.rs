//! What is known of a version's quality, per class of task.
//!
//! Scores are kept as histograms that age with each new score, over a long and a short window: the
//! long one gives a steady estimate, the short one notices a version that has turned bad.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;
use crate::config::VersionName;

/// Steps of the histogram over scores from 0 to 1.
const BINS: usize = 10;

/// Scores that the long window remembers.
const LONG: f64 = 2000.0;

/// Scores that the short window remembers.
const SHORT: f64 = 60.0;

/// Weight of the inventory's expectation, as if it were that many scores.
const PRIOR_WEIGHT: f64 = 8.0;

/// Variance given to the inventory's expectation.
const PRIOR_VARIANCE: f64 = 0.0625;

/// Standard errors below the mean at which a version's quality is taken to be.
const CAUTION: f64 = 1.64;

/// Standard errors by which the short window must fall below the long one to be believed instead.
const TURNED: f64 = 3.5;

/// Change of an estimate that is worth telling.
const NOTICEABLE: f64 = 0.01;

/// Expectation with which two rows are compared.
const NEUTRAL: f64 = 0.5;

/// Classes and versions that are kept.
const ROW_LIMIT: usize = 4096;

/// A histogram that forgets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Window {
    bins: [f32; BINS],
}

impl Window {
    fn add(&mut self, score: f64, memory: f64) {
        let keep = 1.0 - 1.0 / memory;
        for bin in &mut self.bins {
            *bin *= keep as f32;
        }
        let at = ((score * BINS as f64) as usize).min(BINS - 1);
        self.bins[at] += 1.0;
    }

    fn count(&self) -> f64 {
        self.bins.iter().map(|&n| f64::from(n)).sum()
    }

    fn moments(&self, prior: f64, weight: f64) -> Moments {
        let mut n = weight;
        let mut sum = weight * prior;
        let mut squares = weight * (prior * prior + PRIOR_VARIANCE);
        for (i, &count) in self.bins.iter().enumerate() {
            let middle = (i as f64 + 0.5) / BINS as f64;
            n += f64::from(count);
            sum += f64::from(count) * middle;
            squares += f64::from(count) * middle * middle;
        }
        let mean = sum / n;
        let variance = (squares / n - mean * mean).max(1e-4);
        Moments { n, mean, variance }
    }
}

struct Moments {
    n: f64,
    mean: f64,
    variance: f64,
}

impl Moments {
    fn error(&self) -> f64 {
        (self.variance / self.n).sqrt()
    }
}

/// Scores of one version in one class of task.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ScoreHistory {
    long: Window,
    short: Window,
    /// Scores ever taken.
    pub total: u64,
}

/// What is believed of a version's quality.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Mean score.
    pub mean: f64,
    /// Mean less a margin for little evidence; decisions rest on this.
    pub lower_bound: f64,
    /// Mean plus the same margin.
    pub upper_bound: f64,
    /// Scores that it rests on, as far as they are remembered.
    pub score_count: f64,
}

impl Estimate {
    /// What is believed before any score is in.
    pub fn prior(expected: f64) -> Self {
        ScoreHistory::default().estimate(expected)
    }
}

impl ScoreHistory {
    fn add(&mut self, score: f64) {
        self.long.add(score, LONG);
        self.short.add(score, SHORT);
        self.total += 1;
    }

    /// The estimate, given the inventory's expectation.
    pub fn estimate(&self, expected: f64) -> Estimate {
        let long = self.long.moments(expected, PRIOR_WEIGHT);
        let short = self.short.moments(long.mean, 1.0);
        let turned = self.short.count() >= SHORT / 3.0
            && (short.mean - long.mean).abs() > TURNED * short.error();
        let moments = if turned { short } else { long };
        let margin = CAUTION * moments.error();
        Estimate {
            mean: moments.mean,
            lower_bound: moments.mean - margin,
            upper_bound: moments.mean + margin,
            score_count: moments.n - PRIOR_WEIGHT,
        }
    }

    /// Whether the estimate differs enough from `other`'s to change a decision.
    pub fn differs_noticeably(&self, other: &Self) -> bool {
        let (a, b) = (self.estimate(NEUTRAL), other.estimate(NEUTRAL));
        (a.mean - b.mean).abs() > NOTICEABLE || (a.lower_bound - b.lower_bound).abs() > NOTICEABLE
    }

    /// Share of scores of at least `bin` tenths, and their mean.
    pub fn tail(&self, bin: usize) -> (f64, f64) {
        let mut n = 0.0;
        let mut sum = 0.0;
        for (i, &count) in self.long.bins.iter().enumerate().skip(bin) {
            n += f64::from(count);
            sum += f64::from(count) * (i as f64 + 0.5) / BINS as f64;
        }
        let total = self.long.count();
        if n <= 0.0 || total <= 0.0 {
            return (0.0, 0.0);
        }
        (n / total, sum / n)
    }
}

/// Scores by version and class of task.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QualityTable {
    rows: BTreeMap<(VersionName, Name), ScoreHistory>,
}

impl QualityTable {
    /// Takes a score from 0 to 1.
    pub fn record(&mut self, version: &VersionName, class: &Name, score: f64) {
        let slot = (version.clone(), class.clone());
        if self.rows.len() >= ROW_LIMIT && !self.rows.contains_key(&slot) {
            return;
        }
        self.rows.entry(slot).or_default().add(score);
    }

    /// The scores of a version in a class.
    pub fn history(&self, version: &VersionName, class: &Name) -> Option<&ScoreHistory> {
        self.rows.get(&(version.clone(), class.clone()))
    }

    /// The estimate for a version in a class, given the inventory's expectation.
    pub fn estimate(&self, version: &VersionName, class: &Name, expected: f64) -> Estimate {
        self.history(version, class)
            .map_or_else(|| Estimate::prior(expected), |row| row.estimate(expected))
    }

    /// Puts a row that another process has counted in place.
    pub fn insert(&mut self, version: VersionName, class: Name, row: ScoreHistory) {
        self.rows.insert((version, class), row);
    }

    /// All rows.
    pub fn iter(&self) -> impl Iterator<Item = (&VersionName, &Name, &ScoreHistory)> + '_ {
        self.rows
            .iter()
            .map(|((version, class), row)| (version, class, row))
    }

    /// Scores ever taken.
    pub fn total(&self) -> u64 {
        self.rows.values().map(|row| row.total).sum()
    }
}
