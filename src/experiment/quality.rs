//! Cost of requests at a quality target. The planner learns the quality of versions while it serves
//! requests; the oracle knows it.

use crate::collections::Name;
use crate::config::VersionName;
use crate::policy::plan;
use crate::policy::plan::Candidate;
use crate::policy::plan::Plan;
use crate::policy::plan::Requirements;
use crate::policy::quality::QualityTable;

use super::model;
use super::table::Table;

/// Scores that the planner collects before anything is measured.
const WARM_UP_SCORES: u64 = 2000;

/// Requests that are measured, before the quality drop and again after it.
const MEASURED_REQUESTS: usize = 30_000;

/// Requests of one window, over which the mean quality of each class is compared with the target.
const WINDOW_REQUESTS: usize = 1000;

/// Share of direct responses that are rated. Exploratory responses and the first response of a
/// cascade are always rated.
const RATING_SHARE: f64 = 0.1;

/// Share of requests with a streamed response, which can't use a cascade.
const STREAMED_SHARE: f64 = 0.3;

/// Cost of one rating.
const RATING_COST: f64 = 0.1;

/// Amount by which the mean score of the degraded version drops.
const QUALITY_DROP: f64 = 0.35;

/// A model version.
struct Model {
    name: &'static str,
    /// Cost of one request.
    cost: f64,
    /// Mean score that the inventory states.
    expected: f64,
    /// True mean score for each class.
    means: [f64; 3],
}

/// The costs have the ratio of small, medium and large models. Each class has a different cheapest
/// version that meets the target.
const MODELS: [Model; 3] = [
    Model {
        name: "m@small",
        cost: 1.0,
        expected: 0.75,
        means: [0.84, 0.70, 0.55],
    },
    Model {
        name: "m@medium",
        cost: 3.0,
        expected: 0.85,
        means: [0.88, 0.85, 0.72],
    },
    Model {
        name: "m@large",
        cost: 10.0,
        expected: 0.9,
        means: [0.93, 0.92, 0.90],
    },
];

const CLASSES: [&str; 3] = ["tag", "answer", "note"];

/// Mean quality that is required.
const QUALITY_TARGET: f64 = 0.8;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Daisyquay,
    Oracle,
    RoundRobin,
    Cheapest,
    Best,
    StaticSplit,
}

const POLICIES: [(&str, Policy); 6] = [
    ("daisyquay", Policy::Daisyquay),
    ("oracle", Policy::Oracle),
    ("round robin", Policy::RoundRobin),
    ("always cheapest", Policy::Cheapest),
    ("always best", Policy::Best),
    ("static split", Policy::StaticSplit),
];

/// Runs all policies, with the same random seeds for each of them.
pub(super) fn run(seeds: u64) -> Table {
    let mut table = Table {
        columns: vec![
            "cost/request",
            "mean quality",
            "class windows at target",
            "exposed after a turn",
        ],
        rows: Vec::new(),
    };
    for (name, policy) in POLICIES {
        table.add_row("three classes", name, seeds, |seed| measure(policy, seed));
    }
    table
}

struct Simulation {
    rng: fastrand::Rng,
    quality: QualityTable,
    names: Vec<VersionName>,
    classes: Vec<Name>,
    means: [[f64; 3]; 3],
    count: usize,
}

/// The cost and quality of one response.
struct Response {
    cost: f64,
    quality: f64,
    /// Whether it came from the version and for the class whose quality drops.
    is_exposed: bool,
}

fn measure(policy: Policy, seed: u64) -> Vec<f64> {
    let mut simulation = Simulation {
        rng: fastrand::Rng::with_seed(seed),
        quality: QualityTable::default(),
        names: MODELS
            .iter()
            .filter_map(|model| model.name.parse().ok())
            .collect(),
        classes: CLASSES.iter().map(|&class| class.into()).collect(),
        means: MODELS.map(|model| model.means),
        count: 0,
    };
    while policy == Policy::Daisyquay && simulation.quality.total() < WARM_UP_SCORES {
        simulation.serve(policy, None);
    }
    let (mut cost, mut quality, mut windows_at_target) = (0.0, 0.0, 0);
    for _ in 0..MEASURED_REQUESTS / WINDOW_REQUESTS {
        // Each class must meet the target on its own: a mean over all classes would let good tags
        // make up for bad notes.
        let mut sums = [(0.0, 0.0); CLASSES.len()];
        for _ in 0..WINDOW_REQUESTS {
            let class = simulation.rng.usize(..CLASSES.len());
            let response = simulation.serve(policy, Some(class));
            cost += response.cost;
            quality += response.quality;
            sums[class].0 += response.quality;
            sums[class].1 += 1.0;
        }
        windows_at_target += sums
            .iter()
            .filter(|(sum, count)| sum / count >= QUALITY_TARGET)
            .count();
    }
    // The quality of the cheapest version drops for the first class. Counts the requests of that
    // class that the version still gets.
    simulation.means[0][0] -= QUALITY_DROP;
    let mut exposed = 0;
    for _ in 0..MEASURED_REQUESTS {
        exposed += usize::from(simulation.serve(policy, Some(0)).is_exposed);
    }
    let requests = MEASURED_REQUESTS as f64;
    let windows = (MEASURED_REQUESTS / WINDOW_REQUESTS * CLASSES.len()) as f64;
    vec![
        cost / requests,
        quality / requests,
        windows_at_target as f64 / windows,
        exposed as f64,
    ]
}

