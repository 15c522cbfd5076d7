//! A request that crashes each target which runs it crashes few of them.
//!
//! This is none of the brief's promises but a bound of the tier. It counts from a
//! first crash for as long as the mark lasts that keeps the request away.
//!
//! Nodes that are killed, stopped or cut off at that time are an excuse: the one
//! that knows may be frozen before its mark has spread. The report counts these too.

use std::collections::BTreeMap;

use standins::{data, records::RunEnd};

use crate::{
    checker::{Bounds, Findings, Promise},
    layout::CRASH_MARKER,
    record::History,
};

/// How long faults of nodes last.
const FAULT_DURATION_US: u64 = 3_000_000;

/// Looks for requests that crashed too many targets while they were contained.
pub fn check(history: &History, bounds: &Bounds, findings: &mut Findings) {
    for (nonce, times) in crashes(history) {
        let most = max_in_window(&times, bounds.contained_us);
        if most > bounds.crashes && !is_disturbed(history, &times) {
            let detail = format!("{nonce:x} crashed {most} targets while it was contained");
            findings.add(Promise::Containment, detail);
        }
    }
}

/// Whether nodes or the links between them had a fault shortly before or meanwhile.
fn is_disturbed(history: &History, times: &[u64]) -> bool {
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        return false;
    };
    let span = first.saturating_sub(FAULT_DURATION_US)..=*last;
    let of_nodes = |fault: &str| fault.starts_with("node ") || fault.starts_with("link");
    history.faults.iter().any(|made| of_nodes(&made.fault) && span.contains(&made.at_us))
}

/// When each request with the marker crashed targets, in order.
pub fn crashes(history: &History) -> BTreeMap<u64, Vec<u64>> {
    let mut crashes: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let lost = history.runs.iter().filter(|run| run.end == RunEnd::Lost);
    for run in lost.filter(|run| run.body.contains(CRASH_MARKER)) {
        let nonce = data::field(&run.body, "nonce").as_u64().unwrap_or_default();
        crashes.entry(nonce).or_default().push(run.start_us);
    }
    crashes.values_mut().for_each(|times| times.sort_unstable());
    crashes
}

/// The most of `times`, which are sorted, that lie within a `span`.
pub fn max_in_window(times: &[u64], span: u64) -> usize {
    let within =
        |first: &u64| times.iter().filter(|at| (*first..first + span).contains(at)).count();
    times.iter().map(within).max().unwrap_or_default()
}
