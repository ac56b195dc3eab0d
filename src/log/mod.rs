//! Structured logging: one line of `key=value` pairs per event.

mod queue;

use std::fmt::Display;
use std::fmt::Write;

use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::WriteLogger;

pub(crate) use self::queue::flush;

use self::queue::LineQueue;

/// Maximum length of a logged value, in characters; the rest is cut off.
const MAX_VALUE_CHARS: usize = 512;

/// Starts logging on standard output, for daemons. Lines are queued, so a slow reader can't block
/// the process.
pub(crate) fn start_on_stdout(level: LevelFilter) {
    init(level, LineQueue::start(std::io::stdout()));
}

/// Starts logging on standard error, for programs that print results on standard output.
pub(crate) fn start_on_stderr(level: LevelFilter) {
    init(level, std::io::stderr());
}

fn init(level: LevelFilter, out: impl std::io::Write + Send + 'static) {
    // The message already has the time and level as key-value pairs.
    let cfg = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("daisyquay")
        .build();
    // Fails if logging was started before in this process, which then stays as it is.
    let _ = WriteLogger::init(level, cfg, out);
}

/// Starts a log line with the time, the level and the event.
pub(crate) fn start_line(level: log::Level, event: &str) -> String {
    let ms = crate::clock::wall_ms();
    let mut line = String::with_capacity(128);
    let level = level.as_str().to_ascii_lowercase();
    let _ = write!(line, "time_ms={ms} level={level} event={event}");
    line
}

/// Appends a `key=value` pair. A value is quoted if it is empty or has whitespace, a control
/// character, a double quote, `=`, `\` or a non-ASCII character.
pub(crate) fn append_pair(mut line: String, key: &str, value: &dyn Display) -> String {
    let mut text = value.to_string();
    if let Some((end, _)) = text.char_indices().nth(MAX_VALUE_CHARS) {
        text.truncate(end);
    }
    let is_plain = !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\'));
    let _ = if is_plain {
        write!(line, " {key}={text}")
    } else {
        write!(line, " {key}={text:?}")
    };
    line
}

/// Logs one event: `event!(Info, "name", key = value, ...)`. Values are formatted only if the level
/// is enabled.
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {{
        let level = ::log::Level::$level;
        if level <= ::log::max_level() {
            let line = $crate::log::start_line(level, $name);
            $(let line = $crate::log::append_pair(line, stringify!($key), &$value);)*
            ::log::log!(level, "{line}");
        }
    }};
}

pub(crate) use event;
