//! Parser for the JSON log lines of nodes.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
    time::{Duration, SystemTime},
};

use humantime_serde::re::humantime;
use kumquatnotch::core::{Error, Result};
use serde_json::{Map, Value};

/// Standard fields, which are parsed separately or dropped, and not included in [`Line::fields`].
const HEADER_FIELDS: [&str; 4] = ["timestamp", "level", "message", "request"];

/// A log line.
pub struct Line {
    /// The name of the process that wrote it.
    pub source: String,
    /// The timestamp, as written in the log.
    pub time: String,
    /// The message.
    pub message: String,
    /// The identity of the request that it refers to, if any.
    pub request: Option<String>,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Returns the timestamp as the time since the Unix epoch; zero if it is malformed.
    pub fn since_epoch(&self) -> Duration {
        let time = humantime::parse_rfc3339_weak(&self.time);
        let since = time.ok().and_then(|time| time.duration_since(SystemTime::UNIX_EPOCH).ok());
        since.unwrap_or_default()
    }

    /// Returns the number in the field `name`; zero if there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }

    /// Returns the text in the field `name`; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }
}

/// Reads the log lines of a file, skipping all other lines.
pub fn read(path: &Path) -> Result<Vec<Line>> {
    let file = File::open(path)
        .map_err(|error| Error::bad_request(format!("{}: {error}", path.display())))?;
    let name = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into());
    let lines = BufReader::new(file).lines().map_while(std::result::Result::ok);
    Ok(lines.filter_map(|line| parse(&line, &name)).collect())
}

/// Parses a line. The last word before the JSON object is the name of the process; without
/// one, the process is named `file`.
fn parse(line: &str, file: &str) -> Option<Line> {
    let (before, json) = line.split_at(line.find('{')?);
    let Ok(Value::Object(mut fields)) = serde_json::from_str(json) else {
        return None;
    };
    let source = before.split_whitespace().last().unwrap_or(file).to_owned();
    let text = |name: &str| match fields.get(name) {
        Some(Value::String(text)) => Some(text.clone()),
        _ => None,
    };
    let (time, message, request) = (text("timestamp")?, text("message")?, text("request"));
    fields.retain(|name, _| !HEADER_FIELDS.contains(&name.as_str()));
    Some(Line { source, time, message, request, fields })
}

impl std::fmt::Display for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {}", self.time, self.source, self.message)?;
        for (name, value) in &self.fields {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}
