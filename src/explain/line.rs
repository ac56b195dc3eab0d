//! Parses lines of logs.

use std::collections::BTreeMap;

use serde::Serialize;

/// An event that a process logged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LogLine {
    /// Unix time in milliseconds, by the clock of the process's VM.
    pub time_ms: u64,
    /// Name of the process: the label before the line or, without one, the name of the log file.
    pub node: String,
    /// Name of the event.
    pub event: String,
    /// The other `key=value` pairs of the line.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line of `key=value` pairs; `None` for anything else. The last word before the
    /// pairs, a label that log collectors add, names the process; without one, `node` does.
    pub fn parse(text: &str, node: &str) -> Option<Self> {
        let start = text.find("time_ms=")?;
        let label = text[..start].split_whitespace().last();
        let mut fields = parse_pairs(&text[start..]);
        Some(Self {
            time_ms: fields.remove("time_ms")?.parse().ok()?,
            node: label.unwrap_or(node).to_owned(),
            event: fields.remove("event")?,
            fields,
        })
    }

    /// The value of a key; `None` if the line doesn't have it.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }
}

fn parse_pairs(mut text: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    while let Some((key, rest)) = text.trim_start().split_once('=') {
        let (value, rest) = match rest.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = rest.find(' ').unwrap_or(rest.len());
                (rest[..end].to_owned(), &rest[end..])
            }
        };
        pairs.insert(key.to_owned(), value);
        text = rest;
    }
    pairs
}

/// Returns the value up to the closing quote, with escapes resolved, and the text after the quote.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            _ => value.push(c),
        }
    }
    (value, "")
}
