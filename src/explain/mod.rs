//! From a request's id and the logs of any number of processes to the cause of its failure.

mod cause;
mod line;
mod story;

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;
use snafu::Snafu;

pub use self::line::Line;
pub use self::story::Story;

/// Why there is no story.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A log can't be read.
    #[snafu(display("{}: {source}; check the path and its rights", path.display()))]
    Read {
        /// Log.
        path: PathBuf,
        /// Reason.
        source: std::io::Error,
    },
    /// No line names the request.
    #[snafu(display(
        "no line names request {request}: it was served in time, its gateway's log is not among the \
         files, or the gateway was killed under it; look for its `gateway_start`"
    ))]
    Unknown {
        /// Request.
        request: String,
    },
}

/// Tells what became of `request`, from the lines of `files`. They are read twice, and only the lines
/// that matter are kept.
///
/// # Errors
///
/// A file can't be read, or no line names the request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<Story, Error> {
    let mut own = Vec::new();
    each_line(files, |line| {
        if line.field("request") == Some(request) {
            own.push(line);
        }
    })?;
    if own.is_empty() {
        return UnknownSnafu { request }.fail();
    }
    let mut story = Story::new(request, own);
    each_line(files, |line| story.offer(line))?;
    Ok(story.finish())
}

fn each_line(files: &[PathBuf], mut take: impl FnMut(Line)) -> Result<(), Error> {
    for path in files {
        let name = node_of(path);
        let f = File::open(path).context(ReadSnafu { path })?;
        for text in BufReader::new(f).split(b'\n') {
            let text = text.context(ReadSnafu { path })?;
            if let Some(line) = Line::read(&String::from_utf8_lossy(&text), &name) {
                take(line);
            }
        }
    }
    Ok(())
}

/// A log is named after the process that wrote it.
fn node_of(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
