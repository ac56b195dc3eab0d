//! Simulations that compare the routing policies with simple baselines under the same random seeds.
//!
//! The policies are the code that the entries and the state replicas run; runners and ratings are
//! simulated. `model` states the assumptions of the simulation, which are simple on purpose.

mod load;
mod model;
mod plot;
mod quality;
mod rollout;
mod table;

use std::path::PathBuf;

use snafu::ResultExt;
use snafu::Snafu;

use self::table::Table;

/// An experiment, named as on the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Cost of requests at a quality target.
    Quality,
    /// Rollouts of bad and good model versions.
    Rollout,
    /// Latency, goodput and fairness under load and faults.
    Load,
}

/// Settings of the experiment tool.
#[derive(Clone, Debug)]
pub struct Config {
    /// Experiments to run.
    pub kinds: Vec<Kind>,
    /// Number of runs of each experiment; their seeds start at 1.
    pub seeds: u64,
    /// Folder for CSV files and plots; with `None`, tables are only printed.
    pub out: Option<PathBuf>,
}

/// Errors of writing results to a file.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A CSV file can't be written.
    #[snafu(display("can't write {path}: {source}; choose another --out"))]
    Write {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw {path}: {reason}; run without --out to print only the tables"))]
    Plot {
        /// Path of the file.
        path: String,
        /// Error of the plotting library.
        reason: String,
    },
}

/// Runs the experiments, prints their tables and writes them to the output folder, if any.
///
/// # Errors
///
/// Returns an error if a CSV file or a plot can't be written.
pub fn run(cfg: &Config) -> Result<(), Error> {
    for kind in &cfg.kinds {
        let (name, table) = match kind {
            Kind::Quality => ("quality", quality::run(cfg.seeds)),
            Kind::Rollout => ("rollout", rollout::run(cfg.seeds)),
            Kind::Load => ("load", load::run(cfg.seeds)),
        };
        println!("## {name}\n{}", table.to_text());
        if let Some(out) = &cfg.out {
            write(&table, name, out)?;
        }
    }
    Ok(())
}

/// Writes the table as `NAME.csv` and `NAME.svg`.
fn write(table: &Table, name: &str, out: &std::path::Path) -> Result<(), Error> {
    let path = out.join(format!("{name}.csv"));
    let path_text = path.display().to_string();
    std::fs::create_dir_all(out)
        .and_then(|()| std::fs::write(&path, table.to_csv()))
        .context(WriteSnafu { path: path_text })?;
    plot::draw_bars(table, &out.join(format!("{name}.svg")))
}