impl Simulation {
    /// Serves one request of `class`, or of a random class if it is `None`.
    fn serve(&mut self, policy: Policy, class: Option<usize>) -> Response {
        self.count += 1;
        let class = class.unwrap_or_else(|| self.rng.usize(..CLASSES.len()));
        let streamed = self.rng.f64() < STREAMED_SHARE;
        let draw = self.rng.f64();
        match policy {
            Policy::Daisyquay => self.serve_by_plan(class, streamed, draw),
            Policy::Oracle => self.serve_by_oracle(class),
            Policy::RoundRobin => self.serve_from(self.count % 3, class),
            Policy::Cheapest => self.serve_from(0, class),
            Policy::Best => self.serve_from(2, class),
            Policy::StaticSplit => {
                let version = [0.3, 0.7, 1.0].iter().position(|&limit| draw < limit);
                self.serve_from(version.unwrap_or(2), class)
            }
        }
    }

    /// Serves a request from the version with this index in [`MODELS`].
    fn serve_from(&mut self, version: usize, class: usize) -> Response {
        Response {
            cost: MODELS[version].cost,
            quality: self.means[version][class],
            is_exposed: version == 0 && class == 0,
        }
    }

    /// Serves a request from the cheapest version whose true mean meets the target.
    fn serve_by_oracle(&mut self, class: usize) -> Response {
        let cheapest = (0..3).find(|&version| self.means[version][class] >= QUALITY_TARGET);
        self.serve_from(cheapest.unwrap_or(2), class)
    }

    /// Serves a request by the planner's choice.
    fn serve_by_plan(&mut self, class: usize, streamed: bool, draw: f64) -> Response {
        let name = self.classes[class].clone();
        let candidates: Vec<Candidate<'_>> = (0..3)
            .map(|i| Candidate {
                version: self.names[i].clone(),
                cost: MODELS[i].cost,
                quality: self
                    .quality
                    .estimate(&self.names[i], &name, MODELS[i].expected),
                history: self.quality.history(&self.names[i], &name),
            })
            .collect();
        let requirements = Requirements {
            quality_target: QUALITY_TARGET,
            may_cascade: !streamed,
            rating_cost: RATING_COST,
            may_explore: true,
        };
        let planned = plan::select(&candidates, &requirements, draw);
        let is_exploration = planned
            .as_ref()
            .is_some_and(|planned| planned.is_exploration);
        match planned.map(|planned| planned.plan) {
            Some(Plan::Cascade {
                first,
                fallback,
                min_score,
            }) => self.serve_by_cascade(class, &first, &fallback, min_score),
            Some(Plan::Direct(version)) => {
                let version = self.index(&version);
                let response = self.serve_from(version, class);
                if is_exploration || self.rng.f64() < RATING_SHARE {
                    self.rate(version, class);
                }
                response
            }
            None => self.serve_from(2, class),
        }
    }

    /// Serves a request from `first` and, if that response scores below `min_score`, from
    /// `fallback`.
    fn serve_by_cascade(
        &mut self,
        class: usize,
        first: &VersionName,
        fallback: &VersionName,
        min_score: f64,
    ) -> Response {
        let (first, fallback) = (self.index(first), self.index(fallback));
        let score = self.rate(first, class);
        let mut response = self.serve_from(first, class);
        response.cost += RATING_COST;
        response.quality = score;
        if score < min_score {
            response.cost += MODELS[fallback].cost;
            response.quality = self.means[fallback][class];
        }
        response
    }

    /// Draws a score for a response, records it and returns it.
    fn rate(&mut self, version: usize, class: usize) -> f64 {
        let score = model::draw_score(self.means[version][class], &mut self.rng);
        let (name, class) = (&self.names[version], &self.classes[class]);
        self.quality.record(name, class, score);
        score
    }

    /// Returns the index of a version in [`MODELS`].
    fn index(&self, name: &VersionName) -> usize {
        self.names
            .iter()
            .position(|known| known == name)
            .unwrap_or(2)
    }
}
