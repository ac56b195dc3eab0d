//! Estimates the quality of a model version in each task class from the scores of its responses.
//!
//! Handles versions with few scores, which get a wide confidence interval, and versions whose
//! quality drops. Scores are histograms with exponential decay over a long and a short window: the
//! long one gives a steady estimate, and the short one replaces it when the two differ
//! significantly.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;
use crate::config::VersionName;

/// Bins of a histogram of scores from 0 to 1.
const BINS: usize = 10;

/// Effective number of scores in the long window.
const LONG_WINDOW: f64 = 2000.0;

/// Effective number of scores in the short window.
const SHORT_WINDOW: f64 = 60.0;

/// Weight of the inventory's expected quality as a prior, in scores.
const PRIOR_WEIGHT: f64 = 8.0;

/// Variance of the prior.
const PRIOR_VARIANCE: f64 = 0.0625;

/// Half the width of the confidence interval, in standard errors.
const CONFIDENCE_Z: f64 = 1.64;

/// Difference between the short and the long window's mean above which the short one replaces it,
/// in standard errors of the short one.
const CHANGE_Z: f64 = 3.5;

/// Change of an estimate that is worth publishing.
const MIN_CHANGE: f64 = 0.01;

/// Prior with which two histories are compared.
const NEUTRAL_PRIOR: f64 = 0.5;

/// Most pairs of version and task class; scores of further pairs are ignored.
const ROW_LIMIT: usize = 4096;

/// A histogram with exponential decay.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Window {
    bins: [f32; BINS],
}

impl Window {
    fn add(&mut self, score: f64, memory: f64) {
        let decay = 1.0 - 1.0 / memory;
        for bin in &mut self.bins {
            *bin *= decay as f32;
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
    fn standard_error(&self) -> f64 {
        (self.variance / self.n).sqrt()
    }
}

/// Scores of one version in one task class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ScoreHistory {
    long: Window,
    short: Window,
    /// Number of scores recorded, including those that have decayed.
    pub total: u64,
}

/// An estimate of a version's quality, with a confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Mean score.
    pub mean: f64,
    /// Lower end of the confidence interval, which decisions use.
    pub lower_bound: f64,
    /// Upper end of the confidence interval.
    pub upper_bound: f64,
    /// Effective number of scores behind the estimate, after decay.
    pub score_count: f64,
}

impl Estimate {
    /// Returns the estimate without any score.
    pub fn prior(expected: f64) -> Self {
        ScoreHistory::default().estimate(expected)
    }
}

impl ScoreHistory {
    fn add(&mut self, score: f64) {
        self.long.add(score, LONG_WINDOW);
        self.short.add(score, SHORT_WINDOW);
        self.total += 1;
    }

    /// Returns the estimate, with the inventory's expected quality as the prior.
    pub fn estimate(&self, expected: f64) -> Estimate {
        let long = self.long.moments(expected, PRIOR_WEIGHT);
        let short = self.short.moments(long.mean, 1.0);
        let has_changed = self.short.count() >= SHORT_WINDOW / 3.0
            && (short.mean - long.mean).abs() > CHANGE_Z * short.standard_error();
        let moments = if has_changed { short } else { long };
        let margin = CONFIDENCE_Z * moments.standard_error();
        Estimate {
            mean: moments.mean,
            lower_bound: moments.mean - margin,
            upper_bound: moments.mean + margin,
            score_count: moments.n - PRIOR_WEIGHT,
        }
    }

    /// Returns whether the estimate differs enough from `other`'s to change a decision.
    pub fn differs_noticeably(&self, other: &Self) -> bool {
        let (a, b) = (self.estimate(NEUTRAL_PRIOR), other.estimate(NEUTRAL_PRIOR));
        (a.mean - b.mean).abs() > MIN_CHANGE || (a.lower_bound - b.lower_bound).abs() > MIN_CHANGE
    }

    /// Returns the share of the scores that are at least `bin` tenths, and the mean of those.
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

/// Score histories by version and task class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QualityTable {
    rows: BTreeMap<(VersionName, Name), ScoreHistory>,
}

impl QualityTable {
    /// Records a score from 0 to 1.
    pub fn record(&mut self, version: &VersionName, class: &Name, score: f64) {
        let key = (version.clone(), class.clone());
        if self.rows.len() >= ROW_LIMIT && !self.rows.contains_key(&key) {
            return;
        }
        self.rows.entry(key).or_default().add(score);
    }

    /// Returns the scores of a version in a class; `None` before the first one.
    pub fn history(&self, version: &VersionName, class: &Name) -> Option<&ScoreHistory> {
        self.rows.get(&(version.clone(), class.clone()))
    }

    /// Returns the estimate for a version in a class, with the inventory's expected quality as the
    /// prior.
    pub fn estimate(&self, version: &VersionName, class: &Name, expected: f64) -> Estimate {
        self.history(version, class)
            .map_or_else(|| Estimate::prior(expected), |row| row.estimate(expected))
    }

    /// Inserts or replaces a history that a state replica has published.
    pub fn insert(&mut self, version: VersionName, class: Name, history: ScoreHistory) {
        self.rows.insert((version, class), history);
    }

    /// Iterates over all histories, in the order of version and class.
    pub fn iter(&self) -> impl Iterator<Item = (&VersionName, &Name, &ScoreHistory)> + '_ {
        self.rows
            .iter()
            .map(|((version, class), row)| (version, class, row))
    }

    /// Returns the number of scores recorded.
    pub fn total(&self) -> u64 {
        self.rows.values().map(|row| row.total).sum()
    }
}
