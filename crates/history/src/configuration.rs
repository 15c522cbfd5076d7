//! Checks that an accepted configuration is in force everywhere within seconds and never reverts.
//!
//! Readings are the versions that nodes report for themselves and those stated in
//! answers. Outages of the platform, and pauses of the node itself, extend the
//! deadline, as updates cannot propagate then. A start of the node does not: a node
//! must not serve before it knows the version in force.

use std::collections::BTreeMap;

use kumquatnotch_core::ids::ConfigVersion;

use crate::{
    checker::{Bounds, Findings, Promise},
    record::{Accepted, History, NodeInstance, Reading},
};

/// Looks for nodes that are behind or go back, and for accepted changes that were lost.
pub fn check(history: &History, bounds: &Bounds, findings: &mut Findings) {
    let readings = readings(history);
    check_accepted(history, findings);
    check_order(&readings, findings);
    check_propagation(history, &readings, bounds, findings);
}

/// Returns the readings of all node instances, ordered by their begin.
fn readings(history: &History) -> Vec<Reading> {
    let from_answers = history.answers().map(|(attempt, _, answer)| Reading {
        life: attempt.life.clone(),
        sent_us: attempt.sent_us,
        ended_us: attempt.ended_us,
        version: answer.config,
    });
    let mut readings: Vec<Reading> = history.readings.iter().cloned().chain(from_answers).collect();
    readings.sort_by_key(|reading| reading.sent_us);
    readings
}

fn check_accepted(history: &History, findings: &mut Findings) {
    let mut versions: Vec<ConfigVersion> =
        history.accepted.iter().map(|accepted| accepted.version).collect();
    versions.sort();
    for pair in versions.windows(2).filter(|pair| pair[0] == pair[1]) {
        let detail = format!("version {} was accepted for two writes", pair[0]);
        findings.add(Promise::Configuration, detail);
    }
    if let Some(newest) = versions.last().filter(|newest| **newest > history.last) {
        let detail =
            format!("version {newest} was accepted, but the stored version is {}", history.last);
        findings.add(Promise::Configuration, detail);
    }
}

/// A reading must not be older than one of the same instance that ended before it began.
fn check_order(readings: &[Reading], findings: &mut Findings) {
    let mut by_instance: BTreeMap<&NodeInstance, Vec<&Reading>> = BTreeMap::new();
    for reading in readings {
        by_instance.entry(&reading.life).or_default().push(reading);
    }
    for (life, readings) in by_instance {
        let mut ended: Vec<&Reading> = readings.clone();
        ended.sort_by_key(|reading| reading.ended_us);
        let mut ended = ended.into_iter().peekable();
        let mut newest = ConfigVersion(0);
        for reading in readings {
            while let Some(earlier) = ended.next_if(|ended| ended.ended_us < reading.sent_us) {
                newest = newest.max(earlier.version);
            }
            if reading.version < newest {
                let detail =
                    format!("{} went back from version {newest} to {}", life.node, reading.version);
                findings.add(Promise::Configuration, detail);
            }
        }
    }
}

/// Looks for readings that are older than a version whose deadline had passed.
fn check_propagation(
    history: &History,
    readings: &[Reading],
    bounds: &Bounds,
    findings: &mut Findings,
) {
    for reading in readings {
        let late = |accepted: &&Accepted| {
            accepted.version > reading.version
                && deadline(accepted, reading, history, bounds) < reading.sent_us
        };
        if let Some(accepted) = history.accepted.iter().find(late) {
            let span = reading.sent_us.saturating_sub(accepted.at_us) / 1_000;
            let detail = format!(
                "{} has version {}, {span} ms after {} was accepted",
                reading.life.node, reading.version, accepted.version,
            );
            findings.add(Promise::Configuration, detail);
        }
    }
}

/// Returns the time by which the node of `reading` must have the accepted version. Disturbances of
/// the platform or of this node extend it.
fn deadline(accepted: &Accepted, reading: &Reading, history: &History, bounds: &Bounds) -> u64 {
    let mut deadline = accepted.at_us + bounds.config_us;
    for disturbance in &history.disturbances {
        let concerns = disturbance.node.as_ref().is_none_or(|node| *node == reading.life.node);
        if concerns && disturbance.from_us <= deadline && disturbance.until_us >= accepted.at_us {
            deadline = deadline.max(disturbance.until_us + bounds.config_us);
        }
    }
    deadline
}

/// Returns the time from the acceptance of each version until every node reports it, in
/// microseconds. Versions whose propagation overlapped with a disturbance are left out.
///
/// Readings are taken at intervals, so each time is too long by up to one interval.
pub fn propagation_times(history: &History, bounds: &Bounds) -> Vec<u64> {
    let readings = readings(history);
    let is_undisturbed = |accepted: &&Accepted| {
        let until = accepted.at_us + bounds.config_us;
        let mut disturbances = history.disturbances.iter();
        !disturbances.any(|found| found.from_us <= until && found.until_us >= accepted.at_us)
    };
    let propagation_time = |accepted: &Accepted| {
        let behind = readings.iter().filter(|reading| {
            reading.version < accepted.version && reading.sent_us > accepted.at_us
        });
        let last = behind.map(|reading| reading.sent_us).max();
        last.map_or(0, |last| last - accepted.at_us)
    };
    history.accepted.iter().filter(is_undisturbed).map(propagation_time).collect()
}
