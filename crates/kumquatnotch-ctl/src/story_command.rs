//! Tells the story of one request from the logs of several processes.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
};

use kumquatnotch::core::{Error, Result, collections::HashSet};
use serde_json::{Map, Value};

use crate::options::StoryArgs;

/// The parts whose lines tell what a process believes, as their messages begin.
const BELIEFS: [&str; 4] = ["mirror:", "replica:", "announce:", "node:"];

/// The fields that stand in every line, or are told before the others.
const TOLD_BEFORE: [&str; 4] = ["timestamp", "level", "message", "request"];

/// A line of a log.
struct Line {
    /// The process that wrote it.
    source: String,
    time: String,
    message: String,
    request: Option<String>,
    fields: Map<String, Value>,
}

pub fn story(args: &StoryArgs) -> Result<u8> {
    let mut lines = Vec::new();
    for path in &args.files {
        lines.extend(read(path)?);
    }
    let told = tell(lines, &args.request, args.beliefs);
    if told.is_empty() {
        return Err(Error::bad_request(format!("no line tells of request {}", args.request)));
    }
    told.iter().for_each(|line| println!("{line}"));
    Ok(0)
}

fn read(path: &Path) -> Result<Vec<Line>> {
    let file = File::open(path)
        .map_err(|error| Error::bad_request(format!("{}: {error}", path.display())))?;
    let name = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into());
    let lines = BufReader::new(file).lines().map_while(std::result::Result::ok);
    Ok(lines.filter_map(|line| parse(&line, &name)).collect())
}

/// Reads a line; what stands before its JSON names the process, else its file does.
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
    fields.retain(|name, _| !TOLD_BEFORE.contains(&name.as_str()));
    Some(Line { source, time, message, request, fields })
}

/// The lines of a request in their order, and as many `beliefs` before it of each
/// process that had to do with it.
fn tell(mut lines: Vec<Line>, request: &str, beliefs: usize) -> Vec<String> {
    lines.sort_by(|one, other| one.time.cmp(&other.time));
    let is_told = |line: &Line| line.request.as_deref() == Some(request);
    let Some(last) = lines.iter().rposition(is_told) else {
        return Vec::new();
    };
    let sources: HashSet<&str> =
        lines.iter().filter(|line| is_told(line)).map(|line| &*line.source).collect();
    let mut left: Vec<(&str, usize)> = sources.iter().map(|source| (*source, beliefs)).collect();
    let mut told = Vec::new();
    for line in lines[..=last].iter().rev() {
        if is_told(line) {
            told.push(line);
            continue;
        }
        let is_belief = BELIEFS.iter().any(|part| line.message.starts_with(part));
        let counted = left.iter_mut().find(|(source, count)| *source == line.source && *count > 0);
        if let (true, Some((_, count))) = (is_belief, counted) {
            *count -= 1;
            told.push(line);
        }
    }
    told.iter().rev().map(|line| line.to_string()).collect()
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
