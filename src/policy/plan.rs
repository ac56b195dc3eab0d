//! Which version serves a request: the cheapest plan whose quality meets the target.

use crate::config::VersionName;

use super::quality::Estimate;
use super::quality::ScoreHistory;

/// Scores of the cheap version that a cascade rests on, at least.
const CASCADE_EVIDENCE: f64 = 100.0;

/// Share of the direct plan's cost that a cascade must stay under to be worth its second step.
const CASCADE_GAIN: f64 = 0.95;

/// Thresholds that a cascade may accept at, in tenths of a score.
const THRESHOLDS: std::ops::RangeInclusive<usize> = 3..=9;

/// Share of requests that try a cheaper version of which too little is known.
pub const EXPLORE_SHARE: f64 = 0.02;

/// A version that could serve the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Version.
    pub version: VersionName,
    /// Expected cost of this request on it.
    pub cost: f64,
    /// What is believed of its quality for this class of task.
    pub quality: Estimate,
    /// Its scores, where there are any.
    pub history: Option<&'a ScoreHistory>,
}

/// What the request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Least mean quality, 0 to 1.
    pub quality_target: f64,
    /// Whether a first answer could be thrown away: not once it has been streamed to the caller,
    /// and not where the deadline leaves no time for a second one.
    pub may_cascade: bool,
    /// Cost of rating one answer.
    pub rating_cost: f64,
    /// Whether the request may be used to learn about a cheaper version.
    pub may_explore: bool,
}

/// How a request is served.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// By one version.
    Direct(VersionName),
    /// By a cheap version, and by a better one where the rating is below `accept`.
    Cascade {
        /// Asked first.
        first: VersionName,
        /// Asked where the first answer is rated too low.
        fallback: VersionName,
        /// Least score that is accepted.
        min_score: f64,
    },
}

impl Plan {
    /// The version that is asked first.
    pub fn first(&self) -> &VersionName {
        match self {
            Self::Direct(version) | Self::Cascade { first: version, .. } => version,
        }
    }
}

/// A plan, and whether it was chosen to learn: then its answer must be rated, or nothing is learnt.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// How the request is served.
    pub plan: Plan,
    /// Whether it explores.
    pub is_exploration: bool,
}

/// Chooses a plan; `None` where there is no candidate. `draw` is uniform from 0 to 1.
pub fn select(candidates: &[Candidate<'_>], ask: &Requirements, draw: f64) -> Option<Planned> {
    let direct = cheapest_good(candidates, ask.quality_target).or_else(|| best(candidates))?;
    if ask.may_explore
        && draw < EXPLORE_SHARE
        && let Some(unknown) = cheaper_unknown(candidates, direct, ask.quality_target)
    {
        return Some(Planned {
            plan: Plan::Direct(unknown.version.clone()),
            is_exploration: true,
        });
    }
    if ask.may_cascade
        && let Some(cascade) = cheapest_cascade(candidates, direct, ask)
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

fn cheapest_good<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    target: f64,
) -> Option<&'c Candidate<'a>> {
    cheapest(
        candidates
            .iter()
            .filter(|c| c.quality.lower_bound >= target),
    )
}

/// Where nothing provably meets the target, the version believed best is the safe one.
fn best<'c, 'a>(candidates: &'c [Candidate<'a>]) -> Option<&'c Candidate<'a>> {
    candidates
        .iter()
        .max_by(|a, b| a.quality.lower_bound.total_cmp(&b.quality.lower_bound))
}

/// A cheaper version that may well meet the target, the one with the fewest scores first.
fn cheaper_unknown<'c, 'a>(
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
    ask: &Requirements,
) -> Option<Plan> {
    let mut found: Option<(f64, Plan)> = None;
    for cheap in candidates {
        let Some(row) = cheap.history else {
            continue;
        };
        if cheap.cost >= direct.cost || cheap.quality.score_count < CASCADE_EVIDENCE {
            continue;
        }
        for threshold in THRESHOLDS {
            let (share, mean) = row.tail(threshold);
            let quality = share * mean + (1.0 - share) * direct.quality.lower_bound;
            if quality < ask.quality_target {
                continue;
            }
            let cost = cheap.cost + ask.rating_cost + (1.0 - share) * direct.cost;
            let gains = cost < CASCADE_GAIN * direct.cost;
            if gains && found.as_ref().is_none_or(|(known, _)| cost < *known) {
                let plan = Plan::Cascade {
                    first: cheap.version.clone(),
                    fallback: direct.version.clone(),
                    min_score: threshold as f64 / 10.0,
                };
                found = Some((cost, plan));
            }
        }
    }
    found.map(|(_, plan)| plan)
}
