//! Attributes lost answers to causes, from the logs of all nodes.
//!
//! A complete answer in time scores 1. An answer with missing shards scores the square of
//! its coverage, and a late, refused or failed request scores 0. The difference to 1 is
//! the loss of the request. Requests with status 408 (the caller disconnected) or 404 lose
//! nothing. Losses are summed by route and cause, and by time window.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    time::Duration,
};

use kumquatnotch::core::{Error, Result, collections::HashMap};

use crate::{
    log_lines::{self, Line},
    options::ExplainArgs,
};

/// Time after the due time within which an answer still counts as in time, in milliseconds.
///
/// Nodes reserve some time for the transit to the caller; the tolerance is a part of it.
const LATE_TOLERANCE_MS: u64 = 10;

/// The log messages that report the outcome of a request.
const OUTCOME_MESSAGES: [&str; 2] = ["front: answered", "front: refused"];

pub fn explain(args: &ExplainArgs) -> Result<u8> {
    let mut lines = Vec::new();
    for path in &args.files {
        lines.extend(log_lines::read(path)?);
    }
    let window_length = Duration::from_secs_f64(args.window.max(0.1));
    let report = LossReport::new(&lines, window_length, &args.route);
    if report.requests == 0 {
        return Err(Error::bad_request("no log line reports the outcome of a request"));
    }
    // A reader of only the first lines, such as `head`, closes the pipe early.
    let _ = io::stdout().write_all(report.to_text(args.top).as_bytes());
    let _ = io::stdout().write_all(report_calls(&lines).as_bytes());
    Ok(0)
}

/// Formats the number of calls of the nodes to their dependencies, by kind and result.
///
/// The report is empty if the logs contain no such counts. Counts that a process had
/// not yet logged when it was killed are missing.
fn report_calls(lines: &[Line]) -> String {
    let mut kinds: BTreeMap<(&str, &str), [u64; 3]> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.message == "calls: made") {
        let sums = kinds.entry((line.text("to"), line.text("kind"))).or_default();
        for (sum, name) in sums.iter_mut().zip(["answered", "refused", "unanswered"]) {
            *sum += line.number(name);
        }
    }
    if kinds.is_empty() {
        return String::new();
    }
    let mut report =
        vec![format!("\n{:>9} {:>8} {:>10}  call", "answered", "refused", "unanswered")];
    for ((to, kind), [answered, refused, unanswered]) in kinds {
        report.push(format!("{answered:>9} {refused:>8} {unanswered:>10}  {to}, {kind}"));
    }
    report.push(String::new());
    report.join("\n")
}

/// The losses due to one cause.
#[derive(Clone, Debug, Default, PartialEq)]
struct Loss {
    requests: u64,
    lost: f64,
}

impl Loss {
    fn add(&mut self, lost: f64) {
        self.requests += 1;
        self.lost += lost;
    }
}

/// The requests and losses of one time window.
#[derive(Clone, Debug, Default)]
struct Window {
    requests: u64,
    lost: f64,
    causes: HashMap<String, f64>,
}

/// The losses by route and cause, and by time window.
struct LossReport {
    requests: u64,
    lost: f64,
    routes: HashMap<(String, String), Loss>,
    windows: HashMap<u64, Window>,
    window_length: Duration,
    start: Duration,
}

/// The logged events of a request other than its outcome.
#[derive(Default)]
struct RequestEvents<'a> {
    /// Shards whose replies were lost.
    lost_replies: Vec<&'a str>,
    /// Shards whose calls were hedged.
    hedged: Vec<&'a str>,
    /// Shards that were missing from the answer.
    missing: Vec<&'a str>,
    /// Whether the request was a repeated one, which came too late for an answer in time.
    repeated: bool,
}

impl LossReport {
    /// Sums up the losses of the requests of `routes`, or of all requests if it is empty.
    fn new(lines: &[Line], window_length: Duration, routes: &[String]) -> LossReport {
        let events = request_events(lines);
        let is_counted = |line: &&Line| {
            let is_outcome = OUTCOME_MESSAGES.contains(&line.message.as_str());
            is_outcome
                && (routes.is_empty() || routes.iter().any(|route| route == line.text("route")))
        };
        let outcomes = || lines.iter().filter(is_counted);
        let start = outcomes().map(Line::since_epoch).min().unwrap_or_default();
        let mut report = LossReport {
            requests: 0,
            lost: 0.0,
            routes: HashMap::default(),
            windows: HashMap::default(),
            window_length,
            start,
        };
        let none = RequestEvents::default();
        for line in outcomes() {
            let known = line.request.as_deref().and_then(|request| events.get(request));
            report.add(line, known.unwrap_or(&none));
        }
        report
    }

    /// Adds the outcome of a request.
    fn add(&mut self, line: &Line, events: &RequestEvents<'_>) {
        self.requests += 1;
        let elapsed = line.since_epoch().saturating_sub(self.start);
        let window = (elapsed.as_secs_f64() / self.window_length.as_secs_f64()) as u64;
        self.windows.entry(window).or_default().requests += 1;
        for (cause, lost) in losses(line, events) {
            self.lost += lost;
            let key = (line.text("route").to_owned(), cause.clone());
            self.routes.entry(key).or_default().add(lost);
            let window = self.windows.entry(window).or_default();
            window.lost += lost;
            *window.causes.entry(cause).or_default() += lost;
        }
    }

