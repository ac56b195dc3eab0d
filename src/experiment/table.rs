//! Rows of figures with their spread over the seeds.

use std::fmt::Write;

/// A figure over several runs.
#[derive(Clone, Debug)]
pub(super) struct Figure {
    sorted: Vec<f64>,
}

impl Figure {
    /// Figures of all runs, in any order.
    pub(super) fn new(mut runs: Vec<f64>) -> Self {
        runs.sort_by(f64::total_cmp);
        Self { sorted: runs }
    }

    pub(super) fn median(&self) -> f64 {
        self.sorted
            .get(self.sorted.len() / 2)
            .copied()
            .unwrap_or(f64::NAN)
    }

    fn least(&self) -> f64 {
        self.sorted.first().copied().unwrap_or(f64::NAN)
    }

    fn most(&self) -> f64 {
        self.sorted.last().copied().unwrap_or(f64::NAN)
    }
}

/// A row: what was run, and its figures in the order of the table's columns.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) scene: String,
    pub(super) policy: String,
    pub(super) figures: Vec<Figure>,
}

/// A table.
#[derive(Clone, Debug)]
pub(super) struct Table {
    pub(super) columns: Vec<&'static str>,
    pub(super) rows: Vec<Row>,
}

impl Table {
    /// Runs `run` for each seed and adds the figures as one row.
    pub(super) fn add(
        &mut self,
        scene: &str,
        policy: &str,
        seeds: u64,
        run: impl Fn(u64) -> Vec<f64>,
    ) {
        let runs: Vec<Vec<f64>> = (1..=seeds).map(run).collect();
        let figures = (0..self.columns.len())
            .map(|i| Figure::new(runs.iter().map(|run| run[i]).collect()))
            .collect();
        self.rows.push(Row {
            scene: scene.to_owned(),
            policy: policy.to_owned(),
            figures,
        });
    }

    /// For people: medians, with the least and the most in brackets.
    pub(super) fn text(&self) -> String {
        let mut text = format!("{:<26}{:<16}", "scene", "policy");
        for column in &self.columns {
            let _ = write!(text, "{column:>26}");
        }
        text.push('\n');
        for row in &self.rows {
            let _ = write!(text, "{:<26}{:<16}", row.scene, row.policy);
            for figure in &row.figures {
                let cell = format!(
                    "{} [{}, {}]",
                    short(figure.median()),
                    short(figure.least()),
                    short(figure.most())
                );
                let _ = write!(text, "{cell:>26}");
            }
            text.push('\n');
        }
        text
    }

    /// For programs: one line a figure.
    pub(super) fn csv(&self) -> String {
        let mut text = "scene,policy,figure,median,least,most\n".to_owned();
        for row in &self.rows {
            for (column, figure) in self.columns.iter().zip(&row.figures) {
                let _ = writeln!(
                    text,
                    "{},{},{column},{},{},{}",
                    row.scene,
                    row.policy,
                    figure.median(),
                    figure.least(),
                    figure.most()
                );
            }
        }
        text
    }
}

fn short(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
