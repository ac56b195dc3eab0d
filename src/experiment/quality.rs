//! Cost at the quality target: the planner learns while it serves; the oracle knows.

use crate::collections::Name;
use crate::config::VersionName;
use crate::policy::plan;
use crate::policy::plan::Candidate;
use crate::policy::plan::Plan;
use crate::policy::plan::Requirements;
use crate::policy::quality::QualityTable;

use super::model;
use super::table::Table;

/// Scores after which costs are compared.
const WARM_SCORES: u64 = 2000;

/// Requests that are measured then.
const MEASURED: usize = 30_000;

/// Requests of one window in which the target must be met.
const WINDOW: usize = 1000;

/// Share of answers that are rated beside those that a cascade rates.
const RATING_SHARE: f64 = 0.1;

/// Share of requests whose answer is streamed: no cascade for them.
const STREAMED: f64 = 0.3;

/// Cost of one rating.
const RATING_COST: f64 = 0.1;

/// How much a version that turns bad loses.
const TURNED: f64 = 0.35;

/// A version: its cost a request, what the inventory expects, and its true means by class.
struct Model {
    name: &'static str,
    cost: f64,
    expected: f64,
    means: [f64; 3],
}

/// Costs are in the ratio of small, middling and large models; each class has another cheapest
/// version that will do.
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

/// Least mean quality asked for.
const TARGET: f64 = 0.8;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Ours,
    Oracle,
    RoundRobin,
    Cheapest,
    Best,
    StaticSplit,
}

const POLICIES: [(&str, Policy); 6] = [
    ("daisyquay", Policy::Ours),
    ("oracle", Policy::Oracle),
    ("round robin", Policy::RoundRobin),
    ("always cheapest", Policy::Cheapest),
    ("always best", Policy::Best),
    ("static split", Policy::StaticSplit),
];

/// Runs all policies on the same arrivals.
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
        table.add("three classes", name, seeds, |seed| measure(policy, seed));
    }
    table
}

struct World {
    rng: fastrand::Rng,
    quality: QualityTable,
    names: Vec<VersionName>,
    classes: Vec<Name>,
    means: [[f64; 3]; 3],
    count: usize,
}

struct Served {
    cost: f64,
    quality: f64,
    by_turned: bool,
}

fn measure(policy: Policy, seed: u64) -> Vec<f64> {
    let mut world = World {
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
    while policy == Policy::Ours && world.quality.total() < WARM_SCORES {
        world.serve(policy, None);
    }
    let (mut cost, mut quality, mut met) = (0.0, 0.0, 0);
    for _ in 0..MEASURED / WINDOW {
        // Each class of a window must meet the target: a mean over all of them would let good
        // tags pay for bad notes.
        let mut sums = [(0.0, 0.0); CLASSES.len()];
        for _ in 0..WINDOW {
            let class = world.rng.usize(..CLASSES.len());
            let served = world.serve(policy, Some(class));
            cost += served.cost;
            quality += served.quality;
            sums[class].0 += served.quality;
            sums[class].1 += 1.0;
        }
        met += sums
            .iter()
            .filter(|(sum, count)| sum / count >= TARGET)
            .count();
    }
    // The cheapest version of the first class turns bad: how many of that class does it still get?
    world.means[0][0] -= TURNED;
    let mut exposed = 0;
    for _ in 0..MEASURED {
        exposed += usize::from(world.serve(policy, Some(0)).by_turned);
    }
    let requests = MEASURED as f64;
    let windows = (MEASURED / WINDOW * CLASSES.len()) as f64;
    vec![
        cost / requests,
        quality / requests,
        met as f64 / windows,
        exposed as f64,
    ]
}

impl World {
    fn serve(&mut self, policy: Policy, class: Option<usize>) -> Served {
        self.count += 1;
        let class = class.unwrap_or_else(|| self.rng.usize(..CLASSES.len()));
        let streamed = self.rng.f64() < STREAMED;
        let draw = self.rng.f64();
        match policy {
            Policy::Ours => self.ours(class, streamed, draw),
            Policy::Oracle => self.oracle(class),
            Policy::RoundRobin => self.by(self.count % 3, class),
            Policy::Cheapest => self.by(0, class),
            Policy::Best => self.by(2, class),
            Policy::StaticSplit => {
                let version = [0.3, 0.7, 1.0].iter().position(|&upto| draw < upto);
                self.by(version.unwrap_or(2), class)
            }
        }
    }

    fn by(&mut self, version: usize, class: usize) -> Served {
        Served {
            cost: MODELS[version].cost,
            quality: self.means[version][class],
            by_turned: version == 0 && class == 0,
        }
    }

    /// The cheapest version that truly meets the target.
    fn oracle(&mut self, class: usize) -> Served {
        let good = (0..3).find(|&version| self.means[version][class] >= TARGET);
        self.by(good.unwrap_or(2), class)
    }

    fn ours(&mut self, class: usize, streamed: bool, draw: f64) -> Served {
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
        let ask = Requirements {
            quality_target: TARGET,
            may_cascade: !streamed,
            rating_cost: RATING_COST,
            may_explore: true,
        };
        let planned = plan::select(&candidates, &ask, draw);
        let explores = planned
            .as_ref()
            .is_some_and(|planned| planned.is_exploration);
        match planned.map(|planned| planned.plan) {
            Some(Plan::Cascade {
                first,
                fallback: then,
                min_score: accept,
            }) => self.cascade(class, &first, &then, accept),
            Some(Plan::Direct(version)) => {
                let version = self.index(&version);
                let served = self.by(version, class);
                if explores || self.rng.f64() < RATING_SHARE {
                    self.rate(version, class);
                }
                served
            }
            None => self.by(2, class),
        }
    }

    fn cascade(
        &mut self,
        class: usize,
        first: &VersionName,
        then: &VersionName,
        accept: f64,
    ) -> Served {
        let (cheap, better) = (self.index(first), self.index(then));
        let score = self.rate(cheap, class);
        let mut served = self.by(cheap, class);
        served.cost += RATING_COST;
        served.quality = score;
        if score < accept {
            served.cost += MODELS[better].cost;
            served.quality = self.means[better][class];
        }
        served
    }

    fn rate(&mut self, version: usize, class: usize) -> f64 {
        let score = model::score(self.means[version][class], &mut self.rng);
        let (name, class) = (&self.names[version], &self.classes[class]);
        self.quality.record(name, class, score);
        score
    }

    fn index(&self, name: &VersionName) -> usize {
        self.names
            .iter()
            .position(|known| known == name)
            .unwrap_or(2)
    }
}
