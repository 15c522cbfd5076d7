//! Prints the log lines of one request, merged from the logs of several processes.

use kumquatnotch::core::{Error, Result, collections::HashSet};

use crate::{
    log_lines::{self, Line},
    options::StoryArgs,
};

/// Message prefixes of the components that log the state known to a process.
const STATE_PREFIXES: [&str; 4] = ["mirror:", "replica:", "announce:", "node:"];

pub fn story(args: &StoryArgs) -> Result<u8> {
    let mut lines = Vec::new();
    for path in &args.files {
        lines.extend(log_lines::read(path)?);
    }
    let selected = select_lines(lines, &args.request, args.beliefs);
    if selected.is_empty() {
        return Err(Error::bad_request(format!("no log line refers to request {}", args.request)));
    }
    selected.iter().for_each(|line| println!("{line}"));
    Ok(0)
}

/// Returns the lines of a request in order, preceded by up to `beliefs` earlier state lines
/// of each process that took part in it.
fn select_lines(mut lines: Vec<Line>, request: &str, beliefs: usize) -> Vec<String> {
    lines.sort_by(|one, other| one.time.cmp(&other.time));
    let is_of_request = |line: &Line| line.request.as_deref() == Some(request);
    let Some(last) = lines.iter().rposition(is_of_request) else {
        return Vec::new();
    };
    let sources: HashSet<&str> =
        lines.iter().filter(|line| is_of_request(line)).map(|line| &*line.source).collect();
    let mut remaining: Vec<(&str, usize)> =
        sources.iter().map(|source| (*source, beliefs)).collect();
    let mut selected = Vec::new();
    for line in lines[..=last].iter().rev() {
        if is_of_request(line) {
            selected.push(line);
            continue;
        }
        let is_state = STATE_PREFIXES.iter().any(|part| line.message.starts_with(part));
        let counted =
            remaining.iter_mut().find(|(source, count)| *source == line.source && *count > 0);
        if let (true, Some((_, count))) = (is_state, counted) {
            *count -= 1;
            selected.push(line);
        }
    }
    selected.iter().rev().map(|line| line.to_string()).collect()
}
