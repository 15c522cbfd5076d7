//! Tells where the worth of answers was lost, from the logs of all nodes.
//!
//! An answer that is whole and in time is worth one. One that leaves shards out is worth the
//! square of the share that it covers; one that is late, refused or failed counts as lost.
//! What is lost is summed by kind of request and cause, and by time.

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

/// How much later than due an answer still counts as in time, in milliseconds.
///
/// Nodes keep some time for the way to the caller, which this is a part of.
const LATE_TOLERANCE_MS: u64 = 10;

/// The lines that say what became of a request.
const OUTCOME_MESSAGES: [&str; 2] = ["front: answered", "front: refused"];

pub fn explain(args: &ExplainArgs) -> Result<u8> {
    let mut lines = Vec::new();
    for path in &args.files {
        lines.extend(log_lines::read(path)?);
    }
    let window_length = Duration::from_secs_f64(args.window.max(0.1));
    let report = LossReport::new(&lines, window_length, &args.route);
    if report.requests == 0 {
        return Err(Error::bad_request("no line tells what became of a request"));
    }
    // Whoever reads the first lines only closes the pipe before the rest.
    let _ = io::stdout().write_all(report.report(args.top).as_bytes());
    let _ = io::stdout().write_all(report_calls(&lines).as_bytes());
    Ok(0)
}

/// What the nodes asked of what they depend on, by kind of call and how it ended.
///
/// Empty if no line tells. A process that is killed takes its last counts with it.
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

/// What was lost for one reason.
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

/// What became of the requests of one window.
#[derive(Clone, Debug, Default)]
struct Window {
    requests: u64,
    lost: f64,
    causes: HashMap<String, f64>,
}

/// What was lost, by kind of request and cause, and by time.
struct LossReport {
    requests: u64,
    lost: f64,
    routes: HashMap<(String, String), Loss>,
    windows: HashMap<u64, Window>,
    window_length: Duration,
    start: Duration,
}

/// What the logs tell of a request besides its end.
#[derive(Default)]
struct RequestEvents<'a> {
    /// The shards whose replies were lost.
    lost_replies: Vec<&'a str>,
    /// The shards of which a copy was sent.
    hedged: Vec<&'a str>,
    /// The shards that were missing when it was answered.
    missing: Vec<&'a str>,
    /// Whether its caller came again, too late for an answer in time.
    repeated: bool,
}

impl LossReport {
    /// The account of the requests of these routes; none means all.
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

    /// Adds what became of a request.
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

    /// The sums, and the `top` worst windows.
    fn report(&self, top: usize) -> String {
        let share = |lost: f64| 100.0 * lost / self.requests as f64;
        let mut lines = vec![
            format!(
                "{} requests, {:.1} answers lost ({:.2} in a hundred)\n",
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
        lines.push(format!("{:>8} {:>8} {:>8}  most for", "from s", "requests", "lost"));
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

/// Entries with what was lost for each, the most first.
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

/// What the logs tell of each request besides its end.
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

/// What was lost with a request, by cause.
fn losses(line: &Line, events: &RequestEvents<'_>) -> Vec<(String, f64)> {
    let (status, reason) = (line.number("status"), line.text("reason"));
    match status {
        // Nobody waited for the answer any more.
        408 => Vec::new(),
        404 => Vec::new(),
        503 => vec![(format!("refused: {reason}"), 1.0)],
        status if status >= 400 => vec![(format!("failed: {reason}"), 1.0)],
        _ if is_late(line) => vec![(late_cause(events), 1.0)],
        _ => missing_losses(line, events),
    }
}

/// Whether an answer was late; one whose line doesn't say when it was due wasn't.
fn is_late(line: &Line) -> bool {
    line.fields.contains_key("due_ms")
        && line.number("ms") > line.number("due_ms") + LATE_TOLERANCE_MS
}

/// Why an answer was late.
fn late_cause(events: &RequestEvents<'_>) -> String {
    let cause = match events {
        RequestEvents { repeated: true, .. } => "late: the caller came again",
        RequestEvents { missing, lost_replies, .. }
            if missing.iter().any(|shard| lost_replies.contains(shard)) =>
        {
            "late: too few parts in time, replies were lost"
        }
        RequestEvents { missing, .. } if !missing.is_empty() => "late: too few parts in time",
        _ => "late: all parts came in the end",
    };
    cause.to_owned()
}

/// What an answer that leaves shards out has lost, by the reason for each.
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
            "part: late, and a copy as well"
        } else {
            "part: late, without a copy"
        };
        *causes.entry(cause).or_default() += each;
    }
    causes.into_iter().map(|(cause, lost)| (cause.to_owned(), lost)).collect()
}
