//! The report of a run: requests, faults, statistics, and violations by promise.

use std::{collections::BTreeMap, fmt::Write};

use standins::records::RunEnd;

use crate::{
    checker::Bounds,
    configuration::propagation_times,
    containment::{crashes, max_in_window},
    record::{History, Outcome, Request},
    runner::Verdict,
};

/// Maximum number of violations printed in full for each promise.
const MAX_SHOWN: usize = 5;

/// Formats the report of a run.
pub fn report(verdict: &Verdict) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write_report(&mut text, verdict);
    text
}

fn write_report(text: &mut String, verdict: &Verdict) -> std::fmt::Result {
    let Verdict { history, findings, .. } = verdict;
    writeln!(text, "requests: {}", history.attempts.len())?;
    for (name, count) in outcomes(history) {
        writeln!(text, "  {name}: {count}")?;
    }
    writeln!(text, "faults: {}", history.faults.len())?;
    for (name, count) in faults(history) {
        writeln!(text, "  {name}: {count}")?;
    }
    write_statistics(text, verdict)?;
    writeln!(text, "violations: {}", findings.violations.len())?;
    for (promise, count) in findings.counts() {
        writeln!(text, "  {promise:?}: {count}")?;
        let details = findings.violations.iter().filter(|found| found.promise == promise);
        for violation in details.take(MAX_SHOWN) {
            writeln!(text, "    {}", violation.detail)?;
        }
    }
    Ok(())
}

fn write_statistics(text: &mut String, verdict: &Verdict) -> std::fmt::Result {
    let history = &verdict.history;
    let mut latencies: Vec<u64> =
        history.answers().map(|(attempt, ..)| attempt.ended_us - attempt.sent_us).collect();
    let mut delays = propagation_times(history, &Bounds::default());
    let asked: u64 = history.answers().map(|(.., answer)| answer.coverage.asked as u64).sum();
    let covered: u64 = history.answers().map(|(.., answer)| answer.coverage.covered as u64).sum();
    let full = history.answers().filter(|(.., answer)| answer.coverage.is_full()).count();
    let runs = history.runs.iter().filter(|run| !run.exclusive).count();
    let done = history.runs.iter().filter(|run| run.end == RunEnd::Done).count();
    let (median, p99) = (quantile(&mut latencies, 0.5), quantile(&mut latencies, 0.99));
    writeln!(text, "answers: median {} us, 99th percentile {} us", median, p99)?;
    writeln!(text, "coverage: {covered} of {asked} shards, {full} answers cover all")?;
    writeln!(text, "runs on targets: {runs} searches, {done} of all runs completed")?;
    writeln!(text, "shed: {}, connections over limits: {}", verdict.shed, verdict.over_limit)?;
    let (median, most) = (quantile(&mut delays, 0.5), quantile(&mut delays, 1.0));
    writeln!(text, "configurations: {} accepted", history.accepted.len())?;
    writeln!(
        text,
        "  undisturbed: {}, in force everywhere after {median} us (median), {most} us (maximum)",
        delays.len()
    )?;
    writeln!(text, "readings of nodes: {}", history.readings.len())?;
    writeln!(text, "drains: {}, shutdowns: {}", history.drains.len(), history.shutdowns.len())?;
    write_crashes(text, history)?;
    writeln!(text, "platform: {:?}", verdict.calls)
}

fn write_crashes(text: &mut String, history: &History) -> std::fmt::Result {
    let bounds = Bounds::default();
    let crashes = crashes(history);
    let all: usize = crashes.values().map(Vec::len).sum();
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for times in crashes.values() {
        *counts.entry(max_in_window(times, bounds.contained_us)).or_default() += 1;
    }
    writeln!(text, "requests that crashed targets: {}, {all} crashes", crashes.len())?;
    for (count, requests) in counts {
        writeln!(text, "  {count} targets within the containment: {requests}")?;
    }
    Ok(())
}

fn quantile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    let at = ((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1));
    values.get(at).copied().unwrap_or_default()
}

fn faults(history: &History) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for made in &history.faults {
        *counts.entry(made.fault.as_str()).or_default() += 1;
    }
    counts
}

fn outcomes(history: &History) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for attempt in &history.attempts {
        let kind = match attempt.request {
            Request::Search { .. } => "search",
            Request::Exclusive { .. } => "exclusive",
        };
        let outcome = match &attempt.outcome {
            Outcome::Answer(_) => "answered".to_owned(),
            Outcome::Done(_) => "done".to_owned(),
            Outcome::Failed(failure) => format!("failed with {}", failure.code),
            Outcome::Unreadable(_) => "unreadable".to_owned(),
            Outcome::NotConnected => "not connected".to_owned(),
            Outcome::Broken => "broken".to_owned(),
            Outcome::TimedOut => "timed out".to_owned(),
        };
        *counts.entry(format!("{kind} {outcome}")).or_default() += 1;
    }
    counts
}
