//! A leaving target gets no new work after a few seconds.
//!
//! Work that a draining target refuses counts as work that it got.

use kumquatnotch_core::ids::TargetName;

use crate::{
    checker::{Bounds, Findings, Promise},
    record::{Drain, History},
};

/// Looks for late work of leaving targets.
pub fn check(history: &History, bounds: &Bounds, findings: &mut Findings) {
    let runs = history.runs.iter().map(|run| (&run.target, run.arrived_us));
    let refused = history.drained.iter().map(|refusal| (&refusal.target, refusal.arrived_us));
    let offers: Vec<(&TargetName, u64)> = runs.chain(refused).collect();
    for drain in &history.drains {
        let due = due(drain, history, bounds);
        let late = offers.iter().filter(|(target, _)| **target == drain.target);
        let late = late.map(|(_, at)| *at).filter(|at| *at > due && *at < drain.until_us);
        if let Some(last) = late.clone().max() {
            let span = (last - drain.from_us) / 1_000;
            let detail =
                format!("{} got {} requests, the last {span} ms on", drain.target, late.count());
            findings.add(Promise::Leaving, detail);
        }
    }
}

/// When the last new work may come; an outage of the platform that begins
/// before then puts it off, as the order can't spread.
fn due(drain: &Drain, history: &History, bounds: &Bounds) -> u64 {
    let mut due = drain.from_us + bounds.leaving_us;
    for outage in history.disturbances.iter().filter(|disturbance| disturbance.node.is_none()) {
        if outage.from_us <= due && outage.until_us >= drain.from_us {
            due = due.max(outage.until_us + bounds.leaving_us);
        }
    }
    due
}
