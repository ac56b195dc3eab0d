//! Tables of results with their median and range over the seeds.

use std::fmt::Write;

/// The values of one table cell over all seeds, sorted.
#[derive(Clone, Debug)]
pub(super) struct Figure {
    sorted: Vec<f64>,
}

impl Figure {
    /// Creates a figure from the values of all runs, in any order.
    pub(super) fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self { sorted: values }
    }

    /// Returns the median, the upper one of an even number of values; NaN without values.
    pub(super) fn median(&self) -> f64 {
        self.sorted
            .get(self.sorted.len() / 2)
            .copied()
            .unwrap_or(f64::NAN)
    }

    fn min(&self) -> f64 {
        self.sorted.first().copied().unwrap_or(f64::NAN)
    }

    fn max(&self) -> f64 {
        self.sorted.last().copied().unwrap_or(f64::NAN)
    }
}

/// One scene under one policy, with a figure for each column of the table.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) scene: String,
    pub(super) policy: String,
    pub(super) figures: Vec<Figure>,
}

/// The results of an experiment.
#[derive(Clone, Debug)]
pub(super) struct Table {
    pub(super) columns: Vec<&'static str>,
    pub(super) rows: Vec<Row>,
}

impl Table {
    /// Runs `run` once for each seed and adds the results as one row; `run` returns one value for
    /// each column.
    pub(super) fn add_row(
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

    /// Formats the table for reading: medians, with the minimum and maximum in brackets.
    pub(super) fn to_text(&self) -> String {
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
                    format_value(figure.median()),
                    format_value(figure.min()),
                    format_value(figure.max())
                );
                let _ = write!(text, "{cell:>26}");
            }
            text.push('\n');
        }
        text
    }

    /// Formats the table as CSV, with one line for each figure.
    pub(super) fn to_csv(&self) -> String {
        let mut text = "scene,policy,figure,median,least,most\n".to_owned();
        for row in &self.rows {
            for (column, figure) in self.columns.iter().zip(&row.figures) {
                let _ = writeln!(
                    text,
                    "{},{},{column},{},{},{}",
                    row.scene,
                    row.policy,
                    figure.median(),
                    figure.min(),
                    figure.max()
                );
            }
        }
        text
    }
}

fn format_value(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
