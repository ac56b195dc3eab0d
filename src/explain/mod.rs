//! Explains the outcome of a request from its id and the logs of any number of processes.

mod cause;
mod explanation;
mod line;

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;
use snafu::Snafu;

pub use self::explanation::Explanation;
pub use self::line::LogLine;

/// Reasons why a request can't be explained.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A log file can't be read.
    #[snafu(display("{}: {source}; check the path and its permissions", path.display()))]
    Read {
        /// Path of the log file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// No line has the request's id.
    #[snafu(display(
        "no log line names request {request}: it was served in time, the log of its gateway is not \
         among the files, or the gateway was killed while serving it; look for a `gateway_start` \
         event of that gateway"
    ))]
    Unknown {
        /// Id of the request.
        request: String,
    },
}

/// Explains the outcome of the request with id `request` from the log files `files`. Reads each
/// file twice, so that only the relevant lines are held in memory.
///
/// # Errors
///
/// A file can't be read, or no line has the request's id.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<Explanation, Error> {
    let mut request_lines = Vec::new();
    for_each_line(files, |line| {
        if line.field("request") == Some(request) {
            request_lines.push(line);
        }
    })?;
    if request_lines.is_empty() {
        return UnknownSnafu { request }.fail();
    }
    let mut explanation = Explanation::new(request, request_lines);
    for_each_line(files, |line| explanation.add_context(line))?;
    Ok(explanation.finish())
}

fn for_each_line(files: &[PathBuf], mut f: impl FnMut(LogLine)) -> Result<(), Error> {
    for path in files {
        let node = node_name(path);
        let file = File::open(path).context(ReadSnafu { path })?;
        for text in BufReader::new(file).split(b'\n') {
            let text = text.context(ReadSnafu { path })?;
            if let Some(line) = LogLine::parse(&String::from_utf8_lossy(&text), &node) {
                f(line);
            }
        }
    }
    Ok(())
}

/// The name of the process that wrote a log: the file name without its extension.
fn node_name(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
