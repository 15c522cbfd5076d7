//! Checks that a leaving target receives no new work after a few seconds.
//!
//! Requests that a draining target refuses count as received work. A target that a
//! configuration excludes, by a drain, a label, a selector or its removal, is leaving
//! too, until a configuration that includes it again may be in force.

use std::collections::BTreeSet;

use kumquatnotch_core::ids::TargetName;

use crate::{
    checker::{Bounds, Findings, Promise},
    record::{Accepted, Drain, History},
};

/// Looks for work that leaving targets received after the deadline.
pub fn check(history: &History, bounds: &Bounds, findings: &mut Findings) {
    let runs = history.runs.iter().map(|run| (&run.target, run.arrived_us));
    let refused = history.drained.iter().map(|refusal| (&refusal.target, refusal.arrived_us));
    let offers: Vec<(&TargetName, u64)> = runs.chain(refused).collect();
    for drain in history.drains.iter().chain(&exclusion_periods(history)) {
        let deadline = deadline(drain, history, bounds);
        let late = offers.iter().filter(|(target, _)| **target == drain.target);
        let late = late.map(|(_, at)| *at).filter(|at| *at > deadline && *at < drain.until_us);
        if let Some(last) = late.clone().max() {
            let span = (last - drain.from_us) / 1_000;
            let detail = format!(
                "{} received {} late requests, the last {span} ms after it began to leave",
                drain.target,
                late.count()
            );
            findings.add(Promise::Leaving, detail);
        }
    }
}

/// Returns the periods in which the configurations in force excluded a target.
///
/// A version that is not in the history, because the reply to its write was lost, may
/// have included any target.
fn exclusion_periods(history: &History) -> Vec<Drain> {
    let mut accepted: Vec<&Accepted> = history.accepted.iter().collect();
    accepted.sort_by_key(|accepted| accepted.version);
    let reaches = accepted.iter().filter_map(|accepted| accepted.reach.as_ref());
    let targets: BTreeSet<&TargetName> = reaches.flatten().collect();
    let mut drains = Vec::new();
    for target in targets {
        let mut open: Option<Drain> = None;
        let mut last: Option<&Accepted> = None;
        for now in &accepted {
            let next = last.is_none_or(|last| last.version.0 + 1 == now.version.0);
            if let (false, Some(last)) = (next, last) {
                drains.extend(open.take().map(|drain| Drain { until_us: last.at_us, ..drain }));
            }
            let is_out = now.reach.as_ref().is_some_and(|reach| !reach.contains(target));
            match (is_out, open.take()) {
                (true, Some(drain)) => open = Some(drain),
                (true, None) => {
                    let (target, from_us) = (target.clone(), now.at_us);
                    open = Some(Drain { target, from_us, until_us: u64::MAX });
                }
                (false, Some(drain)) => drains.push(Drain { until_us: now.sent_us, ..drain }),
                (false, None) => {}
            }
            last = Some(now);
        }
        // Later versions may have been accepted without being recorded.
        let is_last = last.is_some_and(|last| last.version == history.last);
        let end = if is_last { u64::MAX } else { last.map_or(0, |last| last.at_us) };
        drains.extend(open.map(|drain| Drain { until_us: end, ..drain }));
    }
    drains
}

/// Returns the time until which the target may receive new work. An outage of the platform that
/// begins before then extends it, as the change cannot propagate.
fn deadline(drain: &Drain, history: &History, bounds: &Bounds) -> u64 {
    let mut deadline = drain.from_us + bounds.leaving_us;
    for outage in history.disturbances.iter().filter(|disturbance| disturbance.node.is_none()) {
        if outage.from_us <= deadline && outage.until_us >= drain.from_us {
            deadline = deadline.max(outage.until_us + bounds.leaving_us);
        }
    }
    deadline
}
