//! Experiments on the decisions: the real policies, driven by small models of what the platform
//! does, against plain baselines on the same arrivals.
//!
//! The models are in `model`; they are simple on purpose and stated there.

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

/// What to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Cost at the quality target.
    Quality,
    /// Roll-outs of bad and good versions.
    Rollout,
    /// Latency, goodput and fairness under load and faults.
    Load,
}

/// What the experiment tool is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Experiments to run.
    pub kinds: Vec<Kind>,
    /// Runs of each, with seeds from 1 on.
    pub seeds: u64,
    /// Folder for CSV files and plots; `None` only prints.
    pub out: Option<PathBuf>,
}

/// Why nothing was written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file can't be written.
    #[snafu(display("{path}: {source}; choose another --out"))]
    Write {
        /// File.
        path: String,
        /// Reason.
        source: std::io::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("{path}: {reason}; run without --out to print the tables alone"))]
    Plot {
        /// File.
        path: String,
        /// Reason.
        reason: String,
    },
}

/// Runs the experiments, prints their tables and writes them.
///
/// # Errors
///
/// A file can't be written.
pub fn run(cfg: &Config) -> Result<(), Error> {
    for kind in &cfg.kinds {
        let (name, table) = match kind {
            Kind::Quality => ("quality", quality::run(cfg.seeds)),
            Kind::Rollout => ("rollout", rollout::run(cfg.seeds)),
            Kind::Load => ("load", load::run(cfg.seeds)),
        };
        println!("## {name}\n{}", table.text());
        if let Some(out) = &cfg.out {
            write(&table, name, out)?;
        }
    }
    Ok(())
}

fn write(table: &Table, name: &str, out: &std::path::Path) -> Result<(), Error> {
    let path = out.join(format!("{name}.csv"));
    let shown = path.display().to_string();
    std::fs::create_dir_all(out)
        .and_then(|()| std::fs::write(&path, table.csv()))
        .context(WriteSnafu { path: shown })?;
    plot::bars(table, &out.join(format!("{name}.svg")))
}
