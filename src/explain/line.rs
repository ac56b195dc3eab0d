//! One line of a log.

use std::collections::BTreeMap;

use serde::Serialize;

/// An event as a process logged it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Unix time by the clock of its VM, in milliseconds.
    pub time_ms: u64,
    /// Who wrote it: the label before the line, or the log's name.
    pub node: String,
    /// Event.
    pub event: String,
    /// The other pairs.
    pub fields: BTreeMap<String, String>,
}

impl Line {
    /// Reads a line of `key=value` pairs; `None` for anything else. What stands before the pairs, as
    /// collectors of logs put it there, names the process; without it `node` does.
    pub fn read(text: &str, node: &str) -> Option<Self> {
        let at = text.find("time_ms=")?;
        let label = text[..at].split_whitespace().last();
        let mut fields = pairs(&text[at..]);
        Some(Self {
            time_ms: fields.remove("time_ms")?.parse().ok()?,
            node: label.unwrap_or(node).to_owned(),
            event: fields.remove("event")?,
            fields,
        })
    }

    /// The value of a pair.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }
}

fn pairs(mut text: &str) -> BTreeMap<String, String> {
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

/// Reads up to the closing quote, and what follows it.
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