    /// Formats the sums and the `top` windows with the largest losses.
    fn to_text(&self, top: usize) -> String {
        let share = |lost: f64| 100.0 * lost / self.requests as f64;
        let mut lines = vec![
            format!(
                "{} requests, {:.1} answers lost ({:.2} %)\n",
                self.requests,
                self.lost,
                share(self.lost)
            ),
            format!("{:>8} {:>6} {:>8}  route, cause", "lost", "%", "requests"),
        ];
        for ((route, cause), Loss { requests, lost }) in
            sorted_by_loss(&self.routes, |loss| loss.lost)
        {
            let share = share(*lost);
            lines.push(format!("{lost:>8.1} {share:>6.2} {requests:>8}  {route}  {cause}"));
        }
        lines.push(format!("\nworst windows of {} s", self.window_length.as_secs_f64()));
        lines.push(format!("{:>8} {:>8} {:>8}  main cause", "from s", "requests", "lost"));
        for (index, window) in sorted_by_loss(&self.windows, |window| window.lost).take(top) {
            let from = *index as f64 * self.window_length.as_secs_f64();
            let cause = sorted_by_loss(&window.causes, |lost| *lost).next();
            let cause = cause.map_or("", |(cause, _)| cause.as_str());
            let Window { requests, lost, .. } = window;
            lines.push(format!("{from:>8.1} {requests:>8} {lost:>8.1}  {cause}"));
        }
        lines.push(String::new());
        lines.join("\n")
    }
}

/// Returns the entries sorted by loss, the largest first.
fn sorted_by_loss<K: Ord, V>(
    map: &HashMap<K, V>,
    lost: impl Fn(&V) -> f64,
) -> impl Iterator<Item = (&K, &V)> {
    let mut entries: Vec<(&K, &V)> = map.iter().collect();
    entries.sort_by(|(key, one), (other_key, other)| {
        lost(other).total_cmp(&lost(one)).then_with(|| key.cmp(other_key))
    });
    entries.into_iter()
}

/// Collects the logged events of each request other than its outcome.
fn request_events(lines: &[Line]) -> HashMap<&str, RequestEvents<'_>> {
    let mut events: HashMap<&str, RequestEvents<'_>> = HashMap::default();
    for line in lines {
        let Some(request) = line.request.as_deref() else {
            continue;
        };
        let event = events.entry(request).or_default();
        match line.message.as_str() {
            "call: the reply was lost" => event.lost_replies.push(line.text("service")),
            "call: a copy is sent" => event.hedged.push(line.text("service")),
            "gather: shards are missing" => {
                event.missing.extend(line.text("late").split_whitespace())
            }
            "forecast: a caller came again" => event.repeated = true,
            _ => {}
        }
    }
    events
}

/// Returns the losses of a request by cause.
fn losses(line: &Line, events: &RequestEvents<'_>) -> Vec<(String, f64)> {
    let (status, reason) = (line.number("status"), line.text("reason"));
    match status {
        // The caller had disconnected and no longer waited for the answer.
        408 => Vec::new(),
        404 => Vec::new(),
        503 => vec![(format!("refused: {reason}"), 1.0)],
        status if status >= 400 => vec![(format!("failed: {reason}"), 1.0)],
        _ if is_late(line) => vec![(late_cause(events), 1.0)],
        _ => missing_losses(line, events),
    }
}

/// Returns whether an answer was late; false if its log line has no due time.
fn is_late(line: &Line) -> bool {
    line.fields.contains_key("due_ms")
        && line.number("ms") > line.number("due_ms") + LATE_TOLERANCE_MS
}

/// Returns the cause of a late answer.
fn late_cause(events: &RequestEvents<'_>) -> String {
    let cause = match events {
        RequestEvents { repeated: true, .. } => "late: repeated request",
        RequestEvents { missing, lost_replies, .. }
            if missing.iter().any(|shard| lost_replies.contains(shard)) =>
        {
            "late: too few parts in time, replies were lost"
        }
        RequestEvents { missing, .. } if !missing.is_empty() => "late: too few parts in time",
        _ => "late: all parts arrived eventually",
    };
    cause.to_owned()
}

/// Returns the losses of an incomplete answer by cause, with an equal share per missing shard.
fn missing_losses(line: &Line, events: &RequestEvents<'_>) -> Vec<(String, f64)> {
    let (parts, missing) = (line.number("parts") as f64, line.number("missing") as f64);
    if missing == 0.0 {
        return Vec::new();
    }
    let covered = parts / (parts + missing);
    let each = (1.0 - covered * covered) / missing;
    let mut causes: HashMap<&str, f64> = HashMap::default();
    for shard in &events.missing {
        let cause = if events.lost_replies.contains(shard) {
            "part: its reply was lost"
        } else if events.hedged.contains(shard) {
            "part: late, hedge also late"
        } else {
            "part: late, not hedged"
        };
        *causes.entry(cause).or_default() += each;
    }
    causes.into_iter().map(|(cause, lost)| (cause.to_owned(), lost)).collect()
}
