//! Checks that a request that crashes every target running it crashes only a few of them.
//!
//! This is not one of the required promises but an internal bound of the tier. It
//! covers the time from the first crash until the mark that blocks the request expires.
//!
//! Crashes are not counted as a violation if nodes were killed, stopped or cut off
//! at that time, as the node that holds the mark may be frozen before the mark has
//! spread. The report includes these crashes.

use std::collections::BTreeMap;

use standins::{data, records::RunEnd};

use crate::{
    checker::{Bounds, Findings, Promise},
    layout::CRASH_MARKER,
    record::History,
};

/// Duration of the effect of a node fault.
const FAULT_DURATION_US: u64 = 3_000_000;

/// Looks for requests that crashed more targets than allowed during their containment.
pub fn check(history: &History, bounds: &Bounds, findings: &mut Findings) {
    for (nonce, times) in crashes(history) {
        let most = max_in_window(&times, bounds.contained_us);
        if most > bounds.crashes && !is_disturbed(history, &times) {
            let detail = format!("{nonce:x} crashed {most} targets within its containment");
            findings.add(Promise::Containment, detail);
        }
    }
}

/// Whether a fault of nodes or of their links occurred during the crashes or shortly before.
fn is_disturbed(history: &History, times: &[u64]) -> bool {
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        return false;
    };
    let span = first.saturating_sub(FAULT_DURATION_US)..=*last;
    let of_nodes = |fault: &str| fault.starts_with("node ") || fault.starts_with("link");
    history.faults.iter().any(|made| of_nodes(&made.fault) && span.contains(&made.at_us))
}

/// Returns the sorted crash times of each request that contains the marker, by nonce.
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

/// Returns the largest number of `times` (sorted) within any window of length `span`.
pub fn max_in_window(times: &[u64], span: u64) -> usize {
    let within =
        |first: &u64| times.iter().filter(|at| (*first..first + span).contains(at)).count();
    times.iter().map(within).max().unwrap_or_default()
}
