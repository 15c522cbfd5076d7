//! Checks a recorded run against the eight required promises and one internal bound.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use crate::{
    answers, configuration, containment, coverage, exclusives, leaving, record::History, refusals,
    shutdown, snapshot,
};

/// The promises, in the order of the requirements, and one internal bound of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// Every answer comes from one snapshot.
    Snapshot,
    /// Each answer reports its coverage correctly.
    Coverage,
    /// A caller receives the complete answer to its own request.
    Answers,
    /// A request that was refused as "not run" did not run.
    Refusals,
    /// A non-idempotent request runs at most once.
    Exclusives,
    /// A leaving target receives no new work after a few seconds.
    Leaving,
    /// A graceful shutdown interrupts no request in flight.
    Shutdown,
    /// An accepted configuration is in force everywhere within seconds and stays.
    Configuration,
    /// A request that crashes targets is contained after a small number of crashes.
    Containment,
}

impl Promise {
    /// All promises, in the order of declaration.
    pub const ALL: [Promise; 9] = [
        Promise::Snapshot,
        Promise::Coverage,
        Promise::Answers,
        Promise::Refusals,
        Promise::Exclusives,
        Promise::Leaving,
        Promise::Shutdown,
        Promise::Configuration,
        Promise::Containment,
    ];
}

/// A violation of a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated promise.
    pub promise: Promise,
    /// Description of what was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// Concrete limits where the requirements say "a few seconds" or "within seconds".
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time after which a leaving target must receive no new work, in microseconds.
    pub leaving_us: u64,
    /// Time after which an accepted configuration must be in force everywhere, in microseconds.
    pub config_us: u64,
    /// Longest time for which a node may count as missing a declared shard that it has no
    /// report of and that is not part of the snapshot, in microseconds.
    pub extra_shard_us: u64,
    /// Maximum number of targets that a request may crash while it is contained.
    pub crashes: usize,
    /// Duration of the containment, in microseconds.
    pub contained_us: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            leaving_us: 5_000_000,
            config_us: 5_000_000,
            extra_shard_us: 5_000_000,
            crashes: 4,
            contained_us: 600_000_000,
        }
    }
}

/// Violations found so far.
#[derive(Debug, Default)]
pub struct Findings {
    /// All violations, in the order in which they were found.
    pub violations: Vec<Violation>,
}

impl Findings {
    /// Adds a violation.
    pub fn add(&mut self, promise: Promise, detail: impl Into<String>) {
        self.violations.push(Violation { promise, detail: detail.into() });
    }

    /// Returns the number of violations of each promise, including zeros.
    pub fn counts(&self) -> BTreeMap<Promise, usize> {
        let mut counts: BTreeMap<Promise, usize> =
            Promise::ALL.into_iter().map(|promise| (promise, 0)).collect();
        for violation in &self.violations {
            *counts.entry(violation.promise).or_default() += 1;
        }
        counts
    }
}

/// Checks `history` against every promise.
pub fn check(history: &History, bounds: &Bounds) -> Findings {
    let mut findings = Findings::default();
    snapshot::check(history, &mut findings);
    coverage::check(history, bounds, &mut findings);
    answers::check(history, &mut findings);
    refusals::check(history, &mut findings);
    exclusives::check(history, &mut findings);
    leaving::check(history, bounds, &mut findings);
    shutdown::check(history, &mut findings);
    configuration::check(history, bounds, &mut findings);
    containment::check(history, bounds, &mut findings);
    findings
}
