//! Logs: one line of `key=value` pairs for each event.

mod queue;

use std::fmt::Display;
use std::fmt::Write;

use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::WriteLogger;

pub(crate) use self::queue::flush;

use self::queue::Queue;

/// Longest value that a line carries, in characters.
const VALUE_LIMIT: usize = 512;

/// Starts a daemon's logging, on standard output.
pub(crate) fn start(level: LevelFilter) {
    start_on(level, Queue::start(std::io::stdout()));
}

/// Starts logging on standard error, for programs whose output is something else.
pub(crate) fn start_aside(level: LevelFilter) {
    start_on(level, std::io::stderr());
}

fn start_on(level: LevelFilter, out: impl std::io::Write + Send + 'static) {
    // The line carries time and level as pairs of its own.
    let cfg = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("daisyquay")
        .build();
    // A second start in one process changes nothing.
    let _ = WriteLogger::init(level, cfg, out);
}

/// Begins a line.
pub(crate) fn begin(level: log::Level, event: &str) -> String {
    let ms = crate::clock::wall_ms();
    let mut line = String::with_capacity(128);
    let level = level.as_str().to_ascii_lowercase();
    let _ = write!(line, "time_ms={ms} level={level} event={event}");
    line
}

/// Adds a pair; a value that needs it is quoted.
pub(crate) fn pair(mut line: String, key: &str, value: &dyn Display) -> String {
    let mut text = value.to_string();
    if let Some((at, _)) = text.char_indices().nth(VALUE_LIMIT) {
        text.truncate(at);
    }
    let plain = !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\'));
    let _ = if plain {
        write!(line, " {key}={text}")
    } else {
        write!(line, " {key}={text:?}")
    };
    line
}

/// Logs one event: `event!(Info, "name", key = value, ...)`.
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {{
        let level = ::log::Level::$level;
        if level <= ::log::max_level() {
            let line = $crate::log::begin(level, $name);
            $(let line = $crate::log::pair(line, stringify!($key), &$value);)*
            ::log::log!(level, "{line}");
        }
    }};
}

pub(crate) use event;
