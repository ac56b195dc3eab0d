//! Decides which model versions serve a request: the cheapest plan whose expected quality meets the
//! request's target.
//!
//! Handles traffic in which cheap versions suffice for some requests and not for others. A plan is
//! one version, or a cascade in which a better version replaces a response with a low score. A
//! small share of the requests explores cheaper versions that have few scores.

use crate::config::VersionName;

use super::quality::Estimate;
use super::quality::ScoreHistory;

/// Least number of scores of the first version of a cascade.
const CASCADE_MIN_SCORES: f64 = 100.0;

/// Share of the direct plan's cost below which a cascade is worth its second step.
const CASCADE_MAX_COST: f64 = 0.95;

/// Candidates for a cascade's least accepted score, in tenths.
const THRESHOLDS: std::ops::RangeInclusive<usize> = 3..=9;

/// Share of the requests that explore a cheaper version with few scores.
pub const EXPLORE_SHARE: f64 = 0.02;

/// A version that could serve the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Name of the version.
    pub version: VersionName,
    /// Expected cost of this request on it.
    pub cost: f64,
    /// Estimate of its quality in the request's task class.
    pub quality: Estimate,
    /// Its scores in that class; `None` before the first one.
    pub history: Option<&'a ScoreHistory>,
}

/// Constraints and costs of one request.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Least mean quality, from 0 to 1.
    pub quality_target: f64,
    /// Whether the first response can be discarded: not if it is streamed to the caller, and not if
    /// the deadline leaves no time for a second one.
    pub may_cascade: bool,
    /// Cost of rating one response.
    pub rating_cost: f64,
    /// Whether the request may explore a cheaper version.
    pub may_explore: bool,
}

/// The versions that serve a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// One version.
    Direct(VersionName),
    /// A cheap version, and a better one if the score of its response is below `min_score`.
    Cascade {
        /// Version that runs first.
        first: VersionName,
        /// Version that runs if the first response is not accepted.
        fallback: VersionName,
        /// Least accepted score, from 0 to 1.
        min_score: f64,
    },
}

impl Plan {
    /// Returns the version that runs first.
    pub fn first(&self) -> &VersionName {
        match self {
            Self::Direct(version) | Self::Cascade { first: version, .. } => version,
        }
    }
}

/// A plan, and whether it explores. The response of an exploration must be rated, or the request
/// yields no score.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The versions that serve the request.
    pub plan: Plan,
    /// Whether the plan was selected to obtain a score.
    pub is_exploration: bool,
}

/// Selects a plan; `None` without a candidate. `draw` is uniform from 0 to 1.
pub fn select(
    candidates: &[Candidate<'_>],
    requirements: &Requirements,
    draw: f64,
) -> Option<Planned> {
    let direct =
        cheapest_meeting(candidates, requirements.quality_target).or_else(|| best(candidates))?;
    if requirements.may_explore
        && draw < EXPLORE_SHARE
        && let Some(unproven) = cheaper_unproven(candidates, direct, requirements.quality_target)
    {
        return Some(Planned {
            plan: Plan::Direct(unproven.version.clone()),
            is_exploration: true,
        });
    }
    if requirements.may_cascade
        && let Some(cascade) = cheapest_cascade(candidates, direct, requirements)
    {
        return Some(Planned {
            plan: cascade,
            is_exploration: false,
        });
    }
    Some(Planned {
        plan: Plan::Direct(direct.version.clone()),
        is_exploration: false,
    })
}

fn cheapest<'c, 'a>(
    candidates: impl Iterator<Item = &'c Candidate<'a>>,
) -> Option<&'c Candidate<'a>>
where
    'a: 'c,
{
    candidates.min_by(|a, b| {
        a.cost
            .total_cmp(&b.cost)
            .then(b.quality.mean.total_cmp(&a.quality.mean))
    })
}

fn cheapest_meeting<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    target: f64,
) -> Option<&'c Candidate<'a>> {
    cheapest(
        candidates
            .iter()
            .filter(|c| c.quality.lower_bound >= target),
    )
}

/// Returns the version with the highest lower bound, which serves the request if no version is
/// known to meet the target.
fn best<'c, 'a>(candidates: &'c [Candidate<'a>]) -> Option<&'c Candidate<'a>> {
    candidates
        .iter()
        .max_by(|a, b| a.quality.lower_bound.total_cmp(&b.quality.lower_bound))
}

/// Returns the cheaper version with the fewest scores among those that may meet the target.
fn cheaper_unproven<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    direct: &Candidate<'a>,
    target: f64,
) -> Option<&'c Candidate<'a>> {
    candidates
        .iter()
        .filter(|c| c.cost < direct.cost && c.quality.upper_bound >= target)
        .min_by(|a, b| a.quality.score_count.total_cmp(&b.quality.score_count))
}

fn cheapest_cascade(
    candidates: &[Candidate<'_>],
    direct: &Candidate<'_>,
    requirements: &Requirements,
) -> Option<Plan> {
    let mut lowest: Option<(f64, Plan)> = None;
    for cheap in candidates {
        let Some(history) = cheap.history else {
            continue;
        };
        if cheap.cost >= direct.cost || cheap.quality.score_count < CASCADE_MIN_SCORES {
            continue;
        }
        for threshold in THRESHOLDS {
            let (accepted, mean) = history.tail(threshold);
            let quality = accepted * mean + (1.0 - accepted) * direct.quality.lower_bound;
            if quality < requirements.quality_target {
                continue;
            }
            let cost = cheap.cost + requirements.rating_cost + (1.0 - accepted) * direct.cost;
            let is_worth_it = cost < CASCADE_MAX_COST * direct.cost;
            if is_worth_it && lowest.as_ref().is_none_or(|(known, _)| cost < *known) {
                let plan = Plan::Cascade {
                    first: cheap.version.clone(),
                    fallback: direct.version.clone(),
                    min_score: threshold as f64 / 10.0,
                };
                lowest = Some((cost, plan));
            }
        }
    }
    lowest.map(|(_, plan)| plan)
}
